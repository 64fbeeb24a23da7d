package dispatch

import (
	"sync"

	"citronslip/internal/routing"
	"citronslip/pkg/inventory"
)

type (
	// Pool is the set of backend servers and chooses among them. Set Picker before first use.
	Pool struct {
		Picker *routing.Picker

		mu      sync.Mutex
		servers map[string]*Server
	}
)

// Update replaces the set of servers.
func (p *Pool) Update(servers []Server) {
	known := make(map[string]*Server, len(servers))
	list := make([]routing.Server, 0, len(servers))
	for i := range servers {
		s := &servers[i]
		known[s.Name] = s
		list = append(list, routing.Server{
			BackendServer: inventory.BackendServer{Name: s.Name, Service: s.Service, Place: s.Place, Address: s.Address},
			Leaving:       s.Leaving,
		})
	}
	p.mu.Lock()
	p.servers = known
	p.mu.Unlock()
	p.Picker.Update(list)
}

// Pick chooses a server.
func (p *Pool) Pick(r *routing.Request) (*Server, *routing.Choice, error) {
	choice, err := p.Picker.Pick(r)
	if err != nil {
		return nil, nil, err
	}
	p.mu.Lock()
	server := p.servers[choice.Server.Name]
	p.mu.Unlock()
	if server == nil {
		choice.Done(routing.Cancelled{})
		return nil, nil, routing.ErrUnavailable
	}
	return server, choice, nil
}

// Report takes a load report that came with an answer.
func (p *Pool) Report(server *Server, load *routing.Load) {
	if load != nil {
		p.Picker.Report(server.Name, *load)
	}
}
