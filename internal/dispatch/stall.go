package dispatch

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"citronslip/internal/delay"
	"citronslip/internal/routing"
	"citronslip/pkg/inventory"
)

const (
	// minStallTimeout is the lower bound of the time without a complete event after which callers give a stream up.
	minStallTimeout = 2 * time.Second
	// stallTimeoutGoals and stallTimeoutGaps are further lower bounds, as multiples of the route's Goal and Gap.
	stallTimeoutGoals = 4
	stallTimeoutGaps  = 8
	// stallMargin is the time after which a stalled stream ends if its caller has not given it up.
	stallMargin = 300 * time.Millisecond
	// maxSoundSilence is how long a sound server may be silent. A stream stays at its server for that long.
	maxSoundSilence = 1500 * time.Millisecond
	// maxTimerDelay is the delay of a check above which the router itself is taken to have stood still. Events may have
	// arrived meanwhile, so that the check is repeated after recheckDelay.
	maxTimerDelay = 50 * time.Millisecond
	recheckDelay  = 200 * time.Millisecond
	// moveInterval is the time between two attempts to move a stream.
	moveInterval = 100 * time.Millisecond
)

var (
	errStalled = errors.New("dispatch: no complete event within the stall timeout")
	errMoved   = errors.New("dispatch: no complete event, another server continues the stream")
)

type (
	// selection is a server that was picked for an attempt.
	selection struct {
		server *Server
		choice *routing.Choice
		permit permit
		trial  bool // Whether the attempt is sent only to learn whether the request's content crashes servers.
	}

	// stallWatch closes the body of a stream without a complete event: after the time for which a sound server may be
	// silent if another server can continue the stream, and else after the caller has given it up.
	stallWatch struct {
		body io.Closer

		mu     sync.Mutex
		timer  *time.Timer
		wait   int       // Number of the current wait for an event; a check of an earlier one has no effect.
		begin  time.Time // Start of the wait.
		due    time.Time // Time of the next check.
		late   bool      // Whether a check of this wait was late.
		call   call      // Copy of the call at the start of the wait.
		err    error     // Why the body was closed; nil if it was not.
		target *selection
	}
)

// watchStall starts the watch of a stream that waits for its first event.
func (c *call) watchStall(ctx context.Context, body io.Closer) *stallWatch {
	w := &stallWatch{body: body}
	w.startWait(ctx, c)
	return w
}

// startWait starts a wait for an event.
func (w *stallWatch) startWait(ctx context.Context, c *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wait++
	w.begin = time.Now()
	w.late = false
	w.call = *c
	number := w.wait
	delay := c.firstStallCheck()
	w.due = w.begin.Add(delay)
	w.timer = time.AfterFunc(delay, func() { w.check(ctx, number) })
}

// endWait ends the wait for an event. It returns an error if the body was closed meanwhile.
func (w *stallWatch) endWait() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wait++
	w.timer.Stop()
	return w.err
}

// check closes the body if the caller has given the stream up or another server can continue it.
func (w *stallWatch) check(ctx context.Context, number int) {
	w.mu.Lock()
	if w.wait != number {
		w.mu.Unlock()
		return
	}
	if !w.late && time.Since(w.due) > maxTimerDelay {
		w.late = true
		w.checkAfter(recheckDelay)
		w.mu.Unlock()
		return
	}
	current := w.call
	remaining := time.Until(w.begin.Add(current.stallTimeout()))
	w.mu.Unlock()
	var target *selection
	if remaining > 0 && current.movable() {
		target = current.reserveNext(ctx, current.Pool.SilentServers()) // May ask another router for a permit.
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case target != nil && (w.wait != number || !current.Repeats.Allow(current.service)):
		target.choice.Done(routing.Cancelled{})
	case target != nil:
		w.close(errMoved)
		w.target = target
	case w.wait == number && remaining <= 0:
		w.close(errStalled)
	}
	if w.wait == number && w.err == nil {
		w.checkAfter(min(moveInterval, max(remaining, 0)))
	}
}

// checkAfter schedules the next check.
func (w *stallWatch) checkAfter(delay time.Duration) {
	w.due = time.Now().Add(delay)
	w.timer.Reset(delay)
}

// close interrupts the read of the stream.
func (w *stallWatch) close(reason error) {
	w.err = reason
	_ = w.body.Close()
}

// stallTimeout returns how long a stream may go without a complete event. Its caller gives it up shortly before.
func (c *call) stallTimeout() time.Duration {
	return stallMargin + max(minStallTimeout, stallTimeoutGoals*c.route.Goal, stallTimeoutGaps*c.route.Gap)
}

// firstStallCheck returns the time without a complete event until the stream is moved or ended. A stream that can be
// resumed moves early enough that another server takes over while the caller still waits.
func (c *call) firstStallCheck() time.Duration {
	timeout := c.stallTimeout()
	if c.movable() {
		return max(maxSoundSilence, (timeout-stallMargin)/2)
	}
	return timeout
}

// movable reports whether the stream may continue at another server.
func (c *call) movable() bool {
	return c.responseStarted && c.route.Repeat == inventory.Resumable && c.resumable() && c.attemptsLeft()
}

// reserveNext picks a server for another attempt while one is in progress. It returns nil if there is none at present.
func (c *call) reserveNext(ctx context.Context, exclude []string) *selection {
	if ctx.Err() != nil || time.Until(c.deadline()) < minAttemptTimeout || !c.Repeats.Available(c.service) ||
		c.Behind != nil && c.Behind() {
		return nil
	}
	request := c.routingRequest()
	request.Exclude = append(c.exhaustedServers(), exclude...)
	server, choice, err := c.pickWithin(ctx, request, 0)
	if err != nil {
		return nil
	}
	// The check may claim the only trial of blocked content, so that it comes last.
	if c.isBlocked() {
		choice.Done(routing.Cancelled{})
		return nil
	}
	return &selection{server, choice, c.permit, c.trial}
}

// waitToContinue waits for a moment if a stream has broken off, its caller still waits, and a server could continue it that
// accepts no requests at present. Otherwise it returns false.
func (c *call) waitToContinue(ctx context.Context) bool {
	patience := (c.stallTimeout() - stallMargin) / 2 // The caller counts from the last event, which came earlier.
	if !c.responseStarted || time.Since(c.brokenAt) > patience || !c.Pool.Picker.HasCandidate(c.routingRequest()) {
		return false
	}
	return delay.Sleep(ctx, moveInterval)
}
