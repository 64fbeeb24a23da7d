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
	// leastRestart and mostRestart bound the wait before a failed controller runs again.
	leastRestart = 100 * time.Millisecond
	mostRestart  = 5 * time.Second
	// calmTime is how long a controller runs until its earlier failures no longer count.
	calmTime = time.Minute
)

type (
	// controller runs beside the requests until the context ends.
	controller struct {
		name string
		run  func(ctx context.Context) error
	}
)

// guarded runs a controller again after a panic, so that one malformed row or message does not end the requests in flight.
// The waits grow while it fails again and again. What the controllers share is unlocked by deferred calls.
func (r *Router) guarded(ctx context.Context, c controller) error {
	failures := r.scope.Tagged(map[string]string{"controller": c.name}).Counter("controller_failures")
	for wait := leastRestart; ; wait = min(2*wait, mostRestart) {
		begin := time.Now()
		cause, err := runOnce(ctx, c)
		if cause == "" {
			return err
		}
		if time.Since(begin) > calmTime {
			wait = leastRestart
		}
		failures.Inc(1)
		event.ControllerFailed.Log(r.Logger).Str("controller", c.name).Str("cause", cause).Dur("wait", wait).Send()
		if !delay.For(ctx, wait) {
			return nil
		}
	}
}

// runOnce runs a controller once and returns the cause of a panic, if it ended in one.
func runOnce(ctx context.Context, c controller) (cause string, err error) {
	defer func() {
		if value := recover(); value != nil {
			cause = fmt.Sprintf("%v\n%s", value, debug.Stack())
		}
	}()
	return "", c.run(ctx)
}
