package command

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"citronslip/internal/wire"
)

const (
	// timeLayout is the layout of the times of attempts and steps, to the millisecond.
	timeLayout = "15:04:05.000"
)

// explainCommand returns the command that shows how the system handled a request.
func explainCommand(std *streams) *ffcli.Command {
	var options queryOptions
	flags := newFlagSet(std, "explain")
	options.outputOptions.register(flags)
	options.clientOptions.register(flags)
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "citronslip explain -address URL -credential FILE [flags] REQUEST",
		ShortHelp:  "Show how the system handled a request.",
		LongHelp: `Explain shows the rule, the budgets, every attempt and every decision of a request. REQUEST is the identity in the
response header Citronslip-Request. Routers keep only recent requests in memory.

EXAMPLES
  citronslip explain -address http://127.0.0.1:8082 -credential ~/.citronslip 6f1c9a2e/1042`,
		FlagSet: flags,
		Options: environmentOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := options.check(); err != nil {
				return err
			}
			if len(args) != 1 || args[0] == "" {
				return usageErrorf("give exactly one request identity")
			}
			return options.explain(ctx, std, args[0])
		},
	}
}

// explain fetches the explanation of a request from a router and prints it.
func (o *queryOptions) explain(ctx context.Context, std *streams, requestID string) error {
	client, ctx, cancel, err := o.client(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	explanation, err := client.Explain(ctx, requestID)
	if err != nil {
		return err
	}
	return o.write(std, explanation, func() error { return printExplanation(std, explanation) })
}

// printExplanation prints the result of the request, then its attempts and its decisions as tables.
func printExplanation(std *streams, explanation *wire.Explanation) error {
	fmt.Fprintf(std.out, "request %s of %s for %s: %s", explanation.Request, explanation.Account, explanation.Subject, explanation.Outcome)
	if explanation.Code != "" {
		fmt.Fprintf(std.out, " (code %s, run %s)", explanation.Code, dashIfEmpty(explanation.Run))
	}
	fmt.Fprintf(std.out, "\nrule %s, budgets %s, %d tokens billed, %s in %v\n", dashIfEmpty(explanation.Rule), dashIfEmpty(strings.Join(explanation.Budgets, ", ")),
		explanation.Tokens, explanation.Begin.Format(time.RFC3339), explanation.End.Sub(explanation.Begin).Round(time.Millisecond))
	table := tabwriter.NewWriter(std.out, 0, 0, 2, ' ', 0)
	if len(explanation.Attempts) > 0 {
		fmt.Fprintln(table, "\nATTEMPT\tBACKEND SERVER\tBEGIN\tEND\tRESERVED\tTOKENS\tOUTCOME\tREASON")
	}
	for _, attempt := range explanation.Attempts {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", attempt.Number, attempt.Backend, attempt.Begin.Format(timeLayout), attempt.End.Format(timeLayout),
			attempt.Reserved, attempt.Tokens, attempt.Outcome, dashIfEmpty(attempt.Reason))
	}
	if len(explanation.Steps) > 0 {
		fmt.Fprintln(table, "\nTIME\tSTEP")
	}
	for _, step := range explanation.Steps {
		fmt.Fprintf(table, "%s\t%s\n", step.Time.Format(timeLayout), step.Text)
	}
	return table.Flush()
}
