package caller

import "sync"

type (
	// Starts holds the identity of the latest process of each backend server, as load reports tell it. The zero value is
	// ready for use.
	Starts struct {
		mu        sync.Mutex
		processes map[string]string
	}
)

// Seen notes the process that a load report of a server came from.
func (s *Starts) Seen(server, process string) {
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

// Latest returns the process of a server, or "" if none was seen.
func (s *Starts) Latest(server string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[server]
}
