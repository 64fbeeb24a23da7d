package dispatch_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"citronslip/internal/dispatch"
	"citronslip/internal/routing"
	"citronslip/internal/store"
)

const (
	noOutage = time.Hour
)

// newServerRegistry returns a registry that decodes the value of a row as the state of the server.
func newServerRegistry(now *time.Time) *dispatch.ServerRegistry {
	logger := zerolog.Nop()
	return &dispatch.ServerRegistry{
		Pool:   &dispatch.Pool{Picker: &routing.Picker{Now: func() time.Time { return *now }}},
		Logger: &logger,
		Now:    func() time.Time { return *now },
		Decode: func(name string, data []byte) (dispatch.Server, error) {
			if string(data) == "bad" {
				return dispatch.Server{}, errors.New("bad entry")
			}
			return dispatch.Server{Name: name, Service: "s", Leaving: string(data) == "leaving", Born: int64(len(data))}, nil
		},
	}
}

func row(name, value string, version int64) store.Row {
	return store.Row{Key: store.Key{Name: name}, Value: []byte(value), Version: version, Deleted: value == ""}
}

func pickName(r *dispatch.ServerRegistry) string {
	server, choice, err := r.Pool.Pick(&routing.Request{Service: "s"})
	if err != nil {
		return ""
	}
	choice.Done(routing.Cancelled{})
	return server.Name
}

// Guards against new requests to a server that is leaving or removed, or whose row cannot be read.
func TestLeavingServersGetNoRequests(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := newServerRegistry(&now)
	is.True(!r.Synced())
	r.Apply(store.Change{Whole: true, Rows: []store.Row{row("a", "ready", 1), row("b", "bad", 1)}, Outage: noOutage})
	is.True(r.Synced())
	is.Equal(pickName(r), "a")
	r.Apply(store.Change{Rows: []store.Row{row("a", "leaving", 2)}, Outage: noOutage})
	is.Equal(pickName(r), "")
	r.Apply(store.Change{Rows: []store.Row{row("c", "ready", 3)}, Outage: noOutage})
	is.Equal(pickName(r), "c")
	r.Apply(store.Change{Rows: []store.Row{row("c", "", 4)}, Outage: noOutage})
	is.Equal(pickName(r), "")
}

// Guards against a fleet without servers after an outage of the store during which all rows expired, and against a
// server that stays in use although its row does not return.
func TestServersWithMissingRowsStayInUseDuringGracePeriod(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := newServerRegistry(&now)
	r.Apply(store.Change{Whole: true, Rows: []store.Row{row("a", "ready", 1), row("b", "ready", 1)}, Outage: noOutage})
	r.Apply(store.Change{Whole: true, Outage: 100 * time.Millisecond})
	is.True(pickName(r) != "")
	now = now.Add(time.Second)
	r.Apply(store.Change{Rows: []store.Row{row("a", "ready", 7)}, Outage: noOutage})
	now = now.Add(time.Second)
	r.RemoveExpired()
	for range 10 {
		is.Equal(pickName(r), "a")
	}
}

// Guards against an old row that replaces a newer one from a relayed list.
func TestOlderRowsDoNotReplaceNewerOnes(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := newServerRegistry(&now)
	r.Apply(store.Change{Whole: true, Rows: []store.Row{row("a", "leaving", 9)}, Outage: noOutage})
	r.Apply(store.Change{Rows: []store.Row{row("a", "ready", 4)}, Outage: noOutage})
	is.Equal(pickName(r), "")
}

// Guards against an unreported end of a server process: only a reported one counts as a crash of its requests.
func TestRestartIsReported(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := newServerRegistry(&now)
	var down []string
	r.Down = func(server string) { down = append(down, server) }
	r.Apply(store.Change{Whole: true, Rows: []store.Row{row("a", "ready", 1), row("b", "leaving", 1)}, Outage: noOutage})
	r.Apply(store.Change{Rows: []store.Row{row("a", "ready again", 2), row("b", "", 3)}, Outage: noOutage})
	is.Equal(down, []string{"a"}) // A planned stop is not a crash.
}

// Guards against an outdated list from another router that brings a removed server back into use and drops a new one.
func TestOutdatedListsAreIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := newServerRegistry(&now)
	before := []store.Row{row("a", "ready", 1)}
	is.True(r.Apply(store.Change{Whole: true, Rows: before, Version: 5, Outage: noOutage}))
	outage := 100 * time.Millisecond
	is.True(r.Apply(store.Change{Rows: []store.Row{row("a", "", 8), row("b", "ready", 9)}, Version: 9, Outage: outage}))
	is.True(!r.Apply(store.Change{Whole: true, Rows: before, Version: 7}))
	now = now.Add(2 * time.Second)
	r.RemoveExpired()
	for range 10 {
		is.Equal(pickName(r), "b")
	}
}

// Guards against entries of an older copy of the store that hide newer ones of lower versions, bring back servers that
// are leaving or gone, or remove servers for good.
func TestEntriesAfterStoreIsRestored(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := newServerRegistry(&now)
	list := func(era, version int64, rows ...store.Row) {
		r.Apply(store.Change{Whole: true, Era: era, Version: version, Rows: rows, Outage: time.Second})
	}
	list(1, 100, row("a", "ready", 10), row("b", "leaving", 90), row("c", "ready", 95), row("d", "ready", 96))
	now = now.Add(time.Minute)
	r.Apply(store.Change{Era: 1, Version: 101, Rows: []store.Row{row("c", "", 101)}, Outage: noOutage})
	r.Apply(store.Change{Era: 1, Version: 102, Rows: []store.Row{row("b", "", 102)}, Outage: noOutage})
	names := func() map[string]bool {
		result := make(map[string]bool)
		for range 50 {
			result[pickName(r)] = true
		}
		return result
	}
	is.Equal(names(), map[string]bool{"a": true, "d": true})
	// The copy still has c, which was removed, and b before it left; d had not registered yet.
	list(2, 60, row("a", "ready", 10), row("b", "leaving", 50), row("c", "ready", 55))
	is.Equal(names(), map[string]bool{"a": true, "d": true})
	r.Apply(store.Change{Era: 2, Version: 61, Rows: []store.Row{row("a", "leaving", 61), row("d", "ready", 62)}, Outage: time.Second})
	is.Equal(names(), map[string]bool{"d": true})
	r.Apply(store.Change{Whole: true, Era: 1, Version: 500, Rows: []store.Row{row("e", "ready", 499)}, Source: "router"})
	is.Equal(names(), map[string]bool{"d": true})
	now = now.Add(6 * time.Second) // The entry of c has not lapsed, so its server lives.
	r.RemoveExpired()
	now = now.Add(time.Minute) // The picker sends new servers few requests at first.
	is.Equal(names(), map[string]bool{"c": true, "d": true})
}

// Guards against an older unreadable row, which a feed repeats after a list, that takes a server out of use, and against
// new requests to a process that was leaving before its row could not be read for a time.
func TestUnreadableRowAppliesOnlyToItsVersion(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := newServerRegistry(&now)
	r.Apply(store.Change{Whole: true, Rows: []store.Row{row("a", "ready", 5)}, Version: 4, Outage: noOutage})
	r.Apply(store.Change{Rows: []store.Row{row("a", "bad", 4)}, Version: 5, Outage: noOutage})
	is.Equal(pickName(r), "a")
	r.Apply(store.Change{Rows: []store.Row{row("a", "bad", 6)}, Version: 6, Outage: noOutage})
	is.Equal(pickName(r), "")
	r.Apply(store.Change{Rows: []store.Row{row("a", "ready", 7)}, Version: 7, Outage: noOutage})
	is.Equal(pickName(r), "a")
	r.Apply(store.Change{Rows: []store.Row{row("b", "leaving", 8), row("a", "", 9)}, Version: 9, Outage: noOutage})
	r.Apply(store.Change{Rows: []store.Row{row("b", "bad", 10)}, Version: 10, Outage: noOutage})
	r.Apply(store.Change{Rows: []store.Row{row("b", "running", 11)}, Version: 11, Outage: noOutage}) // The same start time.
	is.Equal(pickName(r), "")
}
