package coldstart_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/coldstart"
	"citronslip/internal/delay"
	"citronslip/internal/wire"
)

const (
	coldServers = 35
	coldTime    = 3 * time.Second
	coldRate    = 5.9
	// maxInSecond is the most that coldRate x 1.5 + 5 allows.
	maxInSecond = 13
	hop         = time.Millisecond
	// uptime is how long the routers have run when the servers start. It exceeds the settling time of 400 routers.
	uptime = 40 * time.Second
	// load is the number of requests per second that look for a cold server first.
	load = 3000
)

var (
	errNoAnswer = errors.New("test: no answer")
	terms       = coldstart.Terms{Duration: coldTime, Rate: coldRate}
)

type (
	// fleet is a number of routers before servers that start together, on simulated time.
	fleet struct {
		ctx     context.Context
		logger  zerolog.Logger
		running sync.WaitGroup
		mu      sync.Mutex
		routers map[string]*router
		listed  []string // Addresses in the membership view.
		servers []coldstart.Server

		storeAway atomic.Bool
		arrivals  map[string][]time.Time // By server.
		refused   int
	}

	// router is one router with its callers.
	router struct {
		fleet   *fleet
		limiter *coldstart.Limiter
		cancel  context.CancelFunc
		frozen  atomic.Bool
		side    atomic.Int32 // Routers reach only those of the same side; the store is on side 0.
		newsAt  atomic.Int64
		view    atomic.Pointer[[]string]
	}
)

func (f *fleet) start(address string) *router {
	r := &router{fleet: f}
	r.view.Store(&f.listed)
	r.limiter = &coldstart.Limiter{
		Address: address, Peers: r, Now: time.Now, Logger: &f.logger, Metrics: tally.NoopScope,
		View: func() ([]string, bool) {
			view := *r.view.Load()
			i := slices.Index(view, address)
			if i < 0 {
				return view, false
			}
			return slices.Delete(slices.Clone(view), i, i+1), true
		},
		NewsAge: func() time.Duration { return time.Since(time.UnixMilli(r.newsAt.Load())) },
		Terms:   func(string) coldstart.Terms { return terms },
	}
	ctx, cancel := context.WithCancel(f.ctx)
	r.cancel = cancel
	f.mu.Lock()
	f.routers[address] = r
	f.mu.Unlock()
	f.running.Go(func() {
		for delay.Sleep(ctx, 500*time.Millisecond) {
			if r.side.Load() == 0 && !r.frozen.Load() && !f.storeAway.Load() {
				r.newsAt.Store(time.Now().UnixMilli())
			}
		}
	})
	r.newsAt.Store(time.Now().UnixMilli())
	f.running.Go(func() { _ = r.limiter.Run(ctx) }) // Always returns nil.
	return r
}

// Take implements coldstart.PeerClient.
func (r *router) Take(ctx context.Context, address string, ask wire.ColdstartTake) (wire.ColdstartAnswer, error) {
	time.Sleep(hop)
	r.fleet.mu.Lock()
	other := r.fleet.routers[address]
	r.fleet.mu.Unlock()
	if other == nil {
		return wire.ColdstartAnswer{}, errNoAnswer
	}
	if other.frozen.Load() || other.side.Load() != r.side.Load() {
		<-ctx.Done()
		return wire.ColdstartAnswer{}, errNoAnswer
	}
	answer, err := other.limiter.Take(ctx, ask)
	time.Sleep(hop)
	return answer, err
}

// send sends requests to servers that look idle, some of which wait for a permit.
func (r *router) send(ctx context.Context, rate float64, known []coldstart.Server) {
	for delay.Sleep(ctx, time.Duration(rand.ExpFloat64()/rate*float64(time.Second))) {
		if r.frozen.Load() {
			continue
		}
		r.fleet.running.Go(func() {
			name := known[rand.IntN(len(known))].Name
			permit, err := r.limiter.Acquire(ctx, name, time.Duration(rand.IntN(2))*time.Second)
			if err != nil {
				r.fleet.mu.Lock()
				r.fleet.refused++
				r.fleet.mu.Unlock()
				return
			}
			if !delay.Sleep(ctx, permit.Wait+hop+rand.N(3*hop)) {
				return
			}
			for r.frozen.Load() {
				time.Sleep(hop)
			}
			if permit.Issued && !permit.Expired(time.Now()) { // Requests without a permit come after the cold start.
				r.fleet.mu.Lock()
				defer r.fleet.mu.Unlock()
				r.fleet.arrivals[name] = append(r.fleet.arrivals[name], time.Now())
			}
		})
	}
}

// learn tells a router of the cold servers, and starts its callers.
func (f *fleet) learn(r *router, routers int) {
	known := f.servers
	r.limiter.Observe(known)
	ctx, cancel := context.WithTimeout(f.ctx, coldTime)
	f.running.Go(func() {
		defer cancel()
		r.send(ctx, load/float64(routers), known)
	})
}

// mostInSecond returns the largest number of times within a second.
func mostInSecond(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against routers that together send more requests to a cold server than it stands: servers that start together,
// which the routers learn of at different times, while routers fail.
func TestBoundHoldsForFleetOfAnySize(t *testing.T) {
	faults := map[string]func(f *fleet, r *router, i int){
		"none": func(*fleet, *router, int) {},
		"killed": func(_ *fleet, r *router, i int) {
			if i%2 == 0 { // Its address then answers nothing.
				r.frozen.Store(true)
				r.cancel()
			}
		},
		"frozen": func(_ *fleet, r *router, i int) {
			if i%10 != 0 {
				r.frozen.Store(true)
				time.AfterFunc(time.Second, func() { r.frozen.Store(false) })
			}
		},
		"partitioned":    func(_ *fleet, r *router, i int) { r.side.Store(int32(i % 3)) },
		"starting":       func(*fleet, *router, int) {}, // The routers start with the servers.
		"starting apart": func(*fleet, *router, int) {}, // Each of them sees a part of the fleet.
		"store away":     func(*fleet, *router, int) {}, // For longer than Lease.
		"joined": func(f *fleet, r *router, i int) {
			if i%4 == 0 {
				f.learn(f.start(fmt.Sprintf("new%d", i)), len(f.listed))
			}
		},
		"views differ": func(f *fleet, r *router, i int) {
			if i%2 == 0 { // A new view lists half of the routers, and as many others.
				view := slices.Concat(f.listed[:len(f.listed)/2], []string{"a", "b", "c"})
				r.view.Store(&view)
			}
		},
	}
	for _, n := range []int{1, 6, 67, 400} {
		for name, inject := range faults {
			t.Run(fmt.Sprintf("%d/%s", n, name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playColdStart(t, n, name, inject) })
			})
		}
	}
}

// playColdStart lets servers start before n routers and injects a fault into each of these 1 s later.
func playColdStart(t *testing.T, n int, name string, inject func(f *fleet, r *router, i int)) {
	ctx, cancel := context.WithCancel(t.Context())
	f := &fleet{ctx: ctx, logger: zerolog.Nop(), routers: make(map[string]*router), arrivals: make(map[string][]time.Time)}
	for i := range n {
		f.listed = append(f.listed, fmt.Sprintf("r%d", i))
	}
	old := []coldstart.Server{{Name: "old", Born: time.Now().Add(-time.Hour).UnixMilli()}}
	for i := range n {
		f.start(f.listed[i]).limiter.Observe(old)
	}
	if !strings.HasPrefix(name, "starting") {
		time.Sleep(uptime)
	}
	if name == "starting apart" {
		for own, r := range f.routers {
			view := slices.DeleteFunc(slices.Clone(f.listed), func(address string) bool { return address != own && rand.IntN(2) == 0 })
			r.view.Store(&view)
		}
	}
	if name == "store away" {
		f.storeAway.Store(true)
		time.Sleep(2 * coldstart.Lease)
	}
	for i := range coldServers {
		f.servers = append(f.servers, coldstart.Server{Name: fmt.Sprintf("s%d", i), Place: "z", Born: time.Now().UnixMilli(), Row: 1})
	}
	for i, address := range slices.Clone(f.listed) {
		r := f.routers[address]
		time.AfterFunc(150*time.Millisecond+rand.N(1850*time.Millisecond), func() { f.learn(r, n) })
		time.AfterFunc(time.Second, func() { inject(f, r, i) })
	}
	time.Sleep(6 * time.Second)
	for _, r := range f.routers {
		r.frozen.Store(false)
	}
	cancel()
	f.running.Wait()
	total, worst := 0, 0
	for _, s := range f.servers {
		total += len(f.arrivals[s.Name])
		worst = max(worst, mostInSecond(f.arrivals[s.Name]))
	}
	t.Logf("%d routers, %s: at most %d in a second, %.1f a server, %d refused", n, name, worst, float64(total)/coldServers, f.refused)
	if worst > maxInSecond {
		t.Errorf("a cold server got %d requests in a second, allowed %d", worst, maxInSecond)
	}
	if least := map[string]int{"none": 6, "starting": 2, "store away": 2}[name]; total < least*coldServers {
		t.Errorf("%d cold servers got %d requests, want at least %d each", coldServers, total, least)
	}
}
