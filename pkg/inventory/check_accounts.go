package inventory

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// Descriptions of the accepted values, for findings.
	apiKeyFormat   = "sha256: and 64 hexadecimal digits"
	durationFormat = "a positive Go duration, such as 720ms"
	goalRange      = "more than 0 and less than 1, such as 0.99"
)

func (c *checker) checkAccounts() {
	accountByDigest := make(map[[digestSize]byte]string)
	for i, account := range c.Accounts {
		for _, key := range account.Keys {
			c.checkAPIKey(i, key, accountByDigest)
		}
		suffix := " of the account " + quote(account.Name)
		c.checkAmount(c.position("account", i, "weight"), "weight"+suffix, int64(account.Weight), 0, MaxWeight)
		c.checkAmount(c.position("account", i, "priority"), "priority"+suffix, int64(account.Priority), 0, MaxPriority)
		switch account.WorseOutcome {
		case "", WorseFalseRefusal, WorseOverspend:
		default:
			text := fmt.Sprintf("weigh%s is %q", suffix, account.WorseOutcome)
			c.report(c.position("account", i, "weigh"), text, "name what weighs more", "refusal, overspend")
		}
	}
}

// checkAPIKey reports a key that is malformed or that an account already has. It adds the key to accountByDigest.
func (c *checker) checkAPIKey(i int, key string, accountByDigest map[[digestSize]byte]string) {
	account, pos := c.Accounts[i].Name, c.position("account", i, "keys")
	digest, err := ParseKeyDigest(key)
	if err != nil {
		// The finding does not quote the key, since an operator may have entered the secret itself by mistake.
		c.report(pos, fmt.Sprintf("a key of the account %q is not a sha256 digest", account), "write the digest of the key", apiKeyFormat)
		return
	}
	owner, ok := accountByDigest[digest]
	if !ok {
		accountByDigest[digest] = account
		return
	}
	text := fmt.Sprintf("a key of the account %q is also one of the account %q", account, owner)
	if owner == account {
		text = fmt.Sprintf("the account %q has the same key twice", account)
	}
	c.report(pos, text, "give each account its own keys", "unique keys")
}

func (c *checker) checkBudgets() {
	for i := range c.Budgets {
		budget := &c.Budgets[i]
		if _, ok := c.accountIndex[budget.Account]; !ok {
			c.checkReference(c.position("budget", i, "account"), "account", budget.Account, c.accountIndex)
		}
		if budget.Tokens < 0 || budget.Tokens > MaxTokens {
			c.checkAmount(c.position("budget", i, "tokens"), "tokens of the budget "+quote(budget.Name), int64(budget.Tokens), 0, int64(MaxTokens))
			continue
		}
		if len(budget.TopUps) > 0 {
			c.checkTopups(i)
		}
	}
}

// checkTopups checks the top-ups of a budget. It stops at the first amount out of range, before the sum can overflow.
func (c *checker) checkTopups(i int) {
	budget, indexByName := &c.Budgets[i], make(map[string]int)
	total := budget.Tokens
	for j, topup := range budget.TopUps {
		pos, subject := c.doc.topupPosition(i, j, "name"), "top-up of the budget "+quote(budget.Name)
		if firstIndex, ok := indexByName[topup.Name]; ok {
			c.reportDuplicate(pos, subject, topup.Name, c.doc.topupPosition(i, firstIndex, "name"))
		}
		indexByName[topup.Name] = j
		if !validName(topup.Name, false) {
			c.report(pos, fmt.Sprintf("the name %q of a %s is malformed", topup.Name, subject), "give it a name of the accepted form", nameFormat)
		}
		pos = c.doc.topupPosition(i, j, "tokens")
		if !c.checkAmount(pos, "tokens of the "+subject, int64(topup.Tokens), 1, int64(MaxTokens)) {
			return
		}
		total += topup.Tokens
		if !c.checkAmount(pos, "the budget "+quote(budget.Name)+" with its top-ups", int64(total), 0, int64(MaxTokens)) {
			return
		}
	}
}

// checkBudgetUsage reports budgets whose total would fall below their granted and spent tokens, and removed budgets
// that still have grants.
func (c *checker) checkBudgetUsage() {
	var removed []BudgetID
	for id, usage := range c.runtimeState.Budgets {
		i, ok := c.budgetIndex[id]
		if !ok {
			if usage.Granted > 0 {
				removed = append(removed, id)
			}
			continue
		}
		minimum, total := usage.Granted+usage.Spent, c.Budgets[i].Total()
		if total >= minimum {
			continue
		}
		text := fmt.Sprintf("the budget %q of the account %q is lowered to %d tokens, under the %d granted and %d spent",
			id.Budget, id.Account, total, usage.Granted, usage.Spent)
		c.report(c.position("budget", i, "tokens"), text, "raise the amount, or lower it after the grants have ended", fmt.Sprintf("%d to %d", minimum, int64(MaxTokens)))
	}
	slices.SortFunc(removed, func(a, b BudgetID) int { return strings.Compare(a.Account+"/"+a.Budget, b.Account+"/"+b.Budget) })
	for _, id := range removed {
		granted := c.runtimeState.Budgets[id].Granted
		text := fmt.Sprintf("the budget %q of the account %q is removed with %d tokens granted", id.Budget, id.Account, granted)
		c.report(Position{}, text, "keep the budget until its grants have ended", "a declared budget")
	}
}

func (c *checker) checkLevels() {
	for i, level := range c.Levels {
		if level.Service != "" {
			c.checkReference(c.position("level", i, "service"), "service", level.Service, c.serviceIndex)
		}
		if level.Model != "" && c.checkReference(c.position("level", i, "model"), "model", level.Model, c.modelIndex) {
			c.checkModelService(c.position("level", i, "model"), "level "+quote(level.Name), level.Model, level.Service)
		}
		if level.Account != "" {
			c.checkReference(c.position("level", i, "account"), "account", level.Account, c.accountIndex)
		}
		if !(level.Goal > 0 && level.Goal < 1) {
			text := fmt.Sprintf("the goal of the level %q is %v", level.Name, level.Goal)
			c.report(c.position("level", i, "goal"), text, "give the share of good requests", goalRange)
		}
		c.checkDuration(c.position("level", i, "first"), "first of the level "+quote(level.Name), level.MaxTimeToFirstToken)
		c.checkDuration(c.position("level", i, "gap"), "gap of the level "+quote(level.Name), level.MaxTokenGap)
	}
}

// checkDuration reports a value that is neither empty nor a positive Go duration.
func (c *checker) checkDuration(pos Position, subject, value string) {
	if value == "" {
		return
	}
	if d, err := time.ParseDuration(value); err == nil && d > 0 {
		return
	}
	c.report(pos, fmt.Sprintf("%s is %q", subject, value), "give a duration", durationFormat)
}

// checkModelService reports a level or rule whose model belongs to a service other than the one it names.
func (c *checker) checkModelService(pos Position, subject, model, service string) bool {
	modelService := c.Models[c.modelIndex[model]].Service
	if service == "" || service == modelService {
		return true
	}
	text := fmt.Sprintf("the %s can never match: the model %q is one of the service %q, not of %q", subject, model, modelService, service)
	c.report(pos, text, "remove the service or name the model's own", modelService)
	return false
}
