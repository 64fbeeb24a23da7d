//go:build race

package inventory_test

// budgetCount is a tenth of the target size, since the race detector slows the check down about tenfold.
const budgetCount = 32_000
