package fleet_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/harness"
	"citronslip/pkg/inventory"
)

const (
	ampleTokens inventory.Tokens = 1 << 40
	callers                      = 12
	// turnsMost bounds the retries of one booking.
	turnsMost = 30
)

type (
	// outcome is what a caller knows of its booking in the end.
	outcome struct {
		body     string
		keyed    bool
		answered bool
		bodies   map[string]bool // Whole answers.
		no       bool            // Whether any submission was said not to be run.
		none     bool            // Whether every submission was said not to be run or was not sent.
	}
)

// Guards against bookings that run twice, and against callers who are told that a booking was not run although it was,
// when routers die in the middle of calls, freeze, lose the platform, and callers retry elsewhere.
func TestBookingsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := start(t, harness.Declared(testKey, 1, ampleTokens), func(f *fleet) {
		for _, booking := range f.backends.Bookings {
			booking.Delay = 20 * time.Millisecond
		}
	})
	f.route(3)
	f.unreliable(true)
	var ended atomic.Int64
	done := make(chan struct{})
	outcomes := make([][]outcome, callers)
	var group sync.WaitGroup
	for worker := range callers {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				body := fmt.Sprintf("visit %d of caller %d", n, worker)
				outcomes[worker] = append(outcomes[worker], f.book(body, worker+n, worker%2 == 0))
				ended.Add(1)
			}
		})
	}
	more := func() {
		t.Helper()
		target := ended.Load() + callers
		eventually(t, "bookings go on", func() bool { return ended.Load() >= target })
	}
	busy := func(p *process) {
		eventually(t, p.name+" has calls under way", func() bool { return p.flight.Load() > 0 })
	}
	more()
	for round := range 4 {
		victim := f.routers[round%3]
		other := f.routers[(round+1)%3]
		busy(other)
		other.freeze()
		busy(victim)
		victim.kill()
		more()
		victim.start()
		other.resume()
		f.ready(victim)
		cut := f.routers[(round+2)%3]
		cut.platform.cut()
		more()
		cut.platform.heal()
		f.platform.SetDown(round%2 == 0)
		more()
		f.platform.SetDown(false)
	}
	close(done)
	group.Wait()
	f.unreliable(false)
	f.stopAll()
	executions := f.executions()
	counts := make(map[string]int)
	for _, list := range outcomes {
		for _, o := range list {
			counts["bookings"]++
			ran := executions[o.body]
			if ran > 1 {
				t.Errorf("%s (keyed %v) was run %d times", o.body, o.keyed, ran)
			}
			if ran > 0 && o.no && (o.keyed || o.none) {
				t.Errorf("%s (keyed %v) was said not to be run and was run", o.body, o.keyed)
			}
			if o.answered && ran != 1 {
				t.Errorf("%s (keyed %v) was answered and was run %d times", o.body, o.keyed, ran)
			}
			if len(o.bodies) > 1 {
				t.Errorf("%s (keyed %v) has %d different answers", o.body, o.keyed, len(o.bodies))
			}
			if o.answered {
				counts["answered"]++
			}
			if o.no {
				counts["no"]++
			}
			if !o.answered && !o.none {
				counts["unknown"]++
			}
		}
	}
	t.Logf("%v", counts)
	is.True(counts["answered"] > counts["bookings"]/2) // most bookings are answered, so that the run tells something
}

// book makes a booking until it is answered or a retry is not safe. A keyed one is retried whatever the outcome, unless
// it was said not to be run; one without key only if it was certainly not run.
func (f *fleet) book(body string, first int, keyed bool) outcome {
	o := outcome{body: body, keyed: keyed, none: true, bodies: make(map[string]bool)}
	c := call{method: http.MethodPost, path: "/booking/visits", body: body}
	if keyed {
		c.header = map[string]string{"Idempotency-Key": body}
	}
	for turn := range turnsMost {
		got, err := f.do(f.t.Context(), f.routers[(first+turn)%len(f.routers)], c)
		switch {
		case err == nil && got.status == http.StatusOK:
			o.bodies[got.body] = true
			if o.answered || !keyed {
				o.answered, o.none = true, false
				return o
			}
			// Another router must give the same answer.
			o.answered, o.none = true, false
		case err == nil && got.run == "no":
			o.no = true
			if keyed {
				return o
			}
		case refusedDial(err):
		default:
			o.none = false
			if !keyed {
				return o
			}
		}
		pause(f.t, time.Duration(turn+1)*5*time.Millisecond)
	}
	return o
}

// pause spaces the retries of a caller.
func pause(t *testing.T, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-t.Context().Done():
	}
}

// refusedDial says whether no connection came about, so that nothing was sent.
func refusedDial(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}
