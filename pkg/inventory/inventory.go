// Package inventory defines the configuration that operators declare: data centres, hosts, services, models, backend
// servers, client accounts with their prepaid token budgets, service levels, and the rules that route and restrict
// requests. It parses and validates the TOML files, compares two inventories, and evaluates the rules for a request.
package inventory

const (
	// KindModel is the kind of a service whose backend servers are model engines.
	KindModel Kind = "model"
	// KindPlain is the kind of a plain HTTP service.
	KindPlain Kind = "plain"

	// WorseFalseRefusal means that a false refusal is worse for the account than overspend.
	WorseFalseRefusal WorseOutcome = "refusal"
	// WorseOverspend means that overspend is worse for the account than a false refusal.
	WorseOverspend WorseOutcome = "overspend"

	// RoleServe is the role of a backend server that runs both prefill and decode.
	RoleServe Role = "serve"
	// RolePrefill is the role of a backend server that runs only prefill.
	RolePrefill Role = "prefill"
	// RoleDecode is the role of a backend server that runs only decode.
	RoleDecode Role = "decode"
)

type (
	// Kind distinguishes services of model engines from plain HTTP services.
	Kind string

	// WorseOutcome states which of two errors an account considers worse. The empty value means a false refusal.
	// Neither value permits overspend.
	WorseOutcome string

	// Role states which phases of inference a model engine runs. The empty value means RoleServe.
	Role string

	// Tokens is a number of model tokens.
	Tokens int64

	// Inventory is the whole configuration that operators declare, one list for each table of the TOML files.
	Inventory struct {
		Places   []Place         `toml:"place" json:"place"`
		Hosts    []Host          `toml:"host" json:"host"`
		Services []Service       `toml:"service" json:"service"`
		Models   []Model         `toml:"model" json:"model"`
		Backends []BackendServer `toml:"backend" json:"backend"`
		Accounts []ClientAccount `toml:"account" json:"account"`
		Budgets  []Budget        `toml:"budget" json:"budget"`
		Levels   []ServiceLevel  `toml:"level" json:"level"`
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
		Address string `toml:"address" json:"address"` // IP address and port on which the router listens for its peers.
	}

	// Service is a group of backend servers that serve the same requests.
	Service struct {
		Name string `toml:"name" json:"name"`
		Kind Kind   `toml:"kind" json:"kind"`
		// URL path prefix of a plain service.
		Prefix string `toml:"prefix" json:"prefix,omitempty"`
		// Non-repeatable calls of a plain service, "METHOD /path".
		NonRepeatable []string `toml:"once" json:"once,omitempty"`
		// Minimum number of ready backend servers.
		MinReady int `toml:"ready" json:"ready,omitempty"`
		// Tokens debited for each call of a plain service.
		Cost Tokens `toml:"cost" json:"cost,omitempty"`
	}

	// Model is a model that the backend servers of a service serve.
	Model struct {
		Name    string `toml:"name" json:"name"`
		Service string `toml:"service" json:"service"`
		// Version in the weight store.
		Version  string   `toml:"version" json:"version"`
		Adapters []string `toml:"adapters" json:"adapters,omitempty"`
		// Maximum tokens added by the prompt template.
		TemplateOverhead Tokens `toml:"overhead" json:"overhead,omitempty"`
		// Maximum output tokens of one request.
		MaxOutputTokens Tokens `toml:"limit" json:"limit"`
		// Minimum number of ready backend servers.
		MinReady int `toml:"ready" json:"ready,omitempty"`
		// Whether running streams may migrate between servers.
		Migratable bool `toml:"move" json:"move,omitempty"`
	}

	// BackendServer is a model engine or a server of a plain service.
	BackendServer struct {
		Name    string `toml:"name" json:"name"`
		Service string `toml:"service" json:"service"`
		Place   string `toml:"place" json:"place"`
		// Base URL.
		Address string `toml:"address" json:"address"`
		// Speed class, for reports only; routing uses measured speed.
		Class string `toml:"class" json:"class,omitempty"`
		// Whether it rejects commands with an older fencing token.
		EnforcesFencing bool `toml:"fences" json:"fences,omitempty"`
		// Models that it is to load.
		Models []string `toml:"models" json:"models,omitempty"`
		Role   Role     `toml:"role" json:"role,omitempty"`
	}

	// ClientAccount is an account whose requests are authenticated by its API keys and debited to its budgets.
	ClientAccount struct {
		Name string `toml:"name" json:"name"`
		// API key digests: "sha256:" and 64 hexadecimal digits.
		Keys []string `toml:"keys" json:"keys"`
		// Weight in fair queueing; unset means 1.
		Weight int `toml:"weight" json:"weight,omitempty"`
		// Higher is more urgent within the fair share.
		Priority     int          `toml:"priority" json:"priority,omitempty"`
		WorseOutcome WorseOutcome `toml:"weigh" json:"weigh,omitempty"`
		// Overrides the priority of the route unless nil; 0 is the most urgent.
		Rank *int `toml:"-" json:"-"`
		// Regions to which calls of the account may be sent on entry hosts.
		Homes HomeRegions `toml:"-" json:"-"`
	}

	// Budget is an amount of tokens that an account has prepaid.
	Budget struct {
		Name    string  `toml:"name" json:"name"`
		Account string  `toml:"account" json:"account"`
		Tokens  Tokens  `toml:"tokens" json:"tokens"` // Without the top-ups.
		TopUps  []TopUp `toml:"topup" json:"topup,omitempty"`
	}

	// TopUp adds tokens to a budget. Its name, which is unique within the budget, keeps a repeated top-up from being
	// added twice.
	TopUp struct {
		Name   string `toml:"name" json:"name"`
		Tokens Tokens `toml:"tokens" json:"tokens"`
	}

	// ServiceLevel is a service level objective, against which the burn-rate report measures requests. Empty fields
	// match every request.
	ServiceLevel struct {
		Name    string `toml:"name" json:"name"`
		Service string `toml:"service" json:"service,omitempty"`
		Model   string `toml:"model" json:"model,omitempty"`
		Account string `toml:"account" json:"account,omitempty"`
		// Target fraction of good requests, such as 0.99.
		Goal float64 `toml:"goal" json:"goal"`
		// Maximum time to the first token, as a Go duration.
		MaxTimeToFirstToken string `toml:"first" json:"first,omitempty"`
		// Maximum time between two tokens, as a Go duration.
		MaxTokenGap string `toml:"gap" json:"gap,omitempty"`
	}

	// Rule states which services and models an account may use, in which places, and which budgets its requests are
	// debited to. The first rule that matches a request applies. An empty Account, Model or Service matches every
	// request. If no rule matches, the account may use everything, and a request is debited to the budget that the
	// caller names, or else to the account's first budget.
	Rule struct {
		Name    string `toml:"name" json:"name"`
		Account string `toml:"account" json:"account,omitempty"`
		Model   string `toml:"model" json:"model,omitempty"`
		Service string `toml:"service" json:"service,omitempty"`
		// Places of usable backend servers; empty allows all.
		Places []string `toml:"places" json:"places,omitempty"`
		// Every request is debited to all of these budgets.
		Budgets []string `toml:"budgets" json:"budgets,omitempty"`
		// Whether matching requests are denied.
		Deny bool `toml:"deny" json:"deny,omitempty"`
		// Maximum output tokens of one request; 0 sets no limit.
		MaxOutputTokens Tokens `toml:"most" json:"most,omitempty"`
	}
)
