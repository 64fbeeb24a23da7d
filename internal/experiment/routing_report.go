package experiment

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// WriteTable writes the report as a text table.
func (r *RoutingReport) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "size\trow\tpolicy\tfirst p50\tp95\tp99 ms\tgap p50\tp95\tp99 ms\tsmall p95\turgent p95\t"+
		"requests\trefused\tfalse\tbroken\tretries\thits\tlost\t>3s\tB/s")
	for _, c := range r.Cells {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.0f%%\t%d\t%d\t%.0f\n",
			c.Size, c.Row, c.Policy, routingMilliseconds(c.First.P50), routingMilliseconds(c.First.P95), routingMilliseconds(c.First.P99),
			routingMilliseconds(c.Gap.P50), routingMilliseconds(c.Gap.P95), routingMilliseconds(c.Gap.P99),
			routingMilliseconds(c.Small.P95), routingMilliseconds(c.Urgent.P95),
			c.Requests, c.Refused, c.False, c.Broken, c.Retries, 100*c.Hits, c.Lost, c.Lost3, c.Control)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, finding := range r.Findings() {
		if _, err := fmt.Fprintln(out, finding); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "seed %d, %v of wall time\n", r.Options.Seed, r.Took.Round(100*time.Millisecond))
	return err
}

// Findings returns a line for each target that the product misses and for each baseline that is better than it.
func (r *RoutingReport) Findings() []string {
	var result []string
	for i := range r.Cells {
		c := &r.Cells[i]
		if c.Policy != routingPolicyLabel(RoutingProduct{}) {
			continue
		}
		miss := func(format string, args ...any) {
			result = append(result, fmt.Sprintf("missed: %s, %s: ", c.Size, c.Row)+fmt.Sprintf(format, args...))
		}
		if c.Enough && c.First.P95 > RoutingFirstTokenTarget {
			miss("first token p95 %v exceeds the target of %v", c.First.P95, RoutingFirstTokenTarget)
		}
		if c.Enough && c.Gap.P95 > RoutingTokenGapTarget {
			miss("gap p95 %v exceeds the target of %v", c.Gap.P95, RoutingTokenGapTarget)
		}
		if c.False > 0 {
			miss("%d false refusals", c.False)
		}
		r.compareBaselines(c, miss)
	}
	return result
}

// compareBaselines reports where the product's result is worse than a baseline in the same scenario and fleet. With
// servers of uneven speed, the product's time to the first token must also be at least 1.5 times better than round
// robin's.
func (r *RoutingReport) compareBaselines(c *RoutingResult, miss func(format string, args ...any)) {
	hedged := routingPolicyLabel(RoutingProduct{Hedge: true})
	for _, other := range r.Cells {
		if other.Size != c.Size || other.Row != c.Row || other.Policy == c.Policy || other.Policy == hedged {
			continue
		}
		if c.First.P95 > other.First.P95 {
			miss("first token p95 %v is worse than that of %s, %v", c.First.P95, other.Policy, other.First.P95)
		}
		if c.Gap.P95 > other.Gap.P95 {
			miss("gap p95 %v is worse than that of %s, %v", c.Gap.P95, other.Policy, other.Gap.P95)
		}
		if other.Policy != routingPolicyLabel(RoutingRoundRobin{}) || !r.hasUnevenSpeeds(c.Row) {
			continue
		}
		if other.First.P95*2 < c.First.P95*3 {
			miss("first token p95 is only %.2f times better than round robin, the target is 1.5",
				float64(other.First.P95)/float64(c.First.P95))
		}
	}
}

// hasUnevenSpeeds reports whether the servers of the named scenario differ in speed.
func (r *RoutingReport) hasUnevenSpeeds(scenario string) bool {
	i := slices.IndexFunc(r.Options.Rows, func(other RoutingScenario) bool { return other.Name == scenario })
	return i >= 0 && r.Options.Rows[i].Spread > 1
}

// routingMilliseconds formats a duration in whole milliseconds.
func routingMilliseconds(d time.Duration) string {
	return fmt.Sprintf("%.0f", float64(d)/float64(time.Millisecond))
}

// routingPercentile95 returns the 95th percentile of the durations; there must be at least one.
func routingPercentile95(durations []time.Duration) time.Duration {
	sorted := slices.Clone(durations)
	slices.Sort(sorted)
	return sorted[len(sorted)*95/100]
}
