// Package burn measures how fast requests use up the error budgets of the declared service levels (service level
// objectives, SLOs) and the prepaid token budgets. A burn rate of 1 is exactly the share of bad requests that the goal
// of a level allows.
package burn

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

const (
	// Answered is a request that was answered completely. It is good if it was fast enough.
	Answered Outcome = iota
	// Failed is a request that failed through a fault of the system, or was refused for lack of capacity.
	Failed
	// FalselyRefused is a request that was refused although budget and capacity were available.
	FalselyRefused
	// NotCounted is a request that was refused with reason, for instance by a rule or because its budget was exhausted,
	// or that was cancelled. It counts for no level.
	NotCounted

	// maxCachedMatches limits the memory of the match cache. The levels of further scopes are looked up for each
	// request.
	maxCachedMatches = 1 << 16
)

type (
	// Outcome is the result of a request, as it counts for service levels.
	Outcome int

	// Sample is one finished request.
	Sample struct {
		Service string
		Model   string
		Account string
		Outcome Outcome
		First   time.Duration // Time to the first token, or to the answer of a plain service.
		Gap     time.Duration // Longest time between two tokens.
	}

	// Recorder counts requests for each level and account, and keeps the recent use of budgets. Its memory is bounded
	// by the number of declared levels and accounts and by MaxTrackedBudgets. The zero value is ready to use and
	// ignores samples until the first call of SetInventory.
	Recorder struct {
		Now func() time.Time // Nil means time.Now.

		active atomic.Pointer[trackedConfig] // Nil until the first call of SetInventory.

		mu      sync.Mutex // Guards budgets and serializes SetInventory.
		budgets map[inventory.BudgetID]*budgetUsage
	}

	// scope selects the requests that a level measures. An empty field matches every request.
	scope struct {
		service, model, account string
	}

	// trackedConfig holds the levels and accounts of one configuration version.
	trackedConfig struct {
		byScope   map[scope][]*trackedLevel
		levels    []*trackedLevel // In the order of the inventory.
		accounts  map[string]*trackedAccount
		fieldSets []scopeFields // Distinct sets of fields in the scopes of the levels.

		matchCache       sync.Map     // []*trackedLevel by the full scope of a request.
		matchCacheMisses atomic.Int64 // Lookups that missed; beyond maxCachedMatches no entry is added.
	}

	// scopeFields tells which fields of a scope are set.
	scopeFields struct {
		service, model, account bool
	}

	// trackedLevel is a declared level with its request counts.
	trackedLevel struct {
		inventory.ServiceLevel
		maxFirstToken, maxTokenGap time.Duration // Zero means no limit.

		counts *requestCounts // Shared with the level of the same name and scope in the previous configuration version.
	}

	// trackedAccount is a client account with its request counts.
	trackedAccount struct {
		name          string
		worseOutcome  inventory.WorseOutcome // Which is worse for the account: a false refusal or overspend.
		requests      *atomic.Int64
		falseRefusals *atomic.Int64
	}
)

// SetInventory switches to the levels and accounts of a configuration version. A level keeps its counts if its name and
// scope are the same as before, and an account if its name is.
func (r *Recorder) SetInventory(inv *inventory.Inventory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.active.Load()
	if previous == nil {
		previous = &trackedConfig{}
	}
	next := &trackedConfig{byScope: make(map[scope][]*trackedLevel), accounts: make(map[string]*trackedAccount)}
	fieldSets := make(map[scopeFields]bool)
	for _, declared := range inv.Levels {
		level := previous.carryOverLevel(declared)
		levelScope := level.scope()
		next.byScope[levelScope] = append(next.byScope[levelScope], level)
		next.levels = append(next.levels, level)
		fieldSets[scopeFields{levelScope.service != "", levelScope.model != "", levelScope.account != ""}] = true
	}
	for fields := range fieldSets {
		next.fieldSets = append(next.fieldSets, fields)
	}
	for i := range inv.Accounts {
		next.accounts[inv.Accounts[i].Name] = previous.carryOverAccount(&inv.Accounts[i])
	}
	r.active.Store(next)
}

// Observe counts one finished request for its account and the levels that match it.
func (r *Recorder) Observe(sample Sample) {
	config := r.active.Load()
	if config == nil {
		return
	}
	if account := config.accounts[sample.Account]; account != nil {
		account.requests.Add(1)
		if sample.Outcome == FalselyRefused {
			account.falseRefusals.Add(1)
		}
	}
	if sample.Outcome == NotCounted {
		return
	}
	minute := r.now().Unix() / 60
	for _, level := range config.matchLevels(scope{service: sample.Service, model: sample.Model, account: sample.Account}) {
		level.counts.add(minute, level.meets(sample))
	}
}

// matchLevels returns the levels that measure requests of a scope.
func (c *trackedConfig) matchLevels(requestScope scope) []*trackedLevel {
	if cached, ok := c.matchCache.Load(requestScope); ok {
		return cached.([]*trackedLevel)
	}
	var matched []*trackedLevel
	for _, fields := range c.fieldSets {
		if restricted, ok := requestScope.restrictTo(fields); ok {
			matched = append(matched, c.byScope[restricted]...)
		}
	}
	if c.matchCacheMisses.Add(1) <= maxCachedMatches {
		c.matchCache.Store(requestScope, matched)
	}
	return matched
}

// Report returns the burn rates of all levels, the counts of all accounts, and the budgets that are exhausted
// first, at most MaxReportedBudgets. The overspend of an account is the sum over those budgets.
func (r *Recorder) Report() *wire.Burn {
	now := r.now()
	report := &wire.Burn{Time: now.UTC(), Levels: []wire.LevelBurn{}, Budgets: r.reportBudgets(now), Accounts: []wire.AccountBurn{}}
	config := r.active.Load()
	if config == nil {
		return report
	}
	for _, l := range config.levels {
		report.Levels = append(report.Levels, l.report(now))
	}
	overspend := make(map[string]int)
	for _, b := range report.Budgets {
		overspend[b.Account] += b.Over
	}
	for _, a := range config.accounts {
		report.Accounts = append(report.Accounts, wire.AccountBurn{
			Account:  a.name,
			Weigh:    string(a.worseOutcome),
			Requests: int(a.requests.Load()),
			Over:     overspend[a.name],
			Refusals: int(a.falseRefusals.Load()),
		})
	}
	slices.SortFunc(report.Accounts, func(a, b wire.AccountBurn) int { return cmp.Compare(a.Account, b.Account) })
	return report
}

func (r *Recorder) now() time.Time {
	if r.Now != nil {
		return r.Now()
	}
	return time.Now()
}

// restrictTo returns the scope with only the given fields, and reports whether all of them have a value.
func (s scope) restrictTo(fields scopeFields) (scope, bool) {
	var restricted scope
	if fields.service {
		restricted.service = s.service
	}
	if fields.model {
		restricted.model = s.model
	}
	if fields.account {
		restricted.account = s.account
	}
	return restricted, fields == scopeFields{restricted.service != "", restricted.model != "", restricted.account != ""}
}

// carryOverLevel returns a tracked level with the counts of the level of the same name and scope in c, or with new
// counts.
func (c *trackedConfig) carryOverLevel(declared inventory.ServiceLevel) *trackedLevel {
	level := &trackedLevel{ServiceLevel: declared}
	// The durations are unset or already validated; unset ones give zero.
	level.maxFirstToken, _ = time.ParseDuration(declared.MaxTimeToFirstToken)
	level.maxTokenGap, _ = time.ParseDuration(declared.MaxTokenGap)
	for _, previous := range c.byScope[level.scope()] {
		if previous.Name == declared.Name {
			level.counts = previous.counts
		}
	}
	if level.counts == nil {
		level.counts = newRequestCounts()
	}
	return level
}

// carryOverAccount returns a tracked account with the counts of the account of the same name in c, or with new counts.
func (c *trackedConfig) carryOverAccount(declared *inventory.ClientAccount) *trackedAccount {
	account := &trackedAccount{name: declared.Name, worseOutcome: cmp.Or(declared.WorseOutcome, inventory.WorseFalseRefusal)}
	if previous := c.accounts[declared.Name]; previous != nil {
		account.requests, account.falseRefusals = previous.requests, previous.falseRefusals
		return account
	}
	account.requests, account.falseRefusals = new(atomic.Int64), new(atomic.Int64)
	return account
}

func (l *trackedLevel) scope() scope {
	return scope{service: l.Service, model: l.Model, account: l.Account}
}

// meets reports whether a request is good by this level.
func (l *trackedLevel) meets(sample Sample) bool {
	fastEnough := (l.maxFirstToken == 0 || sample.First <= l.maxFirstToken) && (l.maxTokenGap == 0 || sample.Gap <= l.maxTokenGap)
	return sample.Outcome == Answered && fastEnough
}

func (l *trackedLevel) report(now time.Time) wire.LevelBurn {
	burn := wire.LevelBurn{Name: l.Name, Service: l.Service, Model: l.Model, Account: l.Account, Goal: l.Goal}
	for _, w := range windows {
		good, bad := l.counts.sum(now, w)
		burn.Windows = append(burn.Windows, wire.WindowBurn{Window: w.name, Good: good, Bad: bad, Rate: burnRate(good, bad, l.Goal)})
	}
	burn.Series = l.counts.series(now, l.Goal)
	return burn
}

// burnRate returns the share of bad requests divided by the share that the goal allows; zero if there are no requests
// or if the goal allows no bad ones.
func burnRate(good, bad int, goal float64) float64 {
	if good+bad == 0 || goal >= 1 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - goal)
}
