package dispatch

import (
	"maps"
	"slices"
	"sync"
	"time"

	"citronslip/internal/board"
	"citronslip/internal/evacuation"
	"citronslip/internal/ratelimit"
	"citronslip/internal/routing"
	"citronslip/pkg/inventory"
)

const (
	// departureTTL is how long the announcement of a server that it is leaving is remembered. The process ends long
	// before.
	departureTTL = 10 * time.Minute
	// silenceTTL is how long streams do not move to a server that one of them has left because of its silence.
	silenceTTL = 2 * time.Second
)

type (
	// Pool is the set of backend servers and selects among them. Set Picker before first use.
	Pool struct {
		Picker  *routing.Picker
		Observe func(servers []Server) // Called with each new set of servers; optional.
		// Evacuations holds the evacuated data centres, whose servers get no new requests. It is empty until they are known, and
		// nil if none are ever evacuated. Refresh must be called after a change.
		Evacuations *board.Cell[evacuation.Places]

		mu         sync.Mutex
		latest     []Server
		byName     map[string]*Server
		byAddress  map[string]*Server
		departures map[string]departure // By server name.
		silences   map[string]time.Time // When a stream last left a silent server, by server name.
	}

	// departure records that a server's process announced in a response that it is about to be removed.
	departure struct {
		startTime   int64
		announcedAt time.Time
	}
)

// Update replaces the set of servers.
func (p *Pool) Update(servers []Server) {
	if p.Observe != nil {
		p.Observe(servers)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latest = servers
	p.updatePicker()
}

// Refresh puts a change of Evacuations in effect.
func (p *Pool) Refresh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updatePicker()
}

// knowsEvacuations reports whether it is known which data centres are evacuated.
func (p *Pool) knowsEvacuations() bool {
	return p.Evacuations == nil || p.Evacuations.Load() != nil
}

// evacuations returns the evacuated data centres. Each change returns another pointer.
func (p *Pool) evacuations() *evacuation.Places {
	if p.Evacuations == nil {
		return nil
	}
	return p.Evacuations.Load()
}

// Withholds reports whether no new request may be sent to an address, since its server is in an evacuated data centre or it
// is not known which are evacuated.
func (p *Pool) Withholds(address string) bool {
	if p.Evacuations == nil {
		return false
	}
	places := p.Evacuations.Load()
	if places == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	server := p.byAddress[address]
	return server != nil && places.Contains(server.Place)
}

// MarkLeaving records that a server announced that it is about to be removed. Its process gets no new requests from
// then on, whatever its row in the store says.
func (p *Pool) MarkLeaving(server *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.announcedLeaving(server) {
		return
	}
	now := time.Now()
	maps.DeleteFunc(p.departures, func(_ string, d departure) bool { return now.Sub(d.announcedAt) > departureTTL })
	if p.departures == nil {
		p.departures = make(map[string]departure)
	}
	p.departures[server.Name] = departure{startTime: server.Born, announcedAt: now}
	p.updatePicker()
}

// announcedLeaving reports whether the server's process announced that it is about to be removed.
func (p *Pool) announcedLeaving(server *Server) bool {
	d, ok := p.departures[server.Name]
	return ok && d.startTime == server.Born
}

// BackOff sends no requests to a server for the time that it asked for.
func (p *Pool) BackOff(server *Server, duration time.Duration) {
	if duration > 0 {
		p.Picker.MarkBusy(server.Name, duration)
	}
}

// MarkSilent records that a stream has left a server because of its silence.
func (p *Pool) MarkSilent(server *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silences == nil {
		p.silences = make(map[string]time.Time)
	}
	p.silences[server.Name] = time.Now()
}

// SilentServers returns the names of the servers that streams have recently left because of their silence.
func (p *Pool) SilentServers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(p.silences, func(_ string, at time.Time) bool { return now.Sub(at) > silenceTTL })
	return slices.Collect(maps.Keys(p.silences))
}

// updatePicker passes the servers to the picker.
func (p *Pool) updatePicker() {
	servers := p.latest
	evacuated := p.evacuations()
	byName := make(map[string]*Server, len(servers))
	byAddress := make(map[string]*Server, len(servers))
	list := make([]routing.Server, 0, len(servers))
	for i := range servers {
		s := &servers[i]
		byName[s.Name] = s
		if other := byAddress[s.Address]; other == nil || other.Born < s.Born {
			byAddress[s.Address] = s // The address of a server that is gone may be that of another one.
		}
		list = append(list, routing.Server{
			BackendServer: inventory.BackendServer{Name: s.Name, Service: s.Service, Place: s.Place, Address: s.Address},
			Born:          s.Born,
			Software:      s.softwareVersion(),
			Leaving:       s.Leaving || p.announcedLeaving(s),
			Evacuated:     evacuated.Contains(s.Place),
		})
	}
	p.byName, p.byAddress = byName, byAddress
	p.Picker.Update(list)
}

// Pick selects a server. Its errors are those of routing.Picker.Pick, and routing.ErrUnavailable if the selected server
// has just been removed.
func (p *Pool) Pick(r *routing.Request) (*Server, *routing.Choice, error) {
	choice, err := p.Picker.Pick(r)
	if err != nil {
		return nil, nil, err
	}
	p.mu.Lock()
	server := p.byName[choice.Server.Name]
	p.mu.Unlock()
	if server == nil {
		choice.Done(routing.Cancelled{})
		return nil, nil, routing.ErrUnavailable
	}
	return server, choice, nil
}

// named returns the server with a name, or nil if there is none.
func (p *Pool) named(name string) *Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byName[name]
}

// at returns the server at an address and whether it is leaving, or nil if there is none.
func (p *Pool) at(address string) (server *Server, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	server = p.byAddress[address]
	if server == nil {
		return nil, false
	}
	return server, server.Leaving || p.announcedLeaving(server)
}

// Runs reports whether the process of a server is in the set.
func (p *Pool) Runs(process ratelimit.Process) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	server := p.byName[process.Server]
	return server != nil && server.Born == process.Born
}

// ServiceOf returns the service of a server, or an empty string if it is not in the set.
func (p *Pool) ServiceOf(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if server := p.byName[name]; server != nil {
		return server.Service
	}
	return ""
}

// changedSoftware reports whether a process with another software version has taken the place of the server's.
func (p *Pool) changedSoftware(server *Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.byName[server.Name]
	return current != nil && current.softwareVersion() != server.softwareVersion()
}

// ReportLoad passes a load report that came with a response to the picker. Nil is ignored.
func (p *Pool) ReportLoad(server *Server, load *routing.Load) {
	if load != nil {
		p.Picker.RecordLoad(server.Name, *load)
	}
}
