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
	// snapshotInterval is the time between two snapshots of the servers. It is short compared with the history of the
	// store's feeds, from which a reader of the snapshot continues.
	snapshotInterval = 5 * time.Second
	// roleCheckInterval is the time between two checks whether this router is the one that writes snapshots.
	roleCheckInterval = 200 * time.Millisecond
	// minSnapshotServers is the number of servers below which a listing costs no more than the snapshots.
	minSnapshotServers = 100
)

// saveSnapshots writes the servers' snapshots while this router is the leader that writes the membership view.
func (r *Router) saveSnapshots(ctx context.Context) error {
	snapshot := &store.Snapshot{Store: r.Store, Table: r.ServerTable}
	var lastSave time.Time
	for delay.Sleep(ctx, roleCheckInterval) {
		if !r.ledger.IsMembershipLeader() || time.Since(lastSave) < snapshotInterval {
			continue
		}
		// The version is read before the rows, which may be newer: the feed sends such changes to a reader again.
		version, era := r.serverFollower.Version(), r.serverFollower.Era()
		rows := r.relayCache.serverRows()
		if version <= 0 || era != r.serverFollower.Era() || len(rows) < minSnapshotServers {
			continue
		}
		lastSave = time.Now()
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		if err := snapshot.Save(ctx, rows, version, era); err != nil {
			event.SnapshotFailed.Log(r.Logger).Str("table", r.ServerTable).Int("rows", len(rows)).Err(err).Send()
		}
		cancel()
	}
	return nil
}

func (c *relayCache) serverRows() []store.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.servers))
}
