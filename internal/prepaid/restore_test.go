package prepaid_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"citronslip/internal/dispatch"
	"citronslip/internal/store"
	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

const (
	// restoreDowntime is how long the store is away before it comes back from a copy.
	restoreDowntime = 2 * time.Second
	// quietTime is the time without faults in which all routers have written what a copy lacks.
	quietTime = 8 * time.Second
)

type (
	// restoreFaults are the faults beside the restored store, as probabilities in percent of each step of 100 ms.
	restoreFaults struct {
		restores int
		kills    int
		cuts     int
	}
)

// spendRandomly sends requests of random sizes to random routers for a time, one in each step of 100 ms, and returns the
// tokens that they spent.
func (f *fleet) spendRandomly(t *testing.T, random *rand.Rand, budget inventory.Tokens, duration time.Duration) (spent inventory.Tokens) {
	t.Helper()
	for range int(duration / (100 * time.Millisecond)) {
		tokens := inventory.Tokens(1 + random.IntN(2*request))
		l := f.routers[random.IntN(len(f.routers))].ledger.Load()
		if reservation, _ := l.Reserve(t.Context(), dispatch.ReservationRequest{Account: account, Total: budget, Tokens: tokens}); reservation != nil {
			reservation.Settle(tokens)
			spent += tokens
		}
		time.Sleep(100 * time.Millisecond)
	}
	return spent
}

// restore makes the store come back from a copy after restoreDowntime.
func (f *fleet) restore(c store.Copy) {
	f.refusesCalls.Store(true)
	fmt.Fprintln(&f.logs, time.Now().Format(logTime), "store is away")
	time.Sleep(restoreDowntime)
	f.store.Restore(c)
	fmt.Fprintln(&f.logs, time.Now().Format(logTime), "store is restored")
	f.refusesCalls.Store(false)
}

// Guards against a budget that is exceeded, or whose rest is lost, after the store came back without its latest grants.
func TestBudgetHoldsAfterStoreIsRestored(t *testing.T) {
	for _, routers := range []int{1, 6, 12, 60} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%d-routers-seed-%d", routers, seed), func(t *testing.T) {
				withFleet(t, routers, total, func(t *testing.T, is *is.I, f *fleet) {
					random := rand.New(rand.NewPCG(seed, uint64(routers)))
					spent := f.spendRandomly(t, random, total, time.Duration(1+seed)*time.Second)
					saved := f.store.Copy()
					spent += f.spendRandomly(t, random, total, 9*time.Second)
					f.restore(saved)
					for range 8 {
						spent += f.spendRandomly(t, random, total, 5*time.Second)
					}
					t.Logf("%d of %d spent", spent, total)
					is.True(spent <= total)
					is.True(spent*100 >= total*95)
				})
			})
		}
	}
}

// Guards against tokens that are granted twice, because the store forgot the growth of a grant whose holder is killed before
// it can tell, and which no other router had read.
func TestGrowthOfKilledRouterIsCounted(t *testing.T) {
	withFleet(t, 3, total, func(t *testing.T, is *is.I, f *fleet) {
		spent := 0
		for _, r := range f.routers {
			spent += r.spend(t, total, 5, 100*time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		saved := f.store.Copy()
		killed := f.routers[0]
		amountBefore := f.grantRow(t, killed.name).Amount
		killedSpent := killed.spend(t, total, 100, time.Millisecond)
		is.True(killedSpent > amountBefore)
		spent += killedSpent
		f.refusesCalls.Store(true)
		killed.kill()
		f.restore(saved)
		for range 200 {
			spent += f.routers[1].spend(t, total, 1, 50*time.Millisecond)
			spent += f.routers[2].spend(t, total, 1, 50*time.Millisecond)
		}
		t.Logf("%d of %d spent", spent, total)
		is.True(spent <= int(total))
	})
}

// Guards against a write that was planned before a restore and is carried out after it, as its conditions hold by chance: it
// has the number of a write that the store has forgotten, which is then not counted.
func TestNoWriteIsPlannedBeforeAndDoneAfterRestore(t *testing.T) {
	withFleet(t, 2, total, func(t *testing.T, is *is.I, f *fleet) {
		grower, unaware := f.routers[0], f.routers[1]
		reserve := func(r *router, tokens int) dispatch.Reservation {
			reservation, _ := r.ledger.Load().Reserve(t.Context(),
				dispatch.ReservationRequest{Account: account, Total: total, Tokens: inventory.Tokens(tokens)})
			return reservation
		}
		f.peersUnreachable.Store(true)
		grower.spend(t, total, 10, 100*time.Millisecond)
		unaware.spend(t, total, 10, 100*time.Millisecond)
		time.Sleep(2200 * time.Millisecond) // No heartbeat is due when the store comes back.
		saved := f.store.Copy()
		f.connect(grower)
		is.True(reserve(grower, f.grantRow(t, grower.name).Amount) != nil)
		f.refusesCalls.Store(true)
		time.Sleep(900 * time.Millisecond)
		f.connect(f.routers...)
		f.store.Restore(saved)
		f.refusesCalls.Store(false)
		_ = reserve(unaware, f.grantRow(t, unaware.name).Amount-45_000) // 5000 more than is left of its grant.
		f.checkGrantsAreCounted(t)
	})
}

// Guards against a budget that is exceeded when the store comes back from older copies, once or more often, while routers
// are killed and cut off from it.
func TestNeverOverspentWhileStoreIsRestored(t *testing.T) {
	for _, faults := range []restoreFaults{{restores: 2}, {restores: 2, kills: 2}, {restores: 2, kills: 2, cuts: 4}} {
		for seed := range uint64(40) {
			t.Run(fmt.Sprintf("%+v-seed-%d", faults, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { f := newFleet(6, total); f.playRestores(t, seed, faults) })
			})
		}
	}
}

// Guards against a budget that is exceeded when the store comes back from older copies many times, also right after each
// other, while all routers run and reach it.
func TestNeverOverspentByRunningRoutersAfterRestores(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		faults := restoreFaults{restores: rapid.IntRange(1, 20).Draw(r, "restores")}
		routers := rapid.SampledFrom([]int{3, 6, 12}).Draw(r, "routers") // Only the largest fleet has borrowers.
		synctest.Test(t, func(t *testing.T) { f := newFleet(routers, total); f.playRestores(t, seed, faults) })
	})
}

// Guards against the same while routers are also killed and cut off from the store.
func TestNeverOverspentByKilledRoutersAfterRestores(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		faults := restoreFaults{
			restores: rapid.IntRange(1, 4).Draw(r, "restores"),
			kills:    rapid.IntRange(0, 3).Draw(r, "kills"),
			cuts:     rapid.IntRange(0, 4).Draw(r, "cuts"),
		}
		synctest.Test(t, func(t *testing.T) { f := newFleet(6, total); f.playRestores(t, seed, faults) })
	})
}

// playRestores plays random faults on a new fleet and checks that the budget is not exceeded.
func (f *fleet) playRestores(t *testing.T, seed uint64, faults restoreFaults) {
	t.Helper()
	f.start(t.Context())
	defer f.stop()
	defer func() {
		if t.Failed() {
			t.Log(f.logs.String())
		}
	}()
	random := rand.New(rand.NewPCG(seed, 2))
	var copies []store.Copy // One for each second.
	spent := inventory.Tokens(0)
	for step := range 400 {
		if step%10 == 0 {
			copies = append(copies, f.store.Copy())
		}
		if random.IntN(100) < faults.restores {
			age := min(1+random.IntN(10), len(copies)) // In seconds.
			f.restore(copies[len(copies)-age])
		}
		if random.IntN(100) < faults.kills {
			r := f.routers[random.IntN(len(f.routers))]
			r.kill()
			time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
			r.start(t.Context())
		}
		if random.IntN(100) < faults.cuts {
			f.routers[random.IntN(len(f.routers))].storeUnreachable.Store(random.IntN(2) == 0)
		}
		spent += f.spendRandomly(t, random, total, 100*time.Millisecond)
		if spent > total {
			t.Fatalf("%d spent of %d in step %d", spent, total, step)
		}
	}
	t.Logf("%d of %d spent", spent, total)
	f.connect(f.routers...)
	if sum := f.checkGrantsAreCounted(t); sum.Closed+sum.Granted < int(spent) {
		t.Fatalf("%d tokens spent, the budget row counts %d", spent, sum.Closed+sum.Granted)
	}
}

// connect lets only the given routers reach the store.
func (f *fleet) connect(routers ...*router) {
	for _, r := range f.routers {
		r.storeUnreachable.Store(!slices.Contains(routers, r))
	}
}

// checkGrantsAreCounted waits until the routers have written what a copy lacks and checks that the budget row, which it
// returns, counts the grants of all routers.
func (f *fleet) checkGrantsAreCounted(t *testing.T) wire.PrepaidSum {
	t.Helper()
	time.Sleep(quietTime)
	sum, granted := f.budgetRow(t), 0
	for _, r := range f.routers {
		if grant := f.grantRow(t, r.name); grant.Holder == r.instance() {
			granted += grant.Amount
		}
	}
	if granted > sum.Granted {
		t.Fatalf("the routers hold %d tokens, the budget row counts %d", granted, sum.Granted)
	}
	return sum
}

// Guards against returned tokens that are subtracted twice from a budget row, because a router tells of them as a change of
// one era and another as a change of the next.
func TestReturnedTokensAreCountedOnce(t *testing.T) {
	withFleet(t, 3, total, func(t *testing.T, is *is.I, f *fleet) {
		for _, r := range f.routers {
			r.spend(t, total, 20, 100*time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		holder, uninformed, late := f.routers[0], f.routers[1], f.routers[2]
		beforeReturn := f.store.Copy()
		amountBefore := f.grantRow(t, holder.name).Amount
		f.connect(holder, late)
		is.True(!holder.ledger.Load().ReserveForPeer(t.Context(), "other/1", account, int64(total))) // Returns unused tokens.
		time.Sleep(100 * time.Millisecond)
		is.True(f.grantRow(t, holder.name).Amount < amountBefore)
		time.Sleep(2 * time.Second) // The other connected router reads the budget row.

		f.connect(uninformed)
		f.restore(beforeReturn)
		time.Sleep(time.Second)
		afterFirst := f.store.Copy()
		f.connect(holder)
		time.Sleep(time.Second)

		f.connect(uninformed)
		f.restore(afterFirst)
		time.Sleep(time.Second)
		f.connect(uninformed, late)
		time.Sleep(time.Second)
		f.connect(f.routers...)
		f.checkGrantsAreCounted(t)
	})
}
