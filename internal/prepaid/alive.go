package prepaid

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"citronslip/internal/delay"
	"citronslip/internal/event"
	"citronslip/internal/store"
	"citronslip/internal/wire"
)

const (
	// beatInterval is the time between two writes of the row that shows this router alive.
	beatInterval = 500 * time.Millisecond
	// quickTrip is the time within which a call that fails was turned away, and was not lost on the way.
	quickTrip = 200 * time.Millisecond
	// awaitInterval is the time between two tries to read what the process before this one has left.
	awaitInterval = 100 * time.Millisecond
	// returnSpacing is the time for each router in which the grants of dead processes are given back that nobody waits for.
	returnSpacing = 20 * time.Millisecond
)

type (
	// contact is what is known of the connection to the store.
	contact struct {
		heard   time.Time     // When the newest answer came.
		clock   time.Duration // Store's clock in it.
		trip    time.Duration // How long the last heartbeat took, answered or not.
		reached time.Time     // When the store last answered a heartbeat or turned it away at once.
		started time.Duration // Store's clock at the start of this process, at the latest.
		proof   time.Duration // Store's clock up to which nothing beyond the opened parts was spent.
		before  wire.PrepaidAlive
		ready   bool // Whether the row of the process before this one was read.
	}
)

// answered notes an answer of the store. The caller holds the lock.
func (c *contact) answered(sent, now time.Time, clock time.Duration, started time.Time) {
	if c.heard.IsZero() {
		// The store read its clock after the call was sent, so that this is no earlier than the real start.
		c.started = clock - sent.Sub(started)
	}
	c.heard = now
	c.clock = max(c.clock, clock)
}

// age returns the time since the last answer.
func (c *contact) age(now time.Time) time.Duration {
	if c.heard.IsZero() {
		return AutonomyDelay
	}
	return now.Sub(c.heard)
}

// autonomous reports whether this router may spend more of its grants than it has opened.
func (c *contact) autonomous(now time.Time) bool {
	return !c.heard.IsZero() && now.Sub(c.heard) >= AutonomyDelay
}

// silence returns the longest time for which the holder of a grant, a process before this one, can have run without an
// answer of the store. Its rows hold clock values that it had received.
func (c *contact) silence(g grantState) time.Duration {
	clock := g.Clock
	if c.before.Holder == g.Holder {
		clock = max(clock, c.before.Clock)
	}
	if clock == 0 {
		return AutonomyDelay + AutonomyRise
	}
	return c.started - time.Duration(clock)*time.Millisecond
}

// Run keeps the grants until the context ends.
func (l *Ledger) Run(ctx context.Context) error {
	l.await(ctx)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { delay.Every(ctx, beatInterval, func() { l.beat(ctx) }); return nil })
	group.Go(func() error { return l.followMembers(ctx) })
	group.Go(func() error { delay.Every(ctx, stepInterval, l.step); return nil })
	sums := &store.Follower{
		Store: l.Store, Table: sumTable, Apply: l.takeSums, Pause: sumPause, Skip: l.holdsFew, Logger: l.Logger,
	}
	group.Go(func() error { return sums.Run(ctx) })
	group.Go(func() error { delay.Every(ctx, sumPause, func() { l.readSums(ctx) }); return nil })
	return group.Wait()
}

// await reads the view and the row of the process before this one until that succeeds. Before that no grant is taken,
// because that row is the evidence of what the process can have spent.
func (l *Ledger) await(ctx context.Context) {
	for ctx.Err() == nil {
		if l.readView(ctx) == nil && l.readBefore(ctx) == nil {
			return
		}
		delay.For(ctx, awaitInterval)
	}
}

// readBefore reads the row of the process before this one, and starts the writers of what it may have left and of what
// requests wait for.
func (l *Ledger) readBefore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	sent := l.Now()
	result, err := l.Store.Row(ctx, aliveKey(l.Node))
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		return err
	}
	l.contact.answered(sent, l.Now(), result.Clock, l.Started)
	for _, row := range result.Rows {
		if err := decode(row, &l.contact.before); err != nil {
			event.PrepaidRow.Log(l.Logger).Err(err).Send()
		}
	}
	l.contact.ready = true
	for _, name := range l.contact.before.Accounts {
		l.inherit(l.account(name))
	}
	for _, a := range l.accounts {
		if len(a.waiting) > 0 {
			l.kick(a)
		}
	}
	return nil
}

// inherit notes that the process before this one may have left a grant. Where a few routers hold most of an account, the
// others give back what they find one after the other, so that many that start at once do not compete for its row.
func (l *Ledger) inherit(a *account) {
	a.inherited = true
	if !l.holds(a) {
		a.retry = l.Now().Add(rand.N(time.Duration(l.members.count()) * returnSpacing))
	}
}

// beat writes the row of this router.
func (l *Ledger) beat(ctx context.Context) {
	l.mu.Lock()
	if l.covered() {
		l.contact.proof = l.contact.clock
	}
	row := wire.PrepaidAlive{
		Holder: l.Instance, Address: l.Address, Clock: int(l.contact.proof.Milliseconds()), Accounts: l.holdings(),
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	sent := l.Now()
	result, err := l.Store.Write(ctx, store.Write{Puts: []store.Put{{Key: aliveKey(l.Node), Value: encode(row)}}})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contact.trip = l.Now().Sub(sent)
	if err == nil || l.contact.trip < quickTrip {
		l.contact.reached = l.Now()
	}
	away := l.contact.age(l.Now()) > awayAge
	if err != nil {
		l.note(false)
		return
	}
	l.contact.answered(sent, l.Now(), result.Clock, l.Started)
	l.note(true)
	if away {
		l.pause.done()
		l.kickAll()
	}
}

// holdings returns the accounts of which this router holds a grant, or of which the process before it may have left one.
func (l *Ledger) holdings() []string {
	var result []string
	for _, a := range l.accounts {
		if a.own.version != 0 || a.inherited && !a.loaded {
			result = append(result, a.name)
		}
	}
	slices.Sort(result)
	return result
}

// covered reports whether no account has spent more than it has opened, as it may have while the store was away.
func (l *Ledger) covered() bool {
	for _, a := range l.accounts {
		if a.own.Holder == l.Instance && a.used() > int64(a.own.Opened) {
			return false
		}
	}
	return true
}

// note logs when this router becomes autonomous and when it no longer is.
func (l *Ledger) note(answered bool) {
	autonomous := !answered && l.contact.autonomous(l.Now())
	if autonomous == l.autonomous {
		return
	}
	l.autonomous = autonomous
	e := event.AutonomyEnded
	if autonomous {
		e = event.AutonomyStarted
	}
	e.Log(l.Logger).Dur("age", l.contact.age(l.Now())).Send()
}

// step looks at the grants that this router holds, and at those that a dead process of it has left.
func (l *Ledger) step() {
	l.expire()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if l.contact.age(now) > AutonomyDelay {
		return // No write would succeed; each request tries on its own.
	}
	if d := l.Directory(); d != nil {
		for _, b := range d.Budgets {
			if a := l.accounts[b.Account]; a != nil {
				l.declare(a, b.Tokens)
			}
		}
	}
	for _, a := range l.accounts {
		if now.After(a.retry) {
			l.kickKnown(a)
		}
	}
}

// kickAll looks at all grants at once: what was spent while the store was away is written first.
func (l *Ledger) kickAll() {
	now := l.Now()
	for _, a := range l.accounts {
		if a.loaded || now.After(a.retry) {
			l.kickKnown(a)
		}
	}
}

// kickKnown starts the writer of an account of which this router may hold a grant.
func (l *Ledger) kickKnown(a *account) {
	if a.loaded || a.inherited {
		l.kick(a)
	}
}

// Age returns the time since the last answer of the store.
func (l *Ledger) Age() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.contact.age(l.Now())
}

// Reached returns the time since the store last answered any call or turned a heartbeat away at once. It stays short while the
// store refuses all calls, and grows while calls get no answer.
func (l *Ledger) Reached() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if l.contact.reached.IsZero() {
		return l.contact.age(now)
	}
	return min(l.contact.age(now), now.Sub(l.contact.reached))
}

// Trip returns how long the last heartbeat to the store took.
func (l *Ledger) Trip() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.contact.trip
}

// Close gives the unspent parts of all grants back. It is called after the last request has ended.
func (l *Ledger) Close(ctx context.Context) error {
	l.mu.Lock()
	l.stopped = true
	accounts := make([]*account, 0, len(l.accounts))
	for _, a := range l.accounts {
		accounts = append(accounts, a)
	}
	l.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	for _, a := range accounts {
		group.Go(func() error { return l.closeGrant(ctx, a) })
	}
	return group.Wait()
}

// closeGrant ends one grant. Requests that still run are charged at what they may consume.
func (l *Ledger) closeGrant(ctx context.Context, a *account) error {
	for {
		l.mu.Lock()
		if !a.loaded || a.own.Holder != l.Instance || a.own.version == 0 {
			l.mu.Unlock()
			return nil
		}
		next := planned{sum: a.sum}
		next.sum.Granted -= a.own.Amount
		next.sum.Closed += int(min(a.used(), int64(a.own.Amount)))
		own, sum := grantKey(a.name, l.Node), sumKey(a.name)
		w := store.Write{
			Expect: []store.Expect{{Key: own, Version: a.own.version}, {Key: sum, Version: a.sum.version}},
			Puts:   []store.Put{{Key: sum, Value: encode(next.sum.PrepaidSum)}},
			Remove: []store.Key{own},
		}
		a.lower(a.used())
		l.mu.Unlock()
		err := l.commit(a, w, next)
		if err == nil {
			return nil
		}
		if !delay.For(ctx, writeBackoff) {
			return err
		}
	}
}
