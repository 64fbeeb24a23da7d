package budget

import (
	"context"
	"slices"
	"time"

	"citronslip/internal/table"
	"citronslip/pkg/inventory"
)

const (
	// exhaustedRetryInterval is the interval at which a holder reads an exhausted budget again for a refused request.
	exhaustedRetryInterval = 5 * time.Second
	// normalMinInterval is the shortest interval between two resizes in a budget that is not low, without refusals.
	normalMinInterval = 30 * time.Second
	// normalReviewInterval is the longest interval between two resizes in a budget with several holders that is not low, so
	// that they notice when it becomes low.
	normalReviewInterval = 5 * time.Minute
	// lowInterval is the interval between two resizes in a low budget. It grows with the number of holders, so
	// that one budget row is read less than twice per second.
	lowInterval = 20 * time.Second
	// lowIntervalPerHolder is added to lowInterval for each holder.
	lowIntervalPerHolder = 500 * time.Millisecond
	// minChangeFraction is the smallest change of a grant, as a fraction of its unused tokens, that is worth a write.
	minChangeFraction = 0.1
)

// resize opens, grows, shrinks and closes grants. A new configuration makes it consider all of them.
func (g *GrantController) resize(ctx context.Context) error {
	if g.now().Before(g.growthAt) {
		return nil
	}
	declared := g.Declared.Load()
	if declared == nil {
		return nil
	}
	if declared.Version != g.configVersion {
		g.configVersion = declared.Version
		for _, gr := range g.grants {
			gr.nextResize, gr.nextRetry = time.Time{}, time.Time{}
		}
	}
	now := g.now()
	var resizable, idle []Key
	for key, gr := range g.grants {
		switch {
		case gr.mustRead:
		case g.shouldClose(gr, now, declared):
			idle = append(idle, key)
		case g.needsResize(key, gr, now):
			resizable = append(resizable, key)
		}
	}
	sortKeys(resizable)
	sortKeys(idle)
	err := g.commitPlanned(ctx, resizable, func(gr *grant, budget budgetState) (change, bool) {
		return g.planResize(gr, budget, declared)
	})
	if err != nil {
		return err
	}
	return g.commitPlanned(ctx, idle, g.planIdle)
}

// shouldClose reports whether a grant is to be closed, because it is idle or its budget is no longer declared.
func (g *GrantController) shouldClose(gr *grant, now time.Time, declared *Declarations) bool {
	if gr.version == 0 {
		return false
	}
	u := gr.entry.snapshot()
	if u.reserved != 0 || u.largestRefused != 0 {
		return false
	}
	_, ok := declared.Budgets[gr.entry.key]
	return !ok || now.Sub(gr.lastActive) > g.Idle
}

// needsResize reports whether the size of a grant is to be decided again.
func (g *GrantController) needsResize(key Key, gr *grant, now time.Time) bool {
	u := gr.entry.snapshot()
	if gr.version == 0 {
		refused := u.largestRefused > 0 && (!now.Before(gr.nextRetry) || u.smallestRefused <= u.tableFree)
		return len(gr.unresolved) > 0 || refused && g.shouldHold(key, gr, u)
	}
	if u.largestRefused > 0 {
		return !now.Before(gr.nextRetry) || u.smallestRefused <= u.tableFree+gr.row.Amount-u.used()
	}
	if now.Before(gr.nextResize) {
		return false
	}
	return !now.Before(gr.resizeDeadline) || gr.row.Amount-u.used() < lowWatermark(g.Policy, g.policyInput(gr, u))
}

// shouldHold reports whether this router is to hold a grant of the budget: because the fleet is small, as the budget's
// home router, or for sustained demand.
func (g *GrantController) shouldHold(key Key, gr *grant, u counters) bool {
	if g.Live == nil {
		return true
	}
	live := g.Live.Load()
	if live == nil || len(*live) <= g.Direct || HomeOf(*live, key) == g.Address {
		return true
	}
	return u.largestBound > 0 && gr.meter.rate() > g.Sustained*float64(u.largestBound)
}

// policyInput returns the input of the policy except for the budget row.
func (g *GrantController) policyInput(gr *grant, u counters) policyInput {
	return policyInput{counters: u, demandRate: gr.meter.rate(), window: g.window, chargedBefore: gr.chargedBefore,
		grantRow: gr.row}
}

// commitPlanned reads the budget rows of the keys and commits the changes that the function plans, in batches.
func (g *GrantController) commitPlanned(
	ctx context.Context, keys []Key, planChange func(*grant, budgetState) (change, bool),
) error {
	for batch := range slices.Chunk(keys, maxBatchGrants) {
		var changes []change
		for _, key := range batch {
			budget, err := g.readBudget(ctx, key)
			if err != nil {
				return err
			}
			if c, ok := planChange(g.grants[key], budget); ok {
				changes = append(changes, c)
			}
		}
		if len(changes) == 0 {
			continue
		}
		if err := g.commitChanges(ctx, changes); err != nil {
			return err
		}
	}
	return nil
}

// readBudget reads the row of a budget. It is zero if there is none.
func (g *GrantController) readBudget(ctx context.Context, key Key) (budgetState, error) {
	var state budgetState
	var err error
	state.version, err = g.get(ctx, RowKey(key), &state.row)
	return state, err
}

// planResize returns the change that gives a grant the size that the policy sets, as far as the budget allows. It
// returns false if the change is not worth a write.
func (g *GrantController) planResize(gr *grant, budget budgetState, declared *Declarations) (change, bool) {
	key := gr.entry.key
	declaration := declared.Budgets[key]
	previous := budget.row.Declared
	budget.row.setDeclared(declared.Version, declaration.Total)
	if budget.version != 0 && previous != budget.row.Declared {
		g.logDeclared(key, budget.row)
	}
	u := gr.entry.snapshot()
	in := g.policyInput(gr, u)
	in.budgetRow = budget.row
	in.worseOutcome = declaration.Weigh
	if u.largestRefused > max(0, gr.row.Amount-u.used())+budget.row.Free() {
		in.largestRefused = u.smallestRefused // A larger bound that does not fit must not keep a smaller one from its tokens.
	}
	target := targetOf(g.Policy, in)
	amount := min(u.used()+target.headroom, gr.row.Amount+budget.row.Free())
	g.scheduleResize(gr, target, budget.row)
	if u.largestRefused > 0 && amount-u.used() < u.largestRefused {
		gr.entry.recordTableState(true, budget.row.Free())
		gr.nextRetry = g.now().Add(exhaustedRetryInterval)
		g.logExhausted(key, budget.row)
	} else {
		gr.entry.recordTableState(false, budget.row.Free())
	}
	if !g.worthWriting(gr, u, target, amount) {
		return change{}, false
	}
	if amount < gr.row.Amount {
		u = gr.entry.lowerLimits(amount, amount)
		amount = u.granted
		gr.entry.recordReturned(gr.row.Amount - amount)
	}
	return g.resizeChange(gr, u, budget, amount), true
}

// scheduleResize sets when the size of the grant is decided again.
func (g *GrantController) scheduleResize(gr *grant, target grantTarget, budgetRow Row) {
	now := g.now()
	gr.nextResize = now.Add(normalMinInterval)
	gr.resizeDeadline = now.Add(normalReviewInterval)
	if target.low {
		gr.nextResize = now.Add(lowInterval + time.Duration(budgetRow.Holders)*lowIntervalPerHolder)
		gr.resizeDeadline = gr.nextResize
	}
	if budgetRow.Holders <= 1 {
		gr.nextResize = now.Add(normalReviewInterval) // No other holder takes or returns tokens.
		gr.resizeDeadline = now.Add(g.Idle)
	}
}

// worthWriting reports whether a change to the amount is worth a write.
func (g *GrantController) worthWriting(gr *grant, u counters, target grantTarget, amount inventory.Tokens) bool {
	if gr.version == 0 {
		return amount > 0
	}
	if gr.mustWrite {
		return true
	}
	if _, ok := g.Policy.(DemandPolicy); !ok {
		return amount > gr.row.Amount
	}
	minChange := inventory.Tokens(minChangeFraction * float64(max(target.headroom, gr.row.Amount-u.used())))
	if target.low && target.headroom == 0 {
		return amount < gr.row.Amount
	}
	if target.low && u.spent-gr.row.Reported > minChange {
		return true // The other holders size their grants by the reported consumption.
	}
	if amount > gr.row.Amount {
		return amount-gr.row.Amount > minChange || u.largestRefused > gr.row.Amount-u.used()
	}
	return target.low && gr.row.Amount-amount > minChange+u.largestBound
}

// resizeChange returns the change that sets a new amount, and opens the grant if there is none.
func (g *GrantController) resizeChange(gr *grant, u counters, budget budgetState, amount inventory.Tokens) change {
	key := gr.entry.key
	row := g.nextRow(gr, amount, u)
	row.Rate = perHour(gr.meter.rate())
	row.Reported = u.spent
	budget.row.replaceGrant(gr.row, row)
	c := change{key: key, grant: gr, row: row}
	c.ops = []table.Op{
		putOp(GrantRowKey(key, g.Instance), gr.version, row),
		putOp(RowKey(key), budget.version, budget.row),
	}
	if gr.version == 0 {
		c.ops = append(c.ops, table.Op{Key: holdingKey(g.Instance, key)})
	}
	return c
}

// planIdle returns the change that closes an idle grant. It returns false if a reservation was made in the meantime.
func (g *GrantController) planIdle(gr *grant, budget budgetState) (change, bool) {
	c, ok := g.planClose(gr, budget, false)
	if !ok {
		g.restoreLimits(gr)
	}
	return c, ok
}

// planClose lowers the limits of a grant to the tokens in use and returns the change that closes it. With open
// reservations it returns false, unless charge is set: they are then charged at their bounds.
func (g *GrantController) planClose(gr *grant, budget budgetState, charge bool) (change, bool) {
	u := gr.entry.lowerLimits(0, 0)
	if u.reserved > 0 && !charge {
		return change{}, false
	}
	key := gr.entry.key
	row := gr.row
	row.Spent = u.used()
	budget.row.Closed += row.Spent
	budget.row.replaceGrant(gr.row, GrantRow{})
	return change{key: key, grant: gr, row: row, close: true, ops: []table.Op{
		deleteOp(GrantRowKey(key, g.Instance), gr.version),
		putOp(RowKey(key), budget.version, budget.row),
		{Key: holdingKey(g.Instance, key), Delete: true},
	}}, true
}
