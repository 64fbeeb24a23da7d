package budget

import (
	"context"
	"errors"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/board"
	"citronslip/internal/event"
	"citronslip/pkg/inventory"
)

const (
	// shardCount is the number of map shards, each with a lock of its own; 64 avoid contention between ten cores.
	shardCount = 64
	// GrantRetryDelay is the retry delay of a refused request while the table has tokens left: the time in which the
	// controller usually fetches them.
	GrantRetryDelay = time.Second
	// settleRetryDelay is the retry delay of a refused request when the table has no more tokens but requests are
	// running: they return what they do not use.
	settleRetryDelay = 5 * time.Second
	// DefaultAutonomyDelay is the autonomy delay: the time without a confirmation from the table after which the whole
	// granted amount may be spent instead of the normal limit.
	DefaultAutonomyDelay = 2 * time.Minute
)

type (
	// Ledger reserves and settles tokens of the grants of this router. It is safe for concurrent use. Set the fields
	// before first use.
	Ledger struct {
		Declared *board.Cell[Declarations] // Budgets of the configuration in force.
		Autonomy time.Duration             // Autonomy delay, DefaultAutonomyDelay if 0.
		Now      func() time.Time          // Clock with a monotonic reading, time.Now if nil.
		Logger   *zerolog.Logger           // No log if nil.
		Scope    tally.Scope               // No metrics if nil.

		once          sync.Once
		hashSeed      maphash.Seed
		shards        [shardCount]shard
		lastEntryID   atomic.Uint64             // Source of the lockOrder of entries.
		lastConfirmed atomic.Pointer[time.Time] // Receipt of the table's last confirmation; nil before the first.
		wake          chan struct{}             // Holds one signal for the controller to step early.
		stepDone      board.Cell[struct{}]      // Stored after each step of the controller.
		refused       tally.Counter
		exceeded      tally.Counter
	}

	// shard is one part of the map from budgets to entries.
	shard struct {
		mu      sync.RWMutex
		entries map[Key]*entry
		_       [32]byte // Keeps neighbouring locks on separate cache lines.
	}
)

// Reserve reserves the bound in all named budgets or in none. The error is an *ExhaustedError, an *UnknownError, or
// ErrInvalidReservation.
func (l *Ledger) Reserve(keys []Key, bound inventory.Tokens) (Reservation, error) {
	l.once.Do(l.init)
	if bound < 0 || len(keys) == 0 {
		return Reservation{}, trace.Wrap(ErrInvalidReservation)
	}
	r := &reservation{bound: bound}
	for {
		if err := l.collectEntries(r, keys); err != nil {
			return Reservation{}, err
		}
		if r.lock() {
			break
		}
		r.count, r.overflow = 0, nil
	}
	defer r.unlock()
	if err := l.checkLimits(r); err != nil {
		return Reservation{}, err
	}
	for i := range r.count {
		r.entry(i).reserved += bound
	}
	return Reservation{state: r}, nil
}

// ReserveWait reserves like Reserve. While the table may have tokens left, it retries after each step of the controller
// until the context ends, and then returns the last refusal.
func (l *Ledger) ReserveWait(ctx context.Context, keys []Key, bound inventory.Tokens) (Reservation, error) {
	for {
		_, stepped := l.stepDone.Watch()
		r, err := l.Reserve(keys, bound)
		var exhausted *ExhaustedError
		if !errors.As(err, &exhausted) || exhausted.Retry != GrantRetryDelay {
			return r, err
		}
		select {
		case <-ctx.Done():
			return r, err
		case <-stepped:
		}
	}
}

// Settle replaces the reserved bound by the actual usage. Only the first call for a reservation has an effect. Usage
// above the bound is counted in full and logged.
func (l *Ledger) Settle(r Reservation, used inventory.Tokens) {
	if r.state == nil || !r.state.settled.CompareAndSwap(false, true) {
		return
	}
	used = max(0, used)
	for i := range r.state.count {
		r.state.entry(i).settle(r.state.bound, used)
	}
	if used > r.state.bound {
		l.logExcess(r.state, used)
	}
}

// Available returns the tokens that can be reserved in a budget at this router now.
func (l *Ledger) Available(key Key) inventory.Tokens {
	l.once.Do(l.init)
	e := l.find(key)
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.remaining(l.effectiveLimit(e))
}

// MayFit reports whether a bound fits in a budget: into the tokens at this router, or together with those that the table
// had left when it was last read.
func (l *Ledger) MayFit(key Key, bound inventory.Tokens) bool {
	l.once.Do(l.init)
	e := l.find(key)
	if e == nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.remaining(l.effectiveLimit(e))+e.tableFree >= bound
}

func (l *Ledger) init() {
	l.hashSeed = maphash.MakeSeed()
	l.wake = make(chan struct{}, 1)
	for i := range l.shards {
		l.shards[i].entries = make(map[Key]*entry)
	}
	scope := l.Scope
	if scope == nil {
		scope = tally.NoopScope
	}
	l.refused = scope.Counter("refused")
	l.exceeded = scope.Counter("exceeded")
}

// collectEntries adds the entries of the keys to the reservation in the order of locking.
func (l *Ledger) collectEntries(r *reservation, keys []Key) error {
	for _, key := range keys {
		e, err := l.findOrAdd(key)
		if err != nil {
			return err
		}
		r.insert(e)
	}
	return nil
}

// checkLimits returns an *ExhaustedError for the budget with the fewest tokens left if any budget has too few. It
// counts refused bounds as demand and wakes the controller. The caller must hold the locks.
func (l *Ledger) checkLimits(r *reservation) error {
	var tightest *entry
	var minLeft inventory.Tokens
	for i := range r.count {
		e := r.entry(i)
		e.largestBound = max(e.largestBound, r.bound)
		if e.remaining(e.normalLimit) >= r.bound {
			continue
		}
		left := e.remaining(l.effectiveLimit(e))
		if left >= r.bound {
			continue
		}
		e.demand += r.bound
		e.largestRefused = max(e.largestRefused, r.bound)
		if e.smallestRefused == 0 || r.bound < e.smallestRefused {
			e.smallestRefused = r.bound
		}
		if tightest == nil || left < minLeft {
			tightest, minLeft = e, left
		}
	}
	if tightest == nil {
		return nil
	}
	l.refused.Inc(1)
	l.wakeController()
	return &ExhaustedError{Key: tightest.key, Left: minLeft, Smaller: minLeft+tightest.tableFree > 0,
		Retry: retryAfter(tightest)}
}

// effectiveLimit returns the limit in force. The caller must hold the lock: the controller records a confirmation
// before it takes the lock to write a row, so a reservation above the normal limit is either visible to it or not made.
func (l *Ledger) effectiveLimit(e *entry) inventory.Tokens {
	if e.granted > e.normalLimit && l.autonomous() {
		return e.granted
	}
	return e.normalLimit
}

// autonomous reports whether the last confirmation from the table is older than the autonomy delay.
func (l *Ledger) autonomous() bool {
	last := l.lastConfirmed.Load()
	return last != nil && l.now().Sub(*last) > l.autonomy()
}

// autonomy returns the autonomy delay.
func (l *Ledger) autonomy() time.Duration {
	if l.Autonomy == 0 {
		return DefaultAutonomyDelay
	}
	return l.Autonomy
}

func (l *Ledger) now() time.Time {
	if l.Now == nil {
		return time.Now()
	}
	return l.Now()
}

// wakeController makes the controller step early.
func (l *Ledger) wakeController() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// find returns the entry of a budget, or nil if there is none.
func (l *Ledger) find(key Key) *entry {
	s := l.shard(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.entries[key]
}

// findOrAdd returns the entry of a declared budget, and adds it if there is none.
func (l *Ledger) findOrAdd(key Key) (*entry, error) {
	if e := l.find(key); e != nil {
		return e, nil
	}
	if l.Declared == nil {
		return nil, &UnknownError{Key: key}
	}
	declared := l.Declared.Load()
	if declared == nil {
		return nil, &UnknownError{Key: key}
	}
	if _, ok := declared.Budgets[key]; !ok {
		return nil, &UnknownError{Key: key}
	}
	return l.add(key), nil
}

// add adds the entry of a budget unless another caller has added it first.
func (l *Ledger) add(key Key) *entry {
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[key]; e != nil {
		return e
	}
	e := &entry{key: key, lockOrder: l.lastEntryID.Add(1)}
	s.entries[key] = e
	return e
}

// remove deletes an entry without a grant, reservations, unreported usage or refused bounds. It returns false if the
// entry is still needed.
func (l *Ledger) remove(e *entry) bool {
	s := l.shard(e.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.granted != 0 || e.spent != 0 || e.reserved != 0 || e.largestRefused != 0 {
		return false
	}
	e.removed = true
	delete(s.entries, e.key)
	return true
}

// entries returns all entries, in no order.
func (l *Ledger) entries() []*entry {
	l.once.Do(l.init)
	var result []*entry
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.RLock()
		for _, e := range s.entries {
			result = append(result, e)
		}
		s.mu.RUnlock()
	}
	return result
}

// shard returns the shard that holds the entry of a budget.
func (l *Ledger) shard(key Key) *shard {
	return &l.shards[maphash.Comparable(l.hashSeed, key)%shardCount]
}

// logExcess counts and logs usage above the reserved bound.
func (l *Ledger) logExcess(r *reservation, used inventory.Tokens) {
	l.exceeded.Inc(1)
	if l.Logger == nil {
		return
	}
	for i := range r.count {
		key := r.entry(i).key
		event.ReservationExceeded.Log(l.Logger).Str("account", key.Account).Str("budget", key.Budget).
			Int64("bound", int64(r.bound)).Int64("used", int64(used)).Send()
	}
}

// retryAfter returns the delay after which a retry can succeed, 0 if only a top-up can help. The caller must hold the
// lock.
func retryAfter(e *entry) time.Duration {
	switch {
	case !e.exhausted:
		return GrantRetryDelay
	case e.reserved > 0:
		return settleRetryDelay
	default:
		return 0
	}
}
