package budget

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/board"
	"citronslip/internal/delay"
	"citronslip/internal/event"
	"citronslip/internal/hosts"
	"citronslip/internal/table"
	"citronslip/pkg/inventory"
)

const (
	// DefaultStepInterval is the interval between two steps of the controller.
	DefaultStepInterval = time.Second
	// DefaultCallTimeout is the timeout of one call of the table or the host list.
	DefaultCallTimeout = 2 * time.Second
	// DefaultLimitWindow is the time for which the normal limit of a grant covers the demand.
	DefaultLimitWindow = 3 * time.Minute
	// DefaultHeartbeatInterval is the interval between two renewals of the confirmation in the alive row. It is well
	// below the autonomy delay, so that a dead instance is usually detected early enough to be charged by its normal
	// limits only.
	DefaultHeartbeatInterval = 20 * time.Second
	// DefaultReportInterval is the interval between two writes of a grant row for which only the consumption has
	// changed.
	DefaultReportInterval = 5 * time.Minute
	// DefaultIdleTimeout is the idle timeout: the time without demand after which a grant is closed.
	DefaultIdleTimeout = 2 * time.Hour
	// DefaultHostListLag is the longest time by which the host list lags behind the hosts.
	DefaultHostListLag = 30 * time.Second
	// DefaultMaxDirectRouters is the number of routers up to which every router opens grants of its own.
	DefaultMaxDirectRouters = 16
	// DefaultSustainedRate is the demand in requests per second above which a router of a larger fleet opens its own
	// grant.
	DefaultSustainedRate = 0.2
	// DefaultRefreshRate is the rate in writes per second to which one router limits its refreshes of grant rows. 400
	// routers make 80 writes per second.
	DefaultRefreshRate = 0.2
	// minWakeInterval is the shortest interval between two steps when refused requests wake the controller.
	minWakeInterval = 20 * time.Millisecond
)

type (
	// GrantController opens, resizes and closes the grants of one router instance in the table, keeps the limits of its
	// ledger in line with them, and reclaims the grants of dead instances. Set the fields before Run.
	GrantController struct {
		Table    table.Table
		Hosts    hosts.List // Shows which hosts are gone; not consulted if nil.
		Ledger   *Ledger
		Declared *board.Cell[Declarations]
		Live     *board.Cell[[]string] // Addresses of the reachable routers. If nil, there are no others.
		Usage    UsageLookup           // Usage of dead instances; if nil, their grants are charged by their limits.
		Home     *Home                 // Reservations for other routers; none if nil.
		Instance string                // Unique for each start of a router.
		Address  string                // IP address and port, as in the host list.
		Policy   Policy                // DemandPolicy{} if nil.

		// A field of this group that is 0 takes its default from the constants above.

		Interval  time.Duration // Interval between two steps.
		Timeout   time.Duration // Timeout of one call of the table or the host list.
		Window    time.Duration // Time for which normal limits cover the demand.
		Heartbeat time.Duration // Interval between two renewals of the alive row.
		Report    time.Duration // Interval between two writes of a changed consumption.
		Idle      time.Duration // Idle timeout of a grant.
		Lag       time.Duration // Longest lag of the host list.
		Direct    int           // Number of routers up to which all of them open grants.
		Sustained float64       // Demand in requests per second that justifies a grant in a larger fleet.
		Writes    float64       // Limit of refreshes in writes per second.

		Now    func() time.Time // Clock with a monotonic reading, time.Now if nil.
		Logger *zerolog.Logger  // No log if nil.
		Scope  tally.Scope      // No metrics if nil.

		once          sync.Once
		grants        map[Key]*grant
		chargedBefore map[Key]inventory.Tokens // Tokens charged for closed grants of this instance.
		registered    bool                     // This instance is registered under its address.
		growthAt      time.Time                // No grant is opened or resized before, because the table was restored.
		previous      string                   // Instance that was registered before this one, "" if none.
		fenced        bool                     // This instance may not spend any more.
		autonomous    bool                     // The ledger was autonomous in the last step.
		confirmed     time.Time                // Commit time of the last confirmed write, by the table's clock.
		configVersion int                      // Configuration version of the last resize.
		window        time.Duration            // Window, lengthened so that the refreshes stay within Writes.
		alive         aliveState
		reclaimState  reclaimState
	}

	// UsageLookup returns the tokens of a budget that all attempts of a dead instance used, as the engines report. It
	// returns false while reports are missing.
	UsageLookup func(ctx context.Context, instance string, key Key) (inventory.Tokens, bool)

	// aliveState is the state of the controller's own alive row as last confirmed.
	aliveState struct {
		row       AliveRow
		version   uint64    // 0 if there is no row.
		writtenAt time.Time // Last write, by the local clock.
		mustRead  bool      // The row must be read before it is written.
	}

	// grant is the controller's state of one budget, with the grant if one is open.
	grant struct {
		entry          *entry
		meter          demandMeter
		sequence       int64             // Sequence number of the last write.
		row            GrantRow          // Row in the table as last confirmed.
		version        uint64            // Version of that row, 0 if no grant is open.
		unresolved     []unresolvedWrite // Writes that may or may not have taken effect.
		mustRead       bool              // The row must be read before it is written.
		mustWrite      bool              // The row must be written so that no unresolved write takes effect later.
		nextResize     time.Time         // Earliest time for a resize, unless a request was refused.
		nextRetry      time.Time         // Earliest time for a resize because of a refused request.
		resizeDeadline time.Time         // Time at which the grant is resized though enough tokens are left.
		writtenAt      time.Time         // Last write, by the local clock.
		lastActive     time.Time         // Last step that saw demand.
		chargedBefore  inventory.Tokens  // Tokens charged for earlier grants of the instance.
	}

	// unresolvedWrite is a write of a grant row whose outcome is unknown.
	unresolvedWrite struct {
		row   GrantRow
		close bool // The write deletes the row.
	}
)

// Run calls Step at each interval, or earlier when a request is refused, until the context ends. It returns
// ErrFenced if this instance may not spend any more. It does not close the grants; a planned stop calls Close after
// the last request.
func (g *GrantController) Run(ctx context.Context) error {
	g.once.Do(g.init)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-g.Ledger.wake:
			if !delay.Sleep(ctx, minWakeInterval) {
				return nil
			}
		}
		if err := g.Step(ctx); errors.Is(err, ErrFenced) {
			return trace.Wrap(err)
		}
		timer.Reset(g.Interval)
	}
}

// Step does all pending work: registration, refreshes, resizes and reclaims. A failed table call ends the step with
// ErrTableFailed, and it returns ErrFenced if this instance may not spend any more. It must not be called concurrently
// with itself or Close.
func (g *GrantController) Step(ctx context.Context) error {
	g.once.Do(g.init)
	err := g.step(ctx)
	g.Ledger.stepDone.Store(&struct{}{})
	if err != nil && ctx.Err() == nil {
		g.log(event.BudgetTableFailed, func(e *zerolog.Event) { e.Err(err) })
	}
	return err
}

func (g *GrantController) step(ctx context.Context) error {
	g.measureDemand()
	g.logModeChange()
	for _, phase := range []func(context.Context) error{
		g.register, g.recover, g.refresh, g.resize, g.reclaim, g.chargeDeadRequesters,
	} {
		if g.fenced {
			return trace.Wrap(ErrFenced)
		}
		if err := phase(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Close closes all grants for a planned stop. It waits for reservations to settle until the context ends, and then
// charges the remaining ones at their bounds. It returns ErrGrantsOpen if grants are still open after that, and
// ErrFenced if this instance was fenced before.
func (g *GrantController) Close(ctx context.Context) error {
	g.once.Do(g.init)
	for {
		open, err := g.CloseStep(ctx, false)
		if open == 0 && err == nil {
			return nil
		}
		if errors.Is(err, ErrFenced) {
			return trace.Wrap(err) // Another router reclaims the grants.
		}
		if !delay.Sleep(ctx, minWakeInterval) {
			break
		}
	}
	lastCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.Timeout)
	defer cancel()
	open, err := g.CloseStep(lastCtx, true)
	if open > 0 {
		g.log(event.GrantsLeftOpen, func(e *zerolog.Event) { e.Int("open", open) })
		return trace.Wrap(ErrGrantsOpen)
	}
	return err
}

// CloseStep tries once to close the grants that have no open reservations. With charge, it closes all grants and
// charges open reservations at their bounds. It returns the number of grants that are still open.
func (g *GrantController) CloseStep(ctx context.Context, charge bool) (int, error) {
	g.once.Do(g.init)
	g.measureDemand()
	err := g.recover(ctx)
	if errors.Is(err, ErrFenced) && g.countOpen() == 0 {
		// The alive row is gone, for example after an earlier close whose answer was lost.
		return 0, nil
	}
	if err != nil {
		return g.countOpen(), err
	}
	var keys []Key
	for key, gr := range g.grants {
		u := gr.entry.lowerLimits(0, 0)
		if gr.version != 0 && (u.reserved == 0 || charge) {
			keys = append(keys, key)
		}
	}
	sortKeys(keys)
	err = g.commitPlanned(ctx, keys, func(gr *grant, budget budgetState) (change, bool) {
		return g.planClose(gr, budget, charge)
	})
	if open := g.countOpen(); open > 0 || err != nil {
		return open, err
	}
	return 0, g.removeAlive(ctx)
}

func (g *GrantController) init() {
	g.Ledger.once.Do(g.Ledger.init)
	g.grants = make(map[Key]*grant)
	g.chargedBefore = make(map[Key]inventory.Tokens)
	g.reclaimState.reportsMissingSince = make(map[string]time.Time)
	g.Interval = defaultTo(g.Interval, DefaultStepInterval)
	g.Timeout = defaultTo(g.Timeout, DefaultCallTimeout)
	g.Window = defaultTo(g.Window, DefaultLimitWindow)
	g.Heartbeat = defaultTo(g.Heartbeat, DefaultHeartbeatInterval)
	g.Report = defaultTo(g.Report, DefaultReportInterval)
	g.Idle = defaultTo(g.Idle, DefaultIdleTimeout)
	g.Lag = defaultTo(g.Lag, DefaultHostListLag)
	g.Direct = defaultTo(g.Direct, DefaultMaxDirectRouters)
	g.Sustained = defaultTo(g.Sustained, DefaultSustainedRate)
	g.Writes = defaultTo(g.Writes, DefaultRefreshRate)
	if g.Policy == nil {
		g.Policy = DemandPolicy{}
	}
	if g.Scope == nil {
		g.Scope = tally.NoopScope
	}
}

// measureDemand updates the demand of each budget, derives the window, and removes entries that are not needed any
// more.
func (g *GrantController) measureDemand() {
	now := g.now()
	activeGrants := 0
	for _, e := range g.Ledger.entries() {
		gr := g.grants[e.key]
		if gr == nil || gr.entry != e {
			gr = &grant{entry: e, lastActive: now, chargedBefore: g.chargedBefore[e.key]}
			g.grants[e.key] = gr
		}
		u := e.snapshot()
		if u.demand != gr.meter.lastDemand {
			gr.lastActive = now
		}
		gr.meter.observe(now, u.demand)
		if gr.version != 0 && now.Sub(gr.lastActive) < g.Window {
			activeGrants++
		}
		if gr.version == 0 && len(gr.unresolved) == 0 && now.Sub(gr.lastActive) > g.Window && g.Ledger.remove(e) {
			delete(g.grants, e.key)
		}
	}
	// Each active grant is refreshed about twice per window.
	window := time.Duration(2 * float64(activeGrants) / g.Writes * float64(time.Second))
	g.window = max(g.Window, window)
	g.Scope.Gauge("grants").Update(float64(len(g.grants)))
}

// logModeChange logs when the ledger starts or stops spending autonomously.
func (g *GrantController) logModeChange() {
	if autonomous := g.Ledger.autonomous(); autonomous != g.autonomous {
		g.autonomous = autonomous
		if autonomous {
			g.log(event.AutonomyStarted, nil)
		} else {
			g.log(event.AutonomyEnded, nil)
		}
	}
}

// recordConfirmation records that a write was confirmed: now by the local clock, and its commit time by the table's.
func (g *GrantController) recordConfirmation(commit time.Time) {
	receipt := g.now()
	if commit.After(g.confirmed) {
		g.confirmed = commit
	}
	g.Ledger.lastConfirmed.Store(&receipt)
}

// countOpen returns the number of grants that have a row.
func (g *GrantController) countOpen() int {
	count := 0
	for _, gr := range g.grants {
		if gr.version != 0 {
			count++
		}
	}
	return count
}

// get decodes one row into value and returns its version, 0 if there is no such row. Errors are ErrTableFailed.
func (g *GrantController) get(ctx context.Context, key string, value any) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	row, err := g.Table.Get(ctx, key)
	if errors.Is(err, table.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, trace.Wrap(ErrTableFailed, "get %s: %v", key, err)
	}
	if err := json.Unmarshal(row.Value, value); err != nil {
		return 0, trace.Wrap(ErrTableFailed, "row %s: %v", key, err)
	}
	return row.Version, nil
}

// commit writes rows. A confirmed write restarts the autonomy delay. Errors are those of table.Table.
func (g *GrantController) commit(ctx context.Context, ops []table.Op) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	rows, err := g.Table.Commit(ctx, ops)
	if err != nil {
		return nil, err
	}
	g.recordConfirmation(rows[0].Time)
	return rows, nil
}

func (g *GrantController) now() time.Time {
	if g.Now == nil {
		return time.Now()
	}
	return g.Now()
}

// log writes an event with the fields that the function adds, if any.
func (g *GrantController) log(e event.Event, fields func(*zerolog.Event)) {
	if g.Logger == nil {
		return
	}
	line := e.Log(g.Logger)
	if fields != nil {
		fields(line)
	}
	line.Send()
}

// defaultTo returns the value, or the fallback if the value is zero.
func defaultTo[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
