package budget

import (
	"context"
	"errors"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"citronslip/internal/event"
	"citronslip/internal/table"
)

// isRegistrationForgotten reports whether the table has forgotten this instance's registration, as after it came back
// from an older copy: the address is again registered to the instance before this one, or to none. Nobody but a later
// instance replaces the registration otherwise.
func (g *GrantController) isRegistrationForgotten(ctx context.Context) bool {
	var row InstanceRow
	_, err := g.get(ctx, instanceKey(g.Address), &row)
	return err == nil && g.registered && row.Instance == g.previous
}

// registerAgain makes the next step register this instance again and compare all grants with their rows.
func (g *GrantController) registerAgain() error {
	g.log(event.TableRestored, nil)
	g.registered = false
	g.alive = aliveState{}
	g.pauseGrowth()
	for _, gr := range g.grants {
		gr.mustRead = gr.mustRead || gr.version != 0
	}
	return trace.Wrap(ErrTableFailed, "the registration is gone, the table was restored from an older copy")
}

// pauseGrowth makes this router take no more tokens until every router that reaches the table has noticed by its heartbeat
// that the table was restored, and has written its grants again.
func (g *GrantController) pauseGrowth() { g.growthAt = g.now().Add(g.Heartbeat + g.Timeout) }

// isForgotten reports whether the table has an older row than the confirmed one, or none although no write of this
// instance has deleted it.
func (gr *grant) isForgotten(row GrantRow, version uint64) bool {
	if gr.version == 0 {
		return false
	}
	if version != 0 {
		return row.Sequence < gr.row.Sequence
	}
	for _, write := range gr.unresolved {
		if write.close {
			return false
		}
	}
	return true
}

// rewriteGrant writes a grant again that the table has forgotten, and counts its amount in the budget row. Another router
// that closes grants fences their holder first, so it is fenced or the table was restored.
func (g *GrantController) rewriteGrant(ctx context.Context, key Key, gr *grant, old GrantRow, version uint64) error {
	if err := g.readAlive(ctx); err != nil {
		return err
	}
	budget, err := g.readBudget(ctx, key)
	if err != nil {
		return err
	}
	g.pauseGrowth()
	gr.sequence++
	next := gr.row
	next.Sequence = gr.sequence
	budget.row.replaceGrant(old, next)
	alive := g.aliveRow()
	rows, err := g.commit(ctx, []table.Op{
		putOp(GrantRowKey(key, g.Instance), version, next),
		putOp(RowKey(key), budget.version, budget.row),
		{Key: holdingKey(g.Instance, key)},
		putOp(aliveKey(g.Instance), g.alive.version, alive),
	})
	if err != nil {
		gr.mustRead = true
		g.alive.mustRead = true
		if errors.Is(err, table.ErrConflict) {
			return nil
		}
		return trace.Wrap(ErrTableFailed, "rewrite grant: %v", err)
	}
	g.alive = aliveState{row: alive, version: rows[len(rows)-1].Version, writtenAt: g.now()}
	g.setRow(gr, next, rows[0].Version)
	g.log(event.GrantRewritten, func(e *zerolog.Event) {
		e.Str("account", key.Account).Str("budget", key.Budget).Int64("amount", int64(next.Amount)).Int64("before", int64(old.Amount))
	})
	return nil
}
