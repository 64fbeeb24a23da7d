package crash_test

import (
	"context"
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
	begin := time.Now()
	return &crash.Tracker{Store: s, Now: time.Now, Clock: func() time.Duration { return time.Since(begin) }, Logger: &logger}
}

// run runs a tracker until the test ends.
func run(t *testing.T, tracker *crash.Tracker) {
	t.Helper()
	go func() { _ = tracker.Run(t.Context()) }()
}

// blocked reports whether a request with the fingerprint may not be sent.
func blocked(tracker *crash.Tracker, fingerprint string, parts ...string) bool {
	_, blocked := tracker.Check(crash.Request{Fingerprint: fingerprint, Parts: parts}).(crash.Blocked)
	return blocked
}

// process returns a process of a server.
func process(server string, start int) crash.Process {
	return crash.Process{Server: server, ID: fmt.Sprint(server, "/", start)}
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
			run(t, tracker)
			tracker.AddSuspect(crash.Request{Fingerprint: "mark"}, process(server, 1), false)
			tracker.RecordServerDown(server)
			is.True(!blocked(tracker, "mark"))
		}
		time.Sleep(10 * time.Second)
		for _, tracker := range routers {
			applyStoredRows(t, s, tracker)
			is.True(blocked(tracker, "mark"))
			is.True(!blocked(tracker, "another"))
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
			tracker.AddSuspect(crash.Request{Fingerprint: "mark"}, process("i-1", i), false)
		}
		is.True(!blocked(tracker, "mark"))
		time.Sleep(20 * time.Second)
		tracker.RecordServerDown("i-1")
		is.True(!blocked(tracker, "mark"))
	})
}

// Guards against one crash that is counted more than once.
func TestCrashOfOneProcessCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := newTracker(&store.Memory{})
		for range 5 {
			tracker.AddSuspect(crash.Request{Fingerprint: "mark"}, process("i-1", 7), false)
			tracker.RecordServerDown("i-1")
		}
		is.True(!blocked(tracker, "mark"))
		time.Sleep(time.Second)
	})
}

// crashWith makes a tracker see the crash of a new process under requests with the parts, each of them new.
func crashWith(tracker *crash.Tracker, number int, requests ...[]string) {
	for i, parts := range requests {
		r := crash.Request{Fingerprint: fmt.Sprint("r", number, "-", i), Parts: parts}
		tracker.AddSuspect(r, process(fmt.Sprint("i-", number), 1), false)
	}
	tracker.RecordServerDown(fmt.Sprint("i-", number))
	time.Sleep(time.Second)
}

// Guards against a refusal of sound requests whose parts were in flight at every crash: one that servers answered
// meanwhile, and one that other requests of the crashes do not have.
func TestSoundPartsBesideHarmfulOneAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := newTracker(&store.Memory{})
		for i := range 3 {
			tracker.RecordProgress(crash.Request{Fingerprint: "sound", Parts: []string{"common"}})
			time.Sleep(time.Millisecond)
			crashWith(tracker, i, []string{"common", "harmful"}, []string{"common", "other"}, []string{"common", fmt.Sprint("rare", i)})
		}
		is.True(blocked(tracker, "new", "common", "harmful"))
		is.True(!blocked(tracker, "new", "common", "other"))
		is.True(!blocked(tracker, "new", "common"))
	})
}

// Guards against a refusal of all requests with a part that is only known to come together with the harmful one.
func TestInseparablePartsAreTriedApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := newTracker(&store.Memory{})
		for i := range 3 {
			crashWith(tracker, i, []string{"first", "harmful"})
		}
		is.True(blocked(tracker, "new", "first", "harmful"))
		is.True(!blocked(tracker, "new", "first", "other"))
		tracker.RecordProgress(crash.Request{Fingerprint: "new", Parts: []string{"first", "other"}})
		is.True(blocked(tracker, "another", "second", "harmful"))
		is.True(!blocked(tracker, "another", "first"))
	})
}

// Guards against the content that all servers run being blocked because many of them lost their power together, or because
// one request was retried.
func TestCrashesWithOtherCausesDoNotBlockParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := newTracker(&store.Memory{})
		for i := range 20 {
			tracker.AddSuspect(crash.Request{Fingerprint: fmt.Sprint(i), Parts: []string{"common"}}, process(fmt.Sprint("i-", i), 1), false)
			tracker.RecordServerDown(fmt.Sprint("i-", i))
		}
		is.True(!blocked(tracker, "new", "common"))
		for i := range 2 {
			time.Sleep(time.Second)
			tracker.AddSuspect(crash.Request{Fingerprint: "retried", Parts: []string{"its part"}}, process(fmt.Sprint("j-", i), 1), false)
			tracker.RecordServerDown(fmt.Sprint("j-", i))
		}
		is.True(!blocked(tracker, "new", "its part"))
	})
}

// Guards against a harmless part that is blocked for good, and against many crashes by a harmful one each time that its
// block ends: one request is tried in the whole fleet.
func TestBlockedPartIsTriedByOneRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store.Memory{}
		addresses := []string{"a", "b", "c"}
		var trackers []*crash.Tracker
		for i, address := range addresses {
			tracker := newTracker(s)
			tracker.Address = address
			tracker.Members = func() []string { return append(append([]string{}, addresses[:i]...), addresses[i+1:]...) }
			run(t, tracker)
			trackers = append(trackers, tracker)
		}
		for i := range 3 {
			crashWith(trackers[0], i, []string{"harmful"})
		}
		trials := func() (admitted []*crash.Tracker) {
			for _, tracker := range trackers {
				applyStoredRows(t, s, tracker)
				for i := range 5 {
					if !blocked(tracker, fmt.Sprint("new", i), "harmful") {
						admitted = append(admitted, tracker)
					}
				}
			}
			return admitted
		}
		is.Equal(len(trials()), 0)
		time.Sleep(40 * time.Second)
		tried := trials()
		is.Equal(len(tried), 1)
		crashWith(tried[0], 3, []string{"harmful"})
		time.Sleep(40 * time.Second) // The block lasts twice as long.
		is.Equal(len(trials()), 0)
		time.Sleep(30 * time.Second)
		tried = trials()
		is.Equal(len(tried), 1)
		tried[0].RecordProgress(crash.Request{Fingerprint: "new", Parts: []string{"harmful"}})
		time.Sleep(time.Second)
		is.Equal(len(trials()), 15)
	})
}

// Guards against routers that block a part because they do not know that another router has seen it answered.
func TestProofsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store.Memory{}
		witness, other := newTracker(s), newTracker(s)
		run(t, witness)
		run(t, other)
		witness.RecordProgress(crash.Request{Fingerprint: "sound", Parts: []string{"common"}})
		for i := range 3 {
			time.Sleep(time.Second)
			crashWith(other, i, []string{"common", fmt.Sprint("x", i)}, []string{"common", fmt.Sprint("y", i)})
			applyStoredRows(t, s, witness)
			time.Sleep(time.Second)
			applyStoredRows(t, s, other)
		}
		is.True(!blocked(other, "new", "common"))
	})
}

// Guards against further crashes by the requests with harmful content that are in flight when it is found.
func TestRequestsInFlightAreWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := newTracker(&store.Memory{})
		withdrawn := make(chan string, 4)
		watch := func(name string, parts ...string) func() {
			return tracker.Watch(crash.Request{Fingerprint: name, Parts: parts}, func() { withdrawn <- name })
		}
		defer watch("waiting", "harmful")()
		defer watch("sound", "other")()
		watch("ended", "harmful")()
		for i := range 4 {
			crashWith(tracker, i, []string{"harmful"})
		}
		is.Equal(len(withdrawn), 1)
		is.Equal(<-withdrawn, "waiting")
	})
}

// Guards against a check of the server's address that is not made, so that a crash is only known when the server is back.
func TestRefusedConnectionProvesCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := newTracker(&store.Memory{})
		tracker.Refuses = func(_ context.Context, address string) bool { return address == "down" }
		for i := range 3 {
			for _, address := range []string{"down", "up"} {
				p := process(address, i)
				p.Address = address
				tracker.AddSuspect(crash.Request{Fingerprint: fmt.Sprint(i), Parts: []string{"on " + address}}, p, false)
			}
			time.Sleep(time.Second)
		}
		is.True(blocked(tracker, "new", "on down"))
		is.True(!blocked(tracker, "new", "on up"))
	})
}

// Guards against memory that grows with the number of crashes.
func TestRecordsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := newTracker(&store.Memory{})
		change := store.Change{}
		for i := range 5000 {
			name := fmt.Sprintf("%d@i-%d/1", i, i)
			value := fmt.Sprintf(`{"clock":%d,"parts":["p%d"]}`, i*1000, i)
			change.Rows = append(change.Rows, store.Row{Key: store.Key{Table: crash.Table, Name: name}, Value: []byte(value)})
		}
		tracker.Apply(change)
		is.True(tracker.Records() <= 4000)
	})
}

// Guards against crashes that routers which start after a restore of the store do not learn.
func TestCrashesAreWrittenAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store.Memory{}
		saved := s.Copy()
		tracker, other := newTracker(s), newTracker(s)
		for _, router := range []*crash.Tracker{tracker, other} {
			logger := zerolog.Nop()
			f := &store.Follower{Store: s, Table: crash.Table, Apply: router.Apply, Logger: &logger}
			go func() { _ = f.Run(t.Context()) }()
			run(t, router)
		}
		time.Sleep(time.Second)
		for i := range 3 {
			crashWith(tracker, i, []string{"harmful"})
		}
		s.Restore(saved)
		time.Sleep(6 * time.Second)
		is.True(blocked(other, "new", "harmful"))
		started := newTracker(s)
		applyStoredRows(t, s, started)
		is.True(blocked(started, "new", "harmful"))
	})
}
