package prepaid_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"citronslip/internal/dispatch"
	"citronslip/internal/prepaid"
	"citronslip/internal/store"
	"citronslip/pkg/inventory"
)

// accounts are the accounts of a fleet with several budgets.
var accounts = []string{account, "orchards", "terraces", "vineyards"}

// Guards against tokens that nobody can use after all routers were killed soon after an outage, while the store loses the
// calls for some rows: at most 3 % of a budget may be charged beyond what was spent, whichever of the rows are lost.
func TestKilledRoutersStrandFewTokens(t *testing.T) {
	unavailable := map[string]func(store.Key) bool{
		"no-row":                     func(store.Key) bool { return false },
		"row-of-account":             func(k store.Key) bool { return k.Part == account },
		"heartbeats":                 func(k store.Key) bool { return k.Table == "alive" },
		"heartbeats-and-one-account": func(k store.Key) bool { return k.Table == "alive" || k.Part == account },
	}
	for name, isUnavailable := range unavailable {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s-seed-%d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleetOfAccounts(6)
					f.start(t.Context())
					defer f.stop()
					f.playKillAfterOutage(t, isUnavailable, rand.New(rand.NewPCG(seed, 3)))
				})
			})
		}
	}
}

// Guards against tokens that nobody can use after all routers were killed several times near the end of the budgets, each time
// with tokens opened ahead of demand: at most 3 % of a budget in all.
func TestRepeatedKillsStrandFewTokens(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetOfAccounts(6)
				f.start(t.Context())
				defer f.stop()
				random, spent := rand.New(rand.NewPCG(seed, 7)), make(map[string]int)
				f.spendFromAll(t, random, 31*time.Second, 5000, spent)
				for range 4 {
					for _, r := range f.routers {
						r.kill()
					}
					time.Sleep(500 * time.Millisecond)
					for _, r := range f.routers {
						r.start(t.Context())
					}
					f.spendFromAll(t, random, 4*time.Second, 3000, spent)
				}
				time.Sleep(4 * time.Second)
				f.closeAll(t, spent, int(total)*3/100)
			})
		})
	}
}

// Guards against a budget that is exceeded because the rows that bound a killed router's spending are not the latest ones:
// the store loses the calls for some rows while routers are killed and cut off from it.
func TestNeverOverspentWithUnavailableRows(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		kills := rapid.IntRange(0, 5).Draw(r, "kills")
		cuts := rapid.IntRange(0, 5).Draw(r, "cuts")
		outages := rapid.IntRange(0, 10).Draw(r, "outages")
		synctest.Test(t, func(t *testing.T) {
			f := newFleetOfAccounts(4)
			f.start(t.Context())
			defer f.stop()
			f.playUnavailableRows(t, rand.New(rand.NewPCG(seed, 4)), kills, cuts, outages)
		})
	})
}

// Guards against tokens that are spent twice, because a router that spent them during an outage is killed before it can write
// that, while other rows of it show that the store has answered since.
func TestUnrecordedSpendingIsCharged(t *testing.T) {
	for _, heartbeats := range []bool{true, false} {
		t.Run(fmt.Sprintf("heartbeats-%t", heartbeats), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleetOfAccounts(1)
				f.start(t.Context())
				defer f.stop()
				r := f.routers[0]
				f.spendFromAll(t, rand.New(rand.NewPCG(1, 5)), 100*time.Millisecond, 1, make(map[string]int))
				spent := r.spend(t, total, 100, 40*time.Millisecond)
				r.storeUnreachable.Store(true)
				spent += r.spend(t, total, 100, 60*time.Millisecond)
				grant := f.grantRow(t, r.name)
				is.True(spent > grant.Opened) // Spent without an answer of the store.
				isUnavailable := func(k store.Key) bool { return k.Part == account || k.Table == "alive" && !heartbeats }
				f.unavailable.Store(&isUnavailable)
				r.storeUnreachable.Store(false)
				time.Sleep(4 * time.Second)
				r.kill()
				f.unavailable.Store(nil)
				time.Sleep(700 * time.Millisecond)
				closed := r.startAndReadClosed(t)
				is.True(closed >= spent)
				is.True(closed < grant.Amount) // The silence was short.
			})
		})
	}
}

// Guards against tokens that are spent twice, because a router spent them during an outage and is killed after it has written
// its grant into a store that came back from an older copy, but before it has written what it spent.
func TestUnrecordedSpendingIsChargedAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleetOfAccounts(1)
		f.start(t.Context())
		defer f.stop()
		r := f.routers[0]
		spent := r.spend(t, total, 100, 40*time.Millisecond)
		time.Sleep(3 * time.Second)
		saved := f.store.Copy()
		r.storeUnreachable.Store(true)
		spent += r.spend(t, total, 100, 60*time.Millisecond)
		grant := f.grantRow(t, r.name)
		is.True(spent > grant.Opened) // Spent without an answer of the store.
		f.store.Restore(saved)
		isUnavailable := func(k store.Key) bool { return k.Part == account && f.grantRow(t, r.name).Era > grant.Era }
		f.unavailable.Store(&isUnavailable)
		r.storeUnreachable.Store(false)
		time.Sleep(4 * time.Second)
		is.True(f.grantRow(t, r.name).Era > grant.Era)
		r.kill()
		f.unavailable.Store(nil)
		time.Sleep(700 * time.Millisecond)
		t.Logf("%d spent", spent)
		is.True(r.startAndReadClosed(t) >= spent)
	})
}

// Guards against a router that takes the store to be away for as long as the rows are unavailable that it reads and writes
// at regular times, although the store answers for its grants again.
func TestStoreIsNoticedByGrantRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOfAccounts(1)
		f.start(t.Context())
		defer f.stop()
		r := f.routers[0]
		f.spendFromAll(t, rand.New(rand.NewPCG(1, 6)), time.Second, 1000, make(map[string]int))
		isUnavailable := func(k store.Key) bool { return k.Part == account || k.Part == "" }
		f.unavailable.Store(&isUnavailable)
		r.storeUnreachable.Store(true)
		time.Sleep(5 * time.Second)
		r.storeUnreachable.Store(false)
		time.Sleep(2500 * time.Millisecond) // The row of the unavailable account may be tried first.
		for range 100 {
			if age := r.ledger.Load().StoreAge(); age >= prepaid.AutonomyDelay {
				t.Fatalf("the store counts as away for %v\n%s", age, f.logs.String())
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// newFleetOfAccounts returns a fleet with a budget for each of several accounts.
func newFleetOfAccounts(routers int) *fleet {
	f := newFleet(routers, total)
	d := &inventory.Directory{Version: 1}
	for _, a := range accounts {
		d.Budgets = append(d.Budgets, inventory.Budget{Name: "prepaid", Account: a, Tokens: total})
	}
	d.Prepare()
	f.directory.Store(d)
	return f
}

// spendFromAll sends a request of each account to a random router every 100 ms, for a time. It adds the tokens that they
// spend, up to maxTokens each, to those spent by account.
func (f *fleet) spendFromAll(t *testing.T, random *rand.Rand, duration time.Duration, maxTokens int, spent map[string]int) {
	t.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, a := range accounts {
			tokens := inventory.Tokens(1 + random.IntN(maxTokens))
			l := f.routers[random.IntN(len(f.routers))].ledger.Load()
			if reservation, _ := l.Reserve(t.Context(), dispatch.ReservationRequest{Account: a, Total: total, Tokens: tokens}); reservation != nil {
				reservation.Settle(tokens)
				spent[a] += int(tokens)
			}
		}
	}
}

// closeAll ends the grants of all routers and checks that what is charged of each account covers the spent tokens and exceeds
// them by at most maxStranded.
func (f *fleet) closeAll(t *testing.T, spent map[string]int, maxStranded int) {
	t.Helper()
	for _, r := range f.routers {
		if err := r.ledger.Load().Close(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	for _, a := range accounts {
		sum := f.budgetRowOf(t, a)
		t.Logf("%s: %d spent, %d charged", a, spent[a], sum.Closed)
		if sum.Granted != 0 || sum.Closed < spent[a] || sum.Closed-spent[a] > maxStranded {
			t.Errorf("%s: %d spent, %d charged, %d granted", a, spent[a], sum.Closed, sum.Granted)
		}
	}
}

// playKillAfterOutage spends most of the budgets, first with the store, then with half of the routers cut off from it for
// eight seconds, then for three seconds without the unavailable rows. It kills and restarts all routers and checks how many
// tokens are charged.
func (f *fleet) playKillAfterOutage(t *testing.T, isUnavailable func(store.Key) bool, random *rand.Rand) {
	t.Helper()
	spent := make(map[string]int)
	f.spendFromAll(t, random, 20*time.Second, 6000, spent)
	f.connect(f.routers[:len(f.routers)/2]...)
	f.spendFromAll(t, random, 8*time.Second, 2000, spent)
	f.unavailable.Store(&isUnavailable)
	f.connect(f.routers...)
	f.spendFromAll(t, random, 3*time.Second, 2000, spent)
	for _, r := range f.routers {
		r.kill()
	}
	f.unavailable.Store(nil)
	time.Sleep(1600 * time.Millisecond) // Longer than AutonomyDelay, as most restarts of a host.
	for _, r := range f.routers {
		r.start(t.Context())
	}
	time.Sleep(4 * time.Second)
	f.closeAll(t, spent, int(total)*3/100)
}

// playUnavailableRows plays random faults, whose probabilities are in percent of each step of 100 ms, and checks that the
// budgets are not exceeded.
func (f *fleet) playUnavailableRows(t *testing.T, random *rand.Rand, kills, cuts, outages int) {
	t.Helper()
	spent := make(map[string]int)
	for range 200 {
		if random.IntN(100) < kills {
			for _, r := range f.routers[random.IntN(len(f.routers)):] {
				r.kill()
				time.Sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
				r.start(t.Context())
			}
		}
		if random.IntN(100) < cuts {
			f.routers[random.IntN(len(f.routers))].storeUnreachable.Store(random.IntN(2) == 0)
		}
		if random.IntN(100) < outages {
			heartbeats, part := random.IntN(2) == 0, append(accounts, "")[random.IntN(len(accounts)+1)]
			isUnavailable := func(k store.Key) bool { return heartbeats && k.Table == "alive" || k.Part == part && part != "" }
			f.unavailable.Store(&isUnavailable)
		}
		f.spendFromAll(t, random, 100*time.Millisecond, 12_000, spent)
	}
	f.unavailable.Store(nil)
	f.connect(f.routers...)
	for _, r := range f.routers {
		r.kill()
		r.start(t.Context())
	}
	time.Sleep(6 * time.Second)
	// A request makes a router read the grant that its previous process left.
	f.peersUnreachable.Store(true)
	for _, r := range f.routers {
		for _, a := range accounts {
			if reservation, _ := r.ledger.Load().Reserve(t.Context(), dispatch.ReservationRequest{Account: a, Total: total, Tokens: 1}); reservation != nil {
				reservation.Settle(0)
			}
		}
	}
	for _, a := range accounts {
		if spent[a] > int(total) {
			t.Fatalf("%s: %d spent of %d", a, spent[a], total)
		}
	}
	f.closeAll(t, spent, int(total))
}
