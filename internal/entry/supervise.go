package entry

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"citronslip/internal/delay"
	"citronslip/internal/event"
)

const (
	// minRestartBackoff and maxRestartBackoff bound the wait before a failed controller is restarted.
	minRestartBackoff = 100 * time.Millisecond
	maxRestartBackoff = 5 * time.Second
	// backoffResetTime is the time that a controller has to run for its earlier failures to no longer count.
	backoffResetTime = time.Minute
)

type (
	// controller is a background task that runs until the context ends.
	controller struct {
		name string
		run  func(ctx context.Context) error
	}
)

// supervise restarts a controller after a panic, so that one malformed row or message does not end the requests in
// flight. The backoff grows with each panic in a row. Locks of the data that controllers share are released by deferred
// calls, also in a panic.
func (r *Router) supervise(ctx context.Context, c controller) error {
	failures := r.scope.Tagged(map[string]string{"controller": c.name}).Counter("controller_failures")
	for backoff := minRestartBackoff; ; backoff = min(2*backoff, maxRestartBackoff) {
		start := time.Now()
		cause, err := runOnce(ctx, c)
		if cause == "" {
			return err
		}
		if time.Since(start) > backoffResetTime {
			backoff = minRestartBackoff
		}
		failures.Inc(1)
		event.ControllerFailed.Log(r.Logger).Str("controller", c.name).Str("cause", cause).Dur("wait", backoff).Send()
		if !delay.Sleep(ctx, backoff) {
			return nil
		}
	}
}

// runOnce runs a controller once and returns the value and the stack of a panic as the cause, if there was one.
func runOnce(ctx context.Context, c controller) (cause string, err error) {
	defer func() {
		if value := recover(); value != nil {
			cause = fmt.Sprintf("%v\n%s", value, debug.Stack())
		}
	}()
	return "", c.run(ctx)
}
