package budget_test

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"citronslip/pkg/inventory"
)

// Guards against spending more than a budget's total, granting more than the total, and tokens that are not returned
// although their holder is known to be dead. Random sequences cover several holders, lost, delayed and refused table
// calls, pauses, crashes, replacements, partitions, top-ups, and duplicate and late settlements.
func TestNoOverspend(t *testing.T) {
	eventCounts := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"":         m.check,
			"step":     m.drawStep,
			"suspend":  m.drawSuspend,
			"finish":   m.drawFinish,
			"wait":     m.drawWait,
			"reserve":  m.drawReserve,
			"burst":    m.drawBurst,
			"settle":   m.drawSettle,
			"outage":   m.drawOutage,
			"lapse":    m.drawStaleStep,
			"death":    m.drawCrashAndReplace,
			"kill":     m.drawCrash,
			"replace":  m.drawReplace,
			"remove":   m.drawRemove,
			"cut":      m.drawPartition,
			"topup":    m.drawTopUp,
			"adopt":    func(t *rapid.T) { m.drawHolder(t).loadDeclared() },
			"late":     m.drawDelayedWrite,
			"minutes":  m.drawRounds,
			"shutdown": m.drawShutdown,
		})
		m.checkFinal(t)
		for what, count := range m.eventCounts {
			eventCounts[what] += count
		}
	})
	t.Log(eventCounts)
}

// drawHolder picks a running holder.
func (m *fleetModel) drawHolder(t *rapid.T) *holder {
	var running []*holder
	for _, h := range m.holders {
		if !h.dead {
			running = append(running, h)
		}
	}
	if len(running) == 0 {
		t.Skip("no router is running")
	}
	return rapid.SampledFrom(running).Draw(t, "holder")
}

// drawStep runs a whole step in which commits fail after the first few.
func (m *fleetModel) drawStep(t *rapid.T) {
	h := m.drawHolder(t)
	h.begin()
	h.stepFaulty(t)
}

// stepFaulty finishes the step in progress. From a random commit on, all its table calls fail in the same way.
func (h *holder) stepFaulty(t *rapid.T) {
	fault := rapid.IntRange(faultNone, faultLate).Draw(t, "fault")
	skip := rapid.IntRange(0, 2).Draw(t, "skip")
	for more := true; more; {
		next := faultNone
		if h.pendingCall == "commit" {
			skip--
		}
		if skip < 0 {
			next = fault
		}
		more = h.advance(next)
	}
}

// drawStaleStep makes a holder whose last confirmation is some time ago run a faulty step, spend, and possibly crash.
func (m *fleetModel) drawStaleStep(t *rapid.T) {
	h := m.drawHolder(t)
	h.finish()
	if rapid.Bool().Draw(t, "confirmed") {
		h.begin()
		h.finish()
	}
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 130).Draw(t, "before")) * time.Second)
	h.spend(rapid.IntRange(0, 60).Draw(t, "requests"))
	h.begin()
	h.stepFaulty(t)
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 130).Draw(t, "after")) * time.Second)
	h.spend(60)
	if rapid.Bool().Draw(t, "dies") {
		m.crashAndReplace(t, h)
	}
}

// drawSuspend stops a step at one of its table calls, like a slow call or a paused process.
func (m *fleetModel) drawSuspend(t *rapid.T) {
	h := m.drawHolder(t)
	h.begin()
	for range rapid.IntRange(0, 7).Draw(t, "calls") {
		h.advance(faultNone)
	}
}

// drawOutage disconnects a holder from the table for about the autonomy delay, while it spends within its limits.
func (m *fleetModel) drawOutage(t *rapid.T) {
	h := m.drawHolder(t)
	h.partitioned = true
	m.now = m.now.Add(time.Duration(rapid.IntRange(60, 240).Draw(t, "seconds")) * time.Second)
	h.spend(rapid.IntRange(1, 60).Draw(t, "requests"))
	h.partitioned = rapid.Bool().Draw(t, "cut")
	if !h.partitioned && rapid.Bool().Draw(t, "settle") {
		h.settle()
	}
}

// drawCrashAndReplace lets a holder spend, crashes it and later starts another one at its address.
func (m *fleetModel) drawCrashAndReplace(t *rapid.T) {
	h := m.drawHolder(t)
	h.spend(rapid.IntRange(0, 20).Draw(t, "requests"))
	m.crashAndReplace(t, h)
}

// crashAndReplace crashes a holder and later starts another one at its address.
func (m *fleetModel) crashAndReplace(t *rapid.T, h *holder) {
	h.crash()
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 130).Draw(t, "seconds")) * time.Second)
	m.start(h.address)
	m.holders[len(m.holders)-1].openGrants()
}

func (m *fleetModel) drawFinish(t *rapid.T) { m.drawHolder(t).finish() }

func (m *fleetModel) drawWait(t *rapid.T) {
	seconds := rapid.SampledFrom([]int{1, 7, 25, 60, 115, 130, 600, 7000}).Draw(t, "seconds")
	m.now = m.now.Add(time.Duration(seconds) * time.Second)
}

func (m *fleetModel) drawReserve(t *rapid.T) {
	h := m.drawHolder(t)
	bound := inventory.Tokens(rapid.IntRange(1, 120).Draw(t, "bound"))
	used := inventory.Tokens(rapid.IntRange(0, int(bound)).Draw(t, "used"))
	keys := m.keys[:rapid.IntRange(1, len(m.keys)).Draw(t, "keys")]
	h.reserve(keys, bound, used)
}

// drawBurst sends many requests, and possibly more after a controller step.
func (m *fleetModel) drawBurst(t *rapid.T) {
	h := m.drawHolder(t)
	h.spend(rapid.IntRange(1, 60).Draw(t, "requests"))
	if rapid.Bool().Draw(t, "refill") {
		h.begin()
		h.finish()
		h.spend(rapid.IntRange(1, 60).Draw(t, "requests"))
	}
}

func (m *fleetModel) drawSettle(t *rapid.T) { m.drawHolder(t).settle() }

func (m *fleetModel) drawCrash(t *rapid.T) { m.drawHolder(t).crash() }

// drawReplace starts a new instance at the address of a dead one.
func (m *fleetModel) drawReplace(t *rapid.T) {
	if free := m.freeAddresses(); len(free) > 0 {
		m.start(rapid.SampledFrom(free).Draw(t, "address"))
	}
}

// drawRemove removes the host of a dead instance. The host list shows that within its lag.
func (m *fleetModel) drawRemove(t *rapid.T) {
	for _, address := range m.freeAddresses() {
		if _, ok := m.unlistedAt[address]; !ok {
			m.unlistedAt[address] = m.now.Add(time.Duration(rapid.IntRange(0, int(hostLag/time.Second)).Draw(t, "lag")) * time.Second)
			return
		}
	}
}

func (m *fleetModel) drawPartition(t *rapid.T) {
	h := m.drawHolder(t)
	h.partitioned = !h.partitioned
}

func (m *fleetModel) drawTopUp(t *rapid.T) {
	key := rapid.SampledFrom(m.keys).Draw(t, "key")
	d := m.declared.Budgets[key]
	d.Total += inventory.Tokens(rapid.IntRange(1, 1000).Draw(t, "tokens"))
	m.declared.Budgets[key] = d
	m.declared.Version++
}

// drawDelayedWrite lets a delayed write take effect.
func (m *fleetModel) drawDelayedWrite(t *rapid.T) {
	if len(m.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "late")
	_, _ = m.apply(m.delayed[i])
	m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
}

// drawRounds runs all controllers for up to 20 rounds.
func (m *fleetModel) drawRounds(t *rapid.T) {
	m.stepAll(rapid.IntRange(1, 20).Draw(t, "rounds"))
}

// drawShutdown stops an instance as planned. Requests that still run are charged at their bounds.
func (m *fleetModel) drawShutdown(t *rapid.T) {
	h := m.drawHolder(t)
	h.finish()
	h.settle()
	h.step(func(ctx context.Context) error { _, err := h.controller.CloseStep(ctx, true); return err })
	h.finish()
	h.crash()
}

// freeAddresses returns the addresses without a running instance.
func (m *fleetModel) freeAddresses() []string {
	last := make(map[string]*holder)
	var order []string
	for _, h := range m.holders {
		if last[h.address] == nil {
			order = append(order, h.address)
		}
		last[h.address] = h
	}
	var result []string
	for _, address := range order {
		if last[address].dead {
			result = append(result, address)
		}
	}
	return result
}

// stepAll steps all running controllers without faults, once per round of 10 s.
func (m *fleetModel) stepAll(rounds int) {
	for range rounds {
		m.now = m.now.Add(10 * time.Second)
		for _, h := range m.holders {
			if h.dead {
				continue
			}
			h.finish()
			h.step(h.controller.Step)
			h.finish()
		}
	}
}

// checkFinal repairs all faults, settles all requests and closes all grants, then checks that no rows are left and that
// the table accounts for every token: exactly if there are usage reports, otherwise for at least what was consumed.
func (m *fleetModel) checkFinal(t *rapid.T) {
	for _, address := range m.freeAddresses() {
		m.unlistedAt[address] = m.now
	}
	m.start("10.0.1.1:1") // At least one running router reclaims.
	for _, h := range m.holders {
		h.partitioned = false
		h.loadDeclared()
		h.settle()
	}
	m.stepAll(10)
	for _, ops := range m.delayed {
		_, _ = m.apply(ops)
	}
	m.stepAll(10)
	for _, h := range m.holders {
		if h.dead {
			continue
		}
		for range 5 {
			h.step(func(ctx context.Context) error { _, err := h.controller.CloseStep(ctx, false); return err })
			h.finish()
		}
		h.crash()
	}
	m.check(t)
	for _, prefix := range []string{"grant/", "holding/", "alive/", "absent/"} {
		rows, _ := m.rows.Scan(t.Context(), prefix, "", 1000)
		for _, row := range rows {
			t.Fatalf("row not deleted: %s %s", row.Key, row.Value)
		}
	}
	for key, budgetRow := range m.budgetRows() {
		if budgetRow.Granted != 0 || budgetRow.Holders != 0 || budgetRow.Rate != 0 || budgetRow.Spent != 0 {
			t.Fatalf("budget has open grants after all were closed: %+v", budgetRow)
		}
		if budgetRow.Closed < m.consumed[key] || m.usageReported && budgetRow.Closed != m.consumed[key] {
			t.Fatalf("budget %s: closed %d, consumed %d", key.Budget, budgetRow.Closed, m.consumed[key])
		}
	}
}
