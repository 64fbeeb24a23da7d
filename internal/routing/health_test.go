package routing_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/routing"
)

const step = 250 * time.Millisecond

// bookingSite is a router before one server of a service that gets requests which may run only once, every 250 ms.
type bookingSite struct {
	*routing.Picker
	clock   *clock
	healthy bool // What the health path says.
	sound   bool // Whether requests succeed.
	hangs   bool // Whether requests end by their deadlines.
	safe    bool // Whether requests may run more than once.
	checks  []time.Time
	sent    []time.Time
	most    int // Largest number of requests in flight at once while the circuit is not closed.
}

func newBookingSite(c *clock, routers int, random func() float64) *bookingSite {
	s := &bookingSite{clock: c, Picker: &routing.Picker{
		Now: c.now, Rand: random, Trials: true, Routers: func() int { return routers },
	}}
	s.Update(servers(1))
	choice, err := s.Pick(&routing.Request{Service: "plan", Model: "garden"})
	if err == nil {
		choice.Started()
		choice.Done(routing.Broken{Reset: true})
	}
	return s
}

// step makes the health checks that are due and sends two requests, if the picker lets them through.
func (s *bookingSite) step() {
	for _, name := range s.BeginHealthChecks(8, func(string) bool { return true }) {
		s.checks = append(s.checks, s.clock.time)
		s.EndHealthCheck(name, s.healthy)
	}
	closed := s.States()[0].Circuit == "closed"
	var running []*routing.Choice
	for range 2 {
		choice, err := s.Pick(&routing.Request{Service: "plan", Model: "garden", Idempotent: s.safe})
		if err != nil {
			continue
		}
		choice.Started()
		s.sent = append(s.sent, s.clock.time)
		running = append(running, choice)
	}
	if !closed {
		s.most = max(s.most, len(running))
	}
	for _, choice := range running {
		switch {
		case s.sound:
			choice.Done(routing.Finished{})
		case s.hangs:
			choice.Done(routing.Cancelled{})
		default:
			choice.Done(routing.Broken{Reset: true})
		}
	}
}

// run runs until the circuit is closed, or for the given time.
func (s *bookingSite) run(duration time.Duration) (closed bool) {
	for end := s.clock.time.Add(duration); s.clock.time.Before(end); s.clock.time = s.clock.time.Add(step) {
		s.step()
		if s.States()[0].Circuit == "closed" {
			return true
		}
	}
	return false
}

func seeded(seed uint64) func() float64 { return rand.New(rand.NewPCG(seed, 0)).Float64 }

// Guards against a server that is never used again because its service gets only requests that may run once: with a health
// path that works, and with one that always says that the server is unhealthy.
func TestServerReturnsWithoutIdempotentRequests(t *testing.T) {
	for seed := range uint64(50) {
		for _, healthy := range []bool{true, false} {
			is := is.New(t)
			s := newBookingSite(&clock{time.Unix(1_000_000, 0)}, 6, seeded(seed))
			s.healthy, s.sound = healthy, true
			is.Equal(s.States()[0].Circuit, "open")
			is.True(s.run(13 * time.Second))
			is.Equal(s.most, 1)
			if healthy {
				is.True(len(s.checks) <= 2)
				is.True(s.sent[0].Sub(time.Unix(1_000_000, 0)) < 3*time.Second)
			}
		}
	}
}

// Guards against requests that a failing or hanging server gets at once, or at a constant rate, because its health path
// says that it is healthy.
func TestFalseHealthyCostsFewRequests(t *testing.T) {
	for seed := range uint64(8) {
		for _, hangs := range []bool{false, true} {
			is := is.New(t)
			s := newBookingSite(&clock{time.Unix(1_000_000, 0)}, 6, seeded(seed))
			s.healthy, s.hangs = true, hangs
			is.True(!s.run(10 * time.Minute))
			is.Equal(s.most, 1)
			is.True(len(s.sent) >= 20) // It is tried again and again.
			is.True(len(s.sent) <= 50) // One in about 15 s.
			is.True(len(s.checks) <= len(s.sent)+1)
		}
	}
}

// Guards against health checks, which cost money, of servers that a request can probe, or that no request needs.
func TestNoHealthChecksWhereRequestsProbe(t *testing.T) {
	is := is.New(t)
	s := newBookingSite(&clock{time.Unix(1_000_000, 0)}, 6, seeded(1))
	s.safe = true
	s.run(5 * time.Minute)
	is.Equal(len(s.checks), 0)
	is.True(len(s.sent) > 0)

	idle := newBookingSite(&clock{time.Unix(1_000_000, 0)}, 6, seeded(1))
	for range 1000 {
		idle.clock.time = idle.clock.time.Add(100 * time.Millisecond)
		is.Equal(idle.BeginHealthChecks(8, func(string) bool { return true }), nil)
	}

	noPath := newBookingSite(&clock{time.Unix(1_000_000, 0)}, 6, seeded(1))
	_, err := noPath.Pick(&routing.Request{Service: "plan", Model: "garden"})
	is.True(err != nil)
	noPath.clock.time = noPath.clock.time.Add(5 * time.Second)
	is.Equal(noPath.BeginHealthChecks(8, func(string) bool { return false }), nil)
}

// Guards against health checks and trials of one server that grow with the fleet.
func TestProbesOfLargeFleetAreBounded(t *testing.T) {
	const routers = 400
	for _, healthy := range []bool{false, true} {
		is := is.New(t)
		c := &clock{time.Unix(1_000_000, 0)}
		begin := c.time
		var sites []*bookingSite
		for i := range routers {
			s := newBookingSite(c, routers, seeded(uint64(i)))
			s.healthy = healthy
			sites = append(sites, s)
		}
		for range 100 * time.Second / step {
			c.time = c.time.Add(step)
			for _, s := range sites {
				s.step()
			}
		}
		checks, sent := make([]int, 102), make([]int, 102) // By second.
		for _, s := range sites {
			for _, at := range s.checks {
				checks[int(at.Sub(begin).Seconds())]++
			}
			for _, at := range s.sent {
				sent[int(at.Sub(begin).Seconds())]++
			}
		}
		t.Logf("healthy %v: health checks a second at most %d, %d after a minute; requests at most %d, %d after a minute", healthy,
			slices.Max(checks), slices.Max(checks[60:]), slices.Max(sent), slices.Max(sent[60:]))
		is.True(slices.Max(checks) <= 80)
		is.True(slices.Max(checks[60:]) <= 30)
		is.True(slices.Max(sent) <= 80)
		is.True(slices.Max(sent[60:]) <= 30)
	}
}
