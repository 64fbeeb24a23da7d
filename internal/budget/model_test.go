package budget_test

import (
	"context"
	"encoding/json"
	"fmt"
	"iter"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"citronslip/internal/board"
	"citronslip/internal/budget"
	"citronslip/internal/hosts"
	"citronslip/internal/table"
	"citronslip/pkg/inventory"
)

const (
	faultNone   = iota
	faultRefuse // Nothing is written, and the caller knows it.
	faultLose   // The write takes effect, but its answer is lost.
	faultStall  // The write never takes effect, and the caller does not know it.
	faultLate   // The write takes effect later if its conditions still hold, and the caller does not know it.

	// hostLag is the longest lag of the host list.
	hostLag = 30 * time.Second
)

type (
	// fleetModel simulates a fleet with its table and host list, and keeps the actual consumption as the reference.
	fleetModel struct {
		t             *rapid.T
		now           time.Time // The table's clock.
		rows          table.Memory
		delayed       [][]table.Op // Commits that are delayed.
		keys          []budget.Key
		declared      budget.Declarations
		consumed      map[budget.Key]inventory.Tokens // Actual consumption.
		usage         map[string]inventory.Tokens     // Actual consumption by instance and budget.
		usageReported bool                            // Whether engines report the usage of dead instances.
		holders       []*holder                       // All instances in the order of their start.
		listedAt      map[string]time.Time            // When the host list starts to show an address.
		unlistedAt    map[string]time.Time            // When the host list stops showing an address.
		startCount    int                             // Number of instances started.
		eventCounts   map[string]int                  // Counts of what happened, for the log.
	}

	// holder is one router instance.
	holder struct {
		model       *fleetModel
		instance    string
		address     string
		clockRate   float64 // Rate of its clock relative to the table's.
		dead        bool
		partitioned bool // Partitioned from the table.
		declared    board.Cell[budget.Declarations]
		ledger      *budget.Ledger
		controller  *budget.GrantController
		requests    []request // Requests that are not settled.
		// resumeStep runs the controller's step up to its next table call, and returns that call, or false at the end.
		resumeStep  func() (string, bool)
		abandonStep func()            // Abandons the step.
		pendingCall string            // Table call at which the step is stopped.
		fault       int               // Fault of that call.
		yieldCall   func(string) bool // Stops the step at a table call; nil if no step is in progress.
	}

	// request is a dispatched request with the tokens that it consumes.
	request struct {
		reservation budget.Reservation
		used        inventory.Tokens
	}
)

// newFleetModel returns a model with two budgets and three holders with grants.
func newFleetModel(t *rapid.T) *fleetModel {
	m := &fleetModel{t: t, now: time.Unix(1_000_000, 0), consumed: make(map[budget.Key]inventory.Tokens),
		usage: make(map[string]inventory.Tokens), eventCounts: make(map[string]int), listedAt: make(map[string]time.Time),
		unlistedAt: make(map[string]time.Time)}
	m.rows.Now = func() time.Time { return m.now }
	m.declared = budget.Declarations{Version: 1, Budgets: make(map[budget.Key]budget.Declaration)}
	m.usageReported = rapid.Bool().Draw(t, "reported")
	for i := range 2 {
		key := budget.Key{Account: "a/b", Budget: fmt.Sprint(i)}
		m.keys = append(m.keys, key)
		total := inventory.Tokens(rapid.IntRange(200, 4000).Draw(t, "total"))
		m.declared.Budgets[key] = budget.Declaration{Total: total}
	}
	for i := range 3 {
		m.start(fmt.Sprintf("10.0.0.%d:1", i))
		m.holders[i].openGrants()
	}
	return m
}

// start starts a new instance at an address.
func (m *fleetModel) start(address string) {
	m.startCount++
	h := &holder{model: m, instance: fmt.Sprintf("i%d", m.startCount), address: address}
	h.clockRate = rapid.Float64Range(0.96, 1.04).Draw(m.t, "rate")
	h.loadDeclared()
	h.ledger = &budget.Ledger{Declared: &h.declared, Now: h.clock}
	policy := rapid.SampledFrom([]budget.Policy{budget.DemandPolicy{}, budget.DemandPolicy{}, budget.FixedSize{Tokens: 300}}).Draw(m.t, "policy")
	h.controller = &budget.GrantController{Table: h, Hosts: h, Ledger: h.ledger, Declared: &h.declared,
		Instance: h.instance, Address: address, Policy: policy, Now: h.clock, Lag: hostLag, Idle: 5 * time.Minute}
	if m.usageReported {
		h.controller.Usage = func(_ context.Context, instance string, key budget.Key) (inventory.Tokens, bool) {
			return m.usage[instance+key.Budget], true
		}
	}
	m.holders = append(m.holders, h)
	delete(m.unlistedAt, address)
	if _, ok := m.listedAt[address]; !ok {
		m.listedAt[address] = m.now.Add(time.Duration(rapid.IntRange(0, int(hostLag/time.Second)).Draw(m.t, "lag")) * time.Second)
	}
}

// clock returns the time of the holder's clock, which runs at its own rate.
func (h *holder) clock() time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(h.model.now.Sub(time.Unix(0, 0))) * h.clockRate))
}

// loadDeclared loads the current declarations into the holder.
func (h *holder) loadDeclared() {
	next := budget.Declarations{Version: h.model.declared.Version, Budgets: make(map[budget.Key]budget.Declaration)}
	for key, d := range h.model.declared.Budgets {
		next.Budgets[key] = d
	}
	h.declared.Store(&next)
}

// Hosts implements hosts.List with a list that lags by up to hostLag.
func (h *holder) Hosts(context.Context) ([]hosts.Host, error) {
	if h.partitioned {
		return nil, hosts.ErrUnavailable
	}
	var result []hosts.Host
	for address, from := range h.model.listedAt {
		removed, gone := h.model.unlistedAt[address]
		if !h.model.now.Before(from) && (!gone || h.model.now.Before(removed)) {
			result = append(result, hosts.Host{Address: address, State: hosts.StateLive})
		}
	}
	return result, nil
}

// awaitFault stops the controller's step at a table call until advance continues it, and returns the fault of the call.
func (h *holder) awaitFault(call string) int {
	if h.dead || h.yieldCall == nil || !h.yieldCall(call) || h.dead {
		return faultRefuse
	}
	if h.partitioned {
		return faultRefuse
	}
	return h.fault
}

// Commit implements table.Table with the fault of the call.
func (h *holder) Commit(ctx context.Context, ops []table.Op) ([]table.Row, error) {
	switch h.awaitFault("commit") {
	case faultRefuse:
		return nil, table.ErrUnavailable
	case faultStall:
		return nil, table.ErrUnknown
	case faultLate:
		h.model.delayed = append(h.model.delayed, ops)
		return nil, table.ErrUnknown
	case faultLose:
		if _, err := h.model.apply(ops); err != nil && h.model.now.Unix()%2 == 0 {
			return nil, err
		}
		return nil, table.ErrUnknown
	default:
		return h.model.apply(ops)
	}
}

// Get implements table.Table; every fault makes it fail.
func (h *holder) Get(ctx context.Context, key string) (table.Row, error) {
	if h.awaitFault("get") != faultNone {
		return table.Row{}, table.ErrUnavailable
	}
	return h.model.rows.Get(context.Background(), key)
}

// Scan implements table.Table; every fault makes it fail.
func (h *holder) Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if h.awaitFault("scan") != faultNone {
		return nil, table.ErrUnavailable
	}
	return h.model.rows.Scan(context.Background(), prefix, after, limit)
}

// apply commits ops and checks the charge of each reclaim among them.
func (m *fleetModel) apply(ops []table.Op) ([]table.Row, error) {
	before := m.budgetRows()
	var reclaimed []table.Row
	for _, op := range ops {
		if op.Delete && strings.HasPrefix(op.Key, "grant/") {
			row, _ := m.rows.Get(context.Background(), op.Key)
			reclaimed = append(reclaimed, row)
		}
	}
	rows, err := m.rows.Commit(context.Background(), ops)
	if err != nil {
		return nil, err
	}
	after := m.budgetRows()
	for _, row := range reclaimed {
		parts := strings.Split(row.Key, "/")
		key, instance := budget.Key{Account: "a/b", Budget: parts[2]}, parts[3]
		if h := m.holderOf(instance); h.dead {
			m.checkReclaim(row, instance, after[key].Closed-before[key].Closed)
		}
	}
	return rows, nil
}

// checkReclaim checks that a reclaim charges no more than the dead instance may have spent.
func (m *fleetModel) checkReclaim(row table.Row, instance string, charge inventory.Tokens) {
	m.eventCounts["reclaim"]++
	var grant budget.GrantRow
	var alive budget.AliveRow
	decode(row, &grant)
	fence, _ := m.rows.Get(context.Background(), "alive/"+instance)
	decode(fence, &alive)
	evidence := fence.Time
	confirmed := grant.Confirmed
	if alive.Confirmed.After(confirmed) {
		confirmed = alive.Confirmed
	}
	limit := grant.Amount
	if evidence.Sub(confirmed) < 100*time.Second {
		limit = grant.NormalLimit
		m.eventCounts["reclaim at normal limit"]++
	}
	if m.usageReported {
		limit = grant.Spent + grant.NormalLimit + grant.Amount // Checked exactly at the end.
	}
	if charge > limit {
		m.t.Fatalf("grant of %s charged %d, but the instance may have spent at most %d", instance, charge, limit)
	}
}

// holderOf returns the holder of an instance.
func (m *fleetModel) holderOf(instance string) *holder {
	i := slices.IndexFunc(m.holders, func(h *holder) bool { return h.instance == instance })
	return m.holders[i]
}

// budgetRows returns the budget rows of the table.
func (m *fleetModel) budgetRows() map[budget.Key]budget.Row {
	result := make(map[budget.Key]budget.Row)
	for _, key := range m.keys {
		row, err := m.rows.Get(context.Background(), budget.RowKey(key))
		if err != nil {
			continue
		}
		var budgetRow budget.Row
		decode(row, &budgetRow)
		result[key] = budgetRow
	}
	return result
}

// check compares the consumption and the rows of the table with the declared totals.
func (m *fleetModel) check(t *rapid.T) {
	budgetRows := m.budgetRows()
	for _, key := range m.keys {
		declared := m.declared.Budgets[key].Total
		if m.consumed[key] > declared {
			t.Fatalf("overspend: budget %s consumed %d of %d", key.Budget, m.consumed[key], declared)
		}
		budgetRow := budgetRows[key]
		if budgetRow.Closed+budgetRow.Granted > budgetRow.Total || budgetRow.Total > declared {
			t.Fatalf("table: budget %s declared %d: %+v", key.Budget, declared, budgetRow)
		}
		var granted inventory.Tokens
		rows, _ := m.rows.Scan(context.Background(), "grant/a%2Fb/"+key.Budget+"/", "", 1000)
		for _, row := range rows {
			var grant budget.GrantRow
			decode(row, &grant)
			granted += grant.Amount
		}
		if granted != budgetRow.Granted || len(rows) != budgetRow.Holders {
			t.Fatalf("table: budget %s has %d in %d grant rows: %+v", key.Budget, granted, len(rows), budgetRow)
		}
	}
}

// begin begins a controller step, unless one is in progress.
func (h *holder) begin() {
	if h.resumeStep == nil {
		h.step(h.controller.Step)
	}
}

// openGrants makes the holder open grants if the table has tokens left.
func (h *holder) openGrants() {
	h.reserve(h.model.keys, 20, 10)
	h.begin()
	h.finish()
	h.settle()
}

// spend dispatches up to count requests that use their whole bound, until one is refused.
func (h *holder) spend(count int) {
	for range count {
		if !h.reserve(h.model.keys[:1], 50, 50) {
			return
		}
	}
}

// step begins a controller step; it stops at the first table call.
func (h *holder) step(run func(context.Context) error) {
	next, stop := iter.Pull(func(yield func(string) bool) {
		h.yieldCall = yield
		_ = run(context.Background())
		h.yieldCall = nil
	})
	h.resumeStep, h.abandonStep = next, stop
	h.advance(faultNone)
}

// advance lets the controller make its pending table call with a fault and stops it at the next one.
func (h *holder) advance(fault int) bool {
	if h.resumeStep == nil {
		return false
	}
	h.fault = fault
	call, ok := h.resumeStep()
	h.pendingCall = call
	if !ok {
		h.resumeStep, h.abandonStep = nil, nil
	}
	return ok
}

// finish runs the step in progress to its end without further faults.
func (h *holder) finish() {
	for h.advance(faultNone) {
	}
}

// reserve reserves and dispatches a request. It consumes its tokens whatever happens to the router from then on.
func (h *holder) reserve(keys []budget.Key, bound, used inventory.Tokens) bool {
	reservation, err := h.ledger.Reserve(keys, bound)
	if err != nil {
		h.model.eventCounts["refused"]++
		return false
	}
	h.model.eventCounts["reserved"]++
	for _, key := range keys {
		h.model.consumed[key] += used
		h.model.usage[h.instance+key.Budget] += used
	}
	h.requests = append(h.requests, request{reservation: reservation, used: used})
	return true
}

// settle settles all running requests.
func (h *holder) settle() {
	for _, r := range h.requests {
		h.ledger.Settle(r.reservation, r.used)
		h.ledger.Settle(r.reservation, r.used) // Late duplicate.
	}
	h.requests = nil
}

// crash crashes the instance, possibly in the middle of a step.
func (h *holder) crash() {
	h.dead = true
	if h.abandonStep != nil {
		h.abandonStep()
	}
	h.resumeStep, h.abandonStep = nil, nil
}

// decode decodes the value of a row, if it has one.
func decode(row table.Row, value any) {
	if len(row.Value) > 0 {
		if err := json.Unmarshal(row.Value, value); err != nil {
			panic(err)
		}
	}
}
