package experiment

import (
	"fmt"
	"time"

	"citronslip/internal/admission"
	"citronslip/internal/routing"
)

type (
	// routingRouter simulates one router.
	routingRouter struct {
		sim             *routingSim
		picker          *routing.Picker
		queue           *admission.Queue
		retrier         *routing.Retrier
		inFlight        []int           // This router's attempts in flight by server.
		avoidUntil      []int64         // Simulated time in ns until which a baseline avoids each server.
		lastServer      int             // Last server chosen by round robin.
		eligibleBuffer  []int           // Reused by eligible.
		firstTokenTimes []time.Duration // The last 200 times to the first token, for hedging.
	}

	// routingRequest is a request of a caller. Times are simulated, in ns.
	routingRequest struct {
		accountIndex   int
		prefixIndex    int   // Number of the shared prefix.
		promptTokens   int64 // With the shared prefix.
		outputTokens   int64 // Still to be generated, if the stream was resumed by a retry.
		urgent         bool  // Priority 1.
		arrival        int64
		measured       bool // Whether it arrived after the warm-up.
		gotFirstToken  bool // Whether the caller has received a first token.
		done           bool
		attemptCount   int
		slot           *admission.Slot // Nil for baselines.
		activeAttempts []*routingAttempt
	}

	// routingAttempt is one attempt to run a request on a server. Times are simulated, in ns.
	routingAttempt struct {
		request      *routingRequest
		router       *routingRouter
		triedServers []string // Names of the servers of earlier attempts.
		server       int
		choice       *routing.Choice // Nil for baselines.
		job          *engineJob      // Nil until the attempt has reached the server.
		sentAt       int64
		firstTokenAt int64 // Zero before the first token.
		done         bool
	}
)

func newRoutingRouter(s *routingSim, number int) *routingRouter {
	r := &routingRouter{
		sim: s,
		// Round robin from the same start would send all routers to the same server at a time.
		lastServer: s.policyRand.IntN(s.size.Servers),
		picker: &routing.Picker{
			Router: fmt.Sprintf("r%d", number), Now: s.clock, Rand: s.policyRand.Float64,
		},
		queue:      &admission.Queue{Now: s.clock},
		retrier:    &routing.Retrier{Rand: s.policyRand.Float64},
		inFlight:   make([]int, s.size.Servers),
		avoidUntil: make([]int64, s.size.Servers),
	}
	// The retry budget grows with the requests served; start with that of a router that has run for some time.
	for range routingPriorRequests {
		r.retrier.CountFirstAttempt()
	}
	return r
}

// startTimers schedules the router's queue ticks and load polls until end.
func (r *routingRouter) startTimers(end int64) {
	if _, ok := r.sim.policy.(RoutingProduct); !ok {
		return
	}
	offset := time.Duration(r.sim.policyRand.Int64N(int64(100 * time.Millisecond)))
	r.sim.scheduleAfter(offset, func() { r.tickQueue(end) })
	r.sim.scheduleAfter(offset, func() { r.pollServers(end) })
}

// tickQueue runs the admission queue's periodic work and schedules the next tick.
func (r *routingRouter) tickQueue(end int64) {
	r.queue.Tick()
	if r.sim.now < end {
		r.sim.scheduleAfter(100*time.Millisecond, func() { r.tickQueue(end) })
	}
}

// pollServers asks the servers whose last load report is too old for their load, and schedules the next poll.
func (r *routingRouter) pollServers(end int64) {
	for _, name := range r.picker.ServersToPoll(routingReportMaxAge, 8) {
		r.sim.controlBytes += routingPollBytes
		e := r.sim.engines[r.sim.engineIndex[name]]
		if e.dead || e.leaving {
			r.picker.RecordPoll(name, routing.Load{}, false)
			continue
		}
		load := e.load()
		r.sim.scheduleAfter(r.sim.scenario.Late+2*routingNetworkDelay, func() { r.picker.RecordPoll(name, load, true) })
	}
	if r.sim.now < end {
		r.sim.scheduleAfter(routingPollInterval, func() { r.pollServers(end) })
	}
}

// deliverReport passes the leaving header and the load report of a response to the router's picker.
func (a *routingAttempt) deliverReport() {
	if a.choice == nil {
		return
	}
	if a.router.sim.engines[a.server].leaving {
		a.router.picker.MarkLeaving(a.choice.Server.Name)
	}
	if !a.choice.Sample {
		return
	}
	router, e := a.router, a.router.sim.engines[a.server]
	router.sim.controlBytes += routingReportBytes
	load := e.load()
	router.sim.scheduleAfter(router.sim.scenario.Late, func() { router.picker.RecordLoad(e.name, load) })
}

// accept handles a request from a caller. The product queues it for admission; baselines send it at once.
func (r *routingRouter) accept(req *routingRequest) {
	r.retrier.CountFirstAttempt()
	if _, ok := r.sim.policy.(RoutingProduct); !ok {
		r.startAttempt(req, nil)
		return
	}
	r.queue.Submit(admissionRequest(req), func(slot *admission.Slot, err error) {
		if err != nil {
			r.refuse(req)
			return
		}
		req.slot = slot
		r.startAttempt(req, nil)
	})
}

// refuse ends a request without a first token and counts it as refused.
func (r *routingRouter) refuse(req *routingRequest) {
	req.done = true
	if req.slot != nil {
		req.slot.Release(admission.Result{})
	}
	if !req.measured {
		return
	}
	r.sim.result.Refused++
	if r.sim.scenario.Burst == 0 || req.accountIndex != 0 {
		r.sim.result.False++
	}
}

// startAttempt chooses a server and sends the request to it, or gives up if there is no server.
func (r *routingRouter) startAttempt(req *routingRequest, triedServers []string) {
	a := &routingAttempt{request: req, router: r, triedServers: triedServers}
	a.server, a.choice = r.pick(a)
	if a.server < 0 {
		r.giveUp(req)
		return
	}
	req.attemptCount++
	req.activeAttempts = append(req.activeAttempts, a)
	a.sentAt = r.sim.now
	r.inFlight[a.server]++
	if a.choice != nil {
		a.choice.Started()
	}
	r.sim.scheduleAfter(routingNetworkDelay, a.reachServer)
	if p, ok := r.sim.policy.(RoutingProduct); ok && p.Hedge && len(triedServers) == 0 {
		r.scheduleHedge(a)
	}
}

// giveUp ends a request that will not be retried, unless another attempt is still active.
func (r *routingRouter) giveUp(req *routingRequest) {
	if len(req.activeAttempts) > 0 || req.done {
		return
	}
	if !req.gotFirstToken {
		r.refuse(req)
		return
	}
	req.done = true
	if req.slot != nil {
		req.slot.Release(admission.Result{})
	}
	if req.measured {
		r.sim.result.Broken++
	}
}

// scheduleHedge sends the request to a second server if its first token takes longer than the 95th percentile of recent
// requests.
func (r *routingRouter) scheduleHedge(a *routingAttempt) {
	if len(r.firstTokenTimes) < 100 {
		return
	}
	req := a.request
	r.sim.scheduleAfter(routingPercentile95(r.firstTokenTimes), func() {
		if req.gotFirstToken || req.done || a.done {
			return
		}
		// Hedged attempts count against the retry budget.
		if _, ok := r.retrier.Retry(routing.Broken{}, true, req.attemptCount); ok {
			r.sim.result.Retries++
			r.startAttempt(req, []string{r.sim.engines[a.server].name})
		}
	})
}

// reachServer handles the arrival of the attempt at the server. A dead server refuses the connection, a leaving one
// refuses the request.
func (a *routingAttempt) reachServer() {
	router, req := a.router, a.request
	e := router.sim.engines[a.server]
	if a.done {
		return
	}
	if e.dead || e.leaving {
		router.sim.result.Lost++
		if router.sim.now-e.goneAt > int64(3*time.Second) {
			router.sim.result.Lost3++
		}
		var outcome routing.Outcome = routing.ConnectionRefused{}
		if !e.dead {
			outcome = routing.Refused{Reason: routing.ReasonLeaving}
		}
		router.sim.scheduleAfter(routingNetworkDelay, func() { a.fail(outcome) })
		return
	}
	a.job = &engineJob{
		promptTokens: req.promptTokens, prefixIndex: req.prefixIndex, outputTokens: req.outputTokens, urgent: req.urgent,
	}
	a.job.onFirstToken = func() { router.sim.scheduleAfter(routingNetworkDelay, a.onFirstToken) }
	a.job.onDone = func() { router.sim.scheduleAfter(routingNetworkDelay, a.finish) }
	a.job.onBroken = func() { router.sim.scheduleAfter(routingNetworkDelay, func() { a.fail(routing.Broken{Reset: true}) }) }
	e.submit(a.job)
}

// onFirstToken handles the first token's arrival at the router and cancels the request's other attempts.
func (a *routingAttempt) onFirstToken() {
	router, req := a.router, a.request
	if a.done {
		return
	}
	a.firstTokenAt = router.sim.now
	elapsed := time.Duration(router.sim.now - a.sentAt)
	a.deliverReport()
	if a.choice != nil {
		a.choice.FirstByte()
		router.queue.Observe(admission.Sample{First: elapsed})
		router.sim.scheduleAfter(time.Second, a.reportProgress)
	}
	router.firstTokenTimes = append(router.firstTokenTimes[max(0, len(router.firstTokenTimes)-199):], elapsed)
	for _, other := range req.activeAttempts {
		if other != a {
			other.cancel()
		}
	}
	req.activeAttempts = []*routingAttempt{a}
	if req.gotFirstToken {
		return
	}
	req.gotFirstToken = true
	router.sim.recordFirstToken(req)
}

// recordFirstToken records the time to the first token, and a refusal if that came after the deadline.
func (s *routingSim) recordFirstToken(req *routingRequest) {
	if !req.measured {
		return
	}
	elapsed := time.Duration(s.now - req.arrival)
	_ = s.firstTokens.RecordValue(elapsed.Microseconds())
	if req.urgent {
		_ = s.urgentFirstTokens.RecordValue(elapsed.Microseconds())
	}
	if req.accountIndex != 0 {
		_ = s.steadyFirstTokens.RecordValue(elapsed.Microseconds())
	}
	if elapsed <= routingFirstTokenTimeout {
		return
	}
	s.result.Refused++
	if s.scenario.Burst == 0 || req.accountIndex != 0 {
		s.result.False++
	}
}

// reportProgress passes the number of tokens and the gap between them to the picker and the queue once a second.
func (a *routingAttempt) reportProgress() {
	if a.done {
		return
	}
	router := a.router
	tokens := router.sim.engines[a.server].iteration - a.job.firstIteration + 1
	a.choice.Progress(tokens)
	if tokens > 1 {
		gap := time.Duration((router.sim.now - a.firstTokenAt) / (tokens - 1))
		router.queue.Observe(admission.Sample{Gap: gap})
	}
	router.sim.scheduleAfter(time.Second, a.reportProgress)
}

// finish handles the end of the response.
func (a *routingAttempt) finish() {
	router, req := a.router, a.request
	if a.done {
		return
	}
	a.deliverReport()
	a.close(routing.Finished{
		Prompt: req.promptTokens, Cached: a.job.cachedTokens, Output: req.outputTokens,
		First: time.Duration(a.firstTokenAt - a.sentAt), Duration: time.Duration(router.sim.now - a.sentAt),
	})
	req.done = true
	if req.slot != nil {
		req.slot.Release(admission.Result{})
	}
}

// fail ends an attempt that did not finish, and retries the request if the retry budget allows.
func (a *routingAttempt) fail(outcome routing.Outcome) {
	router, req := a.router, a.request
	if a.done {
		return
	}
	a.close(outcome)
	router.avoidUntil[a.server] = router.sim.now + int64(routingRefusalCooldown)
	if req.done || len(req.activeAttempts) > 0 {
		return
	}
	backoff, ok := router.retrier.Retry(outcome, true, req.attemptCount)
	if !ok {
		router.giveUp(req)
		return
	}
	router.sim.result.Retries++
	if a.firstTokenAt > 0 {
		req.outputTokens = max(2, req.outputTokens-(router.sim.engines[a.server].iteration-a.job.firstIteration))
	}
	triedServers := append(a.triedServers, router.sim.engines[a.server].name)
	router.sim.scheduleAfter(backoff, func() { router.startAttempt(req, triedServers) })
}

// cancel aborts the attempt and its job on the server.
func (a *routingAttempt) cancel() {
	if a.done {
		return
	}
	if a.job != nil {
		a.job.aborted = true
	}
	a.close(routing.Cancelled{})
}

// close ends the attempt, reports its outcome to the picker and removes it from the active attempts.
func (a *routingAttempt) close(outcome routing.Outcome) {
	a.done = true
	a.router.inFlight[a.server]--
	if a.choice != nil {
		a.choice.Done(outcome)
	}
	var active []*routingAttempt
	for _, other := range a.request.activeAttempts {
		if other != a {
			active = append(active, other)
		}
	}
	a.request.activeAttempts = active
}

// pickerRequest returns the request in the form that the picker expects. The prefix blocks of different prefixes
// differ.
func (r *routingRequest) pickerRequest(triedServers []string) *routing.Request {
	prefix := make([]uint64, routingPrefixBlocks)
	for i := range prefix {
		prefix[i] = uint64(r.prefixIndex*routingPrefixBlocks + i + 1)
	}
	result := &routing.Request{Service: "plan", Prompt: r.promptTokens, Prefix: prefix, Tried: triedServers, Idempotent: true}
	if r.urgent {
		result.Priority = 1
	}
	return result
}
