package claim

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"citronslip/internal/event"
	"citronslip/internal/table"
)

const (
	cursorPrefix = "clean/"
	// resolveInterval is the time between two retries of unconfirmed writes. It is short because callers that retry
	// wait for the row of an unconfirmed claim. No table calls are made while no write is pending.
	resolveInterval = 500 * time.Millisecond
)

// Run retries unconfirmed writes and deletes expired claims until the context ends.
func (c *Claims) Run(ctx context.Context) error {
	ticker := time.NewTicker(positiveOr(c.Interval, defaultCleanInterval))
	defer ticker.Stop()
	resolve := time.NewTicker(resolveInterval)
	defer resolve.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-resolve.C:
			c.RetryWrites(ctx)
			continue
		case <-ticker.C:
		}
		if err := c.Cleanup(ctx); err != nil {
			c.incrementCounter("cleanfail")
		}
	}
}

// RetryWrites retries the unconfirmed writes and returns how many remain.
func (c *Claims) RetryWrites(ctx context.Context) int {
	for _, p := range c.pendingWrites() {
		err := c.applyPending(ctx, p)
		if errors.Is(err, ErrPending) {
			continue
		}
		c.removeRun(p.claim)
		c.removePending(p)
	}
	return len(c.pendingWrites())
}

func (c *Claims) pendingWrites() []pendingWrite {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := make([]pendingWrite, 0, len(c.pending))
	for _, p := range c.pending {
		result = append(result, p)
	}
	return result
}

func (c *Claims) removePending(p pendingWrite) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.pending[p.claim.Nonce]; ok {
		delete(c.pending, p.claim.Nonce)
		c.pendingBytes -= len(p.answer.Body)
	}
}

// addPending queues an update for a retry. If too many are pending, the update is dropped: the row stays in the state
// claimed, and callers that repeat the request are told that its outcome is unknown.
func (c *Claims) addPending(p pendingWrite) {
	c.mu.Lock()
	full := len(c.pending) >= positiveOr(c.Most, defaultMaxPending) || c.pendingBytes+len(p.answer.Body) > maxPendingBytes
	_, known := c.pending[p.claim.Nonce]
	full = full && !known
	if !full && !known {
		if c.pending == nil {
			c.pending = make(map[string]pendingWrite)
		}
		c.pending[p.claim.Nonce] = p
		c.pendingBytes += len(p.answer.Body)
	}
	c.mu.Unlock()
	if full {
		event.ClaimEvicted.Log(c.Logger).Str("account", p.claim.Account).Str("nonce", p.claim.Nonce).Send()
		c.removeRun(p.claim)
	}
}

// Cleanup deletes the expired rows of one page of claims and one page of bill markers. All routers share a cursor
// row for each, by which about one router of the fleet does this in each interval.
func (c *Claims) Cleanup(ctx context.Context) error {
	err := c.cleanPage(ctx, claimPrefix, c.expiredClaim)
	if err != nil {
		return trace.Wrap(err)
	}
	return c.cleanPage(ctx, markerPrefix, c.expiredMarker)
}

// cleanPage applies the operations that deletions returns for the rows of the next page. The last argument of deletions
// tells whether the row is past the retention time. The age of a row is measured against the commit time of the cursor
// row, so that the clocks of the routers do not matter.
func (c *Claims) cleanPage(ctx context.Context, prefix string, deletions func(context.Context, table.Row, bool) []table.Op) error {
	key := cursorPrefix + strings.TrimSuffix(prefix, "/")
	cursor, err := c.get(ctx, key)
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		return trace.Wrap(err)
	}
	if !c.observeCursor(prefix, cursor.Version) {
		return nil
	}
	page, after, err := c.scanPage(ctx, prefix, string(cursor.Value))
	if err != nil {
		return trace.Wrap(err)
	}
	op := table.Op{Key: key, Value: []byte(after), Cond: table.CondAbsent}
	if cursor.Version > 0 {
		op.Cond, op.Version = table.CondVersion, cursor.Version
	}
	rows, err := c.commit(ctx, op)
	if err != nil {
		return trace.Wrap(err)
	}
	c.observeCursor(prefix, rows[0].Version)
	retention := positiveOr(c.Retention, defaultRetention)
	var ops []table.Op
	for _, found := range page {
		isExpired := rows[0].Time.Sub(found.Time) > retention
		ops = append(ops, deletions(ctx, found, isExpired)...)
	}
	return c.deleteRows(ctx, ops)
}

// observeCursor remembers the version of the cursor row. It reports whether this router saw the same version before,
// which means that no other router has cleaned a page since.
func (c *Claims) observeCursor(prefix string, version uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cursorVersions == nil {
		c.cursorVersions = make(map[string]uint64)
	}
	seen, ok := c.cursorVersions[prefix]
	c.cursorVersions[prefix] = version
	return ok && seen == version
}

// scanPage returns the rows after the cursor and the next value of the cursor, which is empty at the end.
func (c *Claims) scanPage(ctx context.Context, prefix, after string) ([]table.Row, string, error) {
	ctx, cancel := context.WithTimeout(ctx, positiveOr(c.Timeout, defaultTableTimeout))
	defer cancel()
	limit := positiveOr(c.Page, defaultPageRows)
	rows, err := c.Table.Scan(ctx, prefix, after, limit)
	if err != nil || len(rows) < limit {
		return rows, "", err
	}
	return rows, rows[len(rows)-1].Key, nil
}

// deleteRows deletes expired rows in one commit. If one of them has changed meanwhile, none is deleted until the next
// pass.
func (c *Claims) deleteRows(ctx context.Context, ops []table.Op) error {
	if len(ops) == 0 {
		return nil
	}
	if _, err := c.commit(ctx, ops...); err != nil {
		return trace.Wrap(err)
	}
	event.ClaimCleaned.Log(c.Logger).Int("rows", len(ops)).Send()
	return nil
}

// expiredClaim returns the deletion of a claim row that is past the retention time. A claim without an outcome is kept,
// however old it is, as long as its instance may still run the request. A row with a bill is kept until the bill is
// written, and is deleted together with the bill's marker, so that a later use of the key is a new request. A bill
// without a marker is passed to Owed if the row has expired or its instance is dead.
func (c *Claims) expiredClaim(ctx context.Context, found table.Row, expired bool) []table.Op {
	r, err := decodeRow(found)
	if err != nil {
		return nil
	}
	dead := false
	if r.Instance != c.Instance {
		dead, err = c.isDead(ctx, r.Instance)
		dead = dead && err == nil
	}
	if !expired && (!dead || r.Bill == nil) || r.State == stateClaimed && !dead {
		return nil
	}
	if r.Bill == nil {
		return []table.Op{deleteOp(found)}
	}
	marker, err := c.get(ctx, markerPrefix+r.Bill.Key)
	if errors.Is(err, table.ErrNotFound) && c.Owed != nil {
		c.Owed(*r.Bill)
	}
	if err != nil || !expired {
		return nil
	}
	return []table.Op{deleteOp(found), deleteOp(marker)}
}

// expiredMarker returns the deletion of a bill marker that is past the retention time and has no claim row.
func (c *Claims) expiredMarker(ctx context.Context, found table.Row, expired bool) []table.Op {
	if !expired {
		return nil
	}
	_, err := c.get(ctx, claimKey(strings.TrimPrefix(found.Key, markerPrefix)))
	if !errors.Is(err, table.ErrNotFound) {
		return nil
	}
	return []table.Op{deleteOp(found)}
}

func deleteOp(found table.Row) table.Op {
	return table.Op{Key: found.Key, Delete: true, Cond: table.CondVersion, Version: found.Version}
}
