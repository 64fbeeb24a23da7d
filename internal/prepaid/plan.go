package prepaid

import (
	"time"

	"citronslip/internal/store"
)

const (
	// resizeInterval is the minimum time between two resizes of one grant that no request waits for.
	resizeInterval = time.Second
	// openThreshold is the fraction of the target GrantSize.Open: when fewer opened tokens than that are unused, more
	// are opened.
	openThreshold = 0.8
	// openInterval is the minimum time between two writes that open more of a grant before the next check of all grants.
	openInterval = 250 * time.Millisecond
	// growThreshold is the fraction of its target size, spent tokens excluded, below which a grant is enlarged.
	// shrinkFactor is the multiple of the target size above which it is made smaller.
	growThreshold = 0.6
	shrinkFactor  = 2
	// maxRefusalRowAge is the maximum age of a budget row for a refusal; an older one is read again first.
	maxRefusalRowAge = 150 * time.Millisecond
	// impossibleVersion is a version that no row has.
	impossibleVersion = int64(1) << 60
	// shortageWindow is how long the grant sizes of an account stay divided by shortageDivisor after a request found no
	// tokens available.
	shortageWindow  = 4 * time.Second
	shortageDivisor = 4
	// minReturnedSurplus is the size in tokens that a surplus must exceed to be returned while tokens are not short.
	minReturnedSurplus = 4000
)

type (
	// plannedRows is the content of the budget row and the grant row after a planned write.
	plannedRows struct {
		budget budgetState
		grant  grantState
		era    int64 // Era of the store in which the write was planned.
		// unansweredBefore and unanswered are the values of the account before and after the write was planned.
		unansweredBefore, unanswered *unansweredShrink
		resolves                     bool // Whether the write settles what became of an unanswered one before the current era.
	}
)

// returnsTokens reports whether the write makes the grant smaller. Such a write counts as unanswered from its planning on.
func (p *plannedRows) returnsTokens() bool { return p.unanswered != p.unansweredBefore }

// planWrite returns the next write for an account and the rows after it, and reports whether one is needed. The caller
// holds the lock.
func (l *Ledger) planWrite(a *account) (store.Write, plannedRows, bool) {
	if l.stopped {
		return store.Write{}, plannedRows{}, false
	}
	if a.era != l.storeStatus.era {
		return l.planReconcile(a)
	}
	if !a.loaded || a.stale {
		return l.planReread(a)
	}
	if l.isSettling(a) {
		return l.planWhileSettling(a)
	}
	if a.hasUnansweredBefore(a.era) {
		return l.planResolve(a)
	}
	if a.grant.Holder != l.Instance {
		switch {
		case a.grant.version == 0 && !l.coversFirstWaiter(a):
			return l.refuseOrReread(a) // An empty grant is not worth a write that competes with other routers.
		case a.grant.Amount == 0 && len(a.waiters) == 0:
			return store.Write{}, plannedRows{}, false // The old grant is empty: no tokens to return.
		}
		return l.planTakeover(a)
	}
	if a.unanswered != nil {
		return l.planSettle(a)
	}
	target := l.targetSize(a)
	waitingTokens := int64(0)
	for _, w := range a.waiters {
		waitingTokens += w.tokens
	}
	next := plannedRows{budget: a.budget, grant: a.grant}
	next.budget.applyTotal(a.totalVersion, a.total)
	a.openAbove = int64(a.grant.Opened) - int64(openThreshold*float64(target.Open))
	required := a.used() + waitingTokens
	opened := max(required+target.Open, int64(a.grant.Opened))
	amount := int64(a.grant.Amount)
	belowTarget := required+int64(growThreshold*float64(target.Open+target.Reserve)) > amount
	growth := MaxGrowth(next.budget.available()-max(0, required-amount), max(0, amount-required))
	surplus := amount - required - target.Open - target.Reserve
	switch {
	case required > int64(a.grant.Opened) && required <= amount:
		// Only this router's grant row changes, which no other router writes.
		next.grant.Opened = int(min(opened, amount))
		return l.planGrantWrite(a, next)
	case waitingTokens > 0 || belowTarget && growth > 0 && l.mayResize(a):
		grown := min(required+target.Open+target.Reserve, max(required, amount)+growth)
		amount = max(amount, min(grown, amount+next.budget.available()))
	case float64(amount-required) > shrinkFactor*float64(target.Open+target.Reserve) && l.shouldReturnSurplus(a, surplus):
		amount = required + target.Open + target.Reserve
		opened = min(opened, required+target.Open)
		l.lowerSpendCap(a, opened, amount)
	case a.used() > a.openAbove && a.grant.Opened < a.grant.Amount:
		next.grant.Opened = int(min(opened, amount))
		return l.planGrantWrite(a, next)
	case next.budget.Total != a.budget.Total && l.mayResize(a):
	case a.proofDue:
		return l.planGrantWrite(a, next)
	default:
		return store.Write{}, plannedRows{}, false
	}
	if waitingTokens > 0 && required > amount && !l.fitsFirstWaiter(a, amount) {
		return l.refuseOrReread(a)
	}
	next.grant.Amount = int(amount)
	next.grant.Opened = int(min(opened, amount))
	return l.planGrantAndBudgetWrite(a, next, 0, next.grant.Amount-a.grant.Amount)
}

// openEarly starts a write that opens more of the grant when few opened tokens are left. What is opened covers a short time
// only, most of which would pass until the next check of the grants. The caller holds the lock.
func (l *Ledger) openEarly(a *account) {
	now := l.Now()
	if a.used() <= a.openAbove || a.grant.Opened >= a.grant.Amount || now.Before(a.openEarlyAt) || now.Before(a.idleRetryAt) ||
		l.storeStatus.age(now) > storeUnreachableAge {
		return
	}
	a.openEarlyAt = now.Add(openInterval)
	l.startWriter(a)
}

// refuseOrReread refuses the waiting requests that the budget does not cover. If the budget row is older than
// maxRefusalRowAge, it reads the row again first.
func (l *Ledger) refuseOrReread(a *account) (store.Write, plannedRows, bool) {
	if l.Now().Sub(a.budgetReadAt) > maxRefusalRowAge {
		return l.planReread(a)
	}
	a.exhaustedAt, a.shortAt = l.Now(), l.Now()
	l.refuseWaiters(a)
	if len(a.waiters) > 0 {
		return l.planWrite(a)
	}
	return store.Write{}, plannedRows{}, false
}

// planReread returns a write whose conditions cannot hold, so that the store responds with the current rows.
func (l *Ledger) planReread(a *account) (store.Write, plannedRows, bool) {
	return store.Write{Expect: []store.Condition{
		{Key: budgetKey(a.name), Version: impossibleVersion},
		{Key: grantKey(a.name, l.Node), Version: impossibleVersion},
	}}, plannedRows{}, true
}

// coversFirstWaiter reports whether the available tokens of the budget cover the first waiting request. It returns true
// if none waits.
func (l *Ledger) coversFirstWaiter(a *account) bool {
	return len(a.waiters) == 0 || a.waiters[0].tokens <= a.available()
}

// fitsFirstWaiter reports whether a grant of the amount covers the first waiting request. It returns false if none
// waits.
func (l *Ledger) fitsFirstWaiter(a *account, amount int64) bool {
	return len(a.waiters) > 0 && a.used()+a.waiters[0].tokens <= amount
}

// shouldReturnSurplus reports whether the given number of tokens beyond the target size of a grant is to be returned
// now. While tokens are short, any surplus is. None is returned after a failed write: if that write stays unanswered and
// the store comes back from an older copy, the surplus counts neither as this router's nor as free.
func (l *Ledger) shouldReturnSurplus(a *account, tokens int64) bool {
	if l.backoff.interval > 0 {
		return false
	}
	if l.isShort(a) {
		return tokens > 0
	}
	return tokens > minReturnedSurplus && l.mayResize(a)
}

// mayResize reports whether resizeInterval has passed since it last returned true for the account.
func (l *Ledger) mayResize(a *account) bool {
	now := l.Now()
	if now.Sub(a.resizedAt) < resizeInterval {
		return false
	}
	a.resizedAt = now
	return true
}

// targetSize returns the size that an account's grant should have beyond spent and reserved tokens.
func (l *Ledger) targetSize(a *account) GrantSize {
	if !l.isHolder(a) {
		return GrantSize{}
	}
	size := GrantSizeInput{
		Demand:  a.grantDemand.rate(l.Now()),
		Rest:    a.budget.available() + int64(a.grant.Amount) - a.used(),
		Total:   int64(a.budget.Total),
		Routers: l.membership.holdersPerAccount(),
		Share:   float64(a.grant.Amount) / float64(max(a.budget.Granted, 1)),
	}.Size()
	if l.isShort(a) {
		size.Open /= shortageDivisor
		size.Reserve /= shortageDivisor
	}
	return size
}

// isShort reports whether a request found no tokens available within shortageWindow.
func (l *Ledger) isShort(a *account) bool {
	return !a.shortAt.IsZero() && l.Now().Sub(a.shortAt) < shortageWindow
}

// planTakeover returns the write that creates this instance's grant and ends that of an earlier process of this router.
// The earlier process is dead, since this one runs under the same node name.
func (l *Ledger) planTakeover(a *account) (store.Write, plannedRows, bool) {
	next := plannedRows{budget: a.budget, grant: grantState{version: a.grant.version}}
	next.grant.Holder = l.Instance
	next.budget.applyTotal(a.totalVersion, a.total)
	closed, granted := 0, 0
	if a.grant.version != 0 && !l.isRestored(a.grant) {
		closed, _ = l.storeStatus.maxSpent(a.name, a.grant)
		granted = -a.grant.Amount
	}
	return l.planGrantAndBudgetWrite(a, next, closed, granted)
}

// countWrite counts a write of a budget row that changes the tokens of ended grants and the sum of open ones.
func (l *Ledger) countWrite(budget *budgetState, closed, granted int) {
	budget.Era = int(l.storeStatus.era)
	if closed == 0 && granted == 0 {
		return
	}
	budget.Closed += closed
	budget.Granted += granted
	changes := budget.changesIn(budget.Era)
	changes.Sequence++
	changes.Closed += closed
	changes.Granted += granted
	budget.setChanges(changes)
}

// planGrantWrite returns a write of this router's grant row only.
func (l *Ledger) planGrantWrite(a *account, next plannedRows) (store.Write, plannedRows, bool) {
	grantRow := grantKey(a.name, l.Node)
	next.grant.Clock, next.grant.Era = int(l.storeStatus.storeClock.Milliseconds()), int(l.storeStatus.era)
	next.grant.Proof = l.proof()
	return store.Write{
		Expect: []store.Condition{{Key: grantRow, Version: a.grant.version}},
		Puts:   []store.Put{{Key: grantRow, Value: encode(next.grant.PrepaidGrant)}},
	}, next, true
}

// planGrantAndBudgetWrite returns a write of this router's grant row and the account's budget row, in which the tokens of
// ended grants and the sum of open ones change.
func (l *Ledger) planGrantAndBudgetWrite(a *account, next plannedRows, closed, granted int) (store.Write, plannedRows, bool) {
	grantRow, budgetRow := grantKey(a.name, l.Node), budgetKey(a.name)
	l.countWrite(&next.budget, closed, granted)
	next.grant.Clock, next.grant.Era = int(l.storeStatus.storeClock.Milliseconds()), int(l.storeStatus.era)
	next.grant.Proof = l.proof()
	return store.Write{
		Expect: []store.Condition{{Key: grantRow, Version: a.grant.version}, {Key: budgetRow, Version: a.budget.version}},
		Puts: []store.Put{
			{Key: grantRow, Value: encode(next.grant.PrepaidGrant)},
			{Key: budgetRow, Value: encode(next.budget.PrepaidSum)},
		},
	}, next, true
}
