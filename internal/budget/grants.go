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
	// DefaultInterval is the time between two steps of the controller.
	DefaultInterval = time.Second
	// DefaultTimeout bounds one call of the table or the host list.
	DefaultTimeout = 2 * time.Second
	// DefaultWindow is the demand that the opened part of a grant covers.
	DefaultWindow = 3 * time.Minute
	// DefaultHeartbeat keeps the confirmation in the table well under the autonomy delay old, so that evidence of a
	// death usually comes in time to return what was not opened.
	DefaultHeartbeat = 20 * time.Second
	// DefaultReport is how often a changed consumption is written when nothing else is.
	DefaultReport = 5 * time.Minute
	// DefaultIdle is the time without demand after which a grant is closed.
	DefaultIdle = 2 * time.Hour
	// DefaultLag is the longest time by which the host list runs behind.
	DefaultLag = 30 * time.Second
	// DefaultDirect is the fleet size up to which every router opens grants of its own.
	DefaultDirect = 16
	// DefaultSustained is the demand in requests a second from which a router of a larger fleet opens its own grant.
	DefaultSustained = 0.2
	// DefaultWrites is the rate of refreshing writes a second that one router allows itself. 400 routers then make 80.
	DefaultWrites = 0.2
	// wakeLeast is the shortest time between two steps when refusals wake the controller.
	wakeLeast = 20 * time.Millisecond
)

type (
	// Grants moves tokens between the table and the ledger of one router instance. Set the fields before Run.
	Grants struct {
		Table    table.Table
		Hosts    hosts.List // Evidence of hosts that are gone; none is taken from it if nil.
		Ledger   *Ledger
		Declared *board.Cell[Declared]
		Live     *board.Cell[[]string] // Addresses of the reachable routers; only this one if nil.
		Usage    Usage                 // Usage reports for dead instances; none if nil.
		Home     *Home                 // Reservations of other routers; none if nil.
		Instance string                // Unique for each start of a router.
		Address  string                // IP address and port, as in the host list.
		Policy   Policy                // Product{} if nil.

		Interval  time.Duration
		Timeout   time.Duration
		Window    time.Duration
		Heartbeat time.Duration
		Report    time.Duration
		Idle      time.Duration
		Lag       time.Duration
		Direct    int
		Sustained float64
		Writes    float64

		Now    func() time.Time // Clock with a monotonic reading, time.Now if nil.
		Logger *zerolog.Logger  // No log if nil.
		Scope  tally.Scope      // No metrics if nil.

		once       sync.Once
		grants     map[Key]*grant
		bases      map[Key]inventory.Tokens // What ended grants of this instance were charged.
		registered bool
		fenced     bool
		autonomous bool
		confirmed  time.Time // Table's commit time of the last confirmed write.
		version    int       // Configuration version last seen.
		window     time.Duration
		alive      aliveState
		watch      watch
	}

	// Usage returns what the engines report for all attempts of a dead instance on a budget. It returns false if the
	// reports are not complete.
	Usage func(ctx context.Context, instance string, key Key) (inventory.Tokens, bool)

	// aliveState is what the controller knows of its own alive row.
	aliveState struct {
		row     AliveRow
		version uint64
		wrote   time.Time
		check   bool // The row must be read before it is written.
	}

	// grant is what the controller knows of one grant.
	grant struct {
		entry    *entry
		meter    meter
		sequence int64
		row      GrantRow // Row in the table as last confirmed.
		version  uint64   // Version of that row, 0 if there is none.
		pending  []attempt
		check    bool      // The row must be read before it is written.
		force    bool      // The row must be written, to settle which of the pending writes took effect.
		next     time.Time // No look at the size before, unless a request was refused.
		retry    time.Time // No look for a refused request before.
		review   time.Time // A look at the size at the latest.
		wrote    time.Time
		active   time.Time // Last time with demand.
		base     inventory.Tokens
	}

	// attempt is a write whose outcome is not known.
	attempt struct {
		row   GrantRow
		close bool
	}
)

// Run steps until the context ends. It does not close the grants; a planned stop calls Close after the last request.
func (g *Grants) Run(ctx context.Context) error {
	g.once.Do(g.init)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-g.Ledger.wake:
			if !delay.For(ctx, wakeLeast) {
				return nil
			}
		}
		if err := g.Step(ctx); errors.Is(err, ErrRegistered) {
			return trace.Wrap(err)
		}
		timer.Reset(g.Interval)
	}
}

// Step does what is due now. It must not be called concurrently with itself or Close.
func (g *Grants) Step(ctx context.Context) error {
	g.once.Do(g.init)
	err := g.step(ctx)
	g.Ledger.steps.Store(&struct{}{})
	if err != nil && ctx.Err() == nil {
		g.log(event.TableRefused, func(e *zerolog.Event) { e.Err(err) })
	}
	return err
}

func (g *Grants) step(ctx context.Context) error {
	g.observe()
	g.announceMode()
	for _, phase := range []func(context.Context) error{g.register, g.recover, g.refresh, g.resize, g.reclaim, g.visit} {
		if g.fenced {
			return trace.Wrap(ErrRegistered)
		}
		if err := phase(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Close closes all grants for a planned stop. Until the context ends it waits for reservations to settle; what is still
// reserved then is charged at its bound.
func (g *Grants) Close(ctx context.Context) error {
	g.once.Do(g.init)
	for {
		open, err := g.CloseStep(ctx, false)
		if open == 0 && err == nil {
			return nil
		}
		if errors.Is(err, ErrRegistered) {
			return trace.Wrap(err) // The grants belong to whoever reclaims them.
		}
		if !delay.For(ctx, wakeLeast) {
			break
		}
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.Timeout)
	defer cancel()
	open, err := g.CloseStep(last, true)
	if open > 0 {
		g.log(event.GrantsLate, func(e *zerolog.Event) { e.Int("open", open) })
		return trace.Wrap(ErrOpen)
	}
	return err
}

// CloseStep closes the grants that have no open reservations, or with charge all of them at their bounds. It returns the
// number of grants that are still open.
func (g *Grants) CloseStep(ctx context.Context, charge bool) (int, error) {
	g.once.Do(g.init)
	g.observe()
	err := g.recover(ctx)
	if errors.Is(err, ErrRegistered) && g.open() == 0 {
		// The alive row is gone, for example by an earlier close whose answer was lost.
		return 0, nil
	}
	if err != nil {
		return g.open(), err
	}
	var keys []Key
	for key, s := range g.grants {
		u := s.entry.lower(0, 0)
		if s.version != 0 && (u.reserved == 0 || charge) {
			keys = append(keys, key)
		}
	}
	sortKeys(keys)
	err = g.plan(ctx, keys, func(s *grant, total budgetState) (change, bool) {
		return g.planClose(s, total, charge)
	})
	if open := g.open(); open > 0 || err != nil {
		return open, err
	}
	return 0, g.removeAlive(ctx)
}

func (g *Grants) init() {
	g.Ledger.once.Do(g.Ledger.init)
	g.grants = make(map[Key]*grant)
	g.bases = make(map[Key]inventory.Tokens)
	g.watch.waiting = make(map[string]time.Time)
	g.Interval = defaultTo(g.Interval, DefaultInterval)
	g.Timeout = defaultTo(g.Timeout, DefaultTimeout)
	g.Window = defaultTo(g.Window, DefaultWindow)
	g.Heartbeat = defaultTo(g.Heartbeat, DefaultHeartbeat)
	g.Report = defaultTo(g.Report, DefaultReport)
	g.Idle = defaultTo(g.Idle, DefaultIdle)
	g.Lag = defaultTo(g.Lag, DefaultLag)
	g.Direct = defaultTo(g.Direct, DefaultDirect)
	g.Sustained = defaultTo(g.Sustained, DefaultSustained)
	g.Writes = defaultTo(g.Writes, DefaultWrites)
	if g.Policy == nil {
		g.Policy = Product{}
	}
	if g.Scope == nil {
		g.Scope = tally.NoopScope
	}
}

// observe measures demand and forgets entries that are no longer needed.
func (g *Grants) observe() {
	now := g.now()
	active := 0
	for _, e := range g.Ledger.entries() {
		s := g.grants[e.key]
		if s == nil || s.entry != e {
			s = &grant{entry: e, active: now, base: g.bases[e.key]}
			g.grants[e.key] = s
		}
		u := e.snapshot()
		if u.asked != s.meter.asked {
			s.active = now
		}
		s.meter.observe(now, u.asked)
		if s.version != 0 && now.Sub(s.active) < g.Window {
			active++
		}
		if s.version == 0 && len(s.pending) == 0 && now.Sub(s.active) > g.Window && g.Ledger.remove(e) {
			delete(g.grants, e.key)
		}
	}
	// Each active grant is refreshed about twice in a window.
	window := time.Duration(2 * float64(active) / g.Writes * float64(time.Second))
	g.window = max(g.Window, window)
	g.Scope.Gauge("grants").Update(float64(len(g.grants)))
}

func (g *Grants) announceMode() {
	if mode := g.Ledger.autonomous(); mode != g.autonomous {
		g.autonomous = mode
		if mode {
			g.log(event.AutonomyStarted, nil)
		} else {
			g.log(event.AutonomyEnded, nil)
		}
	}
}

// confirm records the receipt of a confirmation for a write with the table's commit time.
func (g *Grants) confirm(commit time.Time) {
	receipt := g.now()
	if commit.After(g.confirmed) {
		g.confirmed = commit
	}
	g.Ledger.confirm.Store(&receipt)
}

// open returns the number of grants whose row exists.
func (g *Grants) open() int {
	count := 0
	for _, s := range g.grants {
		if s.version != 0 {
			count++
		}
	}
	return count
}

// get reads one row into value and returns its version, 0 if there is no such row.
func (g *Grants) get(ctx context.Context, key string, value any) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	row, err := g.Table.Get(ctx, key)
	if errors.Is(err, table.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, trace.Wrap(ErrTable, "get %s: %v", key, err)
	}
	if err := json.Unmarshal(row.Value, value); err != nil {
		return 0, trace.Wrap(ErrTable, "row %s: %v", key, err)
	}
	return row.Version, nil
}

// commit writes rows. A confirmed write restarts the autonomy delay.
func (g *Grants) commit(ctx context.Context, ops []table.Op) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	rows, err := g.Table.Commit(ctx, ops)
	if err != nil {
		return nil, err
	}
	g.confirm(rows[0].Time)
	return rows, nil
}

func (g *Grants) now() time.Time {
	if g.Now == nil {
		return time.Now()
	}
	return g.Now()
}

// log writes one event with fields.
func (g *Grants) log(e event.Event, fields func(*zerolog.Event)) {
	if g.Logger == nil {
		return
	}
	line := e.Log(g.Logger)
	if fields != nil {
		fields(line)
	}
	line.Send()
}

func defaultTo[T comparable](value, standard T) T {
	var zero T
	if value == zero {
		return standard
	}
	return value
}
