package store

import (
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
	// feedWait is how long the store may hold a call until something changes. A connection that falls silent is noticed
	// sooner, by its keep-alive probes.
	feedWait = 4 * time.Second
	// feedMargin is the time for the answer beyond the wait.
	feedMargin = 800 * time.Millisecond
	// listTime bounds a listing.
	listTime = 2 * time.Second
	// leastBackoff and mostBackoff bound the wait after a failed call.
	leastBackoff = 50 * time.Millisecond
	mostBackoff  = 400 * time.Millisecond
	// skipInterval is the time after which a follower that makes no calls looks whether it is to make some.
	skipInterval = time.Second
	// never is the age of what has not happened.
	never = time.Duration(math.MaxInt64)
)

type (
	// Follower keeps up with the rows of a table. Set the fields before Run.
	Follower struct {
		Store  Store
		Table  string
		Part   string
		Apply  func(Change)
		Newest bool          // Whether only the newest state counts, so that the table is read anew after an outage.
		Pause  time.Duration // Time between two changes that are taken; changes in between come together.
		Skip   func() bool   // Whether no calls are to be made now; optional.
		// Snapshot is read in place of all rows where there is one that the feed can go on from; optional.
		Snapshot *Snapshot
		Logger   *zerolog.Logger

		seen    atomic.Pointer[time.Time] // Time of the last answer.
		version atomic.Int64              // Up to which the table is known.
		lost    time.Time                 // Time of the last failure.
		stale   bool                      // Whether the snapshot was too old when it was last read.
	}

	// Change is what a follower learned.
	Change struct {
		Whole   bool // Rows are all rows of the table, not those that changed.
		Rows    []Row
		Version int64
		// Outage is the time since the last failed call, so that rows that went while the store was away can be told
		// from those that were removed.
		Outage time.Duration
		Source string // Where the rows come from, for the log.
	}
)

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	version := int64(-1)
	wait := leastBackoff
	down := false
	for ctx.Err() == nil {
		if f.Skip != nil && f.Skip() {
			delay.For(ctx, skipInterval)
			continue
		}
		next, err := f.step(ctx, version)
		if errors.Is(err, ErrHistory) {
			event.StoreHistory.Log(f.Logger).Str("table", f.Table).Int64("version", version).Send()
			version = -1
			f.stale = true
			continue
		}
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			f.lost = time.Now()
			if !down {
				down = true
				event.StoreLost.Log(f.Logger).Str("table", f.Table).Int64("version", version).Err(err).Send()
			}
			if f.Newest {
				version = -1 // The feed would repeat each state in between.
			}
			delay.For(ctx, wait)
			wait = min(2*wait, mostBackoff)
			continue
		}
		if down {
			down = false
			event.StoreRegained.Log(f.Logger).Str("table", f.Table).Int64("version", next).Send()
		}
		wait = leastBackoff
		if version >= 0 && next > version && f.Pause > 0 {
			delay.For(ctx, f.Pause)
		}
		version = next
		f.version.Store(version)
	}
	return nil
}

// Version returns the version of the store up to which the table is known.
func (f *Follower) Version() int64 { return f.version.Load() }

// step makes one call and returns the version up to which the table is known.
func (f *Follower) step(ctx context.Context, version int64) (int64, error) {
	if version < 0 {
		return f.read(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, feedWait+feedMargin)
	defer cancel()
	result, err := f.Store.Feed(ctx, f.Table, version, feedWait)
	if err != nil {
		return version, err
	}
	f.take(result, false, "store")
	return max(result.Version, version), nil
}

// read takes all rows, from the snapshot if there is one that the feed can go on from.
func (f *Follower) read(ctx context.Context) (int64, error) {
	if version, ok := f.readSnapshot(ctx); ok {
		return version, nil
	}
	ctx, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	result, err := f.Store.List(ctx, f.Table, f.Part)
	if err != nil {
		return -1, err
	}
	f.stale = false
	f.take(result, true, "store")
	return result.Version, nil
}

func (f *Follower) readSnapshot(ctx context.Context) (int64, bool) {
	if f.Snapshot == nil || f.stale {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	result, err := f.Snapshot.Load(ctx)
	if err != nil {
		event.SnapshotFault.Log(f.Logger).Str("table", f.Table).Err(err).Send()
		return 0, false
	}
	if len(result.Rows) == 0 {
		return 0, false
	}
	f.take(result, true, "snapshot")
	return result.Version, true
}

func (f *Follower) take(result Result, whole bool, source string) {
	now := time.Now()
	f.seen.Store(&now)
	if !whole && len(result.Rows) == 0 {
		return
	}
	outage := never
	if !f.lost.IsZero() {
		outage = now.Sub(f.lost)
	}
	f.Apply(Change{Whole: whole, Rows: result.Rows, Version: result.Version, Outage: outage, Source: source})
}

// Age returns the time since the last answer of the store.
func (f *Follower) Age() time.Duration {
	seen := f.seen.Load()
	if seen == nil {
		return never
	}
	return time.Since(*seen)
}
