package budget

import (
	"context"

	"github.com/gravitational/trace"

	"citronslip/internal/event"
	"citronslip/internal/table"
)

// needsHeartbeat reports whether the confirmation in the alive row must be renewed.
func (g *GrantController) needsHeartbeat() bool {
	return !g.alive.mustRead && g.countOpen() > 0 && g.now().Sub(g.alive.writtenAt) >= g.Heartbeat
}

// aliveRow returns the alive row to write. Its confirmation counts for all grants of the instance, so it is raised only
// if no grant has used more than the normal limit in its row.
func (g *GrantController) aliveRow() AliveRow {
	row := AliveRow{Address: g.Address, Confirmed: g.alive.row.Confirmed}
	for _, gr := range g.grants {
		if gr.version != 0 && gr.exceedsNormalLimit() {
			return row
		}
	}
	row.Confirmed = g.confirmed
	return row
}

// readAlive reads this instance's alive row. If the row is fenced or gone, the instance was declared dead and must stop
// spending; the error is then ErrFenced. If the row has changed, unresolved writes may have taken effect with it,
// so their grant rows are read again.
func (g *GrantController) readAlive(ctx context.Context) error {
	var row AliveRow
	version, err := g.get(ctx, aliveKey(g.Instance), &row)
	if err != nil {
		return err
	}
	if version == 0 && g.isRegistrationForgotten(ctx) {
		return g.registerAgain()
	}
	if version == 0 || row.Fenced {
		g.stopSpending()
		return trace.Wrap(ErrFenced)
	}
	if version != g.alive.version {
		for _, gr := range g.grants {
			gr.mustRead = gr.mustRead || len(gr.unresolved) > 0
		}
	}
	g.alive = aliveState{row: row, version: version, writtenAt: g.alive.writtenAt}
	return nil
}

// removeAlive deletes this instance's alive row after its last grant was closed. Writes in flight that open a grant
// depend on the row and fail without it.
func (g *GrantController) removeAlive(ctx context.Context) error {
	if g.alive.version == 0 {
		return nil
	}
	_, err := g.commit(ctx, []table.Op{deleteOp(aliveKey(g.Instance), g.alive.version)})
	if err != nil {
		g.alive.mustRead = true
		return trace.Wrap(ErrTableFailed, "close: %v", err)
	}
	g.alive = aliveState{}
	g.fenced = true
	return nil
}

// stopSpending lowers all limits to the tokens in use, because this instance was fenced.
func (g *GrantController) stopSpending() {
	g.fenced = true
	for _, gr := range g.grants {
		gr.entry.lowerLimits(0, 0)
	}
	g.log(event.RegistrationLost, nil)
}

// exceedsNormalLimit reports whether more tokens are in use than the normal limit in the grant's row, or in an
// unresolved write of it.
func (gr *grant) exceedsNormalLimit() bool {
	normalLimit := gr.row.NormalLimit
	for _, write := range gr.unresolved {
		if !write.close {
			normalLimit = min(normalLimit, write.row.NormalLimit)
		}
	}
	return gr.entry.snapshot().used() > normalLimit
}
