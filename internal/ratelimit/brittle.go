package ratelimit

import (
	"math"
	"slices"
	"time"

	"citronslip/internal/wire"
)

const (
	// Unlimited is the rate of a process that names none.
	Unlimited Rate = 1e9
	// minBrittle and maxBrittle bound the number of rejections in a second that is taken from a response.
	minBrittle Rate = 1.0 / 60
	maxBrittle Rate = 1e6
	// brittleShare is the share of the rejections that a process can stand which one issuer at the full rate risks.
	// With the shares of a successor and of isolated routers the sum stays below the whole.
	brittleShare = 2.0 / 3
	// rejectionWindow is how long a rejection counts: the second of the process, and the time that messages take.
	rejectionWindow = 1200 * time.Millisecond
	// acceptTime is the time after which a request counts as accepted that was not rejected, provided that the process
	// has responded to any request since. Rejections take about a round trip.
	acceptTime = 100 * time.Millisecond
	// fateTimeout is the time after which a request is no longer counted, although the process has been silent since.
	fateTimeout = 1500 * time.Millisecond
	// averagingTime is the time over which the accepted requests are averaged.
	averagingTime = 2 * time.Second
	// paceCut is the share of the accepted requests per second that is sent after a rejection. The process then works
	// off what it has accepted.
	paceCut = 0.9
	// rejectionGrowth is the share of the named rejections, relativeGrowth the share of the pace, by which the pace grows
	// each second, so that it exceeds what the process accepts by few requests.
	rejectionGrowth = 0.25
	relativeGrowth  = 0.05
	// linearTime is the time without a rejection after which the pace doubles each second.
	linearTime = 10 * time.Second
	// minUnknownWait is the time until the next try while all requests that may be rejected are under way, minFullWait
	// the least such time after a process had no room.
	minUnknownWait = 20 * time.Millisecond
	minFullWait    = 50 * time.Millisecond
	// maxFullSpread is the longest time over which routers spread their next tries at a brittle process.
	maxFullSpread = time.Second
)

type (
	// terms are what a process named: requests per second, and rejections that it can stand in a second, zero if it named
	// none.
	terms struct {
		rate, brittle Rate
	}

	// exposure bounds how many requests a brittle process has to reject in a second. It counts the rejections and the
	// requests that may still be rejected, and paces the permits by what the process accepts.
	exposure struct {
		unknown     []unknownFate // Permitted requests that may still be rejected.
		rejected    []time.Time
		respondedAt time.Time // When the process last responded to any request.
		accepted    float64   // Accepted requests per second at averagedAt.
		averagedAt  time.Time
		pace        Rate // Permits per second at pacedAt; zero before the first rejection.
		pacedAt     time.Time
		doubling    bool // Whether the pace doubles each second from pacedAt on.
		refused     int  // Number of refusals since the last permit.
	}

	// unknownFate is a permitted request that may still be rejected.
	unknownFate struct {
		permit wire.RatelimitPermit
		sentAt time.Time
	}
)

// ParseBrittle parses the number of requests that a process can reject in a second. Its error is ErrInvalidRate.
func ParseBrittle(text string) (Rate, error) {
	value, err := ParseRate(text)
	if err != nil {
		return 0, err
	}
	return min(max(value, minBrittle), maxBrittle), nil
}

// differ reports whether terms differ considerably.
func (t terms) differ(from terms) bool {
	return differs(t.rate, from.rate) || differs(t.brittle, from.brittle)
}

func differs(value, before Rate) bool {
	return math.Abs(float64(value-before)) > reportThreshold*float64(before)
}

// take returns the time until a permit can be free if requests that may be rejected, by the given number of rejections in
// a second, do not allow one now, and whether that is because the process has no room.
func (e *exposure) take(now time.Time, rejections Rate) (wait time.Duration, full bool) {
	e.expire(now)
	capacity := max(int(rejections), 1)
	window := max(rejectionWindow, min(time.Duration(float64(capacity)/float64(rejections)*float64(time.Second)), maxInterval))
	e.rejected = slices.DeleteFunc(e.rejected, func(at time.Time) bool { return now.Sub(at) >= window })
	recent := len(e.unknown) - e.countOlder(now.Add(-acceptTime))
	// Requests that were not rejected in time, at a process that has been silent since, hardly count as unknown. If they
	// counted in full, a process would get no more requests than it answers one after the other.
	if recent+len(e.rejected) < capacity && len(e.unknown)+len(e.rejected) < capacity+max(capacity/2, 1) {
		return 0, false
	}
	e.refused++
	if len(e.rejected) < capacity {
		return minUnknownWait, false
	}
	return e.rejected[len(e.rejected)-capacity].Add(window).Sub(now), true
}

// countOlder returns the number of requests of unknown fate that were sent before the given time.
func (e *exposure) countOlder(than time.Time) int {
	n := 0
	for _, u := range e.unknown {
		if u.sentAt.Before(than) {
			n++
		}
	}
	return n
}

// spread returns the time over which refused routers should spread their next tries.
func (e *exposure) spread(rejections Rate) time.Duration {
	return min(time.Duration(e.refused)*(acceptTime/time.Duration(max(int(rejections), 1))), maxFullSpread)
}

// add records a permit that may be used at the given time.
func (e *exposure) add(permit wire.RatelimitPermit, at time.Time) {
	e.refused = 0
	e.unknown = append(e.unknown, unknownFate{permit, at})
}

// expire counts requests as accepted that would have been rejected by now.
func (e *exposure) expire(now time.Time) {
	e.unknown = slices.DeleteFunc(e.unknown, func(u unknownFate) bool {
		if e.respondedAt.Sub(u.sentAt) >= acceptTime {
			e.accept(now)
			return true
		}
		return now.Sub(u.sentAt) >= fateTimeout
	})
}

// settle records the response to a request of a process that can stand the given rejections in a second.
func (e *exposure) settle(permit wire.RatelimitPermit, isRejected bool, now time.Time, brittle Rate) {
	e.respondedAt = now
	i := slices.IndexFunc(e.unknown, func(u unknownFate) bool { return u.permit == permit })
	if i >= 0 {
		e.unknown = slices.Delete(e.unknown, i, i+1)
	}
	e.expire(now)
	switch {
	case isRejected:
		e.rejected = append(e.rejected, now)
		rate := e.acceptedRate(now)
		e.pace, e.pacedAt, e.doubling = max(paceCut*rate, rejectionGrowth*brittle), now, rate < brittle
	case i >= 0:
		e.accept(now)
	}
}

// accept counts a request as accepted.
func (e *exposure) accept(now time.Time) {
	e.accepted = float64(e.acceptedRate(now)) + 1/averagingTime.Seconds()
	e.averagedAt = now
}

// acceptedRate returns the mean number of accepted requests per second.
func (e *exposure) acceptedRate(now time.Time) Rate {
	return Rate(e.accepted * math.Exp(-now.Sub(e.averagedAt).Seconds()/averagingTime.Seconds()))
}

// rate returns the number of requests per second that the process is expected to accept, and whether that is known.
func (e *exposure) rate(now time.Time, brittle Rate) (Rate, bool) {
	if e.pace == 0 {
		return Unlimited, false
	}
	elapsed := now.Sub(e.pacedAt)
	pace := e.pace
	if !e.doubling {
		linear := min(elapsed, linearTime)
		pace += max(rejectionGrowth*brittle, relativeGrowth*pace) * Rate(linear.Seconds())
		elapsed -= linear
	}
	pace *= Rate(math.Exp2(elapsed.Seconds()))
	return min(pace, Unlimited), pace < Unlimited
}
