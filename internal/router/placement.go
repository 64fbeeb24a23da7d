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
	// placersPerService is how many routers compete for the placement lease of a service. If all routers of a large
	// fleet did, they would read the lease row more often than the table allows.
	placersPerService = 3
	// placementInterval is the time between two checks of which reconcilers this router is to run.
	placementInterval = time.Second
	// weightsBytesPerSecond bounds the bandwidth of the weight store that one service may use.
	weightsBytesPerSecond = 1 << 30
)

type (
	// placements runs a reconciler for each service of model engines for which this router is one of placersPerService.
	placements struct {
		router  *Router
		running map[string]*runningReconciler // By service; used by Run only.

		mu     sync.Mutex
		status map[string]*board.Cell[placement.Status] // By service, kept when a reconciler stops.
	}

	// runningReconciler controls the goroutine of one reconciler.
	runningReconciler struct {
		stop  context.CancelFunc
		ended chan struct{} // Closed when the goroutine has ended.
	}

	// engineControl implements placement.EngineClient: it addresses engines by the declared names of backend
	// servers.
	engineControl struct {
		router *Router
	}
)

// Run starts and stops reconcilers as the declared services and the reachable routers change, until the context ends.
func (p *placements) Run(ctx context.Context) error {
	p.running = make(map[string]*runningReconciler)
	defer p.stopAll()
	delay.RepeatNow(ctx, placementInterval, func() { p.update(ctx) })
	return nil
}

// differences returns the servers that do not run what is declared, as far as this router holds the placement leases of
// their services.
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

// update starts and stops reconcilers so that those run for which rendezvous hashing of the service selects this
// router.
func (p *placements) update(ctx context.Context) {
	version := p.router.shared.Version.Load()
	live := p.router.shared.Live.Load()
	if version == nil || live == nil {
		return
	}
	declared := make(map[string]bool)
	for _, service := range version.Index.Inventory.Services {
		candidates := budget.HomesOf(*live, budget.Key{Account: "placement", Budget: service.Name}, placersPerService)
		declared[service.Name] = service.Kind == inventory.KindModel && slices.Contains(candidates, p.router.Settings.Peer)
	}
	for service, running := range p.running {
		if !declared[service] {
			running.stop()
			<-running.ended
			delete(p.running, service)
		}
	}
	for service, isDeclared := range declared {
		if isDeclared && p.running[service] == nil {
			p.start(ctx, service)
		}
	}
}

func (p *placements) start(ctx context.Context, service string) {
	ctx, cancel := context.WithCancel(ctx)
	running := &runningReconciler{stop: cancel, ended: make(chan struct{})}
	p.running[service] = running
	reconciler := &placement.Reconciler{
		Service:  service,
		Instance: p.router.instance,
		Table:    p.router.table,
		Engines:  &engineControl{router: p.router},
		Weights:  p.router.weights,
		Declared: func() placement.DeclaredState { return p.declared(service) },
		Rate:     weightsBytesPerSecond,
		Status:   p.statusCell(service),
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

func (p *placements) statusCell(service string) *board.Cell[placement.Status] {
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

func (p *placements) declared(service string) placement.DeclaredState {
	version := p.router.shared.Version.Load()
	if version == nil {
		return placement.DeclaredState{}
	}
	return placement.DeclaredStateOf(version.Index.Inventory, service)
}

// State asks an engine which models and adapters it runs. The lists are sorted.
func (e *engineControl) State(ctx context.Context, server string) (placement.EngineState, error) {
	address, err := e.address(server)
	if err != nil {
		return placement.EngineState{}, err
	}
	state, err := e.router.control.State(ctx, address)
	if err != nil {
		return placement.EngineState{}, trace.Wrap(err)
	}
	result := placement.EngineState{Ready: state.Ready, Fence: state.Fence}
	result.Role = inventory.Role(state.Role)
	for _, loaded := range state.Models {
		result.Models = append(result.Models, placement.ModelVersion{Name: loaded.Name, Version: loaded.Version})
		result.Adapters = append(result.Adapters, loaded.Adapters...)
	}
	slices.SortFunc(result.Models, func(a, b placement.ModelVersion) int {
		if a.Name != b.Name {
			return strings.Compare(a.Name, b.Name)
		}
		return strings.Compare(a.Version, b.Version)
	})
	slices.Sort(result.Adapters)
	result.Adapters = slices.Compact(result.Adapters)
	return result, nil
}

// Command asks an engine to run a layout. The error wraps placement.ErrFenced if the engine has seen a higher fencing
// number and placement.ErrRefused if it certainly did not act on the command.
func (e *engineControl) Command(ctx context.Context, server string, command placement.Command) error {
	address, err := e.address(server)
	if err != nil {
		return trace.Wrap(placement.ErrRefused, "%v", err)
	}
	declared := engine.State{Fence: command.Fence, Role: string(command.Layout.Role)}
	for _, model := range command.Layout.Models {
		declared.Models = append(declared.Models, engine.LoadedModel{
			Name:     model.Name,
			Version:  model.Version,
			Adapters: e.adapters(model.Name, command.Layout.Adapters),
		})
	}
	_, err = e.router.control.Command(ctx, address, declared)
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

// adapters returns those candidates that the model declares.
func (e *engineControl) adapters(model string, candidates []string) []string {
	version := e.router.shared.Version.Load()
	if version == nil {
		return nil
	}
	declared := version.Index.Model(model)
	if declared == nil {
		return nil
	}
	var list []string
	for _, adapter := range candidates {
		if slices.Contains(declared.Adapters, adapter) {
			list = append(list, adapter)
		}
	}
	return list
}

// address returns the base URL of a declared backend server.
func (e *engineControl) address(server string) (string, error) {
	version := e.router.shared.Version.Load()
	if version == nil {
		return "", trace.NotFound("no configuration in force")
	}
	backend := version.Index.Backend(server)
	if backend == nil {
		return "", trace.NotFound("backend server %q is not declared", server)
	}
	return backend.Address, nil
}

// loadedModels converts the models of a load report for the picker.
func loadedModels(models []engine.LoadedModel) []routing.LoadedModel {
	loaded := make([]routing.LoadedModel, 0, len(models))
	for _, model := range models {
		loaded = append(loaded, routing.LoadedModel{Model: model.Name, Version: model.Version, Adapters: model.Adapters})
	}
	return loaded
}
