package budget

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"citronslip/internal/event"
	"citronslip/internal/table"
	"citronslip/pkg/inventory"
)

const (
	// maxBatchGrants is the largest number of grants in one commit.
	maxBatchGrants = 32
)

type (
	// budgetState is a budget row as read from the table, with its version; version 0 means that there is no row.
	budgetState struct {
		row     Row
		version uint64
	}

	// change is the part of a commit that belongs to one grant.
	change struct {
		key   Key
		grant *grant
		row   GrantRow   // Row to write. If close is set, its Spent is the charge.
		close bool       // The grant is closed and its row deleted.
		ops   []table.Op // The op of the grant row comes first.
	}
)

// refresh rewrites the rows of grants that need a higher normal limit or a consumption report, and renews the alive
// row.
func (g *GrantController) refresh(ctx context.Context) error {
	var changes []change
	for key, gr := range g.grants {
		if gr.version == 0 || gr.mustRead || !g.needsWrite(gr) {
			continue
		}
		changes = append(changes, g.refreshChange(key, gr))
	}
	slices.SortFunc(changes, func(a, b change) int { return compareKeys(a.key, b.key) })
	for batch := range slices.Chunk(changes, maxBatchGrants) {
		if err := g.commitChanges(ctx, batch); err != nil {
			return err
		}
	}
	if g.needsHeartbeat() {
		return g.commitChanges(ctx, nil)
	}
	return nil
}

// needsWrite reports whether a grant's row must be written although its amount stays the same.
func (g *GrantController) needsWrite(gr *grant) bool {
	u := gr.entry.snapshot()
	switch {
	case gr.mustWrite, u.used() > gr.row.NormalLimit && gr.row.NormalLimit < gr.row.Amount:
		return true
	case gr.row.NormalLimit < gr.row.Amount && gr.row.NormalLimit-u.used() < g.limitIncrement(gr, u)/2:
		return true
	default:
		return u.spent != gr.row.Spent && g.now().Sub(gr.writtenAt) > max(g.Report, g.window)
	}
}

// refreshChange returns the change that writes a grant's row with the same amount.
func (g *GrantController) refreshChange(key Key, gr *grant) change {
	row := g.nextRow(gr, gr.row.Amount, gr.entry.snapshot())
	return change{key: key, grant: gr, row: row, ops: []table.Op{putOp(GrantRowKey(key, g.Instance), gr.version, row)}}
}

// nextRow returns the row that replaces the one in the table. Its normal limit covers all tokens in use, because the
// confirmation in the row states that nothing was spent above it.
func (g *GrantController) nextRow(gr *grant, amount inventory.Tokens, u counters) GrantRow {
	gr.sequence++
	row := gr.row
	row.Sequence = gr.sequence
	row.Amount = amount
	row.NormalLimit = min(amount, max(row.NormalLimit, u.used()+g.limitIncrement(gr, u)))
	row.Spent = u.spent
	row.ChargedBefore = gr.chargedBefore
	row.Confirmed = g.confirmed
	return row
}

// limitIncrement returns the tokens by which the normal limit is to exceed the tokens in use.
func (g *GrantController) limitIncrement(gr *grant, u counters) inventory.Tokens {
	return max(inventory.Tokens(gr.meter.rate()*g.window.Seconds()), 2*u.largestBound, u.largestRefused)
}

// commitChanges commits changes together, with the alive row if it must be renewed. After a conflict each change is committed
// alone, so that a budget row that many holders write does not delay the other changes.
func (g *GrantController) commitChanges(ctx context.Context, changes []change) error {
	var ops []table.Op
	opens := false
	for _, c := range changes {
		ops = append(ops, c.ops...)
		opens = opens || c.grant.version == 0
	}
	// Every commit that opens a grant depends on the version of the alive row, so that it fails once the row is fenced.
	heartbeat := opens || g.needsHeartbeat()
	alive := g.aliveRow()
	if heartbeat {
		ops = append(ops, putOp(aliveKey(g.Instance), g.alive.version, alive))
	}
	if len(ops) == 0 {
		return nil
	}
	rows, err := g.commit(ctx, ops)
	switch {
	case err == nil:
		g.applyCommitted(changes, rows)
		if heartbeat {
			g.alive = aliveState{row: alive, version: rows[len(rows)-1].Version, writtenAt: g.now()}
			g.dropUnresolvedOpens()
		}
		return nil
	case errors.Is(err, table.ErrConflict):
		return g.handleConflict(ctx, changes, heartbeat)
	case errors.Is(err, table.ErrUnknown):
		g.recordUnresolved(changes, heartbeat)
	default:
		for _, c := range changes {
			g.restoreLimits(c.grant)
		}
	}
	return trace.Wrap(ErrTableFailed, "commit: %v", err)
}

// applyCommitted updates the grants after a confirmed commit.
func (g *GrantController) applyCommitted(changes []change, rows []table.Row) {
	index := 0
	for _, c := range changes {
		row := rows[index]
		index += len(c.ops)
		if c.close {
			g.resetGrant(c.grant, c.row.Spent)
			g.logGrant(event.GrantClosed, c)
			continue
		}
		if c.grant.version == 0 {
			g.logGrant(event.GrantOpened, c)
		}
		g.setRow(c.grant, c.row, row.Version)
	}
}

// handleConflict handles a commit that failed because a row had changed. Several changes are committed one by one; a
// single one is planned again in a later step, after its grant row is read.
func (g *GrantController) handleConflict(ctx context.Context, changes []change, heartbeat bool) error {
	if heartbeat {
		if err := g.readAlive(ctx); err != nil {
			return err
		}
	}
	if len(changes) <= 1 {
		for _, c := range changes {
			c.grant.mustRead = true
			c.grant.nextResize = time.Time{}
			g.restoreLimits(c.grant)
		}
		return nil
	}
	for i := range changes {
		if err := g.commitChanges(ctx, changes[i:i+1]); err != nil {
			return err
		}
	}
	return nil
}

// restoreLimits sets the limits back to those of the confirmed row after a write that is certain to have had no effect.
func (g *GrantController) restoreLimits(gr *grant) {
	if gr.version != 0 && len(gr.unresolved) == 0 {
		gr.entry.setLimits(min(gr.row.NormalLimit, gr.row.Amount), gr.row.Amount)
	}
}

// dropUnresolvedOpens drops unresolved writes that open a grant: they depend on a version of the alive row that has
// been replaced, so they can no longer take effect.
func (g *GrantController) dropUnresolvedOpens() {
	for _, gr := range g.grants {
		if gr.version == 0 && !gr.mustRead {
			gr.unresolved = nil
			gr.mustWrite = false
		}
	}
}

// recordUnresolved records changes whose outcome is unknown, and that their rows must be read.
func (g *GrantController) recordUnresolved(changes []change, heartbeat bool) {
	for _, c := range changes {
		c.grant.unresolved = append(c.grant.unresolved, unresolvedWrite{row: c.row, close: c.close})
		c.grant.mustRead = true
		c.grant.nextResize = time.Time{}
	}
	g.alive.mustRead = g.alive.mustRead || heartbeat
}

// logGrant logs an event about a grant with its amount and consumption.
func (g *GrantController) logGrant(e event.Event, c change) {
	g.log(e, func(line *zerolog.Event) {
		line.Str("account", c.key.Account).Str("budget", c.key.Budget).
			Int64("amount", int64(c.row.Amount)).Int64("spent", int64(c.row.Spent))
	})
}

// logDeclared logs a changed declaration, and whether the total cannot follow it yet.
func (g *GrantController) logDeclared(key Key, row Row) {
	e := event.BudgetTotalChanged
	if row.Total > row.Declared {
		e = event.BudgetTotalClamped
	}
	g.log(e, func(line *zerolog.Event) {
		line.Str("account", key.Account).Str("budget", key.Budget).
			Int64("declared", int64(row.Declared)).Int64("total", int64(row.Total))
	})
}

// logExhausted logs that a budget has too few tokens left for a refused request.
func (g *GrantController) logExhausted(key Key, row Row) {
	g.log(event.BudgetExhausted, func(line *zerolog.Event) {
		line.Str("account", key.Account).Str("budget", key.Budget).
			Int64("total", int64(row.Total)).Int64("granted", int64(row.Granted)).Int64("closed", int64(row.Closed))
	})
}

func sortKeys(keys []Key) { slices.SortFunc(keys, compareKeys) }

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Budget, b.Budget))
}
