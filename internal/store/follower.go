package store

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"citronslip/internal/delay"
	"citronslip/internal/event"
)

const (
	// feedWait is the default time for which the store may hold a feed call until something changes. A broken connection
	// is detected sooner, by its keep-alive probes.
	feedWait = 4 * time.Second
	// feedTimeoutMargin is the time allowed for the answer in addition to feedWait.
	feedTimeoutMargin = 800 * time.Millisecond
	// listTimeout bounds reading all rows, from the store or from a snapshot.
	listTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the backoff after failed calls, which doubles with each.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// skipCheckInterval is the time between two calls of Follower.Skip while it returns true.
	skipCheckInterval = time.Second
	// boundHoldShare and boundMarginShare are the parts of Follower.Bound for which the store may hold a feed call and for
	// which its answer may take longer. The rest is left for reading the table after a call without an answer.
	boundHoldShare   = 0.7
	boundMarginShare = 0.15
	// minBound is the shortest bound that is kept, which limits the number of calls.
	minBound = 500 * time.Millisecond
	// minBehindPause and maxBehindPause bound the time between two readings of the table because the feed names old
	// versions, if they find nothing. behindMemory is how long a reading that found changes has all others follow at once.
	minBehindPause = time.Second
	maxBehindPause = 30 * time.Second
	behindMemory   = time.Minute
	// neverAge is the age of an event that has not happened.
	neverAge = time.Duration(math.MaxInt64)
)

var (
	// errInterrupted is returned when a feed call was given up so that another one is made.
	errInterrupted = errors.New("store: feed call interrupted")
)

type (
	// Follower reports the rows of a table and then their changes to a function. Set the fields before Run.
	Follower struct {
		Store  Store
		Table  string
		Part   string        // Part of the table that a listing reads; the feed covers the whole table.
		Apply  func(Change)  // Called from Run for all rows and then for each set of changes.
		Newest bool          // Whether only the current rows matter, so that the table is read anew after an outage.
		Wait   time.Duration // Time for which the store may hold a feed call; feedWait if zero.
		Pause  time.Duration // Time to wait after changes before asking for more, which are then delivered together.
		// Bound returns the time within which changes must be reported, whether a feed call hears of them or not; zero if
		// there is none. It is optional.
		Bound func() time.Duration
		// Named is what the answers to all calls of this router have named, which shows a feed that lags behind. It is used if
		// there is a bound; optional.
		Named *Versions
		Skip  func() bool // Whether to make no calls for now; optional.
		// Snapshot is read instead of listing the table if there is one that the feed can continue from; optional.
		Snapshot *Snapshot
		Logger   *zerolog.Logger

		lastAnswer    atomic.Pointer[time.Time] // Time of the last answer of the store.
		era           atomic.Int64              // Era of the last answer.
		version       atomic.Int64              // Version of the store up to which the table is known.
		feedCall      atomic.Pointer[feedCall]  // The feed call in progress, or nil.
		behind        behind
		lastFailure   time.Time // Time of the last failed call; zero if none failed.
		snapshotStale bool      // Whether to ignore the snapshot because later changes may be gone.
	}

	// behind is what is known about a feed that names older versions than other answers.
	behind struct {
		reading bool          // Whether the table is read because of it.
		known   int64         // Version of the table before that.
		foundAt time.Time     // When such a reading last found changes; zero if none has.
		pause   time.Duration // Least time between two such readings.
		readAt  time.Time     // When the last one began.
	}

	// feedCall is a feed call in progress, which can be given up in favour of a new one.
	feedCall struct {
		cancel      context.CancelFunc
		interrupted atomic.Bool
	}

	// Change holds rows of a table that a follower received.
	Change struct {
		Whole   bool // Whether Rows holds all rows of the table, not only those that changed.
		Rows    []Row
		Version int64
		Era     int64 // Era of the store; versions of different eras cannot be compared.
		// Outage is the time since the last failed call, or the largest time.Duration if none failed. It lets Apply
		// distinguish rows that were lost while the store was unreachable from rows that were removed.
		Outage time.Duration
		Source string // Where the rows came from, "store" or "snapshot"; for the log.
	}
)

// Run follows the table until the context ends. It returns nil.
func (f *Follower) Run(ctx context.Context) error {
	version := int64(-1)
	backoff := minBackoff
	down := false
	for ctx.Err() == nil {
		if f.Skip != nil && f.Skip() {
			delay.Sleep(ctx, skipCheckInterval)
			continue
		}
		next, err := f.fetch(ctx, version)
		if errors.Is(err, ErrHistory) {
			event.StoreHistoryTruncated.Log(f.Logger).Str("table", f.Table).Int64("version", version).Send()
			version = -1
			f.snapshotStale = true
			continue
		}
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			f.lastFailure = time.Now()
			if !down {
				down = true
				event.StoreUnreachable.Log(f.Logger).Str("table", f.Table).Int64("version", version).Err(err).Send()
			}
			if f.Newest {
				version = -1 // The feed would deliver every intermediate state.
			}
			delay.Sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		if down {
			down = false
			event.StoreReachable.Log(f.Logger).Str("table", f.Table).Int64("version", next).Send()
		}
		backoff = minBackoff
		f.version.Store(next)
		if version >= 0 && next > version && f.Pause > 0 {
			delay.Sleep(ctx, f.Pause)
		}
		version = next
	}
	return nil
}

// Version returns the store's version up to which the table is known; zero before the first answer.
func (f *Follower) Version() int64 { return f.version.Load() }

// Era returns the era of the last answer of the store; zero before the first one.
func (f *Follower) Era() int64 { return f.era.Load() }

// fetch makes one call and returns the version up to which the table is known. A negative version reads all rows.
func (f *Follower) fetch(ctx context.Context, version int64) (int64, error) {
	if version < 0 {
		return f.readAll(ctx)
	}
	result, err := f.feed(ctx, version)
	if errors.Is(err, errInterrupted) {
		return version, nil
	}
	if err != nil {
		return version, err
	}
	if f.feedIsBehind(result) {
		f.behind.reading, f.behind.known, f.behind.readAt = true, version, time.Now()
		return -1, nil
	}
	if f.recordEra(result.Era, result.Version) {
		// The feed goes on after a version that the store has passed again, so that changes may be missing.
		f.snapshotStale = true
		return -1, nil
	}
	f.applyResult(result, false, "store")
	return max(result.Version, version), nil
}

// feed makes a feed call. The error is errInterrupted if the call was given up.
func (f *Follower) feed(ctx context.Context, version int64) (Result, error) {
	wait, margin := f.feedTimes()
	ctx, cancel := context.WithTimeout(ctx, wait+margin)
	defer cancel()
	call := &feedCall{cancel: cancel}
	f.feedCall.Store(call)
	defer f.feedCall.Store(nil)
	result, err := f.Store.Feed(ctx, f.Table, version, wait)
	if err != nil && call.interrupted.Load() {
		return Result{}, errInterrupted
	}
	return result, err
}

// interrupt makes the follower give up a feed call in progress and make another one at once.
func (f *Follower) interrupt() {
	if call := f.feedCall.Load(); call != nil {
		call.interrupted.Store(true)
		call.cancel()
	}
}

// feedTimes returns for how long the store may hold a feed call, and how much longer its answer may take.
func (f *Follower) feedTimes() (wait, margin time.Duration) {
	wait, margin = cmp.Or(f.Wait, feedWait), feedTimeoutMargin
	bound := f.bound()
	if bound <= 0 {
		return wait, margin
	}
	bound = max(bound, minBound)
	return min(wait, time.Duration(boundHoldShare*float64(bound))), min(margin, time.Duration(boundMarginShare*float64(bound)))
}

// bound returns the time within which changes must be reported, or zero.
func (f *Follower) bound() time.Duration {
	if f.Bound == nil {
		return 0
	}
	return f.Bound()
}

// feedIsBehind reports whether an answer without changes names an older version than other answers did before, so that
// the table is to be read. Where such readings find nothing, as with a store whose feed always names the version at
// which the call began, there are few of them.
func (f *Follower) feedIsBehind(result Result) bool {
	if f.Named == nil || f.bound() <= 0 || len(result.Rows) > 0 || result.Era != f.era.Load() || result.Version >= f.Named.Settled(result.Era) {
		return false
	}
	return time.Since(f.behind.foundAt) < behindMemory || time.Since(f.behind.readAt) >= f.behind.pause
}

// endBehind records what a reading of the table has found that the feed did not tell.
func (f *Follower) endBehind(result Result) {
	if !f.behind.reading {
		return
	}
	f.behind.reading = false
	if !slices.ContainsFunc(result.Rows, func(row Row) bool { return row.Version > f.behind.known }) {
		f.behind.pause = min(max(2*f.behind.pause, minBehindPause), maxBehindPause)
		return
	}
	f.behind.foundAt, f.behind.pause = time.Now(), 0
	event.FeedBehind.Log(f.Logger).Str("table", f.Table).Int64("before", f.behind.known).Int64("version", result.Version).Send()
}

// readAll reads all rows, from the snapshot if there is one that the feed can continue from.
func (f *Follower) readAll(ctx context.Context) (int64, error) {
	if version, ok := f.readSnapshot(ctx); ok {
		return version, nil
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	result, err := f.Store.List(ctx, f.Table, f.Part)
	if err != nil {
		return -1, err
	}
	f.snapshotStale = false
	f.endBehind(result)
	f.applyResult(result, true, "store")
	return result.Version, nil
}

// readSnapshot applies the rows of the snapshot and returns their version. It returns false if there is no usable
// snapshot.
func (f *Follower) readSnapshot(ctx context.Context) (int64, bool) {
	if f.Snapshot == nil || f.snapshotStale {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	result, err := f.Snapshot.Load(ctx)
	if err != nil {
		event.SnapshotFailed.Log(f.Logger).Str("table", f.Table).Err(err).Send()
		return 0, false
	}
	if len(result.Rows) == 0 {
		return 0, false
	}
	f.applyResult(result, true, "snapshot")
	return result.Version, true
}

// recordEra records the era of an answer and reports whether it is a new one.
func (f *Follower) recordEra(era, version int64) bool {
	before := f.era.Load()
	if era <= before {
		return false
	}
	f.era.Store(era)
	if before == 0 {
		return false
	}
	event.StoreRestored.Log(f.Logger).Str("table", f.Table).Int64("before", before).Int64("era", era).Int64("version", version).Send()
	return true
}

// applyResult records the answer and passes its rows to Apply, if there are any or if they are all rows of the table.
func (f *Follower) applyResult(result Result, whole bool, source string) {
	now := time.Now()
	f.lastAnswer.Store(&now)
	f.recordEra(result.Era, result.Version)
	if !whole && len(result.Rows) == 0 {
		return
	}
	outage := neverAge
	if !f.lastFailure.IsZero() {
		outage = now.Sub(f.lastFailure)
	}
	f.Apply(Change{Whole: whole, Rows: result.Rows, Version: result.Version, Era: result.Era, Outage: outage, Source: source})
}

// Age returns the time since the last answer of the store, or the largest time.Duration if there was none.
func (f *Follower) Age() time.Duration {
	lastAnswer := f.lastAnswer.Load()
	if lastAnswer == nil {
		return neverAge
	}
	return time.Since(*lastAnswer)
}
