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
	// heartbeatInterval is the time between two heartbeats, writes of this router's heartbeat row.
	heartbeatInterval = 500 * time.Millisecond
	// maxRejectionLatency is the time below which a failed call counts as rejected by the store rather than lost in the
	// network.
	maxRejectionLatency = 200 * time.Millisecond
	// startupRetryInterval is the time between two attempts to read the rows that are needed at the start.
	startupRetryInterval = 100 * time.Millisecond
	// inheritedReturnSpacing times the number of routers is the window over which the routers spread the return of the
	// grants that their dead processes left and that no request waits for.
	inheritedReturnSpacing = 20 * time.Millisecond
)

type (
	// storeStatus is the state of the connection to the store. Clock values are those of the store's monotonic clock.
	storeStatus struct {
		answeredAt       time.Time                       // When the newest answer arrived, also through another router.
		directAt         time.Time                       // When the newest answer without another router arrived.
		storeClock       time.Duration                   // Latest store clock in an answer.
		heartbeatLatency time.Duration                   // How long the last heartbeat took, answered or not.
		reachedAt        time.Time                       // When the store last answered a heartbeat or rejected it at once.
		startClock       time.Duration                   // Upper bound of the store clock at the start of this process.
		provenClock      time.Duration                   // Store clock until which spending stayed within the opened parts of all grants.
		predecessor      wire.PrepaidAlive               // Heartbeat row of the previous process of this router.
		predecessorRead  bool                            // Whether the rows of the previous process were read.
		provedAt         time.Time                       // When a row with a proof was last written.
		proofs           map[string][]*wire.PrepaidProof // Proofs in rows of earlier processes of this router, by holder.
		era              int64                           // Era of the latest answer.
		failedAt         time.Time                       // When a call last failed; zero once a later call was answered.
		restoredAt       time.Time                       // When this process noticed that the store had come back from an older copy; zero if it has not.
	}
)

// recordAnswer records an answer of the store with its clock. sent is when the call was sent, started when this process
// started. The caller holds the lock.
func (s *storeStatus) recordAnswer(sent, now time.Time, clock time.Duration, started time.Time) {
	if s.answeredAt.IsZero() {
		// The store read its clock after the call was sent, so this is not before the actual start.
		s.startClock = clock - sent.Sub(started)
	}
	s.answeredAt = now
	if !sent.Before(s.failedAt) {
		s.failedAt = time.Time{}
	}
	s.storeClock = max(s.storeClock, clock)
}

// mayBeRestored reports whether the store may have come back from an older copy since its last answer: a call has failed
// since, or a heartbeat should have been answered.
func (s *storeStatus) mayBeRestored(now time.Time) bool {
	return !s.failedAt.IsZero() || s.age(now) > heartbeatInterval+maxRejectionLatency
}

// age returns the time since the last answer of the store. Before the first answer it is AutonomyDelay.
func (s *storeStatus) age(now time.Time) time.Duration {
	if s.answeredAt.IsZero() {
		return AutonomyDelay
	}
	return now.Sub(s.answeredAt)
}

// directAge returns the time since the last answer of the store that came without another router.
func (s *storeStatus) directAge(now time.Time) time.Duration {
	if s.directAt.IsZero() {
		return AutonomyDelay
	}
	return now.Sub(s.directAt)
}

// autonomous reports whether this router may spend more than the opened parts of its grants.
func (s *storeStatus) autonomous(now time.Time) bool {
	return !s.answeredAt.IsZero() && now.Sub(s.answeredAt) >= AutonomyDelay
}

// Run keeps the grants, this router's heartbeat and the membership view up to date until the context ends. It reserves
// no tokens before it has read the heartbeat row of the previous process.
func (l *Ledger) Run(ctx context.Context) error {
	l.readStartupRows(ctx)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { delay.RepeatNow(ctx, heartbeatInterval, func() { l.writeHeartbeat(ctx) }); return nil })
	group.Go(func() error { return l.runMembership(ctx) })
	group.Go(func() error { delay.RepeatNow(ctx, grantCheckInterval, l.checkGrants); return nil })
	budgetRows := &store.Follower{
		Store: l.Store, Table: budgetTable, Apply: l.applyBudgetRows, Pause: budgetReadInterval,
		Skip: l.isLargeFleet, Logger: l.Logger,
	}
	group.Go(func() error { return budgetRows.Run(ctx) })
	group.Go(func() error { delay.RepeatNow(ctx, budgetReadInterval, func() { l.readBudgetRows(ctx) }); return nil })
	group.Go(func() error { delay.RepeatNow(ctx, relayProbeInterval, func() { l.probeStore(ctx) }); return nil })
	return group.Wait()
}

// readStartupRows reads the membership view and the heartbeat row of the previous process, and retries until both
// succeed. No grant is taken over before that, because the heartbeat row shows how much that process can have spent.
func (l *Ledger) readStartupRows(ctx context.Context) {
	for ctx.Err() == nil {
		if l.readView(ctx) == nil && l.readPredecessor(ctx) == nil {
			l.readProofs(ctx)
			l.inheritGrants()
			return
		}
		delay.Sleep(ctx, startupRetryInterval)
	}
}

// readPredecessor reads the heartbeat row of the previous process.
func (l *Ledger) readPredecessor(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	sent := l.Now()
	result, err := l.Store.Row(ctx, heartbeatKey(l.Node))
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		return err
	}
	l.recordDirectAnswer(sent, result)
	for _, row := range result.Rows {
		if err := decode(row, &l.storeStatus.predecessor); err != nil {
			event.PrepaidRowInvalid.Log(l.Logger).Err(err).Send()
		}
	}
	return nil
}

// inheritGrants marks the grants that the previous process may have left and starts the writers of the accounts for which
// requests wait.
func (l *Ledger) inheritGrants() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeStatus.predecessorRead = true
	for _, name := range l.storeStatus.predecessor.Accounts {
		l.markInherited(l.accountByName(name))
	}
	for _, a := range l.accounts {
		if len(a.waiters) > 0 {
			l.startWriter(a)
		}
	}
}

// markInherited records that the previous process may have left a grant. Where a few routers hold the grants of an
// account, the others return what they find after a random delay, so that many that start at once do not compete for
// the budget row.
func (l *Ledger) markInherited(a *account) {
	a.inherited = true
	if !l.isHolder(a) {
		a.idleRetryAt = l.Now().Add(rand.N(time.Duration(l.membership.count()) * inheritedReturnSpacing))
	}
}

// writeHeartbeat writes this router's heartbeat row. When the store answers again after an outage, it starts the
// writers of all grants.
func (l *Ledger) writeHeartbeat(ctx context.Context) {
	l.mu.Lock()
	if l.withinOpenedParts() {
		l.storeStatus.provenClock = l.storeStatus.storeClock
	}
	row := wire.PrepaidAlive{
		Holder: l.Instance, Address: l.Address, Clock: int(l.storeStatus.provenClock.Milliseconds()), Accounts: l.heldAccounts(),
		Proof: l.proof(),
	}
	wasUnreachable := l.storeStatus.age(l.Now()) > storeUnreachableAge
	isDirect := l.relay.address == ""
	l.mu.Unlock()
	w := store.Write{Puts: []store.Put{{Key: heartbeatKey(l.Node), Value: encode(row)}}}
	err := l.sendHeartbeat(ctx, w, isDirect)
	if err != nil {
		err = l.searchRelay(ctx, w)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.logAutonomyChange(false)
		l.renewProof()
		return
	}
	l.storeStatus.provedAt = l.Now()
	l.logAutonomyChange(true)
	if wasUnreachable {
		l.backoff.reset()
		l.startAllWriters()
	}
}

// sendHeartbeat sends the heartbeat, and records how long that took if it went to the store without another router.
func (l *Ledger) sendHeartbeat(ctx context.Context, w store.Write, isDirect bool) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	sent := l.Now()
	_, err := l.write(ctx, w)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.storeStatus.failedAt = l.Now()
	}
	if !isDirect {
		return err
	}
	l.storeStatus.heartbeatLatency = l.Now().Sub(sent)
	if err == nil || l.storeStatus.heartbeatLatency < maxRejectionLatency {
		l.storeStatus.reachedAt = l.Now()
	}
	return err
}

// heldAccounts returns the names of the accounts for which this router holds a grant or an earlier process of it may
// have left one.
func (l *Ledger) heldAccounts() []string {
	var result []string
	for _, a := range l.accounts {
		if a.grant.version != 0 || a.inherited && !a.loaded {
			result = append(result, a.name)
		}
	}
	slices.Sort(result)
	return result
}

// logAutonomyChange logs when this router becomes autonomous and when it no longer is. answered tells whether the store
// answered the last heartbeat.
func (l *Ledger) logAutonomyChange(answered bool) {
	autonomous := !answered && l.storeStatus.autonomous(l.Now())
	if autonomous == l.loggedAutonomous {
		return
	}
	l.loggedAutonomous = autonomous
	logEvent := event.AutonomyEnded
	if autonomous {
		logEvent = event.AutonomyStarted
	}
	logEvent.Log(l.Logger).Dur("age", l.storeStatus.age(l.Now())).Send()
}

// checkGrants starts the writers of the grants that this router holds and of those that an earlier process left, and
// expires reservations for other routers.
func (l *Ledger) checkGrants() {
	l.expireLentReservations()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if l.storeStatus.age(now) > AutonomyDelay {
		return // Writes would fail. A request that waits for tokens starts a writer itself.
	}
	for _, a := range l.accounts {
		l.applyTotal(a)
		if now.After(a.idleRetryAt) {
			l.startWriterIfGranted(a)
		}
	}
}

// startAllWriters starts the writers of all grants at once, without the retry delay of accounts whose rows were read:
// the tokens spent while the store was unreachable are to be recorded first. The caller holds the lock.
func (l *Ledger) startAllWriters() {
	now := l.Now()
	for _, a := range l.accounts {
		if a.loaded || now.After(a.idleRetryAt) {
			l.startWriterIfGranted(a)
		}
	}
}

// startWriterIfGranted starts the writer of an account if this router may hold a grant of it. The caller holds the
// lock.
func (l *Ledger) startWriterIfGranted(a *account) {
	if a.loaded || a.inherited || a.wasTold() && l.recentlyRestored() {
		l.startWriter(a)
	}
}

// StoreAge returns the time since the last answer of the store that came without another router, or AutonomyDelay before the
// first one.
func (l *Ledger) StoreAge() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.storeStatus.directAge(l.Now())
}

// StoreClock returns an estimate of the store's clock, or zero before the first answer.
func (l *Ledger) StoreClock() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.storeStatus.answeredAt.IsZero() {
		return 0
	}
	return l.storeStatus.storeClock + l.Now().Sub(l.storeStatus.answeredAt)
}

// TimeSinceReached returns the time since the store last answered any call or rejected a heartbeat at once. It stays
// short while the store refuses all calls, and grows while calls get no answer.
func (l *Ledger) TimeSinceReached() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if l.storeStatus.reachedAt.IsZero() {
		return l.storeStatus.directAge(now)
	}
	return min(l.storeStatus.directAge(now), now.Sub(l.storeStatus.reachedAt))
}

// HeartbeatLatency returns how long the last heartbeat to the store took, whether it was answered or not.
func (l *Ledger) HeartbeatLatency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.storeStatus.heartbeatLatency
}

// Close ends all grants and returns their unspent tokens to the budgets. Call it after the last request has ended. It
// returns the error of the last write of a grant that could not be ended before the context was done.
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

// closeGrant ends one grant and retries until that succeeds or the context ends. Requests still in progress are charged
// their whole reservation.
func (l *Ledger) closeGrant(ctx context.Context, a *account) error {
	for {
		l.mu.Lock()
		if !a.loaded || a.grant.Holder != l.Instance || a.grant.version == 0 {
			l.mu.Unlock()
			return nil
		}
		if a.era != l.storeStatus.era || l.storeStatus.mayBeRestored(l.Now()) {
			if err := l.reconcileNow(ctx, a); err != nil {
				return err
			}
			continue
		}
		next := plannedRows{budget: a.budget, era: a.era, unansweredBefore: a.unanswered}
		l.countWrite(&next.budget, int(min(a.used(), int64(a.grant.Amount))), -a.grant.Amount)
		grantRow, budgetRow := grantKey(a.name, l.Node), budgetKey(a.name)
		w := store.Write{
			Expect: []store.Condition{{Key: grantRow, Version: a.grant.version}, {Key: budgetRow, Version: a.budget.version}},
			Puts:   []store.Put{{Key: budgetRow, Value: encode(next.budget.PrepaidSum)}},
			Remove: []store.Key{grantRow},
		}
		l.lowerSpendCap(a, a.used(), a.used())
		next.unanswered = a.unanswered
		l.mu.Unlock()
		err := l.commit(a, w, next)
		if err == nil {
			return nil
		}
		if !delay.Sleep(ctx, minWriteBackoff) {
			return err
		}
	}
}
