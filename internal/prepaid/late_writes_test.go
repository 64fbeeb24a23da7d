package prepaid_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"citronslip/internal/store"
	"citronslip/pkg/inventory"
)

const (
	// lostShare is the share of the writes whose answers are lost in a window of lossTime. Each is applied minLate to maxLate later if
	// its conditions hold then.
	lostShare = 0.35
	lossTime  = 4500 * time.Millisecond
	minLate   = time.Second
	maxLate   = 6 * time.Second
	// lateSeeds is the number of series that are played.
	lateSeeds = 60
	// lateRounds is the number of times that the budget is raised and used up, by roundTokens each.
	lateRounds  = 4
	roundTokens = 24_000
)

// Guards against tokens that are spent twice because a router no longer reckons with a write whose answer was lost, whichever
// writes are lost, and whether routers borrow, are killed or stopped meanwhile.
func TestLateWritesDoNotExceedBudget(t *testing.T) {
	for seed := range uint64(lateSeeds) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playLateWrites(t, rand.New(rand.NewPCG(seed, 47))) })
		})
	}
}

// playLateWrites raises a budget several times. In each round one router reserves most of it and uses little, so that it returns
// tokens while answers are lost. Then it uses what it may, and another router uses what it can get.
func playLateWrites(t *testing.T, random *rand.Rand) {
	f := newFleet(2+random.IntN(2), roundTokens)
	f.peersUnreachable.Store(random.IntN(2) == 0)
	f.start(t.Context())
	defer f.stop()
	kills := random.IntN(3) == 0
	spent, total := inventory.Tokens(0), inventory.Tokens(roundTokens)
	use := func(r *router, reserved, used inventory.Tokens) {
		if ok, _ := r.use(t, total, reserved, used); ok {
			spent += used
		}
		if spent > total {
			t.Fatalf("%d of %d spent\n%s", spent, total, f.logs.String())
		}
	}
	for round := range lateRounds {
		if round > 0 {
			total += roundTokens
			f.directory.Store(directory(int64(round+1), total))
			time.Sleep(2500 * time.Millisecond)
		}
		first, second := f.routers[0], f.routers[1]
		if random.IntN(2) == 0 {
			f.loseAnswers(random.Uint64())
		}
		use(first, inventory.Tokens(16_000+random.IntN(7_000)), inventory.Tokens(100+random.IntN(500)))
		f.loseAnswers(random.Uint64())
		time.AfterFunc(lossTime, func() { f.lateBy.Store(nil) })
		for range 1 + random.IntN(4) {
			time.Sleep(time.Duration(200+random.IntN(1300)) * time.Millisecond)
			most := inventory.Tokens(2_000 + random.IntN(17_000))
			use(first, most, most)
		}
		if kills {
			first.kill()
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
			first.start(t.Context())
		}
		time.Sleep(maxLate)
		for _, most := range []inventory.Tokens{18_000, 9_000, 4_000, 1_000} {
			use(second, most, most)
		}
	}
}

// loseAnswers makes the store lose the answers to some of the writes.
func (f *fleet) loseAnswers(seed uint64) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	lateBy := func(store.Write) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if random.Float64() >= lostShare {
			return 0
		}
		return minLate + time.Duration(random.Int64N(int64(maxLate-minLate)))
	}
	f.lateBy.Store(&lateBy)
}
