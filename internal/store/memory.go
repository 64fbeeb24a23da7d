package store

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// NoFault lets a call through.
	NoFault Fault = iota
	// Refuse answers that the store is unavailable. Nothing is done.
	Refuse
	// LoseCall drops the call. Nothing is done and nothing is answered.
	LoseCall
	// LoseAnswer does the call and drops the answer.
	LoseAnswer
	// LateCall drops the answer and does the call after Memory.Delay, if its conditions hold then.
	LateCall
)

type (
	// Fault is what happens to a call.
	Fault int

	// Memory is a store in memory, for tests and demonstrations. Set the fields before the first call.
	Memory struct {
		// Fault, if set, decides what happens to a call. The argument says whether it writes.
		Fault func(write bool) Fault
		Delay time.Duration // How late a LateCall is done.

		mu      sync.Mutex
		start   time.Time
		rows    map[Key]Row
		history []Row
		forgot  int64 // Version up to which the history is gone.
		version int64
		changed chan struct{}
	}
)

// Write applies a write.
func (m *Memory) Write(ctx context.Context, w Write) (Result, error) {
	switch m.fault(true) {
	case Refuse:
		return Result{}, ErrUnavailable
	case LoseCall:
		<-ctx.Done()
		return Result{}, ErrUnknown
	case LoseAnswer:
		_, _ = m.apply(w) // Nobody hears of the result.
		<-ctx.Done()
		return Result{}, ErrUnknown
	case LateCall:
		time.AfterFunc(m.Delay, func() { _, _ = m.apply(w) })
		<-ctx.Done()
		return Result{}, ErrUnknown
	}
	return m.apply(w)
}

// Force applies a write without faults, as another client of the store does.
func (m *Memory) Force(w Write) error {
	_, err := m.apply(w)
	return err
}

// List returns the rows of a part.
func (m *Memory) List(ctx context.Context, table, part string) (Result, error) {
	if err := m.read(ctx); err != nil {
		return Result{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	result := m.result()
	for key, row := range m.rows {
		if key.Table == table && key.Part == part {
			result.Rows = append(result.Rows, row)
		}
	}
	slices.SortFunc(result.Rows, func(a, b Row) int { return strings.Compare(a.Name, b.Name) })
	return result, nil
}

// Row returns one row.
func (m *Memory) Row(ctx context.Context, key Key) (Result, error) {
	if err := m.read(ctx); err != nil {
		return Result{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	result := m.result()
	if row, ok := m.rows[key]; ok {
		result.Rows = append(result.Rows, row)
	}
	return result, nil
}

// Feed returns the changes of a table after a version.
func (m *Memory) Feed(ctx context.Context, table string, after int64, wait time.Duration) (Result, error) {
	if err := m.read(ctx); err != nil {
		return Result{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		result := m.result()
		if after < m.forgot {
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

// Forget drops the history, so that feeds have to begin anew.
func (m *Memory) Forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history = nil
	m.forgot = m.version
}

func (m *Memory) fault(write bool) Fault {
	if m.Fault == nil {
		return NoFault
	}
	return m.Fault(write)
}

// read applies a fault to a call that writes nothing.
func (m *Memory) read(ctx context.Context) error {
	switch m.fault(false) {
	case NoFault:
		return nil
	case Refuse:
		return ErrUnavailable
	default:
		<-ctx.Done()
		return ErrUnknown
	}
}

// apply checks the conditions and applies a write.
func (m *Memory) apply(w Write) (Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rows == nil {
		m.rows = make(map[Key]Row)
	}
	result := m.result()
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
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
	return m.result(), nil
}

// result returns the version and the clock. The caller holds the lock.
func (m *Memory) result() Result {
	if m.start.IsZero() {
		m.start = time.Now()
	}
	return Result{Version: m.version, Clock: time.Since(m.start)}
}
