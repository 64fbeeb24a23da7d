package routing_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"citronslip/internal/routing"
)

const (
	longServers    = 60
	longBlock      = 1024
	longStep       = 2 * time.Millisecond
	longTime       = 24 * time.Second
	longWarm       = 6 * time.Second
	longTokenTime  = 2383 * time.Nanosecond // 327,680 bytes over 1,100,000 Mbit/s.
	longPrefill    = 88_000                 // Tokens per second of a server of speed 1.
	longCacheSize  = 120_000                // Tokens of shared parts that a server keeps.
	longBatchUnits = 64                     // Running requests at which prefill takes twice as long.
)

type (
	// promptKind is a kind of prompts, whose shared part is one of several.
	promptKind struct {
		name        string
		shared, own int64
		rate        float64 // Requests per second.
		parts       int     // Shared parts; the first ones are more frequent.
	}

	// longServer prefills one prompt after the other, and keeps the shared parts that it used last.
	longServer struct {
		speed      float64
		dead       bool
		linkFree   time.Time
		queue      []*longRequest
		transfers  []*longRequest
		running    int
		cache      []sharedPart // Least recently used first.
		recomputed int64        // Tokens prefilled although some server held them.
	}

	sharedPart struct {
		kind, part int
	}

	longRequest struct {
		kind    int
		shared  sharedPart
		request *routing.Request
		picker  *routing.Picker
		choice  *routing.Choice
		server  *longServer
		sent    time.Time
		fetched time.Time // End of the transfer.
		begun   bool
		left    float64 // Tokens to be prefilled.
		decodes float64 // Seconds of decoding.
	}

	// longPlay is a play of routers that send prompts with shared parts to servers of uneven speed.
	longPlay struct {
		routers int
		limit   float64 // Limit of transfers; none if zero.
		unable  bool    // Whether servers cannot transfer anything.
		dies    bool    // Whether the server with the most requests dies in the middle of the play.
		lossy   bool    // Whether no donor ever holds what is to be fetched.
	}

	longResult struct {
		times      [3][]float64 // By kind, sorted.
		requests   int
		transfers  int
		recomputed int64
	}
)

var longKinds = []promptKind{
	{"long", 13_300, 3_720, 63, 6}, {"middle", 6_300, 2_890, 87, 12}, {"short", 350, 1_110, 107, 20},
}

func (s *longServer) holds(part sharedPart) bool { return slices.Contains(s.cache, part) }

// keep makes the part the most recently used one, and evicts others that do not fit any more.
func (s *longServer) keep(part sharedPart) {
	s.cache = append(slices.DeleteFunc(s.cache, func(p sharedPart) bool { return p == part }), part)
	size := int64(0)
	for i := len(s.cache) - 1; i >= 0; i-- {
		if size += longKinds[s.cache[i].kind].shared; size > longCacheSize {
			s.cache = slices.Delete(s.cache, 0, i+1)
			return
		}
	}
}

func (r *longResult) at(kind int, q float64) float64 {
	return 1000 * r.times[kind][int(q*float64(len(r.times[kind])))]
}

// run plays the requests with a fixed seed.
func (l longPlay) run(seed uint64) *longResult {
	random := rand.New(rand.NewPCG(seed, 1))
	c := &clock{time: time.Unix(1000, 0)}
	start := c.time
	list := plainServers(longServers)
	fleet := make(map[string]*longServer)
	var order []*longServer
	for i := range list {
		s := &longServer{speed: []float64{0.6, 1, 1.6}[i%3]}
		fleet[list[i].Name] = s
		order = append(order, s)
	}
	pickers := make([]*routing.Picker, l.routers)
	for i := range pickers {
		pickers[i] = &routing.Picker{
			Router: fmt.Sprint("r", i), Now: c.now, Rand: random.Float64, Block: longBlock, Subset: 1 << 16, Home: 1, Reading: 2, Noise: 0.01,
			Transfers: l.limit,
		}
		pickers[i].Update(list)
	}
	result := &longResult{}
	var decoding []*longRequest
	next := make([]float64, len(longKinds))
	for ; c.time.Sub(start) < longTime; c.time = c.time.Add(longStep) {
		now := c.time.Sub(start).Seconds()
		for kind := range longKinds {
			for ; next[kind] < now; next[kind] += random.ExpFloat64() / longKinds[kind].rate {
				l.arrive(kind, pickers[random.IntN(l.routers)], random, c.time, fleet, result)
			}
		}
		if l.dies && c.time.Sub(start) == longTime/2 {
			dead := slices.MaxFunc(order, func(a, b *longServer) int { return len(a.queue) + a.running - len(b.queue) - b.running })
			dead.dead, dead.cache = true, nil
			lost := slices.Concat(dead.queue, dead.transfers)
			dead.queue, dead.transfers = nil, nil
			for _, r := range lost {
				r.choice.Done(routing.Broken{Reset: true})
				l.send(r, c.time, fleet, result)
			}
		}
		for _, s := range order {
			for i := 0; i < len(s.transfers); i++ {
				if r := s.transfers[i]; !c.time.Before(r.fetched) {
					s.transfers = slices.Delete(s.transfers, i, i+1)
					i--
					if donor := fleet[r.choice.Donor.Name]; !l.lossy && donor.holds(r.shared) {
						s.keep(r.shared)
					}
					s.queue = append(s.queue, r)
				}
			}
			for left := longPrefill * s.speed * longStep.Seconds() * longBatchUnits / float64(longBatchUnits+s.running); left > 0 && len(s.queue) > 0; {
				r := s.queue[0]
				s.begin(r, order)
				used := min(left, r.left)
				r.left -= used
				if left -= used; r.left > 0 {
					break
				}
				s.queue = s.queue[1:]
				s.running++
				s.keep(r.shared)
				r.picker.RecordLoad(r.choice.Server.Name, routing.Load{Running: s.running, Waiting: len(s.queue) + len(s.transfers)})
				r.choice.FirstByte()
				decoding = append(decoding, r)
				if r.sent.Sub(start) > longWarm {
					result.times[r.kind] = append(result.times[r.kind], c.time.Sub(r.sent).Seconds())
				}
			}
		}
		decoding = slices.DeleteFunc(decoding, func(r *longRequest) bool {
			if r.decodes -= longStep.Seconds() * r.server.speed; r.decodes > 0 {
				return false
			}
			r.server.running--
			r.choice.Done(routing.Finished{Cached: -1, Output: 50, Duration: c.time.Sub(r.sent)})
			return true
		})
	}
	for _, s := range order {
		result.recomputed += s.recomputed
	}
	for kind := range result.times {
		slices.Sort(result.times[kind])
	}
	return result
}

// begin begins the prefill of a prompt, whose shared part may be in the cache.
func (s *longServer) begin(r *longRequest, order []*longServer) {
	if r.begun {
		return
	}
	r.begun = true
	kind := longKinds[r.kind]
	r.left = float64(kind.own)
	if s.holds(r.shared) {
		return
	}
	r.left += float64(kind.shared)
	if slices.ContainsFunc(order, func(o *longServer) bool { return o.holds(r.shared) }) {
		s.recomputed += kind.shared
	}
}

// arrive sends a request of a kind from a router.
func (l longPlay) arrive(kind int, p *routing.Picker, random *rand.Rand, now time.Time, fleet map[string]*longServer, result *longResult) {
	k := longKinds[kind]
	part := int(float64(k.parts) * math.Pow(random.Float64(), 2))
	r := &longRequest{kind: kind, shared: sharedPart{kind, part}, picker: p, sent: now, decodes: 0.5 + 2*random.Float64()}
	request := &routing.Request{Service: "plan", Prompt: k.shared + k.own, Idempotent: true, TransferTime: longTokenTime}
	if l.unable {
		request.TransferTime = 0
	}
	for block := range (k.shared + longBlock/2) / longBlock {
		request.Prefix = append(request.Prefix, uint64(1+kind)<<40|uint64(1+part)<<20|uint64(block))
	}
	if n := len(request.Prefix); n > 0 {
		request.Home = request.Prefix[n-1]
	}
	r.request = request
	result.requests++
	l.send(r, now, fleet, result)
}

// send sends a request to the server that its router picks. A dead one refuses the connection.
func (l longPlay) send(r *longRequest, now time.Time, fleet map[string]*longServer, result *longResult) {
	choice, err := r.picker.Pick(r.request)
	if err != nil {
		panic(err)
	}
	choice.Started()
	if fleet[choice.Server.Name].dead {
		choice.Done(routing.ConnectionRefused{})
		l.send(r, now, fleet, result)
		return
	}
	k := longKinds[r.kind]
	r.choice, r.server = choice, fleet[choice.Server.Name]
	if choice.Donor == nil {
		r.server.queue = append(r.server.queue, r)
		return
	}
	result.transfers++
	donor := fleet[choice.Donor.Name]
	r.fetched = now
	if !r.server.holds(r.shared) && donor.holds(r.shared) && !l.lossy {
		begin := slices.MaxFunc([]time.Time{now, donor.linkFree, r.server.linkFree}, time.Time.Compare)
		r.fetched = begin.Add(time.Duration(k.shared) * longTokenTime)
		donor.linkFree, r.server.linkFree = r.fetched, r.fetched
	}
	r.server.transfers = append(r.server.transfers, r)
}

// Guards against transfers that serve callers later, that prefill more tokens again than without them, or that exceed their limit.
func TestPrefixTransfers(t *testing.T) {
	const seeds, limit = 3, 0.2
	for _, routers := range []int{6, 60, 141} {
		var without, with longResult
		for seed := range uint64(seeds) {
			without.add(longPlay{routers: routers}.run(seed))
			with.add(longPlay{routers: routers, limit: limit}.run(seed))
		}
		without.log(t, fmt.Sprintf("%3d routers, limit 0.00", routers))
		with.log(t, fmt.Sprintf("%3d routers, limit %.2f", routers, limit))
		for kind, k := range longKinds {
			if with.at(kind, 0.95) > without.at(kind, 0.95) {
				t.Errorf("%d routers: p95 of %s prompts %.0f ms, %.0f ms without transfers", routers, k.name, with.at(kind, 0.95), without.at(kind, 0.95))
			}
		}
		if with.at(0, 0.99) >= without.at(0, 0.99) || 4*with.recomputed > 3*without.recomputed {
			t.Errorf("%d routers: p99 of long prompts or tokens prefilled again are too high with transfers", routers)
		}
		if float64(with.transfers) > limit*float64(with.requests) {
			t.Errorf("%d routers: %d transfers for %d requests", routers, with.transfers, with.requests)
		}
	}
}

// Guards against decisions that differ where the operator allows no transfers, or the servers cannot make any.
func TestNoTransferChangesNoDecision(t *testing.T) {
	off, unable := longPlay{routers: 6}.run(1), longPlay{routers: 6, limit: 1, unable: true}.run(1)
	if !reflect.DeepEqual(off, unable) || off.transfers != 0 {
		t.Error("decisions differ")
	}
}

// Guards against callers who wait for long because no donor has what it is expected to have, or one dies, and against speeds that the
// picker learns from such requests.
func TestDonorsWithoutPrefix(t *testing.T) {
	for _, play := range []longPlay{{routers: 6, lossy: true}, {routers: 60, lossy: true}, {routers: 6, dies: true}, {routers: 60, dies: true}} {
		routers := play.routers
		without := play.run(1)
		play.limit = 0.2
		with := play.run(1)
		without.log(t, fmt.Sprintf("%3d routers, dies %5t, none ", routers, play.dies))
		with.log(t, fmt.Sprintf("%3d routers, dies %5t, %.2f ", routers, play.dies, play.limit))
		for kind, k := range longKinds {
			if with.at(kind, 0.95) > without.at(kind, 0.95)+50 {
				t.Errorf("%d routers: p95 of %s prompts %.0f ms, %.0f ms without transfers", routers, k.name, with.at(kind, 0.95), without.at(kind, 0.95))
			}
		}
	}
}

// transferSite is a picker with three servers, of which p0 holds the prefix of the request and is busy.
func transferSite(t *testing.T, change func(list []routing.Server), limit float64) (*routing.Picker, *routing.Request, *clock) {
	t.Helper()
	c := &clock{time: time.Unix(1000, 0)}
	p := &routing.Picker{Now: c.now, Rand: func() float64 { return 0 }, Block: longBlock, Home: 1e-9, Reading: 2, Transfers: limit}
	list := plainServers(3)
	p.Update(list)
	r := &routing.Request{Service: "plan", Prompt: 17_020, TransferTime: longTokenTime, Idempotent: true}
	for block := range uint64(13) {
		r.Prefix = append(r.Prefix, block+1)
	}
	hold := *r
	hold.Only = "p0"
	for range 40 {
		choice, err := p.Pick(&hold)
		if err != nil {
			t.Fatal(err)
		}
		choice.Started()
		c.time = c.time.Add(200 * time.Millisecond)
		choice.FirstByte()
		choice.Done(routing.Finished{Cached: -1})
	}
	c.time = c.time.Add(time.Millisecond)
	list = slices.Clone(list)
	if change != nil {
		change(list)
	}
	p.Update(list)
	p.RecordLoad("p0", routing.Load{Running: 90, Queued: 60_000})
	return p, r, c
}

// Guards against a donor that is leaving, evacuated, out of the allowed data centres, of another software version or has failed, and against
// transfers that the limit does not allow.
func TestDonorMustBeUsable(t *testing.T) {
	for name, test := range map[string]struct {
		change func(list []routing.Server)
		act    func(p *routing.Picker, r *routing.Request)
		limit  float64
		donor  bool
	}{
		"usable":      {limit: 1, donor: true},
		"off":         {},
		"engine":      {limit: 1, act: func(_ *routing.Picker, r *routing.Request) { r.TransferTime = 0 }},
		"slow link":   {limit: 1, act: func(_ *routing.Picker, r *routing.Request) { r.TransferTime = time.Millisecond }},
		"limit":       {limit: 0.02},
		"leaving":     {limit: 1, change: func(list []routing.Server) { list[0].Leaving = true }},
		"evacuated":   {limit: 1, change: func(list []routing.Server) { list[0].Evacuated = true }},
		"new process": {limit: 1, change: func(list []routing.Server) { list[0].Born = 7 }},
		"software":    {limit: 1, change: func(list []routing.Server) { list[0].Software = "v2" }},
		"place":       {limit: 1, change: func(list []routing.Server) { list[1].Place, list[2].Place = "a", "a" }, act: func(_ *routing.Picker, r *routing.Request) { r.Places = []string{"a"} }},
		"announced":   {limit: 1, act: func(p *routing.Picker, _ *routing.Request) { p.MarkLeaving("p0") }},
		"failed":      {limit: 1, act: func(p *routing.Picker, _ *routing.Request) { p.RecordPoll("p0", routing.Load{}, false) }},
	} {
		t.Run(name, func(t *testing.T) {
			p, r, _ := transferSite(t, test.change, test.limit)
			if test.act != nil {
				test.act(p, r)
			}
			choice, err := p.Pick(r)
			if err != nil {
				t.Fatal(err)
			}
			if got := choice.Donor != nil && choice.Donor.Name == "p0" && choice.Server.Name != "p0" && choice.Expected.Fetched == 13*longBlock; got != test.donor {
				t.Errorf("server %s, donor %v, fetched %d", choice.Server.Name, choice.Donor, choice.Expected.Fetched)
			}
			choice.Done(routing.Cancelled{})
		})
	}
}

// Guards against a wrong speed learned from a request with a transfer, against a target that is not known to hold the prefix
// afterwards, and against a donor that dies meanwhile.
func TestTransferTeachesNoSpeed(t *testing.T) {
	p, r, c := transferSite(t, nil, 1)
	choice, err := p.Pick(r)
	if err != nil || choice.Donor == nil {
		t.Fatal(choice, err)
	}
	target := choice.Server.Name
	expect := func(cached int64) (first time.Duration) {
		t.Helper()
		explained := *r
		explained.Only, explained.Prompt, explained.Explain = target, 20_000, &routing.Explanation{}
		other, err := p.Pick(&explained)
		if err != nil {
			t.Fatal(err)
		}
		other.Done(routing.Cancelled{})
		candidate := explained.Explain.Candidates[slices.IndexFunc(explained.Explain.Candidates, func(c routing.Candidate) bool { return c.Server == target })]
		if candidate.CachedTokens != cached {
			t.Errorf("%d tokens cached, not %d", candidate.CachedTokens, cached)
		}
		return candidate.TimeToFirstToken + time.Duration(cached)*candidate.TimeToFirstToken/time.Duration(20_256-cached)
	}
	choice.Started()
	p.RecordPoll("p0", routing.Load{}, false)
	p.Update(plainServers(3)[1:])
	c.time = c.time.Add(30 * time.Second)
	choice.FirstByte()
	choice.Done(routing.Finished{Cached: -1})
	after := expect(13 * longBlock)
	fresh, _, _ := transferSite(t, nil, 1)
	p = fresh
	if before := expect(0); after > before*11/10 || before > after*11/10 {
		t.Errorf("estimated time without a cache %v before, %v after the transfer", before, after)
	}
}

func (r *longResult) add(o *longResult) {
	for kind := range r.times {
		r.times[kind] = append(r.times[kind], o.times[kind]...)
		slices.Sort(r.times[kind])
	}
	r.requests, r.transfers, r.recomputed = r.requests+o.requests, r.transfers+o.transfers, r.recomputed+o.recomputed
}

func (r *longResult) log(t *testing.T, label string) {
	t.Helper()
	for kind, k := range longKinds {
		label += fmt.Sprintf(", %s %3.0f %4.0f %4.0f", k.name, r.at(kind, 0.5), r.at(kind, 0.95), r.at(kind, 0.99))
	}
	t.Logf("%s ms; again %d, transfers %d of %d", label, r.recomputed, r.transfers, r.requests)
}
