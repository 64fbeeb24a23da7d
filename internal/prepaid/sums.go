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
	// sumPause is the time between two readings of the accounts' rows.
	sumPause = time.Second
	// sumCalls is the most rows that one reading takes. With more accounts each row is read less often, so that the calls
	// of a router do not grow with the accounts; a conflict shows a row that is out of date.
	sumCalls = 2
)

// holdsFew reports whether this router holds grants of few of the accounts, as in a large fleet. It reads the rows of these
// then, and not the changes of all.
func (l *Ledger) holdsFew() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.members.few()
}

// readSums reads the rows of the accounts that this router spends from. Other routers write them too.
func (l *Ledger) readSums(ctx context.Context) {
	if !l.holdsFew() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, name := range l.spending() {
		group.Go(func() error {
			sent := l.Now()
			result, err := l.Store.Row(ctx, sumKey(name))
			if err != nil {
				return err
			}
			l.takeSums(store.Change{Rows: result.Rows, Version: result.Version})
			l.mu.Lock()
			defer l.mu.Unlock()
			if a := l.account(name); sent.After(a.read) {
				a.read = sent
			}
			return nil
		})
	}
	_ = group.Wait() // The heartbeat logs a store that is away; the next reading makes up for this one.
}

// spending returns the accounts whose rows are to be read: those of which this router holds a grant that is in use, the row
// that was read longest ago first.
func (l *Ledger) spending() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if l.contact.age(now) > awayAge {
		return nil
	}
	var due []*account
	for _, a := range l.accounts {
		if a.loaded && a.own.Holder == l.Instance && a.meter.at(now) > leastDemand && now.Sub(a.read) > sumPause {
			due = append(due, a)
		}
	}
	slices.SortFunc(due, func(a, b *account) int { return a.read.Compare(b.read) })
	var names []string
	for _, a := range due[:min(len(due), sumCalls)] {
		names = append(names, a.name)
	}
	return names
}

// takeSums takes over the accounts' rows that other routers have written.
func (l *Ledger) takeSums(change store.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range change.Rows {
		a := l.accounts[row.Part]
		if a == nil || !a.loaded || row.Deleted || row.Version <= a.sum.version {
			continue
		}
		next := sumState{version: row.Version}
		if err := decode(row, &next.PrepaidSum); err != nil {
			event.PrepaidRow.Log(l.Logger).Str("account", row.Part).Err(err).Send()
			continue
		}
		a.sum = next
	}
}
