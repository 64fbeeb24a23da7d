package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"citronslip/internal/delay"
	"citronslip/internal/event"
	"citronslip/internal/store"
)

const (
	// lapseGrace is how long a server stays in use whose entry went while the store was away. Entries of live servers
	// come back within about two seconds.
	lapseGrace = 1500 * time.Millisecond
	// lapseOutage is the age of the last failed call up to which a missing entry may have lapsed.
	lapseOutage = 3 * time.Second
	// sweepInterval is the time between two looks at the lapsed entries.
	sweepInterval = 250 * time.Millisecond
)

type (
	// Roster keeps the set of backend servers from their entries. Set the fields before first use.
	Roster struct {
		Pool   *Pool
		Decode func(name string, data []byte) (Server, error)
		Down   func(server string) // Called when a server's process is gone without a planned stop; optional.
		Logger *zerolog.Logger
		Now    func() time.Time

		mu      sync.Mutex
		entries map[string]*rosterEntry
		filled  bool
		version int64 // Of the newest change that was taken.
	}

	rosterEntry struct {
		server  Server
		version int64
		lapsed  time.Time // When the entry was found missing; zero while it exists.
	}
)

// Apply takes changed entries, or all of them, and reports whether it did. A list that is older than what is known is
// dropped: answers of other routers may arrive later than the store's own.
func (r *Roster) Apply(change store.Change) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if change.Whole && change.Version < r.version {
		return false
	}
	r.version = max(r.version, change.Version)
	if r.entries == nil {
		r.entries = make(map[string]*rosterEntry)
	}
	before := len(r.entries)
	listed := make(map[string]bool, len(change.Rows))
	for _, row := range change.Rows {
		listed[row.Name] = true
		if row.Deleted {
			if e := r.entries[row.Name]; e == nil || e.version < row.Version {
				r.remove(row.Name, change.Outage)
			}
			continue
		}
		r.put(row)
	}
	if change.Whole {
		for name := range r.entries {
			if !listed[name] {
				r.remove(name, change.Outage)
			}
		}
	}
	r.filled = true
	r.publish()
	event.ServersChanged.Log(r.Logger).Int("before", before).Int("servers", len(r.entries)).Int("changed", len(change.Rows)).
		Bool("whole", change.Whole).Int64("version", change.Version).Str("source", change.Source).Send()
	return true
}

// Filled reports whether the entries were read at least once.
func (r *Roster) Filled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.filled
}

// Run sweeps until the context ends.
func (r *Roster) Run(ctx context.Context) error {
	for delay.For(ctx, sweepInterval) {
		r.Sweep()
	}
	return nil
}

// Sweep removes the servers whose entries are missing for too long.
func (r *Roster) Sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for name, e := range r.entries {
		if !e.lapsed.IsZero() && r.Now().Sub(e.lapsed) > lapseGrace {
			delete(r.entries, name)
			changed = true
		}
	}
	if changed {
		r.publish()
	}
}

func (r *Roster) put(row store.Row) {
	server, err := r.Decode(row.Name, row.Value)
	if err != nil {
		event.ServerFault.Log(r.Logger).Str("server", row.Name).Int64("version", row.Version).Err(err).Send()
		delete(r.entries, row.Name)
		return
	}
	old := r.entries[row.Name]
	if old != nil && old.version > row.Version {
		return
	}
	if old != nil && old.server.Born != server.Born {
		r.down(row.Name)
	}
	r.entries[row.Name] = &rosterEntry{server: server, version: row.Version}
}

func (r *Roster) down(name string) {
	if r.Down != nil {
		r.Down(name)
	}
}

// remove takes a server out, at once unless its entry may have lapsed while the store was away.
func (r *Roster) remove(name string, outage time.Duration) {
	e := r.entries[name]
	if e == nil || !e.lapsed.IsZero() {
		return
	}
	if !e.server.Leaving {
		r.down(name)
	}
	if e.server.Leaving || outage > lapseOutage {
		delete(r.entries, name)
		return
	}
	e.lapsed = r.Now()
}

func (r *Roster) publish() {
	servers := make([]Server, 0, len(r.entries))
	for _, e := range r.entries {
		servers = append(servers, e.server)
	}
	r.Pool.Update(servers)
}
