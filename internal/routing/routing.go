// Package routing chooses a backend server for each attempt, learns from the results, and limits retries.
package routing

import (
	"errors"
	"time"

	"citronslip/pkg/inventory"
)

var (
	// ErrNoServer says that no backend server in the allowed places holds what the request needs.
	ErrNoServer = errors.New("routing: no backend server holds the model, adapter and version in the allowed places")
	// ErrUnavailable says that servers hold what the request needs, but none of them takes new work now.
	ErrUnavailable = errors.New("routing: no backend server takes new work")
)

type (
	// Server is one backend server as the picker knows it.
	Server struct {
		inventory.BackendServer

		// Holds is what the server has loaded. It stays empty for plain services.
		Holds []Held
		// Leaving is the state in the host list.
		Leaving bool
		// Observed is the time of the host list's observation. A server that showed a leaving header comes back only
		// with a later observation.
		Observed time.Time
	}

	// Held is a model version that a server has loaded, with its adapters.
	Held struct {
		Model    string
		Version  string
		Adapters []string
	}

	// Load is a load report of a backend server.
	Load struct {
		Time    time.Time // Time of the observation by the router's clock. Zero means the time of receipt.
		Running int       // Requests in the batch.
		Waiting int       // Requests that wait for the batch.
		Queued  int64     // Prompt tokens not yet processed.
		Urgent  int64     // Part of Queued with a priority above zero.
	}

	// Request is what the picker needs to know of an attempt.
	Request struct {
		Service    string
		Model      string // Empty for plain services.
		Version    string // Empty accepts every version.
		Adapter    string
		Places     []string // Allowed places. Empty allows all.
		Priority   int
		Prompt     int64    // Prompt tokens.
		Prefix     []uint64 // Cumulative hashes of the prompt's blocks of Picker.Block tokens.
		Home       uint64   // Selects the server that holds the prefix if no hint says so; the first hash if zero.
		Tried      []string // Servers that were already tried.
		Exclude    []string // Servers that must not be used.
		Prefer     string   // Server that is used whatever its score if it takes new work.
		Only       string   // If set, no other server is used.
		Idempotent bool     // Only idempotent requests try a half-open circuit.

		// Explain, if set, is filled with the candidates of the decision.
		Explain *Explanation
	}

	// Explanation lists what a decision weighed.
	Explanation struct {
		Candidates []Candidate `json:"candidates"`
	}

	// Candidate is one server in an explanation.
	Candidate struct {
		Server  string        `json:"server"`
		Score   float64       `json:"score"`  // Estimated cost in seconds; the lowest wins. Zero if the server is out.
		First   time.Duration `json:"first"`  // Estimated time to the first token.
		Gap     time.Duration `json:"gap"`    // Estimated time between tokens.
		Cached  int64         `json:"cached"` // Prompt tokens expected in the prefix cache.
		Running int           `json:"running"`
		Out     string        `json:"out,omitempty"` // Why the server is no candidate.
	}
)
