package resume

import (
	"context"
	"encoding/json"
	"maps"
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
		severalAt time.Time // When several versions served last, or a later time.
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
		known := service{several: value.Several, severalAt: now}
		if !value.Several {
			known.severalAt = now.Add(min(time.Duration(value.Clock)*time.Millisecond-result.Clock, 0))
		}
		t.rows.byService[row.Name] = known
		if !t.rows.read {
			t.learn(row.Name, known.severalAt)
		}
	}
	t.rows.read = true
}

// learn records when several versions of a service served before this router started. The caller holds the lock.
func (t *Tracker) learn(service string, at time.Time) {
	if t.histories == nil {
		t.histories = make(map[string]*history)
	}
	h := t.histories[service]
	if h == nil {
		h = &history{}
		t.histories[service] = h
	}
	if at.After(h.severalAt) {
		h.severalAt = at
	}
}

// writeRows writes the rows of the services in which several versions began or ceased to serve.
func (t *Tracker) writeRows(ctx context.Context) {
	t.mu.Lock()
	changed := t.changedRows()
	row := wire.ResumeRow{Clock: int(t.StoreClock().Milliseconds())}
	t.mu.Unlock()
	if len(changed) == 0 || row.Clock == 0 {
		return
	}
	var write store.Write
	for service, next := range changed {
		row.Several = next.several
		value, err := json.Marshal(row)
		if err != nil {
			panic(err) // A struct of numbers can always be encoded.
		}
		write.Puts = append(write.Puts, store.Put{Key: store.Key{Table: Table, Name: service}, Value: value})
	}
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	_, err := t.Store.Write(ctx, write)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.recordOutcome(err) == nil {
		maps.Copy(t.rows.byService, changed)
	}
}

// changedRows returns what the rows that have to be written are to say. A service without servers gets one too: a fleet that
// restarts would not know that those that come next are of another version. The caller holds the lock.
func (t *Tracker) changedRows() map[string]service {
	changed := make(map[string]service)
	if !t.rows.read || t.watchedAt.IsZero() {
		return changed
	}
	for name, h := range t.histories {
		next := service{several: len(h.present) > 1, severalAt: h.severalAt}
		if h.emptyAt.After(h.severalAt) {
			next.severalAt = h.emptyAt
		}
		if row := t.rows.byService[name]; next.several != row.several || !next.several && next.severalAt.After(row.severalAt) {
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
