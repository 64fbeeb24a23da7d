package prepaid

import (
	"time"

	"citronslip/internal/event"
	"citronslip/internal/store"
	"citronslip/internal/wire"
)

type (
	// unansweredShrink describes the writes that make a grant smaller and were not answered. Each of them may be applied
	// seconds later, until one of the rows in its conditions has changed. It is replaced, never changed.
	unansweredShrink struct {
		first         wire.PrepaidEra // Era and number of the earliest of the writes.
		sentAt        time.Time       // When the earliest was planned.
		opened        int64           // Smallest number of tokens that one of them leaves opened.
		amount        int64           // Smallest amount that one of them leaves.
		grantVersion  int64           // Version of the grant row in their conditions.
		budgetVersion int64           // Highest version of the budget row in their conditions.
	}
)

// lowerSpendCap limits spending until a write that shrinks the grant is answered or impossible. Any one of several
// unanswered writes may have taken effect, so the smallest opened part and the smallest amount apply.
func (l *Ledger) lowerSpendCap(a *account, opened, amount int64) {
	next := unansweredShrink{sentAt: l.Now(), opened: opened, amount: amount, grantVersion: a.grant.version, budgetVersion: a.budget.version}
	if before := a.unanswered; before != nil {
		next.first, next.sentAt = before.first, before.sentAt
		next.opened, next.amount = min(opened, before.opened), min(amount, before.amount)
	} else {
		next.first = a.budget.changesIn(int(l.storeStatus.era))
		next.first.Sequence++
	}
	a.unanswered = &next
}

// isSettledBy reports whether rows of the store, as of one version, show that each of the writes was applied or never will
// be: a row in its conditions has changed. The budget row is nil if only the grant row was read. Rows that are unchanged show
// nothing, since a write may be applied later.
func (u *unansweredShrink) isSettledBy(grant *grantState, budget *budgetState) bool {
	if grant.version == 0 || grant.version > u.grantVersion {
		return true
	}
	return budget != nil && budget.version > u.budgetVersion
}

// planSettle returns a write of the grant row as it is. Once it is answered, no unanswered write that shrinks the grant can
// be applied any more. It competes with no other router, since only this one writes the row.
func (l *Ledger) planSettle(a *account) (store.Write, plannedRows, bool) {
	return l.planGrantWrite(a, plannedRows{budget: a.budget, grant: a.grant})
}

// endUnanswered lifts the limit of spending. The caller holds the lock.
func (l *Ledger) endUnanswered(a *account) {
	if a.unanswered == nil {
		return
	}
	if age := l.Now().Sub(a.unanswered.sentAt); age > storeCallTimeout {
		l.count("returns_settled")
		event.PrepaidReturnSettled.Log(l.Logger).Str("account", a.name).Int64("limit", a.unanswered.amount).
			Int("amount", a.grant.Amount).Dur("after", age).Send()
	}
	a.unanswered = nil
}
