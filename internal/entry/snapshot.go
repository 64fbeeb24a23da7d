package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"citronslip/internal/delay"
	"citronslip/internal/event"
	"citronslip/internal/store"
)

const (
	// saveInterval is the time between two snapshots of the servers. It is short against the history of the store's feeds,
	// from which a reader goes on.
	saveInterval = 5 * time.Second
	// keeperInterval is the time between two looks whether this router is to write them.
	keeperInterval = 200 * time.Millisecond
	// saveLeast is the number of servers below which a listing costs no more than the snapshots.
	saveLeast = 100
)

// saveServers writes the servers' snapshot while this router is the keeper.
func (r *Router) saveServers(ctx context.Context) error {
	snapshot := &store.Snapshot{Store: r.Store, Table: r.ServerTable}
	var saved time.Time
	for delay.For(ctx, keeperInterval) {
		if !r.ledger.Keeper() || time.Since(saved) < saveInterval {
			continue
		}
		// The version is read before the rows, which may be newer: the feed repeats such changes to a reader.
		version := r.servers.Version()
		rows := r.relay.rows()
		if version <= 0 || len(rows) < saveLeast {
			continue
		}
		saved = time.Now()
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		if err := snapshot.Save(ctx, rows, version); err != nil {
			event.SnapshotFault.Log(r.Logger).Str("table", r.ServerTable).Int("rows", len(rows)).Err(err).Send()
		}
		cancel()
	}
	return nil
}

// rows returns the servers' rows.
func (y *relay) rows() []store.Row {
	y.mu.Lock()
	defer y.mu.Unlock()
	return slices.Collect(maps.Values(y.servers))
}
