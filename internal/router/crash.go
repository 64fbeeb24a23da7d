package router

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"citronslip/internal/crash"
	"citronslip/internal/delay"
	"citronslip/internal/store"
	"citronslip/internal/table"
)

const (
	// crashPrefix begins the keys of the rows of package crash.
	crashPrefix = "crash/"
	// crashPollInterval is the time between two reads of the crash rows, idleCrashPollInterval while there are none.
	crashPollInterval     = time.Second
	idleCrashPollInterval = 5 * time.Second
	crashPollTimeout      = 2 * time.Second
	// crashReportDelay is the time after another router reported a crash at which its rows are read, and
	// crashPollsAfterReport how many reads then follow at crashPollInterval.
	crashReportDelay      = 100 * time.Millisecond
	crashPollsAfterReport = 5
	// maxCrashPageRows is the number of rows that are read with one call.
	maxCrashPageRows = 1000
	// clockInterval is the time between two readings of the table's clock.
	clockInterval = time.Minute
	// clockKey is the key of the row that is written to read the table's clock. Its name is no crash.
	clockKey = "clock/crash"
)

type (
	// crashTable keeps the rows of package crash in the table service. Its clock is that of the table.
	crashTable struct {
		table table.Table

		mu     sync.Mutex
		clock  time.Duration // Commit time of the latest commit, since the Unix epoch.
		readAt time.Time     // When that commit was answered.
	}
)

// Write writes and removes rows without conditions.
func (c *crashTable) Write(ctx context.Context, w store.Write) (store.Result, error) {
	var ops []table.Op
	for _, put := range w.Puts {
		ops = append(ops, table.Op{Key: crashPrefix + put.Name, Value: put.Value})
	}
	for _, key := range w.Remove {
		ops = append(ops, table.Op{Key: crashPrefix + key.Name, Delete: true})
	}
	return store.Result{}, c.commit(ctx, ops)
}

// commit commits operations and reads the table's clock. Its errors wrap those of package store.
func (c *crashTable) commit(ctx context.Context, ops []table.Op) error {
	rows, err := c.table.Commit(ctx, ops)
	switch {
	case errors.Is(err, table.ErrUnknown):
		return errors.Join(store.ErrUnknown, err)
	case err != nil:
		return errors.Join(store.ErrUnavailable, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, row := range rows {
		if at := time.Duration(row.Time.UnixNano()); at > c.clock {
			c.clock, c.readAt = at, time.Now()
		}
	}
	return nil
}

// Clock returns an estimate of the table's clock, or zero before the first commit.
func (c *crashTable) Clock() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readAt.IsZero() {
		return 0
	}
	return c.clock + time.Since(c.readAt)
}

// list reads all crash rows.
func (c *crashTable) list(ctx context.Context) ([]store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, crashPollTimeout)
	defer cancel()
	var result []store.Row
	after := ""
	for {
		rows, err := c.table.Scan(ctx, crashPrefix, after, maxCrashPageRows)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			after = row.Key
			key := store.Key{Table: crash.Table, Name: strings.TrimPrefix(row.Key, crashPrefix)}
			result = append(result, store.Row{Key: key, Value: row.Value, Version: int64(row.Version)})
		}
		if len(rows) < maxCrashPageRows {
			return result, nil
		}
	}
}

// buildCrashes creates the tracker of content that crashes backend servers.
func (r *Router) buildCrashes() {
	r.crashReports = make(chan struct{}, 1)
	r.crashTable = &crashTable{table: r.table}
	r.crashes = &crash.Tracker{
		Store:   r.crashTable,
		Now:     time.Now,
		Clock:   r.crashTable.Clock,
		Members: r.otherPeers,
		Address: r.Settings.Peer,
		Metrics: r.scope.SubScope("crash"),
		Logger:  r.Logger,
	}
}

// otherPeers returns the peer addresses of the other declared hosts.
func (r *Router) otherPeers() []string {
	version := r.shared.Version.Load()
	if version == nil {
		return nil
	}
	var addresses []string
	for _, host := range version.Index.Inventory.Hosts {
		if host.Address != r.Settings.Peer {
			addresses = append(addresses, host.Address)
		}
	}
	return addresses
}

// runCrashes writes the crash rows of this router and reads those of the others until the context ends.
func (r *Router) runCrashes(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.crashes.Run(ctx) })
	group.Go(func() error {
		delay.RepeatNow(ctx, clockInterval, func() {
			ctx, cancel := context.WithTimeout(ctx, crashPollTimeout)
			defer cancel()
			_ = r.crashTable.commit(ctx, []table.Op{{Key: clockKey, Value: []byte("{}")}}) // The next commit reads the clock.
		})
		return nil
	})
	group.Go(func() error { return r.pollCrashes(ctx) })
	return group.Wait()
}

// pollCrashes reads the crash rows at intervals, and soon after another router has reported a crash.
func (r *Router) pollCrashes(ctx context.Context) error {
	fastPolls := 1
	for {
		interval := idleCrashPollInterval
		if fastPolls > 0 || r.crashes.Records() > 0 {
			interval = crashPollInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-r.crashReports:
			fastPolls = crashPollsAfterReport
			delay.Sleep(ctx, crashReportDelay)
		case <-time.After(interval):
			fastPolls--
		}
		rows, err := r.crashTable.list(ctx)
		if err == nil && len(rows) > 0 {
			r.crashes.Apply(store.Change{Whole: true, Rows: rows})
		}
	}
}

// wakeCrashPoll makes pollCrashes read the rows.
func (r *Router) wakeCrashPoll() {
	select {
	case r.crashReports <- struct{}{}:
	default:
	}
}
