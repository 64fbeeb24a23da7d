// Package routing picks a backend server for each attempt, learns the servers' speeds from the outcomes, and limits
// retries.
package routing

import (
	"errors"
	"time"

	"citronslip/pkg/inventory"
)

var (
	// ErrNoServer is returned when no backend server in the allowed places has loaded what the request needs.
	ErrNoServer = errors.New("routing: no backend server holds the model, adapter and version in the allowed places")
	// ErrUnavailable is returned when servers have loaded what the request needs, but none of them accepts new work
	// now.
	ErrUnavailable = errors.New("routing: no backend server takes new work")
)

type (
	// Server describes one backend server to the picker.
	Server struct {
		inventory.BackendServer

		// Holds lists the model versions that the server has loaded. It is empty for servers of plain HTTP services.
		Holds []LoadedModel
		// Born is the start of the server's process in Unix milliseconds, zero if unknown. What was learned of a process
		// does not apply to the next one.
		Born int64
		// Software is the software version of the server's process; empty if unknown.
		Software string
		// Leaving reports whether the host list marks the server as leaving.
		Leaving bool
		// Evacuated reports whether the data centre of the server is evacuated, so that it gets no new requests.
		Evacuated bool
		// Observed is the time at which the host list observed the server. A server that announced its leaving in a
		// response header gets new work again only after a later observation that shows it live.
		Observed time.Time
	}

	// LoadedModel is a model version that a server has loaded, and the adapters loaded for it.
	LoadedModel struct {
		Model    string
		Version  string
		Adapters []string
	}

	// Load is a load report of a backend server.
	Load struct {
		Time    time.Time // Time of the measurement by the router's clock; the time of receipt if zero.
		Running int       // Requests in the running batch.
		Waiting int       // Requests waiting to join the batch.
		Queued  int64     // Prompt tokens not yet processed.
		Urgent  int64     // Part of Queued that belongs to requests with a priority above zero.
		// WorkTime is the present time of a piece of work relative to the usual one, 1.0 if as usual. It is above that while
		// neighbours on its machine slow the server down, and zero if the server does not report it.
		WorkTime float64
		Slots    int // Requests that the server runs at once; zero if it does not report them.
	}

	// Request describes an attempt to the picker.
	Request struct {
		Service  string
		Model    string // Empty for plain services.
		Version  string // Empty accepts any version.
		Adapter  string
		Places   []string // Allowed data centres. Empty allows all.
		Priority int
		Prompt   int64    // Prompt tokens.
		Prefix   []uint64 // Cumulative hashes of the prompt's blocks, each of Picker.Block tokens.
		Home     uint64   // Hash that selects the home server if the prefix is not indexed; Prefix[0] if zero.
		Tried    []string // Servers that earlier attempts of the request used.
		Exclude  []string // Servers that must not be used.
		Prefer   string   // Server that is picked whatever its score, provided that it accepts new work.
		Only     string   // If set, the only server that may be picked.
		Software string   // If set, only servers of this software version may be picked.
		// TransferTime is the time that the transfer of one cached prompt token between two servers takes; zero if the servers
		// cannot transfer any.
		TransferTime time.Duration
		Idempotent   bool // Only idempotent requests may probe a server whose circuit is not closed.
		// Spare, if not zero, allows only servers with closed circuits whose load report is no older and shows free slots.
		Spare time.Duration

		// Explain, if set, receives the candidates of the decision.
		Explain *Explanation
	}

	// Explanation lists the candidates of one decision.
	Explanation struct {
		Candidates []Candidate `json:"candidates"`
	}

	// Candidate is one server that a decision considered.
	Candidate struct {
		Server           string        `json:"server"`
		Score            float64       `json:"score"`  // Estimated cost in seconds; the lowest wins. Zero if excluded.
		TimeToFirstToken time.Duration `json:"first"`  // Estimated time to the first token.
		TokenGap         time.Duration `json:"gap"`    // Estimated time between tokens.
		CachedTokens     int64         `json:"cached"` // Prompt tokens expected in the prefix cache.
		Running          int           `json:"running"`
		ExclusionReason  string        `json:"out,omitempty"` // Why the server was excluded; empty if it was scored.
	}
)
