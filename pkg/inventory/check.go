package inventory

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

const (
	// MaxTokens is the maximum amount of a budget. Integers up to 2^53-1 are exact in every JSON reader, and the sum of
	// a thousand of them fits in 64 bits.
	MaxTokens Tokens = 1<<53 - 1
	// MaxWeight is the maximum weight of a client account.
	MaxWeight = 1_000_000
	// MaxPriority is the maximum priority of a client account.
	MaxPriority = 100

	// Descriptions of the accepted values, for findings.
	nameFormat      = "1 to 128 letters, digits, and . _ : - behind the first one"
	modelNameFormat = "1 to 128 letters, digits, and . _ : - / behind the first one"
)

type (
	// BudgetID identifies a budget. Budget names are unique within their account.
	BudgetID struct {
		Account string
		Budget  string
	}

	// BudgetUsage is the current use of a budget.
	BudgetUsage struct {
		Granted Tokens // Sum of the grants that have not ended.
		Spent   Tokens // Tokens consumed under the grants that have ended.
	}

	// RuntimeState is the state of the running system that an inventory is checked against. The zero value stands for
	// no running system.
	RuntimeState struct {
		Budgets map[BudgetID]BudgetUsage
	}

	// checker validates one document and collects the findings.
	checker struct {
		*Inventory
		doc          *Document
		runtimeState RuntimeState
		findings     []Finding

		// Indexes of the elements in their tables, by name. Of duplicate names the first counts.
		placeIndex   map[string]int
		serviceIndex map[string]int
		modelIndex   map[string]int
		accountIndex map[string]int
		budgetIndex  map[BudgetID]int
		addressUsers map[string]string // Description of the first element that uses each "host:port".
	}
)

// Check validates a document and returns all findings, sorted by file and line. An inventory without findings is safe
// to apply.
func Check(doc *Document, runtimeState RuntimeState) []Finding {
	c := &checker{Inventory: &doc.Inventory, doc: doc, runtimeState: runtimeState, findings: slices.Clone(doc.findings)}
	c.addressUsers = make(map[string]string)
	c.checkNames()
	c.checkHosts()
	c.checkServices()
	c.checkModels()
	c.checkBackends()
	c.checkAccounts()
	c.checkBudgets()
	c.checkBudgetUsage()
	c.checkLevels()
	c.checkRules()
	fileOrder := make(map[string]int)
	for i, file := range doc.files {
		fileOrder[file] = i
	}
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(fileOrder[a.File], fileOrder[b.File]), cmp.Compare(a.Line, b.Line))
	})
	return c.findings
}

// checkNames fills the name indexes and reports names that are missing, malformed or duplicate.
func (c *checker) checkNames() {
	c.placeIndex = c.checkUniqueNames("place", len(c.Places), func(i int) string { return c.Places[i].Name })
	c.checkUniqueNames("host", len(c.Hosts), func(i int) string { return c.Hosts[i].Name })
	c.serviceIndex = c.checkUniqueNames("service", len(c.Services), func(i int) string { return c.Services[i].Name })
	c.modelIndex = c.checkUniqueNames("model", len(c.Models), func(i int) string { return c.Models[i].Name })
	c.checkUniqueNames("backend", len(c.Backends), func(i int) string { return c.Backends[i].Name })
	c.accountIndex = c.checkUniqueNames("account", len(c.Accounts), func(i int) string { return c.Accounts[i].Name })
	c.checkUniqueNames("level", len(c.Levels), func(i int) string { return c.Levels[i].Name })
	c.checkUniqueNames("rule", len(c.Rules), func(i int) string { return c.Rules[i].Name })
	c.budgetIndex = make(map[BudgetID]int, len(c.Budgets))
	for i := range c.Budgets {
		c.checkBudgetName(i)
	}
}

// checkUniqueNames checks the names of a table with count elements and returns the element indexes by name.
func (c *checker) checkUniqueNames(table string, count int, nameOf func(int) string) map[string]int {
	indexByName := make(map[string]int, count)
	for i := range count {
		c.checkNameFormat(table, i, nameOf(i))
		firstIndex, ok := indexByName[nameOf(i)]
		if !ok {
			indexByName[nameOf(i)] = i
			continue
		}
		if nameOf(i) != "" {
			c.reportDuplicate(c.position(table, i, "name"), table, nameOf(i), c.position(table, firstIndex, "name"))
		}
	}
	return indexByName
}

// checkBudgetName checks the name of a budget, which must be unique within its account.
func (c *checker) checkBudgetName(i int) {
	budget := &c.Budgets[i]
	c.checkNameFormat("budget", i, budget.Name)
	id := BudgetID{Account: budget.Account, Budget: budget.Name}
	firstIndex, ok := c.budgetIndex[id]
	if !ok {
		c.budgetIndex[id] = i
		return
	}
	c.reportDuplicate(c.position("budget", i, "name"), "budget of the account "+quote(budget.Account), budget.Name, c.position("budget", firstIndex, "name"))
}

// checkNameFormat reports a name that is missing or malformed.
func (c *checker) checkNameFormat(table string, index int, name string) {
	if validName(name, table == "model") {
		return
	}
	accepted := nameFormat
	if table == "model" {
		accepted = modelNameFormat
	}
	text := fmt.Sprintf("the %s name %q is malformed", table, name)
	if name == "" {
		text = fmt.Sprintf("a %s has no name", table)
	}
	c.report(c.position(table, index, "name"), text, "give it a name of the accepted form", accepted)
}

// reportDuplicate reports the second declaration of a name, at pos. first is the position of the first declaration; it
// is zero if it is unknown.
func (c *checker) reportDuplicate(pos Position, subject, name string, first Position) {
	fix := "rename or remove one of them"
	if first.File != "" {
		fix += fmt.Sprintf("; the first is at %s:%d", first.File, first.Line)
	}
	c.report(pos, fmt.Sprintf("%s %q is declared twice", subject, name), fix, "unique names")
}

// checkReference reports a reference to a name that its table does not declare, and returns whether it is declared.
func (c *checker) checkReference(pos Position, table, name string, declared map[string]int) bool {
	if _, ok := declared[name]; ok {
		return true
	}
	text := fmt.Sprintf("the %s %q is not declared", table, name)
	if name == "" {
		text = fmt.Sprintf("no %s is given", table)
	}
	c.report(pos, text, fmt.Sprintf("name a declared %s or declare it", table), describeDeclared(table, declared))
	return false
}

// checkAmount reports a value outside minimum to maximum, both included, and returns whether it is inside.
func (c *checker) checkAmount(pos Position, subject string, value, minimum, maximum int64) bool {
	if value >= minimum && value <= maximum {
		return true
	}
	fix := fmt.Sprintf("give a value of at least %d", minimum)
	if value > maximum {
		fix = fmt.Sprintf("give a value of at most %d", maximum)
	}
	c.report(pos, fmt.Sprintf("%s is %d", subject, value), fix, fmt.Sprintf("%d to %d", minimum, maximum))
	return false
}

func (c *checker) position(table string, index int, key string) Position {
	return c.doc.Position(table, index, key)
}

func (c *checker) report(pos Position, text, fix, accepted string) {
	c.findings = append(c.findings, Finding{Position: pos, Text: text, Fix: fix, Accepted: accepted})
}

// validName returns whether a name has the accepted format. It uses no regular expression, which would dominate the
// time of checking several hundred thousand budgets.
func validName(name string, allowSlash bool) bool {
	if name == "" || len(name) > 128 {
		return false
	}
	for i := range len(name) {
		char := name[i]
		alphanumeric := char|0x20 >= 'a' && char|0x20 <= 'z' || char >= '0' && char <= '9'
		punctuation := i > 0 && (char == '.' || char == '_' || char == ':' || char == '-' || allowSlash && char == '/')
		if !alphanumeric && !punctuation {
			return false
		}
	}
	return true
}

// describeDeclared returns the declared names of a table, or only their number if there are more than 12.
func describeDeclared(table string, declared map[string]int) string {
	if len(declared) == 0 {
		return "none, no " + table + " is declared"
	}
	if len(declared) > 12 {
		return fmt.Sprintf("one of the %d declared names of a %s", len(declared), table)
	}
	var names []string
	for name := range declared {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

func quote(s string) string { return fmt.Sprintf("%q", s) }
