// Package admission queues requests in front of a concurrency limit. The queue observes deadlines and priorities,
// shares the slots fairly among client accounts by weight, and refuses at once requests that it cannot serve in time.
package admission

import (
	"errors"
	"fmt"
	"time"
)

const (
	// ReasonDeadline is the reason when the request would miss its deadline in the queue.
	ReasonDeadline Reason = "deadline cannot be met"
	// ReasonQueueFull is the reason when the queue is full and the account has the most queued requests relative to its
	// weight.
	ReasonQueueFull Reason = "queue is full"
)

var (
	// ErrCancelled is returned when the caller's context ended while the request was queued.
	ErrCancelled = errors.New("admission: the request was cancelled in the queue")
)

type (
	// Reason is why the queue refused a request.
	Reason string

	// Refusal is the error for a request that the queue refuses. The request was not run.
	Refusal struct {
		Reason Reason
		// Retry is the time after which a retry with as much time to its deadline can succeed. It is zero if unknown,
		// which is when too little time was left to the deadline even without waiting.
		Retry time.Duration
	}

	// Request describes a request that is submitted to the queue.
	Request struct {
		Account  string
		Weight   int       // Relative share of the account; 1 if zero.
		Priority int       // Level of head start, which does not raise the account's share in the long run.
		Deadline time.Time // Latest time of the first token; Queue.MaxWait after submission if zero.
		Cost     int64     // Expected work in tokens; 1 if zero.
	}

	// Result is the work that was done in a slot.
	Result struct {
		Cost int64 // Work done in tokens; zero if unknown.
	}

	// Sample is a latency measurement of an admitted request. Fields that are zero are unknown.
	Sample struct {
		First time.Duration // Time from dispatch to the first token.
		Gap   time.Duration // Mean time between tokens.
		Busy  bool          // Whether a server refused the request because the server's own queue was full.
	}

	// Stats is the state of a queue.
	Stats struct {
		Limit           int            `json:"limit"`
		Running         int            `json:"running"`
		Queued          int            `json:"queued"`
		DrainRate       float64        `json:"drain"`    // Drain rate of the queue, in cost per second.
		QueuedByAccount map[string]int `json:"accounts"` // Queued requests by account.
	}
)

// Error returns the reason and the retry time.
func (r *Refusal) Error() string {
	return fmt.Sprintf("admission: %s, retry in %v", r.Reason, r.Retry)
}
