package caller

import (
	"sync"

	"citronslip/internal/engine"
)

type (
	// ServerProcess is what a load report tells of the process of a backend server. Empty fields are unknown.
	ServerProcess struct {
		Start    string // Identity of the process.
		Software string // Software version of the process.
	}

	// ServerProcesses holds the latest known process of each backend server, as load reports state it. The zero value
	// is ready for use.
	ServerProcesses struct {
		mu        sync.Mutex
		processes map[string]ServerProcess // By server name.
	}
)

// newServerProcess returns what a load report tells of the process that sent it.
func newServerProcess(load engine.Load) ServerProcess {
	return ServerProcess{Start: load.Start, Software: load.Software}
}

// Record records the process that sent a load report of a server, and returns the one known before.
func (s *ServerProcesses) Record(server string, process ServerProcess) ServerProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.processes == nil {
		s.processes = make(map[string]ServerProcess)
	}
	before := s.processes[server]
	s.processes[server] = process
	return before
}

// Latest returns the latest known process of a server, or the zero value if none is known.
func (s *ServerProcesses) Latest(server string) ServerProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[server]
}
