package caller

import "sync"

type (
	// ServerProcesses holds the identity of the latest known process of each backend server, as load reports state it.
	// The zero value is ready for use.
	ServerProcesses struct {
		mu        sync.Mutex
		processes map[string]string // By server name.
	}
)

// Record records the process that sent a load report of a server.
func (s *ServerProcesses) Record(server, process string) {
	if process == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.processes == nil {
		s.processes = make(map[string]string)
	}
	s.processes[server] = process
}

// Latest returns the latest known process of a server, or "" if none is known.
func (s *ServerProcesses) Latest(server string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[server]
}
