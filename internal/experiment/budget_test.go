package experiment_test

import (
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/experiment"
)

// Guards against a policy change by which a partition causes overspend, or more false refusals than the target of 0.5%
// or than a baseline, and against an experiment whose result depends on anything but its seed.
func TestBudgetPartition(t *testing.T) {
	is := is.New(t)
	b := experiment.BudgetExperiment{Seed: 3, Size: experiment.SizeSmall, Row: "partition", Use: "tight"}
	results, err := b.Run(t.Context())
	is.NoErr(err)
	again, err := b.Run(t.Context())
	is.NoErr(err)
	is.Equal(results, again)
	product := results[0]
	is.Equal(product.Policy, "product")
	is.True(float64(product.FalseRefusals) < 0.005*float64(product.Requests))
	is.True(product.WritesPerSecond < 20)
	for _, baseline := range results[1:] {
		is.True(product.FalseRefusals <= baseline.FalseRefusals)
		is.Equal(baseline.Overspend, product.Overspend)
	}
	is.Equal(int64(product.Overspend), int64(0))
}
