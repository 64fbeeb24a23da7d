package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"citronslip/internal/admission"
	"citronslip/internal/routing"
	"citronslip/pkg/inventory"
)

const (
	routingMeanPromptTokens  = 300 // Mean prompt tokens after the shared prefix.
	routingMeanOutputTokens  = 200 // Mean output tokens.
	routingPrefixBlocks      = 4   // Blocks of 256 tokens in a shared prefix.
	routingPrefixesPerServer = 10  // Shared prefixes per server; an engine caches engineMaxCachedPrefixes.
	routingAccounts          = 10
	routingFirstTokenTimeout = 10 * time.Second        // Deadline of a request's first token, from its arrival.
	routingNetworkDelay      = 500 * time.Microsecond  // One-way network latency.
	routingHostListDelay     = 5 * time.Second         // Time until the host list shows an event to the routers.
	routingReportMaxAge      = 2500 * time.Millisecond // Age of a load report from which a router polls the server.
	routingPollInterval      = 100 * time.Millisecond  // Interval at which a router looks for servers to poll.
	routingReportBytes       = 48                      // Size of a load report piggybacked on a response.
	routingPollBytes         = 192                     // Size of a poll and its response.
	routingRefusalCooldown   = 5 * time.Second         // Time that baselines avoid a server after a failed attempt.
	routingBurstDuration     = 10 * time.Second        // Duration of a scenario's burst.
	routingPriorRequests     = 1000                    // Earlier requests of each router, for its retry budget.
	routingDrainTimeout      = 15 * time.Second        // Time after the measured time in which requests can finish.
)

type (
	// routingEvent is a function call at a simulated time.
	routingEvent struct {
		at       int64  // In ns.
		sequence uint64 // Orders events at the same time.
		callback func()
	}

	// routingSim is a discrete-event simulation of one policy in one scenario with one fleet. Simulated times are in
	// ns.
	routingSim struct {
		options        *RoutingOptions
		size           RoutingFleet
		scenario       RoutingScenario
		policy         RoutingPolicy
		measuredLength time.Duration

		now           int64          // Current simulated time.
		sequence      uint64         // Number of events scheduled so far.
		events        []routingEvent // Binary heap, the earliest event first.
		workloadRand  *rand.Rand     // For the workload, which is the same for every policy.
		policyRand    *rand.Rand     // For the policy's random choices.
		engines       []*engine
		engineIndex   map[string]int // Index in engines by name.
		listedGone    []bool         // By server: whether the host list shows it as dead or leaving.
		routers       []*routingRouter
		routerWeights []float64 // Cumulative weights of the routers, by which requests are spread.
		prefixWeights []float64 // Cumulative weights of the shared prefixes, after Zipf's law.
		eventTime     int64     // Time of the scenario's event.
		requestRate   float64   // Requests per second without the burst.
		capacity      float64   // Requests per second that the fleet can serve before the event.

		result            RoutingResult
		firstTokens       *hdrhistogram.Histogram // The histograms are in microseconds.
		tokenGaps         *hdrhistogram.Histogram
		urgentFirstTokens *hdrhistogram.Histogram
		steadyFirstTokens *hdrhistogram.Histogram // Of the accounts that do not burst.
		controlBytes      int64                   // Load reports and polls since the end of the warm-up.
	}
)

func newRoutingSim(o *RoutingOptions, size RoutingFleet, scenario RoutingScenario, policy RoutingPolicy) *routingSim {
	s := &routingSim{
		options: o, size: size, scenario: scenario, policy: policy, measuredLength: o.Length,
		now:               int64(time.Hour),
		workloadRand:      rand.New(rand.NewPCG(o.Seed, 1)),
		policyRand:        rand.New(rand.NewPCG(o.Seed, 2)),
		engineIndex:       make(map[string]int),
		listedGone:        make([]bool, size.Servers),
		firstTokens:       hdrhistogram.New(1, int64(5*time.Minute/time.Microsecond), 3),
		tokenGaps:         hdrhistogram.New(1, int64(5*time.Minute/time.Microsecond), 3),
		urgentFirstTokens: hdrhistogram.New(1, int64(5*time.Minute/time.Microsecond), 3),
		steadyFirstTokens: hdrhistogram.New(1, int64(5*time.Minute/time.Microsecond), 3),
	}
	if size.Length > 0 {
		s.measuredLength = min(s.measuredLength, size.Length)
	}
	s.eventTime = s.now + int64(o.Warm+s.measuredLength/6)
	s.result = RoutingResult{Size: size.Name, Row: scenario.Name, Policy: routingPolicyLabel(policy), Enough: scenario.enough()}
	s.build()
	return s
}

// build creates the engines and routers and derives the request rate from the capacity after the event.
func (s *routingSim) build() {
	totalSpeed, remaining := 0.0, 0.0
	for i := range s.size.Servers {
		e := &engine{sim: s, name: fmt.Sprintf("s%d", i), speed: s.serverSpeed(i)}
		s.engines = append(s.engines, e)
		s.engineIndex[e.name] = i
		totalSpeed += e.speed
		switch {
		case s.dies(i) || s.leaves(i):
		case i == 0 && s.scenario.Slow > 0:
			remaining += e.speed * s.scenario.Slow
		default:
			remaining += e.speed
		}
	}
	s.capacity = totalSpeed * engineCapacity()
	s.requestRate = remaining * engineCapacity() * s.scenario.load()
	sum := 0.0
	for i := range s.size.Routers {
		sum += float64(1 + i%3)
		s.routerWeights = append(s.routerWeights, sum)
		s.routers = append(s.routers, newRoutingRouter(s, i))
	}
	sum = 0
	for i := range routingPrefixesPerServer * s.size.Servers {
		sum += 1 / float64(i+1)
		s.prefixWeights = append(s.prefixWeights, sum)
	}
}

// serverSpeed returns the speed of a server, relative to 1. Four speeds are spread evenly over the scenario's range.
func (s *routingSim) serverSpeed(server int) float64 {
	if s.scenario.Spread <= 1 {
		return 1
	}
	const steps = 4
	return 1 + (s.scenario.Spread-1)*float64(server%steps)/(steps-1)
}

// dies reports whether the server dies at the event.
func (s *routingSim) dies(server int) bool {
	return float64(server) < s.scenario.Dead*float64(s.size.Servers)
}

// leaves reports whether the server leaves at the event.
func (s *routingSim) leaves(server int) bool {
	return float64(server) < s.scenario.Leave*float64(s.size.Servers)
}

// run simulates the warm-up, the measured time and the drain, and returns the result.
func (s *routingSim) run() RoutingResult {
	end := s.now + int64(s.options.Warm+s.measuredLength)
	s.publishHostList()
	for _, router := range s.routers {
		router.startTimers(end + int64(routingDrainTimeout))
	}
	s.generateRequests(end)
	s.schedule(s.eventTime, s.triggerEvent)
	s.schedule(s.eventTime+int64(routingHostListDelay), s.publishHostList)
	if s.scenario.Burst > 0 {
		s.schedule(s.eventTime, func() { s.generateBurst(s.eventTime + int64(routingBurstDuration)) })
	}
	var shared, hits int64
	warmupTokens := make([]int64, len(s.engines))
	s.schedule(s.now+int64(s.options.Warm), func() {
		s.controlBytes = 0
		for i, e := range s.engines {
			warmupTokens[i] = e.outputTokens
			shared -= e.sharedTokens
			hits -= e.hitTokens
		}
	})
	s.schedule(end, func() {
		s.result.Control = float64(s.controlBytes) / s.measuredLength.Seconds() / float64(s.size.Routers)
		s.measureShares(warmupTokens)
	})
	for len(s.events) > 0 && s.events[0].at <= end+int64(routingDrainTimeout) {
		next := s.pop()
		s.now = next.at
		next.callback()
	}
	for _, e := range s.engines {
		shared += e.sharedTokens
		hits += e.hitTokens
	}
	s.result.Hits = float64(hits) / max(float64(shared), 1)
	s.result.First = routingPercentiles(s.firstTokens)
	s.result.Gap = routingPercentiles(s.tokenGaps)
	s.result.Urgent = routingPercentiles(s.urgentFirstTokens)
	s.result.Small = routingPercentiles(s.steadyFirstTokens)
	return s.result
}

// measureShares records how far the servers' shares of the output tokens deviate from their shares of the speed. The
// figure says little in scenarios whose servers change.
func (s *routingSim) measureShares(warmupTokens []int64) {
	totalSpeed, totalTokens := 0.0, 0.0
	for i, e := range s.engines {
		totalSpeed += e.speed
		totalTokens += float64(e.outputTokens - warmupTokens[i])
	}
	for i, e := range s.engines {
		share := float64(e.outputTokens-warmupTokens[i]) / totalTokens
		s.result.Shares = max(s.result.Shares, math.Abs(share/(e.speed/totalSpeed)-1))
	}
}

// publishHostList delivers the current host list to all routers.
func (s *routingSim) publishHostList() {
	var servers []routing.Server
	for i, e := range s.engines {
		s.listedGone[i] = e.dead || e.leaving
		if e.dead {
			continue
		}
		servers = append(servers, routing.Server{
			BackendServer: inventory.BackendServer{Name: e.name, Service: "plan"},
			Leaving:       e.leaving,
			Observed:      s.clock(),
		})
	}
	for _, router := range s.routers {
		router.picker.Update(servers)
	}
}

// triggerEvent applies the scenario's event: the slowdown, the leaving servers and the dying servers.
func (s *routingSim) triggerEvent() {
	if s.scenario.Slow > 0 {
		s.engines[0].speed *= s.scenario.Slow
	}
	for i, e := range s.engines {
		if s.leaves(i) {
			e.leaving = true
			e.goneAt = s.now
		}
		if s.dies(i) {
			e.crash()
		}
	}
}

// generateRequests submits a request and schedules the next one, until end.
func (s *routingSim) generateRequests(end int64) {
	if s.now >= end {
		return
	}
	s.submitRequest(s.drawAccount())
	s.scheduleAfter(s.drawInterval(s.requestRate), func() { s.generateRequests(end) })
}

// generateBurst submits a request of the bursting account and schedules the next one, until end.
func (s *routingSim) generateBurst(end int64) {
	if s.now >= end {
		return
	}
	s.submitRequest(0)
	s.scheduleAfter(s.drawInterval(s.capacity*s.scenario.Burst), func() { s.generateBurst(end) })
}

// submitRequest draws the sizes of a request and sends it to a random router.
func (s *routingSim) submitRequest(account int) {
	req := &routingRequest{
		accountIndex: account,
		prefixIndex:  sort.SearchFloat64s(s.prefixWeights, s.workloadRand.Float64()*s.prefixWeights[len(s.prefixWeights)-1]),
		promptTokens: enginePrefixTokens + 1 + int64(s.workloadRand.ExpFloat64()*routingMeanPromptTokens),
		outputTokens: 2 + int64(min(s.workloadRand.ExpFloat64(), 5)*routingMeanOutputTokens),
		urgent:       s.workloadRand.Float64() < s.scenario.Urgent,
		arrival:      s.now,
		measured:     s.now >= int64(time.Hour+s.options.Warm),
	}
	index := sort.SearchFloat64s(s.routerWeights, s.workloadRand.Float64()*s.routerWeights[len(s.routerWeights)-1])
	if req.measured {
		s.result.Requests++
	}
	s.routers[index].accept(req)
}

// drawAccount returns a random account: three large ones have a fifth of the requests each, the others share the rest.
func (s *routingSim) drawAccount() int {
	const large = 3
	if s.workloadRand.Float64() < 0.6 {
		return s.workloadRand.IntN(large)
	}
	return large + s.workloadRand.IntN(routingAccounts-large)
}

// drawInterval returns a random time between two requests at a rate in requests per second.
func (s *routingSim) drawInterval(rate float64) time.Duration {
	return time.Duration(s.workloadRand.ExpFloat64() / rate * float64(time.Second))
}

// recordTokenGaps records the duration of an iteration as the gap between tokens for each request in the batch.
func (s *routingSim) recordTokenGaps(d time.Duration, count int) {
	if count > 0 && s.now >= int64(time.Hour+s.options.Warm) {
		_ = s.tokenGaps.RecordValues(d.Microseconds(), int64(count))
	}
}

// clock returns the simulated time.
func (s *routingSim) clock() time.Time { return time.Unix(0, s.now) }

// scheduleAfter schedules a call after a simulated delay.
func (s *routingSim) scheduleAfter(d time.Duration, callback func()) {
	s.schedule(s.now+int64(d), callback)
}

// schedule schedules a call at a simulated time. Calls at the same time run in the order in which they were scheduled.
func (s *routingSim) schedule(at int64, callback func()) {
	s.sequence++
	s.events = append(s.events, routingEvent{at, s.sequence, callback})
	i := len(s.events) - 1
	for i > 0 && s.less(i, (i-1)/2) {
		s.events[i], s.events[(i-1)/2] = s.events[(i-1)/2], s.events[i]
		i = (i - 1) / 2
	}
}

// pop removes the earliest event from the heap and returns it.
func (s *routingSim) pop() routingEvent {
	result := s.events[0]
	last := len(s.events) - 1
	s.events[0] = s.events[last]
	s.events[last] = routingEvent{}
	s.events = s.events[:last]
	i := 0
	for {
		child := 2*i + 1
		if child >= last {
			return result
		}
		if child+1 < last && s.less(child+1, child) {
			child++
		}
		if !s.less(child, i) {
			return result
		}
		s.events[i], s.events[child] = s.events[child], s.events[i]
		i = child
	}
}

// less reports whether event a is before event b; both are indices in the heap.
func (s *routingSim) less(a, b int) bool {
	if s.events[a].at != s.events[b].at {
		return s.events[a].at < s.events[b].at
	}
	return s.events[a].sequence < s.events[b].sequence
}

func routingPercentiles(h *hdrhistogram.Histogram) RoutingLatency {
	percentile := func(p float64) time.Duration {
		return time.Duration(h.ValueAtPercentile(p)) * time.Microsecond
	}
	return RoutingLatency{P50: percentile(50), P95: percentile(95), P99: percentile(99)}
}

// admissionRequest returns the request in the form that the admission queue expects.
func admissionRequest(req *routingRequest) admission.Request {
	t := admission.Request{
		Account:  fmt.Sprint(req.accountIndex),
		Deadline: time.Unix(0, req.arrival).Add(routingFirstTokenTimeout),
		Cost:     req.promptTokens + routingMeanOutputTokens,
	}
	if req.urgent {
		t.Priority = 1
	}
	return t
}
