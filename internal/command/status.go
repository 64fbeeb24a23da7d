package command

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"citronslip/internal/wire"
)

type (
	// queryOptions holds the flags of commands that query one router and print its answer.
	queryOptions struct {
		outputOptions
		clientOptions
	}
)

// statusCommand returns the command that shows the state of the fleet.
func statusCommand(std *streams) *ffcli.Command {
	var options queryOptions
	flags := newFlagSet(std, "status")
	options.outputOptions.register(flags)
	options.clientOptions.register(flags)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "citronslip status -address URL -credential FILE [flags]",
		ShortHelp:  "Show the state of the fleet as seen by one router.",
		LongHelp: `Status shows the routers with their configuration versions, the backend servers with their load, the differences
between what is declared and what is running with their reasons, and the budgets with the fewest tokens left.

EXAMPLES
  citronslip status -address http://127.0.0.1:8082 -credential ~/.citronslip
  citronslip status -address http://127.0.0.1:8082 -credential ~/.citronslip -format json`,
		FlagSet: flags,
		Options: environmentOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			if err := options.check(); err != nil {
				return err
			}
			return options.status(ctx, std)
		},
	}
}

// status fetches the state of the fleet from a router and prints it.
func (o *queryOptions) status(ctx context.Context, std *streams) error {
	client, ctx, cancel, err := o.client(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	return o.write(std, status, func() error { return printStatus(std, status) })
}

// printStatus prints the router's own state, then routers, backend servers, differences and budgets as tables.
func printStatus(std *streams, status *wire.FleetStatus) error {
	ready := colored(std.out, green, "ready")
	if !status.Ready {
		ready = colored(std.out, red, "not ready")
	}
	fmt.Fprintf(std.out, "router %s is %s, version %d (%.12s), table %s\n", status.Router, ready, status.Version, status.Digest, dashIfEmpty(status.Table))
	table := tabwriter.NewWriter(std.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nROUTER\tHOST\tPLACE\tSTATE\tVERSION")
	for _, r := range status.Routers {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\n", r.Address, dashIfEmpty(r.Host), dashIfEmpty(r.Place), r.State, r.Version)
	}
	fmt.Fprintln(table, "\nBACKEND SERVER\tSERVICE\tPLACE\tSTATE\tCIRCUIT\tQUEUE\tRUNNING\tMODELS")
	for _, b := range status.Backends {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", b.Name, b.Service, b.Place, b.State, dashIfEmpty(b.Circuit), b.Queue, b.Running, dashIfEmpty(strings.Join(b.Models, ",")))
	}
	if len(status.Differences) > 0 {
		fmt.Fprintln(table, "\nDIFFERENCE\tDECLARED\tRUNNING\tREASON")
	}
	for _, d := range status.Differences {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", d.Name, dashIfEmpty(d.Declared), dashIfEmpty(d.Running), dashIfEmpty(d.Reason))
	}
	fmt.Fprintln(table, "\nBUDGET\tTOTAL\tGRANTED\tSPENT")
	for _, b := range status.Budgets {
		fmt.Fprintf(table, "%s/%s\t%d\t%d\t%d\n", b.Account, b.Budget, b.Total, b.Granted, b.Spent)
	}
	return table.Flush()
}
