package prepaid_test

import (
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/dispatch"
	"citronslip/internal/store"
	"citronslip/pkg/inventory"
)

// spendAll spends from the router until it refuses three requests in a row, and returns the tokens that it spent.
func (r *router) spendAll(t *testing.T) (spent int) {
	t.Helper()
	for refused := 0; refused < 3; {
		n := r.spend(t, total, 1, 10*time.Millisecond)
		spent += n
		refused++
		if n > 0 {
			refused = 0
		}
	}
	return spent
}

// Guards against refusals in an outage of the store that begins shortly after a grant has grown: the grants of a scarce
// budget grow every second, and their new parts stayed unused until the store was back.
func TestGrowthThatOthersKnowIsSpentInOutage(t *testing.T) {
	for _, known := range []bool{true, false} {
		withFleet(t, 6, total, func(t *testing.T, is *is.I, f *fleet) {
			r := f.routers[0]
			f.roundTrip = 5 * time.Millisecond
			f.peersUnreachable.Store(!known)
			for before := f.grantRow(t, r.name).Amount; f.grantRow(t, r.name).Amount == before; {
				is.True(r.spend(t, total, 1, 20*time.Millisecond) > 0)
			}
			grown := f.grantRow(t, r.name)
			time.Sleep(50 * time.Millisecond)
			f.losesCalls.Store(true)
			time.Sleep(9 * time.Second) // Until the whole grant may be spent.
			spent := r.spendAll(t)
			t.Logf("known %t: %d spent of a grant of %d, %d opened", known, spent, grown.Amount, grown.Opened)
			is.Equal(spent > grown.Opened, known)
			f.losesCalls.Store(false)
		})
	}
}

// Guards against tokens that are stranded at a router without demand: it tried to return them once a second, and the
// routers that hold the grants of a busy account wrote the budget row in between each time.
func TestSurplusIsReturnedToBusyAccount(t *testing.T) {
	const (
		surplus     = 600_000
		returnTime  = 4 * time.Second
		writesPause = 12 * time.Millisecond
	)
	withFleet(t, 12, total, func(t *testing.T, is *is.I, f *fleet) {
		f.roundTrip = 4 * time.Millisecond
		r := f.routers[0]
		reservation := r.reserve(t, surplus)
		is.True(reservation != nil)
		var done atomic.Bool
		defer done.Store(true)
		random := rand.New(rand.NewPCG(1, 1))
		go func() {
			for !done.Load() {
				f.touchBudgetRow(t)
				time.Sleep(time.Duration(1+random.Int64N(2)) * writesPause / 2)
			}
		}()
		time.Sleep(2 * time.Second)
		reservation.Settle(0)
		time.Sleep(returnTime)
		t.Logf("%d of %d tokens are left at the router", f.grantRow(t, r.name).Amount, surplus)
		is.True(f.grantRow(t, r.name).Amount < surplus/2)
	})
}

// reserve reserves tokens at the router.
func (r *router) reserve(t *testing.T, tokens inventory.Tokens) dispatch.Reservation {
	t.Helper()
	reservation, _ := r.ledger.Load().Reserve(t.Context(), dispatch.ReservationRequest{Account: account, Total: total, Tokens: tokens})
	return reservation
}

// touchBudgetRow writes the account's budget row without a change, as another router that resizes its grant does.
func (f *fleet) touchBudgetRow(t *testing.T) {
	t.Helper()
	key := store.Key{Table: "budget", Part: account, Name: "sum"}
	result, err := f.store.Row(t.Context(), key)
	if err != nil || len(result.Rows) == 0 {
		return
	}
	row := result.Rows[0]
	_, _ = f.store.Write(t.Context(), store.Write{
		Expect: []store.Condition{{Key: key, Version: row.Version}}, Puts: []store.Put{{Key: key, Value: row.Value}},
	})
}

// Guards against a writer that calls the store again and again without a pause: the answers to its writes name an older era than
// those to heartbeats, so that none of them counts.
func TestWriterWaitsAfterAnswersOfOldEra(t *testing.T) {
	const seconds, maxWritesPerSecond = 5, 30
	withFleet(t, 1, total, func(t *testing.T, is *is.I, f *fleet) {
		r := f.routers[0]
		f.roundTrip = time.Millisecond
		is.True(r.spend(t, total, 1, 0) > 0)
		f.namesOldEra.Store(true)
		go func() { _, _ = r.use(t, total, total/2, 0) }() // More than is granted, so that the rows are written.
		time.Sleep(time.Second)
		before := f.writes.Load()
		time.Sleep(seconds * time.Second)
		writes := f.writes.Load() - before
		f.namesOldEra.Store(false)
		t.Logf("%d writes in %d s", writes, seconds)
		is.True(writes <= seconds*maxWritesPerSecond)
	})
}
