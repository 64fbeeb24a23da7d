package routing

type (
	// ServerState is a snapshot of what the picker knows about a server.
	ServerState struct {
		Server  Server
		Holds   []LoadedModel
		Leaving bool
		Circuit string // One of closed, open and half-open.
		Load    Load
	}
)

// States returns the state of all servers.
func (p *Picker) States() []ServerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]ServerState, 0, len(p.servers))
	for _, s := range p.servers {
		list = append(list, ServerState{
			Server:  *s.config,
			Holds:   s.config.Holds,
			Leaving: s.leaving || s.config.Leaving,
			Circuit: s.circuit.state.name(),
			Load:    s.load,
		})
	}
	return list
}

// name returns the short name of the state, for status reports.
func (s circuitState) name() string {
	switch s {
	case stateOpen:
		return "open"
	case stateHalfOpen:
		return "half-open"
	default:
		return "closed"
	}
}
