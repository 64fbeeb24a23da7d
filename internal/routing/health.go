package routing

import (
	"slices"
	"time"

	"citronslip/internal/event"
)

const (
	// neededWindow is the time for which a request that an open circuit excluded shows that the server is needed. Callers
	// come back later than after a few seconds.
	neededWindow = 30 * time.Second
	// idempotentWindow is the time after an idempotent request within which others are expected, which probe the circuits.
	idempotentWindow = 10 * time.Second
	// healthIntervalPerRouter bounds the first health checks of a server by all routers together to 50 a second on average,
	// and maxHealthIntervalPerRouter later ones, and trials, to 10 a second.
	healthIntervalPerRouter    = 20 * time.Millisecond
	maxHealthIntervalPerRouter = 100 * time.Millisecond
	// trialFactor is the wait before a trial without a successful health check, relative to the circuit's backoff. Health
	// checks are cheaper than a caller's request, so that several come first.
	trialFactor = 8
)

type (
	// healthState is what is known from the health checks of a server whose circuit is not closed.
	healthState struct {
		healthy  bool // Whether the last check succeeded.
		inFlight bool
		failures int       // Unsuccessful checks since the last successful one.
		checkAt  time.Time // Earliest time of the next check.
	}
)

// BeginHealthChecks returns up to limit servers whose health is to be checked now. These are servers of the services that
// have a health path whose circuits are not closed, which requests need, and which no request can probe. There are none
// unless Trials is set. The caller must pass the result of each check to EndHealthCheck.
func (p *Picker) BeginHealthChecks(limit int, hasPath func(service string) bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if !p.Trials {
		return nil
	}
	var due []*server
	for _, s := range p.servers {
		if s.healthCheckDue(now) && hasPath(s.config.Service) {
			due = append(due, s)
		}
	}
	slices.SortFunc(due, func(a, b *server) int { return a.circuit.health.checkAt.Compare(b.circuit.health.checkAt) })
	var names []string
	for _, s := range due[:min(len(due), limit)] {
		s.circuit.health.inFlight = true
		names = append(names, s.config.Name)
	}
	return names
}

// healthCheckDue reports whether the server's health is to be checked now.
func (s *server) healthCheckDue(now time.Time) bool {
	c := &s.circuit
	switch {
	case c.state == stateClosed || c.requestInFlight || c.health.healthy || c.health.inFlight || now.Before(c.health.checkAt):
		return false
	case s.leaving || s.config.Leaving || now.Before(s.busyUntil):
		return false
	}
	return now.Sub(s.neededAt) < neededWindow && now.Sub(s.idempotentAt) >= idempotentWindow
}

// EndHealthCheck records the result of a health check. After a successful one, one request at a time may probe the
// circuit, also one that may run only once. The wait after an unsuccessful one doubles.
func (p *Picker) EndHealthCheck(name string, healthy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[name]
	if s == nil || !s.circuit.health.inFlight {
		return
	}
	c := &s.circuit
	c.health.inFlight = false
	if !healthy {
		c.health.failures++
		c.health.checkAt = p.now().Add(p.healthWait(c.health.failures))
		return
	}
	c.health.healthy, c.health.failures = true, 0
	if c.state == stateOpen {
		c.state, c.requestInFlight = stateHalfOpen, false
	}
}

// scheduleProbes sets the times of the next health check and trial after the circuit opened.
func (p *Picker) scheduleProbes(c *circuit, now time.Time) {
	if !p.Trials {
		return
	}
	c.health = healthState{checkAt: now.Add(max(c.backoff, p.healthWait(c.failedProbes)))}
	wait := max(trialFactor*c.backoff, p.fleetInterval(maxHealthIntervalPerRouter))
	c.trialAt = now.Add(p.jitter(wait))
}

// healthWait returns the wait before a health check after a number of failures, with a jitter of half of it.
func (p *Picker) healthWait(failures int) time.Duration {
	wait := max(p.Reopen, p.fleetInterval(healthIntervalPerRouter))
	wait = min(wait<<min(failures, 10), max(p.LongOpen, p.fleetInterval(maxHealthIntervalPerRouter)))
	return p.jitter(wait)
}

// jitter returns a random time from half to three halves of a wait.
func (p *Picker) jitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(p.random()*float64(wait))
}

// fleetInterval returns the time in which each router of the fleet may act once.
func (p *Picker) fleetInterval(perRouter time.Duration) time.Duration {
	if p.Routers == nil {
		return perRouter
	}
	return time.Duration(max(p.Routers(), 1)) * perRouter
}

// isTrial reports whether the request may probe although it may run only once: no server has received it.
func (p *Picker) isTrial(r *Request) bool { return p.Trials && !r.Idempotent && len(r.Tried) == 0 }

// allowed reports whether the circuit of a server lets a request through, and records which requests need the server.
func (p *Picker) allowed(s *server, r *Request, now time.Time) bool {
	ok := s.circuit.allows(now, r.Idempotent, p.isTrial(r), p.Grace)
	switch {
	case r.Idempotent:
		s.idempotentAt = now
	case !ok:
		s.neededAt = now
	}
	return ok
}

// logTrial counts and logs a request that may run only once and probes a server.
func (p *Picker) logTrial(s *server) {
	p.counters.trials.Inc(1)
	event.CircuitTrial.Log(p.Logger).Str("server", s.config.Name).Bool("healthy", s.circuit.health.healthy).Send()
}
