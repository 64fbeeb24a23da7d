package router

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"citronslip/internal/board"
	"citronslip/internal/budget"
	"citronslip/internal/delay"
	"citronslip/internal/engine"
	"citronslip/internal/placement"
	"citronslip/internal/routing"
	"citronslip/pkg/inventory"
)

const (
	// placers is how many routers try for the placement lease of a service. All of a large fleet would read the lease
	// row more often than the table allows.
	placers         = 3
	placersInterval = time.Second
	// weightsRate is the part of the weight store's rate that one service may use, in bytes a second.
	weightsRate = 1 << 30
)

type (
	// placements runs a reconciler for each service of model engines for which this router is a placer.
	placements struct {
		router  *Router
		running map[string]*placer

		mu     sync.Mutex
		status map[string]*board.Cell[placement.Status]
	}

	// placer is a running reconciler.
	placer struct {
		stop  context.CancelFunc
		ended chan struct{}
	}

	// placementEngine speaks to engines by their names.
	placementEngine struct {
		router *Router
	}
)

// Run starts and stops reconcilers as services and reachable routers change.
func (p *placements) Run(ctx context.Context) error {
	p.running = make(map[string]*placer)
	defer p.stopAll()
	delay.Every(ctx, placersInterval, func() { p.adjust(ctx) })
	return nil
}

// differences returns what the reconcilers of this router know of servers that do not run what is declared.
func (p *placements) differences() []placement.Difference {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []placement.Difference
	for _, cell := range p.status {
		if status := cell.Load(); status != nil && status.Leader {
			list = append(list, status.Differences...)
		}
	}
	return list
}

func (p *placements) adjust(ctx context.Context) {
	version := p.router.board.Version.Load()
	live := p.router.board.Live.Load()
	if version == nil || live == nil {
		return
	}
	wanted := make(map[string]bool)
	for _, service := range version.Index.Inventory.Services {
		homes := budget.HomesOf(*live, budget.Key{Account: "placement", Budget: service.Name}, placers)
		wanted[service.Name] = service.Kind == inventory.KindModel && slices.Contains(homes, p.router.Settings.Peer)
	}
	for service, running := range p.running {
		if !wanted[service] {
			running.stop()
			<-running.ended
			delete(p.running, service)
		}
	}
	for service, want := range wanted {
		if want && p.running[service] == nil {
			p.start(ctx, service)
		}
	}
}

func (p *placements) start(ctx context.Context, service string) {
	ctx, cancel := context.WithCancel(ctx)
	running := &placer{stop: cancel, ended: make(chan struct{})}
	p.running[service] = running
	reconciler := &placement.Reconciler{
		Service:  service,
		Instance: p.router.instance,
		Table:    p.router.table,
		Engines:  &placementEngine{router: p.router},
		Weights:  p.router.weights,
		Declared: func() placement.Declared { return p.declared(service) },
		Rate:     weightsRate,
		Status:   p.cell(service),
		Metrics:  p.router.scope.SubScope("placement"),
		Logger:   p.router.Logger,
	}
	go func() {
		defer close(running.ended)
		// The reconciler logs its failures and goes on; it returns only when it is stopped.
		_ = reconciler.Run(ctx)
	}()
}

func (p *placements) stopAll() {
	for _, running := range p.running {
		running.stop()
		<-running.ended
	}
}

func (p *placements) cell(service string) *board.Cell[placement.Status] {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.status == nil {
		p.status = make(map[string]*board.Cell[placement.Status])
	}
	if p.status[service] == nil {
		p.status[service] = &board.Cell[placement.Status]{}
	}
	return p.status[service]
}

func (p *placements) declared(service string) placement.Declared {
	version := p.router.board.Version.Load()
	if version == nil {
		return placement.Declared{}
	}
	return placement.Declare(version.Index.Inventory, service)
}

// State asks an engine what it runs.
func (e *placementEngine) State(ctx context.Context, server string) (placement.State, error) {
	address, err := e.address(server)
	if err != nil {
		return placement.State{}, err
	}
	state, err := e.router.engines.State(ctx, address)
	if err != nil {
		return placement.State{}, trace.Wrap(err)
	}
	result := placement.State{Ready: state.Ready, Fence: state.Fence}
	result.Role = inventory.Role(state.Role)
	for _, loaded := range state.Models {
		result.Models = append(result.Models, placement.Held{Name: loaded.Name, Version: loaded.Version})
		result.Adapters = append(result.Adapters, loaded.Adapters...)
	}
	slices.SortFunc(result.Models, func(a, b placement.Held) int {
		if a.Name != b.Name {
			return strings.Compare(a.Name, b.Name)
		}
		return strings.Compare(a.Version, b.Version)
	})
	slices.Sort(result.Adapters)
	result.Adapters = slices.Compact(result.Adapters)
	return result, nil
}

// Command asks an engine to run a layout.
func (e *placementEngine) Command(ctx context.Context, server string, command placement.Command) error {
	address, err := e.address(server)
	if err != nil {
		return trace.Wrap(placement.ErrRefused, "%v", err)
	}
	wanted := engine.State{Fence: command.Fence, Role: string(command.Layout.Role)}
	for _, held := range command.Layout.Models {
		wanted.Models = append(wanted.Models, engine.Loaded{
			Name:     held.Name,
			Version:  held.Version,
			Adapters: e.adapters(held.Name, command.Layout.Adapters),
		})
	}
	_, err = e.router.engines.Command(ctx, address, wanted)
	var refused *engine.RefusedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused) && refused.Status == http.StatusConflict:
		return trace.Wrap(placement.ErrFenced)
	case errors.As(err, &refused), errors.Is(err, engine.ErrNotSent):
		return trace.Wrap(placement.ErrRefused, "%v", err)
	default:
		return trace.Wrap(err)
	}
}

// adapters returns those of the adapters that the model declares.
func (e *placementEngine) adapters(model string, all []string) []string {
	version := e.router.board.Version.Load()
	if version == nil {
		return nil
	}
	declared := version.Index.Model(model)
	if declared == nil {
		return nil
	}
	var list []string
	for _, adapter := range all {
		if slices.Contains(declared.Adapters, adapter) {
			list = append(list, adapter)
		}
	}
	return list
}

func (e *placementEngine) address(server string) (string, error) {
	version := e.router.board.Version.Load()
	if version == nil {
		return "", trace.NotFound("no configuration in force")
	}
	backend := version.Index.Backend(server)
	if backend == nil {
		return "", trace.NotFound("backend server %q is not declared", server)
	}
	return backend.Address, nil
}

// heldModels turns the models of a load report into what the picker matches.
func heldModels(models []engine.Loaded) []routing.Held {
	held := make([]routing.Held, 0, len(models))
	for _, loaded := range models {
		held = append(held, routing.Held{Model: loaded.Name, Version: loaded.Version, Adapters: loaded.Adapters})
	}
	return held
}
