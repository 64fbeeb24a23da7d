// Package table is the client of the platform's transactional table service, with an in-memory table for tests and test
// doubles.
package table

import (
	"context"
	"errors"
	"time"
)

const (
	// CondNone applies the Op unconditionally.
	CondNone Condition = iota
	// CondAbsent applies the Op only if the row does not exist.
	CondAbsent
	// CondVersion applies the Op only if the row has the version given in the Op.
	CondVersion
)

var (
	// ErrConflict is returned when the condition of an Op does not hold. Nothing was written.
	ErrConflict = errors.New("table: condition not met")
	// ErrUnavailable is returned when the service does not accept a call or a read fails. Nothing was written.
	ErrUnavailable = errors.New("table: unavailable")
	// ErrUnknown is returned when the answer to a commit is lost. The commit may or may not have taken effect.
	ErrUnknown = errors.New("table: outcome unknown")
	// ErrNotFound is returned when the row does not exist.
	ErrNotFound = errors.New("table: no such row")
)

type (
	// Condition is the condition on which an Op is applied.
	Condition int

	// Row is one row of the table.
	Row struct {
		Key     string    `json:"key"`
		Version uint64    `json:"version"` // Set by the table; each commit has a higher one.
		Value   []byte    `json:"value"`
		Time    time.Time `json:"time"` // Commit time, by the table's clock.
	}

	// Op puts or deletes one row if its condition holds. Without a condition, deleting a row that does not exist
	// succeeds.
	Op struct {
		Key     string    `json:"key"`
		Value   []byte    `json:"value,omitempty"`
		Delete  bool      `json:"delete,omitempty"` // Deletes the row instead of putting Value.
		Cond    Condition `json:"cond,omitempty"`
		Version uint64    `json:"version,omitempty"` // Expected version of the row for CondVersion.
	}

	// Table is the platform's transactional table service.
	Table interface {
		// Commit applies all ops atomically, or none of them. It returns the written rows in the order of the ops, or
		// ErrConflict, ErrUnavailable or ErrUnknown.
		Commit(ctx context.Context, ops []Op) ([]Row, error)
		// Get returns one row, or ErrNotFound or ErrUnavailable.
		Get(ctx context.Context, key string) (Row, error)
		// Scan returns up to limit rows whose key has the prefix and is greater than after, in the order of the keys.
		// To read the next page, pass the last key as after.
		Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	}
)
