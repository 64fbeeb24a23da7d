package quarantine

import (
	"context"
	"errors"
	"maps"
	"strings"

	"github.com/gravitational/trace"

	"citronslip/internal/delay"
	"citronslip/internal/event"
	"citronslip/internal/table"
)

const (
	// pageRows is the number of records read with one table call.
	pageRows = 1000
)

// Run reads the records and retries unconfirmed writes until the context ends. A crashed server must take longer to
// serve again than a router takes to record the crash, plus Poll, plus Lease. Then every router that reaches the table
// knows the suspects of a crash before the server takes requests again.
func (g *Guard) Run(ctx context.Context) error {
	delay.RepeatNow(ctx, positiveOr(g.Poll, defaultPollInterval), func() {
		if err := g.Sync(ctx); err != nil {
			event.QuarantineReadFailed.Log(g.Logger).Err(err).Send()
		}
	})
	return nil
}

// Sync retries the unconfirmed writes, reads all records and deletes the expired ones.
func (g *Guard) Sync(ctx context.Context) error {
	if orphaned := g.orphanedCopies(ctx); len(orphaned) > 0 {
		_ = g.RecordCrashed(ctx, orphaned) // A failed write is retried below.
	}
	g.retryPendingEnds(ctx)
	records, expired, err := g.loadRecords(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	g.mu.Lock()
	g.records, g.loaded = maps.Clone(records), true
	for fingerprint, crash := range g.reported {
		if g.now().Sub(crash.at) > maxCrashWriteTime {
			delete(g.reported, fingerprint)
		}
	}
	for fingerprint, record := range records {
		// The copies on the crashed server have ended. The slot is kept until the table shows the crash.
		if slot := g.freeSlots[fingerprint]; slot != nil && slot.server == record.Free {
			delete(g.freeSlots, fingerprint)
		}
	}
	g.mu.Unlock()
	if g.Metrics != nil {
		g.Metrics.Gauge("records").Update(float64(len(records)))
	}
	return g.deleteExpired(ctx, expired)
}

// UnwrittenEnds returns the number of ends of copies that are not in the table yet.
func (g *Guard) UnwrittenEnds() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.pendingEnds)
}

// LiftQuarantine lifts the quarantine of a fingerprint on behalf of an operator, by deleting its record.
func (g *Guard) LiftQuarantine(ctx context.Context, fingerprint string) error {
	_, err := g.commit(ctx, []table.Op{{Key: recordPrefix + fingerprint, Delete: true}})
	if err != nil {
		return trace.Wrap(err)
	}
	event.QuarantineLifted.Log(g.Logger).Str("fingerprint", fingerprint).Send()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cacheRecord(fingerprint, Record{}, false)
	return nil
}

func (g *Guard) retryPendingEnds(ctx context.Context) {
	g.mu.Lock()
	pending := make([]copyEnd, 0, len(g.pendingEnds))
	for _, end := range g.pendingEnds {
		pending = append(pending, end)
	}
	g.mu.Unlock()
	for _, e := range pending {
		if err := g.writeEnd(ctx, e); errors.Is(err, ErrUnavailable) {
			return
		}
	}
}

// loadRecords reads all records by fingerprint. It returns the rows that are past the retention time separately.
func (g *Guard) loadRecords(ctx context.Context) (map[string]Record, []table.Row, error) {
	records := make(map[string]Record)
	var expired []table.Row
	after := ""
	for {
		rows, err := g.scanPage(ctx, after)
		if err != nil {
			return nil, nil, err
		}
		for _, found := range rows {
			record, err := decodeRecord(found)
			if err != nil {
				return nil, nil, err
			}
			after = found.Key
			if record.Trial == nil && g.now().Sub(found.Time) > positiveOr(g.Keep, defaultRetention) {
				expired = append(expired, found)
				continue
			}
			records[strings.TrimPrefix(found.Key, recordPrefix)] = record
		}
		if len(rows) < pageRows {
			return records, expired, nil
		}
	}
}

func (g *Guard) scanPage(ctx context.Context, after string) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, positiveOr(g.Timeout, defaultTableTimeout))
	defer cancel()
	return g.Table.Scan(ctx, recordPrefix, after, pageRows)
}

// deleteExpired deletes expired records. Another router may delete the same ones at the same time.
func (g *Guard) deleteExpired(ctx context.Context, expired []table.Row) error {
	for _, found := range expired {
		op := table.Op{Key: found.Key, Delete: true, Cond: table.CondVersion, Version: found.Version}
		if _, err := g.commit(ctx, []table.Op{op}); err != nil && !errors.Is(err, table.ErrConflict) {
			return trace.Wrap(err)
		}
	}
	return nil
}
