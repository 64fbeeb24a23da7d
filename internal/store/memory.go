package store

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// NoFault executes the call normally.
	NoFault Fault = iota
	// RefuseCall fails the call at once with ErrUnavailable, without executing it.
	RefuseCall
	// LoseCall drops the call: it is not executed, and fails with ErrUnknown when its context ends.
	LoseCall
	// LoseAnswer executes a write but drops the answer: it fails with ErrUnknown when its context ends.
	LoseAnswer
	// DelayCall drops the answer like LoseAnswer and executes the write after Memory.Delay, if its conditions hold
	// then.
	DelayCall
)

type (
	// Fault is a fault that is injected into a call.
	Fault int

	// Memory is a Store in memory with fault injection, for tests and demonstrations. Set the fields before the first
	// call.
	Memory struct {
		// Fault, if set, chooses the fault for each call. The argument reports whether the call writes.
		Fault func(write bool) Fault
		Delay time.Duration // Delay before the write of a DelayCall is executed.

		mu           sync.Mutex
		start        time.Time // Time of the first call, from which Result.Clock counts.
		rows         map[Key]Row
		history      []Row // Changes, oldest first.
		historyStart int64 // Version up to which changes were dropped from the history.
		version      int64
		restores     int64         // How often Restore was called.
		changed      chan struct{} // Closed at the next change; nil if no feed waits.
	}

	// Copy is a copy of a Memory at one time.
	Copy struct {
		rows    map[Key]Row
		version int64
	}
)

// Write applies a write, subject to faults.
func (m *Memory) Write(ctx context.Context, w Write) (Result, error) {
	switch m.nextFault(true) {
	case RefuseCall:
		return Result{}, ErrUnavailable
	case LoseCall:
		<-ctx.Done()
		return Result{}, ErrUnknown
	case LoseAnswer:
		_, _ = m.apply(w) // The answer is lost.
		<-ctx.Done()
		return Result{}, ErrUnknown
	case DelayCall:
		time.AfterFunc(m.Delay, func() { _, _ = m.apply(w) })
		<-ctx.Done()
		return Result{}, ErrUnknown
	}
	return m.apply(w)
}

// WriteDirect applies a write without faults, like a write by another client of the store.
func (m *Memory) WriteDirect(w Write) error {
	_, err := m.apply(w)
	return err
}

// List returns the rows of a part, sorted by name.
func (m *Memory) List(ctx context.Context, table, part string) (Result, error) {
	if err := m.readFault(ctx); err != nil {
		return Result{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	result := m.currentResult()
	for key, row := range m.rows {
		if key.Table == table && key.Part == part {
			result.Rows = append(result.Rows, row)
		}
	}
	slices.SortFunc(result.Rows, func(a, b Row) int { return strings.Compare(a.Name, b.Name) })
	return result, nil
}

// Row returns one row, or no rows if it does not exist.
func (m *Memory) Row(ctx context.Context, key Key) (Result, error) {
	if err := m.readFault(ctx); err != nil {
		return Result{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	result := m.currentResult()
	if row, ok := m.rows[key]; ok {
		result.Rows = append(result.Rows, row)
	}
	return result, nil
}

// Feed returns the changes of a table after a version. It waits up to the given time for the first change.
func (m *Memory) Feed(ctx context.Context, table string, after int64, wait time.Duration) (Result, error) {
	if err := m.readFault(ctx); err != nil {
		return Result{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		result := m.currentResult()
		if after < m.historyStart || after > m.version {
			m.mu.Unlock()
			return Result{}, ErrHistory
		}
		for _, row := range m.history {
			if row.Table == table && row.Version > after {
				result.Rows = append(result.Rows, row)
			}
		}
		if m.changed == nil {
			m.changed = make(chan struct{})
		}
		changed := m.changed
		m.mu.Unlock()
		if len(result.Rows) > 0 {
			return result, nil
		}
		select {
		case <-ctx.Done():
			return Result{}, ErrUnknown
		case <-timer.C:
			return result, nil
		case <-changed:
		}
	}
}

// Copy returns a copy of all rows.
func (m *Memory) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Copy{rows: maps.Clone(m.rows), version: m.version}
}

// Restore goes back to a copy. What was written since is gone, its versions are used again, and a new era begins.
func (m *Memory) Restore(c Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rows, m.version = maps.Clone(c.rows), c.version
	m.history, m.historyStart = nil, c.version
	m.restores++
	m.notify()
}

// DropHistory drops the history of changes, so that feeds from earlier versions fail with ErrHistory.
func (m *Memory) DropHistory() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history = nil
	m.historyStart = m.version
}

// nextFault returns the fault to inject into the next call.
func (m *Memory) nextFault(write bool) Fault {
	if m.Fault == nil {
		return NoFault
	}
	return m.Fault(write)
}

// readFault injects the fault, if any, into a call that only reads.
func (m *Memory) readFault(ctx context.Context) error {
	switch m.nextFault(false) {
	case NoFault:
		return nil
	case RefuseCall:
		return ErrUnavailable
	default:
		<-ctx.Done()
		return ErrUnknown
	}
}

// apply checks the conditions of a write and applies it.
func (m *Memory) apply(w Write) (Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rows == nil {
		m.rows = make(map[Key]Row)
	}
	result := m.currentResult()
	for _, e := range w.Expect {
		row := m.rows[e.Key]
		row.Key = e.Key
		result.Rows = append(result.Rows, row)
	}
	for i, e := range w.Expect {
		if result.Rows[i].Version != e.Version {
			return result, ErrConflict
		}
	}
	m.version++
	for _, p := range w.Puts {
		row := Row{Key: p.Key, Value: bytes.Clone(p.Value), Version: m.version}
		m.rows[p.Key] = row
		m.history = append(m.history, row)
	}
	for _, key := range w.Remove {
		if _, ok := m.rows[key]; ok {
			delete(m.rows, key)
			m.history = append(m.history, Row{Key: key, Version: m.version, Deleted: true})
		}
	}
	m.notify()
	return m.currentResult(), nil
}

// notify wakes the feeds that wait. The caller must hold the lock.
func (m *Memory) notify() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// currentResult returns the version and the clock. The caller must hold the lock.
func (m *Memory) currentResult() Result {
	if m.start.IsZero() {
		m.start = time.Now()
	}
	return Result{Version: m.version, Clock: time.Since(m.start), Era: m.restores + 1}
}
