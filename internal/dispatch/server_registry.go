package dispatch

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"citronslip/internal/delay"
	"citronslip/internal/event"
	"citronslip/internal/store"
)

const (
	// missingGracePeriod is how long a server stays in use after its row went missing during an outage of the store.
	// Rows of live servers are written again within about two seconds.
	missingGracePeriod = 1500 * time.Millisecond
	// outageWindow is the time after the last failed call to the store within which a row may be missing because it
	// expired during the outage.
	outageWindow = 3 * time.Second
	// sweepInterval is the time between two checks for servers whose rows are missing.
	sweepInterval = 250 * time.Millisecond
	// staleEntryTime is the time after a restore of the store from an older copy for which an entry counts as stale if its
	// server's process had none any more. A stale entry lapses meanwhile; one of a live server changes, or stays.
	staleEntryTime = 5 * time.Second
	// removedTTL is how long removed servers are remembered.
	removedTTL = 2 * time.Minute
)

type (
	// ServerRegistry keeps the servers of Pool in step with their rows in the store. Set the fields before first use.
	ServerRegistry struct {
		Pool   *Pool
		Decode func(name string, data []byte) (Server, error)
		Down   func(server string) // Called when a server's process has ended without a planned stop; optional.
		Logger *zerolog.Logger
		Now    func() time.Time

		mu      sync.Mutex
		entries map[string]*serverEntry
		synced  bool  // Whether the rows were read at least once.
		version int64 // Newest version that was applied.
		era     int64 // Era of the store to which versions belong.

		removed    map[string]removedServer
		restoredAt time.Time // When the store last came back from an older copy; zero if it has not.
	}

	// removedServer is a server whose row was removed.
	removedServer struct {
		born      int64
		leaving   bool
		removedAt time.Time
	}

	// serverEntry is a server with the version of its row.
	serverEntry struct {
		server       Server
		version      int64
		missingSince time.Time // Zero while the row exists.
		stale        bool      // Whether the row is from an older copy of the store, of a server that was removed since.
	}
)

// Apply applies changed rows, or a list of all rows, and reports whether it did. A list that is older than the known
// state is ignored, since lists relayed by other routers may arrive after newer ones of the store.
func (r *ServerRegistry) Apply(change store.Change) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.enterEra(change) || change.Whole && change.Version < r.version {
		return false
	}
	r.version = max(r.version, change.Version)
	if r.entries == nil {
		r.entries = make(map[string]*serverEntry)
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
		r.upsert(row, change.Whole)
	}
	if change.Whole {
		for name := range r.entries {
			if !listed[name] {
				r.remove(name, change.Outage)
			}
		}
	}
	r.synced = true
	r.updatePool()
	event.ServersChanged.Log(r.Logger).Int("before", before).Int("servers", len(r.entries)).Int("changed", len(change.Rows)).
		Bool("whole", change.Whole).Int64("version", change.Version).Str("source", change.Source).Send()
	return true
}

// enterEra returns false for a change of an era before the current one. In a new era it forgets the versions of the rows,
// which cannot be compared with those that follow.
func (r *ServerRegistry) enterEra(change store.Change) bool {
	switch {
	case change.Era == r.era || change.Era == 0:
		return true
	case change.Era < r.era:
		return false
	}
	if r.era != 0 {
		r.restoredAt = r.Now()
		r.version = 0
		for _, e := range r.entries {
			e.version = 0
		}
	}
	r.era = change.Era
	return true
}

// Synced reports whether the rows were read at least once.
func (r *ServerRegistry) Synced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.synced
}

// Run removes servers whose rows have been missing for too long, until the context ends. It always returns nil.
func (r *ServerRegistry) Run(ctx context.Context) error {
	for delay.Sleep(ctx, sweepInterval) {
		r.RemoveExpired()
	}
	return nil
}

// RemoveExpired removes the servers whose rows have been missing for longer than the grace period, and uses those again
// whose rows were stale and have not lapsed.
func (r *ServerRegistry) RemoveExpired() {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for name, e := range r.entries {
		if !e.missingSince.IsZero() && r.Now().Sub(e.missingSince) > missingGracePeriod {
			r.forget(name, e)
			changed = true
		}
		if e.stale && r.Now().Sub(r.restoredAt) > staleEntryTime {
			e.stale = false
			changed = true
		}
	}
	if changed {
		r.updatePool()
	}
}

// upsert applies a row, which may be one of a list of all.
func (r *ServerRegistry) upsert(row store.Row, listed bool) {
	old := r.entries[row.Name]
	if old != nil && old.version > row.Version {
		return
	}
	server, err := r.Decode(row.Name, row.Value)
	if err != nil {
		event.ServerEntryInvalid.Log(r.Logger).Str("server", row.Name).Int64("version", row.Version).Err(err).Send()
		if old != nil {
			r.forget(row.Name, old)
		}
		return
	}
	if old != nil && old.server.Born != server.Born {
		r.reportDown(row.Name)
	}
	// A process that was leaving does not come back, whatever an older row says.
	server.Leaving = server.Leaving || old != nil && old.server.Born == server.Born && old.server.Leaving
	server.Row = row.Version
	next := &serverEntry{server: server, version: row.Version}
	if removed, ok := r.removed[row.Name]; ok && old == nil && removed.born == server.Born {
		next.server.Leaving = server.Leaving || removed.leaving
		next.stale = listed && !r.restoredAt.IsZero() && r.Now().Sub(r.restoredAt) < staleEntryTime
	}
	r.entries[row.Name] = next
}

// forget removes a server and remembers its process.
func (r *ServerRegistry) forget(name string, e *serverEntry) {
	delete(r.entries, name)
	now := r.Now()
	maps.DeleteFunc(r.removed, func(_ string, s removedServer) bool { return now.Sub(s.removedAt) > removedTTL })
	if r.removed == nil {
		r.removed = make(map[string]removedServer)
	}
	r.removed[name] = removedServer{born: e.server.Born, leaving: e.server.Leaving, removedAt: now}
}

func (r *ServerRegistry) reportDown(name string) {
	if r.Down != nil {
		r.Down(name)
	}
}

// remove removes a server, at once unless its row may have expired during an outage of the store.
func (r *ServerRegistry) remove(name string, sinceOutage time.Duration) {
	e := r.entries[name]
	if e == nil || !e.missingSince.IsZero() {
		return
	}
	if !e.server.Leaving {
		r.reportDown(name)
	}
	if e.server.Leaving || sinceOutage > outageWindow {
		r.forget(name, e)
		return
	}
	e.missingSince = r.Now()
}

func (r *ServerRegistry) updatePool() {
	servers := make([]Server, 0, len(r.entries))
	for _, e := range r.entries {
		server := e.server
		server.Leaving = server.Leaving || e.stale
		servers = append(servers, server)
	}
	r.Pool.Update(servers)
}
