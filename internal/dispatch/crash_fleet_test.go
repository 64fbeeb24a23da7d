package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"citronslip/internal/crash"
	"citronslip/internal/delay"
	"citronslip/internal/dispatch"
	"citronslip/internal/store"
	"citronslip/pkg/inventory"
)

const (
	// newsDelay is the time after a crash within which all routers that reach the store must know of it.
	newsDelay = 3 * time.Second
	// maxLateArrivals is the number of harmful requests that may reach servers later than newsDelay after the fifth crash.
	maxLateArrivals = 3
	crashDowntime   = 3 * time.Second
	harmfulPart     = 0xbad
)

type (
	// crashFleet is a number of routers that share a store and backend servers, on simulated time. A server crashes when it
	// begins to answer a request with harmfulPart.
	crashFleet struct {
		memory  *store.Memory
		routers []*testDispatcher
		random  *rand.Rand // Chooses the requests.
		begin   time.Time
		// crashLate makes a server crash after the first event of its answer.
		crashLate bool

		mu        sync.Mutex
		workTimes *rand.Rand
		servers   map[string]*crashServer
		crashes   []time.Time
		arrivals  []time.Time // Of harmful requests at servers.
		sound     []soundResult
	}

	// crashServer is the state of a backend server.
	crashServer struct {
		dispatch.Server
		down    chan struct{} // Closed when the process ends.
		running bool
	}

	// ampleBudgets reserves any number of tokens.
	ampleBudgets struct{}

	// soundResult is the result of a request without harmfulPart.
	soundResult struct {
		at     time.Time
		served bool
	}
)

func (ampleBudgets) Reserve(context.Context, dispatch.ReservationRequest) (dispatch.Reservation, dispatch.Refusal) {
	return ampleBudgets{}, dispatch.Refusal{}
}

func (ampleBudgets) Settle(inventory.Tokens) {}

// newCrashFleet returns a fleet whose routers follow the crashes in the store until the test ends.
func newCrashFleet(t *testing.T, memory *store.Memory, seed uint64, routerCount, serverCount int) *crashFleet {
	t.Helper()
	f := &crashFleet{
		memory: memory, begin: time.Now(), servers: make(map[string]*crashServer),
		random: rand.New(rand.NewPCG(seed, 0)), workTimes: rand.New(rand.NewPCG(seed, 1)),
	}
	for i := range serverCount {
		name := fmt.Sprintf("i-%d", i)
		f.servers[name] = &crashServer{Server: dispatch.Server{Name: name, Service: "s", Address: name, Born: 1}, down: make(chan struct{}), running: true}
	}
	logger := zerolog.Nop()
	for range routerCount {
		router := newTestDispatcher(f.send)
		router.Crashes, router.Budgets = f.newTracker(&logger), ampleBudgets{}
		follower := &store.Follower{
			Store: f.memory, Table: crash.Table, Apply: router.Crashes.Apply, Pause: 200 * time.Millisecond, Logger: &logger,
		}
		go func() { _ = follower.Run(t.Context()) }()
		go func() { _ = router.Crashes.Run(t.Context()) }()
		f.routers = append(f.routers, router)
	}
	f.updatePools()
	return f
}

func (f *crashFleet) newTracker(logger *zerolog.Logger) *crash.Tracker {
	return &crash.Tracker{
		Store: f.memory, Now: time.Now, Clock: func() time.Duration { return time.Since(f.begin) }, Refuses: f.refuses, Logger: logger,
	}
}

// refuses reports whether the server at an address is down.
func (f *crashFleet) refuses(_ context.Context, address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.servers[address].running
}

// updatePools tells all routers of the servers, including those that are down, as the store does.
func (f *crashFleet) updatePools() {
	var list []dispatch.Server
	for _, server := range f.servers {
		list = append(list, server.Server)
	}
	for _, router := range f.routers {
		router.Pool.Update(slices.Clone(list))
	}
}

// send runs an attempt on its server. It is the Backend of all routers.
func (f *crashFleet) send(ctx context.Context, _ int, a dispatch.Attempt) dispatch.Outcome {
	harmful := slices.ContainsFunc(a.Request.Prompt.Parts, func(p dispatch.PromptPart) bool { return p.ID == harmfulPart })
	f.mu.Lock()
	server := f.servers[a.Server.Name]
	if !server.running {
		f.mu.Unlock()
		return dispatch.NotSent{Err: errReset}
	}
	if harmful {
		f.arrivals = append(f.arrivals, time.Now())
	}
	down := server.down
	work := time.Duration(100+f.workTimes.IntN(400)) * time.Millisecond
	f.mu.Unlock()
	select {
	case <-ctx.Done():
		return dispatch.NoResponse{Err: ctx.Err()}
	case <-down:
		return dispatch.NoResponse{Reset: true, Err: errReset}
	case <-time.After(work):
	}
	if harmful && f.crashLate {
		body := streamUntil(ctx, down)
		time.AfterFunc(time.Millisecond, func() { f.crash(server) })
		return dispatch.Answered{Success: true, Length: -1, Body: body}
	}
	if harmful {
		f.crash(server)
		return dispatch.NoResponse{Reset: true, Err: errReset}
	}
	return dispatch.Answered{Success: true, Length: -1, Body: streamUntil(ctx, down)}
}

// streamUntil returns a stream of 20 events in a second that breaks off when the channel is closed.
func streamUntil(ctx context.Context, down <-chan struct{}) io.ReadCloser {
	reader, writer := io.Pipe()
	go func() {
		for i := range 20 {
			if _, err := fmt.Fprintf(writer, "id: %d\ndata: x\n\n", i+1); err != nil {
				return
			}
			select {
			case <-ctx.Done():
				_ = writer.CloseWithError(ctx.Err())
				return
			case <-down:
				_ = writer.CloseWithError(errReset)
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
		_ = writer.Close()
	}()
	return reader
}

// crash ends a server's process. A new one starts after crashDowntime, of which all routers learn.
func (f *crashFleet) crash(server *crashServer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !server.running {
		return
	}
	server.running = false
	close(server.down)
	f.crashes = append(f.crashes, time.Now())
	time.AfterFunc(crashDowntime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		server.running = true
		server.down = make(chan struct{})
		server.Born++
		for _, router := range f.routers {
			router.Crashes.RecordServerDown(server.Name)
		}
		f.updatePools()
	})
}

// play sends requests through random routers for a time: sound ones of several subjects below the same first part, and
// harmful ones with a share.
func (f *crashFleet) play(t *testing.T, duration time.Duration, rate int, share float64) {
	t.Helper()
	var group sync.WaitGroup
	for i := range int(duration.Seconds()) * rate {
		router := f.routers[f.random.IntN(len(f.routers))]
		harmful := f.random.Float64() < share
		subject := uint64(0x100 + f.random.IntN(5))
		if harmful {
			subject = harmfulPart
		}
		r := request("/stream/x")
		r.ID, r.Body, r.Timeout = fmt.Sprint(i), []byte(fmt.Sprint("content ", i)), 10*time.Second
		r.Prompt = &dispatch.Prompt{Tokens: 100, Most: 20, Parts: []dispatch.PromptPart{{ID: 0xa, Tokens: 50}, {ID: subject, Tokens: 30}, {ID: uint64(i) + 0x10000, Tokens: 20}}}
		group.Go(func() {
			begin := time.Now()
			var response callerResponse
			router.Serve(t.Context(), r, &response)
			if !harmful {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.sound = append(f.sound, soundResult{at: begin, served: response.ended && response.refusal == nil})
			}
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	group.Wait()
}

// lateArrivals returns how many harmful requests reached servers later than newsDelay after the fifth crash.
func (f *crashFleet) lateArrivals() int {
	const free = 5
	if len(f.crashes) < free {
		return 0
	}
	late := 0
	for _, at := range f.arrivals {
		if at.After(f.crashes[free-1].Add(newsDelay)) {
			late++
		}
	}
	return late
}

// soundServedAfter returns the number of sound requests that came after a time, and of those that were served.
func (f *crashFleet) soundServedAfter(after time.Time) (served, total int) {
	for _, r := range f.sound {
		if r.at.After(after) {
			total++
			if r.served {
				served++
			}
		}
	}
	return served, total
}

// exchange makes each router ask two others for their rows at intervals, as routers do that cannot reach the store.
func (f *crashFleet) exchange(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for delay.Sleep(t.Context(), 300*time.Millisecond) {
		for _, router := range f.routers {
			for range 2 {
				rows := f.routers[random.IntN(len(f.routers))].Crashes.RecentRows()
				router.Crashes.Apply(store.Change{Rows: rows})
			}
		}
	}
}

// Guards against a harmful part that each router has to find by itself while the store is away.
func TestHarmfulPartIsFoundWhileTheStoreIsAway(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCrashFleet(t, &store.Memory{Fault: func(bool) store.Fault { return store.RefuseCall }}, seed, 12, 40)
				go f.exchange(t)
				f.play(t, 15*time.Second, 40, 0.05)
				if late := f.lateArrivals(); late > maxLateArrivals {
					t.Errorf("%d harmful requests reached servers %v after the fifth crash, %d servers crashed", late, newsDelay, len(f.crashes))
				}
			})
		})
	}
}

// Guards against requests that share one harmful prompt part and crash one server after the other, each of them new, and
// against sound requests with the same first part that are refused for them.
func TestPartThatCrashesServersIsFoundAmongSoundOnes(t *testing.T) {
	testHarmfulPartIsFound(t, false)
}

// Guards against a part that is never blocked, because the servers that crash on it send the first event of their answer before.
func TestPartThatCrashesServersAfterFirstEventIsFound(t *testing.T) {
	testHarmfulPartIsFound(t, true)
}

// testHarmfulPartIsFound plays a fleet and checks how many harmful requests reach servers and how many sound ones are served.
func testHarmfulPartIsFound(t *testing.T, crashLate bool) {
	t.Helper()
	for _, c := range []struct {
		routers, servers int
		share            float64
	}{{1, 4, 0.05}, {6, 18, 0.02}, {6, 18, 0.2}, {60, 60, 0.05}} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%d-routers-%v-seed-%d", c.routers, c.share, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newCrashFleet(t, &store.Memory{}, seed, c.routers, c.servers)
					f.crashLate = crashLate
					f.play(t, 30*time.Second, 40, c.share)
					if late := f.lateArrivals(); late > maxLateArrivals {
						t.Errorf("%d harmful requests reached servers %v after the fifth crash, %d servers crashed", late, newsDelay, len(f.crashes))
					}
					served, total := f.soundServedAfter(f.crashes[min(len(f.crashes), 5)-1].Add(2 * newsDelay))
					if served*20 < total*19 {
						t.Errorf("%d of %d sound requests were served after the news of the fifth crash", served, total)
					}
				})
			})
		}
	}
}
