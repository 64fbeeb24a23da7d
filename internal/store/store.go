// Package store is the product's view of a transactional row store that feeds changes.
package store

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrUnavailable says that a call failed and nothing was written.
	ErrUnavailable = errors.New("store: unavailable, nothing was written")
	// ErrUnknown says that a call got no answer: a write may have taken effect, or may still do so later.
	ErrUnknown = errors.New("store: no answer, the write may take effect")
	// ErrConflict says that a condition did not hold and nothing was written.
	ErrConflict = errors.New("store: a condition did not hold")
	// ErrHistory says that changes since the requested version are no longer known.
	ErrHistory = errors.New("store: the history is gone")
)

type (
	// Key names a row. Rows of one part are written one transaction after another.
	Key struct {
		Table string
		Part  string
		Name  string
	}

	// Row is one row. Version is zero for a row that does not exist.
	Row struct {
		Key
		Value   []byte
		Version int64
		Deleted bool // In a feed: the row was removed.
	}

	// Expect is the condition that a row has a version. Version zero says that the row does not exist.
	Expect struct {
		Key
		Version int64
	}

	// Put writes a row.
	Put struct {
		Key
		Value []byte
	}

	// Write is an atomic write of rows of one part, or of several if Across is set.
	Write struct {
		Expect []Expect
		Puts   []Put
		Remove []Key
		Across bool
	}

	// Result is the state of the store at the time of a call.
	Result struct {
		Rows    []Row
		Version int64         // Newest version of the store.
		Clock   time.Duration // Steady clock of the store.
	}

	// Store is the row store. All errors wrap one of the package's errors.
	Store interface {
		// Write applies all parts of the write or none. On ErrConflict the result holds the rows of the conditions.
		Write(ctx context.Context, w Write) (Result, error)
		// List returns all rows of a part, as of one moment.
		List(ctx context.Context, table, part string) (Result, error)
		// Row returns one row, or none if it does not exist.
		Row(ctx context.Context, key Key) (Result, error)
		// Feed returns the changed rows of a table after a version. It waits for the first one.
		Feed(ctx context.Context, table string, after int64, wait time.Duration) (Result, error)
	}
)
