package memory_test

import (
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/memory"
)

// Guards against costly requests that take the memory of ordinary ones, and against a share that a single costly request
// does not exceed although nothing else needs the memory.
func TestCostlyRequestsLeaveMemoryForOrdinaryOnes(t *testing.T) {
	const (
		costlyBytes   = 500 << 10
		ordinaryBytes = 100 << 10
		ordinary      = budgetBytes / 5 / ordinaryBytes
	)
	is := is.New(t)
	budget := &memory.Budget{Limit: budgetBytes}
	costly := 0
	for budget.Reserve(costlyBytes) {
		costly++
	}
	is.True(costly > 1)
	for range ordinary {
		is.True(budget.Reserve(ordinaryBytes))
	}
	for range ordinary {
		budget.Release(ordinaryBytes)
	}
	for range costly {
		budget.Release(costlyBytes)
	}
	is.True(budget.Reserve(budgetBytes - ordinaryBytes))
	budget.Release(budgetBytes - ordinaryBytes)
	is.Equal(budget.Used(), int64(0))
	is.Equal(budget.Costly(), int64(0))
}
