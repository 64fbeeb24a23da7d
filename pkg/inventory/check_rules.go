package inventory

import (
	"fmt"
	"slices"
)

type (
	// scope holds the criteria by which a rule matches requests. Empty fields match every request.
	scope struct {
		account, model, service string
	}
)

func (c *checker) checkRules() {
	ruleByScope := make(map[scope]int)
	for i := range c.Rules {
		if c.checkRuleReferences(i) {
			c.checkRuleReachable(i, ruleByScope)
		}
		c.checkRulePlaces(i)
		c.checkRuleBudgets(i)
		maxOutput := int64(c.Rules[i].MaxOutputTokens)
		c.checkAmount(c.position("rule", i, "most"), "most of the rule "+quote(c.Rules[i].Name), maxOutput, 0, int64(MaxTokens))
	}
}

// checkRuleReferences reports undeclared names in the criteria of a rule, and returns whether the criteria are valid.
func (c *checker) checkRuleReferences(i int) bool {
	rule, ok := c.Rules[i], true
	if rule.Account != "" {
		ok = c.checkReference(c.position("rule", i, "account"), "account", rule.Account, c.accountIndex) && ok
	}
	if rule.Service != "" {
		ok = c.checkReference(c.position("rule", i, "service"), "service", rule.Service, c.serviceIndex) && ok
	}
	if rule.Model == "" {
		return ok
	}
	pos := c.position("rule", i, "model")
	if !c.checkReference(pos, "model", rule.Model, c.modelIndex) {
		return false
	}
	return c.checkModelService(pos, "rule "+quote(rule.Name), rule.Model, rule.Service) && ok
}

// checkRuleReachable reports a rule that is never applied because an earlier one matches all its requests. Otherwise it
// adds the rule to ruleByScope.
func (c *checker) checkRuleReachable(i int, ruleByScope map[scope]int) {
	rule := c.Rules[i]
	service := rule.Service
	if rule.Model != "" {
		service = c.Models[c.modelIndex[rule.Model]].Service
	}
	for _, account := range []string{"", rule.Account} {
		for _, covering := range []scope{{account: account}, {account: account, service: service}, {account: account, model: rule.Model}} {
			earlier, ok := ruleByScope[covering]
			if !ok {
				continue
			}
			text := fmt.Sprintf("the rule %q can never match: the earlier rule %q matches all its requests", rule.Name, c.Rules[earlier].Name)
			c.report(c.position("rule", i, "name"), text, "put the narrower rule first or remove one", "a rule that some request reaches")
			return
		}
	}
	if rule.Model != "" {
		service = ""
	}
	ruleByScope[scope{account: rule.Account, model: rule.Model, service: service}] = i
}

// checkRulePlaces reports undeclared places, and a rule whose places have no backend server for its model or service.
func (c *checker) checkRulePlaces(i int) {
	rule, pos := c.Rules[i], c.position("rule", i, "places")
	for _, place := range rule.Places {
		if !c.checkReference(pos, "place", place, c.placeIndex) {
			return
		}
	}
	c.checkListDuplicates(pos, "place of the rule "+quote(rule.Name), rule.Places)
	if len(rule.Places) == 0 || rule.Deny || (rule.Model == "" && rule.Service == "") {
		return
	}
	for _, backend := range c.Backends {
		inService := rule.Service == "" || backend.Service == rule.Service
		servesModel := rule.Model == "" || slices.Contains(backend.Models, rule.Model)
		if inService && servesModel && slices.Contains(rule.Places, backend.Place) {
			return
		}
	}
	text := fmt.Sprintf("no backend server in the places of the rule %q can answer its requests", rule.Name)
	c.report(pos, text, "add a place or a backend server", "places with a backend server of the model or service")
}

// checkRuleBudgets reports budgets that an account matched by the rule does not have.
func (c *checker) checkRuleBudgets(i int) {
	rule, pos := c.Rules[i], c.position("rule", i, "budgets")
	c.checkListDuplicates(pos, "budget of the rule "+quote(rule.Name), rule.Budgets)
	for _, name := range rule.Budgets {
		if rule.Account != "" {
			c.checkAccountBudget(pos, rule, rule.Account, name)
			continue
		}
		for _, account := range c.Accounts {
			if !c.checkAccountBudget(pos, rule, account.Name, name) {
				break
			}
		}
	}
}

// checkAccountBudget reports a budget of a rule that the account does not have, and returns whether it has it.
func (c *checker) checkAccountBudget(pos Position, rule Rule, account, name string) bool {
	if _, ok := c.budgetIndex[BudgetID{Account: account, Budget: name}]; ok {
		return true
	}
	text := fmt.Sprintf("the rule %q names the budget %q, which the account %q does not have", rule.Name, name, account)
	if owner := c.budgetOwner(name); owner != "" {
		text += fmt.Sprintf("; it is one of the account %q", owner)
	}
	c.report(pos, text, "name a budget of the account or declare it", "budgets of the account "+quote(account))
	return false
}

// budgetOwner returns the first account that has a budget with the name, or the empty string.
func (c *checker) budgetOwner(name string) string {
	for i := range c.Budgets {
		if c.Budgets[i].Name == name {
			return c.Budgets[i].Account
		}
	}
	return ""
}
