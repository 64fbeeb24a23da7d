// Package delay waits and calls functions periodically until a context is done.
package delay

import (
	"context"
	"time"
)

// Sleep waits until the duration has passed or the context is done. It reports whether the full duration has passed.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Repeat calls the function after each interval and returns when the context is done. The first call is made after one
// interval. Intervals that pass during a slow call are not made up for.
func Repeat(ctx context.Context, interval time.Duration, function func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	runOnTicks(ctx, ticker, function)
}

// RepeatNow calls the function immediately and then like Repeat after each interval until the context is done.
func RepeatNow(ctx context.Context, interval time.Duration, function func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	function()
	runOnTicks(ctx, ticker, function)
}

// runOnTicks calls the function on each tick until the context is done.
func runOnTicks(ctx context.Context, ticker *time.Ticker, function func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			function()
		}
	}
}
