package prepaid

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"citronslip/internal/delay"
	"citronslip/internal/event"
	"citronslip/internal/store"
	"citronslip/internal/wire"
)

const (
	// settleTime is the time after the first reconciliation of a budget row in a new era in which no tokens are granted, so
	// that all routers that reach the store can add the grants that it has forgotten.
	settleTime = 2 * time.Second
	// restoreNoticeTime is the time after a new era in which a budget without a row may have lost it.
	restoreNoticeTime = 10 * time.Second
	// maturityTime is how long the store must have answered after a grant grew before its holder may spend the new part while
	// the store does not answer, unless other routers have acknowledged it (tellPeers). By then they have read the budget row,
	// so that they know of the grant if the store comes back without it.
	maturityTime = 2 * time.Second
	// maxEras is the number of eras whose changes a budget row keeps apart, for routers that reach the store only after it
	// has come back several times.
	maxEras = 16
	// reconcileSpacing times the number of routers is the time over which the routers of a large fleet spread the
	// reconciliation of accounts whose grants they do not hold.
	reconcileSpacing = 20 * time.Millisecond
)

var (
	// errOtherEra is returned when a write was answered in another era of the store than it was planned in.
	errOtherEra = errors.New("prepaid: the store has come back from an older copy")
)

type (
	// accountRows are the rows of an account as the store has returned them.
	accountRows struct {
		budget budgetState
		grant  grantState
	}
)

// recordAnswer records an answer of the store to a call that was sent at the given time. The caller holds the lock.
func (l *Ledger) recordAnswer(sent time.Time, result store.Result) {
	l.storeStatus.recordAnswer(sent, l.Now(), result.Clock, l.Started)
	l.enterEra(result.Era)
}

// enterEra records the era of an answer. In a new era the store has forgotten its latest writes, so that all accounts are
// reconciled with its rows. The caller holds the lock.
func (l *Ledger) enterEra(era int64) {
	before := l.storeStatus.era
	if era <= before {
		return
	}
	l.storeStatus.era = era
	if before == 0 {
		return
	}
	event.StoreRestored.Log(l.Logger).Str("table", budgetTable).Int64("before", before).Int64("era", era).Send()
	l.storeStatus.restoredAt = l.Now()
	l.membership.view.restored, l.membership.view.observed = true, nil
	for _, a := range l.accounts {
		a.restored = nil
		switch {
		case !a.loaded && !a.wasTold():
		case l.isHolder(a) || a.grant.Holder == l.Instance && a.used() < int64(a.grant.Amount):
			l.startWriter(a)
		default:
			a.idleRetryAt = l.Now().Add(rand.N(time.Duration(l.membership.count()) * reconcileSpacing))
		}
	}
}

// planReconcile returns the next step towards the rows of a new era: reading them, or writing what the store has
// forgotten. The caller holds the lock.
func (l *Ledger) planReconcile(a *account) (store.Write, plannedRows, bool) {
	if a.restored == nil {
		return l.planReread(a)
	}
	next := plannedRows{grant: a.restored.grant}
	var changed bool
	next.budget, changed = l.reconcile(a, a.restored.budget)
	w := store.Write{Expect: []store.Condition{
		{Key: grantKey(a.name, l.Node), Version: a.restored.grant.version},
		{Key: budgetKey(a.name), Version: a.restored.budget.version},
	}}
	if a.loaded && a.grant.Holder == l.Instance {
		next.grant.PrepaidGrant = l.knownGrant(a)
		w.Puts = append(w.Puts, store.Put{Key: grantKey(a.name, l.Node), Value: encode(next.grant.PrepaidGrant)})
	}
	if changed {
		event.PrepaidReconciled.Log(l.Logger).Str("account", a.name).Any("copy", a.restored.budget.PrepaidSum).Any("known", a.budget.PrepaidSum).
			Any("told", a.told.Eras).Any("next", next.budget.PrepaidSum).Send()
		next.budget.applyTotal(a.totalVersion, a.total)
		w.Puts = append(w.Puts, store.Put{Key: budgetKey(a.name), Value: encode(next.budget.PrepaidSum)})
	}
	if len(w.Puts) == 0 {
		a.budget, a.grant, a.budgetReadAt = next.budget, next.grant, l.Now()
		a.era, a.restored, a.loaded, a.stale = l.storeStatus.era, nil, true, false
		return l.planWrite(a)
	}
	if !changed {
		w.Expect = w.Expect[:1] // Other routers may write the budget row meanwhile.
	}
	return w, next, true
}

// reconcile returns the budget row of a new era with what this router knows of the time before, and whether it differs
// from the one in the store.
func (l *Ledger) reconcile(a *account, restored budgetState) (budgetState, bool) {
	next, reconciled := restored, l.isReconciled(a, restored)
	changed, uncounted := false, 0
	if a.loaded {
		changed = !next.includeDropped(&a.budget)
		if changed && a.grant.Holder == l.Instance {
			uncounted = a.grant.Amount // The row may lack this router's grant.
		}
		changed = next.merge(&a.budget) || changed
	}
	changed = next.merge(&a.told) || changed
	if reconciled && !changed {
		return next, false
	}
	if !reconciled {
		next.Since = int((l.storeStatus.storeClock + l.settleTime()).Milliseconds())
	}
	l.countWrite(&next, 0, uncounted)
	return next, true
}

// merge adds the changes of each era that a known content of the row includes beyond this one, and reports whether there are
// any. The writes of an era form one sequence, so of two contents the one with more of them includes the other's changes. The
// changes of an era are thus counted once, whichever routers tell of them, in any order.
func (s *budgetState) merge(known *budgetState) (changed bool) {
	if known.Version > s.Version {
		s.Version, s.Total, changed = known.Version, known.Total, true
	}
	oldest := max(s.oldestEra(), known.oldestEra())
	for _, e := range known.Eras {
		own := s.changesIn(e.Era)
		if e.Era < oldest || e.Sequence <= own.Sequence {
			continue
		}
		s.Closed += e.Closed - own.Closed
		s.Granted += e.Granted - own.Granted
		s.setChanges(e)
		changed = true
	}
	return changed
}

// includeDropped makes the row include at least as much of the eras that it or a known content no longer keeps apart as that
// content. It reports whether both included the same.
func (s *budgetState) includeDropped(known *budgetState) bool {
	oldest := max(s.oldestEra(), known.oldestEra())
	closed, granted := s.before(oldest)
	knownClosed, knownGranted := known.before(oldest)
	if knownClosed+knownGranted > closed+granted {
		s.Closed += knownClosed - closed
		s.Granted += knownGranted - granted
	}
	return closed == knownClosed && granted == knownGranted
}

// oldestEra returns the oldest era whose changes are known: that of the oldest entry if earlier ones may have been dropped,
// otherwise the first.
func (s *budgetState) oldestEra() int {
	if len(s.Eras) < maxEras {
		return 0
	}
	return s.Eras[0].Era
}

// before returns the part of the row that was written before an era.
func (s *budgetState) before(era int) (closed, granted int) {
	closed, granted = s.Closed, s.Granted
	for _, e := range s.Eras {
		if e.Era >= era {
			closed -= e.Closed
			granted -= e.Granted
		}
	}
	return closed, granted
}

// changesIn returns the changes of an era, which are zero if the row was not written in it.
func (s *budgetState) changesIn(era int) wire.PrepaidEra {
	for _, e := range s.Eras {
		if e.Era == era {
			return e
		}
	}
	return wire.PrepaidEra{Era: era}
}

// setChanges replaces the changes of an era and keeps those of the latest maxEras eras apart.
func (s *budgetState) setChanges(changes wire.PrepaidEra) {
	eras := slices.DeleteFunc(slices.Clone(s.Eras), func(e wire.PrepaidEra) bool { return e.Era == changes.Era })
	eras = append(eras, changes)
	slices.SortFunc(eras, func(x, y wire.PrepaidEra) int { return cmp.Compare(x.Era, y.Era) })
	s.Eras = eras[max(0, len(eras)-maxEras):]
}

// isReconciled reports whether a budget row holds what was known of the time before the current era. One of an earlier
// release, which does not know eras, counts as such for a router that has no later content.
func (l *Ledger) isReconciled(a *account, restored budgetState) bool {
	switch {
	case int64(restored.Era) == l.storeStatus.era:
		return true
	case restored.version == 0:
		return !a.loaded && !l.recentlyRestored()
	case restored.Era == 0:
		return !a.loaded || a.budget.Era == 0
	}
	return false
}

// settleTime returns how long no tokens are granted after a budget row was reconciled: not at all if that comes so late
// that the other routers have had the time.
func (l *Ledger) settleTime() time.Duration {
	if restoredAt := l.storeStatus.restoredAt; !restoredAt.IsZero() && l.Now().Sub(restoredAt) > restoreNoticeTime {
		return 0
	}
	return settleTime
}

// recentlyRestored reports whether the store came back from an older copy within restoreNoticeTime.
func (l *Ledger) recentlyRestored() bool {
	restoredAt := l.storeStatus.restoredAt
	return !restoredAt.IsZero() && l.Now().Sub(restoredAt) < restoreNoticeTime
}

// knownGrant returns this router's grant as it is to be written in a new era. The opened part covers what is used, since the
// row has the clock of an answer.
func (l *Ledger) knownGrant(a *account) wire.PrepaidGrant {
	grant := a.grant.PrepaidGrant
	grant.Opened = min(max(grant.Opened, int(a.used())), grant.Amount)
	grant.Clock, grant.Era = int(l.storeStatus.storeClock.Milliseconds()), int(l.storeStatus.era)
	grant.Proof = l.proof()
	return grant
}

// hasUnansweredBefore reports whether a write that makes the grant smaller was not answered before the given era. Answers of
// a later era do not tell whether it was applied.
func (a *account) hasUnansweredBefore(era int64) bool {
	return a.unanswered != nil && int64(a.unanswered.first.Era) < era
}

// planResolve decides about a write before the new era that would have made the grant smaller and was not answered. If the
// budget row has changes of that era that may include it, the tokens are another's and the grant is written as smaller.
// Otherwise they are still counted as this router's.
func (l *Ledger) planResolve(a *account) (store.Write, plannedRows, bool) {
	first := a.unanswered.first
	included := a.budget.changesIn(first.Era).Sequence >= first.Sequence || first.Era < a.budget.oldestEra()
	smaller := max(a.unanswered.amount, a.used())
	if !included || a.grant.Holder != l.Instance || smaller >= int64(a.grant.Amount) {
		l.endUnanswered(a)
		return l.planWrite(a)
	}
	next := plannedRows{budget: a.budget, grant: a.grant, resolves: true}
	next.grant.Amount = int(smaller)
	next.grant.Opened = min(max(next.grant.Opened, int(a.used())), next.grant.Amount)
	return l.planGrantWrite(a, next)
}

// isRestored reports whether a grant row of an earlier process is from an older copy of the store. The process may have
// written it again or ended it since, which only the budget row tells, if any router knew it. The tokens of the grant then
// stay counted as granted.
func (l *Ledger) isRestored(g grantState) bool { return g.Era != 0 && int64(g.Era) < l.storeStatus.era }

// isSettling reports whether no tokens of the budget may be granted yet, because other routers may still add grants that
// the store has forgotten.
func (l *Ledger) isSettling(a *account) bool {
	clock := l.storeStatus.storeClock + l.Now().Sub(l.storeStatus.answeredAt)
	return clock.Milliseconds() < int64(a.budget.Since)
}

// planWhileSettling returns a write that opens more of the grant, if one is needed.
func (l *Ledger) planWhileSettling(a *account) (store.Write, plannedRows, bool) {
	required := a.used()
	for _, w := range a.waiters {
		required += w.tokens
	}
	target := l.targetSize(a)
	if a.grant.Holder != l.Instance || a.grant.Opened >= a.grant.Amount || required+int64(openThreshold*float64(target.Open)) <= int64(a.grant.Opened) {
		return store.Write{}, plannedRows{}, false
	}
	next := plannedRows{budget: a.budget, grant: a.grant}
	next.grant.Opened = int(min(required+target.Open, int64(a.grant.Amount)))
	if next.grant.Opened <= a.grant.Opened {
		return store.Write{}, plannedRows{}, false
	}
	return l.planGrantWrite(a, next)
}

// reconcileNow makes the next step towards the rows of a new era for an account whose grant is to be closed. The caller
// holds the lock, which is released.
func (l *Ledger) reconcileNow(ctx context.Context, a *account) error {
	w, next, ok := l.planReconcile(a)
	if ok && len(w.Puts) > 0 && l.storeStatus.mayBeRestored(l.Now()) {
		w, next, _ = l.planReread(a)
	}
	next.era, next.unansweredBefore, next.unanswered = l.storeStatus.era, a.unanswered, a.unanswered
	l.mu.Unlock()
	if !ok {
		return nil
	}
	err := l.commit(a, w, next)
	if err == nil || errors.Is(err, store.ErrConflict) {
		return nil
	}
	if !delay.Sleep(ctx, minWriteBackoff) {
		return err
	}
	return nil
}

// recordGrowth records when a grant grew. The caller holds the lock.
func (l *Ledger) recordGrowth(a *account, previous, next grantState) {
	if next.Amount <= previous.Amount || l.Now().Sub(a.grownAt) < maturityTime {
		return
	}
	a.grownAt, a.matureAmount = l.Now(), int64(previous.Amount)
}

// autonomousAmount returns the part of the grant that may be spent while the store does not answer: what other routers know
// of, since the store may come back without it.
func (l *Ledger) autonomousAmount(a *account) int64 {
	if l.storeStatus.answeredAt.Sub(a.grownAt) >= maturityTime {
		return int64(a.grant.Amount)
	}
	return min(max(a.matureAmount, a.knownAmount, int64(a.grant.Opened)), int64(a.grant.Amount))
}
