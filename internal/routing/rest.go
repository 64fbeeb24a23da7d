package routing

import (
	"fmt"
	"time"
)

const (
	// leastRest is how long a server gets no new work after it refused a request for lack of room.
	leastRest = 100 * time.Millisecond
	// mostRest bounds what a server may ask for, so that a faulty one is tried again.
	mostRest = time.Minute
	// restSpread is the random part by which a rest is longer, relative to it.
	restSpread = 0.1
)

type (
	// RestError says that the servers which hold what the request needs want no new work before a time. It wraps
	// ErrUnavailable.
	RestError struct {
		After time.Duration // Until the first of them takes work again.
	}
)

// Error returns the message with the time.
func (e *RestError) Error() string { return fmt.Sprintf("%v for %v", ErrUnavailable, e.After) }

// Unwrap returns ErrUnavailable.
func (e *RestError) Unwrap() error { return ErrUnavailable }

// Rest notes that the server wants no new work for a time.
func (p *Picker) Rest(name string, span time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[name]; s != nil {
		p.rested(s, span, p.now())
	}
}

// rested keeps new work from the server for a time. The random part keeps many routers from coming back together.
func (p *Picker) rested(s *server, span time.Duration, now time.Time) {
	span = min(span, mostRest)
	span += time.Duration(p.random() * restSpread * float64(span))
	if until := now.Add(span); until.After(s.busy) {
		s.busy = until
	}
}

// rest returns the time until the first server that only rests takes work again, or zero if there is none.
func (p *Picker) rest(servers []*server, now time.Time) time.Duration {
	var least time.Duration
	for _, s := range servers {
		after := s.busy.Sub(now)
		if after <= 0 || s.conf.Leaving || s.leaving || s.circuit.state != closed {
			continue
		}
		if least == 0 || after < least {
			least = after
		}
	}
	return least
}
