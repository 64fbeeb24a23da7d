package delay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/delay"
)

// Guards against calls after the context is done, and against a first call at the wrong time: Repeat first waits one
// interval, RepeatNow calls immediately.
func TestRepeatAndEvery(t *testing.T) {
	for name, test := range map[string]struct {
		run   func(ctx context.Context, interval time.Duration, call func())
		calls int
	}{"repeat": {delay.Repeat, 3}, "every": {delay.RepeatNow, 4}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
				defer cancel()
				calls := 0
				test.run(ctx, time.Second, func() { calls++ })
				is.Equal(calls, test.calls)
			})
		})
	}
}
