package harness

import (
	"testing"
	"time"
)

const (
	// poll is the time between two looks at a condition.
	poll = 5 * time.Millisecond
)

// Within waits until a condition holds, which it must in the time given.
func Within(t testing.TB, most time.Duration, what string, holds func() bool) {
	t.Helper()
	limit := time.After(most)
	tick := time.NewTicker(poll)
	defer tick.Stop()
	for !holds() {
		select {
		case <-limit:
			t.Fatalf("%s: not within %v", what, most)
		case <-tick.C:
		}
	}
}
