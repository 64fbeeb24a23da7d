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
	// Retrier decides on retries within a retry budget: over its lifetime it grants at most Ratio retries per first
	// attempt. The zero value is ready for use.
	Retrier struct {
		Ratio    float64        // Maximum number of retries per first attempt; 0.1 if zero.
		Burst    float64        // Maximum number of retries that the budget accumulates; 100 if zero.
		Attempts int            // Maximum attempts of one request; 3 if zero. Doubled if the last one did not run.
		Base     time.Duration  // Mean backoff before the first retry; it doubles with each attempt. 20 ms if zero.
		Longest  time.Duration  // Maximum mean backoff; 1 s if zero.
		Rand     func() float64 // Random numbers in [0,1) for the jitter; math/rand/v2 if nil.

		mu            sync.Mutex
		firstAttempts uint64  // Number of first attempts.
		retries       uint64  // Number of granted retries.
		tokens        float64 // Available retries.
	}
)

// CountFirstAttempt counts the first attempt of a request, which adds Ratio to the retry budget.
func (r *Retrier) CountFirstAttempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.firstAttempts++
	r.tokens = min(r.tokens+cmp.Or(r.Ratio, defaultRatio), cmp.Or(r.Burst, defaultBurst))
}

// Retry reports whether an attempt with this outcome is to be repeated, and after which backoff. Attempts is the number
// of attempts made so far. Only attempts that certainly did not run and idempotent ones are repeated.
func (r *Retrier) Retry(o Outcome, idempotent bool, attempts int) (time.Duration, bool) {
	maxAttempts := cmp.Or(r.Attempts, defaultAttempts)
	if NotRun(o) {
		// A refused attempt costs the servers nothing, and several servers may leave at the same time.
		maxAttempts *= 2
	}
	if attempts >= maxAttempts || !retryable(o, idempotent) {
		return 0, false
	}
	if !r.takeToken() {
		return 0, false
	}
	return r.backoff(attempts), true
}

// takeToken takes one retry from the budget and reports whether there was one. It also compares the counts, so that
// rounding errors never grant one retry too many.
func (r *Retrier) takeToken() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The epsilon makes ten additions of 0.1 count as one.
	if r.tokens < 1-1e-9 || float64(r.retries+1) > cmp.Or(r.Ratio, defaultRatio)*float64(r.firstAttempts)+1e-9 {
		return false
	}
	r.tokens--
	r.retries++
	return true
}

// backoff returns a random time between half and one and a half times the mean backoff.
func (r *Retrier) backoff(attempts int) time.Duration {
	mean := cmp.Or(r.Base, defaultBase) << min(max(attempts-1, 0), 16)
	mean = min(mean, cmp.Or(r.Longest, defaultLongest))
	random := rand.Float64
	if r.Rand != nil {
		random = r.Rand
	}
	return time.Duration((0.5 + random()) * float64(mean))
}

// retryable reports whether an attempt with this outcome may be repeated safely.
func retryable(o Outcome, idempotent bool) bool {
	switch o.(type) {
	case Finished, Cancelled:
		return false
	case Refused, ConnectionRefused:
		return true
	default:
		return idempotent
	}
}
