package command

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

type (
	// historyOptions holds the flags of the history command.
	historyOptions struct {
		outputOptions
		clientOptions
		limit int // Maximum number of versions to list.
	}
)

// historyCommand returns the command that lists configuration versions and shows their changes.
func historyCommand(std *streams) *ffcli.Command {
	var options historyOptions
	flags := newFlagSet(std, "history")
	options.outputOptions.register(flags)
	options.clientOptions.register(flags)
	flags.IntVar(&options.limit, "limit", 20, "maximum number of versions to list")
	return &ffcli.Command{
		Name:       "history",
		ShortUsage: "citronslip history -address URL -credential FILE [flags] [N]",
		ShortHelp:  "List configuration versions, or show the changes of one version.",
		LongHelp: `History lists the newest configuration versions with their authors. With a version number N it shows
the changes that this version made.

EXAMPLES
  citronslip history -address http://127.0.0.1:8082 -credential ~/.citronslip
  citronslip history -address http://127.0.0.1:8082 -credential ~/.citronslip 7`,
		FlagSet: flags,
		Options: environmentOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := options.check(); err != nil {
				return err
			}
			switch len(args) {
			case 0:
				return options.list(ctx, std)
			case 1:
				return options.showVersion(ctx, std, args[0])
			}
			return usageErrorf("give at most one version")
		},
	}
}

// list prints the newest versions.
func (o *historyOptions) list(ctx context.Context, std *streams) error {
	client, ctx, cancel, err := o.client(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	versions, err := client.History(ctx, o.limit)
	if err != nil {
		return err
	}
	return o.write(std, wire.ConfigHistory{Versions: versions}, func() error {
		table := tabwriter.NewWriter(std.out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "VERSION\tTIME\tAUTHOR\tCHANGE\tDIGEST")
		for _, v := range versions {
			fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%.12s\n", v.Number, v.Time.Format(time.RFC3339), dashIfEmpty(v.Author), v.Change, v.Digest)
		}
		return table.Flush()
	})
}

// showVersion prints the changes that a version made to its predecessor; version 1 is compared with an empty inventory.
func (o *historyOptions) showVersion(ctx context.Context, std *streams, argument string) error {
	number, err := strconv.Atoi(argument)
	if err != nil || number < 1 {
		return usageErrorf("the version is %q; accepted are numbers from 1", argument)
	}
	client, ctx, cancel, err := o.client(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	current, gotNumber, err := client.Config(ctx, number)
	if err != nil {
		return err
	}
	if gotNumber != number {
		return errors.New("the router returned a different version than the requested one")
	}
	previous := &inventory.Inventory{}
	if number > 1 {
		previous, _, err = client.Config(ctx, number-1)
		if err != nil {
			return err
		}
	}
	changes := inventory.Diff(previous, current)
	return o.write(std, diffResult{Changes: changes}, func() error {
		printChanges(std.out, changes)
		return nil
	})
}
