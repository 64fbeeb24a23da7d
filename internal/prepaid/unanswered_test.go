package prepaid_test

import (
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/dispatch"
	"citronslip/internal/store"
	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

const (
	// lateWriteTime is the time after which a write whose answer was lost is applied.
	lateWriteTime = 4 * time.Second
	// scarceTotal is a budget of which one large request reserves most.
	scarceTotal = inventory.Tokens(24_000)
)

// use reserves tokens at the router and settles them to those used. It reports whether they were reserved, and the refusal.
func (r *router) use(t *testing.T, budget, reserved, used inventory.Tokens) (bool, dispatch.Refusal) {
	t.Helper()
	reservation, refusal := r.ledger.Load().Reserve(t.Context(),
		dispatch.ReservationRequest{Account: account, Total: budget, Tokens: reserved})
	if reservation == nil {
		return false, refusal
	}
	reservation.Settle(used)
	return true, refusal
}

// loseShrink makes the store apply the next write that shrinks a router's grant late, and lose its answer. The returned
// counter counts such writes.
func (f *fleet) loseShrink(t *testing.T, r *router) *atomic.Int32 {
	t.Helper()
	var lost atomic.Int32
	lateBy := func(w store.Write) time.Duration {
		for _, p := range w.Puts {
			var next wire.PrepaidGrant
			if p.Table != "grant" || p.Name != r.name || json.Unmarshal(p.Value, &next) != nil {
				continue
			}
			if next.Amount < f.grantRow(t, r.name).Amount && lost.Add(1) == 1 {
				return lateWriteTime
			}
		}
		return 0
	}
	f.lateBy.Store(&lateBy)
	return &lost
}

// Guards against tokens that are spent twice: a write that returns them gets no answer, the rows are read again and show no
// change, the router spends the tokens, and then the write is applied.
func TestUnansweredReturnIsNotSettledByReread(t *testing.T) {
	withFleet(t, 2, scarceTotal, func(t *testing.T, is *is.I, f *fleet) {
		f.peersUnreachable.Store(true)
		lost := f.loseShrink(t, f.routers[0])
		spent := inventory.Tokens(0)
		for _, step := range []struct {
			router         int
			reserved, used inventory.Tokens
			pause          time.Duration
		}{
			{0, 20_000, 509, 1300 * time.Millisecond}, // The surplus is returned by a write that is lost.
			{0, 18_003, 18_003, lateWriteTime},        // The rows are read again before any answer of a heartbeat.
			{1, 18_003, 18_003, 0},
		} {
			if ok, _ := f.routers[step.router].use(t, scarceTotal, step.reserved, step.used); ok {
				spent += step.used
			}
			time.Sleep(step.pause)
		}
		t.Logf("%d of %d spent\n%s", spent, scarceTotal, f.logs.String())
		is.True(lost.Load() > 0)
		is.True(spent > 18_003) // The first router may use what the unanswered write has not returned yet.
		is.True(spent <= scarceTotal)
	})
}
