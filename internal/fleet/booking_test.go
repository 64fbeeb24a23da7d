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
	// ampleTokens is a prepaid budget that no test uses up.
	ampleTokens inventory.Tokens = 1 << 40
	callerCount                  = 12 // Concurrent callers.
	// maxAttempts bounds the attempts of one caller at one request.
	maxAttempts = 30
)

type (
	// bookingOutcome is what a caller knows about its booking after its last attempt.
	bookingOutcome struct {
		body      string          // Request body; it is unique and identifies the booking.
		keyed     bool            // Whether it has an idempotency key.
		answered  bool            // Whether an attempt was answered with status 200.
		responses map[string]bool // Bodies of the complete responses.
		anyNotRun bool            // Whether a router reported for some attempt that the booking was not executed.
		allNotRun bool            // Whether each attempt was reported as not executed or was not sent.
	}
)

// Guards against a booking being executed twice, and against a caller being told that a booking was not executed
// although it was. Routers are killed during calls, suspended and partitioned from the platform, the platform goes
// down, and callers retry at other routers.
func TestBookingsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, harness.NewInventory(testKey, 1, ampleTokens), func(f *fleet) {
		for _, booking := range f.backends.Bookings {
			booking.Delay = 20 * time.Millisecond
		}
	})
	f.startRouters(3)
	f.setTableFaults(true)
	var completed atomic.Int64
	done := make(chan struct{})
	outcomes := make([][]bookingOutcome, callerCount)
	var callers sync.WaitGroup
	for caller := range callerCount {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				body := fmt.Sprintf("visit %d of caller %d", n, caller)
				outcomes[caller] = append(outcomes[caller], f.submitBooking(body, caller+n, caller%2 == 0))
				completed.Add(1)
			}
		})
	}
	waitForMore := func() {
		t.Helper()
		target := completed.Load() + callerCount
		eventually(t, "bookings complete", func() bool { return completed.Load() >= target })
	}
	waitInFlight := func(p *routerProcess) {
		eventually(t, p.name+" has requests in flight", func() bool { return p.inFlight.Load() > 0 })
	}
	waitForMore()
	for round := range 4 {
		killed := f.routers[round%3]
		suspended := f.routers[(round+1)%3]
		waitInFlight(suspended)
		suspended.suspend()
		waitInFlight(killed)
		killed.kill()
		waitForMore()
		killed.start()
		suspended.resume()
		f.waitReady(killed)
		partitioned := f.routers[(round+2)%3]
		partitioned.platformProxy.partition()
		waitForMore()
		partitioned.platformProxy.heal()
		f.platform.SetDown(round%2 == 0)
		waitForMore()
		f.platform.SetDown(false)
	}
	close(done)
	callers.Wait()
	f.setTableFaults(false)
	f.stopAll()
	executions := f.executions()
	counts := make(map[string]int)
	for _, callerOutcomes := range outcomes {
		for _, o := range callerOutcomes {
			counts["bookings"]++
			runs := executions[o.body]
			if runs > 1 {
				t.Errorf("%s (idempotency key: %v) was executed %d times", o.body, o.keyed, runs)
			}
			if runs > 0 && o.anyNotRun && (o.keyed || o.allNotRun) {
				t.Errorf("%s (idempotency key: %v) was reported as not executed, but was executed", o.body, o.keyed)
			}
			if o.answered && runs != 1 {
				t.Errorf("%s (idempotency key: %v) was answered, but was executed %d times", o.body, o.keyed, runs)
			}
			if len(o.responses) > 1 {
				t.Errorf("%s (idempotency key: %v) has %d different responses", o.body, o.keyed, len(o.responses))
			}
			if o.answered {
				counts["answered"]++
			}
			if o.anyNotRun {
				counts["no"]++
			}
			if !o.answered && !o.allNotRun {
				counts["unknown"]++
			}
		}
	}
	t.Logf("%v", counts)
	is.True(counts["answered"] > counts["bookings"]/2) // Enough are answered for the checks to be meaningful.
}

// submitBooking sends a booking until it is answered or a retry is not safe, the first time to the router firstRouter
// and then to the next ones. A booking with an idempotency key is retried after any outcome except a report that it was
// not executed, and once more after its first response. A booking without a key is retried only if it was certainly not
// executed.
func (f *fleet) submitBooking(body string, firstRouter int, keyed bool) bookingOutcome {
	o := bookingOutcome{body: body, keyed: keyed, allNotRun: true, responses: make(map[string]bool)}
	req := apiRequest{method: http.MethodPost, path: "/booking/visits", body: body}
	if keyed {
		req.header = map[string]string{"Idempotency-Key": body}
	}
	for attempt := range maxAttempts {
		response, err := f.send(f.t.Context(), f.routers[(firstRouter+attempt)%len(f.routers)], req)
		switch {
		case err == nil && response.status == http.StatusOK:
			o.responses[response.body] = true
			if o.answered || !keyed {
				o.answered, o.allNotRun = true, false
				return o
			}
			// The retry at another router must return the same response.
			o.answered, o.allNotRun = true, false
		case err == nil && response.runHeader == "no":
			o.anyNotRun = true
			if keyed {
				return o
			}
		case dialFailed(err):
		default:
			o.allNotRun = false
			if !keyed {
				return o
			}
		}
		pause(f.t, time.Duration(attempt+1)*5*time.Millisecond)
	}
	return o
}

// pause waits for a duration or until the test ends.
func pause(t *testing.T, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-t.Context().Done():
	}
}

// dialFailed reports whether a call failed before a connection was established, so that nothing was sent.
func dialFailed(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
