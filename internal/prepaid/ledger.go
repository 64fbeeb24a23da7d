package prepaid

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"citronslip/internal/delay"
	"citronslip/internal/dispatch"
	"citronslip/internal/event"
	"citronslip/internal/store"
	"citronslip/pkg/inventory"
)

const (
	// peerTries is the number of other routers that are asked for one request.
	peerTries = 6
	// storeWait is how long a request waits for the store before other routers are asked.
	storeWait = 250 * time.Millisecond
	// recallWait is the time in which other routers give back what they do not use, recallTries how often the store is
	// asked for it.
	recallWait  = 25 * time.Millisecond
	recallTries = 2
	// leastAfter and mostAfter bound the time told to a caller while the store is away.
	leastAfter = time.Second
	mostAfter  = 5 * time.Second
	// awayAge is the age of the store's last answer at which it is taken to be away.
	awayAge = 1200 * time.Millisecond
)

type (
	// Ledger is a router's view of all budgets. Set the fields before Run.
	Ledger struct {
		Node     string
		Instance string
		Address  string   // Address for other routers, told in the row of this router.
		Seeds    []string // Addresses of other routers until the store has told them.
		Store    store.Store
		Peers    Peers
		Started  time.Time
		Now      func() time.Time
		Logger   *zerolog.Logger
		// Directory returns the configuration version in force.
		Directory func() *inventory.Directory

		mu       sync.Mutex
		accounts map[string]*account
		contact  contact
		members  members
		remote   remoteHolds
		pause    pause

		autonomous bool // As last logged.
		stopped    bool
	}

	// account is this router's part of one budget.
	account struct {
		name      string
		total     inventory.Tokens
		version   int64 // Configuration version of the total.
		sum       sumState
		own       grantState
		loaded    bool  // Whether the rows were read.
		inherited bool  // Whether the process before this one may have left a grant.
		spent     int64 // Settled by this instance.
		held      int64 // Reserved by requests in progress.
		cap       int64 // Bound by smaller grants whose writes were not answered; -1 if there is none.
		meter     meter // Reserved by the own grant, for own callers and other routers.
		asked     meter // Asked for by own callers.
		ranking   *ranking
		waiting   []*waiter
		writing   bool
		read      time.Time // When the account's row was last read or written.
		stale     bool      // Whether the rows are to be read before the next write.
		exact     time.Time // When the store last said that nothing is free.
		checked   time.Time // When the size was last looked at.
		scarce    time.Time // When a request last found nothing free.
		retry     time.Time // No write that no request waits for before.
	}

	// waiter is a request that waits for the store.
	waiter struct {
		tokens int64
		done   chan bool // True if the tokens were reserved, false if the budget does not cover them.
	}

	// hold is a reservation in this router's own grant.
	hold struct {
		ledger  *Ledger
		account *account
		tokens  int64
	}
)

// Reserve reserves tokens in the own grant, at the store or at another router.
func (l *Ledger) Reserve(ctx context.Context, c dispatch.Claim) (dispatch.Hold, dispatch.Refusal) {
	distant := l.distant(c)
	if distant {
		other, busy := l.borrow(ctx, c)
		if other != nil {
			return other, dispatch.Refusal{}
		}
		if busy {
			l.short(c, false)
			return nil, dispatch.Refusal{Reason: dispatch.BudgetUnknown, After: l.after(c)}
		}
	}
	own, exhausted := l.reserve(ctx, c)
	if own != nil {
		return own, dispatch.Refusal{}
	}
	if !distant {
		if other, _ := l.borrow(ctx, c); other != nil {
			return other, dispatch.Refusal{}
		}
	}
	// The routers that could not lend have given back what they do not use.
	for try := 0; exhausted && try < recallTries && delay.For(ctx, recallWait); try++ {
		if own, exhausted = l.reserve(ctx, c); own != nil {
			return own, dispatch.Refusal{}
		}
	}
	l.short(c, exhausted)
	if exhausted {
		return nil, dispatch.Refusal{Reason: dispatch.NoBudget}
	}
	return nil, dispatch.Refusal{Reason: dispatch.BudgetUnknown, After: l.after(c)}
}

// distant notes the request and reports whether other routers hold the account's grants and the own grant does not cover it.
func (l *Ledger) distant(c dispatch.Claim) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(c.Account)
	a.asked.add(float64(c.Tokens), l.Now())
	return !l.holds(a) && a.used()+int64(c.Tokens) > l.limit(a)
}

// after returns when a request that the store cannot be asked about may be granted: when this router may spend what it
// has not opened, if that covers it, or else when the store may be back. An outage is expected to last as long again.
func (l *Ledger) after(c dispatch.Claim) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, age := l.account(c.Account), l.contact.age(l.Now())
	switch {
	case age < storeWait:
		return 0
	case a.used()+int64(c.Tokens) <= int64(a.own.Amount):
		opens := Opens(int64(a.own.Opened), int64(a.own.Amount), a.used()+int64(c.Tokens))
		return max(opens-age, 0) + recallWait
	default:
		return min(max(age, leastAfter), mostAfter)
	}
}

// short logs why a request gets no tokens.
func (l *Ledger) short(c dispatch.Claim, exhausted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(c.Account)
	line := event.PrepaidShort.Log(l.Logger).Str("request", c.Request).Str("account", c.Account).Int64("tokens", int64(c.Tokens)).
		Int64("total", int64(c.Total)).Int64("used", a.used()).Int("opened", a.own.Opened).Int("amount", a.own.Amount).
		Int64("free", a.sum.free()).Bool("exhausted", exhausted).Dur("store_age", l.contact.age(l.Now()))
	if !a.read.IsZero() {
		line.Dur("row_age", l.Now().Sub(a.read))
	}
	line.Send()
}

// reserve reserves tokens in the own grant or at the store. Without a hold it returns whether the store says that
// nothing is free.
func (l *Ledger) reserve(ctx context.Context, c dispatch.Claim) (h *hold, exhausted bool) {
	n := int64(c.Tokens)
	l.mu.Lock()
	a := l.account(c.Account)
	l.declare(a, c.Total)
	a.meter.add(float64(n), l.Now())
	if a.used()+n <= l.limit(a) {
		a.held += n
		l.mu.Unlock()
		return &hold{l, a, n}, false
	}
	w := &waiter{tokens: n, done: make(chan bool, 1)}
	a.waiting = append(a.waiting, w)
	l.kick(a)
	patience := storeWait
	if !l.contact.heard.IsZero() && l.contact.age(l.Now()) > awayAge {
		patience = 0 // The store is away; other routers may help. A router that has just started waits for its first answer.
	}
	l.mu.Unlock()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case ok := <-w.done:
		if ok {
			return &hold{l, a, n}, false
		}
		a.meterBack(l, n)
		return nil, true
	case <-timer.C:
	case <-ctx.Done():
	}
	ok, waiting := l.abandon(a, w)
	if ok {
		return &hold{l, a, n}, false
	}
	a.meterBack(l, n)
	return nil, !waiting
}

// meterBack takes a request that was not granted out of the demand.
func (a *account) meterBack(l *Ledger, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.meter.add(-float64(tokens), l.Now())
}

// Settle replaces the reservation by what was used.
func (h *hold) Settle(used inventory.Tokens) {
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	h.account.held -= h.tokens
	h.account.spent += int64(used)
	h.account.meter.add(float64(int64(used)-h.tokens), h.ledger.Now())
}

// abandon takes a waiting request out. It returns whether the request was granted in the meantime, and whether it still
// waited.
func (l *Ledger) abandon(a *account, w *waiter) (ok, waiting bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range a.waiting {
		if other == w {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			return false, true
		}
	}
	return <-w.done, false
}

func (l *Ledger) account(name string) *account {
	if l.accounts == nil {
		l.accounts = make(map[string]*account)
	}
	a := l.accounts[name]
	if a == nil {
		a = &account{name: name, cap: -1}
		l.accounts[name] = a
	}
	return a
}

// declare takes the total of the configuration in force over.
func (l *Ledger) declare(a *account, total inventory.Tokens) {
	if d := l.Directory(); d != nil && d.Version > a.version {
		a.version = d.Version
		a.total = total
	}
}

func (a *account) used() int64 { return a.spent + a.held }

// free returns what can still be granted of the total in force, which the account's row may not have yet.
func (a *account) free() int64 {
	sum := a.sum
	sum.declare(a.version, a.total)
	return sum.free()
}

// limit returns what this router may have spent and reserved now: what it has opened, and the more of its grant the longer
// it is cut off from the store.
func (l *Ledger) limit(a *account) int64 {
	if a.own.Holder != l.Instance {
		return 0
	}
	limit := int64(a.own.Opened)
	if !l.stopped {
		limit = Spendable(int64(a.own.Opened), int64(a.own.Amount), l.contact.age(l.Now()))
	}
	if a.cap >= 0 {
		limit = min(limit, a.cap)
	}
	return limit
}

// grant reserves for the waiting requests what fits, in the order of their arrival.
func (l *Ledger) grant(a *account) {
	limit := l.limit(a)
	for len(a.waiting) > 0 && a.used()+a.waiting[0].tokens <= limit {
		a.held += a.waiting[0].tokens
		a.waiting[0].done <- true
		a.waiting = a.waiting[1:]
	}
}

// refuse tells the waiting requests that the budget does not cover them. Smaller ones behind them may fit.
func (l *Ledger) refuse(a *account) {
	limit := l.limit(a)
	var kept []*waiter
	for _, w := range a.waiting {
		if a.used()+w.tokens <= limit {
			a.held += w.tokens
			w.done <- true
			continue
		}
		if a.used()+w.tokens <= limit+a.free() {
			kept = append(kept, w)
			continue
		}
		w.done <- false
	}
	a.waiting = kept
}
