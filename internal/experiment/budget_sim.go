package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"citronslip/internal/board"
	"citronslip/internal/budget"
	"citronslip/internal/table"
	"citronslip/pkg/inventory"
)

const (
	crashInterval = time.Minute     // Between two crashes in the scenario deaths.
	drainDuration = 5 * time.Minute // After the trace, for open requests and grants to settle.
	restartDelay  = 5 * time.Second // From a crash to the start of the next instance.
	// topupTime is during the partition, so that the routers cut off do not learn of the top-up before its end.
	topupTime = eventStart + 10*time.Minute
	// fractionBeforeTopup is the fraction of the budgets that is declared before the top-up.
	fractionBeforeTopup = 0.5
)

type (
	// budgetSim simulates one run. It drives the production budget package with an in-memory table and a simulated
	// clock and network.
	budgetSim struct {
		config        budgetRunConfig
		trace         *budgetTrace
		rng           *rand.Rand
		now           time.Time // Simulated time.
		start         time.Time
		table         table.Memory
		warmupStats   table.Stats        // Table load at the end of the warm-up.
		totals        []inventory.Tokens // Declared total of each budget.
		declared      *budget.Declarations
		routers       []*budgetRouter
		consumed      []inventory.Tokens          // Tokens consumed of each budget.
		engineUsage   map[usageKey]*instanceUsage // What the engines report as used.
		completions   map[int64][]func()          // Functions that end requests, by second since the start.
		result        BudgetResult
		attemptTokens map[string]inventory.Tokens // Tokens used by ended attempts with a reservation at another router.
		attemptCount  int                         // Attempts named so far.
		routerIndex   map[string]int              // Index in routers by address.
		instanceCount int                         // Instances named so far.
		tableDown     bool
	}

	// budgetRouter simulates the router at one address, as a sequence of instances.
	budgetRouter struct {
		sim         *budgetSim
		index       int
		address     string
		instance    string // Name of the current instance.
		up          bool
		partitioned bool      // Cut off from the table and from the routers that are not partitioned.
		restartAt   time.Time // When the next instance starts, if not up.
		declared    board.Cell[budget.Declarations]
		live        board.Cell[[]string] // Addresses of the routers it can reach, with its own.
		ledger      *budget.Ledger
		grants      *budget.GrantController
		home        *budget.Home
		remote      *budget.Remote
	}

	// usageKey identifies the usage of one budget that is debited to one instance.
	usageKey struct {
		instance string
		key      budget.Key
	}

	// instanceUsage is the usage that the engines report for an instance and a budget.
	instanceUsage struct {
		used    inventory.Tokens
		running int // Requests in progress.
	}
)

func newBudgetSim(seed uint64, config budgetRunConfig) *budgetSim {
	s := &budgetSim{config: config, trace: newBudgetTrace(seed, config.fleet), rng: rand.New(rand.NewPCG(seed, 2)),
		start: time.Unix(1_000_000, 0), engineUsage: make(map[usageKey]*instanceUsage), completions: make(map[int64][]func()),
		routerIndex: make(map[string]int), attemptTokens: make(map[string]inventory.Tokens)}
	s.now = s.start
	s.table.Now = s.clock
	s.consumed = make([]inventory.Tokens, len(s.trace.keys))
	s.declareBudgets(1, 1)
	if config.scenario == "topup" {
		s.declareBudgets(1, fractionBeforeTopup)
	}
	for i := range config.fleet.routers {
		r := &budgetRouter{sim: s, index: i, address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)}
		s.routers = append(s.routers, r)
		s.routerIndex[r.address] = i
		r.startInstance()
	}
	s.updateLiveRouters()
	return s
}

func (s *budgetSim) clock() time.Time { return s.now }

// declareBudgets declares the given fraction of the totals that the run's demand level asks for.
func (s *budgetSim) declareBudgets(version int, fraction float64) {
	s.totals = make([]inventory.Tokens, len(s.trace.keys))
	s.declared = &budget.Declarations{Version: version, Budgets: make(map[budget.Key]budget.Declaration)}
	for i, key := range s.trace.keys {
		s.totals[i] = max(s.config.fleet.minBudget, inventory.Tokens(float64(s.trace.actualDemand[i])/s.config.demand.fraction*fraction))
		s.declared.Budgets[key] = budget.Declaration{Total: s.totals[i], Weigh: s.config.worseOutcome}
	}
}

// run replays the trace second by second and returns the result.
func (s *budgetSim) run(ctx context.Context) (BudgetResult, error) {
	next := 0
	for elapsed := time.Duration(0); elapsed < s.config.fleet.duration; elapsed += time.Second {
		if err := ctx.Err(); err != nil {
			return s.result, err
		}
		s.now = s.start.Add(elapsed)
		s.applyFailures(elapsed)
		s.completeRequests(elapsed)
		s.stepControllers(ctx, elapsed)
		for ; next < len(s.trace.requests) && s.trace.requests[next].arrival < elapsed+time.Second; next++ {
			s.now = s.start.Add(s.trace.requests[next].arrival)
			s.submitRequest(ctx, s.trace.requests[next])
		}
	}
	s.drain(ctx)
	return s.report(ctx), nil
}

// applyFailures applies the scenario's failures and restarts crashed routers that are due. elapsed is the simulated
// time since the start.
func (s *budgetSim) applyFailures(elapsed time.Duration) {
	failing := elapsed >= eventStart && elapsed < eventEnd
	startOrEnd := elapsed == eventStart || elapsed == eventEnd
	switch scenario := s.config.scenario; {
	case (scenario == "partition" || scenario == "topup") && startOrEnd:
		for i, r := range s.routers {
			r.partitioned = failing && i%2 == 0
		}
		s.updateLiveRouters()
		s.publishDeclared()
	case scenario == "topup" && elapsed == topupTime:
		s.declareBudgets(2, 1)
		s.publishDeclared()
	case scenario == "outage" && startOrEnd:
		s.tableDown = failing
	case scenario == "deaths" && elapsed > 0 && elapsed%crashInterval == 0:
		s.routers[s.rng.IntN(len(s.routers))].crash()
	}
	if s.config.fleet.warmup == elapsed {
		s.warmupStats = s.table.Stats()
	}
	for _, r := range s.routers {
		if !r.up && !s.now.Before(r.restartAt) {
			r.startInstance()
			s.updateLiveRouters()
		}
	}
}

// publishDeclared delivers the declared totals to the routers that are not partitioned.
func (s *budgetSim) publishDeclared() {
	for _, r := range s.routers {
		if !r.partitioned {
			r.declared.Store(s.declared)
		}
	}
}

// updateLiveRouters tells each router which routers it can reach.
func (s *budgetSim) updateLiveRouters() {
	for _, r := range s.routers {
		var live []string
		for _, other := range s.routers {
			if other.up && other.partitioned == r.partitioned {
				live = append(live, other.address)
			}
		}
		r.live.Store(&live)
	}
}

// completeRequests ends the requests that are due in this second.
func (s *budgetSim) completeRequests(elapsed time.Duration) {
	second := int64(elapsed / time.Second)
	for _, complete := range s.completions[second] {
		complete()
	}
	delete(s.completions, second)
}

// stepControllers runs the grant controllers that are due in this second.
func (s *budgetSim) stepControllers(ctx context.Context, elapsed time.Duration) {
	interval := int(s.config.fleet.stepInterval / time.Second)
	for _, r := range s.routers {
		if r.up && (int(elapsed/time.Second)+r.index)%interval == 0 {
			_ = r.grants.Step(ctx) // An error means that the table was unreachable; the next step tries again.
			r.remote.Deliver(ctx)
		}
	}
}

// submitRequest sends a request to the router that the load balancer chooses, and counts the refusal if it is refused.
func (s *budgetSim) submitRequest(ctx context.Context, req budgetRequest) {
	s.result.Requests++
	r := s.routers[sort.SearchFloat64s(s.trace.routerWeights, req.routerDraw)]
	for !r.up {
		r = s.routers[(r.index+1)%len(s.routers)]
	}
	if r.dispatch(ctx, req) {
		return
	}
	s.result.Refused++
	if s.totals[req.keyIndex]-s.consumed[req.keyIndex] >= req.actualTokens {
		s.result.FalseRefusals++
	}
}

// drain ends the remaining requests and lets the controllers settle.
func (s *budgetSim) drain(ctx context.Context) {
	for elapsed := time.Duration(0); elapsed < drainDuration; elapsed += time.Second {
		s.now = s.start.Add(s.config.fleet.duration + elapsed)
		s.completeRequests(s.config.fleet.duration + elapsed)
		s.stepControllers(ctx, elapsed)
	}
}

// report returns the result of the run. It closes all grants to see what the table then counts as consumed.
func (s *budgetSim) report(ctx context.Context) BudgetResult {
	f := s.config.fleet
	result := s.result
	result.Scenario, result.DemandLevel, result.Policy = s.config.scenario, s.config.demand.name, s.config.policy
	result.Routers, result.Budgets = f.routers, f.accounts
	stats := s.table.Stats()
	seconds := (f.duration - f.warmup + drainDuration).Seconds()
	result.WritesPerSecond = float64(stats.Writes-s.warmupStats.Writes) / seconds
	result.ReadsPerSecond = float64(stats.Reads-s.warmupStats.Reads) / seconds
	for _, r := range s.routers {
		if r.up {
			_, _ = r.grants.CloseStep(ctx, false) // Grants that stay open count as stranded.
		}
	}
	var total, stranded inventory.Tokens
	for i, key := range s.trace.keys {
		result.Overspend += max(0, s.consumed[i]-s.totals[i])
		total += s.totals[i]
		stranded += s.committedTokens(ctx, key) - s.consumed[i]
	}
	result.StrandedFraction = float64(stranded) / float64(max(1, total))
	return result
}

// committedTokens returns the tokens of a budget that the table counts as consumed or granted.
func (s *budgetSim) committedTokens(ctx context.Context, key budget.Key) inventory.Tokens {
	row, err := s.table.Get(ctx, budget.RowKey(key))
	if err != nil {
		return 0 // No router has opened a grant of this budget.
	}
	var value budget.Row
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return 0
	}
	return value.Closed + value.Granted
}
