package evacuation_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/evacuation"
)

// Guards against a request that a process sends after a standstill by what it knew before it, and against waits without one, for
// longer than a second, or after the news.
func TestRequestsWaitForNewsAfterStandstill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var offset atomic.Int64 // The clock jumps where the process stands still.
		now := func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
		var answered atomic.Pointer[time.Time]
		hear := func() { at := now(); answered.Store(&at) }
		hear()
		s := &evacuation.Standstill{Now: now, Age: func() time.Duration { return now().Sub(*answered.Load()) }}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = s.Run(ctx) }() // Returns nil.
		wait := func() time.Duration {
			begin := time.Now()
			s.Wait(ctx)
			return time.Since(begin)
		}
		time.Sleep(10 * time.Second)
		is.Equal(wait(), time.Duration(0)) // The store is away, but the process has not stood still.
		offset.Add(int64(30 * time.Second))
		time.AfterFunc(20*time.Millisecond, hear)
		is.True(wait() <= 30*time.Millisecond)
		is.Equal(wait(), time.Duration(0))
		offset.Add(int64(30 * time.Second))
		is.Equal(wait(), time.Second) // No news arrive.
		is.Equal(wait(), time.Duration(0))
		offset.Add(int64(3 * time.Second))
		is.Equal(wait(), time.Duration(0))
	})
}
