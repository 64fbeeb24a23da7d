package prepaid_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/dispatch"
	"citronslip/internal/prepaid"
	"citronslip/pkg/inventory"
)

// Guards against routers that read more of the store the larger the fleet is, which makes the bytes at the store grow with
// its square. Plays 40 accounts with a request a second of each.
func TestReadingDoesNotGrowWithTheFleet(t *testing.T) {
	const (
		accounts  = 40
		tokens    = 8000
		ample     = inventory.Tokens(60_000_000)
		span      = 30 * time.Second
		mostBytes = 2048 // A second and router: what a host may spend on control.
		mostCalls = 5    // A second and router.
	)
	for _, routers := range []int{30, 100, 300} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(routers, ample)
				d := &inventory.Directory{Version: 1}
				for i := range accounts {
					name := fmt.Sprint("account-", i)
					d.Budgets = append(d.Budgets, inventory.Budget{Name: name, Account: name, Tokens: ample})
				}
				d.Prepare()
				f.directory.Store(d)
				f.start(t.Context())
				defer f.stop()
				time.Sleep(10 * time.Second)
				f.read.Store(0)
				f.calls.Store(0)
				refused, number := 0, 0
				for begin := time.Now(); time.Since(begin) < span; time.Sleep(time.Second / accounts) {
					number++
					ledger := f.routers[number%routers].ledger.Load()
					h, _ := ledger.Reserve(t.Context(), dispatch.Claim{
						Account: d.Budgets[number%accounts].Account, Total: ample, Tokens: tokens,
					})
					if h == nil {
						refused++
						continue
					}
					h.Settle(tokens)
				}
				perRouter := float64(routers) * span.Seconds()
				bytes, calls := float64(f.read.Load())/perRouter, float64(f.calls.Load())/perRouter
				t.Logf("%.0f bytes and %.1f calls a second and router", bytes, calls)
				is.Equal(refused, 0)
				is.True(bytes < mostBytes)
				is.True(calls < mostCalls)
				is.Equal(f.routers[routers/2].ledger.Load().Routers(), routers)
			})
		})
	}
}

// Guards against a fleet that no longer learns who runs once the router is gone that tells the others, and against two that
// both do so.
func TestAnotherRouterTellsWhoRuns(t *testing.T) {
	inFleet(t, 20, total, func(t *testing.T, is *is.I, f *fleet) {
		keepers := func() (result []*router) {
			for _, r := range f.routers {
				if l := r.ledger.Load(); l != nil && l.Keeper() {
					result = append(result, r)
				}
			}
			return result
		}
		time.Sleep(5 * time.Second)
		first := keepers()
		is.Equal(len(first), 1)
		first[0].kill()
		time.Sleep(20 * time.Second)
		next := keepers()
		is.Equal(len(next), 1)
		is.True(next[0] != first[0])
		is.Equal(next[0].ledger.Load().Routers(), 19)
		first[0].start(t.Context())
		time.Sleep(10 * time.Second)
		is.Equal(len(keepers()), 1)
		for _, r := range f.routers {
			is.Equal(r.ledger.Load().Routers(), 20)
		}
	})
}

// Guards against a keeper that is cut off from the store and goes on to take itself for one.
func TestKeeperThatIsCutOffIsReplaced(t *testing.T) {
	inFleet(t, 20, total, func(t *testing.T, is *is.I, f *fleet) {
		time.Sleep(5 * time.Second)
		var first *prepaid.Ledger
		for _, r := range f.routers {
			if l := r.ledger.Load(); l.Keeper() {
				first = l
				r.cut.Store(true)
				time.Sleep(20 * time.Second)
				r.cut.Store(false)
			}
			if first != nil {
				break
			}
		}
		time.Sleep(10 * time.Second)
		count := 0
		for _, r := range f.routers {
			if r.ledger.Load().Keeper() {
				count++
			}
		}
		is.Equal(count, 1)
		is.True(!first.Keeper())
	})
}

// Guards against a store that turns calls away and is taken for one whose answers are late on the way, so that requests are
// refused because of the host's link.
func TestRefusingStoreIsReached(t *testing.T) {
	inFleet(t, 1, total, func(t *testing.T, is *is.I, f *fleet) {
		ledger := f.routers[0].ledger.Load()
		f.refusing.Store(true)
		time.Sleep(5 * time.Second)
		is.True(ledger.Age() > 4*time.Second)
		is.True(ledger.Reached() < time.Second)
		f.refusing.Store(false)
		f.away.Store(true)
		time.Sleep(5 * time.Second)
		is.True(ledger.Reached() > 4*time.Second)
	})
}

// Guards against a store that answers some calls and is taken for one that is out of reach, because heartbeats get no answer.
func TestAnsweredReadingShowsTheStoreReached(t *testing.T) {
	inFleet(t, 1, total, func(t *testing.T, is *is.I, f *fleet) {
		ledger := f.routers[0].ledger.Load()
		f.mute.Store(true)
		time.Sleep(5 * time.Second)
		is.True(ledger.Age() < 3*time.Second)
		is.True(ledger.Reached() <= ledger.Age())
	})
}
