package budget

import (
	"context"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"citronslip/internal/event"
	"citronslip/internal/table"
	"citronslip/pkg/inventory"
)

// register writes the InstanceRow of this instance's address and creates its alive row. A delayed registration of an
// earlier instance cannot take effect after it, because both depend on the row version that they read.
func (g *GrantController) register(ctx context.Context) error {
	if g.registered {
		return nil
	}
	var row InstanceRow
	version, err := g.get(ctx, instanceKey(g.Address), &row)
	if err != nil {
		return err
	}
	if row.Instance != g.Instance {
		g.previous = row.Instance
		_, err = g.commit(ctx, []table.Op{
			putOp(instanceKey(g.Address), version, InstanceRow{Instance: g.Instance}),
			putOp(aliveKey(g.Instance), 0, AliveRow{Address: g.Address}),
		})
		if err != nil {
			return trace.Wrap(ErrTableFailed, "register: %v", err)
		}
	}
	g.registered = true
	g.alive.mustRead = true
	return nil
}

// recover reads the rows that must be read before they are written, to find out which writes took effect.
func (g *GrantController) recover(ctx context.Context) error {
	if g.alive.mustRead {
		if err := g.readAlive(ctx); err != nil {
			return err
		}
	}
	for key, gr := range g.grants {
		if !gr.mustRead {
			continue
		}
		if err := g.resolveWrites(ctx, key, gr); err != nil {
			return err
		}
	}
	return nil
}

// resolveWrites compares a grant's row with its unresolved writes. A write that has not taken effect may still do so
// later, so the limits stay at the lowest possible values until another write of the row succeeds.
func (g *GrantController) resolveWrites(ctx context.Context, key Key, gr *grant) error {
	var row GrantRow
	version, err := g.get(ctx, GrantRowKey(key, g.Instance), &row)
	if err != nil {
		return err
	}
	gr.mustRead = false
	gr.mustWrite = len(gr.unresolved) > 0
	if version == gr.version {
		return nil
	}
	if gr.isForgotten(row, version) {
		return g.rewriteGrant(ctx, key, gr, row, version)
	}
	if version == 0 {
		g.handleMissingRow(key, gr)
		return nil
	}
	for _, write := range gr.unresolved {
		if !write.close && write.row.Sequence == row.Sequence {
			g.setRow(gr, row, version)
			g.log(event.GrantRecovered, func(e *zerolog.Event) { e.Str("account", key.Account).Str("budget", key.Budget) })
			return nil
		}
	}
	return nil
}

// handleMissingRow handles a grant whose row is gone, deleted by an unresolved write of its own or by another router.
func (g *GrantController) handleMissingRow(key Key, gr *grant) {
	for _, write := range gr.unresolved {
		if write.close {
			g.resetGrant(gr, write.row.Spent)
			return
		}
	}
	g.log(event.GrantLost, func(e *zerolog.Event) { e.Str("account", key.Account).Str("budget", key.Budget) })
	g.resetGrant(gr, gr.entry.lowerLimits(0, 0).spent)
}

// setRow records a confirmed row and sets the limits from it.
func (g *GrantController) setRow(gr *grant, row GrantRow, version uint64) {
	gr.row = row
	gr.version = version
	gr.unresolved = nil
	gr.mustWrite = false
	gr.writtenAt = g.now()
	gr.entry.setLimits(min(row.NormalLimit, row.Amount), row.Amount)
}

// resetGrant records that the grant was closed and what it was charged.
func (g *GrantController) resetGrant(gr *grant, charge inventory.Tokens) {
	gr.entry.endGrant(charge)
	gr.chargedBefore += charge
	if charge > 0 {
		g.chargedBefore[gr.entry.key] = gr.chargedBefore
	}
	gr.row = GrantRow{}
	gr.version = 0
	gr.unresolved = nil
	gr.mustWrite = false
}
