package store

import (
	"context"
	"sync"
	"time"
)

const (
	// settleTime is the age from which a version that an answer has named is compared with that of a feed. Answers of calls
	// in flight at the same time may overtake each other.
	settleTime = 200 * time.Millisecond
	// minNamedInterval is the least time between two versions that are kept, which bounds their number.
	minNamedInterval = 20 * time.Millisecond
)

type (
	// Versions is a Store that passes calls on to another one, and remembers the newest versions that answers have named.
	// Set Store before the first call.
	Versions struct {
		Store Store

		mu    sync.Mutex
		era   int64
		named []namedVersion // Oldest first; the first one is the only one older than settleTime.
	}

	// namedVersion is a version and the time of the first answer that named it or a newer one.
	namedVersion struct {
		version int64
		at      time.Time
	}
)

// Settled returns the newest version of an era that an answer named at least settleTime ago, or zero if there is none.
func (v *Versions) Settled(era int64) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.era != era {
		return 0
	}
	v.dropOld(time.Now())
	if len(v.named) == 0 || time.Since(v.named[0].at) < settleTime {
		return 0
	}
	return v.named[0].version
}

// Write implements Store.
func (v *Versions) Write(ctx context.Context, w Write) (Result, error) {
	return v.record(v.Store.Write(ctx, w))
}

// List implements Store.
func (v *Versions) List(ctx context.Context, table, part string) (Result, error) {
	return v.record(v.Store.List(ctx, table, part))
}

// Row implements Store.
func (v *Versions) Row(ctx context.Context, key Key) (Result, error) {
	return v.record(v.Store.Row(ctx, key))
}

// Feed implements Store.
func (v *Versions) Feed(ctx context.Context, table string, after int64, wait time.Duration) (Result, error) {
	return v.record(v.Store.Feed(ctx, table, after, wait))
}

// record remembers the version of an answer. Failed calls have none but for conflicts.
func (v *Versions) record(result Result, err error) (Result, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if result.Version == 0 || result.Era < v.era {
		return result, err
	}
	now := time.Now()
	if result.Era > v.era {
		v.era, v.named = result.Era, nil
	}
	v.dropOld(now)
	if n := len(v.named); n == 0 || result.Version > v.named[n-1].version && now.Sub(v.named[n-1].at) >= minNamedInterval {
		v.named = append(v.named, namedVersion{result.Version, now})
	}
	return result, err
}

// dropOld drops versions before the newest one that is older than settleTime. The caller holds the lock.
func (v *Versions) dropOld(now time.Time) {
	for len(v.named) > 1 && now.Sub(v.named[1].at) >= settleTime {
		v.named = v.named[1:]
	}
}
