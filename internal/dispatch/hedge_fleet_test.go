package dispatch_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"citronslip/internal/delay"
	"citronslip/internal/dispatch"
	"citronslip/internal/hedge"
	"citronslip/internal/routing"
)

const (
	// playServers is the number of servers of a play, each with playSlots slots.
	playServers = 60
	playSlots   = 2
	// playWork is the mean time that a request takes at a server that works as usual.
	playWork = 60 * time.Millisecond
	// playTime is the length of a play, of which the results count after playWarm. A full fleet is played for a sixth of it.
	playTime = 60 * time.Second
	playWarm = 20 * time.Second
)

type (
	// playServer is a server that is slow or paused now and then.
	playServer struct {
		name     string
		running  int
		waiting  []chan struct{}
		factor   float64   // Factor of the work time while slow.
		until    time.Time // End of the slow or paused time.
		isPaused bool
	}

	// play is a fleet under load.
	play struct {
		routers []*testDispatcher
		mu      sync.Mutex
		random  *rand.Rand
		servers map[string]*playServer
		counted bool
		sends   int
		times   []time.Duration
		failed  int
	}

	// playResult is what callers saw.
	playResult struct {
		p50, p95, p99, p999 time.Duration
		requests, failed    int
		extra               float64 // Attempts beyond the first, relative to the requests.
	}
)

// send runs an attempt at its server, which queues requests beyond its slots.
func (p *play) send(ctx context.Context, _ int, a dispatch.Attempt) dispatch.Outcome {
	p.mu.Lock()
	s := p.servers[a.Server.Name]
	if p.counted {
		p.sends++
	}
	if s.running >= playSlots {
		slot := make(chan struct{})
		s.waiting = append(s.waiting, slot)
		p.mu.Unlock()
		select {
		case <-slot:
		case <-ctx.Done():
			p.mu.Lock()
			if i := slices.Index(s.waiting, slot); i >= 0 {
				s.waiting = slices.Delete(s.waiting, i, i+1)
			} else {
				s.release()
			}
			p.mu.Unlock()
			return dispatch.NoResponse{Err: ctx.Err()}
		}
		p.mu.Lock()
	} else {
		s.running++
	}
	work := time.Duration(float64(playWork) * math.Exp(0.4*p.random.NormFloat64()-0.08))
	if time.Now().Before(s.until) && !s.isPaused {
		work = time.Duration(float64(work) * s.factor)
	}
	p.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			p.mu.Lock()
			s.release()
			p.mu.Unlock()
			return dispatch.NoResponse{Err: ctx.Err()}
		case <-time.After(max(work, time.Millisecond)):
		}
		p.mu.Lock()
		paused := time.Until(s.until)
		if paused <= 0 || !s.isPaused {
			break
		}
		p.mu.Unlock()
		work = paused // A paused server sends nothing until it goes on.
	}
	s.release()
	answer := completeAnswer("x").(dispatch.Answered)
	answer.Load = &routing.Load{Running: s.running, Waiting: len(s.waiting), Slots: playSlots}
	p.mu.Unlock()
	return answer
}

// release frees a slot or gives it to the first waiting request. The caller holds the lock of the play.
func (s *playServer) release() {
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	close(s.waiting[0])
	s.waiting = s.waiting[1:]
}

// disturb makes servers slow or paused: each of them every 20 s on average, half of these times paused for 0.3 to 1.5 s, half of them
// 3 to 8 times slower for 1 to 3 s.
func (p *play) disturb(ctx context.Context, names []string) {
	for delay.Sleep(ctx, 20*time.Second/playServers) {
		p.mu.Lock()
		s := p.servers[names[p.random.IntN(len(names))]]
		s.isPaused = p.random.IntN(2) == 0
		if s.isPaused {
			s.until = time.Now().Add(300*time.Millisecond + time.Duration(p.random.Float64()*float64(1200*time.Millisecond)))
		} else {
			s.factor = 3 + 5*p.random.Float64()
			s.until = time.Now().Add(time.Second + time.Duration(p.random.Float64()*float64(2*time.Second)))
		}
		p.mu.Unlock()
	}
}

// playLoad plays requests to routers at a part of the servers' capacity.
func playLoad(t *testing.T, routers int, load, share float64, disturbed bool, seed uint64) playResult {
	t.Helper()
	p := &play{random: rand.New(rand.NewPCG(seed, 0)), servers: make(map[string]*playServer)}
	var list []dispatch.Server
	var names []string
	for i := range playServers {
		name := fmt.Sprintf("i-%d", i)
		names = append(names, name)
		list = append(list, dispatch.Server{Name: name, Service: "s", Address: name, Born: 1})
		p.servers[name] = &playServer{name: name}
	}
	for i := range routers {
		r := newTestDispatcher(p.send)
		r.Budgets = ampleBudgets{}
		random := rand.New(rand.NewPCG(seed, uint64(i)+1))
		r.Pool.Picker = &routing.Picker{Router: fmt.Sprint("r", i), Subset: 1 << 16, Noise: 0.01, Rand: random.Float64}
		r.Pool.Update(slices.Clone(list))
		r.Repeats = &dispatch.RetryBudget{Ratio: 0.2, Slack: 52, Window: 10 * time.Second, Routers: func() int { return routers }, Now: time.Now}
		if share > 0 {
			r.Hedges = &hedge.Policy{Share: share, Now: time.Now}
		}
		p.routers = append(p.routers, r)
	}
	ctx, cancel := context.WithCancel(t.Context())
	if disturbed {
		go p.disturb(ctx, names)
	}
	rate := load * playServers * playSlots / playWork.Seconds()
	arrivals := rand.New(rand.NewPCG(seed, 1<<32))
	var group sync.WaitGroup
	length, warm, timeout := playTime, playWarm, 2*time.Second
	if load > 1 {
		length, warm, timeout = length/6, warm/6, 500*time.Millisecond // The race detector allows 8128 goroutines.
	}
	begin := time.Now()
	for i := 0; time.Since(begin) < length; i++ {
		counted := time.Since(begin) > warm
		p.mu.Lock()
		p.counted = counted
		p.mu.Unlock()
		router := p.routers[arrivals.IntN(routers)]
		r := request("/safe/x")
		r.ID, r.Timeout = fmt.Sprint(i), timeout
		group.Go(func() {
			sent := time.Now()
			var response callerResponse
			router.Serve(ctx, r, &response)
			if counted {
				p.mu.Lock()
				p.times = append(p.times, time.Since(sent))
				if !response.ended {
					p.failed++
				}
				p.mu.Unlock()
			}
		})
		time.Sleep(time.Duration(arrivals.ExpFloat64() / rate * float64(time.Second)))
	}
	group.Wait()
	cancel()
	synctest.Wait()
	slices.Sort(p.times)
	at := func(q float64) time.Duration { return p.times[int(q*float64(len(p.times)))] }
	return playResult{at(0.5), at(0.95), at(0.99), at(0.999), len(p.times), p.failed, float64(p.sends-len(p.times)) / float64(len(p.times))}
}

func (r playResult) String() string {
	return fmt.Sprintf("p50 %d p95 %d p99 %d p99.9 %d ms, %d of %d failed, %.2f%% more attempts", r.p50.Milliseconds(), r.p95.Milliseconds(),
		r.p99.Milliseconds(), r.p999.Milliseconds(), r.failed, r.requests, 100*r.extra)
}

// Guards against hedges that make callers wait longer, exceed their share, or are sent to a full fleet. Cancelled attempts of which
// the picker learns nothing make p99 worse with few routers.
func TestHedgesHelpCallers(t *testing.T) {
	for _, c := range []struct {
		routers   int
		load      float64 // Relative to the capacity of the servers.
		disturbed bool
		most      float64 // Maximum of additional attempts, relative to the requests.
		tail      float64 // Maximum of p99.9 relative to that without hedges.
	}{{6, 0.2, true, 0.05, 0.85}, {60, 0.2, true, 0.05, 0.85}, {6, 1.2, false, 0.002, 1.1}} {
		var results [2]playResult
		for i, share := range []float64{0, 0.05} {
			synctest.Test(t, func(t *testing.T) { results[i] = playLoad(t, c.routers, c.load, share, c.disturbed, 1) })
			t.Logf("%2d routers, load %.1f, disturbed %5t, share %.2f: %v", c.routers, c.load, c.disturbed, share, results[i])
		}
		without, with := results[0], results[1]
		isSlower := func(with, without time.Duration, factor float64) bool { return float64(with) > factor*float64(without) }
		if isSlower(with.p95, without.p95, 1.1) || isSlower(with.p99, without.p99, 1.1) || isSlower(with.p999, without.p999, c.tail) {
			t.Errorf("%d routers, load %.1f: slower with hedges", c.routers, c.load)
		}
		if with.extra > without.extra+c.most {
			t.Errorf("%d routers, load %.1f: too many hedges", c.routers, c.load)
		}
	}
}
