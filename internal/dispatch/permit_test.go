package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/dispatch"
	"citronslip/internal/ratelimit"
	"citronslip/internal/store"
	"citronslip/internal/wire"
)

// newLimitedDispatcher returns a dispatcher of a single router, whose servers name the limits in the map.
func newLimitedDispatcher(limits map[string]ratelimit.Rate) *testDispatcher {
	logger := zerolog.Nop()
	b := newTestDispatcher(func(_ context.Context, _ int, a dispatch.Attempt) dispatch.Outcome {
		answer := completeAnswer("answer").(dispatch.Answered)
		if rate, ok := limits[a.Server.Name]; ok {
			answer.Limit = ratelimit.Announcement{Named: true, Rate: rate}
		}
		return answer
	})
	b.Limits = &ratelimit.Limiter{
		Instance: "n/1", Address: "10.0.0.1:1", Store: &store.Memory{},
		Members: func() []string { return nil },
		Running: func(ratelimit.Process) bool { return true },
		NewsAge: func() time.Duration { return 0 },
		Now:     time.Now, Logger: &logger, Metrics: tally.NoopScope,
	}
	return b
}

// Guards against requests that go to a server at its limit, or fail, while another server takes them.
func TestServersAtTheirRateLimitArePassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newLimitedDispatcher(map[string]ratelimit.Rate{"a": 1, "b": 1})
		for range 400 {
			response := &callerResponse{}
			b.Serve(t.Context(), request("/safe/1"), response)
			is.True(response.ended)
			time.Sleep(50 * time.Millisecond)
		}
		counts := make(map[string]int)
		for _, a := range b.sends {
			counts[a.Server.Name]++
		}
		for _, name := range []string{"a", "b"} {
			is.True(counts[name] >= 5 && counts[name] <= 22) // Within 20 s.
		}
	})
}

// Guards against a refusal that comes late or names a time at which the request is refused again, if all servers are at
// their limits, and against one where a short wait would do.
func TestRetryAfterOfRateLimitsIsTruthful(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const limit = 0.1
		b := newLimitedDispatcher(map[string]ratelimit.Rate{"a": limit, "b": limit, "c": limit})
		served, refused := 0, 0
		for begin := time.Now(); time.Since(begin) < 10*time.Minute; {
			response := &callerResponse{}
			sent := time.Now()
			b.Serve(t.Context(), request("/safe/1"), response)
			if response.refusal == nil {
				served++
				time.Sleep(100 * time.Millisecond)
				continue
			}
			refused++
			is.Equal(response.refusal.Reason, dispatch.RateLimited)
			is.True(time.Since(sent) < 10*time.Millisecond)
			time.Sleep(response.refusal.After)
		}
		t.Logf("%d served, %d refused", served, refused)
		is.True(served > 150)       // Of 180 that the limits allow.
		is.True(refused < served+5) // Nobody who comes back in time is refused again.
	})
}

// slowIssuers stands for other routers that answer after a time that no permit is free.
type slowIssuers struct {
	delay time.Duration
}

func (s slowIssuers) Take(context.Context, string, wire.RatelimitTake) (wire.RatelimitAnswer, error) {
	time.Sleep(s.delay)
	return wire.RatelimitAnswer{Wait: int((10 * time.Millisecond).Microseconds())}, nil
}

func (s slowIssuers) Report(context.Context, string, wire.RatelimitReport) (wire.RatelimitAnswer, error) {
	return wire.RatelimitAnswer{}, nil
}

// Guards against a wait for a permit that is longer than its limit because the issuers answer slowly.
func TestWaitForPermitIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const limit = 0.5
		issuers := slowIssuers{delay: 100 * time.Millisecond}
		b := newLimitedDispatcher(map[string]ratelimit.Rate{"a": limit, "b": limit, "c": limit})
		b.Limits.Peers = issuers
		b.Limits.Members = func() []string { return []string{"10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1"} }
		for range 20 {
			response := &callerResponse{}
			sent := time.Now()
			r := request("/safe/1")
			r.Timeout = 1500 * time.Millisecond
			b.Serve(t.Context(), r, response)
			is.True(time.Since(sent) < r.Timeout/4+7*issuers.delay) // A quarter of the time, and questions for each server before and at its end.
			time.Sleep(time.Second)
		}
	})
}

// Guards against callers that wait, or are told that the request may have run, while no server has room, against servers
// that must reject many requests meanwhile, and against a time to come back at which there is no permit yet.
func TestRequestsWithoutRoomAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const rejections = 3
		b := newLimitedDispatcher(nil)
		begin := time.Now().Add(5 * time.Second)
		rejected := make(map[string][]time.Time)
		b.respond = func(_ context.Context, _ int, a dispatch.Attempt) dispatch.Outcome {
			if now := time.Now(); now.After(begin) {
				rejected[a.Server.Name] = append(rejected[a.Server.Name], now)
			}
			return dispatch.Refused{Limit: ratelimit.Announcement{Named: true, Rate: ratelimit.Unlimited, Brittle: rejections, Rejected: true}}
		}
		for range 4000 {
			response := &callerResponse{}
			sent := time.Now()
			b.Serve(t.Context(), request("/safe/1"), response)
			is.True(response.refusal.Reason == dispatch.ServersFull || response.refusal.Reason == dispatch.NoServerAvailable)
			is.True(response.refusal.After > 0)
			is.True(time.Since(sent) < 10*time.Millisecond)
			time.Sleep(5 * time.Millisecond)
		}
		for _, times := range rejected {
			for i := rejections; i < len(times); i++ {
				is.True(times[i].Sub(times[i-rejections]) >= time.Second)
			}
		}
		is.Equal(len(rejected), 3) // Each server is tried now and then.
	})
}
