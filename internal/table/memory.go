package table

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// FaultNone executes the call normally.
	FaultNone Fault = iota
	// FaultRefuse fails the call with ErrUnavailable before it has any effect.
	FaultRefuse
	// FaultLose applies a commit and then fails it with ErrUnknown, as if its answer were lost.
	FaultLose
	// FaultStall blocks the call until its context ends and then fails it with ErrUnknown. It has no effect.
	FaultStall
)

type (
	// Fault is a failure that is injected into a call.
	Fault int

	// Stats counts the work of a Memory.
	Stats struct {
		Commits int64 `json:"commits"` // Commits applied.
		Writes  int64 `json:"writes"`  // Rows written or deleted.
		Reads   int64 `json:"reads"`   // Rows read; a call counts as at least one.
	}

	// Copy is a copy of a Memory at one time.
	Copy struct {
		rows    map[string]Row
		keys    []string
		version uint64
	}

	// Memory is an in-memory Table with fault injection. It is safe for concurrent use. The zero value is an empty
	// table.
	Memory struct {
		// Inject returns the fault for a call, which is "commit", "get" or "scan". Without it no call fails. Set it
		// before first use.
		Inject func(call string) Fault
		// Now is the table's clock, time.Now if nil. Set it before first use.
		Now func() time.Time

		mu      sync.Mutex
		rows    map[string]Row
		keys    []string // Sorted keys of rows.
		version uint64   // Version of the last commit.
		stats   Stats
	}
)

// Copy returns a copy of all rows.
func (m *Memory) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Copy{rows: maps.Clone(m.rows), keys: slices.Clone(m.keys), version: m.version}
}

// Restore goes back to a copy. What was written since is gone, and its versions are used again.
func (m *Memory) Restore(c Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rows, m.keys, m.version = maps.Clone(c.rows), slices.Clone(c.keys), c.version
	if m.rows == nil {
		m.rows = make(map[string]Row)
	}
}

// Stats returns the counts since the table was created.
func (m *Memory) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stats
}

// Commit implements Table.
func (m *Memory) Commit(ctx context.Context, ops []Op) ([]Row, error) {
	fault := m.fault("commit")
	if err := failBefore(ctx, fault); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, op := range ops {
		if !m.conditionHolds(op) {
			return nil, ErrConflict
		}
	}
	m.stats.Commits++
	m.version++
	now := m.now()
	result := make([]Row, 0, len(ops))
	for _, op := range ops {
		result = append(result, m.apply(op, now))
	}
	if fault == FaultLose {
		return nil, ErrUnknown
	}
	return result, nil
}

// Get implements Table.
func (m *Memory) Get(ctx context.Context, key string) (Row, error) {
	if err := failBefore(ctx, m.fault("get")); err != nil {
		return Row{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.Reads++
	row, ok := m.rows[key]
	if !ok {
		return Row{}, ErrNotFound
	}
	row.Value = bytes.Clone(row.Value)
	return row, nil
}

// Scan implements Table.
func (m *Memory) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	if err := failBefore(ctx, m.fault("scan")); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	start := max(prefix, after)
	index := sort.SearchStrings(m.keys, start)
	var result []Row
	for ; index < len(m.keys) && len(result) < limit; index++ {
		key := m.keys[index]
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key == after {
			continue
		}
		row := m.rows[key]
		row.Value = bytes.Clone(row.Value)
		result = append(result, row)
	}
	m.stats.Reads += int64(max(1, len(result)))
	return result, nil
}

// fault returns the fault to inject into a call.
func (m *Memory) fault(call string) Fault {
	if m.Inject == nil {
		return FaultNone
	}
	return m.Inject(call)
}

func (m *Memory) now() time.Time {
	if m.Now == nil {
		return time.Now()
	}
	return m.Now()
}

// conditionHolds reports whether the condition of an op holds. The caller must hold the lock.
func (m *Memory) conditionHolds(op Op) bool {
	row, ok := m.rows[op.Key]
	switch op.Cond {
	case CondAbsent:
		return !ok
	case CondVersion:
		return ok && row.Version == op.Version
	default:
		return true
	}
}

// apply writes or deletes the row of an op and returns it as written. The caller must hold the lock.
func (m *Memory) apply(op Op, now time.Time) Row {
	m.stats.Writes++
	_, exists := m.rows[op.Key]
	index := sort.SearchStrings(m.keys, op.Key)
	if op.Delete {
		if exists {
			delete(m.rows, op.Key)
			m.keys = append(m.keys[:index], m.keys[index+1:]...)
		}
		return Row{Key: op.Key, Version: m.version, Time: now}
	}
	if m.rows == nil {
		m.rows = make(map[string]Row)
	}
	if !exists {
		m.keys = append(m.keys, "")
		copy(m.keys[index+1:], m.keys[index:])
		m.keys[index] = op.Key
	}
	row := Row{Key: op.Key, Version: m.version, Value: bytes.Clone(op.Value), Time: now}
	m.rows[op.Key] = row
	return row
}

// failBefore injects the faults that prevent a call's effect. A stall fails with ErrUnknown, because a caller cannot
// distinguish it from a lost answer.
func failBefore(ctx context.Context, fault Fault) error {
	if ctx.Err() != nil {
		return ErrUnavailable
	}
	switch fault {
	case FaultRefuse:
		return ErrUnavailable
	case FaultStall:
		<-ctx.Done()
		return ErrUnknown
	default:
		return nil
	}
}
