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
	// resolveInterval is short because callers that retry wait for the row of an unconfirmed claim. It causes no table
	// calls while nothing waits.
	resolveInterval = 500 * time.Millisecond
)

// Run repeats unconfirmed writes and removes expired claims until the context ends.
func (c *Claims) Run(ctx context.Context) error {
	ticker := time.NewTicker(positive(c.Interval, defaultInterval))
	defer ticker.Stop()
	resolve := time.NewTicker(resolveInterval)
	defer resolve.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-resolve.C:
			c.Resolve(ctx)
			continue
		case <-ticker.C:
		}
		if err := c.Clean(ctx); err != nil {
			c.count("cleanfail")
		}
	}
}

// Resolve repeats the writes whose outcome is unconfirmed and returns how many remain.
func (c *Claims) Resolve(ctx context.Context) int {
	for _, p := range c.waiting() {
		err := c.apply(ctx, p)
		if errors.Is(err, ErrPending) {
			continue
		}
		c.forget(p.claim)
		c.resolved(p)
	}
	return len(c.waiting())
}

func (c *Claims) waiting() []pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := make([]pending, 0, len(c.pending))
	for _, p := range c.pending {
		result = append(result, p)
	}
	return result
}

func (c *Claims) resolved(p pending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.pending[p.claim.Nonce]; ok {
		delete(c.pending, p.claim.Nonce)
		c.held -= len(p.answer.Body)
	}
}

// remember keeps a change to repeat. With too many waiting the change is dropped: the row stays claimed, and retries
// are told that the outcome is unknown.
func (c *Claims) remember(p pending) {
	c.mu.Lock()
	full := len(c.pending) >= positive(c.Most, defaultMost) || c.held+len(p.answer.Body) > defaultHeld
	_, known := c.pending[p.claim.Nonce]
	full = full && !known
	if !full && !known {
		if c.pending == nil {
			c.pending = make(map[string]pending)
		}
		c.pending[p.claim.Nonce] = p
		c.held += len(p.answer.Body)
	}
	c.mu.Unlock()
	if full {
		event.ClaimEvicted.Log(c.Logger).Str("account", p.claim.Account).Str("nonce", p.claim.Nonce).Send()
		c.forget(p.claim)
	}
}

// Clean looks at one page of claims and one page of bill markers. A cursor row shared by the fleet lets about one
// router work in each interval.
func (c *Claims) Clean(ctx context.Context) error {
	err := c.sweep(ctx, claimPrefix, c.expiredClaim)
	if err != nil {
		return trace.Wrap(err)
	}
	return c.sweep(ctx, markPrefix, c.expiredMark)
}

// sweep removes what expired returns for the rows of the next page. The cursor's commit gives the table's time, so
// that the routers' clocks do not matter.
func (c *Claims) sweep(ctx context.Context, prefix string, expired func(context.Context, table.Row, bool) []table.Op) error {
	key := cursorPrefix + strings.TrimSuffix(prefix, "/")
	cursor, err := c.get(ctx, key)
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		return trace.Wrap(err)
	}
	if !c.turn(prefix, cursor.Version) {
		return nil
	}
	page, after, err := c.page(ctx, prefix, string(cursor.Value))
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
	c.turn(prefix, rows[0].Version)
	retention := positive(c.Retention, defaultRetention)
	var ops []table.Op
	for _, found := range page {
		old := rows[0].Time.Sub(found.Time) > retention
		ops = append(ops, expired(ctx, found, old)...)
	}
	return c.remove(ctx, ops)
}

// turn reports whether the cursor stands where this router last saw it, so that nobody worked since.
func (c *Claims) turn(prefix string, version uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cursors == nil {
		c.cursors = make(map[string]uint64)
	}
	seen, ok := c.cursors[prefix]
	c.cursors[prefix] = version
	return ok && seen == version
}

// page returns the rows behind the cursor and the cursor's next value, which is empty at the end.
func (c *Claims) page(ctx context.Context, prefix, after string) ([]table.Row, string, error) {
	ctx, cancel := context.WithTimeout(ctx, positive(c.Timeout, defaultTimeout))
	defer cancel()
	limit := positive(c.Page, defaultPage)
	rows, err := c.Table.Scan(ctx, prefix, after, limit)
	if err != nil || len(rows) < limit {
		return rows, "", err
	}
	return rows, rows[len(rows)-1].Key, nil
}

// remove deletes expired rows in one commit. A row that changed meanwhile leaves all to the next pass.
func (c *Claims) remove(ctx context.Context, ops []table.Op) error {
	if len(ops) == 0 {
		return nil
	}
	if _, err := c.commit(ctx, ops...); err != nil {
		return trace.Wrap(err)
	}
	event.ClaimCleaned.Log(c.Logger).Int("rows", len(ops)).Send()
	return nil
}

// expiredClaim returns the removal of a claim row that is too old. A claim without an outcome stays while its instance
// may still run the request, however old it is. A row with a bill stays until the bill is written, and goes together
// with the bill's marker, so that a later use of the key is a new request.
func (c *Claims) expiredClaim(ctx context.Context, found table.Row, old bool) []table.Op {
	r, err := decode(found)
	if err != nil {
		return nil
	}
	dead := false
	if r.Instance != c.Instance {
		dead, err = c.dead(ctx, r.Instance)
		dead = dead && err == nil
	}
	if !old && (!dead || r.Bill == nil) || r.State == stateClaimed && !dead {
		return nil
	}
	if r.Bill == nil {
		return []table.Op{removal(found)}
	}
	mark, err := c.get(ctx, markPrefix+r.Bill.Key)
	if errors.Is(err, table.ErrNotFound) && c.Owed != nil {
		c.Owed(*r.Bill)
	}
	if err != nil || !old {
		return nil
	}
	return []table.Op{removal(found), removal(mark)}
}

// expiredMark returns the removal of a bill marker that is too old and has no claim row.
func (c *Claims) expiredMark(ctx context.Context, found table.Row, old bool) []table.Op {
	if !old {
		return nil
	}
	_, err := c.get(ctx, claimKey(strings.TrimPrefix(found.Key, markPrefix)))
	if !errors.Is(err, table.ErrNotFound) {
		return nil
	}
	return []table.Op{removal(found)}
}

func removal(found table.Row) table.Op {
	return table.Op{Key: found.Key, Delete: true, Cond: table.CondVersion, Version: found.Version}
}
