package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteBudgetTable writes the results as a text table.
func WriteBudgetTable(out io.Writer, results []BudgetResult) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "row\tuse\tpolicy\trouters\tbudgets\trequests\trefused\tfalse\tfalse%\toverspend\tstranded%\twrites/s\treads/s")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%d\t%.3f\t%.2f\t%.2f\n", r.Scenario, r.DemandLevel, r.Policy, r.Routers, r.Budgets,
			r.Requests, r.Refused, r.FalseRefusals, 100*float64(r.FalseRefusals)/float64(max(1, r.Requests)), r.Overspend, 100*r.StrandedFraction,
			r.WritesPerSecond, r.ReadsPerSecond)
	}
	return w.Flush()
}
