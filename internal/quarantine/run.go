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
	// page is the number of records read with one call.
	page = 1000
)

// Run reads the records and repeats unconfirmed writes until the context ends. A crashed server must take longer to
// serve again than a router takes to record the crash, plus the poll interval, plus the lease: then every router that
// reaches the table knows the suspects of a server before the server takes copies again.
func (g *Guard) Run(ctx context.Context) error {
	delay.Every(ctx, positive(g.Poll, defaultPoll), func() {
		if err := g.Sync(ctx); err != nil {
			event.QuarantineStale.Log(g.Logger).Err(err).Send()
		}
	})
	return nil
}

// Sync writes what is unconfirmed and reads all records.
func (g *Guard) Sync(ctx context.Context) error {
	if lost := g.orphaned(ctx); len(lost) > 0 {
		_ = g.Crashed(ctx, lost) // Repeated below when it fails.
	}
	g.repeat(ctx)
	records, old, err := g.load(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	g.mu.Lock()
	g.records, g.loaded = maps.Clone(records), true
	for fingerprint, heard := range g.told {
		if g.now().Sub(heard.at) > writing {
			delete(g.told, fingerprint)
		}
	}
	for fingerprint, record := range records {
		// Copies on the crashed server have ended. Until the table shows the crash the slot stays there.
		if slot := g.active[fingerprint]; slot != nil && slot.server == record.Free {
			delete(g.active, fingerprint)
		}
	}
	g.mu.Unlock()
	if g.Metrics != nil {
		g.Metrics.Gauge("records").Update(float64(len(records)))
	}
	return g.discard(ctx, old)
}

// Waiting returns how many ends of copies are not in the table yet.
func (g *Guard) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.todo)
}

// Release lifts the quarantine of a fingerprint on behalf of an operator.
func (g *Guard) Release(ctx context.Context, fingerprint string) error {
	_, err := g.commit(ctx, []table.Op{{Key: recordPrefix + fingerprint, Delete: true}})
	if err != nil {
		return trace.Wrap(err)
	}
	event.QuarantineLifted.Log(g.Logger).Str("fingerprint", fingerprint).Send()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.keep(fingerprint, Record{}, false)
	return nil
}

func (g *Guard) repeat(ctx context.Context) {
	g.mu.Lock()
	waiting := make([]ending, 0, len(g.todo))
	for _, e := range g.todo {
		waiting = append(waiting, e)
	}
	g.mu.Unlock()
	for _, e := range waiting {
		if err := g.settle(ctx, e); errors.Is(err, ErrUnavailable) {
			return
		}
	}
}

// load reads all records and returns those that are too old to keep apart.
func (g *Guard) load(ctx context.Context) (map[string]Record, []table.Row, error) {
	records := make(map[string]Record)
	var old []table.Row
	after := ""
	for {
		rows, err := g.scan(ctx, after)
		if err != nil {
			return nil, nil, err
		}
		for _, found := range rows {
			record, err := decode(found)
			if err != nil {
				return nil, nil, err
			}
			after = found.Key
			if record.Trial == nil && g.now().Sub(found.Time) > positive(g.Keep, defaultKeep) {
				old = append(old, found)
				continue
			}
			records[strings.TrimPrefix(found.Key, recordPrefix)] = record
		}
		if len(rows) < page {
			return records, old, nil
		}
	}
}

func (g *Guard) scan(ctx context.Context, after string) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, positive(g.Timeout, defaultTimeout))
	defer cancel()
	return g.Table.Scan(ctx, recordPrefix, after, page)
}

// discard removes records that are too old. Another router may do the same at the same time.
func (g *Guard) discard(ctx context.Context, old []table.Row) error {
	for _, found := range old {
		op := table.Op{Key: found.Key, Delete: true, Cond: table.CondVersion, Version: found.Version}
		if _, err := g.commit(ctx, []table.Op{op}); err != nil && !errors.Is(err, table.ErrConflict) {
			return trace.Wrap(err)
		}
	}
	return nil
}
