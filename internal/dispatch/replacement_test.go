package dispatch_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/dispatch"
	"citronslip/internal/ratelimit"
	"citronslip/internal/routing"
)

var (
	errWayBroken = errors.New("way broken")
)

// Guards against an attempt on a broken way that ends although no other one can follow, so that the caller is told that
// the request may have run.
func TestAttemptIsReplacedOnlyIfAnotherOneIsAllowed(t *testing.T) {
	others := func(change func(b *testDispatcher, name string)) func(b *testDispatcher, current string) {
		return func(b *testDispatcher, current string) {
			for _, name := range []string{"a", "b", "c"} {
				if name != current {
					change(b, name)
				}
			}
		}
	}
	for name, test := range map[string]struct {
		path      string
		failed    int                                     // Attempts that fail before.
		change    func(b *testDispatcher, current string) // While the attempt is in progress; optional.
		permanent bool                                    // Whether it is known from the beginning that there can be no replacement.
		replaced  bool
	}{
		"allowed":               {path: "/safe/1", replaced: true},
		"stream":                {path: "/stream/1", replaced: true},
		"may run only once":     {path: "/once/1", permanent: true},
		"stream runs only once": {path: "/frail/1", permanent: true},
		"attempts used up":      {path: "/safe/1", failed: 1, permanent: true},
		"retry budget exhausted": {path: "/safe/1", change: func(b *testDispatcher, _ string) {
			b.Repeats.Adjust(0, 0, time.Second)
		}},
		"link of the host full": {path: "/safe/1", change: func(b *testDispatcher, _ string) {
			b.Behind = func() bool { return true }
		}},
		"no other server": {path: "/safe/1", change: func(b *testDispatcher, current string) {
			b.Pool.Update([]dispatch.Server{{Name: current, Service: "s", Born: 1}})
		}},
		"others leave": {path: "/safe/1", change: others(func(b *testDispatcher, name string) {
			b.Pool.MarkLeaving(&dispatch.Server{Name: name, Born: 1})
		})},
		"others want none": {path: "/safe/1", change: others(func(b *testDispatcher, name string) {
			b.Pool.BackOff(&dispatch.Server{Name: name}, time.Second)
		})},
		"others at their limits": {path: "/safe/1", change: others(func(b *testDispatcher, name string) {
			p := ratelimit.Process{Server: name, Born: 1}
			b.Limits.Observe(p, ratelimit.Permit{}, ratelimit.Announcement{Named: true, Rate: 0.01})
			for range 3 {
				_, _ = b.Limits.Acquire(context.Background(), p, 0) // Uses up what is free.
			}
		})},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newLimitedDispatcher(nil)
				b.respond = func(_ context.Context, number int, a dispatch.Attempt) dispatch.Outcome {
					switch {
					case number <= test.failed:
						return dispatch.NoResponse{Err: errReset}
					case number > test.failed+1:
						return completeAnswer(eventText(1, 2))
					case test.change != nil:
						test.change(b, a.Server.Name)
					}
					is.Equal(a.Replace == nil, test.permanent)
					if a.Replace != nil && a.Replace() {
						return dispatch.NoResponse{Path: true, Err: errWayBroken}
					}
					return completeAnswer(eventText(1, 2))
				}
				a := b.serve(test.path)
				is.True(a.ended && a.refusal == nil)
				expected := test.failed + 1
				if test.replaced {
					expected++
				}
				is.Equal(len(b.sends), expected)
			})
		})
	}
}

// Guards against a replacement at the same server, and against a server that counts requests in progress that it never got.
func TestReplacementIsSentOrReleased(t *testing.T) {
	is := is.New(t)
	answered := false
	b := newTestDispatcher(func(_ context.Context, number int, a dispatch.Attempt) dispatch.Outcome {
		if number == 1 {
			is.True(a.Replace())
			if answered {
				return completeAnswer("answer")
			}
			return dispatch.NoResponse{Path: true, Err: errWayBroken}
		}
		return completeAnswer("answer")
	})
	is.True(b.serve("/safe/1").ended)
	is.Equal(len(b.sends), 2)
	is.True(b.sends[0].Server.Name != b.sends[1].Server.Name)
	answered, b.sends = true, nil
	is.True(b.serve("/safe/1").ended)
	is.Equal(len(b.sends), 1)
	is.True(!b.sends[0].Replace()) // The attempt has ended.
	for _, name := range []string{"a", "b", "c"} {
		_, choice, err := b.Pool.Pick(&routing.Request{Service: "s", Only: name})
		is.NoErr(err)
		is.Equal(choice.Expected.Batch, 1) // The only request in progress.
		choice.Done(routing.Cancelled{})
	}
}
