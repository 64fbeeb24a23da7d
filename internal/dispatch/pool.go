package dispatch

import (
	"maps"
	"sync"
	"time"

	"citronslip/internal/routing"
	"citronslip/pkg/inventory"
)

const (
	// departureLife is how long a server's word that it is leaving is kept. Its process ends long before.
	departureLife = 10 * time.Minute
)

type (
	// Pool is the set of backend servers and chooses among them. Set Picker before first use.
	Pool struct {
		Picker *routing.Picker

		mu      sync.Mutex
		list    []Server
		servers map[string]*Server
		left    map[string]departure // By name.
	}

	// departure is what a server's process said of itself in an answer.
	departure struct {
		born int64
		when time.Time
	}
)

// Update replaces the set of servers.
func (p *Pool) Update(servers []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = servers
	p.publish()
}

// Leave takes a server's own word that it is leaving. Its process gets no new requests from then on, whatever its entry says.
func (p *Pool) Leave(server *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone(server) {
		return
	}
	now := time.Now()
	maps.DeleteFunc(p.left, func(_ string, d departure) bool { return now.Sub(d.when) > departureLife })
	if p.left == nil {
		p.left = make(map[string]departure)
	}
	p.left[server.Name] = departure{born: server.Born, when: now}
	p.publish()
}

// gone reports whether the server's process has said that it is leaving.
func (p *Pool) gone(server *Server) bool {
	d, ok := p.left[server.Name]
	return ok && d.born == server.Born
}

// Rest keeps requests from a server that wants none for a time.
func (p *Pool) Rest(server *Server, span time.Duration) {
	if span > 0 {
		p.Picker.Rest(server.Name, span)
	}
}

// publish hands the servers to the picker.
func (p *Pool) publish() {
	servers := p.list
	known := make(map[string]*Server, len(servers))
	list := make([]routing.Server, 0, len(servers))
	for i := range servers {
		s := &servers[i]
		known[s.Name] = s
		list = append(list, routing.Server{
			BackendServer: inventory.BackendServer{Name: s.Name, Service: s.Service, Place: s.Place, Address: s.Address},
			Leaving:       s.Leaving || p.gone(s),
		})
	}
	p.servers = known
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
