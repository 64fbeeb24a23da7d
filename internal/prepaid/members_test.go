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

// Guards against routers that each read more from the store the larger the fleet is, so that the store's traffic grows
// with the square of the fleet size. Sends one request a second for each of 40 accounts.
func TestStoreReadsDoNotGrowWithFleet(t *testing.T) {
	const (
		accounts = 40
		tokens   = 8000
		large    = inventory.Tokens(60_000_000)
		duration = 30 * time.Second
		maxBytes = 2048 // Per router and second: the limit of a host for control traffic.
		maxCalls = 5    // Per router and second.
	)
	for _, routers := range []int{30, 100, 300} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(routers, large)
				d := &inventory.Directory{Version: 1}
				for i := range accounts {
					name := fmt.Sprint("account-", i)
					d.Budgets = append(d.Budgets, inventory.Budget{Name: name, Account: name, Tokens: large})
				}
				d.Prepare()
				f.directory.Store(d)
				f.start(t.Context())
				defer f.stop()
				time.Sleep(10 * time.Second)
				f.bytesRead.Store(0)
				f.calls.Store(0)
				refused, number := 0, 0
				for begin := time.Now(); time.Since(begin) < duration; time.Sleep(time.Second / accounts) {
					number++
					ledger := f.routers[number%routers].ledger.Load()
					reservation, _ := ledger.Reserve(t.Context(), dispatch.ReservationRequest{
						Account: d.Budgets[number%accounts].Account, Total: large, Tokens: tokens,
					})
					if reservation == nil {
						refused++
						continue
					}
					reservation.Settle(tokens)
				}
				routerSeconds := float64(routers) * duration.Seconds()
				bytes, calls := float64(f.bytesRead.Load())/routerSeconds, float64(f.calls.Load())/routerSeconds
				t.Logf("%.0f bytes and %.1f calls a second and router", bytes, calls)
				is.Equal(refused, 0)
				is.True(bytes < maxBytes)
				is.True(calls < maxCalls)
				is.Equal(f.routers[routers/2].ledger.Load().RouterCount(), routers)
			})
		})
	}
}

// Guards against routers that read the membership view before its leader has listed the routers, and then know no other
// router for the time between two reads.
func TestRoutersOfNewFleetKnowEachOtherSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(40, total)
		f.roundTrip = 100 * time.Millisecond
		defer f.stop()
		for _, r := range f.routers {
			r.start(t.Context())
		}
		time.Sleep(2 * time.Second)
		for _, r := range f.routers {
			is.Equal(len(r.ledger.Load().PeerAddresses()), len(f.routers)-1)
		}
	})
}

// Guards against a fleet whose membership view is no longer updated after its leader was killed, and against two
// leaders at a time.
func TestStoppedLeaderIsReplaced(t *testing.T) {
	withFleet(t, 20, total, func(t *testing.T, is *is.I, f *fleet) {
		leaders := func() (result []*router) {
			for _, r := range f.routers {
				if l := r.ledger.Load(); l != nil && l.IsMembershipLeader() {
					result = append(result, r)
				}
			}
			return result
		}
		time.Sleep(5 * time.Second)
		first := leaders()
		is.Equal(len(first), 1)
		first[0].kill()
		time.Sleep(20 * time.Second)
		next := leaders()
		is.Equal(len(next), 1)
		is.True(next[0] != first[0])
		is.Equal(next[0].ledger.Load().RouterCount(), 19)
		first[0].start(t.Context())
		time.Sleep(10 * time.Second)
		is.Equal(len(leaders()), 1)
		for _, r := range f.routers {
			is.Equal(r.ledger.Load().RouterCount(), 20)
		}
	})
}

// Guards against a leader that is cut off from the store and still considers itself the leader after another has
// replaced it.
func TestDisconnectedLeaderIsReplaced(t *testing.T) {
	withFleet(t, 20, total, func(t *testing.T, is *is.I, f *fleet) {
		time.Sleep(5 * time.Second)
		var first *prepaid.Ledger
		for _, r := range f.routers {
			if l := r.ledger.Load(); l.IsMembershipLeader() {
				first = l
				r.storeUnreachable.Store(true)
				time.Sleep(20 * time.Second)
				r.storeUnreachable.Store(false)
			}
			if first != nil {
				break
			}
		}
		time.Sleep(10 * time.Second)
		count := 0
		for _, r := range f.routers {
			if r.ledger.Load().IsMembershipLeader() {
				count++
			}
		}
		is.Equal(count, 1)
		is.True(!first.IsMembershipLeader())
	})
}

// Guards against a store that refuses calls and counts as one whose answers are delayed by the network, so that
// requests are refused because of the host's link.
func TestRefusingStoreCountsAsReachable(t *testing.T) {
	withFleet(t, 1, total, func(t *testing.T, is *is.I, f *fleet) {
		ledger := f.routers[0].ledger.Load()
		f.refusesCalls.Store(true)
		time.Sleep(5 * time.Second)
		is.True(ledger.StoreAge() > 4*time.Second)
		is.True(ledger.TimeSinceReached() < time.Second)
		f.refusesCalls.Store(false)
		f.losesCalls.Store(true)
		time.Sleep(5 * time.Second)
		is.True(ledger.TimeSinceReached() > 4*time.Second)
	})
}

// Guards against a store that answers reads and counts as unreachable because heartbeats get no answer.
func TestAnsweredReadCountsAsReachable(t *testing.T) {
	withFleet(t, 1, total, func(t *testing.T, is *is.I, f *fleet) {
		ledger := f.routers[0].ledger.Load()
		f.losesAnswers.Store(true)
		time.Sleep(5 * time.Second)
		is.True(ledger.StoreAge() < 3*time.Second)
		is.True(ledger.TimeSinceReached() <= ledger.StoreAge())
	})
}
