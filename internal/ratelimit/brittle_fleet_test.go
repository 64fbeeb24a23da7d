package ratelimit_test

import (
	"context"
	"sync"
	"time"

	"citronslip/internal/ratelimit"
)

const (
	// fallTime is how long a server that has fallen over does not answer.
	fallTime = 3 * time.Second
)

type (
	// room is the room for requests of a brittle server, which falls over if it has to reject too many in a second.
	room struct {
		slots, queue, rejections int
		service                  time.Duration // Execution time of a request.

		mu          sync.Mutex
		inSlot      chan struct{}
		present     int
		rejected    []time.Time
		begin       time.Time // When a response first said that the server is brittle; zero before.
		downUntil   time.Time
		silentUntil time.Time
		falls       int // Since settleTime after begin.
		served      int // Since then.
	}
)

// rate returns the number of requests per second for which there is room.
func (r *room) rate() float64 { return float64(r.slots) / r.service.Seconds() }

// beBrittle gives the server of the fleet limited room.
func (f *fleet) beBrittle(r *room) {
	r.inSlot = make(chan struct{}, r.slots)
	f.server.mu.Lock()
	defer f.server.mu.Unlock()
	f.server.room = r
}

// serve treats one request and returns what its response says. It reports whether there was one.
func (r *room) serve(ctx context.Context) (ratelimit.Announcement, bool) {
	time.Sleep(hop)
	r.mu.Lock()
	silence := time.Until(r.silentUntil)
	r.mu.Unlock()
	time.Sleep(max(silence, 0))
	said := ratelimit.Announcement{Named: true, Rate: ratelimit.Unlimited, Brittle: ratelimit.Rate(r.rejections)}
	isAccepted, isUp := r.admit()
	if !isUp {
		return ratelimit.Announcement{}, false
	}
	if isAccepted {
		defer r.leave()
		select {
		case r.inSlot <- struct{}{}:
		case <-ctx.Done():
			return ratelimit.Announcement{}, false
		}
		time.Sleep(r.service)
		<-r.inSlot
	}
	said.Rejected = !isAccepted
	r.mu.Lock()
	if r.begin.IsZero() {
		r.begin = time.Now()
	}
	r.mu.Unlock()
	time.Sleep(hop)
	return said, true
}

// admit reports whether a request is accepted, and whether the server answers at all.
func (r *room) admit() (isAccepted, isUp bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Before(r.downUntil) {
		return false, false
	}
	if r.present < r.slots+r.queue {
		r.present++
		return true, true
	}
	r.rejected = append(r.rejected, now)
	for now.Sub(r.rejected[0]) >= time.Second {
		r.rejected = r.rejected[1:]
	}
	if len(r.rejected) <= r.rejections {
		return false, true
	}
	r.downUntil, r.rejected = now.Add(fallTime), nil
	if r.isSettled() {
		r.falls++
	}
	return false, false
}

// leave ends a request that was accepted.
func (r *room) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.present--
	if r.isSettled() {
		r.served++
	}
}

// isSettled reports whether the bound must be in force.
func (r *room) isSettled() bool { return !r.begin.IsZero() && time.Since(r.begin) >= settleTime }

// fallSilent makes the server treat no new request for a time. It then treats all that have arrived.
func (r *room) fallSilent(duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silentUntil = time.Now().Add(duration)
}

// result returns the number of falls and the requests served per second since settleTime after the begin.
func (r *room) result() (falls int, rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.falls, float64(r.served) / time.Since(r.begin.Add(settleTime)).Seconds()
}
