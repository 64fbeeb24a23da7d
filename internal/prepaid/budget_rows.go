package prepaid

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"citronslip/internal/event"
	"citronslip/internal/store"
)

const (
	// budgetReadInterval is the time between two reads of budget rows.
	budgetReadInterval = time.Second
	// maxBudgetReads is the maximum number of rows that are read at a time. With more accounts each row is read less
	// often, so that the calls of a router do not grow with the number of accounts; an outdated row shows as a write
	// conflict.
	maxBudgetReads = 2
)

// isLargeFleet reports whether the fleet is so large that this router holds grants of only few accounts. It then reads
// the budget rows of these rather than the change feed of all.
func (l *Ledger) isLargeFleet() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.membership.isSmallFleet()
}

// readBudgetRows reads the budget rows of accounts from which this router spends, as other routers write them too. It
// does nothing in a small fleet, which follows the change feed.
func (l *Ledger) readBudgetRows(ctx context.Context) {
	if !l.isLargeFleet() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, name := range l.budgetRowsToRead() {
		group.Go(func() error {
			sent := l.Now()
			result, err := l.Store.Row(ctx, budgetKey(name))
			if err != nil {
				return err
			}
			l.applyBudgetRows(store.Change{Rows: result.Rows, Version: result.Version, Era: result.Era})
			l.mu.Lock()
			defer l.mu.Unlock()
			if a := l.accountByName(name); sent.After(a.budgetReadAt) {
				a.budgetReadAt = sent
			}
			return nil
		})
	}
	_ = group.Wait() // The heartbeat logs an unreachable store; the next read makes up for this one.
}

// budgetRowsToRead returns the names of at most maxBudgetReads accounts whose budget rows are to be read: those whose
// grant at this router is in use, the row that was read longest ago first. It returns none while the store is
// unreachable.
func (l *Ledger) budgetRowsToRead() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if l.storeStatus.age(now) > storeUnreachableAge {
		return nil
	}
	var outdated []*account
	for _, a := range l.accounts {
		if a.loaded && a.grant.Holder == l.Instance && a.grantDemand.rate(now) > minDemand &&
			now.Sub(a.budgetReadAt) > budgetReadInterval {
			outdated = append(outdated, a)
		}
	}
	slices.SortFunc(outdated, func(a, b *account) int { return a.budgetReadAt.Compare(b.budgetReadAt) })
	var names []string
	for _, a := range outdated[:min(len(outdated), maxBudgetReads)] {
		names = append(names, a.name)
	}
	return names
}

// applyBudgetRows replaces the known budget rows with newer ones that other routers have written.
func (l *Ledger) applyBudgetRows(change store.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enterEra(change.Era)
	for _, row := range change.Rows {
		a := l.accounts[row.Part]
		if a == nil || !a.loaded || a.era != change.Era || row.Deleted || row.Version <= a.budget.version {
			continue
		}
		next := budgetState{version: row.Version}
		if err := decode(row, &next.PrepaidSum); err != nil {
			event.PrepaidRowInvalid.Log(l.Logger).Str("account", row.Part).Err(err).Send()
			continue
		}
		a.budget = next
	}
}
