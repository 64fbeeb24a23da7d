package burn

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"citronslip/internal/wire"
)

// WriteText writes a report as plain-text tables, and returns the error of the writer.
func WriteText(w io.Writer, report *wire.Burn) error {
	fmt.Fprintf(w, "Burn at %s\n", report.Time.Format(time.RFC3339))
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nLEVEL\tOF\tGOAL\t5M\t1H\t6H\t3D\tBAD IN 3D")
	for _, l := range report.Levels {
		fmt.Fprintf(table, "%s\t%s\t%g", l.Name, scopeLabel(l), l.Goal)
		badIn3Days := 0
		for _, window := range l.Windows {
			fmt.Fprintf(table, "\t%.2f", window.Rate)
			badIn3Days = window.Bad
		}
		fmt.Fprintf(table, "\t%d\n", badIn3Days)
	}
	fmt.Fprintln(table, "\nBUDGET\tTOTAL\tSPENT\tUSED\tA DAY\tENDS\tOVER")
	for _, b := range report.Budgets {
		end := b.End
		if end == "" {
			end = "-"
		}
		fmt.Fprintf(table, "%s/%s\t%d\t%d\t%.1f%%\t%d\t%s\t%d\n", b.Account, b.Budget, b.Total, b.Spent, 100*spentShare(b), b.Day, end, b.Over)
	}
	fmt.Fprintln(table, "\nACCOUNT\tWEIGHS\tREQUESTS\tOVERSPEND\tFALSE REFUSALS")
	for _, a := range report.Accounts {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\n", a.Account, a.Weigh, a.Requests, a.Over, a.Refusals)
	}
	return table.Flush()
}

// scopeLabel returns the service, model and account whose requests a level measures.
func scopeLabel(l wire.LevelBurn) string {
	var parts []string
	for _, part := range []string{l.Service, l.Model, l.Account} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	if len(parts) == 0 {
		return "all requests"
	}
	return strings.Join(parts, ", ")
}

// spentShare returns the share of a budget that is spent, 1 for an empty budget.
func spentShare(b wire.BudgetBurn) float64 {
	if b.Total <= 0 {
		return 1
	}
	return float64(b.Spent) / float64(b.Total)
}
