package prepaid_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/wire"
)

// Guards against a router that is cut off from the store and stops writing its rows although another router reaches the
// store, and against one that goes on writing through the other when it reaches the store again.
func TestCutOffRouterWritesThroughAnother(t *testing.T) {
	withFleet(t, 6, total, func(t *testing.T, is *is.I, f *fleet) {
		cut := f.routers[0]
		spent := cut.spend(t, total, 10, 100*time.Millisecond)
		f.connect(f.routers[1:]...)
		time.Sleep(2 * time.Second)
		for range 5 {
			spent += cut.spend(t, total, 10, 100*time.Millisecond)
			is.True(f.grantRow(t, cut.name).Opened >= spent) // It does not spend autonomously.
		}
		is.Equal(spent, 60*request)
		is.True(cut.ledger.Load().StoreAge() > 5*time.Second) // Rows that it reads come from other routers.
		f.connect(f.routers...)
		time.Sleep(4 * time.Second)
		is.True(cut.ledger.Load().StoreAge() < time.Second)
		is.Equal(strings.Count(f.logs.String(), `"event":254`), 2)
	})
}

// Guards against a router that writes other rows than those of budgets for another one, more writes than its share of the
// store allows, or any while it does not reach the store itself.
func TestWritesForOthersAreBounded(t *testing.T) {
	withFleet(t, 2, total, func(t *testing.T, is *is.I, f *fleet) {
		l := f.routers[0].ledger.Load()
		row := func(table, part, name string) []wire.PrepaidRow {
			return []wire.PrepaidRow{{Table: table, Part: part, Name: name, Value: "{}"}}
		}
		for _, refused := range []wire.PrepaidWrite{
			{Puts: row("op", "", "config")},
			{Puts: row("members", "", "view")},
			{Puts: row("budget", account, "sum")}, // Without a condition.
			{Remove: row("alive", "", "router-1")},
			{Expect: row("grant", account, "x"), Remove: row("servers", "", "i-1")},
		} {
			is.Equal(l.WriteForPeer(t.Context(), refused).State, "unavailable")
		}
		heartbeat := wire.PrepaidWrite{Puts: row("alive", "", "x")}
		written := 0
		for range 1000 {
			if l.WriteForPeer(t.Context(), heartbeat).State == "written" {
				written++
			}
		}
		is.True(written > 50 && written <= 100)
		time.Sleep(time.Second)
		is.Equal(l.WriteForPeer(t.Context(), heartbeat).State, "written")
		f.connect()
		time.Sleep(2 * time.Second)
		is.Equal(l.WriteForPeer(t.Context(), heartbeat).State, "unavailable")
	})
}

// Guards against a router that asks routers of an earlier release again and again to write for it, and so does not come to
// those that can.
func TestEarlierReleaseIsNotAskedAgainToWrite(t *testing.T) {
	withFleet(t, 6, total, func(t *testing.T, is *is.I, f *fleet) {
		var asked atomic.Int32
		unsupported := func(wire.PrepaidWrite) bool {
			asked.Add(1)
			return true
		}
		f.writesUnsupported.Store(&unsupported)
		f.routers[0].spend(t, total, 10, 100*time.Millisecond)
		f.connect(f.routers[1:]...)
		time.Sleep(5 * time.Second)
		is.True(asked.Load() > 0)
		is.True(asked.Load() <= 5) // Once each.
		f.writesUnsupported.Store(nil)
		time.Sleep(8 * time.Second)
		is.Equal(strings.Count(f.logs.String(), `"event":254`), 1) // It asks again after a while, and finds one.
	})
}

// Guards against a write that a router of an earlier release refuses and that counts as one whose outcome is unknown: a router
// that returns tokens would limit its spending until a row has changed.
func TestWriteUnknownToEarlierReleaseIsNotUnanswered(t *testing.T) {
	withFleet(t, 2, scarceTotal, func(t *testing.T, is *is.I, f *fleet) {
		cut := f.routers[0]
		cut.use(t, scarceTotal, 100, 100)
		f.connect(f.routers[1])
		time.Sleep(3 * time.Second)
		cut.use(t, scarceTotal, 20_000, 509)
		var refused atomic.Int32
		unsupported := func(w wire.PrepaidWrite) bool {
			if len(w.Expect) == 0 {
				return false // A heartbeat.
			}
			refused.Add(1)
			return true
		}
		f.writesUnsupported.Store(&unsupported)
		time.Sleep(1300 * time.Millisecond) // The write that returns the surplus is refused.
		is.True(refused.Load() > 0)
		ok, _ := cut.use(t, scarceTotal, 18_003, 18_003)
		is.True(ok)
	})
}
