package caller

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"citronslip/internal/delay"
	"citronslip/internal/engine"
	"citronslip/internal/event"
	"citronslip/pkg/inventory"
)

const (
	resolveInterval    = 200 * time.Millisecond
	maxResolveCalls    = 16
	resolveCallTimeout = 2 * time.Second
	defaultHoldTimeout = 10 * time.Minute
)

type (
	// HeldAttempt is an attempt of unknown outcome whose reservation stays at its bound.
	HeldAttempt struct {
		Attempt string
		Server  string
		Address string
		Bound   inventory.Tokens
		Cancel  bool                                 // Whether to cancel the attempt on its backend server.
		Release func(used inventory.Tokens)          // Settles the reservation.
		Done    func(input, output inventory.Tokens) // Called with the usage once it is known; may be nil.

		heldSince time.Time
	}

	// AttemptResolver settles held attempts by the usage reports of the backend servers.
	AttemptResolver struct {
		Engines *engine.Client
		Logger  *zerolog.Logger
		MaxWait time.Duration // Time after which a held attempt is charged at its bound; 10 min if zero.

		mu   sync.Mutex
		held map[string]HeldAttempt // By attempt name.
	}
)

// Add registers a held attempt.
func (r *AttemptResolver) Add(held HeldAttempt) {
	held.heldSince = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held == nil {
		r.held = make(map[string]HeldAttempt)
	}
	r.held[held.Attempt] = held
}

// HeldCount returns the number of held attempts.
func (r *AttemptResolver) HeldCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.held)
}

// Run resolves held attempts until the context ends. It then charges the remaining ones at their bound.
func (r *AttemptResolver) Run(ctx context.Context) error {
	delay.Repeat(ctx, resolveInterval, func() { r.resolveAll(ctx) })
	r.ChargeAll()
	return nil
}

// ChargeAll settles all held attempts at their bound.
func (r *AttemptResolver) ChargeAll() {
	for _, held := range r.list() {
		r.chargeBound(held)
	}
}

func (r *AttemptResolver) list() []HeldAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.held))
}

// remove deletes a held attempt. It reports false if another call has already done so.
func (r *AttemptResolver) remove(held HeldAttempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.held[held.Attempt]
	delete(r.held, held.Attempt)
	return ok
}

func (r *AttemptResolver) resolveAll(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxResolveCalls)
	for _, held := range r.list() {
		group.Go(func() error {
			r.resolve(ctx, held)
			return nil
		})
	}
	// A function that fails keeps its attempt and returns no error.
	_ = group.Wait()
}

// resolve queries the usage of one attempt, and settles the attempt once its usage is known.
func (r *AttemptResolver) resolve(ctx context.Context, held HeldAttempt) {
	ctx, cancel := context.WithTimeout(ctx, resolveCallTimeout)
	defer cancel()
	query := r.Engines.Usage
	if held.Cancel {
		query = r.Engines.Cancel
	}
	usage, err := query(ctx, held.Address, held.Attempt)
	heldFor := time.Since(held.heldSince)
	switch {
	case err == nil && usage.State == engine.UsageDone:
		r.settle(held, inventory.Tokens(usage.Prompt), inventory.Tokens(usage.Completion))
	case err == nil && usage.State == engine.UsageUnknown, errors.Is(err, engine.ErrUnknownAttempt):
		// The request may still be on its way to the server, so an early report that the attempt is unknown proves
		// nothing.
		if heldFor >= resolveCallTimeout {
			r.chargeBound(held)
		}
	case heldFor > r.holdTimeout():
		r.chargeBound(held)
	}
}

func (r *AttemptResolver) settle(held HeldAttempt, input, output inventory.Tokens) {
	if !r.remove(held) {
		return
	}
	held.Release(input + output)
	event.AttemptResolved.Log(r.Logger).Str("attempt", held.Attempt).Int64("used", int64(input+output)).Send()
	if held.Done != nil {
		held.Done(input, output)
	}
}

// chargeBound settles an attempt at its bound. The client account is not billed for it, since the usage is unknown.
func (r *AttemptResolver) chargeBound(held HeldAttempt) {
	if !r.remove(held) {
		return
	}
	held.Release(held.Bound)
	event.AttemptCharged.Log(r.Logger).Str("attempt", held.Attempt).Str("server", held.Server).Int64("bound", int64(held.Bound)).Send()
}

func (r *AttemptResolver) holdTimeout() time.Duration {
	if r.MaxWait > 0 {
		return r.MaxWait
	}
	return defaultHoldTimeout
}
