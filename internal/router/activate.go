package router

import (
	"net/url"

	"citronslip/internal/budget"
	"citronslip/internal/caller"
	"citronslip/internal/hosts"
	"citronslip/internal/routing"
	"citronslip/pkg/inventory"
)

// activate makes a configuration version the active one on this router. Version is stored last, since the router is
// ready from then on.
func (r *Router) activate(number int, declared *inventory.Inventory) {
	index := inventory.NewIndex(declared)
	r.shared.Declared.Store(budget.DeclarationsFrom(number, declared))
	r.updateServers(index)
	r.burn.SetInventory(declared)
	r.shared.Version.Store(&caller.ActiveConfig{Number: number, Index: index})
}

// updateServers passes the declared backend servers to the picker, with the models and the software version that
// they report and their state in the host list.
func (r *Router) updateServers(index *inventory.Index) {
	observed := make(map[string]hosts.Host)
	if list := r.shared.Hosts.Load(); list != nil {
		for _, host := range *list {
			observed[host.Address] = host
		}
	}
	servers := make([]routing.Server, 0, len(index.Inventory.Backends))
	for _, backend := range index.Inventory.Backends {
		server := routing.Server{BackendServer: backend, Holds: declaredModels(index, backend)}
		// Until a server has reported its models, it is assumed to hold the declared ones.
		if loaded, ok := r.reportedModels.get(backend.Name); ok {
			server.Holds = loaded
		}
		server.Software = r.front.Starts.Latest(backend.Name).Software
		if host, ok := observed[hostPort(backend.Address)]; ok {
			server.Leaving = host.State == hosts.StateLeaving
			server.Observed = host.Time
		}
		servers = append(servers, server)
	}
	r.picker.Update(servers)
	r.updatePaths(index)
}

// declaredModels returns the models that the inventory declares for a backend server, with version and adapters.
func declaredModels(index *inventory.Index, backend inventory.BackendServer) []routing.LoadedModel {
	var models []routing.LoadedModel
	for _, name := range backend.Models {
		model := index.Model(name)
		if model == nil {
			continue
		}
		models = append(models, routing.LoadedModel{Model: name, Version: model.Version, Adapters: model.Adapters})
	}
	return models
}

// hostPort returns the IP address and port of a base URL, or the argument if it cannot be parsed.
func hostPort(base string) string {
	parsed, err := url.Parse(base)
	if err != nil {
		return base
	}
	return parsed.Host
}
