package harness

import (
	"testing"
	"time"
)

const (
	// pollInterval is the time between two checks of a condition.
	pollInterval = 5 * time.Millisecond
)

// Eventually waits until the condition holds. The test fails with the description if it does not hold within the
// timeout.
func Eventually(t testing.TB, timeout time.Duration, description string, condition func() bool) {
	t.Helper()
	deadline := time.After(timeout)
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !condition() {
		select {
		case <-deadline:
			t.Fatalf("%s: condition does not hold after %v", description, timeout)
		case <-tick.C:
		}
	}
}
