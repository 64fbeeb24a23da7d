// Package coldstart bounds the requests that all routers together send to a backend server that has just started or has
// become cold again. A cold server crashes above a rate that the configuration names. One router, the issuer, hands out a
// permit for each request to the server. Routers find the issuer by rendezvous hashing over the running routers, so that
// no row of the store is needed for a state that lasts for seconds.
package coldstart

import (
	"context"
	"errors"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/delay"
	"citronslip/internal/event"
	"citronslip/internal/wire"
)

const (
	// clockTolerance is the assumed maximum difference between the clocks of two hosts. A start within it may be recent.
	clockTolerance = 10 * time.Second
	// maxRemaining bounds the remaining cold time that a row or a response may name.
	maxRemaining = time.Minute
	// goneTTL is how long a removed server is remembered. Its row may have lapsed in an outage of the store, after which
	// the same process is not cold.
	goneTTL = 2 * time.Minute
	// refreshInterval is the time between two looks at the running routers.
	refreshInterval = 500 * time.Millisecond
)

var (
	// ErrUnsupported is returned by a PeerClient when a router does not know the call, as it is of an earlier release.
	ErrUnsupported = errors.New("coldstart: other router does not know the call")
)

type (
	// Terms are the cold start of a service. With a zero field its servers are never cold.
	Terms struct {
		Duration time.Duration // How long a server is cold after its start.
		Rate     float64       // Requests per second that all routers together send to a cold server.
	}

	// Bound is the maximum number of requests to a cold server in any second: Factor times the rate of the service plus
	// Slack. The zero value is no bound.
	Bound struct {
		Factor, Slack float64
	}

	// Server is a backend server as described by its row in the store.
	Server struct {
		Name, Service, Place string
		Born                 int64         // Start of its process in Unix milliseconds.
		Remaining            time.Duration // Remaining cold time by the row.
		Row                  int64         // Version of the row.
	}

	// PeerClient is a client for calls to other routers.
	PeerClient interface {
		// Take asks for a permit.
		Take(ctx context.Context, address string, ask wire.ColdstartTake) (wire.ColdstartAnswer, error)
	}

	// Limiter knows which servers are cold, obtains permits for requests to them and issues permits for some of them. Set
	// the exported fields before the first use. The methods that requests use accept a nil Limiter, to which no server is
	// cold.
	Limiter struct {
		Address string // At which other routers reach this one.
		Peers   PeerClient
		// View returns the addresses of the other running routers by the fleet's membership view, and whether that lists
		// this router.
		View      func() (others []string, listed bool)
		NewsAge   func() time.Duration                // Time since the last answer of the store.
		Terms     func(service string) Terms          // Returns the cold start of a service.
		SlowStart func(server string, from time.Time) // Begins the slow start of a server at a time to come; optional.
		Now       func() time.Time
		Logger    *zerolog.Logger
		Metrics   tally.Scope

		mu       sync.Mutex
		servers  map[string]*server
		suspects map[string]*server   // Servers that may be cold. It is small, as each request looks through it.
		marked   map[string]time.Time // When all servers of a place last counted as cold.

		unreachable map[string]time.Time // When routers last failed to answer, by address.
		unsupported map[string]time.Time // When routers last answered that they do not know the call, by address.
		schedules   map[string]*schedule // Of the servers for which this router issues permits.
		seen        map[string]time.Time // When other routers were last in the view, by address.
		refreshedAt time.Time
		others      []string  // Addresses of the other routers at that time.
		listedSince time.Time // Time since which the view lists this router without a gap; zero if it does not.
	}

	// server is the state of one server.
	server struct {
		Server
		seenAt       time.Time // When its process was first seen.
		age          time.Duration
		initial      bool      // Whether the process was running when this router first read the servers; age is valid.
		until        time.Time // End of the cold state by rows and responses.
		source       string    // Why it was last cold, for the log.
		slowStart    time.Time // Begin of its slow start.
		suspectSince time.Time
		goneSince    time.Time // Zero while it is registered.

		freeAt  time.Time // Time before which no permit is free, as the issuer said.
		retryAt time.Time // Time before which this router asks only for requests that can wait.
		alone   *schedule // Permits of this router alone while the issuers are routers of an earlier release; nil before.
	}
)

// Limit returns the terms with a rate at which the servers stay within the bound although routers disagree about the
// issuer for a while.
func (t Terms) Limit(b Bound) Terms {
	if t.Rate <= 0 || b == (Bound{}) {
		return t
	}
	most := b.Factor*t.Rate + b.Slack
	for t.Rate > minRate && maxPerSecond(t.Rate) > most {
		t.Rate *= rateStep
	}
	return t
}

// maxPerSecond returns the maximum number of permits for one server within a second: those of the issuer, and of three
// routers that stand in for it.
func maxPerSecond(rate float64) float64 {
	return math.Ceil(rate) + maxStandIns*math.Ceil(standInShare*rate)
}

// Observe records the registered servers. A process that was not among them before is cold, except that of those of the
// first call only the ones that may have just started are.
func (l *Limiter) Observe(servers []Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	initial := len(l.servers) == 0
	if l.servers == nil {
		l.servers = make(map[string]*server)
	}
	listed := make(map[string]bool, len(servers))
	for _, next := range servers {
		listed[next.Name] = true
		s := l.servers[next.Name]
		if s == nil || s.Born != next.Born {
			s = &server{Server: next, seenAt: now, initial: initial, age: now.Sub(time.UnixMilli(next.Born)), source: "start"}
			s.Row = 0
			l.servers[next.Name] = s
			delete(l.suspects, next.Name)
			if !initial || s.age < maxRemaining {
				l.suspect(s, now)
			}
		}
		if next.Remaining > 0 && next.Row != s.Row {
			l.extend(s, now, next.Remaining, "row")
		}
		s.Server, s.goneSince = next, time.Time{}
	}
	for name, s := range l.servers {
		switch {
		case listed[name]:
		case s.goneSince.IsZero():
			s.goneSince = now
		case now.Sub(s.goneSince) > goneTTL:
			delete(l.servers, name)
			delete(l.suspects, name)
		}
	}
}

// MarkCold makes all servers of a place cold for the time of a cold start, as after the end of an evacuation.
func (l *Limiter) MarkCold(place string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if l.marked == nil {
		l.marked = make(map[string]time.Time)
	}
	count := 0
	for _, s := range l.servers {
		if s.Place == place && l.terms(s).Duration > 0 {
			if !l.coldUntil(s).After(now) {
				s.source = "evacuation"
			}
			l.suspect(s, now)
			count++
		}
	}
	l.marked[place] = now
	if count > 0 {
		event.PlaceCold.Log(l.Logger).Str("place", place).Int("servers", count).Send()
	}
}

// RecordResponse records the remaining cold time that a response of a server named.
func (l *Limiter) RecordResponse(name string, remaining time.Duration) {
	if l == nil || remaining <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.servers[name]; s != nil {
		l.extend(s, l.Now(), remaining, "response")
	}
}

// extend makes a server cold for at least the given time. The caller holds the lock.
func (l *Limiter) extend(s *server, now time.Time, remaining time.Duration, source string) {
	if until := now.Add(min(remaining, maxRemaining)); until.After(s.until) {
		if l.terms(s).Duration > 0 && !l.coldUntil(s).After(now) {
			s.source = source
		}
		s.until = until
	}
	l.suspect(s, now)
}

// suspect records that a server may be cold. The caller holds the lock.
func (l *Limiter) suspect(s *server, now time.Time) {
	if l.suspects == nil {
		l.suspects = make(map[string]*server)
	}
	l.suspects[s.Name] = s
	s.suspectSince = now
}

// terms returns the terms of a server, with both fields zero if it is never cold.
func (l *Limiter) terms(s *server) Terms {
	if t := l.Terms(s.Service); t.Duration > 0 && t.Rate > 0 {
		return t
	}
	return Terms{}
}

// coldUntil returns the end of the cold state of a server, which may be past. The configuration may become known only
// after the server, so that its terms are applied here. The caller holds the lock.
func (l *Limiter) coldUntil(s *server) time.Time {
	t := l.terms(s)
	if t.Duration == 0 {
		return time.Time{}
	}
	left := t.Duration
	if s.initial {
		left = min(left, t.Duration+clockTolerance-s.age)
	}
	until := s.until
	if end := s.seenAt.Add(left); end.After(until) {
		until = end
	}
	if at, ok := l.marked[s.Place]; ok && at.Add(t.Duration).After(until) {
		until = at.Add(t.Duration)
	}
	return until
}

// IsCold reports whether a server is cold.
func (l *Limiter) IsCold(name string) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[name]
	return s != nil && l.coldUntil(s).After(l.Now())
}

// ColdServers returns the names of the servers that are cold.
func (l *Limiter) ColdServers() []string {
	return l.suspectsWhere(func(*server, time.Time) bool { return true })
}

// ExhaustedServers returns the names of the cold servers for which this router knows that no permit is free at present.
func (l *Limiter) ExhaustedServers() []string {
	return l.suspectsWhere(func(s *server, now time.Time) bool { return s.retryAt.After(now) })
}

// suspectsWhere returns the names of the cold servers that fulfil a condition.
func (l *Limiter) suspectsWhere(holds func(s *server, now time.Time) bool) []string {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	now := l.Now()
	for name, s := range l.suspects {
		if holds(s, now) && l.coldUntil(s).After(now) {
			names = append(names, name)
		}
	}
	return names
}

// Run follows the running routers and begins the slow start of cold servers, until the context ends. It returns nil.
func (l *Limiter) Run(ctx context.Context) error {
	for delay.Sleep(ctx, refreshInterval) {
		l.refresh()
	}
	return nil
}

func (l *Limiter) refresh() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	l.followView(now)
	cold := 0
	for name, s := range l.suspects {
		until := l.coldUntil(s)
		switch {
		case until.After(now):
			cold++
			l.beginSlowStart(s, now, until)
		case now.Sub(s.suspectSince) > maxRemaining:
			delete(l.suspects, name)
		}
	}
	l.Metrics.Gauge("servers").Update(float64(cold))
	maps.DeleteFunc(l.schedules, func(_ string, s *schedule) bool { return now.Sub(s.usedAt) > maxRemaining })
	maps.DeleteFunc(l.unreachable, func(_ string, at time.Time) bool { return now.Sub(at) >= unreachableTTL })
	maps.DeleteFunc(l.unsupported, func(_ string, at time.Time) bool { return now.Sub(at) >= unsupportedTTL })
}

// beginSlowStart lets the share of a cold server rise slowly from the end of its cold state on. The caller holds the lock.
func (l *Limiter) beginSlowStart(s *server, now, until time.Time) {
	if !s.slowStart.After(now) {
		event.ServerCold.Log(l.Logger).Str("server", s.Name).Int64("born", s.Born).Dur("remaining", until.Sub(now)).
			Str("source", s.source).Send()
	}
	s.slowStart = until
	if l.SlowStart != nil {
		l.SlowStart(s.Name, until) // Each time, as the picker may have learned of the process only since the last call.
	}
}
