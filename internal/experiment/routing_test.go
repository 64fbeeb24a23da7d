package experiment_test

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/experiment"
)

// Guards against a change of the routing or admission code that makes the product worse than a baseline or miss a
// target, with a small fleet.
func TestRoutingMeetsItsTargets(t *testing.T) {
	is := is.New(t)
	o := experiment.RoutingOptions{
		Seed:   1,
		Sizes:  []experiment.RoutingFleet{{Name: "6x12", Routers: 6, Servers: 12}},
		Length: 20 * time.Second,
	}
	report, err := experiment.RunRouting(t.Context(), o)
	is.NoErr(err)
	is.Equal(len(report.Cells), len(experiment.RoutingScenarios())*len(experiment.RoutingPolicies()))
	for _, finding := range report.Findings() {
		t.Error(finding)
	}
}

// Guards against a simulation whose result depends on anything but its options and seed, such as map order.
func TestRoutingIsReproducible(t *testing.T) {
	is := is.New(t)
	o := experiment.RoutingOptions{
		Seed:   7,
		Sizes:  []experiment.RoutingFleet{{Name: "3x4", Routers: 3, Servers: 4}},
		Warm:   2 * time.Second,
		Length: 5 * time.Second,
	}
	var tables [2]string
	for i := range tables {
		report, err := experiment.RunRouting(t.Context(), o)
		is.NoErr(err)
		report.Took = 0
		var out bytes.Buffer
		is.NoErr(report.WriteTable(&out))
		tables[i] = out.String()
	}
	is.True(strings.Contains(tables[0], "product"))
	is.Equal(tables[0], tables[1])
}

// BenchmarkRouting runs the whole experiment and prints its table.
func BenchmarkRouting(b *testing.B) {
	for b.Loop() {
		report, err := experiment.RunRouting(b.Context(), experiment.RoutingOptions{Seed: 1})
		if err != nil {
			b.Fatal(err)
		}
		// b.Log would truncate the table.
		if err := report.WriteTable(os.Stdout); err != nil {
			b.Fatal(err)
		}
	}
}
