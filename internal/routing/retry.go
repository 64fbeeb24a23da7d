package routing

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	defaultRatio    = 0.1
	defaultBurst    = 100
	defaultAttempts = 3
	defaultBase     = 20 * time.Millisecond
	defaultLongest  = time.Second
)

type (
	// Retrier decides on retries. Over its lifetime it grants at most Ratio retries per first attempt. The zero value
	// is ready for use.
	Retrier struct {
		Ratio    float64        // Most retries per first attempt; 0.1 if zero.
		Burst    float64        // Most saved retries; 100 if zero.
		Attempts int            // Most attempts of one request that may have run; 3 if zero. Twice that if none did.
		Base     time.Duration  // Mean wait before the first retry; doubles with each attempt. 20 ms if zero.
		Longest  time.Duration  // Longest mean wait; 1 s if zero.
		Rand     func() float64 // Random numbers in [0,1) for the jitter.

		mu      sync.Mutex
		firsts  uint64
		retries uint64
		saved   float64
	}
)

// First counts a first attempt.
func (r *Retrier) First() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.firsts++
	r.saved = min(r.saved+cmp.Or(r.Ratio, defaultRatio), cmp.Or(r.Burst, defaultBurst))
}

// Retry decides whether an attempt with this outcome is repeated, and after which wait. Attempts counts those made so
// far. Only what certainly did not run or is idempotent is repeated.
func (r *Retrier) Retry(o Outcome, idempotent bool, attempts int) (time.Duration, bool) {
	most := cmp.Or(r.Attempts, defaultAttempts)
	if NotRun(o) {
		// A refusal costs the servers nothing, and several servers may leave together.
		most *= 2
	}
	if attempts >= most || !repeatable(o, idempotent) {
		return 0, false
	}
	if !r.take() {
		return 0, false
	}
	return r.wait(attempts), true
}

// take uses one saved retry. It also compares the counts, so that rounding of the saved part never grants one too many.
func (r *Retrier) take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The epsilon makes ten additions of 0.1 count as one.
	if r.saved < 1-1e-9 || float64(r.retries+1) > cmp.Or(r.Ratio, defaultRatio)*float64(r.firsts)+1e-9 {
		return false
	}
	r.saved--
	r.retries++
	return true
}

// wait returns a time with full jitter between half and one and a half of the mean.
func (r *Retrier) wait(attempts int) time.Duration {
	mean := cmp.Or(r.Base, defaultBase) << min(max(attempts-1, 0), 16)
	mean = min(mean, cmp.Or(r.Longest, defaultLongest))
	random := rand.Float64
	if r.Rand != nil {
		random = r.Rand
	}
	return time.Duration((0.5 + random()) * float64(mean))
}

func repeatable(o Outcome, idempotent bool) bool {
	switch o.(type) {
	case Finished, Cancelled:
		return false
	case Refused, ConnectionRefused:
		return true
	default:
		return idempotent
	}
}
