package prepaid

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"citronslip/internal/delay"
	"citronslip/internal/event"
	"citronslip/internal/store"
)

const (
	// storeCallTimeout is the timeout of one call to the store.
	storeCallTimeout = 700 * time.Millisecond
	// minWriteBackoff and maxWriteBackoff are the minimum and maximum backoff after failed writes, before jitter.
	minWriteBackoff = 40 * time.Millisecond
	maxWriteBackoff = 400 * time.Millisecond
	// freeConflicts is the number of conflicts in one run of a writer from which on it waits a random time after each.
	// The maximum of that time grows by conflictBackoffStep with each conflict, up to maxBackoffConflicts of them.
	freeConflicts       = 2
	maxBackoffConflicts = 12
	conflictBackoffStep = 15 * time.Millisecond
	// maxReturnConflicts is the number of conflicts in one run of a writer up to which a write that returns tokens is repeated
	// at once.
	maxReturnConflicts = 20
	// borrowerBackoffFactor is the factor by which routers that can borrow wait longer, so that the holders of grants,
	// who lend to them, are not delayed.
	borrowerBackoffFactor = 8
	// minRereadBackoff is the wait above which the rows are read again before the next write.
	minRereadBackoff = 10 * time.Millisecond
	// maxIdleRetryDelay is the maximum time until a failed write that no request waits for is retried.
	maxIdleRetryDelay = 3 * time.Second
	// grantCheckInterval is the time between two checks of all grants.
	grantCheckInterval = 500 * time.Millisecond
)

type (
	// writeBackoff is the backoff of all writes of grants after a failed one.
	writeBackoff struct {
		interval time.Duration // Doubles with each failure.
		until    time.Time     // No writes before.
	}
)

// startWriter starts the writer of an account unless it runs already or the heartbeat row of the previous process is
// yet to be read. The caller holds the lock.
func (l *Ledger) startWriter(a *account) {
	if a.writerRunning || !l.storeStatus.predecessorRead {
		return
	}
	a.writerRunning = true
	go l.runWriter(a)
}

// runWriter writes an account's rows until no write is needed.
func (l *Ledger) runWriter(a *account) {
	conflicts := 0
	for {
		l.mu.Lock()
		l.admitWaiters(a)
		wait := l.backoff.remaining(l.Now())
		if a.proofDue {
			wait = 0
		}
		noWaiters := len(a.waiters) == 0
		if wait > 0 && noWaiters {
			a.writerRunning = false // The next grant check starts the writer again.
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		if wait > 0 {
			delay.Sleep(context.Background(), wait)
		}
		l.mu.Lock()
		before := a.unanswered
		w, next, ok := l.planWrite(a)
		if ok && len(w.Puts) > 0 && l.storeStatus.mayBeRestored(l.Now()) {
			// In a new era the conditions of the write might hold by chance.
			a.unanswered = before
			w, next, _ = l.planReread(a)
		}
		next.era, next.unansweredBefore, next.unanswered = l.storeStatus.era, before, a.unanswered
		if !ok {
			a.writerRunning = false
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		switch err := l.commit(a, w, next); {
		case errors.Is(err, errOtherEra):
			conflicts++
			delay.Sleep(context.Background(), conflictBackoff(conflicts)) // The store may go on naming an older era.
		case errors.Is(err, errUnreadableRow):
			l.mu.Lock()
			a.writerRunning = false // The next request or grant check reads the row again.
			l.mu.Unlock()
			return
		case errors.Is(err, store.ErrConflict) && len(w.Puts) > 0:
			conflicts++
			l.waitAfterConflict(a, conflicts, next)
		}
	}
}

// waitAfterConflict waits after a conflict of a write of the planned rows. In a large fleet another router is likely to
// write the budget row during a longer wait, so the rows are then read again before the next write. A write that returns
// tokens is repeated at once, with the rows that came with the conflict: a router that waits hardly ever wins against the
// holders of a busy account, and keeps tokens that they lack.
func (l *Ledger) waitAfterConflict(a *account, conflicts int, next plannedRows) {
	l.mu.Lock()
	a.resizedAt = time.Time{} // The grant was not resized.
	backoff := conflictBackoff(conflicts)
	switch {
	case next.returnsTokens() && conflicts <= maxReturnConflicts:
		backoff = 0
	case !l.isHolder(a):
		backoff *= borrowerBackoffFactor
	}
	l.mu.Unlock()
	delay.Sleep(context.Background(), backoff)
	l.mu.Lock()
	defer l.mu.Unlock()
	a.stale = backoff > minRereadBackoff && !l.membership.isSmallFleet()
}

// conflictBackoff returns a random wait after the given number of conflicts in one run of a writer. Its randomness
// spreads the routers that write the same row.
func conflictBackoff(conflicts int) time.Duration {
	if conflicts < freeConflicts {
		return 0
	}
	return time.Duration(rand.Int64N(int64(min(conflicts, maxBackoffConflicts)) * int64(conflictBackoffStep)))
}

// recordFailure doubles the backoff after a failed write. It applies to all grants of this router, so that a
// store that rejects calls is not called again at once.
func (b *writeBackoff) recordFailure(now time.Time) {
	b.interval = min(max(2*b.interval, minWriteBackoff), maxWriteBackoff)
	b.until = now.Add(b.interval/2 + time.Duration(rand.Int64N(int64(b.interval))))
}

// reset ends the backoff after the store has answered a write.
func (b *writeBackoff) reset() { b.interval, b.until = 0, time.Time{} }

// remaining returns the time until the next write is allowed, or 0.
func (b *writeBackoff) remaining(now time.Time) time.Duration { return max(0, b.until.Sub(now)) }

// commit executes a planned write and updates the account from the result. An unanswered write may still take effect, until
// a row in its conditions has changed; while the rows stay unchanged, the next write has the same conditions, so at most one
// of the two does. The error wraps an error of the store, or errUnreadableRow.
func (l *Ledger) commit(a *account, w store.Write, next plannedRows) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	l.mu.Lock()
	sent := l.Now()
	wasUnreachable := l.storeStatus.age(sent) > storeUnreachableAge
	l.mu.Unlock()
	result, err := l.write(ctx, w)
	l.mu.Lock()
	defer l.mu.Unlock()
	conflict := errors.Is(err, store.ErrConflict)
	if err == nil || conflict {
		l.backoff.reset()
	}
	switch {
	case (err == nil || conflict) && result.Era != next.era:
		return errOtherEra // The rows of the new era are read before the next write.
	case err == nil:
		l.applyWritten(a, w, next, result.Version)
	case conflict:
		if unreadable := l.applyConflict(a, w, result.Rows); unreadable != nil {
			// Without the row it is not known how much was spent, so no more tokens are granted.
			a.idleRetryAt = l.Now().Add(maxIdleRetryDelay)
			event.PrepaidRowInvalid.Log(l.Logger).Str("account", a.name).Err(unreadable).Send()
			return unreadable
		}
	default:
		if errors.Is(err, store.ErrUnavailable) && a.unanswered == next.unanswered {
			a.unanswered = next.unansweredBefore // Nothing was written.
		}
		a.provedAt, a.proofDue = time.Time{}, false
		if wasUnreachable && l.storeStatus.answeredAt.After(sent) {
			// The store has answered since. What was spent without it is to be written at once.
			event.PrepaidWriteFailed.Log(l.Logger).Str("account", a.name).Err(err).Send()
			return err
		}
		l.storeStatus.failedAt = l.Now()
		l.backoff.recordFailure(l.Now())
		a.idleRetryAt = l.Now().Add(time.Duration(rand.Int64N(int64(maxIdleRetryDelay))))
		event.PrepaidWriteFailed.Log(l.Logger).Str("account", a.name).Err(err).Send()
	}
	return err
}

// applyWritten updates the account with the rows of a successful write and admits waiting requests. The caller holds
// the lock.
func (l *Ledger) applyWritten(a *account, w store.Write, next plannedRows, version int64) {
	previous := a.grant
	l.recordGrowth(a, previous, next.grant)
	a.limitKnownAmount(next.grant, next.era)
	a.grant, a.budget = next.grant, next.budget
	for _, p := range w.Puts {
		switch p.Table {
		case grantTable:
			a.grant.version = version
			a.provedAt, a.proofDue, l.storeStatus.provedAt = l.Now(), false, l.Now()
		case budgetTable:
			a.budget.version = version
			a.budgetReadAt = l.Now()
		}
	}
	if next.resolves || !a.hasUnansweredBefore(next.era) {
		l.endUnanswered(a) // A row in the conditions of the unanswered writes has changed.
	}
	a.era, a.restored, a.loaded = next.era, nil, true
	if a.grant.Holder == l.Instance && previous.Holder != l.Instance {
		charged, silence := l.storeStatus.maxSpent(a.name, previous)
		event.PrepaidGrantOpened.Log(l.Logger).Str("account", a.name).Str("before", previous.Holder).Int("amount", previous.Amount).
			Int("opened", previous.Opened).Dur("silence", silence).Int("charged", charged).Send()
	}
	if a.used() > int64(a.grant.Amount) {
		event.PrepaidSpentUnknown.Log(l.Logger).Str("account", a.name).Int64("used", a.used()).Int("amount", a.grant.Amount).Send()
	}
	if a.grant.Amount > previous.Amount {
		l.tellPeers(a)
	}
	event.PrepaidGrantWritten.Log(l.Logger).Str("account", a.name).Int("amount", a.grant.Amount).Int("opened", a.grant.Opened).
		Int64("used", a.used()).Int64("free", a.budget.available()).Int64("version", version).Send()
	l.admitWaiters(a)
}

// applyConflict updates the account with the rows that the store returned because a write's conditions did not hold.
// Its error wraps errUnreadableRow. The caller holds the lock.
func (l *Ledger) applyConflict(a *account, w store.Write, rows []store.Row) error {
	budget, grant := budgetState{}, grantState{}
	for _, row := range rows {
		var err error
		switch row.Table {
		case budgetTable:
			budget.version = row.Version
			if row.Version != 0 {
				err = decode(row, &budget.PrepaidSum)
			}
		case grantTable:
			grant.version = row.Version
			if row.Version != 0 {
				err = decode(row, &grant.PrepaidGrant)
			}
		}
		if err != nil {
			return err
		}
	}
	if a.era != l.storeStatus.era {
		a.restored = &accountRows{budget: budget, grant: grant}
		return nil
	}
	a.grant = grant
	var readBudget *budgetState
	if len(w.Expect) > 1 {
		a.stale = false
		a.budget = budget
		a.budgetReadAt = l.Now()
		a.loaded = true
		readBudget = &budget
	}
	if u := a.unanswered; u != nil && !a.hasUnansweredBefore(a.era) && u.isSettledBy(&grant, readBudget) {
		l.endUnanswered(a)
	}
	event.PrepaidWriteConflict.Log(l.Logger).Str("account", a.name).Int64("own", grant.version).Int64("sum", a.budget.version).Send()
	return nil
}
