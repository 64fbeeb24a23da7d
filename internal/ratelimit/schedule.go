package ratelimit

import "time"

const (
	// burstWindow is the time over which unused permits accumulate.
	burstWindow = 100 * time.Millisecond
	// maxSpread is the longest time over which refused routers spread their next tries. It bounds how long a server
	// stays unused after the demand for it has fallen.
	maxSpread = 5 * time.Second
)

type (
	// schedule spaces the permits of one issuer evenly.
	schedule struct {
		next    time.Time // When the next permit is free.
		refused int       // Number of refusals since the last permit.
	}
)

// restart withholds permits for one interval, because those of another issuer may have just been used.
func (s *schedule) restart(now time.Time, interval time.Duration) {
	*s = schedule{next: now.Add(interval)}
}

// take takes the next permit and returns the time until it may be used. If that exceeds maxWait, it takes none.
func (s *schedule) take(now time.Time, maxWait, interval time.Duration) (wait time.Duration, ok bool) {
	if oldest := now.Add(-burstWindow); s.next.Before(oldest) {
		s.next = oldest
	}
	wait = max(s.next.Sub(now), 0)
	if wait > maxWait {
		s.refused++
		return wait, false
	}
	s.next = s.next.Add(interval)
	s.refused = 0
	return wait, true
}

// spread returns the time over which the refused router should spread its next try. The first one after a permit comes
// when the next permit is free, the others later, so that about one of them comes for each permit.
func (s *schedule) spread(interval time.Duration) time.Duration {
	return min(time.Duration(s.refused-1)*min(interval, maxSpread), maxSpread)
}
