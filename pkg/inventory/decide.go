package inventory

import (
	"errors"
	"slices"

	"github.com/gravitational/trace"
)

var (
	// ErrDenied is returned when a rule denies the request.
	ErrDenied = errors.New("inventory: denied by rule")
	// ErrNotFound is returned when the account, model or service of the request is not declared.
	ErrNotFound = errors.New("inventory: not declared")
	// ErrNoSuchBudget is returned when the account does not have the budget that the caller names, or has no budget at
	// all.
	ErrNoSuchBudget = errors.New("inventory: no such budget of the account")
)

type (
	// Query is a request as the rules see it. It names a model or a plain service.
	Query struct {
		Account string
		Model   string
		Service string
		Budget  string // Budget that the caller names, if any.
	}

	// Decision is the result of applying the rules to a request.
	Decision struct {
		Rule    string   // Name of the rule that matched, or empty.
		Service string   // Service of the model, or the plain service itself.
		Places  []string // Places whose backend servers may be used; nil allows all.
		Budgets []string // Each attempt is debited to all of these budgets of the account.
		Most    Tokens   // Maximum output tokens; 0 for a plain service.
		Cost    Tokens   // Tokens debited for each call of a plain service; 0 for a model.
	}
)

// Decide applies the first matching rule to a request. It returns an error that wraps ErrNotFound, ErrDenied or
// ErrNoSuchBudget.
func (x *Index) Decide(q Query) (Decision, error) {
	var d Decision
	if x.accounts[q.Account] == nil {
		return d, trace.Wrap(ErrNotFound, "account %q", q.Account)
	}
	if err := x.resolveTarget(q, &d); err != nil {
		return d, err
	}
	rule := x.firstMatch(q.Account, q.Model, d.Service)
	if rule == nil {
		return d, x.selectBudget(q, &d)
	}
	d.Rule = rule.Name
	if rule.Deny {
		return d, trace.Wrap(ErrDenied, "rule %q", rule.Name)
	}
	d.Places = rule.Places
	if rule.MaxOutputTokens > 0 && q.Model != "" {
		d.Most = min(d.Most, rule.MaxOutputTokens)
	}
	if len(rule.Budgets) == 0 {
		return d, x.selectBudget(q, &d)
	}
	d.Budgets = rule.Budgets
	return d, nil
}

// AllowsPlace returns whether backend servers in the place may be used.
func (d *Decision) AllowsPlace(place string) bool {
	return len(d.Places) == 0 || slices.Contains(d.Places, place)
}

// resolveTarget sets the fields of d that follow from the model or service: Service, Most and Cost.
func (x *Index) resolveTarget(q Query, d *Decision) error {
	d.Service = q.Service
	if q.Model != "" {
		model := x.models[q.Model]
		if model == nil || (q.Service != "" && q.Service != model.Service) {
			return trace.Wrap(ErrNotFound, "model %q", q.Model)
		}
		d.Service, d.Most = model.Service, model.MaxOutputTokens
	}
	service := x.services[d.Service]
	if service == nil {
		return trace.Wrap(ErrNotFound, "service %q", d.Service)
	}
	if service.Kind == KindPlain {
		d.Cost = service.Cost
	}
	return nil
}

// firstMatch returns the first matching rule, or nil. It merges two sorted lists, the rules of the account and the
// rules for all accounts, so that its time does not grow with the rules of other accounts.
func (x *Index) firstMatch(account, model, service string) *Rule {
	accountRules, commonRules := x.rules[account], x.rules[""]
	for len(accountRules) > 0 || len(commonRules) > 0 {
		next := &accountRules
		if len(accountRules) == 0 || (len(commonRules) > 0 && commonRules[0] < accountRules[0]) {
			next = &commonRules
		}
		rule := &x.Inventory.Rules[(*next)[0]]
		*next = (*next)[1:]
		if (rule.Model == "" || rule.Model == model) && (rule.Service == "" || rule.Service == service) {
			return rule
		}
	}
	return nil
}

// selectBudget sets d.Budgets to the budget that the caller names, or else to the account's first one.
func (x *Index) selectBudget(q Query, d *Decision) error {
	name := q.Budget
	if name == "" && len(x.accountBudgets[q.Account]) > 0 {
		name = x.accountBudgets[q.Account][0].Name
	}
	if x.Budget(q.Account, name) == nil {
		return trace.Wrap(ErrNoSuchBudget, "budget %q", q.Budget)
	}
	d.Budgets = []string{name}
	return nil
}
