// Package placement brings the models, adapters, versions and roles that engines run to what the inventory declares.
package placement

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/board"
	"citronslip/internal/table"
	"citronslip/internal/weights"
	"citronslip/pkg/inventory"
)

const (
	// defaultTerm is how long a lease lasts without renewal.
	defaultTerm = 15 * time.Second
	// defaultDelay is the longest time from a holder's check of its lease until the engine has acted on the command.
	defaultDelay = 10 * time.Second
	// defaultInterval is the time between steps.
	defaultInterval = 2 * time.Second
	// defaultTimeout bounds one call to the table or to an engine.
	defaultTimeout = 2 * time.Second
	// defaultStuck is longer than engines take to load a model.
	defaultStuck = 5 * time.Minute
	// reads bounds the engines that are read at the same time.
	reads = 16
	// attempts bounds how often one lease write is repeated to resolve a lost answer.
	attempts = 3
)

var (
	// ErrFenced is what an Engine returns when it refuses a command because it has seen a higher fencing number.
	ErrFenced = errors.New("placement: fencing number is too old")
	// ErrRefused is what an Engine returns when it certainly did not act on a command.
	ErrRefused = errors.New("placement: engine refused the command")
)

type (
	// Held is one version of a model or adapter.
	Held struct {
		Name    string `json:"name"`
		Version string `json:"version,omitempty"`
	}

	// Layout is what a server holds and its role. Models and Adapters are sorted.
	Layout struct {
		Role     inventory.Role `json:"role,omitempty"`
		Models   []Held         `json:"models,omitempty"`
		Adapters []string       `json:"adapters,omitempty"`
	}

	// State is what an engine reports.
	State struct {
		Layout
		Ready bool   `json:"ready"` // Whether it serves all that it holds. An engine that loads is not ready.
		Fence uint64 `json:"fence"` // Highest fencing number seen, zero for an engine that ignores them.
	}

	// Command asks a server to hold a layout, whatever it holds now. A repeated command changes nothing.
	Command struct {
		Fence  uint64 `json:"fence"`
		Layout Layout `json:"layout"`
	}

	// Engine speaks to the engines. Command returns ErrFenced or ErrRefused if the engine certainly did not act; any
	// other error means that it may act within the delay.
	Engine interface {
		State(ctx context.Context, server string) (State, error)
		Command(ctx context.Context, server string, command Command) error
	}

	// Server is one declared server.
	Server struct {
		Name   string
		Fences bool // Whether the engine refuses old fencing numbers.
		Layout Layout
	}

	// Declared is what the inventory declares for one service.
	Declared struct {
		Servers []Server
		Ready   map[string]int // Least number of ready servers by model.
	}

	// Reconciler keeps one service in its declared state while it holds the service's lease. Set the exported fields
	// before the first use.
	Reconciler struct {
		Service  string
		Instance string
		Table    table.Table
		Engines  Engine
		Weights  weights.Store
		Declared func() Declared
		Rate     int64         // Bytes a second that the service may fetch from the weight store; zero means no limit.
		Term     time.Duration // Lease without renewal; zero means 15 s.
		Delay    time.Duration // Longest time from the check of the lease to the engine's action; zero means 10 s.
		Interval time.Duration // Time between steps; zero means 2 s.
		Timeout  time.Duration // Limit of one call; zero means 2 s.
		Stuck    time.Duration // Time after which a server that is not ready may change regardless; zero means 5 minutes.
		// Status, when set, gets the state after each step.
		Status  *board.Cell[Status]
		Now     func() time.Time // Monotonic clock.
		Metrics tally.Scope
		Logger  *zerolog.Logger

		mu      sync.Mutex
		lease   lease
		sent    map[string]flight // Commands whose effect is not confirmed, by server.
		free    time.Time         // Time at which the weight store's share is free.
		sizes   map[Held]int64
		idle    map[string]time.Time // Since when a server has not been ready, by server.
		highest uint64               // Highest fencing number that an engine has reported.
		taken   bool                 // Whether the lease was taken and the engines not read since.
		reached bool
	}

	// flight is a command on its way.
	flight struct {
		layout Layout
		taken  bool      // Whether the engine confirmed the command.
		until  time.Time // Time after which the engine does not act on the command any more.
	}
)

// Declare returns what an inventory declares for a service.
func Declare(inv *inventory.Inventory, service string) Declared {
	result := Declared{Ready: make(map[string]int)}
	models := make(map[string]inventory.Model)
	for _, model := range inv.Models {
		if model.Service == service {
			models[model.Name] = model
			result.Ready[model.Name] = model.Ready
		}
	}
	for _, backend := range inv.Backends {
		if backend.Service == service {
			result.Servers = append(result.Servers, declareServer(backend, models))
		}
	}
	return result
}

func declareServer(backend inventory.BackendServer, models map[string]inventory.Model) Server {
	layout := Layout{Role: backend.Role}
	for _, name := range backend.Models {
		model, ok := models[name]
		if !ok {
			continue
		}
		layout.Models = append(layout.Models, Held{Name: name, Version: model.Version})
		layout.Adapters = append(layout.Adapters, model.Adapters...)
	}
	return Server{Name: backend.Name, Fences: backend.Fences, Layout: layout.sorted()}
}

// sorted returns the layout in the order in which layouts are compared. An unset role is to serve.
func (l Layout) sorted() Layout {
	if l.Role == "" {
		l.Role = inventory.RoleServe
	}
	l.Models = slices.Clone(l.Models)
	slices.SortFunc(l.Models, func(a, b Held) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Version, b.Version))
	})
	l.Models = slices.Compact(l.Models)
	l.Adapters = slices.Clone(l.Adapters)
	slices.Sort(l.Adapters)
	l.Adapters = slices.Compact(l.Adapters)
	return l
}

// equal reports whether two sorted layouts are the same.
func (l Layout) equal(other Layout) bool {
	return l.Role == other.Role && slices.Equal(l.Models, other.Models) && slices.Equal(l.Adapters, other.Adapters)
}

func (l Layout) has(model string) bool {
	return slices.ContainsFunc(l.Models, func(h Held) bool { return h.Name == model })
}

func (r *Reconciler) now() time.Time {
	if r.Now == nil {
		return time.Now()
	}
	return r.Now()
}

func positive(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}
