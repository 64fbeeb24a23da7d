package burn

import (
	"cmp"
	"slices"

	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

type (
	// merger adds up reports. The maps hold the indexes of levels, budgets and accounts in the slices of the result.
	merger struct {
		*wire.Burn
		levelIndexes   map[string]int
		budgetIndexes  map[inventory.BudgetID]int
		accountIndexes map[string]int
	}
)

// Merge combines the reports of several routers. Counts are added up. Of the readings of a budget it takes the newest,
// which is the one with the most tokens spent, since each reading covers the whole fleet. The reports are not modified.
func Merge(reports ...*wire.Burn) *wire.Burn {
	merged := &wire.Burn{Levels: []wire.LevelBurn{}, Budgets: []wire.BudgetBurn{}, Accounts: []wire.AccountBurn{}}
	merger := merger{Burn: merged, levelIndexes: map[string]int{}, budgetIndexes: map[inventory.BudgetID]int{}, accountIndexes: map[string]int{}}
	for _, report := range reports {
		if report.Time.After(merged.Time) {
			merged.Time = report.Time
		}
		for _, l := range report.Levels {
			merger.addLevel(l)
		}
		for _, b := range report.Budgets {
			merger.addBudget(b)
		}
		for _, a := range report.Accounts {
			merger.addAccount(a)
		}
	}
	slices.SortFunc(merged.Accounts, func(a, b wire.AccountBurn) int { return cmp.Compare(a.Account, b.Account) })
	slices.SortStableFunc(merged.Budgets, func(a, b wire.BudgetBurn) int {
		return cmp.Or(cmp.Compare(b.Over, a.Over), compareEndDates(a.End, b.End))
	})
	merged.Budgets = merged.Budgets[:min(len(merged.Budgets), MaxReportedBudgets)]
	return merged
}

func (m *merger) addLevel(l wire.LevelBurn) {
	index, ok := m.levelIndexes[l.Name]
	if !ok {
		m.levelIndexes[l.Name] = len(m.Levels)
		l.Windows, l.Series = slices.Clone(l.Windows), slices.Clone(l.Series)
		m.Levels = append(m.Levels, l)
		return
	}
	merged := &m.Levels[index]
	for _, w := range l.Windows {
		i := slices.IndexFunc(merged.Windows, func(x wire.WindowBurn) bool { return x.Window == w.Window })
		if i < 0 {
			merged.Windows = append(merged.Windows, w)
			continue
		}
		sum := &merged.Windows[i]
		sum.Good, sum.Bad = sum.Good+w.Good, sum.Bad+w.Bad
		sum.Rate = burnRate(sum.Good, sum.Bad, merged.Goal)
	}
	for _, p := range l.Series {
		i, found := slices.BinarySearchFunc(merged.Series, p, func(a, b wire.BurnPoint) int { return a.Time.Compare(b.Time) })
		if !found {
			merged.Series = slices.Insert(merged.Series, i, p)
			continue
		}
		sum := &merged.Series[i]
		sum.Good, sum.Bad = sum.Good+p.Good, sum.Bad+p.Bad
		sum.Rate = burnRate(sum.Good, sum.Bad, merged.Goal)
	}
}

func (m *merger) addBudget(b wire.BudgetBurn) {
	id := inventory.BudgetID{Account: b.Account, Budget: b.Budget}
	index, ok := m.budgetIndexes[id]
	if !ok {
		m.budgetIndexes[id] = len(m.Budgets)
		m.Budgets = append(m.Budgets, b)
		return
	}
	if b.Spent > m.Budgets[index].Spent {
		m.Budgets[index] = b
	}
}

// addAccount adds up requests and refusals. Of the overspend it takes the maximum, since the value of each router
// covers the whole fleet.
func (m *merger) addAccount(a wire.AccountBurn) {
	index, ok := m.accountIndexes[a.Account]
	if !ok {
		m.accountIndexes[a.Account] = len(m.Accounts)
		m.Accounts = append(m.Accounts, a)
		return
	}
	sum := &m.Accounts[index]
	sum.Requests += a.Requests
	sum.Refusals += a.Refusals
	sum.Over = max(sum.Over, a.Over)
}

// compareEndDates orders dates in the form of time.DateOnly; an empty date comes last.
func compareEndDates(a, b string) int {
	if (a == "") != (b == "") {
		return cmp.Compare(b, a)
	}
	return cmp.Compare(a, b)
}
