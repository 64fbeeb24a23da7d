package evacuation_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"citronslip/internal/board"
	"citronslip/internal/evacuation"
	"citronslip/internal/store"
)

// newTracker returns a tracker that takes the names of rows that begin with "out/" for evacuations.
func newTracker(now *time.Time) *evacuation.Tracker {
	logger := zerolog.Nop()
	return &evacuation.Tracker{
		Decode:  func(key store.Key) (string, bool) { return strings.CutPrefix(key.Name, "out/") },
		Places:  &board.Cell[evacuation.Places]{},
		Now:     func() time.Time { return *now },
		Logger:  &logger,
		Metrics: tally.NoopScope,
	}
}

func row(name string, version int64) store.Row {
	return store.Row{Key: store.Key{Name: name}, Version: version}
}

func removed(name string, version int64) store.Row {
	return store.Row{Key: store.Key{Name: name}, Version: version, Deleted: true}
}

func list(era, version int64, rows ...store.Row) store.Change {
	return store.Change{Whole: true, Era: era, Version: version, Rows: rows}
}

func names(t *evacuation.Tracker) string { return strings.Join(t.Places.Load().Names(), " ") }

// Guards against an older state that replaces a newer one, in whichever order the store and other routers tell them.
func TestOlderStateReplacesNoNewerOne(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tracker := newTracker(&now)
	is.True(!tracker.Apply(store.Change{Era: 1, Version: 3, Rows: []store.Row{row("out/a", 3)}})) // No list precedes it.
	is.Equal(tracker.Places.Load(), nil)
	is.True(tracker.Apply(list(1, 5, row("config", 2), row("out/a", 4))))
	is.Equal(names(tracker), "a")
	is.True(tracker.Apply(list(1, 9, row("out/b", 9)))) // From another router, which knows that the row of a has gone.
	is.Equal(names(tracker), "b")
	is.True(!tracker.Apply(list(1, 7, row("out/a", 4))))
	tracker.Apply(store.Change{Era: 1, Version: 9, Rows: []store.Row{removed("out/a", 6), row("out/a", 7), removed("out/a", 8), row("out/b", 9)}})
	is.Equal(names(tracker), "b")
	tracker.Apply(store.Change{Era: 1, Version: 11, Rows: []store.Row{removed("out/b", 10), row("out/c", 11)}})
	is.Equal(names(tracker), "c")
	is.True(tracker.Apply(list(1, 12))) // A row that is missing in a list has been removed.
	is.Equal(names(tracker), "")
}

// Guards against an evacuation that ends because the store comes back from a copy without its row, and one that does not
// end for the same cause.
func TestEvacuationOutlastsRestore(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tracker := newTracker(&now)
	tracker.Apply(list(1, 20, row("out/a", 18), row("out/b", 19)))
	is.True(tracker.Apply(list(2, 15, row("out/old", 3))))
	is.Equal(names(tracker), "a b old")
	is.True(!tracker.Apply(list(1, 30))) // From a router that has not noticed the restore.
	now = now.Add(5 * time.Second)
	tracker.Apply(store.Change{Era: 2, Version: 16, Rows: []store.Row{row("out/a", 16)}}) // The operator writes it again.
	now = now.Add(5 * time.Second)
	tracker.EndHolds()
	is.Equal(names(tracker), "a old")
	change, newer := tracker.Newer(15, 2)
	is.True(newer)
	is.Equal(len(change.Rows), 2)
	_, newer = tracker.Newer(16, 2)
	is.True(!newer)
	tracker.Apply(store.Change{Era: 2, Version: 17, Rows: []store.Row{removed("out/a", 17), removed("out/old", 17)}})
	is.Equal(names(tracker), "")
}

// Guards against routers that know different evacuations after they have told each other, if some of them miss any of the
// changes and lists, and those that they get come in any order.
func TestRoutersAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Now()
		routers := []*evacuation.Tracker{newTracker(&now), newTracker(&now), newTracker(&now)}
		rows := make(map[string]store.Row)
		current := func(version int64) store.Change {
			change := list(1, version)
			for _, r := range rows {
				change.Rows = append(change.Rows, r)
			}
			return change
		}
		version := int64(1)
		for _, r := range routers {
			r.Apply(current(version))
		}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			i := rapid.IntRange(0, len(routers)-1).Draw(rt, "router")
			switch rapid.IntRange(0, 2).Draw(rt, "kind") {
			case 0: // The operator changes a row. The last router is cut off from the store.
				version++
				name := rapid.SampledFrom([]string{"out/a", "out/b"}).Draw(rt, "row")
				change := store.Change{Era: 1, Version: version, Rows: []store.Row{row(name, version)}}
				if _, ok := rows[name]; ok {
					delete(rows, name)
					change.Rows = []store.Row{removed(name, version)}
				} else {
					rows[name] = row(name, version)
				}
				routers[0].Apply(change)
			case 1:
				if i < len(routers)-1 {
					routers[i].Apply(current(version))
				}
			case 2:
				from := routers[rapid.IntRange(0, len(routers)-1).Draw(rt, "from")]
				if change, newer := from.Newer(routers[i].Version()); newer {
					routers[i].Apply(change)
				}
			}
		}
		for _, r := range routers[1:] {
			if change, newer := routers[0].Newer(r.Version()); newer {
				r.Apply(change)
			}
			if names(r) != names(routers[0]) {
				rt.Fatalf("a router knows %q, another one %q", names(r), names(routers[0]))
			}
		}
	})
}

// Guards against a time for the spread of an evacuation that grows with the fleet, if one router alone reaches the store and each
// of the others asks two at a time.
func TestEvacuationSpreadsAmongRoutersCutOffFromStore(t *testing.T) {
	for _, count := range []int{6, 60, 400} {
		now := time.Now()
		routers := make([]*evacuation.Tracker, count)
		for i := range routers {
			routers[i] = newTracker(&now)
			routers[i].Apply(list(1, 1))
		}
		routers[0].Apply(list(1, 2, row("out/a", 2)))
		rounds, known := 0, 1
		for ; known < count; rounds++ {
			for _, r := range routers[1:] {
				for range 2 {
					if change, newer := routers[rand.IntN(count)].Newer(r.Version()); newer {
						r.Apply(change)
					}
				}
			}
			known = 0
			for _, r := range routers {
				known += len(r.Places.Load().Names())
			}
		}
		t.Logf("%d routers know after %d rounds", count, rounds)
		if rounds > 15 {
			t.Errorf("%d routers needed %d rounds", count, rounds)
		}
	}
}

// Guards against requests that reach servers after an evacuation before they count as cold.
func TestEndIsAnnouncedBeforeItHolds(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tracker := newTracker(&now)
	var ended []string
	tracker.Ended = func(place string) {
		is.True(tracker.Places.Load().Contains(place))
		ended = append(ended, place)
	}
	tracker.Apply(list(1, 1, row("out/a", 1), row("out/b", 1)))
	tracker.Apply(list(1, 2, row("out/b", 1)))
	is.Equal(ended, []string{"a"})
	is.Equal(names(tracker), "b")
}
