package memory_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/memory"
)

// Guards against a wait for memory that spins: a try that fails must not wake the call that made it. Each try allocates.
func TestWaitForMemoryDoesNotSpin(t *testing.T) {
	const maxAllocations = 50 // The timer and the channel of a few tries.
	is := is.New(t)
	budget := &memory.Budget{Limit: 100}
	is.True(budget.Reserve(60))
	allocations := testing.AllocsPerRun(1, func() {
		if budget.Wait(t.Context(), 50, 30*time.Millisecond) {
			t.Error("more was reserved than the limit")
		}
	})
	t.Logf("%v allocations", allocations)
	is.True(allocations <= maxAllocations)
	is.Equal(budget.Used(), int64(60))
}
