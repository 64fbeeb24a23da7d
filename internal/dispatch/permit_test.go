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
