//go:build !race

package inventory_test

// budgetCount is the number of budgets that Check must handle within the limits of TestCheckAtTargetSize.
const budgetCount = 320_000
