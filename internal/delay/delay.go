// Package delay holds waits and repetitions that a context can end.
package delay

import (
	"context"
	"time"
)

// For waits and reports whether the context is still valid.
func For(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Repeat calls a function after each interval until the context ends.
func Repeat(ctx context.Context, interval time.Duration, call func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	repeat(ctx, ticker, call)
}

// Every calls a function at once and then after each interval until the context ends.
func Every(ctx context.Context, interval time.Duration, call func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	call()
	repeat(ctx, ticker, call)
}

func repeat(ctx context.Context, ticker *time.Ticker, call func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			call()
		}
	}
}
