// Package experiment compares citronslip's routing and budget policies with baselines. It runs the production packages
// in a discrete-event simulation of a fleet; the same seed gives the same result.
package experiment

import (
	"context"
	"runtime"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
)

const (
	// RoutingFirstTokenTarget is the target for the 95th percentile of the time to the first token.
	RoutingFirstTokenTarget = 720 * time.Millisecond
	// RoutingTokenGapTarget is the target for the 95th percentile of the time between tokens.
	RoutingTokenGapTarget = 73 * time.Millisecond
)

type (
	// RoutingOptions holds the settings of the routing experiment.
	RoutingOptions struct {
		Seed     uint64            // Seed of the workload and of the policies' random choices.
		Sizes    []RoutingFleet    // Fleets to simulate; RoutingFleets if empty.
		Rows     []RoutingScenario // Scenarios to simulate; RoutingScenarios if empty.
		Policies []RoutingPolicy   // Policies to compare; RoutingPolicies if empty.
		Warm     time.Duration     // Simulated warm-up time before measuring starts; 10 s if zero.
		Length   time.Duration     // Simulated time that is measured; 30 s if zero.
	}

	// RoutingFleet is the size of a fleet.
	RoutingFleet struct {
		Name    string
		Routers int
		Servers int
		Length  time.Duration // Upper limit of the measured time for this fleet; no limit if zero.
	}

	// RoutingReport is the result of the routing experiment.
	RoutingReport struct {
		Options RoutingOptions
		Cells   []RoutingResult // In the order of the options' sizes, rows and policies.
		Took    time.Duration   // Wall time of the experiment.
	}

	// RoutingResult is the result of one policy in one scenario with one fleet. Counts and latencies cover the requests
	// that arrived after the warm-up, except where the comment says otherwise.
	RoutingResult struct {
		Size     string // Name of the fleet.
		Row      string // Name of the scenario.
		Policy   string // Label of the policy.
		Enough   bool   // Whether the capacity suffices for all requests, so that the latency targets apply.
		Requests int
		First    RoutingLatency // Time to the first token.
		Gap      RoutingLatency // Time between tokens.
		Urgent   RoutingLatency // Time to the first token of requests with priority 1.
		Small    RoutingLatency // Time to the first token of all accounts but the bursting one.
		Refused  int            // Requests refused, or whose first token came after their deadline.
		False    int            // Of the refused requests, those for which there was capacity.
		Broken   int            // Streams that broke off and were not resumed by a retry.
		Retries  int            // Retries and hedged attempts, also during the warm-up.
		Hits     float64        // Fraction of the shared-prefix tokens that were found in a prefix cache.
		Lost     int            // Attempts sent to a leaving or dead server, also during the warm-up.
		Lost3    int            // Of the lost attempts, those that arrived more than 3 s after the server left or died.
		Control  float64        // Bytes of load reports and polls per router and second of measured time.
		// Largest relative deviation of a server's share of the output tokens from its share of the speed.
		Shares float64
	}

	// RoutingLatency holds the percentiles of a latency.
	RoutingLatency struct {
		P50 time.Duration
		P95 time.Duration
		P99 time.Duration
	}
)

// RoutingFleets returns the default fleets: those of the two users of citronslip and one of the target size.
func RoutingFleets() []RoutingFleet {
	return []RoutingFleet{
		{Name: "6x12", Routers: 6, Servers: 12},
		{Name: "6x18", Routers: 6, Servers: 18},
		{Name: "400x640", Routers: 400, Servers: 640, Length: 15 * time.Second},
	}
}

// RunRouting simulates every policy in every scenario with every fleet. The same seed gives the same report apart from
// Took. It returns the error of ctx if ctx is cancelled first.
func RunRouting(ctx context.Context, o RoutingOptions) (*RoutingReport, error) {
	o = o.withDefaults()
	start := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	results := make([]RoutingResult, len(o.Sizes)*len(o.Rows)*len(o.Policies))
	// The last fleet is the largest by default and goes first, so that the longest simulations do not run alone at the
	// end.
	for sizeIndex := len(o.Sizes) - 1; sizeIndex >= 0; sizeIndex-- {
		for scenarioIndex, scenario := range o.Rows {
			for policyIndex, policy := range o.Policies {
				size := o.Sizes[sizeIndex]
				index := (sizeIndex*len(o.Rows)+scenarioIndex)*len(o.Policies) + policyIndex
				group.Go(func() error {
					if err := ctx.Err(); err != nil {
						return trace.Wrap(err)
					}
					results[index] = newRoutingSim(&o, size, scenario, policy).run()
					return nil
				})
			}
		}
	}
	if err := group.Wait(); err != nil {
		return nil, trace.Wrap(err)
	}
	return &RoutingReport{Options: o, Cells: results, Took: time.Since(start)}, nil
}

// withDefaults returns the options with unset fields replaced by the defaults.
func (o RoutingOptions) withDefaults() RoutingOptions {
	if len(o.Sizes) == 0 {
		o.Sizes = RoutingFleets()
	}
	if len(o.Rows) == 0 {
		o.Rows = RoutingScenarios()
	}
	if len(o.Policies) == 0 {
		o.Policies = RoutingPolicies()
	}
	if o.Warm == 0 {
		o.Warm = 10 * time.Second
	}
	if o.Length == 0 {
		o.Length = 30 * time.Second
	}
	return o
}
