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
	const (
		routers    = 75
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
