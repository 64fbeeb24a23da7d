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

// Guards against a large fleet whose routers keep each other from the row of a busy account, so that requests are refused
// while the store is reachable and most of the budget is left; also while it is not reachable for a third of the routers.
// Plays 100 requests a second of one account on 75 routers.
func TestLargeFleetSharesABusyAccount(t *testing.T) {
	sharesABusyAccount(t, 75)
}

// Guards against the same in a fleet that is little larger than one in which each router holds grants of its own.
func TestFleetSharesABusyAccount(t *testing.T) {
	sharesABusyAccount(t, 12)
}

func sharesABusyAccount(t *testing.T, routers int) {
	const (
		pause      = 10 * time.Millisecond
		tokens     = 8000
		ample      = inventory.Tokens(60_000_000)
		cutShare   = 3
		mostWrites = 50 // A second; 24 accounts stay within the 1,500 writes a second of the store.
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(routers, ample)
		f.trip = 20 * time.Millisecond
		f.start(t.Context())
		defer f.stop()
		random := rand.New(rand.NewPCG(1, 1))
		play := func(d time.Duration) (refused int64) {
			var count atomic.Int64
			var all sync.WaitGroup
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pause) {
				ledger := f.routers[random.IntN(routers)].ledger.Load()
				all.Go(func() {
					h, _ := ledger.Reserve(t.Context(), dispatch.Claim{Account: account, Total: ample, Tokens: tokens})
					if h == nil {
						count.Add(1)
						return
					}
					time.Sleep(time.Second)
					h.Settle(tokens)
				})
			}
			all.Wait()
			return count.Load()
		}
		f.writes.Store(0)
		refused := play(10 * time.Second)
		t.Logf("%d refused, %d writes", refused, f.writes.Load())
		is.Equal(refused, int64(0))
		is.True(f.writes.Load() < 10*mostWrites)
		for i := range routers / cutShare {
			f.routers[i].cut.Store(true)
		}
		is.Equal(play(9*time.Second), int64(0))
	})
}

// Guards against a fleet that is lost in whole, whose routers then keep each other from the row of an account for many
// seconds: all of them end the grants of the processes before them, and callers come to all of them.
func TestLargeFleetRecoversFromALossOfAll(t *testing.T) {
	const (
		routers = 75
		pause   = 15 * time.Millisecond
		tokens  = 8000
		ample   = inventory.Tokens(60_000_000)
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(routers, ample)
		f.trip = 8 * time.Millisecond
		f.turn = make(chan struct{}, 1)
		f.start(t.Context())
		defer f.stop()
		claim := dispatch.Claim{Account: account, Total: ample, Tokens: tokens}
		f.alone.Store(true) // Each router takes a grant of its own.
		for _, r := range f.routers {
			h, _ := r.ledger.Load().Reserve(t.Context(), claim)
			is.True(h != nil)
			h.Settle(tokens)
		}
		f.alone.Store(false)
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
				h, _ := ledger.Reserve(t.Context(), claim)
				switch {
				case h != nil:
					time.Sleep(300 * time.Millisecond)
					h.Settle(tokens)
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

// Guards against a router that most callers of an account come to and that has to ask others for each of their requests: on
// a full link or in a cut, it would refuse them.
func TestBusyRouterHoldsItsOwnGrant(t *testing.T) {
	const (
		routers = 75
		tokens  = 8000
		ample   = inventory.Tokens(60_000_000)
		pause   = 50 * time.Millisecond
	)
	inFleet(t, routers, ample, func(t *testing.T, is *is.I, f *fleet) {
		for i := range 10 { // Some are holders by their names.
			ledger := f.routers[i].ledger.Load()
			play := func(d time.Duration) (refused int) {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pause) {
					h, _ := ledger.Reserve(t.Context(), dispatch.Claim{Account: account, Total: ample, Tokens: tokens})
					if h == nil {
						refused++
						continue
					}
					h.Settle(tokens)
				}
				return refused
			}
			is.Equal(play(3*time.Second), 0)
			f.alone.Store(true)
			f.routers[i].cut.Store(true)
			is.Equal(play(time.Second), 0)
			f.alone.Store(false)
			f.routers[i].cut.Store(false)
		}
	})
}

// Guards against requests that are refused because they come before the first answer of the store, as after each start.
func TestFirstRequestWaitsForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, total)
		f.trip = 20 * time.Millisecond
		f.routers[0].start(t.Context())
		defer f.stop()
		h, _ := f.routers[0].ledger.Load().Reserve(t.Context(), dispatch.Claim{Account: account, Total: total, Tokens: 5000})
		is.True(h != nil)
	})
}

// Guards against tokens that stay reserved for a router that has given its question up before they were reserved.
func TestReservationThatCameTooLateIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, total)
		f.trip = 60 * time.Millisecond
		f.start(t.Context())
		defer f.stop()
		ledger := f.routers[0].ledger.Load()
		lent := make(chan bool)
		go func() { lent <- ledger.Lend(t.Context(), "other/1", account, int64(total)) }()
		time.Sleep(50 * time.Millisecond)
		ledger.Repay("other/1", 0)
		is.True(!<-lent)
		h, _ := ledger.Reserve(t.Context(), dispatch.Claim{Account: account, Total: total, Tokens: total})
		is.True(h != nil)
	})
}

// Guards against requests of a used-up account that are told that the budget is unknown, or that wait for the answer,
// because the routers of a large fleet keep each other from the account's row.
func TestLargeFleetKnowsThatABudgetIsUsedUp(t *testing.T) {
	const (
		routers = 75
		tokens  = 8000
		small   = inventory.Tokens(100_000)
		pause   = 10 * time.Millisecond
		soon    = 500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(routers, small)
		f.trip = 20 * time.Millisecond
		f.start(t.Context())
		defer f.stop()
		random := rand.New(rand.NewPCG(1, 1))
		var granted, unknown, late atomic.Int64
		var all sync.WaitGroup
		for range 500 {
			ledger := f.routers[random.IntN(routers)].ledger.Load()
			all.Go(func() {
				sent := time.Now()
				h, refusal := ledger.Reserve(t.Context(), dispatch.Claim{Account: account, Total: small, Tokens: tokens})
				switch {
				case h != nil:
					h.Settle(tokens)
					granted.Add(1)
				case refusal.Reason != dispatch.NoBudget:
					unknown.Add(1)
				}
				if time.Since(sent) > soon {
					late.Add(1)
				}
			})
			time.Sleep(pause)
		}
		all.Wait()
		t.Logf("%d granted, %d unknown, %d late, %d writes", granted.Load(), unknown.Load(), late.Load(), f.writes.Load())
		is.Equal(unknown.Load(), int64(0))
		is.Equal(late.Load(), int64(0))
		is.True(granted.Load() >= int64(small)*9/10/tokens)
	})
}
