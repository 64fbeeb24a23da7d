// Package placement reconciles the models, adapters, versions and roles that inference engines run with those that the
// inventory declares.
//
// For each service one router at a time, the holder of a lease in the table service, compares the engines with the
// inventory and sends commands to those that differ. Each change of the holder raises the fencing number that commands
// carry, so that an engine can refuse a delayed command of a former holder.
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
	// defaultLeaseTTL is how long a lease is valid without renewal.
	defaultLeaseTTL = 15 * time.Second
	// defaultCommandDelay is the longest time from the holder's check of its lease to the engine's action on the
	// command that was sent after that check.
	defaultCommandDelay = 10 * time.Second
	// defaultStepInterval is the time between steps.
	defaultStepInterval = 2 * time.Second
	// defaultCallTimeout bounds one call to the table service, the weight store or an engine.
	defaultCallTimeout = 2 * time.Second
	// defaultStuckTimeout is how long a server may be not ready before it counts as stuck. It is longer than engines
	// take to load a model.
	defaultStuckTimeout = 5 * time.Minute
	// maxConcurrentReads limits how many engines are asked for their state at the same time.
	maxConcurrentReads = 16
	// maxWriteAttempts limits the attempts at one lease write, which is repeated when the answer of the table is lost.
	maxWriteAttempts = 3
)

var (
	// ErrFenced is returned when an engine refuses a command because it has seen a higher fencing number.
	ErrFenced = errors.New("placement: fencing number is too old")
	// ErrRefused is returned when an engine certainly did not act on a command.
	ErrRefused = errors.New("placement: engine refused the command")
)

type (
	// ModelVersion names a version of a model, or an adapter, which has no version.
	ModelVersion struct {
		Name    string `json:"name"`
		Version string `json:"version,omitempty"`
	}

	// Layout is the role of a backend server and the models and adapters it has loaded. Both lists are sorted.
	Layout struct {
		Role     inventory.Role `json:"role,omitempty"`
		Models   []ModelVersion `json:"models,omitempty"`
		Adapters []string       `json:"adapters,omitempty"`
	}

	// EngineState is what an engine reports about itself.
	EngineState struct {
		Layout
		Ready bool   `json:"ready"` // Whether it serves all of its layout; false while it is still loading.
		Fence uint64 `json:"fence"` // Highest fencing number seen; zero for an engine that ignores fencing numbers.
	}

	// Command asks a backend server to switch to a layout, whatever it has loaded now. Commands are idempotent.
	Command struct {
		Fence  uint64 `json:"fence"`
		Layout Layout `json:"layout"`
	}

	// EngineClient is a client of the engines, which it addresses by the name of their backend server. Command returns
	// ErrFenced or ErrRefused if the engine certainly did not act. After any other error the engine may still act
	// within Reconciler.Delay.
	EngineClient interface {
		State(ctx context.Context, server string) (EngineState, error)
		Command(ctx context.Context, server string, command Command) error
	}

	// Server is a backend server as the inventory declares it.
	Server struct {
		Name   string
		Fences bool // Whether the engine refuses commands with an old fencing number.
		Layout Layout
	}

	// DeclaredState is what the inventory declares for one service.
	DeclaredState struct {
		Servers []Server
		Ready   map[string]int // Minimum number of ready servers by model.
	}

	// Reconciler brings the backend servers of one service to their declared layouts while it holds the lease of that
	// service. Set the exported fields before calling Run or Step.
	Reconciler struct {
		Service  string
		Instance string // Identifies this router process as the holder of the lease.
		Table    table.Table
		Engines  EngineClient
		Weights  weights.Store
		Declared func() DeclaredState
		Rate     int64         // Fetch rate of the whole service at the weight store, in bytes/s; zero means no limit.
		Term     time.Duration // Validity of the lease without renewal; zero means 15 s.
		Delay    time.Duration // Longest time from the check of the lease to the engine's action; zero means 10 s.
		Interval time.Duration // Time between steps; zero means 2 s.
		Timeout  time.Duration // Timeout of one call to the table, the weight store or an engine; zero means 2 s.
		Stuck    time.Duration // Time without readiness after which a server counts as stuck; zero means 5 minutes.
		// Status, if set, receives the status after each step.
		Status  *board.Cell[Status]
		Now     func() time.Time // Monotonic clock; nil means time.Now.
		Metrics tally.Scope
		Logger  *zerolog.Logger

		mu            sync.Mutex
		lease         lease
		pending       map[string]pendingCommand // Commands whose effect is not confirmed yet, by server.
		nextFetch     time.Time                 // Time from which the service may fetch weights again within Rate.
		weightSizes   map[ModelVersion]int64    // In bytes.
		notReadySince map[string]time.Time      // Time since which a server has not been ready, by server.
		highestFence  uint64                    // Highest fencing number that an engine has reported.
		newHolder     bool                      // Whether no engine has been read since this router took the lease.
		converged     bool                      // Whether all servers matched their declared layouts in the last step.
	}

	// pendingCommand is a command that an engine may still act on.
	pendingCommand struct {
		layout    Layout
		confirmed bool      // Whether the engine acknowledged the command.
		deadline  time.Time // Time after which the engine no longer acts on the command.
	}
)

// DeclaredStateOf returns the servers that an inventory declares for a service and its minimum numbers of ready
// servers.
func DeclaredStateOf(inv *inventory.Inventory, service string) DeclaredState {
	declared := DeclaredState{Ready: make(map[string]int)}
	models := make(map[string]inventory.Model)
	for _, model := range inv.Models {
		if model.Service == service {
			models[model.Name] = model
			declared.Ready[model.Name] = model.MinReady
		}
	}
	for _, backend := range inv.Backends {
		if backend.Service == service {
			declared.Servers = append(declared.Servers, declaredServer(backend, models))
		}
	}
	return declared
}

// declaredServer returns the layout that a backend server is to have. Models of other services are left out.
func declaredServer(backend inventory.BackendServer, models map[string]inventory.Model) Server {
	layout := Layout{Role: backend.Role}
	for _, name := range backend.Models {
		model, ok := models[name]
		if !ok {
			continue
		}
		layout.Models = append(layout.Models, ModelVersion{Name: name, Version: model.Version})
		layout.Adapters = append(layout.Adapters, model.Adapters...)
	}
	return Server{Name: backend.Name, Fences: backend.EnforcesFencing, Layout: layout.normalized()}
}

// normalized returns a copy of the layout with both lists sorted and without duplicates, so that layouts can be
// compared. An empty role becomes RoleServe.
func (l Layout) normalized() Layout {
	if l.Role == "" {
		l.Role = inventory.RoleServe
	}
	l.Models = slices.Clone(l.Models)
	slices.SortFunc(l.Models, func(a, b ModelVersion) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Version, b.Version))
	})
	l.Models = slices.Compact(l.Models)
	l.Adapters = slices.Clone(l.Adapters)
	slices.Sort(l.Adapters)
	l.Adapters = slices.Compact(l.Adapters)
	return l
}

// equal reports whether two normalized layouts are the same.
func (l Layout) equal(other Layout) bool {
	return l.Role == other.Role && slices.Equal(l.Models, other.Models) && slices.Equal(l.Adapters, other.Adapters)
}

func (l Layout) hasModel(model string) bool {
	return slices.ContainsFunc(l.Models, func(loaded ModelVersion) bool { return loaded.Name == model })
}

func (r *Reconciler) now() time.Time {
	if r.Now == nil {
		return time.Now()
	}
	return r.Now()
}

// positiveOr returns the value if it is positive, and the fallback otherwise.
func positiveOr(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}
