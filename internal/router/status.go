package router

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"citronslip/internal/config"
	"citronslip/internal/routing"
	"citronslip/internal/wire"
)

// status returns the state of the fleet as this router sees it, compared with the declared configuration.
func (r *Router) status(ctx context.Context) (*wire.FleetStatus, error) {
	status := &wire.FleetStatus{
		Router:      r.Settings.Peer,
		Ready:       r.Ready() && !r.isStopping(),
		Table:       r.tableState(),
		Routers:     r.routerStatuses(ctx),
		Backends:    r.backendStatuses(),
		Budgets:     r.budgetStatuses(),
		Differences: r.differences(),
	}
	if adopted := r.shared.Adopted.Load(); adopted != nil {
		status.Version = adopted.Number
		status.Digest = adopted.Digest
	}
	return status, nil
}

func (r *Router) isStopping() bool {
	stopping := r.shared.Stopping.Load()
	return stopping != nil && *stopping
}

// tableState describes whether the table has confirmed a write recently.
func (r *Router) tableState() string {
	if r.ledger.Autonomous() {
		return "no confirmation, spending from grants"
	}
	return "confirmed"
}

// routerStatuses asks all known routers for their configuration version.
func (r *Router) routerStatuses(ctx context.Context) []wire.RouterStatus {
	list := []wire.RouterStatus{}
	members := r.shared.Members.Load()
	if members == nil {
		return list
	}
	ctx, cancel := context.WithTimeout(ctx, fleetCallTimeout)
	defer cancel()
	for _, known := range config.QueryVersions(ctx, r.peerClient, members.List) {
		entry := wire.RouterStatus{
			Address: known.Member.Address,
			Host:    known.Member.Host,
			Place:   known.Member.Place,
			State:   string(known.Member.State),
			Version: known.State.Number,
		}
		list = append(list, entry)
	}
	return list
}

// backendStatuses returns the backend servers with the circuit breaker, load and models that this router sees, by name.
func (r *Router) backendStatuses() []wire.BackendStatus {
	list := []wire.BackendStatus{}
	for _, state := range r.picker.States() {
		entry := wire.BackendStatus{
			Name:    state.Server.Name,
			Service: state.Server.Service,
			Place:   state.Server.Place,
			State:   "live",
			Circuit: state.Circuit,
			Models:  []string{},
			Queue:   state.Load.Waiting,
			Running: state.Load.Running,
		}
		if state.Leaving {
			entry.State = "leaving"
		}
		for _, loaded := range state.Holds {
			entry.Models = append(entry.Models, loaded.Model+"@"+loaded.Version)
		}
		list = append(list, entry)
	}
	slices.SortFunc(list, func(a, b wire.BackendStatus) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// budgetStatuses returns the latest readings of the budgets in use at this router.
func (r *Router) budgetStatuses() []wire.BudgetStatus {
	list := []wire.BudgetStatus{}
	for _, reading := range r.budgetReadings.list() {
		list = append(list, wire.BudgetStatus{
			Account: reading.Account,
			Budget:  reading.Budget,
			Total:   int(reading.Total),
			Granted: int(reading.granted),
			Spent:   int(reading.Spent),
		})
	}
	return list
}

// differences compares the declared models of each backend server with those that it reports.
func (r *Router) differences() []wire.Difference {
	list := []wire.Difference{}
	version := r.shared.Version.Load()
	if version == nil {
		return list
	}
	for _, state := range r.picker.States() {
		declared := modelNames(declaredModels(version.Index, state.Server.BackendServer))
		running := modelNames(state.Holds)
		if declared == running {
			continue
		}
		list = append(list, wire.Difference{
			Name:     state.Server.Name,
			Declared: declared,
			Running:  running,
			Reason:   r.differenceReason(state),
		})
	}
	return list
}

// differenceReason says why a backend server does not run what is declared, as far as this router knows.
func (r *Router) differenceReason(state routing.ServerState) string {
	for _, difference := range r.placements.differences() {
		if difference.Server == state.Server.Name {
			return difference.Reason
		}
	}
	if state.Circuit != "closed" {
		return fmt.Sprintf("the server does not answer; its circuit breaker is %s", state.Circuit)
	}
	return "the change is under way; the router that holds the placement lease knows more"
}

func modelNames(models []routing.LoadedModel) string {
	names := make([]string, 0, len(models))
	for _, loaded := range models {
		names = append(names, loaded.Model+"@"+loaded.Version)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
