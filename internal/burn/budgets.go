package burn

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

const (
	// MaxTrackedBudgets is the maximum number of budgets whose use is tracked, at about 500 bytes each. When more are
	// in use, those that have not been read for the longest time are evicted.
	MaxTrackedBudgets = 20_000
	// MaxReportedBudgets is the maximum number of budgets in a report.
	MaxReportedBudgets = 200
	// maxHourlyReadings is the number of hourly readings that are kept of a budget, enough for a day.
	maxHourlyReadings = 25
	// neverExhausted is the time of exhaustion of a budget that is not used, or that lasts for ten years or more.
	neverExhausted = int64(1) << 62
)

type (
	// Reading is the size and use of a budget at one time.
	Reading struct {
		inventory.BudgetID
		Total inventory.Tokens
		Spent inventory.Tokens // Cumulative, for the whole fleet.
	}

	// budgetUsage is the use of a budget over the last day.
	budgetUsage struct {
		Reading
		readAt int64                            // Unix time of the last reading.
		hourly [maxHourlyReadings]hourlyReading // Ring buffer by hour.
	}

	// hourlyReading is the first reading of an hour.
	hourlyReading struct {
		readAt int64 // Unix time.
		spent  inventory.Tokens
	}

	// forecastBudget is a budget with the Unix time at which it will be exhausted.
	forecastBudget struct {
		wire.BudgetBurn
		exhaustedAt int64
	}

	// exhaustionHeap is a heap with the last budget in the order of compareBudgets at the root.
	exhaustionHeap []forecastBudget
)

// RecordReadings records the current use of budgets. It is called every few seconds with the budgets that are in use.
func (r *Recorder) RecordReadings(readings []Reading) {
	now := r.now().Unix()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.budgets == nil {
		r.budgets = make(map[inventory.BudgetID]*budgetUsage)
	}
	for _, reading := range readings {
		usage := r.budgets[reading.BudgetID]
		if usage == nil {
			usage = new(budgetUsage)
			r.budgets[reading.BudgetID] = usage
		}
		usage.record(reading, now)
		if len(r.budgets) >= 2*MaxTrackedBudgets {
			r.evictOldest()
		}
	}
	r.evictOldest()
}

// record stores a reading as the latest one, and as that of its hour if it is the first in it.
func (u *budgetUsage) record(reading Reading, now int64) {
	u.Reading, u.readAt = reading, now
	slot := &u.hourly[now/3600%maxHourlyReadings]
	if slot.readAt/3600 != now/3600 {
		*slot = hourlyReading{readAt: now, spent: reading.Spent}
	}
}

// evictOldest removes the budgets beyond MaxTrackedBudgets that have not been read for the longest time.
func (r *Recorder) evictOldest() {
	if len(r.budgets) <= MaxTrackedBudgets {
		return
	}
	ids := make([]inventory.BudgetID, 0, len(r.budgets))
	for id := range r.budgets {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b inventory.BudgetID) int { return cmp.Compare(r.budgets[a].readAt, r.budgets[b].readAt) })
	for _, id := range ids[:len(ids)-MaxTrackedBudgets] {
		delete(r.budgets, id)
	}
}

// tokensPerDay returns how many tokens are spent in a day, at the average rate since the oldest reading of the last
// day.
func (u *budgetUsage) tokensPerDay() float64 {
	oldest := hourlyReading{readAt: u.readAt, spent: u.Spent}
	for _, reading := range u.hourly {
		if reading.readAt > u.readAt-24*3600 && reading.readAt < oldest.readAt {
			oldest = reading
		}
	}
	if u.readAt-oldest.readAt < 60 {
		return 0 // Less than a minute is too short to measure a rate.
	}
	return float64(u.Spent-oldest.spent) / float64(u.readAt-oldest.readAt) * 24 * 3600
}

// forecast returns the budget with the time of its exhaustion at the present rate.
func (u *budgetUsage) forecast(now time.Time) forecastBudget {
	perDay := u.tokensPerDay()
	forecast := forecastBudget{exhaustedAt: neverExhausted}
	forecast.Account, forecast.Budget = u.Account, u.Budget
	forecast.Total, forecast.Spent, forecast.Day = int(u.Total), int(u.Spent), int(perDay)
	forecast.Over = int(max(0, u.Spent-u.Total))
	remaining := float64(max(0, u.Total-u.Spent))
	if days := remaining / perDay; perDay > 0 && days < 3650 {
		exhausted := now.Add(time.Duration(days * float64(24*time.Hour)))
		forecast.exhaustedAt = exhausted.Unix()
		forecast.End = exhausted.UTC().Format(time.DateOnly)
	}
	if remaining == 0 {
		forecast.exhaustedAt = now.Unix()
		forecast.End = now.UTC().Format(time.DateOnly)
	}
	return forecast
}

// reportBudgets returns at most MaxReportedBudgets budgets, the first in the order of compareBudgets.
func (r *Recorder) reportBudgets(now time.Time) []wire.BudgetBurn {
	r.mu.Lock()
	var soonest exhaustionHeap
	for _, usage := range r.budgets {
		heap.Push(&soonest, usage.forecast(now))
		if len(soonest) > MaxReportedBudgets {
			heap.Pop(&soonest)
		}
	}
	r.mu.Unlock()
	slices.SortFunc(soonest, compareBudgets)
	budgets := make([]wire.BudgetBurn, len(soonest))
	for i, b := range soonest {
		budgets[i] = b.BudgetBurn
	}
	return budgets
}

// compareBudgets orders budgets by overspend, largest first, then by the time of exhaustion and by name.
func compareBudgets(a, b forecastBudget) int {
	return cmp.Or(cmp.Compare(b.Over, a.Over), cmp.Compare(a.exhaustedAt, b.exhaustedAt), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Budget, b.Budget))
}

func (h exhaustionHeap) Len() int           { return len(h) }
func (h exhaustionHeap) Less(i, j int) bool { return compareBudgets(h[i], h[j]) > 0 }
func (h exhaustionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends an element, for container/heap.
func (h *exhaustionHeap) Push(x any) { *h = append(*h, x.(forecastBudget)) }

// Pop removes the last element, for container/heap.
func (h *exhaustionHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
