package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"citronslip/internal/event"
)

// updateServer adds or changes one server.
func (p *Picker) updateServer(config *Server, now time.Time, initial bool) {
	s := p.servers[config.Name]
	isNewProcess := s != nil && s.config.Born != config.Born
	if s == nil || isNewProcess {
		if isNewProcess {
			p.serversByIndex[s.index] = nil
		}
		s = p.addServer(config.Name, now)
		if !initial && !isNewProcess {
			s.slowStartBegin = now
		}
		if kept := p.pauses[config.Name]; kept.born == config.Born || kept.born == anyProcess {
			s.busyUntil = kept.until
		}
	}
	if s.config != nil && s.config.Evacuated && !config.Evacuated {
		s.slowStartBegin = now
	}
	s.config = config
	s.unlisted = false
	if s.leaving && !config.Leaving && config.Observed.After(s.leavingAt) {
		s.leaving = false
		s.slowStartBegin = now
		event.ServerReturned.Log(p.Logger).Str("server", config.Name).Send()
	}
}

// RecordSoftware records the software version that a server reports, empty if it reports none. It holds until the next
// update of the set of servers.
func (p *Picker) RecordSoftware(name, software string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[name]
	if s == nil || s.config.Software == software {
		return
	}
	// The configuration belongs to the slice of the last update, which is not modified.
	config := *s.config
	config.Software = software
	s.config = &config
}

// RunsSoftware reports whether a server of the request's service that is not leaving runs the software version that the
// request needs, whether it accepts new work now or not. If the request may run only on one server, others do not count.
func (p *Picker) RunsSoftware(r *Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		allowed := s.config.Service == r.Service && !s.config.Evacuated && r.allowsPlace(s) && (r.Only == "" || s.config.Name == r.Only)
		if allowed && s.config.Software == r.Software && !s.config.Leaving && !s.leaving {
			return true
		}
	}
	return false
}

// ForgetFailures closes the circuit of a server whose failures were those of the way to it, which has changed.
func (p *Picker) ForgetFailures(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[name]
	if s == nil || s.circuit.state == stateClosed {
		return
	}
	s.circuit = circuit{}
	p.counters.closed.Inc(1)
	event.CircuitClosed.Log(p.Logger).Str("server", s.config.Name).Send()
}

// SlowStartFrom begins the slow start of a server at a time to come. Until then others bound the requests to it.
func (p *Picker) SlowStartFrom(name string, begin time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[name]; s != nil && begin.After(s.slowStartBegin) {
		s.slowStartBegin = begin
	}
}

// AllowProbe lets one request at a time probe the open circuit of a server to which a connection can be opened again.
func (p *Picker) AllowProbe(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[name]; s != nil && s.circuit.state == stateOpen {
		s.circuit.state = stateHalfOpen
		s.circuit.requestInFlight = false
	}
}

// IsLeaving reports whether a server is leaving, or is not in the set.
func (p *Picker) IsLeaving(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[name]
	return s == nil || s.leaving || s.config.Leaving
}

// addServer adds a server of which nothing is known.
func (p *Picker) addServer(name string, now time.Time) *server {
	s := &server{
		cacheHitRatio: 1,
		index:         p.allocateIndex(),
		nameHash:      xxhash.Sum64String(name),
		minHintExpiry: now.Add(p.HintLife).UnixNano(),
	}
	p.servers[name] = s
	p.serversByIndex[s.index] = s
	return s
}

// allocateIndex returns a free server index.
func (p *Picker) allocateIndex() int32 {
	for i, s := range p.serversByIndex {
		if s == nil {
			return int32(i)
		}
	}
	p.serversByIndex = append(p.serversByIndex, nil)
	p.expectedCached = append(p.expectedCached, 0)
	return int32(len(p.serversByIndex) - 1)
}

// HasCandidate reports whether a server could be picked for the request if it accepted new work: one of its service and
// software version and in an allowed data centre that is not evacuated, that is not leaving and was not tried.
func (p *Picker) HasCandidate(r *Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		fits := s.config.Service == r.Service && (r.Software == "" || s.config.Software == r.Software)
		if fits && !s.config.Evacuated && r.allowsPlace(s) && !s.config.Leaving && !s.leaving && !slices.Contains(r.Tried, s.config.Name) {
			return true
		}
	}
	return false
}
