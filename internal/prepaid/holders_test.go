package prepaid_test

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/dispatch"
	"citronslip/pkg/inventory"
)

// Guards against a large fleet whose routers conflict so often on the budget row of a busy account that requests are
// refused while most of the budget is left, first with the store reachable and then with a third of the routers cut off
// from it. Sends 100 requests a second of one account to 75 routers.
func TestBusyAccountInLargeFleet(t *testing.T) {
	testBusyAccount(t, 75)
}

// Guards against refusals as in TestBusyAccountInLargeFleet in a fleet that is only a little larger than one in which
// every router holds grants of its own.
func TestBusyAccountJustAboveSmallFleet(t *testing.T) {
	testBusyAccount(t, 12)
}

func testBusyAccount(t *testing.T, routers int) {
	const (
		pause              = 10 * time.Millisecond
		tokens             = 8000
		large              = inventory.Tokens(60_000_000)
		unreachableDivisor = 3
		maxWritesPerSecond = 50 // With 24 accounts, this stays within the store's limit of 1,500 writes a second.
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(routers, large)
		f.roundTrip = 20 * time.Millisecond
		f.start(t.Context())
		defer f.stop()
		random := rand.New(rand.NewPCG(1, 1))
		sendRequests := func(d time.Duration) (refused int64) {
			var count atomic.Int64
			var all sync.WaitGroup
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pause) {
				ledger := f.routers[random.IntN(routers)].ledger.Load()
				all.Go(func() {
					reservation, _ := ledger.Reserve(t.Context(), dispatch.ReservationRequest{Account: account, Total: large, Tokens: tokens})
					if reservation == nil {
						count.Add(1)
						return
					}
					time.Sleep(time.Second)
					reservation.Settle(tokens)
				})
			}
			all.Wait()
			return count.Load()
		}
		f.writes.Store(0)
		refused := sendRequests(10 * time.Second)
		t.Logf("%d refused, %d writes", refused, f.writes.Load())
		is.Equal(refused, int64(0))
		is.True(f.writes.Load() < 10*maxWritesPerSecond)
		for i := range routers / unreachableDivisor {
			f.routers[i].storeUnreachable.Store(true)
		}
		is.Equal(sendRequests(9*time.Second), int64(0))
	})
}

// Guards against conflicts on an account's budget row for many seconds after all routers of a large fleet were killed
// and restarted: all of them end the grants of their previous processes, and callers send requests to all of them.
func TestLargeFleetRecoversFromRestartOfAll(t *testing.T) {
	const (
		routers = 75
		pause   = 15 * time.Millisecond
		tokens  = 8000
		large   = inventory.Tokens(60_000_000)
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(routers, large)
		f.roundTrip = 8 * time.Millisecond
		f.writeSlot = make(chan struct{}, 1)
		f.start(t.Context())
		defer f.stop()
		reservationRequest := dispatch.ReservationRequest{Account: account, Total: large, Tokens: tokens}
		f.peersUnreachable.Store(true) // No router can borrow, so each takes a grant of its own.
		for _, r := range f.routers {
			reservation, _ := r.ledger.Load().Reserve(t.Context(), reservationRequest)
			is.True(reservation != nil)
			reservation.Settle(tokens)
		}
		f.peersUnreachable.Store(false)
		for _, r := range f.routers {
			r.kill()
		}
		time.Sleep(time.Second)
		for _, r := range f.routers {
			r.start(t.Context())
		}
		random := rand.New(rand.NewPCG(1, 1))
		var refused atomic.Int64
		var all sync.WaitGroup
		for begin := time.Now(); time.Since(begin) < 4*time.Second; time.Sleep(pause) {
			ledger, counted := f.routers[random.IntN(routers)].ledger.Load(), time.Since(begin) > time.Second
			all.Go(func() {
				reservation, _ := ledger.Reserve(t.Context(), reservationRequest)
				switch {
				case reservation != nil:
					time.Sleep(300 * time.Millisecond)
					reservation.Settle(tokens)
				case counted:
					refused.Add(1)
				}
			})
		}
		all.Wait()
		t.Logf("%d refused of about 200 in seconds 2 to 4", refused.Load())
		is.Equal(refused.Load(), int64(0))
	})
}

// Guards against a router that gets most requests of an account and has to borrow from others for each of them: it
// would refuse them on a congested link or when cut off from the others.
func TestBusyRouterHoldsItsOwnGrant(t *testing.T) {
	const (
		routers = 75
		tokens  = 8000
		large   = inventory.Tokens(60_000_000)
		pause   = 50 * time.Millisecond
	)
	withFleet(t, routers, large, func(t *testing.T, is *is.I, f *fleet) {
		for i := range 10 { // Some of them are holders by their rank for the account.
			ledger := f.routers[i].ledger.Load()
			sendRequests := func(d time.Duration) (refused int) {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pause) {
					reservation, _ := ledger.Reserve(t.Context(), dispatch.ReservationRequest{Account: account, Total: large, Tokens: tokens})
					if reservation == nil {
						refused++
						continue
					}
					reservation.Settle(tokens)
				}
				return refused
			}
			is.Equal(sendRequests(3*time.Second), 0)
			f.peersUnreachable.Store(true)
			f.routers[i].storeUnreachable.Store(true)
			is.Equal(sendRequests(time.Second), 0)
			f.peersUnreachable.Store(false)
			f.routers[i].storeUnreachable.Store(false)
		}
	})
}

// Guards against requests that are refused because they arrive before the first answer of the store, as after each
// start.
func TestFirstRequestWaitsForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, total)
		f.roundTrip = 20 * time.Millisecond
		f.routers[0].start(t.Context())
		defer f.stop()
		reservation, _ := f.routers[0].ledger.Load().Reserve(t.Context(), dispatch.ReservationRequest{Account: account, Total: total, Tokens: 5000})
		is.True(reservation != nil)
	})
}

// Guards against tokens that stay reserved for a router that gave up and settled before the reservation was made.
func TestReservationAfterItsSettlementIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, total)
		f.roundTrip = 60 * time.Millisecond
		f.start(t.Context())
		defer f.stop()
		ledger := f.routers[0].ledger.Load()
		lent := make(chan bool)
		go func() { lent <- ledger.ReserveForPeer(t.Context(), "other/1", account, int64(total)) }()
		time.Sleep(50 * time.Millisecond)
		ledger.SettleForPeer("other/1", 0)
		is.True(!<-lent)
		reservation, _ := ledger.Reserve(t.Context(), dispatch.ReservationRequest{Account: account, Total: total, Tokens: total})
		is.True(reservation != nil)
	})
}

// Guards against requests of an account with an exhausted budget that are refused with BudgetUnreachable, or that wait
// long for an answer, because the routers of a large fleet conflict on the budget row.
func TestLargeFleetReportsExhaustedBudget(t *testing.T) {
	const (
		routers    = 75
		tokens     = 8000
		small      = inventory.Tokens(100_000)
		pause      = 10 * time.Millisecond
		maxLatency = 500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(routers, small)
		f.roundTrip = 20 * time.Millisecond
		f.start(t.Context())
		defer f.stop()
		random := rand.New(rand.NewPCG(1, 1))
		var granted, unreachable, late atomic.Int64
		var all sync.WaitGroup
		for range 500 {
			ledger := f.routers[random.IntN(routers)].ledger.Load()
			all.Go(func() {
				sent := time.Now()
				reservation, refusal := ledger.Reserve(t.Context(), dispatch.ReservationRequest{Account: account, Total: small, Tokens: tokens})
				switch {
				case reservation != nil:
					reservation.Settle(tokens)
					granted.Add(1)
				case refusal.Reason != dispatch.NoBudget:
					unreachable.Add(1)
				}
				if time.Since(sent) > maxLatency {
					late.Add(1)
				}
			})
			time.Sleep(pause)
		}
		all.Wait()
		t.Logf("%d granted, %d unreachable, %d late, %d writes", granted.Load(), unreachable.Load(), late.Load(), f.writes.Load())
		is.Equal(unreachable.Load(), int64(0))
		is.Equal(late.Load(), int64(0))
		is.True(granted.Load() >= int64(small)*9/10/tokens)
	})
}
