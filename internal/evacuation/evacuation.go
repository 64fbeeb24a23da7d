// Package evacuation knows which data centres are evacuated, so that their backend servers get no new requests. It applies the
// operator's rows from the store, and those that other routers relay, in the order of their versions.
package evacuation

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/board"
	"citronslip/internal/delay"
	"citronslip/internal/event"
	"citronslip/internal/store"
)

const (
	// restoreHold is how long an evacuation stays in effect that the store lacks after it came back from an older copy. The
	// operator writes the rows again meanwhile.
	restoreHold = 10 * time.Second
	// expireInterval is the time between two checks for evacuations of which the hold is over.
	expireInterval = 250 * time.Millisecond
	// unknownVersion is the version of a Tracker that knows no rows. It is older than all others.
	unknownVersion = -1
)

type (
	// Places is a set of evacuated data centres. It is not modified.
	Places struct {
		names map[string]struct{}
	}

	// Tracker keeps the set of evacuated data centres. Set the exported fields before the first use.
	Tracker struct {
		// Decode returns the data centre that a row evacuates, and false if the row is another one.
		Decode  func(key store.Key) (place string, ok bool)
		Places  *board.Cell[Places] // Gets the set; empty until the rows are known.
		Ended   func(place string)  // Called before an evacuation ends for the readers of Places; optional.
		Changed func()              // Called after the set has changed; optional.
		Now     func() time.Time
		Logger  *zerolog.Logger
		Metrics tally.Scope

		mu      sync.Mutex
		known   bool
		era     int64                // Era of the store to which versions belong.
		version int64                // Version of the store up to which the rows are known.
		rows    map[string]store.Row // By data centre.
		held    map[string]time.Time // Ends of the holds of evacuations that a restored store lacks, by data centre.
	}
)

// NewPlaces returns the set with the given names.
func NewPlaces(names ...string) *Places {
	p := &Places{names: make(map[string]struct{}, len(names))}
	for _, name := range names {
		p.names[name] = struct{}{}
	}
	return p
}

// Contains reports whether a data centre is evacuated. The nil set is empty.
func (p *Places) Contains(place string) bool {
	if p == nil {
		return false
	}
	_, ok := p.names[place]
	return ok
}

// Names returns the names of the evacuated data centres in order.
func (p *Places) Names() []string {
	if p == nil {
		return nil
	}
	names := make([]string, 0, len(p.names))
	for name := range p.names {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Apply applies changed rows, or a list of all rows, and reports whether it did. What is older than the known state is
// ignored: rows that other routers relay may arrive after newer ones of the store, and the other way round.
func (t *Tracker) Apply(change store.Change) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case change.Era < t.era, change.Era > t.era && !change.Whole, !change.Whole && !t.known:
		return false // Changes say nothing without the list that precedes them.
	case change.Era > t.era:
		t.enterEra(change.Era)
	case change.Whole && t.known && change.Version < t.version:
		return false
	}
	next := make(map[string]store.Row)
	for place, row := range t.rows {
		if !change.Whole || row.Version > change.Version {
			next[place] = row
		}
	}
	for _, row := range change.Rows {
		place, ok := t.Decode(row.Key)
		if !ok || row.Version < next[place].Version || !change.Whole && row.Version <= t.version {
			continue
		}
		delete(t.held, place) // The rows of the new era hold.
		if row.Deleted {
			delete(next, place)
			continue
		}
		next[place] = row
	}
	t.rows, t.known = next, true
	t.version = max(t.version, change.Version)
	t.publish(change.Source)
	return true
}

// enterEra forgets the rows of the era before, whose versions cannot be compared with those that follow. The caller holds
// the lock.
func (t *Tracker) enterEra(era int64) {
	if t.known && t.era != 0 {
		if t.held == nil {
			t.held = make(map[string]time.Time)
		}
		for place := range t.rows {
			t.held[place] = t.Now().Add(restoreHold)
		}
	}
	t.era, t.version, t.rows = era, unknownVersion, nil
}

// publish stores the set if it has changed. The caller holds the lock.
func (t *Tracker) publish(source string) {
	next := NewPlaces()
	for place := range t.rows {
		next.names[place] = struct{}{}
	}
	for place := range t.held {
		next.names[place] = struct{}{}
	}
	old := t.Places.Load()
	begun, ended := difference(next, old), difference(old, next)
	if old != nil && len(begun)+len(ended) == 0 {
		return
	}
	if t.Ended != nil {
		for _, place := range ended {
			t.Ended(place)
		}
	}
	t.Places.Store(next)
	if t.Changed != nil {
		t.Changed()
	}
	t.Metrics.Gauge("places").Update(float64(len(next.names)))
	for _, place := range begun {
		_, held := t.held[place]
		event.EvacuationBegun.Log(t.Logger).Str("place", place).Int64("version", t.version).Int64("era", t.era).
			Bool("held", held).Str("source", source).Send()
	}
	for _, place := range ended {
		event.EvacuationEnded.Log(t.Logger).Str("place", place).Int64("version", t.version).Int64("era", t.era).
			Str("source", source).Send()
	}
}

// difference returns the names that are only in the first set.
func difference(a, b *Places) []string {
	return slices.DeleteFunc(a.Names(), b.Contains)
}

// Version returns the version and the era of the store up to which the rows are known. The version is negative if they are
// not known.
func (t *Tracker) Version() (version, era int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known {
		return unknownVersion, 0
	}
	return t.version, t.era
}

// Newer returns all rows with their version and era, and whether they are newer than the given ones. Evacuations that are
// held after a restore are not among them: each router holds what it knew itself.
func (t *Tracker) Newer(version, era int64) (change store.Change, newer bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known || t.era < era || t.era == era && t.version <= version {
		return store.Change{}, false
	}
	change = store.Change{Whole: true, Version: t.version, Era: t.era}
	for _, row := range t.rows {
		change.Rows = append(change.Rows, row)
	}
	return change, true
}

// Run ends holds until the context ends. It always returns nil.
func (t *Tracker) Run(ctx context.Context) error {
	for delay.Sleep(ctx, expireInterval) {
		t.EndHolds()
	}
	return nil
}

// EndHolds ends the evacuations that the store has lacked since it came back from an older copy and whose hold is over.
func (t *Tracker) EndHolds() {
	t.mu.Lock()
	defer t.mu.Unlock()
	ended := false
	for place, end := range t.held {
		if !t.Now().Before(end) {
			delete(t.held, place)
			ended = true
		}
	}
	if ended {
		t.publish("hold")
	}
}
