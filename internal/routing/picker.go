package routing

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/event"
)

type (
	// Picker chooses backend servers. Set the fields before first use. The zero value of each setting selects its
	// default.
	Picker struct {
		Router    string           // Name of this router; it selects the subset of servers.
		Subset    int              // Servers of one model that this router uses if there are more than twice as many; 16 if zero.
		Block     int              // Prompt tokens per prefix hash; 256 if zero.
		Hints     int              // Most prefix hashes remembered; 65536 if zero.
		HintLife  time.Duration    // Time after which a prefix is taken as evicted; 2 min if zero.
		SlowStart time.Duration    // Time over which a new server's share grows to its full size; 20 s if zero.
		Failures  int              // Broken attempts in a row that open a circuit; 3 if zero.
		Reopen    time.Duration    // First wait of an open circuit, which doubles; 500 ms if zero.
		LongOpen  time.Duration    // Longest wait of an open circuit; 15 s if zero.
		Grace     time.Duration    // Time after which a request probes an open circuit that no poll probed; 2 s if zero.
		Home      float64          // Part of a prefix that its home is expected to hold without a hint; 0.9 if zero.
		Reading   float64          // Weight of a prompt's reading beyond its own wait, since it holds up the streams beside it; none if zero.
		Noise     float64          // Relative random part of a score, which spreads the load; 0.05 if zero.
		Reports   float64          // Responses per second that are asked for load reports; 8 if zero.
		Now       func() time.Time // time.Now if nil.
		Rand      func() float64   // Random numbers in [0,1); math/rand/v2 if nil.
		Metrics   tally.Scope      // Optional.
		Logger    *zerolog.Logger  // Optional.

		mu       sync.Mutex
		setup    bool
		counters counters
		servers  map[string]*server
		slots    []*server // By server number; nil if free.
		groups   map[group]*members
		hints    hints
		fleet    speed // Mean over all servers, for servers without samples.
		share    share
		failure  time.Time // When a circuit last opened.
		round    uint64    // Number of calls of Due.
		asked    time.Time // Up to when the rate of load reports is used up.
		gains    []int64   // Scratch by server number: cached tokens of the current request.
		touched  []int32   // Scratch: server numbers with a gain.
	}

	// counters are the picker's metrics.
	counters struct {
		picked tally.Counter
		failed tally.Counter
		opened tally.Counter
		closed tally.Counter
	}

	// server is the picker's state of one backend server.
	server struct {
		conf    *Server
		number  int32
		added   time.Time // Start of the slow start; zero for a server of the first update.
		gone    bool      // Whether the last update did not list it.
		leaving bool
		sign    time.Time // When the server itself said that it is leaving.
		busy    time.Time // No new work before this time, by the server's own word.
		circuit circuit
		load    Load
		loaded  bool
		then    own // Own work at the time of the load report.
		own     own
		past    *history
		speed   speed
		hash    uint64  // Hash of the name, for the home of a prefix.
		trust   float64 // Share of the expected cached tokens that the server really had.
		polled  time.Time
		round   uint64 // Last call of Due that looked at the server, which may be in several groups.
	}

	// best is the result of a scan.
	best struct {
		server *server
		score  float64
		cached int64
		first  float64
	}
)

// Update replaces the set of servers. The picker keeps the slice, which must not change afterwards.
func (p *Picker) Update(servers []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prepare()
	now := p.now()
	initial := len(p.servers) == 0
	for _, s := range p.servers {
		s.gone = true
	}
	for i := range servers {
		p.update(&servers[i], now, initial)
	}
	for name, s := range p.servers {
		if s.gone {
			delete(p.servers, name)
			p.slots[s.number] = nil
		}
	}
	p.regroup()
}

// Pick chooses a server for one attempt. The result must be handed to Choice.Done in the end.
func (p *Picker) Pick(r *Request) (*Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prepare()
	now := p.now()
	members := p.groups[group{r.Service, r.Model, r.Version, r.Adapter}]
	if members == nil {
		p.counters.failed.Inc(1)
		return nil, trace.Wrap(ErrNoServer)
	}
	p.gain(r, now)
	defer p.forget()
	p.home(members.subset, r)
	found, placed := p.scan(members.subset, r, now)
	if found.server == nil && len(members.all) > len(members.subset) {
		found, placed = p.scan(members.all, r, now)
	}
	if found.server == nil {
		p.counters.failed.Inc(1)
		if !placed {
			return nil, trace.Wrap(ErrNoServer)
		}
		if after := p.rest(members.all, now); after > 0 {
			return nil, trace.Wrap(&RestError{After: after})
		}
		return nil, trace.Wrap(ErrUnavailable)
	}
	p.counters.picked.Inc(1)
	return p.choose(found, r, now), nil
}

// Report takes a load report, piggybacked on a response or polled. It never re-enables a server.
func (p *Picker) Report(name string, load Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[name]
	if s == nil {
		return
	}
	now := p.now()
	s.polled = now
	if load.Time.IsZero() || load.Time.After(now) {
		load.Time = now
	}
	if s.loaded && load.Time.Before(s.load.Time) {
		return
	}
	s.load = load
	s.loaded = true
	s.then = own{}
	if s.past != nil {
		s.then = s.past.at(load.Time)
	}
	p.share.add(float64(s.then.running), float64(load.Running+load.Waiting))
}

// Due returns up to most servers that a poll should ask for their load: first those whose open circuit waits for a
// probe, then those of the subset whose last report is the oldest and older than the given age. Servers often fail
// together, so all that were not heard of since a circuit opened are due at once. The result of each poll goes to
// Polled. It should be called about ten times a second.
func (p *Picker) Due(age time.Duration, most int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var result []string
	var stale []*server
	p.round++
	for _, members := range p.groups {
		for _, s := range members.subset {
			if s.round == p.round || s.conf.Leaving {
				continue
			}
			s.round = p.round
			switch {
			case s.circuit.due(now):
				result = append(result, s.conf.Name)
			case s.circuit.state == closed && (now.Sub(s.polled) > age || s.polled.Before(p.failure)):
				stale = append(stale, s)
			}
		}
	}
	slices.SortFunc(stale, func(a, b *server) int { return a.polled.Compare(b.polled) })
	for _, s := range stale {
		if len(result) >= most {
			break
		}
		s.polled = now
		result = append(result, s.conf.Name)
	}
	return result
}

// Polled takes the result of a poll: a load, or a failure to answer, which opens the circuit. A successful poll lets one
// request try an open circuit.
func (p *Picker) Polled(name string, load Load, ok bool) {
	if ok {
		p.Report(name, load)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[name]
	if s == nil {
		return
	}
	now := p.now()
	s.circuit.polled(ok, now, p.LongOpen)
	if !ok && s.circuit.state == closed {
		p.fail(s, false, 1, now)
	}
}

// Cached takes a cache event of an engine: the server holds the prefixes now, or evicted them. Events may be late and
// have gaps, so hints also expire.
func (p *Picker) Cached(name string, prefixes []uint64, held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[name]
	if s == nil {
		return
	}
	for _, prefix := range prefixes {
		if held {
			p.hint(prefix, s)
			continue
		}
		p.hints.remove(prefix, s.number)
	}
}

// update adds or changes one server.
func (p *Picker) update(conf *Server, now time.Time, initial bool) {
	s := p.servers[conf.Name]
	if s == nil {
		s = &server{trust: 1, number: p.number(), hash: xxhash.Sum64String(conf.Name)}
		if !initial {
			s.added = now
		}
		p.servers[conf.Name] = s
		p.slots[s.number] = s
	}
	s.conf = conf
	s.gone = false
	if s.leaving && !conf.Leaving && conf.Observed.After(s.sign) {
		s.leaving = false
		s.added = now
		event.ServerReturned.Log(p.Logger).Str("server", conf.Name).Send()
	}
}

// number returns a free server number.
func (p *Picker) number() int32 {
	for i, s := range p.slots {
		if s == nil {
			return int32(i)
		}
	}
	p.slots = append(p.slots, nil)
	p.gains = append(p.gains, 0)
	return int32(len(p.slots) - 1)
}

// scan returns the server with the lowest score, and whether any server was in an allowed place.
func (p *Picker) scan(servers []*server, r *Request, now time.Time) (best, bool) {
	var found best
	placed := false
	scale := p.share.scale()
	random := p.random()
	for _, s := range servers {
		reason := p.out(s, r, now)
		if reason != wrongPlace {
			placed = true
		}
		if reason != "" {
			r.Explain.add(Candidate{Server: s.conf.Name, Out: reason})
			continue
		}
		e := p.estimate(s, r, now, scale)
		if r.Explain != nil {
			r.Explain.add(e.candidate(s))
		}
		// Routers that see the same reports would all choose the same server; a few percent of noise spreads them.
		// One random number per decision is enough: steps of the golden ratio spread it evenly over the servers.
		random += golden
		if random >= 1 {
			random--
		}
		score := e.score * (1 + p.Noise*random)
		if s.conf.Name == r.Prefer && r.Prefer != "" {
			score = -1
		}
		if found.server == nil || score < found.score {
			found = best{server: s, score: score, cached: e.cached, first: e.first}
		}
	}
	return found, placed
}

// out returns why the server is no candidate, or nothing.
func (p *Picker) out(s *server, r *Request, now time.Time) string {
	switch {
	case len(r.Places) > 0 && !slices.Contains(r.Places, s.conf.Place):
		return wrongPlace
	case s.conf.Leaving || s.leaving:
		return "leaving"
	case r.Only != "" && s.conf.Name != r.Only:
		return "another server is required"
	case slices.Contains(r.Tried, s.conf.Name):
		return "already tried"
	case slices.Contains(r.Exclude, s.conf.Name):
		return "excluded"
	case now.Before(s.busy):
		return "busy"
	case !s.circuit.allows(now, r.Idempotent, p.Grace):
		return s.circuit.state.String()
	default:
		return ""
	}
}

// choose records the decision in the server's own work.
func (p *Picker) choose(found best, r *Request, now time.Time) *Choice {
	s := found.server
	c := &Choice{
		Server:  &s.conf.BackendServer,
		Sample:  p.sample(now),
		picker:  p,
		server:  s,
		probe:   s.circuit.enter(),
		urgent:  r.Priority > 0,
		prefix:  r.Prefix,
		cached:  found.cached,
		pending: max(r.Prompt-found.cached, 0),
		begin:   now,
	}
	s.own.running++
	s.own.pending[0] += c.pending
	if c.urgent {
		s.own.pending[1] += c.pending
	}
	c.batch, c.ahead = p.expect(s, p.share.scale(), now, c.urgent)
	s.note(now)
	c.Expected = Expectation{Cached: c.cached, Ahead: int64(c.ahead), Batch: int(c.batch)}
	if s.loaded {
		c.Expected.Age = now.Sub(s.load.Time)
	}
	return c
}

// sample reports whether the next response should carry a load report.
func (p *Picker) sample(now time.Time) bool {
	if p.asked.After(now) {
		return false
	}
	// Up to a second's worth of reports may come in a row.
	if p.asked.Before(now.Add(-time.Second)) {
		p.asked = now.Add(-time.Second)
	}
	p.asked = p.asked.Add(time.Duration(float64(time.Second) / p.Reports))
	return true
}

// note stores the own work in the history.
func (s *server) note(now time.Time) {
	if s.past == nil {
		s.past = &history{}
	}
	s.past.note(now, s.own)
}

// add appends a candidate. It does nothing if no explanation was asked for.
func (e *Explanation) add(c Candidate) {
	if e != nil {
		e.Candidates = append(e.Candidates, c)
	}
}
