package claim_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"

	"citronslip/internal/claim"
	"citronslip/internal/object"
	"citronslip/internal/table"
)

const (
	faultNone       = iota
	faultRefuse     // No effect, and the router is told so.
	faultLoseAnswer // Takes effect, outcome unknown to the router.
	faultNoEffect   // No effect, outcome unknown to the router.
	faultDelay      // Takes effect at a later step, outcome unknown to the router.
	faultDieBefore  // The router dies before the call.
	faultDieAfter   // The router dies after the call took effect.
)

type (
	// routerDied is the panic value that unwinds the step of a router that dies during it.
	routerDied struct{}

	// faultyTable is a table whose calls fail at random, as drawn by the property test.
	faultyTable struct {
		*table.Memory
		t        *rapid.T
		noFaults bool
		delayed  [][]table.Op
		faults   *rapid.Generator[int]
	}

	// router is one router process of the model.
	router struct {
		name       string
		claims     *claim.Claims
		biller     *claim.Biller
		lastNumber uint64
	}

	// submission is one HTTP request of a caller. Submissions with the same key and body are the same keyed request.
	submission struct {
		router     *router
		key, body  string
		atMostOnce bool // Whether the request must not run twice.
		claim      *claim.Claim
		unclaimed  bool
		dispatched bool
		refused    bool // Whether the caller was told that the request was not run.
	}

	// fleetModel models the fleet and its callers, and keeps track of what really happened.
	fleetModel struct {
		t               *rapid.T
		table           *faultyTable
		objects         object.Memory
		now             time.Time
		routers         []*router
		deadRouters     map[string]bool
		started         int
		openSubmissions []*submission
		submissions     []*submission
		executions      map[string]int          // Runs of requests that must not run twice, by key.
		delivered       map[string]bool         // Requests whose answer was delivered, by identity or billID.
		usageReports    map[string][]claim.Bill // Usage reports of the engines, by router instance.
	}
)

func (f *faultyTable) Commit(ctx context.Context, ops []table.Op) ([]table.Row, error) {
	fault := f.drawFault()
	switch fault {
	case faultRefuse:
		return nil, table.ErrUnavailable
	case faultNoEffect:
		return nil, table.ErrUnknown
	case faultDelay:
		f.delayed = append(f.delayed, ops)
		return nil, table.ErrUnknown
	case faultDieBefore:
		panic(routerDied{})
	}
	rows, err := f.Memory.Commit(ctx, ops)
	switch fault {
	case faultDieAfter:
		panic(routerDied{})
	case faultLoseAnswer:
		return nil, table.ErrUnknown
	}
	return rows, err
}

func (f *faultyTable) Get(ctx context.Context, key string) (table.Row, error) {
	if f.drawFault() != faultNone {
		return table.Row{}, table.ErrUnavailable
	}
	return f.Memory.Get(ctx, key)
}

func (f *faultyTable) drawFault() int {
	if f.noFaults {
		return faultNone
	}
	return f.faults.Draw(f.t, "fault")
}

// applyDelayed lets a randomly drawn delayed write take effect.
func (f *faultyTable) applyDelayed() {
	if len(f.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.delayed)-1).Draw(f.t, "late")
	ops := f.delayed[i]
	f.delayed = append(f.delayed[:i:i], f.delayed[i+1:]...)
	_, _ = f.Memory.Commit(context.Background(), ops)
}

func newFleetModel(t *rapid.T) *fleetModel {
	m := &fleetModel{
		t:            t,
		now:          time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC),
		deadRouters:  make(map[string]bool),
		executions:   make(map[string]int),
		delivered:    make(map[string]bool),
		usageReports: make(map[string][]claim.Bill),
	}
	weights := []int{faultNone, faultNone, faultNone, faultNone, faultRefuse, faultLoseAnswer, faultNoEffect, faultDelay, faultDieBefore, faultDieAfter}
	m.table = &faultyTable{t: t, faults: rapid.SampledFrom(weights)}
	m.table.Memory = &table.Memory{Now: func() time.Time { return m.now }}
	for range 3 {
		m.routers = append(m.routers, m.startRouter())
	}
	return m
}

func (m *fleetModel) startRouter() *router {
	m.started++
	r := &router{name: fmt.Sprintf("r%d", m.started)}
	r.biller = &claim.Biller{Table: m.table, Instance: r.name, Detail: 2}
	r.claims = &claim.Claims{
		Table: m.table, Objects: &m.objects, Instance: r.name, Inline: 40, Owed: r.biller.Add,
		Dead: func(_ context.Context, instance string) (bool, error) { return m.deadRouters[instance], nil },
	}
	return r
}

// step runs one step of a router. If the router dies during it, it is replaced.
func (m *fleetModel) step(r *router, run func()) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if _, ok := cause.(routerDied); !ok {
			panic(cause)
		}
		m.killRouter(r)
	}()
	run()
}

// killRouter ends a router together with its open submissions, and starts another one in its place.
func (m *fleetModel) killRouter(r *router) {
	m.deadRouters[r.name] = true
	for i := range m.routers {
		if m.routers[i] == r {
			m.routers[i] = m.startRouter()
		}
	}
	var remaining []*submission
	for _, s := range m.openSubmissions {
		if s.router != r {
			remaining = append(remaining, s)
		}
	}
	m.openSubmissions = remaining
}

func (m *fleetModel) drawRouter() *router {
	return m.routers[rapid.IntRange(0, len(m.routers)-1).Draw(m.t, "router")]
}

// identity returns the identity of the submission's request.
func (s *submission) identity() string {
	return claim.Identity("garden", s.key, claim.Hash([]byte(s.body)))
}

// countBills returns how often each request is billed in the table, by identity or billID. The entry "sum" holds the
// tokens in sums less the number of requests that the sums bill, at one token each.
func (m *fleetModel) countBills() map[string]int {
	result := make(map[string]int)
	rows, err := m.table.Memory.Scan(context.Background(), "bill/", "", 100000)
	if err != nil {
		m.t.Fatal(err)
	}
	for _, found := range rows {
		var batch claim.Batch
		if err := json.Unmarshal(found.Value, &batch); err != nil {
			m.t.Fatal(err)
		}
		instance := strings.Split(found.Key, "/")[1]
		for _, bill := range batch.Bills {
			result[billID(instance, bill)]++
		}
		for _, r := range batch.Numbers {
			for n := r.First; n <= r.Last; n++ {
				result[billID(instance, claim.Bill{Number: n})]++
			}
		}
		for _, sum := range batch.Sums {
			result["sum"] += int(sum.Output)
		}
		for _, r := range batch.Numbers {
			result["sum"] -= int(r.Last - r.First + 1)
		}
	}
	return result
}

// billID returns the identity of a keyed request, and the instance and number of another one.
func billID(instance string, bill claim.Bill) string {
	if bill.Key != "" {
		return bill.Key
	}
	return fmt.Sprintf("%s#%d", instance, bill.Number)
}
