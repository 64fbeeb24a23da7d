package dispatch

import (
	"context"
	"slices"
	"sync"

	"citronslip/internal/routing"
	"citronslip/pkg/inventory"
)

type (
	// replacement is the attempt that takes the place of one that waits for its response on a broken way.
	replacement struct {
		mu     sync.Mutex
		ended  bool       // Whether the attempt in progress has ended.
		target *selection // Server of the replacement, taken out of the retry budget; nil if there is none.
	}
)

// replacer returns the function that reserves a replacement for the attempt at a server, or nil if the request allows none.
func (c *call) replacer(ctx context.Context, server *Server, next *replacement) func() bool {
	copied := *c
	copied.triedServers = append(slices.Clone(c.triedServers), server.Name)
	if c.route.Repeat == inventory.AtMostOnce || c.responseStarted && !c.resumable() || !copied.attemptsLeft() {
		return nil
	}
	return func() bool {
		current := copied
		target := current.reserveNext(ctx, nil) // May ask another router for a permit.
		return target != nil && next.set(&current, target)
	}
}

// set sets the server of the replacement, and reports whether the attempt in progress may end.
func (r *replacement) set(c *call, target *selection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || !c.Repeats.Allow(c.service) {
		target.choice.Done(routing.Cancelled{})
		return false
	}
	r.target = target
	return true
}

// close prevents a replacement from now on. It returns false if there is one already.
func (r *replacement) close() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = r.ended || r.target == nil
	return r.target == nil
}

// end records the outcome of the attempt in progress, and returns the server of its replacement; nil if there is none.
func (r *replacement) end(ctx context.Context, outcome Outcome) *selection {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	o, lost := outcome.(NoResponse)
	if r.target != nil && !(lost && o.Path && ctx.Err() == nil) {
		r.target.choice.Done(routing.Cancelled{})
		return nil
	}
	return r.target
}
