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
	// missingGracePeriod is how long a server stays in use after its row went missing during an outage of the store.
	// Rows of live servers are written again within about two seconds.
	missingGracePeriod = 1500 * time.Millisecond
	// outageWindow is the time after the last failed call to the store within which a row may be missing because it
	// expired during the outage.
	outageWindow = 3 * time.Second
	// sweepInterval is the time between two checks for servers whose rows are missing.
	sweepInterval = 250 * time.Millisecond
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
	}

	// serverEntry is a server with the version of its row.
	serverEntry struct {
		server       Server
		version      int64
		missingSince time.Time // Zero while the row exists.
	}
)

// Apply applies changed rows, or a list of all rows, and reports whether it did. A list that is older than the known
// state is ignored, since lists relayed by other routers may arrive after newer ones of the store.
func (r *ServerRegistry) Apply(change store.Change) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if change.Whole && change.Version < r.version {
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
		r.upsert(row)
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

// RemoveExpired removes the servers whose rows have been missing for longer than the grace period.
func (r *ServerRegistry) RemoveExpired() {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for name, e := range r.entries {
		if !e.missingSince.IsZero() && r.Now().Sub(e.missingSince) > missingGracePeriod {
			delete(r.entries, name)
			changed = true
		}
	}
	if changed {
		r.updatePool()
	}
}

func (r *ServerRegistry) upsert(row store.Row) {
	server, err := r.Decode(row.Name, row.Value)
	if err != nil {
		event.ServerEntryInvalid.Log(r.Logger).Str("server", row.Name).Int64("version", row.Version).Err(err).Send()
		delete(r.entries, row.Name)
		return
	}
	old := r.entries[row.Name]
	if old != nil && old.version > row.Version {
		return
	}
	if old != nil && old.server.Born != server.Born {
		r.reportDown(row.Name)
	}
	r.entries[row.Name] = &serverEntry{server: server, version: row.Version}
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
		delete(r.entries, name)
		return
	}
	e.missingSince = r.Now()
}

func (r *ServerRegistry) updatePool() {
	servers := make([]Server, 0, len(r.entries))
	for _, e := range r.entries {
		servers = append(servers, e.server)
	}
	r.Pool.Update(servers)
}
