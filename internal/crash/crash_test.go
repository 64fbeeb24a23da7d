package crash_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"citronslip/internal/crash"
	"citronslip/internal/store"
)

func newTracker(s store.Store) *crash.Tracker {
	logger := zerolog.Nop()
	return &crash.Tracker{Store: s, Now: time.Now, Logger: &logger}
}

// applyStoredRows applies the crash rows of the store to a tracker.
func applyStoredRows(t *testing.T, s store.Store, tracker *crash.Tracker) {
	t.Helper()
	rows, err := s.List(t.Context(), crash.Table, "")
	if err != nil {
		t.Fatal(err)
	}
	tracker.Apply(store.Change{Whole: true, Rows: rows.Rows, Version: rows.Version})
}

// Guards against a request that is blocked in one router and still crashes servers through others. The store is
// unavailable for the first writes.
func TestCrashesAreCountedAcrossRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var calls atomic.Int32
		s := &store.Memory{Fault: func(bool) store.Fault {
			if calls.Add(1) < 5 {
				return store.RefuseCall
			}
			return store.NoFault
		}}
		routers := []*crash.Tracker{newTracker(s), newTracker(s), newTracker(s), newTracker(s)}
		for i, tracker := range routers[:3] {
			server := fmt.Sprintf("i-%d", i)
			tracker.AddSuspect("mark", server, server+"/1")
			tracker.RecordServerDown(t.Context(), server)
			is.True(!tracker.Blocked("mark"))
		}
		time.Sleep(10 * time.Second)
		for _, tracker := range routers {
			applyStoredRows(t, s, tracker)
			is.True(tracker.Blocked("mark"))
			is.True(!tracker.Blocked("another"))
		}
	})
}

// Guards against requests that are blocked although no server process ended, or because one ended long after their
// answers were lost.
func TestLostAnswersWithoutRecentCrashDoNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := newTracker(&store.Memory{})
		for i := range 10 {
			tracker.AddSuspect("mark", "i-1", fmt.Sprint("i-1/", i))
		}
		is.True(!tracker.Blocked("mark"))
		time.Sleep(20 * time.Second)
		tracker.RecordServerDown(t.Context(), "i-1")
		is.True(!tracker.Blocked("mark"))
	})
}

// Guards against one crash that is counted more than once.
func TestCrashOfOneProcessCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := newTracker(&store.Memory{})
		for range 5 {
			tracker.AddSuspect("mark", "i-1", "i-1/7")
			tracker.RecordServerDown(t.Context(), "i-1")
		}
		is.True(!tracker.Blocked("mark"))
		time.Sleep(time.Second)
	})
}
