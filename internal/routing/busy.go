package routing

import (
	"fmt"
	"time"
)

const (
	// minBusyTime is the least time for which a server gets no new work after it refused a request as busy.
	minBusyTime = 100 * time.Millisecond
	// maxBusyTime bounds the time that a server may ask for, so that a faulty one is tried again.
	maxBusyTime = time.Minute
	// busyJitter is the largest random extension of a busy time, relative to it.
	busyJitter = 0.1
	// anyProcess stands for each process of a server.
	anyProcess = -1
)

type (
	// pause is the time until which a server process wants no new work.
	pause struct {
		born  int64
		until time.Time
	}

	// BusyError is returned when servers that have loaded what the request needs are otherwise healthy, but have asked
	// for no new work until a later time. It wraps ErrUnavailable.
	BusyError struct {
		After time.Duration // Time until the first of them accepts work again.
	}
)

// Error returns the message with the time until a server accepts work.
func (e *BusyError) Error() string { return fmt.Sprintf("%v for %v", ErrUnavailable, e.After) }

// Unwrap returns ErrUnavailable.
func (e *BusyError) Unwrap() error { return ErrUnavailable }

// MarkBusy records that the server asked for no new work for the given time.
func (p *Picker) MarkBusy(name string, duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if s := p.servers[name]; s != nil {
		p.setBusy(s, duration, now)
		return
	}
	// The server was removed while the request ran. Whichever process of it comes back waits.
	p.keepPause(name, pause{born: anyProcess, until: p.busyEnd(duration, now)}, now)
}

// BusyTime returns for how long the server still wants no new work, or zero if it takes some.
func (p *Picker) BusyTime(name string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[name]
	if s == nil {
		return 0
	}
	return max(s.busyUntil.Sub(p.now()), 0)
}

// setBusy withholds new work from the server for the duration.
func (p *Picker) setBusy(s *server, duration time.Duration, now time.Time) {
	if until := p.busyEnd(duration, now); until.After(s.busyUntil) {
		s.busyUntil = until
	}
	if p.servers[s.config.Name] != s { // It was removed while the request ran.
		p.keepPause(s.config.Name, pause{born: s.config.Born, until: s.busyUntil}, now)
	}
}

// busyEnd returns the end of a busy time, which is at most maxBusyTime long, plus jitter. The jitter keeps many routers from
// returning to the server at the same moment.
func (p *Picker) busyEnd(duration time.Duration, now time.Time) time.Time {
	duration = min(duration, maxBusyTime)
	return now.Add(duration + time.Duration(p.random()*busyJitter*float64(duration)))
}

// keepPause remembers until when a removed server wants no new work: its entry may have expired although it runs.
func (p *Picker) keepPause(name string, kept pause, now time.Time) {
	if !now.Before(kept.until) {
		return
	}
	if p.pauses == nil {
		p.pauses = make(map[string]pause)
	}
	p.pauses[name] = kept
}

// timeUntilFree returns the time until the first of the servers that are excluded only because they are busy accepts
// work again, or zero if there is none.
func (p *Picker) timeUntilFree(servers []*server, r *Request, now time.Time) time.Duration {
	var shortest time.Duration
	for _, s := range servers {
		remaining := s.busyUntil.Sub(now)
		if remaining <= 0 || s.config.Leaving || s.leaving || s.config.Evacuated || !r.allowsPlace(s) || s.circuit.state != stateClosed {
			continue
		}
		if shortest == 0 || remaining < shortest {
			shortest = remaining
		}
	}
	return shortest
}
