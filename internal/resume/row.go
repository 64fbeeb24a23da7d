package resume

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"citronslip/internal/delay"
	"citronslip/internal/event"
	"citronslip/internal/store"
	"citronslip/internal/wire"
)

const (
	// runInterval is the time between two checks whether rows have to be written.
	runInterval = 200 * time.Millisecond
	// rowTimeout bounds a call to the store.
	rowTimeout = time.Second
	// rowCheckInterval is the time between two readings of the rows by the router that writes them. Another one may have
	// written some, or the store may have come back from an older copy.
	rowCheckInterval = 15 * time.Second
	// readRetryInterval is the time until the next try after a failed reading.
	readRetryInterval = time.Second
	// clockTolerance is the difference between two times that are taken as the same, as the store's clock is only estimated.
	clockTolerance = time.Second
)

type (
	// rowState is what is known of the rows of Table. They tell a router that has just started whether several versions
	// served before.
	rowState struct {
		read      bool               // Whether the rows were read.
		byService map[string]service // As the rows say.
		nextRead  time.Time
		failing   bool // Whether the last call failed.
	}

	// service is what the row of a service says.
	service struct {
		several   bool      // Whether several versions serve.
		software  string    // One of the versions that served last.
		severalAt time.Time // When several versions served last, or a later time; zero if that is not known.
		version   int64     // Version of the row; zero if there is none.
	}
)

// Run reads the rows of Table, writes them while this router leads, and removes expired records until the context ends. It
// returns nil.
func (t *Tracker) Run(ctx context.Context) error {
	for {
		t.removeExpired()
		leads := t.Leads()
		if t.needsRead(leads) {
			t.readRows(ctx)
		}
		if leads {
			t.writeRows(ctx)
		}
		if !delay.Sleep(ctx, runInterval) {
			return nil
		}
	}
}

// needsRead reports whether the rows have to be read: once, and from time to time by the router that writes them.
func (t *Tracker) needsRead(leads bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return (leads || !t.rows.read) && !t.Now().Before(t.rows.nextRead)
}

// readRows reads the rows. The first time they tell which versions served before this router started.
func (t *Tracker) readRows(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	result, err := t.Store.List(ctx, Table, "")
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	if t.recordOutcome(err) != nil {
		t.rows.nextRead = now.Add(readRetryInterval)
		return
	}
	t.rows.nextRead = now.Add(rowCheckInterval)
	t.rows.byService = make(map[string]service)
	for _, row := range result.Rows {
		var value wire.ResumeRow
		if err := json.Unmarshal(row.Value, &value); err != nil {
			event.SoftwareRowInvalid.Log(t.Logger).Str("service", row.Name).Err(err).Send()
			value.Several = true // The careful reading; the row is written again.
		}
		known := service{several: value.Several, software: value.Software, version: row.Version}
		switch {
		case value.Several:
			known.severalAt = now
		case value.Clock > 0:
			known.severalAt = now.Add(min(time.Duration(value.Clock)*time.Millisecond-result.Clock, 0))
		}
		t.rows.byService[row.Name] = known
		if !t.rows.read {
			t.learn(row.Name, known, now)
		}
	}
	t.rows.read = true
}

// learn records what a row says about the time before this router started. The caller holds the lock.
func (t *Tracker) learn(name string, known service, now time.Time) {
	if t.histories == nil {
		t.histories = make(map[string]*history)
	}
	h := t.histories[name]
	if h == nil {
		h = &history{}
		t.histories[name] = h
	}
	if known.severalAt.After(h.severalAt) {
		h.severalAt = known.severalAt
	}
	switch {
	case h.latest == "":
		h.latest = known.software
	case known.software != "" && h.latest != known.software:
		h.severalAt = now // All servers were replaced while no router ran.
	}
}

// writeRows writes the rows of the services whose versions have changed, provided that they are as they were read or written
// last: an earlier write that got no answer may still be applied, and must not replace a later one.
func (t *Tracker) writeRows(ctx context.Context) {
	t.mu.Lock()
	changed := t.changedRows()
	now, clock := t.Now(), t.StoreClock()
	t.mu.Unlock()
	if len(changed) == 0 || clock == 0 {
		return
	}
	var write store.Write
	for name, next := range changed {
		row := wire.ResumeRow{Several: next.several, Software: next.software}
		if !next.severalAt.IsZero() {
			row.Clock = int(max((clock - now.Sub(next.severalAt)).Milliseconds(), 1))
		}
		value, err := json.Marshal(row)
		if err != nil {
			panic(err) // A struct of texts and numbers can always be encoded.
		}
		key := store.Key{Table: Table, Name: name}
		write.Expect = append(write.Expect, store.Condition{Key: key, Version: t.rows.byService[name].version})
		write.Puts = append(write.Puts, store.Put{Key: key, Value: value})
	}
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	result, err := t.Store.Write(ctx, write)
	t.mu.Lock()
	defer t.mu.Unlock()
	if errors.Is(err, store.ErrConflict) {
		t.rows.nextRead = time.Time{} // Read the rows before the next write.
		return
	}
	if t.recordOutcome(err) == nil {
		for name, next := range changed {
			next.version = result.Version
			t.rows.byService[name] = next
		}
	}
}

// changedRows returns what the rows that have to be written are to say. The caller holds the lock.
func (t *Tracker) changedRows() map[string]service {
	changed := make(map[string]service)
	if !t.rows.read || t.watchedAt.IsZero() {
		return changed
	}
	for name, h := range t.histories {
		next := service{several: len(h.present) > 1, software: h.latest, severalAt: h.severalAt}
		row := t.rows.byService[name]
		later := next.severalAt.After(row.severalAt.Add(clockTolerance))
		if next.several != row.several || next.software != row.software || !next.several && later {
			changed[name] = next
		}
	}
	return changed
}

// recordOutcome logs the first of several failed calls to the store. The caller holds the lock.
func (t *Tracker) recordOutcome(err error) error {
	if err != nil && !t.rows.failing {
		event.SoftwareRowsUnavailable.Log(t.Logger).Err(err).Send()
	}
	t.rows.failing = err != nil
	return err
}
