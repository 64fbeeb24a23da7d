package prepaid

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/delay"
	"citronslip/internal/dispatch"
	"citronslip/internal/event"
	"citronslip/internal/store"
	"citronslip/pkg/inventory"
)

const (
	// maxPeersAsked is the maximum number of other routers that one request asks for tokens.
	maxPeersAsked = 6
	// storeWaitTimeout is how long a request waits for the store before it asks other routers.
	storeWaitTimeout = 250 * time.Millisecond
	// recallInterval is the time that other routers get to return unused tokens to the store before a request asks the
	// store again, maxRecallRetries the maximum number of such repeats.
	recallInterval   = 25 * time.Millisecond
	maxRecallRetries = 2
	// minRetryAfter and maxRetryAfter bound the retry delay that a caller is told while the store is unreachable.
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Second
	// storeUnreachableAge is the age of the store's last answer above which the store counts as unreachable.
	storeUnreachableAge = 1200 * time.Millisecond
)

type (
	// Ledger holds a router's grants of all budgets and reserves tokens from them. Set the exported fields before Run.
	Ledger struct {
		Node     string      // Name of this router's host; the same for each of its processes.
		Instance string      // Name of this process, unique among all processes.
		Address  string      // Address for other routers, written to this router's heartbeat row.
		Seeds    []string    // Addresses of other routers, used until the membership view has been read.
		Store    store.Store // Store of the budget, grant, heartbeat and membership rows.
		Peers    PeerClient  // Client to reserve tokens at other routers; nil if there is none.
		Started  time.Time   // Start of this process.
		Now      func() time.Time
		Logger   *zerolog.Logger
		Metrics  tally.Scope // Optional.
		// Directory returns the configuration in force, or nil before the first one.
		Directory func() *inventory.Directory

		mu          sync.Mutex
		accounts    map[string]*account
		storeStatus storeStatus
		membership  membership
		peerState   peerState
		relay       relayState
		backoff     writeBackoff

		loggedAutonomous bool // Whether this router was autonomous, as last logged.
		stopped          bool // Whether Close was called.
	}

	// account is this router's state of one budget.
	account struct {
		name          string
		total         inventory.Tokens
		totalVersion  int64 // Configuration version of the total.
		budget        budgetState
		told          budgetState       // Changes in budget rows of which other routers have told; its sums do not count.
		grant         grantState        // Row of this router's grant.
		loaded        bool              // Whether the budget row and the grant row were read.
		era           int64             // Era of the store whose rows budget and grant are.
		restored      *accountRows      // Rows in a later era, with which budget and grant are to be reconciled; nil before they were read.
		grownAt       time.Time         // When the grant last grew after it had not for maturityTime.
		matureAmount  int64             // Amount of the grant before that.
		knownAmount   int64             // Amount of the grant of which enough other routers have acknowledged that they know.
		notice        *growthNotice     // Growth that other routers have yet to acknowledge; nil if there is none.
		inherited     bool              // Whether an earlier process of this router may have left a grant.
		spent         int64             // Tokens that were settled by this instance.
		reserved      int64             // Tokens that are reserved by requests in progress.
		unanswered    *unansweredShrink // Unanswered writes that shrink the grant, which limit spending; nil if none.
		grantDemand   rateMeter         // Demand on this router's grant, by its own callers and other routers.
		callerDemand  rateMeter         // Demand by this router's own callers only.
		ranking       *ranking
		waiters       []*waiter // In the order of arrival.
		writerRunning bool      // Whether the account's writer goroutine runs.
		budgetReadAt  time.Time // When the budget row was last read or written.
		stale         bool      // Whether the rows must be read again before the next write.
		exhaustedAt   time.Time // When the store last confirmed that no tokens are available.
		resizedAt     time.Time // When mayResize last returned true.
		shortAt       time.Time // When a request last found no tokens available.
		elsewhereAt   time.Time // When the grant rows of all routers were last read.
		unopened      int64     // Tokens of the budget that no grant row showed as opened then.
		idleRetryAt   time.Time // Earliest time of a write that no request waits for.
		openAbove     int64     // Used tokens from which on more of the grant is to be opened.
		openEarlyAt   time.Time // Earliest time of a write that opens more before the next check of the grant.
		provedAt      time.Time // When the grant row, with its proof, was last written; zero if a write has failed since.
		proofTriedAt  time.Time // When the grant row was last chosen to be written for its proof.
		proofDue      bool      // Whether the grant row is to be written for its proof, at once.
	}

	// waiter is a request that waits for a write of the grant.
	waiter struct {
		tokens int64
		result chan bool // Gets true if the tokens were reserved, false if the budget does not cover them.
	}

	// localReservation is a reservation in this router's grant.
	localReservation struct {
		ledger  *Ledger
		account *account
		tokens  int64
	}
)

// count increments a counter.
func (l *Ledger) count(name string) {
	if l.Metrics != nil {
		l.Metrics.Counter(name).Inc(1)
	}
}

// Reserve reserves tokens in this router's grant, which may first be enlarged at the store, or at another router. If it
// cannot, the reservation is nil and the refusal has the reason: dispatch.NoBudget if the store confirms that the
// budget is exhausted, or else dispatch.BudgetUnreachable with a retry delay.
func (l *Ledger) Reserve(ctx context.Context, request dispatch.ReservationRequest) (dispatch.Reservation, dispatch.Refusal) {
	borrowFirst, lenderFailed := l.mustBorrow(request), false
	if borrowFirst {
		borrowed, outcome := l.borrow(ctx, request)
		if borrowed != nil {
			return borrowed, dispatch.Refusal{}
		}
		lenderFailed = outcome.failed
		if outcome.timedOut {
			l.logShortage(request, false)
			return nil, dispatch.Refusal{Reason: dispatch.BudgetUnreachable, After: l.retryAfter(request)}
		}
	}
	local, exhausted := l.reserveLocally(ctx, request)
	if local != nil {
		return local, dispatch.Refusal{}
	}
	if !borrowFirst {
		borrowed, outcome := l.borrow(ctx, request)
		if borrowed != nil {
			return borrowed, dispatch.Refusal{}
		}
		lenderFailed = outcome.failed
	}
	// The routers that could not lend return their unused tokens to the store, so ask it again.
	for attempt := 0; exhausted && attempt < maxRecallRetries && delay.Sleep(ctx, recallInterval); attempt++ {
		if local, exhausted = l.reserveLocally(ctx, request); local != nil {
			return local, dispatch.Refusal{}
		}
	}
	if exhausted && (lenderFailed || l.mayHaveLostRouters()) && l.isCoveredElsewhere(ctx, request) {
		exhausted = false
	}
	l.logShortage(request, exhausted)
	if exhausted {
		return nil, dispatch.Refusal{Reason: dispatch.NoBudget}
	}
	return nil, dispatch.Refusal{Reason: dispatch.BudgetUnreachable, After: l.retryAfter(request)}
}

// mustBorrow records the demand of a request and reports whether other routers hold the account's grants while this
// router's grant does not cover the request.
func (l *Ledger) mustBorrow(request dispatch.ReservationRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accountByName(request.Account)
	a.callerDemand.add(float64(request.Tokens), l.Now())
	return !l.isHolder(a) && a.used()+int64(request.Tokens) > l.spendLimit(a)
}

// retryAfter returns the retry delay for a request that was refused because the store did not answer: until this router
// may autonomously spend enough of its grant, if the grant covers the request, or else until the store may be back. An
// outage is expected to last as long again as it already has.
func (l *Ledger) retryAfter(request dispatch.ReservationRequest) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, silence := l.accountByName(request.Account), l.storeStatus.age(l.Now())
	switch {
	case silence < storeWaitTimeout && l.Now().Sub(a.elsewhereAt) < l.membership.grantRowsTTL():
		return minRetryAfter // Routers that cannot be reached, or are gone, hold the tokens.
	case silence < storeWaitTimeout:
		return 0
	case a.used()+int64(request.Tokens) <= int64(a.grant.Amount):
		spendableAfter := SpendableAfter(int64(a.grant.Opened), int64(a.grant.Amount), a.used()+int64(request.Tokens))
		return max(spendableAfter-silence, 0) + recallInterval
	default:
		return min(max(silence, minRetryAfter), maxRetryAfter)
	}
}

// logShortage logs the state of an account for which a request got no tokens.
func (l *Ledger) logShortage(request dispatch.ReservationRequest, exhausted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accountByName(request.Account)
	logEvent := event.PrepaidUnavailable.Log(l.Logger).Str("request", event.ClipID(request.Request)).Str("account", request.Account).
		Int64("tokens", int64(request.Tokens)).
		Int64("total", int64(request.Total)).Int64("used", a.used()).Int("opened", a.grant.Opened).Int("amount", a.grant.Amount).
		Int64("free", a.budget.available()).Bool("exhausted", exhausted).Dur("store_age", l.storeStatus.age(l.Now()))
	if !a.budgetReadAt.IsZero() {
		logEvent.Dur("row_age", l.Now().Sub(a.budgetReadAt))
	}
	logEvent.Send()
}

// reserveLocally reserves tokens in this router's grant, which is enlarged at the store if needed. If the reservation
// is nil, exhausted reports whether the store confirmed that the budget does not cover it.
func (l *Ledger) reserveLocally(ctx context.Context, request dispatch.ReservationRequest) (reservation *localReservation, exhausted bool) {
	tokens := int64(request.Tokens)
	l.mu.Lock()
	a := l.accountByName(request.Account)
	l.applyTotal(a)
	a.grantDemand.add(float64(tokens), l.Now())
	if a.used()+tokens <= l.spendLimit(a) {
		a.reserved += tokens
		l.openEarly(a)
		l.mu.Unlock()
		return &localReservation{l, a, tokens}, false
	}
	w := &waiter{tokens: tokens, result: make(chan bool, 1)}
	a.waiters = append(a.waiters, w)
	l.startWriter(a)
	timeout := storeWaitTimeout
	if !l.storeStatus.answeredAt.IsZero() && l.storeStatus.age(l.Now()) > storeUnreachableAge {
		// The store is unreachable; other routers may lend. A router without any answer yet has just started and waits.
		timeout = 0
	}
	l.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case granted := <-w.result:
		if granted {
			return &localReservation{l, a, tokens}, false
		}
		a.removeDemand(l, tokens)
		return nil, true
	case <-timer.C:
	case <-ctx.Done():
	}
	granted, wasWaiting := l.cancelWaiter(a, w)
	if granted {
		return &localReservation{l, a, tokens}, false
	}
	a.removeDemand(l, tokens)
	return nil, !wasWaiting
}

// removeDemand subtracts the tokens of a request that was not granted from the demand.
func (a *account) removeDemand(l *Ledger, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.grantDemand.add(-float64(tokens), l.Now())
}

// Settle ends the reservation and counts the used tokens as spent.
func (r *localReservation) Settle(used inventory.Tokens) {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	r.account.reserved -= r.tokens
	r.account.spent += int64(used)
	r.account.grantDemand.add(float64(int64(used)-r.tokens), r.ledger.Now())
}

// cancelWaiter removes a waiting request. It returns whether the request was granted in the meantime, and whether it
// was still waiting.
func (l *Ledger) cancelWaiter(a *account, w *waiter) (granted, wasWaiting bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range a.waiters {
		if other == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			return false, true
		}
	}
	return <-w.result, false
}

// accountByName returns the state of an account, which it creates on first use. The caller holds the lock.
func (l *Ledger) accountByName(name string) *account {
	if l.accounts == nil {
		l.accounts = make(map[string]*account)
	}
	a := l.accounts[name]
	if a == nil {
		a = &account{name: name}
		l.accounts[name] = a
	}
	return a
}

// applyTotal sets an account's total to that of the configuration in force, which may be newer than the one with which a
// request began. An account that is no longer configured keeps its total. The caller holds the lock.
func (l *Ledger) applyTotal(a *account) {
	directory := l.Directory()
	if directory == nil || directory.Version <= a.totalVersion {
		return
	}
	if total, ok := directory.Budget(a.name); ok {
		a.totalVersion, a.total = directory.Version, total
	}
}

// used returns the tokens that this instance has spent or reserved.
func (a *account) used() int64 { return a.spent + a.reserved }

// available returns the tokens that are neither granted nor spent in ended grants, by the total in force, which the
// budget row may not have yet.
func (a *account) available() int64 {
	budget := a.budget
	budget.applyTotal(a.totalVersion, a.total)
	return budget.available()
}

// spendLimit returns how many tokens this router may have spent and reserved now: the opened part of its grant, and
// more of the grant the longer the store does not answer. It returns 0 if another instance holds the grant.
func (l *Ledger) spendLimit(a *account) int64 {
	if a.grant.Holder != l.Instance {
		return 0
	}
	opened, amount := int64(a.grant.Opened), l.autonomousAmount(a)
	if u := a.unanswered; u != nil {
		// If one of the writes was applied, a successor of this process charges what could be spent of the smaller grant.
		opened, amount = min(opened, u.opened), min(amount, u.opened)
	}
	if l.stopped {
		return opened
	}
	return Spendable(opened, amount, l.storeStatus.age(l.Now()))
}

// admitWaiters reserves tokens for the waiting requests in the order of their arrival, up to the first that does not
// fit.
func (l *Ledger) admitWaiters(a *account) {
	limit := l.spendLimit(a)
	for len(a.waiters) > 0 && a.used()+a.waiters[0].tokens <= limit {
		a.reserved += a.waiters[0].tokens
		a.waiters[0].result <- true
		a.waiters = a.waiters[1:]
	}
}

// refuseWaiters refuses the waiting requests that the budget does not cover. It admits smaller ones behind them that
// fit the grant, and keeps those that a larger grant would cover.
func (l *Ledger) refuseWaiters(a *account) {
	limit := l.spendLimit(a)
	var kept []*waiter
	for _, w := range a.waiters {
		if a.used()+w.tokens <= limit {
			a.reserved += w.tokens
			w.result <- true
			continue
		}
		if a.used()+w.tokens <= limit+a.available() {
			kept = append(kept, w)
			continue
		}
		w.result <- false
	}
	a.waiters = kept
}
