package store

import (
	"cmp"
	"context"
	"errors"
	"math"
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
	// neverAge is the age of an event that has not happened.
	neverAge = time.Duration(math.MaxInt64)
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
		Skip   func() bool   // Whether to make no calls for now; optional.
		// Snapshot is read instead of listing the table if there is one that the feed can continue from; optional.
		Snapshot *Snapshot
		Logger   *zerolog.Logger

		lastAnswer    atomic.Pointer[time.Time] // Time of the last answer of the store.
		era           atomic.Int64              // Era of the last answer.
		version       atomic.Int64              // Version of the store up to which the table is known.
		lastFailure   time.Time                 // Time of the last failed call; zero if none failed.
		snapshotStale bool                      // Whether to ignore the snapshot because later changes may be gone.
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
		if version >= 0 && next > version && f.Pause > 0 {
			delay.Sleep(ctx, f.Pause)
		}
		version = next
		f.version.Store(version)
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
	wait := cmp.Or(f.Wait, feedWait)
	ctx, cancel := context.WithTimeout(ctx, wait+feedTimeoutMargin)
	defer cancel()
	result, err := f.Store.Feed(ctx, f.Table, version, wait)
	if err != nil {
		return version, err
	}
	if f.recordEra(result.Era, result.Version) {
		// The feed goes on after a version that the store has passed again, so that changes may be missing.
		f.snapshotStale = true
		return -1, nil
	}
	f.applyResult(result, false, "store")
	return max(result.Version, version), nil
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
