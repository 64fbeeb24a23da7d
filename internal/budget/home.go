package budget

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"citronslip/pkg/inventory"
)

const (
	// MethodReserve is the router-to-router method that takes ReserveParams.
	MethodReserve = "budget.reserve"
	// MethodSettle is the router-to-router method that takes SettleParams.
	MethodSettle = "budget.settle"
	// MethodCancel is the router-to-router method that takes CancelParams.
	MethodCancel = "budget.cancel"

	// DefaultReserveTimeout is the timeout of a reservation for another router while the controller fetches tokens.
	DefaultReserveTimeout = 250 * time.Millisecond
	// DefaultAttemptTTL is the time for which an ended attempt is remembered. It is longer than a message can be
	// delayed.
	DefaultAttemptTTL = 10 * time.Minute
	// requesterCheckAge is the age of an open reservation from which the controller checks whether its requester is
	// alive.
	requesterCheckAge = time.Minute
)

type (
	// Home reserves tokens of this router for requests of other routers. Messages may be repeated, delayed or
	// reordered. It is safe for concurrent use. Set the fields before first use.
	Home struct {
		Ledger *Ledger
		Wait   time.Duration // Timeout of a reservation, DefaultReserveTimeout if 0.
		Keep   time.Duration // Time for which ended attempts are remembered, DefaultAttemptTTL if 0.
		// Report returns the usage of an attempt as the engines report it, and false if there is no report. If nil,
		// attempts of dead requesters are charged at their bounds.
		Report func(attempt string) (inventory.Tokens, bool)
		Now    func() time.Time // Clock, time.Now if nil.

		mu            sync.Mutex
		attempts      map[string]*remoteAttempt // By attempt ID.
		endedAttempts []endedAttempt            // In the order in which they ended.
	}

	// ReserveParams requests a reservation. Repeated calls for one attempt reserve once.
	ReserveParams struct {
		Instance string           `json:"instance"` // Instance of the requesting router.
		Attempt  string           `json:"attempt"`
		Keys     []Key            `json:"keys"`
		Bound    inventory.Tokens `json:"bound"`
	}

	// ReserveReply is the reply to ReserveParams. If OK is false, the other fields are those of ExhaustedError.
	ReserveReply struct {
		OK      bool             `json:"ok"`
		Key     Key              `json:"key"`
		Left    inventory.Tokens `json:"left"`
		Smaller bool             `json:"smaller"`
		Retry   float64          `json:"retry"` // Seconds.
	}

	// SettleParams ends an attempt and reports its usage.
	SettleParams struct {
		Attempt string           `json:"attempt"`
		Used    inventory.Tokens `json:"used"`
	}

	// CancelParams ends an attempt that is certain not to have been dispatched.
	CancelParams struct {
		Attempt string `json:"attempt"`
	}

	// remoteAttempt is an attempt of another router.
	remoteAttempt struct {
		instance    string // Instance of the requesting router.
		reservation Reservation
		started     time.Time // When the first message of the attempt arrived.
		pending     bool      // The reservation is being made.
		ended       bool
	}

	// endedAttempt is the time at which an attempt ended.
	endedAttempt struct {
		attempt string
		endedAt time.Time
	}
)

// Reserve makes the reservation of an attempt, or confirms it if it was made before. The error is one of
// Ledger.Reserve, or ErrAttemptEnded if the attempt was settled or cancelled.
func (h *Home) Reserve(ctx context.Context, p ReserveParams) error {
	if known, err := h.beginAttempt(p); known {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, defaultTo(h.Wait, DefaultReserveTimeout))
	defer cancel()
	r, err := h.Ledger.ReserveWait(ctx, p.Keys, p.Bound)
	return h.finishReserve(p.Attempt, r, err)
}

// Settle ends an attempt with its usage. Only the first Settle or Cancel of an attempt counts. An unknown attempt was
// reserved at an earlier instance of this router and is charged to that instance's grant.
func (h *Home) Settle(p SettleParams) {
	if r := h.endAttempt(p.Attempt); r != nil {
		h.Ledger.Settle(r.reservation, p.Used)
	}
}

// Cancel ends an attempt without usage. A Reserve that arrives after it returns ErrAttemptEnded.
func (h *Home) Cancel(p CancelParams) {
	if r := h.endAttempt(p.Attempt); r != nil {
		h.Ledger.Settle(r.reservation, 0)
	}
}

// ChargeRequester ends all open attempts of a requester that cannot spend any more and returns their number. Each is
// charged at its reported usage, or at its bound if there is no report.
func (h *Home) ChargeRequester(instance string) int {
	h.mu.Lock()
	var attempts []string
	for attempt, r := range h.attempts {
		if r.instance == instance && !r.ended && !r.pending {
			attempts = append(attempts, attempt)
		}
	}
	h.mu.Unlock()
	for _, attempt := range attempts {
		if r := h.endAttempt(attempt); r != nil {
			h.Ledger.Settle(r.reservation, h.chargeFor(attempt, r))
		}
	}
	return len(attempts)
}

// chargeFor returns the reported usage of an attempt, or its bound if there is no report.
func (h *Home) chargeFor(attempt string, r *remoteAttempt) inventory.Tokens {
	if h.Report != nil {
		if used, ok := h.Report(attempt); ok {
			return used
		}
	}
	return r.reservation.Bound()
}

// Requesters returns the instances with a reservation that has been open for more than a minute.
func (h *Home) Requesters() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var result []string
	for _, r := range h.attempts {
		if !r.ended && h.now().Sub(r.started) > requesterCheckAge {
			result = append(result, r.instance)
		}
	}
	slices.Sort(result)
	return slices.Compact(result)
}

// beginAttempt records a new attempt and returns false. If the attempt is known or invalid, it returns true and the
// result of Reserve.
func (h *Home) beginAttempt(p ReserveParams) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evictEnded()
	if r := h.attempts[p.Attempt]; r != nil {
		switch {
		case r.ended:
			return true, trace.Wrap(ErrAttemptEnded)
		case r.pending:
			return true, &ExhaustedError{Key: p.Keys[0], Retry: GrantRetryDelay}
		default:
			return true, nil
		}
	}
	if len(p.Keys) == 0 {
		return true, trace.Wrap(ErrInvalidReservation)
	}
	if h.attempts == nil {
		h.attempts = make(map[string]*remoteAttempt)
	}
	h.attempts[p.Attempt] = &remoteAttempt{instance: p.Instance, started: h.now(), pending: true}
	return false, nil
}

// finishReserve records the outcome of a reservation and releases it if the attempt has ended in the meantime. A
// refusal is not remembered, so that a retry of the attempt can succeed.
func (h *Home) finishReserve(attempt string, reservation Reservation, err error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.attempts[attempt]
	r.pending = false
	if r.ended {
		h.Ledger.Settle(reservation, 0)
		return trace.Wrap(ErrAttemptEnded)
	}
	if err != nil {
		delete(h.attempts, attempt)
		return err
	}
	r.reservation = reservation
	return nil
}

// endAttempt marks an attempt as ended and returns it, or nil if it had ended before. An unknown attempt is recorded as
// ended, so that a delayed Reserve has no effect.
func (h *Home) endAttempt(attempt string) *remoteAttempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evictEnded()
	r := h.attempts[attempt]
	if r != nil && r.ended {
		return nil
	}
	if r == nil {
		if h.attempts == nil {
			h.attempts = make(map[string]*remoteAttempt)
		}
		r = &remoteAttempt{}
		h.attempts[attempt] = r
	}
	r.ended = true
	h.endedAttempts = append(h.endedAttempts, endedAttempt{attempt: attempt, endedAt: h.now()})
	return r
}

// evictEnded drops attempts that ended longer ago than Keep. The caller must hold the lock.
func (h *Home) evictEnded() {
	cutoff := h.now().Add(-defaultTo(h.Keep, DefaultAttemptTTL))
	for len(h.endedAttempts) > 0 && h.endedAttempts[0].endedAt.Before(cutoff) {
		if r := h.attempts[h.endedAttempts[0].attempt]; r == nil || !r.pending {
			delete(h.attempts, h.endedAttempts[0].attempt)
		}
		h.endedAttempts = h.endedAttempts[1:]
	}
}

func (h *Home) now() time.Time {
	if h.Now == nil {
		return time.Now()
	}
	return h.Now()
}
