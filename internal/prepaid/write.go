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
	// writeTime bounds one write to the store.
	writeTime = 700 * time.Millisecond
	// writeBackoff and writeLongest bound the pause after a failed write.
	writeBackoff = 40 * time.Millisecond
	writeLongest = 400 * time.Millisecond
	// Conflicts in a row beyond conflictsFree are followed by a wait that grows by conflictStep up to conflictsMost.
	conflictsFree = 2
	conflictsMost = 12
	conflictStep  = 15 * time.Millisecond
	// borrowerWait is how many times longer routers wait that could borrow, so that those that lend are not kept waiting.
	borrowerWait = 8
	// staleWait is the wait after which rows are read again before they are written.
	staleWait = 10 * time.Millisecond
	// idleRetry is the time after which a failed write is tried again that no request waits for, at the latest.
	idleRetry = 3 * time.Second
	// stepInterval is the time between two looks at all grants.
	stepInterval = 500 * time.Millisecond
)

type (
	// pause is the time for which this router writes no grants after a failure.
	pause struct {
		span  time.Duration
		until time.Time
	}
)

// kick starts the writer of an account unless it runs. The caller holds the lock.
func (l *Ledger) kick(a *account) {
	if a.writing || !l.contact.ready {
		return
	}
	a.writing = true
	go l.write(a)
}

// write writes an account's rows until nothing is due.
func (l *Ledger) write(a *account) {
	conflicts := 0
	for {
		l.mu.Lock()
		l.grant(a)
		wait := l.pause.wait(l.Now())
		idle := len(a.waiting) == 0
		if wait > 0 && idle {
			a.writing = false // The next step tries again.
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		if wait > 0 {
			delay.For(context.Background(), wait)
		}
		l.mu.Lock()
		w, next, ok := l.plan(a)
		if !ok {
			a.writing = false
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		switch err := l.commit(a, w, next); {
		case errors.Is(err, errRow):
			l.mu.Lock()
			a.writing = false // The next request or step looks at the row again.
			l.mu.Unlock()
			return
		case errors.Is(err, store.ErrConflict) && w.Expect[0].Version != neverVersion:
			conflicts++
			l.retreat(a, conflicts)
		}
	}
}

// retreat waits after a conflict. In a large fleet another router is likely to write the rows in the meantime, so that they
// are read again then.
func (l *Ledger) retreat(a *account, conflicts int) {
	wait := conflictWait(conflicts)
	l.mu.Lock()
	if !l.holds(a) {
		wait *= borrowerWait
	}
	l.mu.Unlock()
	delay.For(context.Background(), wait)
	l.mu.Lock()
	defer l.mu.Unlock()
	a.stale = wait > staleWait && !l.members.few()
}

// conflictWait returns a random time that spreads the routers that write the same row.
func conflictWait(conflicts int) time.Duration {
	if conflicts < conflictsFree {
		return 0
	}
	return time.Duration(rand.Int64N(int64(min(conflicts, conflictsMost)) * int64(conflictStep)))
}

// failed notes a call that the store did not do. All writes of this router pause, so that a store that turns calls away
// is not asked again at once.
func (p *pause) failed(now time.Time) {
	p.span = min(max(2*p.span, writeBackoff), writeLongest)
	p.until = now.Add(p.span/2 + time.Duration(rand.Int64N(int64(p.span))))
}

// done notes a call that the store did.
func (p *pause) done() { p.span, p.until = 0, time.Time{} }

// wait returns the time until the next write.
func (p *pause) wait(now time.Time) time.Duration { return max(0, p.until.Sub(now)) }

// commit makes a planned write and takes over what the store says of it. An unanswered write may still take effect; the
// next write has the same conditions, so that at most one of the two does.
func (l *Ledger) commit(a *account, w store.Write, next planned) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTime)
	defer cancel()
	sent := l.Now()
	result, err := l.Store.Write(ctx, w)
	l.mu.Lock()
	defer l.mu.Unlock()
	conflict := errors.Is(err, store.ErrConflict)
	if err == nil || conflict {
		l.pause.done()
		l.contact.answered(sent, l.Now(), result.Clock, l.Started)
	}
	switch {
	case err == nil:
		l.written(a, w, next, result.Version)
	case conflict:
		if unreadable := l.conflict(a, w, result.Rows); unreadable != nil {
			// Without the row nothing is known of what was spent: nothing more is granted.
			a.retry = l.Now().Add(idleRetry)
			event.PrepaidRow.Log(l.Logger).Str("account", a.name).Err(unreadable).Send()
			return unreadable
		}
	default:
		l.pause.failed(l.Now())
		a.retry = l.Now().Add(time.Duration(rand.Int64N(int64(idleRetry))))
		event.PrepaidWrite.Log(l.Logger).Str("account", a.name).Err(err).Send()
	}
	return err
}

// written takes over the rows as this router has written them.
func (l *Ledger) written(a *account, w store.Write, next planned, version int64) {
	before := a.own
	a.own = next.own
	a.own.version = version
	if len(w.Expect) > 1 {
		a.sum = next.sum
		a.sum.version = version
		a.read = l.Now()
	}
	a.cap = -1
	if a.own.Holder == l.Instance && before.Holder != l.Instance {
		event.PrepaidTaken.Log(l.Logger).Str("account", a.name).Str("before", before.Holder).Int("amount", before.Amount).
			Int("opened", before.Opened).Dur("silence", l.contact.silence(before)).Int("charged", l.charge(before)).Send()
	}
	event.PrepaidSized.Log(l.Logger).Str("account", a.name).Int("amount", a.own.Amount).Int("opened", a.own.Opened).
		Int64("used", a.used()).Int64("free", a.sum.free()).Int64("version", version).Send()
	l.grant(a)
}

// conflict takes over the rows that did not have the expected versions.
func (l *Ledger) conflict(a *account, w store.Write, rows []store.Row) error {
	sum, own := sumState{}, grantState{}
	for _, row := range rows {
		var err error
		switch row.Table {
		case sumTable:
			sum.version = row.Version
			if row.Version != 0 {
				err = decode(row, &sum.PrepaidSum)
			}
		case grantTable:
			own.version = row.Version
			if row.Version != 0 {
				err = decode(row, &own.PrepaidGrant)
			}
		}
		if err != nil {
			return err
		}
	}
	a.own = own
	if len(w.Expect) > 1 {
		a.stale = false
		a.sum = sum
		a.read = l.Now()
		a.loaded = true
	}
	a.cap = -1
	event.PrepaidConflict.Log(l.Logger).Str("account", a.name).Int64("own", own.version).Int64("sum", a.sum.version).Send()
	return nil
}
