// Package inventory holds what operators declare: the inventory and the rules on who may spend what and where.
package inventory

const (
	// KindModel is a service of model engines.
	KindModel Kind = "model"
	// KindPlain is a plain HTTP service.
	KindPlain Kind = "plain"

	// WeighRefusal makes false refusals the worse outcome for an account.
	WeighRefusal Weigh = "refusal"
	// WeighOverspend makes overspend the worse outcome for an account.
	WeighOverspend Weigh = "overspend"

	// RoleServe is a backend server that prefills and decodes.
	RoleServe Role = "serve"
	// RolePrefill is a backend server that only prefills.
	RolePrefill Role = "prefill"
	// RoleDecode is a backend server that only decodes.
	RoleDecode Role = "decode"
)

type (
	// Kind tells model engines from plain services.
	Kind string

	// Weigh states which error an account weighs more. Neither value permits overspend.
	Weigh string

	// Role is the role of a model engine.
	Role string

	// Tokens is an amount of model tokens.
	Tokens int64

	// Inventory is all that operators declare.
	Inventory struct {
		Places   []Place         `toml:"place" json:"place"`
		Hosts    []Host          `toml:"host" json:"host"`
		Services []Service       `toml:"service" json:"service"`
		Models   []Model         `toml:"model" json:"model"`
		Backends []BackendServer `toml:"backend" json:"backend"`
		Accounts []ClientAccount `toml:"account" json:"account"`
		Budgets  []Budget        `toml:"budget" json:"budget"`
		Levels   []Level         `toml:"level" json:"level"`
		Rules    []Rule          `toml:"rule" json:"rule"`
	}

	// Place is a data centre.
	Place struct {
		Name   string `toml:"name" json:"name"`
		Region string `toml:"region" json:"region"`
	}

	// Host is an entry host that runs routers.
	Host struct {
		Name    string `toml:"name" json:"name"`
		Place   string `toml:"place" json:"place"`
		Address string `toml:"address" json:"address"` // IP address and port of the router's peer listener.
	}

	// Service is a group of backend servers that do the same work.
	Service struct {
		Name   string   `toml:"name" json:"name"`
		Kind   Kind     `toml:"kind" json:"kind"`
		Prefix string   `toml:"prefix" json:"prefix,omitempty"` // Path prefix of a plain service.
		Once   []string `toml:"once" json:"once,omitempty"`     // Non-repeatable calls, "METHOD /path", of a plain service.
		Ready  int      `toml:"ready" json:"ready,omitempty"`   // Least number of ready backend servers.
		Cost   Tokens   `toml:"cost" json:"cost,omitempty"`     // Tokens debited for one call of a plain service.
	}

	// Model is a model that engines serve.
	Model struct {
		Name     string   `toml:"name" json:"name"`
		Service  string   `toml:"service" json:"service"`
		Version  string   `toml:"version" json:"version"`
		Adapters []string `toml:"adapters" json:"adapters,omitempty"`
		Overhead Tokens   `toml:"overhead" json:"overhead,omitempty"` // Most tokens that the prompt template adds.
		Limit    Tokens   `toml:"limit" json:"limit"`                 // Most output tokens of one request.
		Ready    int      `toml:"ready" json:"ready,omitempty"`       // Least number of ready backend servers.
		Move     bool     `toml:"move" json:"move,omitempty"`         // Whether a running stream may migrate to another server.
	}

	// BackendServer is a model engine or a server of a plain service.
	BackendServer struct {
		Name    string   `toml:"name" json:"name"`
		Service string   `toml:"service" json:"service"`
		Place   string   `toml:"place" json:"place"`
		Address string   `toml:"address" json:"address"`         // Base URL.
		Class   string   `toml:"class" json:"class,omitempty"`   // Speed class, for reports only; speed itself is learned.
		Fences  bool     `toml:"fences" json:"fences,omitempty"` // Whether it refuses commands with an old fencing number.
		Models  []string `toml:"models" json:"models,omitempty"` // Models it is to hold.
		Role    Role     `toml:"role" json:"role,omitempty"`
	}

	// ClientAccount is who spends.
	ClientAccount struct {
		Name     string   `toml:"name" json:"name"`
		Keys     []string `toml:"keys" json:"keys"`               // API keys as "sha256:" and the hex digest.
		Weight   int      `toml:"weight" json:"weight,omitempty"` // Fair share, 1 if unset.
		Priority int      `toml:"priority" json:"priority,omitempty"`
		Weigh    Weigh    `toml:"weigh" json:"weigh,omitempty"`
		Rank     *int     `toml:"-" json:"-"` // Goes before the priority of a route; 0 is the most urgent.
	}

	// Budget is a prepaid amount of tokens of one account.
	Budget struct {
		Name    string  `toml:"name" json:"name"`
		Account string  `toml:"account" json:"account"`
		Tokens  Tokens  `toml:"tokens" json:"tokens"`
		Topups  []Topup `toml:"topup" json:"topup,omitempty"`
	}

	// Topup adds tokens to a budget. Its name makes a repeated top-up harmless.
	Topup struct {
		Name   string `toml:"name" json:"name"`
		Tokens Tokens `toml:"tokens" json:"tokens"`
	}

	// Level is a service level that the burn report measures against.
	Level struct {
		Name    string  `toml:"name" json:"name"`
		Service string  `toml:"service" json:"service,omitempty"`
		Model   string  `toml:"model" json:"model,omitempty"`
		Account string  `toml:"account" json:"account,omitempty"`
		Goal    float64 `toml:"goal" json:"goal"`             // Share of good requests, such as 0.99.
		First   string  `toml:"first" json:"first,omitempty"` // Longest time to the first token, as a Go duration.
		Gap     string  `toml:"gap" json:"gap,omitempty"`     // Longest time between tokens, as a Go duration.
	}

	// Rule states who may spend what and where. The first rule that matches a request decides. Empty fields match
	// everything. Without a matching rule an account may use everything, and a request is debited to the budget that
	// the caller names, or else to the account's first budget.
	Rule struct {
		Name    string   `toml:"name" json:"name"`
		Account string   `toml:"account" json:"account,omitempty"`
		Model   string   `toml:"model" json:"model,omitempty"`
		Service string   `toml:"service" json:"service,omitempty"`
		Places  []string `toml:"places" json:"places,omitempty"`   // Places whose backend servers may be used.
		Budgets []string `toml:"budgets" json:"budgets,omitempty"` // Budgets that each request is debited to, all of them.
		Deny    bool     `toml:"deny" json:"deny,omitempty"`
		Most    Tokens   `toml:"most" json:"most,omitempty"` // Most output tokens of one request.
	}
)
