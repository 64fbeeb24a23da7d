package dispatch_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/dispatch"
	"citronslip/pkg/inventory"
)

// fakeHealth is a HealthChecker that returns one outcome, and counts the checks.
type fakeHealth struct {
	outcome dispatch.Outcome
	checks  atomic.Int64
}

func (h *fakeHealth) CheckHealth(context.Context, *dispatch.Server, string) dispatch.Outcome {
	h.checks.Add(1)
	return h.outcome
}

// Guards against a service of requests that may run only once that refuses all of them for good after its servers lost
// answers, whatever their health path says, and against health checks of services that have no health path or that may
// not be sent to.
func TestServersReturnWithoutIdempotentRequests(t *testing.T) {
	healthy := dispatch.Answered{Success: true}
	unhealthy := dispatch.Answered{Rest: time.Minute}
	cases := []struct {
		name    string
		outcome dispatch.Outcome
		path    string
		behind  bool
		within  time.Duration // Until all requests are served.
		checked bool
	}{
		{"healthy", healthy, "/health", false, 5 * time.Second, true},
		{"unhealthy", unhealthy, "/health", false, 15 * time.Second, true},
		{"full", dispatch.Refused{After: time.Minute}, "/health", false, 15 * time.Second, true},
		{"no answer", dispatch.NoResponse{Err: errors.New("no answer")}, "/health", false, 15 * time.Second, true},
		{"no health path", healthy, "", false, 15 * time.Second, false},
		{"link full", healthy, "/health", true, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				lost := true
				var behind atomic.Bool
				b := newTestDispatcher(func(context.Context, int, dispatch.Attempt) dispatch.Outcome {
					if lost {
						return dispatch.NoResponse{Reset: true, Err: errReset}
					}
					return completeAnswer("ok")
				})
				b.Pool.Picker.Trials = true
				b.Behind = behind.Load
				directory := b.Directory.Load()
				directory.Services = []inventory.EntryService{{Name: "s", HealthPath: c.path}}
				directory.Prepare()
				health := &fakeHealth{outcome: c.outcome}
				logger := zerolog.Nop()
				prober := &dispatch.HealthProber{
					Dispatcher: b.Dispatcher, Checker: health, Directory: b.Directory, Logger: &logger, Metrics: tally.NoopScope,
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() { _ = prober.Run(ctx) }() // Returns nil.
				for range 3 {
					is.True(b.serve("/single/x").refusal != nil)
				}
				sent := len(b.sends)
				is.Equal(b.serve("/single/x").refusal.Reason, dispatch.NoServerAvailable)
				is.Equal(len(b.sends), sent)
				lost = false
				behind.Store(c.behind)
				begin, served := time.Now(), 0
				for time.Since(begin) < 30*time.Second {
					time.Sleep(100 * time.Millisecond)
					if b.serve("/single/x").refusal != nil {
						served = 0
						continue
					}
					if served++; time.Since(begin) > c.within && served < 10 {
						t.Fatalf("the first request was served after %v", time.Since(begin))
					}
				}
				is.Equal(served > 0, !c.behind)
				is.Equal(health.checks.Load() > 0, c.checked)
				t.Logf("%d health checks", health.checks.Load())
			})
		})
	}
}
