package resume_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/resume"
	"citronslip/internal/store"
	"citronslip/internal/wire"
)

const (
	// hop is the time that a message takes from one router to another.
	hop = time.Millisecond
	// streamWindow is the time in which a caller may take a stream up.
	streamWindow = 30 * time.Second
	// lateWriteTime is the time after which a write whose answer was lost is applied.
	lateWriteTime = 4 * time.Second
	// startTime is the time in which a router reads the rows after its start.
	startTime = 50 * time.Millisecond
)

var (
	errNoAnswer = errors.New("test: no answer")
)

type (
	// fleet is a number of routers before the servers of one service, on simulated time.
	fleet struct {
		t       testing.TB
		ctx     context.Context
		stop    context.CancelFunc
		store   *store.Memory
		down    atomic.Bool // Whether the store refuses all calls.
		late    atomic.Bool // Whether the next write is applied late and its answer is lost.
		begin   time.Time
		routers []*router
		byName  map[string]*router
		running sync.WaitGroup
		calls   atomic.Int64 // Calls between routers.
		bytes   atomic.Int64 // Bytes of the records in these calls.

		mu       sync.Mutex
		versions []string // Versions that serve.
	}

	// router is one router of the fleet.
	router struct {
		fleet    *fleet
		address  string
		tracker  atomic.Pointer[resume.Tracker]
		cancel   context.CancelFunc
		isolated atomic.Bool // Whether it reaches neither the store nor routers that do, only other isolated ones.
		deaf     atomic.Bool // Whether it hears of servers only if it asks.
		dead     atomic.Bool
	}

	// routerPeers are the other routers as a router reaches them.
	routerPeers struct {
		router *router
	}
)

// newFleet starts routers and waits until they have read the rows.
func newFleet(t testing.TB, routers int, versions ...string) *fleet {
	f := &fleet{t: t, begin: time.Now(), versions: versions, byName: make(map[string]*router)}
	f.ctx, f.stop = context.WithCancel(context.Background())
	f.store = &store.Memory{Delay: lateWriteTime, Fault: func(write bool) store.Fault {
		switch {
		case f.down.Load():
			return store.RefuseCall
		case write && f.late.CompareAndSwap(true, false):
			return store.DelayCall
		}
		return store.NoFault
	}}
	for i := range routers {
		r := &router{fleet: f, address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)}
		f.routers = append(f.routers, r)
		f.byName[r.address] = r
	}
	for _, r := range f.routers {
		r.start()
	}
	time.Sleep(startTime)
	return f
}

// version returns the version of the store, which rises with each write.
func (f *fleet) version() int64 {
	result, err := f.store.List(f.ctx, resume.Table, "")
	if err != nil {
		f.t.Fatal(err)
	}
	return result.Version
}

func (f *fleet) close() {
	f.stop()
	f.running.Wait()
	time.Sleep(10 * time.Second) // Calls in the background have ended by then.
}

// serve replaces the versions that serve. Isolated and deaf routers do not see it, and nobody while the store is down.
func (f *fleet) serve(versions ...string) {
	f.replace(versions...)
	for _, r := range f.routers {
		if !r.isolated.Load() && !r.deaf.Load() && !r.dead.Load() {
			r.tracker.Load().Observe(f.servers())
		}
	}
}

// replace is like serve while no router runs.
func (f *fleet) replace(versions ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.versions = versions
}

func (f *fleet) servers() []resume.Origin {
	f.mu.Lock()
	defer f.mu.Unlock()
	var servers []resume.Origin
	for _, version := range f.versions {
		servers = append(servers, resume.Origin{Service: "s", Software: version}, resume.Origin{Service: "s", Software: version})
	}
	return servers
}

// kill ends a process without notice.
func (r *router) kill() {
	r.dead.Store(true)
	r.cancel()
}

// start starts a process that knows nothing of the one before.
func (r *router) start() {
	logger := zerolog.Nop()
	tracker := &resume.Tracker{
		Members:    r.members,
		Joined:     func() bool { return true },
		Peers:      &routerPeers{r},
		Store:      r.fleet.store,
		Current:    r.current,
		Leads:      func() bool { return r == r.fleet.routers[0] },
		StoreClock: func() time.Duration { return time.Since(r.fleet.begin) + time.Hour },
		Now:        time.Now,
		Logger:     &logger,
		Metrics:    tally.NoopScope,
	}
	ctx, cancel := context.WithCancel(r.fleet.ctx)
	r.cancel = cancel
	r.tracker.Store(tracker)
	r.dead.Store(false)
	if !r.isolated.Load() {
		tracker.Observe(r.fleet.servers())
	}
	r.fleet.running.Go(func() { _ = tracker.Run(ctx) })
}

// current asks the store for the servers and reports whether it answers.
func (r *router) current(context.Context) bool {
	if r.isolated.Load() || r.fleet.down.Load() {
		return false
	}
	time.Sleep(hop)
	r.tracker.Load().Observe(r.fleet.servers())
	return true
}

func (r *router) members() []string {
	var addresses []string
	for _, other := range r.fleet.routers {
		if other != r {
			addresses = append(addresses, other.address)
		}
	}
	return addresses
}

func (r *router) begin(request, version string) {
	r.tracker.Load().Begin(resume.Stream{Account: "gardens", Request: request}, resume.Origin{Service: "s", Software: version}, streamWindow)
}

func (r *router) find(request string) (string, error) {
	stream := resume.Stream{Account: "gardens", Request: request}
	origin, err := r.tracker.Load().Find(context.Background(), stream, []string{"s"}, streamWindow)
	return origin.Software, err
}

// reach waits for a hop and returns the tracker of a router.
func (p *routerPeers) reach(ctx context.Context, address string) (*resume.Tracker, error) {
	p.router.fleet.calls.Add(1)
	time.Sleep(hop)
	r := p.router.fleet.byName[address]
	if r.isolated.Load() != p.router.isolated.Load() {
		<-ctx.Done()
		return nil, errNoAnswer
	}
	if r.dead.Load() || p.router.dead.Load() {
		return nil, errNoAnswer
	}
	return r.tracker.Load(), nil
}

func (p *routerPeers) Keep(ctx context.Context, address string, records wire.ResumeRecords) (wire.ResumeAck, error) {
	tracker, err := p.reach(ctx, address)
	if err != nil {
		return wire.ResumeAck{}, err
	}
	data, err := json.Marshal(records)
	if err != nil {
		return wire.ResumeAck{}, err
	}
	p.router.fleet.bytes.Add(int64(len(data)))
	return tracker.Keep(records), nil
}

func (p *routerPeers) Find(ctx context.Context, address string, query wire.ResumeQuery) (wire.ResumeAnswer, error) {
	tracker, err := p.reach(ctx, address)
	if err != nil {
		return wire.ResumeAnswer{}, err
	}
	return tracker.Answer(ctx, query), nil
}
