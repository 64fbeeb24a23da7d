package store

import (
	"context"
	"sync"
	"time"

	"citronslip/internal/delay"
)

const (
	// appliedPollInterval is the time between two checks whether a follower has applied changes that a refresh found.
	appliedPollInterval = 5 * time.Millisecond
)

type (
	// Refresher tells whether a Follower has reported all changes up to this moment. The answers to other calls do not tell
	// that: a feed call on a silent connection hears of nothing while all other calls are answered. Set the fields before
	// first use.
	Refresher struct {
		Store    Store
		Follower *Follower
		Named    *Versions // What the answers to all calls have named, which shows a feed that answers from an old state; optional.
		Timeout  time.Duration
		// Spacing returns the least time between two calls to the store, which bounds the calls of a large fleet.
		Spacing func() time.Duration

		mu      sync.Mutex
		next    *refresh  // The call to the store that has not begun; nil if nobody waits for one.
		running bool      // Whether run runs.
		begun   time.Time // When the last call began.
	}

	// refresh is a call to the store that several callers share.
	refresh struct {
		done    chan struct{}
		current bool // Whether the follower has reported all changes up to its begin; valid after done.
	}
)

// Refresh reports whether the follower has reported all changes that the store had acknowledged when Refresh was called. If
// there are changes that it has not heard of, they are fetched first. It takes at most twice the sum of Timeout and Spacing.
func (r *Refresher) Refresh(ctx context.Context) bool {
	call := r.join()
	select {
	case <-call.done:
		return call.current
	case <-ctx.Done():
		return false
	}
}

// join returns the next call to the store.
func (r *Refresher) join() *refresh {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &refresh{done: make(chan struct{})}
	}
	if !r.running {
		r.running = true
		go r.run()
	}
	return r.next
}

// run makes calls until nobody waits for one.
func (r *Refresher) run() {
	for call := r.begin(); call != nil; call = r.begin() {
		call.current = r.isCurrent()
		close(call.done)
	}
}

// begin waits until the next call may begin. It returns nil if nobody waits for one.
func (r *Refresher) begin() *refresh {
	r.mu.Lock()
	r.running = r.next != nil
	running, pause := r.running, r.Spacing()-time.Since(r.begun)
	r.mu.Unlock()
	if !running {
		return nil
	}
	time.Sleep(pause)
	r.mu.Lock()
	defer r.mu.Unlock()
	call := r.next
	r.next, r.begun = nil, time.Now()
	return call
}

// isCurrent asks the store for changes and waits until the follower has reported them.
func (r *Refresher) isCurrent() bool {
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
	defer cancel()
	version, era := r.Follower.Version(), r.Follower.Era()
	if version <= 0 {
		return false
	}
	result, err := r.Store.Feed(ctx, r.Follower.Table, version, 0)
	if err != nil || result.Era != era {
		return false
	}
	if len(result.Rows) == 0 {
		return r.Named == nil || result.Version >= r.Named.Settled(era)
	}
	r.Follower.interrupt()
	for r.Follower.Version() < result.Version {
		if !delay.Sleep(ctx, appliedPollInterval) {
			return false
		}
	}
	return r.Follower.Era() == era
}
