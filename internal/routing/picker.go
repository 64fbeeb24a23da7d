package routing

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

type (
	// Picker picks backend servers. Set the fields before first use. The zero value of each setting selects its
	// default.
	Picker struct {
		Router    string           // Name of this router, which determines its subset of servers.
		Subset    int              // Servers used per model if more than twice as many exist; 16 if zero.
		Block     int              // Prompt tokens per prefix hash; 256 if zero.
		Hints     int              // Maximum number of prefix hashes in the index; 65536 if zero.
		HintLife  time.Duration    // Time after which a prefix in the index counts as evicted; 2 min if zero.
		SlowStart time.Duration    // Time until a new or recovered server has its full share of requests; 20 s if zero.
		Failures  int              // Consecutive broken attempts that open a circuit; 3 if zero.
		Reopen    time.Duration    // Initial backoff of an open circuit, doubled by each failed probe; 500 ms if zero.
		LongOpen  time.Duration    // Maximum backoff of an open circuit; 15 s if zero.
		Grace     time.Duration    // Time after the backoff until a request may probe if no poll did; 2 s if zero.
		Home      float64          // Fraction of a prefix expected at a home server that is not indexed; 0.9 if zero.
		Reading   float64          // Weight of the uncached prompt, as its prefill delays other streams; none if zero.
		Noise     float64          // Random part of a score, relative to it, which spreads the load; 0.05 if zero.
		Transfers float64          // Limit of prefix transfers, as a share of the requests that could use one; none if zero.
		Trials    bool             // Whether requests that may run only once may probe a circuit, if no server has received them.
		Routers   func() int       // Routers of the fleet, which bounds their probes together; one if nil.
		Reports   float64          // Load reports per second to ask for with requests; 8 if zero.
		Now       func() time.Time // time.Now if nil.
		Rand      func() float64   // Random numbers in [0,1); math/rand/v2 if nil.
		Metrics   tally.Scope      // Optional.
		Logger    *zerolog.Logger  // Optional.

		mu                    sync.Mutex
		initialized           bool
		counters              counters
		servers               map[string]*server
		serversByIndex        []*server // Index is server.index; nil if free.
		groups                map[groupKey]*serverGroup
		prefixes              prefixIndex
		fleetSpeed            speed // Mean over all servers, used for servers without samples.
		workShare             workShare
		transferCredit        float64          // Prefix transfers that the limit allows now.
		lastOpened            time.Time        // Time at which a circuit last opened.
		pauses                map[string]pause // Of servers that were removed while they wanted no new work, by name.
		pollRound             uint64           // Number of polling rounds so far.
		nextReport            time.Time        // Earliest time of the next request that asks for a load report.
		expectedCached        []int64          // Scratch space by server.index: prompt tokens that its cache should hold.
		expectedCachedIndexes []int32          // Scratch space: indexes of the servers with a value in expectedCached.
		donors                []*server        // Scratch space: servers from which the request's prefix could be fetched.
	}

	// counters are the picker's metrics.
	counters struct {
		picked tally.Counter
		failed tally.Counter
		opened tally.Counter
		closed tally.Counter
		trials tally.Counter
		// workTimes counts load reports with a relative work time.
		workTimes tally.Counter
		// transfers counts the choices with a prefix transfer, transferTokens their tokens.
		transfers      tally.Counter
		transferTokens tally.Counter
	}

	// server is the picker's state for one backend server.
	server struct {
		config         *Server
		index          int32     // Position in Picker.serversByIndex, reused after the server's removal.
		slowStartBegin time.Time // Start of the slow start; zero if there was none, as after the first update.
		unlisted       bool      // Whether the last update no longer listed the server.
		leaving        bool
		leavingAt      time.Time // Last time at which the server itself announced that it is leaving.
		busyUntil      time.Time // No new work before this time, as the server asked.
		circuit        circuit
		neededAt       time.Time // Last time at which the circuit excluded a request that may run only once.
		idempotentAt   time.Time // Last time at which the server was a candidate for an idempotent request.
		load           Load
		hasLoad        bool    // Whether load holds a report.
		ownAtReport    ownWork // The router's own work at the time of the load report.
		ownWork        ownWork
		history        *history
		speed          speed
		workTime       workTime
		linkFreeAt     time.Time // Expected end of the last prefix transfer to or from it that this router has started.
		nameHash       uint64    // Hash of the name, for selecting the home server of a prefix.
		minHintExpiry  int64     // Least expiry of its entries in the prefix index; older ones are of another server.
		cacheHitRatio  float64   // Mean fraction of the expected cached tokens that the server found in its cache.
		lastContact    time.Time // Time of the last load report or of the start of a poll.
		pollRound      uint64    // Last polling round that visited the server, which may belong to several groups.
	}

	// bestServer is the best server that findBest found.
	bestServer struct {
		server       *server
		score        float64
		cachedTokens int64 // Prompt tokens expected in the server's prefix cache.
		firstToken   float64
		transfer     transfer // Its donor is nil if the prefix is not fetched.
	}
)

// Update replaces the set of servers. The picker keeps the slice, which must not be modified afterwards.
func (p *Picker) Update(servers []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.initialize()
	now := p.now()
	initial := len(p.servers) == 0
	for _, s := range p.servers {
		s.unlisted = true
	}
	for i := range servers {
		p.updateServer(&servers[i], now, initial)
	}
	for name, s := range p.servers {
		if s.unlisted {
			delete(p.servers, name)
			p.serversByIndex[s.index] = nil
			p.keepPause(name, pause{born: s.config.Born, until: s.busyUntil}, now)
		}
	}
	maps.DeleteFunc(p.pauses, func(_ string, kept pause) bool { return !now.Before(kept.until) })
	p.rebuildGroups()
}

// Pick picks a server for one attempt. The caller must call Choice.Done on the result. The errors wrap ErrNoServer or
// ErrUnavailable.
func (p *Picker) Pick(r *Request) (*Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.initialize()
	now := p.now()
	group := p.groups[groupKey{r.Service, r.Model, r.Version, r.Adapter}]
	if group == nil {
		p.counters.failed.Inc(1)
		return nil, trace.Wrap(ErrNoServer)
	}
	p.expectCached(r, now)
	defer p.clearExpectedCached()
	p.expectCachedAtHome(group.subset, r)
	p.findDonors(group.all, r, now)
	best, anyAllowed := p.findBest(group.subset, r, now)
	if best.server == nil && len(group.all) > len(group.subset) {
		best, anyAllowed = p.findBest(group.all, r, now)
	}
	if best.server == nil {
		p.counters.failed.Inc(1)
		if !anyAllowed {
			return nil, trace.Wrap(ErrNoServer)
		}
		if wait := p.timeUntilFree(group.all, r, now); wait > 0 {
			return nil, trace.Wrap(&BusyError{After: wait})
		}
		return nil, trace.Wrap(ErrUnavailable)
	}
	p.counters.picked.Inc(1)
	return p.recordChoice(best, r, now), nil
}

// RecordLoad records a load report, which came with a response or from a poll. It never closes a circuit or makes a
// leaving server eligible again.
func (p *Picker) RecordLoad(name string, load Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[name]
	if s == nil {
		return
	}
	now := p.now()
	s.lastContact = now
	if load.Time.IsZero() || load.Time.After(now) {
		load.Time = now
	}
	if s.hasLoad && load.Time.Before(s.load.Time) {
		return
	}
	s.load = load
	s.hasLoad = true
	if load.WorkTime > 0 {
		p.counters.workTimes.Inc(1)
		s.workTime.add(load.WorkTime, load.Time)
	}
	s.ownAtReport = ownWork{}
	if s.history != nil {
		s.ownAtReport = s.history.at(load.Time)
	}
	p.workShare.add(float64(s.ownAtReport.running), float64(load.Running+load.Waiting))
}

// ServersToPoll returns the servers that should be polled for their load: first all whose open circuit is due for a
// probe, then, up to the limit, those of the subset without a report for more than maxAge, the oldest first. Servers
// often fail together, so servers without a report since a circuit last opened are due at once. The caller must record
// the result of each poll. ServersToPoll should be called about ten times a second.
func (p *Picker) ServersToPoll(maxAge time.Duration, limit int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var result []string
	var stale []*server
	p.pollRound++
	for _, group := range p.groups {
		for _, s := range group.subset {
			if s.pollRound == p.pollRound || s.config.Leaving || s.config.Evacuated {
				continue
			}
			s.pollRound = p.pollRound
			switch {
			case s.circuit.beginPoll(now):
				result = append(result, s.config.Name)
			case s.circuit.state == stateClosed && (now.Sub(s.lastContact) > maxAge || s.lastContact.Before(p.lastOpened)):
				stale = append(stale, s)
			}
		}
	}
	slices.SortFunc(stale, func(a, b *server) int { return a.lastContact.Compare(b.lastContact) })
	for _, s := range stale {
		if len(result) >= limit {
			break
		}
		s.lastContact = now
		result = append(result, s.config.Name)
	}
	return result
}

// RecordPoll records the result of a poll: a load report, or a failure, which opens the circuit. After a successful
// poll, one request may probe an open circuit.
func (p *Picker) RecordPoll(name string, load Load, ok bool) {
	if ok {
		p.RecordLoad(name, load)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[name]
	if s == nil {
		return
	}
	now := p.now()
	s.circuit.endPoll(ok, now, p.LongOpen)
	if !ok && s.circuit.state == stateClosed {
		p.recordFailure(s, false, 1, now)
	}
}

// RecordCacheEvent records a cache event of an engine: the server now holds the prefixes, or has evicted them. Events
// may be late or missing, so entries of the prefix index also expire.
func (p *Picker) RecordCacheEvent(name string, prefixes []uint64, held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[name]
	if s == nil {
		return
	}
	for _, prefix := range prefixes {
		if held {
			p.addPrefix(prefix, s)
			continue
		}
		p.prefixes.remove(prefix, s.index)
	}
}

// findBest returns the server with the lowest score, and whether any server was in an allowed place.
func (p *Picker) findBest(servers []*server, r *Request, now time.Time) (bestServer, bool) {
	var best, bestTransfer bestServer
	anyAllowed := false
	scale := p.workShare.scale()
	random := p.random()
	for _, s := range servers {
		reason := p.exclusionReason(s, r, now)
		if reason != placeNotAllowed {
			anyAllowed = true
		}
		if reason != "" {
			r.Explain.add(Candidate{Server: s.config.Name, ExclusionReason: reason})
			continue
		}
		e := p.estimate(s, r, now, scale)
		if r.Explain != nil {
			r.Explain.add(e.candidate(s))
		}
		// Routers that see the same reports would all pick the same server; a few percent of noise spreads their picks.
		// One random number per decision is enough: steps of the golden ratio spread it evenly over the servers.
		random += goldenRatioFraction
		if random >= 1 {
			random--
		}
		noise := 1 + p.Noise*random
		score := e.score * noise
		if s.config.Name == r.Prefer && r.Prefer != "" {
			score = -1
		}
		if best.server == nil || score < best.score {
			best = bestServer{server: s, score: score, cachedTokens: e.cachedTokens, firstToken: e.firstToken}
		}
		if t := p.planTransfer(s, r, &e, now); t.donor != nil {
			bestTransfer.improve(s, &e, t, noise)
		}
	}
	if bestTransfer.server != nil && bestTransfer.score < best.score {
		return bestTransfer, anyAllowed
	}
	return best, anyAllowed
}

// exclusionReason returns why the server is no candidate, or an empty string if it is one.
func (p *Picker) exclusionReason(s *server, r *Request, now time.Time) string {
	switch {
	case !r.allowsPlace(s):
		return placeNotAllowed
	case s.config.Evacuated:
		return evacuated
	case s.config.Leaving || s.leaving:
		return "leaving"
	case r.Only != "" && s.config.Name != r.Only:
		return "another server is required"
	case r.Software != "" && s.config.Software != r.Software:
		return "another software version"
	case slices.Contains(r.Tried, s.config.Name):
		return "already tried"
	case slices.Contains(r.Exclude, s.config.Name):
		return "excluded"
	case now.Before(s.busyUntil):
		return "busy"
	case !p.allowed(s, r, now):
		return s.circuit.state.String()
	case r.Spare > 0 && s.circuit.state != stateClosed:
		return "probe of the circuit"
	case r.Spare > 0 && (now.Sub(s.load.Time) > r.Spare || p.freeSlots(s) <= 0):
		return "no free slots known"
	default:
		return ""
	}
}

// allowsPlace reports whether the request may be sent to the data centre of a server.
func (r *Request) allowsPlace(s *server) bool {
	return len(r.Places) == 0 || slices.Contains(r.Places, s.config.Place)
}

// recordChoice adds the request to the router's own work at the picked server and returns the choice.
func (p *Picker) recordChoice(best bestServer, r *Request, now time.Time) *Choice {
	s := best.server
	free := p.freeSlots(s)
	probe := s.circuit.beginRequest()
	c := &Choice{
		Server:        &s.config.BackendServer,
		Sample:        p.takeReportSlot(now),
		picker:        p,
		server:        s,
		probe:         probe,
		trial:         probe && p.isTrial(r),
		urgent:        r.Priority > 0,
		prefixHashes:  r.Prefix,
		cachedTokens:  best.cachedTokens,
		pendingTokens: max(r.Prompt-best.cachedTokens, 0),
		sentAt:        now,
	}
	s.ownWork.running++
	s.ownWork.pendingTokens[0] += c.pendingTokens
	if c.urgent {
		s.ownWork.pendingTokens[1] += c.pendingTokens
	}
	c.batchSize, c.tokensAhead = p.expectedWork(s, p.workShare.scale(), now, c.urgent)
	s.recordOwnWork(now)
	c.Expected = Expectation{Cached: c.cachedTokens, Ahead: int64(c.tokensAhead), Batch: int(c.batchSize), WorkTime: s.workTime.factor(now)}
	c.recordTransfer(best.transfer, r, now)
	c.Expected.First, c.Expected.Free = toDuration(best.firstToken), free
	if s.hasLoad {
		c.Expected.Age = now.Sub(s.load.Time)
	}
	return c
}

// takeReportSlot reports whether this request should ask for a load report, and counts it against the rate if so.
func (p *Picker) takeReportSlot(now time.Time) bool {
	if p.nextReport.After(now) {
		return false
	}
	// Unused rate accumulates for at most one second.
	if p.nextReport.Before(now.Add(-time.Second)) {
		p.nextReport = now.Add(-time.Second)
	}
	p.nextReport = p.nextReport.Add(time.Duration(float64(time.Second) / p.Reports))
	return true
}

// recordOwnWork stores the current own work in the history.
func (s *server) recordOwnWork(now time.Time) {
	if s.history == nil {
		s.history = &history{}
	}
	s.history.record(now, s.ownWork)
}

// add appends a candidate. It does nothing on a nil receiver, when no explanation was requested.
func (e *Explanation) add(c Candidate) {
	if e != nil {
		e.Candidates = append(e.Candidates, c)
	}
}
