package routing_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"citronslip/internal/routing"
)

const (
	sharedServers = 48
	sharedStep    = 2 * time.Millisecond
	sharedTime    = 24 * time.Second
	sharedWarm    = 4 * time.Second
	// sharedLoad is the share of the servers' prefill capacity at their mean work time that is in use.
	sharedLoad = 0.6
)

type (
	// sharedServer is a server whose speed varies with the load of its neighbours. It prefills one prompt after the other.
	sharedServer struct {
		mean, log float64 // Logarithms of the mean and of the present work time.
		queue     []*sharedRequest
		running   int
		picked    int
	}

	sharedRequest struct {
		picker  *routing.Picker
		choice  *routing.Choice
		server  *sharedServer
		sent    time.Time
		left    float64 // Seconds of prefill at the usual speed.
		decodes float64 // Seconds of decoding at the usual speed.
	}

	// sharedResult holds the times to the first token and the requests of the busiest server relative to the mean.
	sharedResult struct{ p50, p95, p99, busiest float64 }
)

func (s *sharedServer) workTime() float64 { return min(max(math.Exp(s.log), 0.7), 4) }

// playShared plays routers that send requests to servers of varying speed, and get load reports with first tokens only.
func playShared(routers int, correlation time.Duration, reported bool, seed uint64) sharedResult {
	random := rand.New(rand.NewPCG(seed, 1))
	c := &clock{time: time.Unix(1000, 0)}
	start := c.time
	list := plainServers(sharedServers)
	fleet := make(map[string]*sharedServer)
	var order []*sharedServer
	capacity := 0.0
	for i := range list {
		mean := math.Log(0.8) + random.Float64()*math.Log(2.5/0.8)
		s := &sharedServer{mean: mean, log: mean}
		fleet[list[i].Name] = s
		order = append(order, s)
		capacity += 1 / math.Exp(mean)
	}
	pickers := make([]*routing.Picker, routers)
	for i := range pickers {
		pickers[i] = &routing.Picker{Router: fmt.Sprint("r", i), Now: c.now, Rand: random.Float64}
		pickers[i].Update(list)
	}
	const work = 0.04 // Mean seconds of prefill.
	rate := sharedLoad * capacity / work
	var decoding []*sharedRequest
	var times []float64
	for next := 0.0; c.time.Sub(start) < sharedTime; c.time = c.time.Add(sharedStep) {
		step := sharedStep.Seconds()
		for ; next < c.time.Sub(start).Seconds(); next += random.ExpFloat64() / rate {
			p := pickers[random.IntN(routers)]
			tokens := int64(200 + random.IntN(3600))
			choice, err := p.Pick(&routing.Request{Service: list[0].Service, Prompt: tokens})
			if err != nil {
				panic(err)
			}
			choice.Started()
			s := fleet[choice.Server.Name]
			s.queue = append(s.queue, &sharedRequest{
				picker: p, choice: choice, server: s, sent: c.time, left: work * float64(tokens) / 2000, decodes: 0.2 + 0.6*random.Float64(),
			})
			if c.time.Sub(start) > sharedWarm {
				s.picked++
			}
		}
		for _, s := range order {
			s.log += (s.mean-s.log)*step/correlation.Seconds() + 0.4*math.Sqrt(2*step/correlation.Seconds())*random.NormFloat64()
			for left := step / s.workTime() / (1 + float64(s.running)/128); left > 0 && len(s.queue) > 0; {
				r := s.queue[0]
				used := min(left, r.left)
				r.left -= used
				if left -= used; r.left > 0 {
					break
				}
				s.queue = s.queue[1:]
				s.running++
				load := routing.Load{Running: s.running, Waiting: len(s.queue)}
				if reported {
					load.WorkTime = s.workTime()
				}
				r.picker.RecordLoad(r.choice.Server.Name, load)
				r.choice.FirstByte()
				decoding = append(decoding, r)
				if r.sent.Sub(start) > sharedWarm {
					times = append(times, c.time.Sub(r.sent).Seconds())
				}
			}
		}
		decoding = slices.DeleteFunc(decoding, func(r *sharedRequest) bool {
			if r.decodes -= step / r.server.workTime(); r.decodes > 0 {
				return false
			}
			r.server.running--
			r.choice.Done(routing.Finished{Cached: -1, Output: 50, Duration: c.time.Sub(r.sent)})
			return true
		})
	}
	slices.Sort(times)
	at := func(q float64) float64 { return times[int(q*float64(len(times)))] }
	busiest := slices.MaxFunc(order, func(a, b *sharedServer) int { return cmp.Compare(a.picked, b.picked) })
	total := 0
	for _, s := range order {
		total += s.picked
	}
	return sharedResult{at(0.5), at(0.95), at(0.99), float64(busiest.picked) * sharedServers / float64(total)}
}

// Guards against routers that serve callers later because backend servers report their relative work times, and against many
// routers that send their requests to the same server because its reports were good. A slowdown that counts twice, in the
// report and in the learned times, makes all percentiles worse.
func TestSharedServers(t *testing.T) {
	var with, without sharedResult
	for _, routers := range []int{6, 60, 141} {
		for _, correlation := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
			var results [2]sharedResult
			for i, reported := range []bool{false, true} {
				r := playShared(routers, correlation, reported, 1)
				results[i] = r
				t.Logf("%3d routers, %5v, reported %5t: p50 %3.0f p95 %4.0f p99 %4.0f ms, busiest %.2f", routers, correlation, reported,
					1000*r.p50, 1000*r.p95, 1000*r.p99, r.busiest)
			}
			without.add(results[0])
			with.add(results[1])
			if results[1].busiest > 1.25*results[0].busiest {
				t.Errorf("%d routers, %v: busiest server %.2f with reports, %.2f without", routers, correlation, results[1].busiest, results[0].busiest)
			}
		}
	}
	if with.p50 >= without.p50 || with.p95 >= without.p95 || with.p99 >= without.p99 {
		t.Errorf("sums of the percentiles with reports %+v, without %+v", with, without)
	}
}

func (r *sharedResult) add(o sharedResult) {
	r.p50, r.p95, r.p99, r.busiest = r.p50+o.p50, r.p95+o.p95, r.p99+o.p99, r.busiest+o.busiest
}

// Guards against a change of decisions where no server reports its work time, or all report that they work as usual.
func TestUsualWorkTimeChangesNoDecision(t *testing.T) {
	var picks [2][]string
	for i, workTime := range []float64{0, 1} {
		random := rand.New(rand.NewPCG(1, 1))
		c := &clock{time: time.Unix(1000, 0)}
		p := &routing.Picker{Router: "r", Now: c.now, Rand: random.Float64}
		list := plainServers(8)
		p.Update(list)
		for range 500 {
			choice, err := p.Pick(&routing.Request{Service: list[0].Service, Prompt: int64(random.IntN(4000))})
			if err != nil {
				t.Fatal(err)
			}
			picks[i] = append(picks[i], fmt.Sprint(choice.Server.Name, choice.Expected))
			choice.Started()
			c.time = c.time.Add(time.Duration(random.IntN(20)) * time.Millisecond)
			p.RecordLoad(choice.Server.Name, routing.Load{Running: random.IntN(9), WorkTime: workTime})
			choice.FirstByte()
			choice.Done(routing.Finished{Cached: -1, Output: 9})
		}
	}
	if !slices.Equal(picks[0], picks[1]) {
		t.Error("decisions differ")
	}
}

// Guards against a server that one report, an absurd one, or old ones attract requests to or keep away.
func TestWorkTimeIsTrustedForAShortTime(t *testing.T) {
	c := &clock{time: time.Unix(1000, 0)}
	p := &routing.Picker{Router: "r", Now: c.now, Rand: func() float64 { return 0 }}
	list := plainServers(1)
	p.Update(list)
	expect := func(low, high float64) {
		t.Helper()
		choice, err := p.Pick(&routing.Request{Service: list[0].Service, Prompt: 100})
		if err != nil {
			t.Fatal(err)
		}
		if got := choice.Expected.WorkTime; got < low || got > high {
			t.Errorf("work time %.3f is not in %.2f to %.2f", got, low, high)
		}
		choice.Done(routing.Cancelled{})
	}
	report := func(value float64) { p.RecordLoad(list[0].Name, routing.Load{WorkTime: value}) }
	expect(1, 1)
	report(3)
	expect(1.9, 2.1) // One report counts half.
	for range 20 {
		report(3)
	}
	expect(2.8, 3)
	report(1e9)
	expect(2.8, 3.2)
	c.time = c.time.Add(10 * time.Second)
	expect(1, 1.15)
}
