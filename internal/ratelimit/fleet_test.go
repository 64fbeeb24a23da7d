package ratelimit_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/delay"
	"citronslip/internal/ratelimit"
	"citronslip/internal/store"
)

const (
	// hop is the time that a message takes from one process to another.
	hop = time.Millisecond
	// backgroundTime is the longest time of what a router has begun in the background: a write of 1 s, and after its failure
	// calls of 0.2 s each to 300 routers, 16 at a time.
	backgroundTime = 6 * time.Second
	// membersLag is the delay of news about joined and stopped routers in a large fleet.
	membersLag = 9 * time.Second
	// settleTime is how long after a server first names a limit the limit must be in force.
	settleTime = 3 * time.Second
	// window is the window in which requests are counted. It may have windowFactor times what the limit allows and
	// windowTolerance requests.
	window          = 4 * time.Second
	windowFactor    = 1.5
	windowTolerance = 5
	// lateWriteTime is the time after which a write whose answer was lost is applied.
	lateWriteTime = 4 * time.Second
	// informTime is how long after a response has told a router the limit its requests count.
	informTime = 500 * time.Millisecond
)

var (
	errNoAnswer = errors.New("test: no answer")

	process = ratelimit.Process{Server: "i-1", Born: 7}
)

type (
	// fleet is a number of routers before one backend server, on simulated time. Messages between them take a hop.
	fleet struct {
		t       testing.TB
		store   *store.Memory
		down    atomic.Bool // Whether the store refuses all calls.
		late    atomic.Bool // Whether the next write is applied late and its answer is lost.
		server  server
		routers []*router // Only for the goroutine of the test.
		mu      sync.Mutex
		byName  map[string]*router // By address.
		asks    atomic.Int64       // Calls between routers.
		ctx     context.Context
		stop    context.CancelFunc
		running sync.WaitGroup
		logger  zerolog.Logger
		maxWait atomic.Int64 // Of all requests, in nanoseconds.
	}

	// server is a backend server that may name a limit.
	server struct {
		mu       sync.Mutex
		limit    ratelimit.Announcement
		named    time.Time // When it first named a limit.
		room     *room     // Nil unless it is brittle.
		arrivals []time.Time
		informed []time.Time // Arrivals from routers that had received the limit in a response.
	}

	// router is one router with its callers.
	router struct {
		fleet      *fleet
		address    string
		limiter    atomic.Pointer[ratelimit.Limiter]
		cancel     context.CancelFunc
		side       atomic.Int32 // Routers reach only those of the same side; the store is on side 0.
		frozen     atomic.Pointer[chan struct{}]
		members    atomic.Pointer[[]string]
		refused    atomic.Int64
		notifiedAt atomic.Int64 // When a response first named the limit to this process, in Unix nanoseconds.
	}
)

// newFleet starts routers, each of which sends the given number of requests per second.
func newFleet(t testing.TB, routers int, rate float64) *fleet {
	f := &fleet{t: t, logger: zerolog.Nop(), byName: make(map[string]*router)}
	f.store = &store.Memory{Delay: lateWriteTime, Fault: func(write bool) store.Fault {
		switch {
		case f.down.Load():
			return store.RefuseCall
		case write && f.late.CompareAndSwap(true, false):
			return store.DelayCall
		}
		return store.NoFault
	}}
	f.ctx, f.stop = context.WithCancel(t.Context())
	f.join(routers, rate)
	f.publishMembers()
	return f
}

// close stops all routers.
func (f *fleet) close() {
	for _, r := range f.routers {
		r.thaw()
	}
	f.stop()
	f.running.Wait()
	time.Sleep(backgroundTime)
}

// join starts more routers, which the others see after membersLag.
func (f *fleet) join(routers int, rate float64) {
	for range routers {
		r := &router{fleet: f, address: fmt.Sprintf("10.0.0.%d:1", len(f.routers))}
		f.routers = append(f.routers, r)
		f.mu.Lock()
		f.byName[r.address] = r
		f.mu.Unlock()
		r.start(0)
		f.running.Go(func() { r.sendRequests(rate) })
	}
	f.running.Go(func() {
		if delay.Sleep(f.ctx, membersLag) {
			f.publishMembers()
		}
	})
}

// publishMembers tells all routers which ones run.
func (f *fleet) publishMembers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for address, r := range f.byName {
		if r.limiter.Load() != nil {
			addresses = append(addresses, address)
		}
	}
	for _, r := range f.byName {
		r.members.Store(&addresses)
	}
}

// router returns the router at the address, or nil.
func (f *fleet) router(address string) *router {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byName[address]
}

// issuer returns the router that issues the permits by the store, or nil.
func (f *fleet) issuer() *router {
	result, err := f.store.List(f.ctx, ratelimit.Table, "")
	if err != nil || len(result.Rows) == 0 {
		return nil
	}
	for _, r := range f.routers {
		if l := r.limiter.Load(); l != nil && l.Instance == issuerOf(f.t, result.Rows[0]) {
			return r
		}
	}
	return nil
}

// setLimit makes the server name a limit.
func (f *fleet) setLimit(rate ratelimit.Rate) {
	f.server.mu.Lock()
	defer f.server.mu.Unlock()
	f.server.limit = ratelimit.Announcement{Named: true, Rate: rate}
	f.server.named = time.Now()
}

// endLimit makes the server name no limit.
func (f *fleet) endLimit() {
	f.server.mu.Lock()
	defer f.server.mu.Unlock()
	f.server.limit = ratelimit.Announcement{}
}

// checkLimit fails the test if the server got more requests than its limit allows, and returns their number per second
// since settleTime after it was named.
func (f *fleet) checkLimit(rate ratelimit.Rate) float64 {
	f.t.Helper()
	f.server.mu.Lock()
	times := f.server.settled(f.server.arrivals)
	f.server.mu.Unlock()
	if most := mostWithin(times, window); most > allowed(rate) {
		f.t.Errorf("server with a limit of %v per second got %d requests in %v, allowed %d", rate, most, window, allowed(rate))
	}
	return float64(len(times)) / time.Since(f.server.named.Add(settleTime)).Seconds()
}

// allowed returns the number of requests that a server with a limit may get in a window.
func allowed(rate ratelimit.Rate) int {
	return int(windowFactor*float64(rate)*window.Seconds()) + windowTolerance
}

// settled returns the times since settleTime after the server named its limit.
func (s *server) settled(times []time.Time) []time.Time {
	begin := s.named.Add(settleTime)
	return slices.DeleteFunc(slices.Clone(times), func(at time.Time) bool { return at.Before(begin) })
}

// mostWithin returns the largest number of times within a window.
func mostWithin(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// respond counts a request and returns what its response says about the limit.
func (s *server) respond(informed bool) ratelimit.Announcement {
	time.Sleep(hop)
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	if informed {
		s.informed = append(s.informed, time.Now())
	}
	s.mu.Unlock()
	time.Sleep(10*time.Millisecond + rand.N(200*time.Millisecond))
	s.mu.Lock()
	limit := s.limit
	s.mu.Unlock()
	time.Sleep(hop)
	return limit
}

// start starts a process of the router after a delay.
func (r *router) start(after time.Duration) {
	f := r.fleet
	ctx, cancel := context.WithCancel(f.ctx)
	r.cancel = cancel
	follower := &store.Follower{Store: &routerStore{f.store, r}, Table: ratelimit.Table, Wait: ratelimit.FeedWait, Logger: &f.logger}
	l := &ratelimit.Limiter{
		Instance: fmt.Sprintf("%s/%d", r.address, time.Now().UnixNano()),
		Address:  r.address,
		Store:    &routerStore{f.store, r},
		Peers:    &routerPeers{r},
		Members: func() []string {
			if members := r.members.Load(); members != nil {
				return slices.Clone(*members)
			}
			return nil
		},
		Running: func(ratelimit.Process) bool { return true },
		NewsAge: follower.Age,
		Now:     time.Now,
		Logger:  &f.logger,
		Metrics: tally.NoopScope,
	}
	follower.Apply = l.Apply
	f.running.Go(func() {
		if !delay.Sleep(ctx, after) {
			return
		}
		r.limiter.Store(l)
		f.running.Go(func() { _ = follower.Run(ctx) }) // Always returns nil.
		_ = l.Run(ctx)                                 // Always returns nil.
	})
	if after == 0 {
		r.limiter.Store(l)
	}
}

// kill ends the process.
func (r *router) kill() {
	r.notifiedAt.Store(0)
	r.limiter.Store(nil)
	r.cancel()
}

// freeze stops the process until thaw.
func (r *router) freeze() {
	c := make(chan struct{})
	r.frozen.Store(&c)
}

// thaw lets the process run again.
func (r *router) thaw() {
	if c := r.frozen.Swap(nil); c != nil {
		close(*c)
	}
}

// pause waits while the process is frozen.
func (r *router) pause() {
	if c := r.frozen.Load(); c != nil {
		<-*c
	}
}

// sendRequests sends requests at random times until the fleet stops.
func (r *router) sendRequests(rate float64) {
	for delay.Sleep(r.fleet.ctx, time.Duration(rand.ExpFloat64()/rate*float64(time.Second))) {
		if l := r.limiter.Load(); l != nil {
			r.fleet.running.Go(func() { r.send(l) })
		}
	}
}

// send sends one request if there is a permit for it.
func (r *router) send(l *ratelimit.Limiter) {
	r.pause()
	permit, err := l.Acquire(r.fleet.ctx, process, time.Duration(r.fleet.maxWait.Load()))
	if err != nil {
		r.refused.Add(1)
		return
	}
	if !delay.Sleep(r.fleet.ctx, permit.Wait) {
		return
	}
	r.pause()
	if r.limiter.Load() != l {
		return // The process has ended.
	}
	f := r.fleet
	f.server.mu.Lock()
	room := f.server.room
	f.server.mu.Unlock()
	if room != nil {
		said, ok := room.serve(f.ctx)
		r.pause()
		if ok {
			l.Observe(process, permit, said)
		}
		return
	}
	notified := r.notifiedAt.Load()
	said := r.fleet.server.respond(notified != 0 && time.Since(time.Unix(0, notified)) >= informTime)
	r.pause()
	if said.Named {
		r.notifiedAt.CompareAndSwap(0, time.Now().UnixNano())
	}
	l.Observe(process, permit, said)
}

// refused returns the number of requests without a permit.
func (f *fleet) refused() int64 {
	var sum int64
	for _, r := range f.routers {
		sum += r.refused.Load()
	}
	return sum
}

// faults is the number of kinds of faults that inject knows.
const faults = 6

// inject injects a fault, most of them into the issuer, which passes after some seconds.
func (f *fleet) inject(fault int) {
	r := f.issuer()
	if r == nil {
		r = f.routers[0]
	}
	const duration = 5 * time.Second
	switch fault {
	case 0:
		if r.limiter.Load() != nil {
			r.kill()
			r.start(time.Second)
		}
	case 1:
		if r.frozen.Load() == nil {
			r.freeze()
			time.AfterFunc(duration, r.thaw)
		}
	case 2:
		r.side.Store(1)
		time.AfterFunc(duration, func() { r.side.Store(0) })
	case 3:
		f.down.Store(true)
		time.AfterFunc(duration, func() { f.down.Store(false) })
	case 4:
		f.join(5, 1)
	case 5:
		for _, other := range f.routers[:len(f.routers)/2] {
			other.side.Store(2)
			time.AfterFunc(duration, func() { other.side.Store(0) })
		}
	}
}
