package command

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"citronslip/pkg/inventory"
)

type (
	// diffResult is the JSON output of the diff command.
	diffResult struct {
		Changes []inventory.Change `json:"changes"`
	}
)

// diffCommand returns the command that compares two inventories.
func diffCommand(std *streams) *ffcli.Command {
	var options outputOptions
	flags := newFlagSet(std, "diff")
	options.register(flags)
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "citronslip diff [flags] OLD NEW",
		ShortHelp:  "Show the differences between two inventories.",
		LongHelp: `Diff compares two inventories, each a TOML file or a directory of them. Both must pass the check. A line starts with
+ for a part that was added, - for one that was removed, ~ for one that was changed, and ^ for rules or budgets whose
order was changed.

EXAMPLES
  citronslip diff old.toml new.toml
  citronslip diff -format json old/ new/`,
		FlagSet: flags,
		Options: environmentOptions(),
		Exec: func(_ context.Context, args []string) error {
			if err := options.check(); err != nil {
				return err
			}
			if len(args) != 2 {
				return usageErrorf("give exactly two inventories")
			}
			return diff(std, &options, args[0], args[1])
		},
	}
}

// diff prints the changes from one inventory to another. It returns a usage error if one of them has findings.
func diff(std *streams, options *outputOptions, oldPath, newPath string) error {
	oldDocument, err := loadInventory(std, oldPath)
	if err != nil {
		return err
	}
	newDocument, err := loadInventory(std, newPath)
	if err != nil {
		return err
	}
	changes := inventory.Diff(&oldDocument.Inventory, &newDocument.Inventory)
	if changes == nil {
		changes = []inventory.Change{}
	}
	return options.write(std, diffResult{Changes: changes}, func() error {
		printChanges(std.out, changes)
		return nil
	})
}

// printChanges prints one change a line: additions in green, removals in red and others in yellow.
func printChanges(w io.Writer, changes []inventory.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(w, "no difference")
	}
	for _, c := range changes {
		switch c.Op {
		case inventory.OpAdd:
			fmt.Fprintln(w, colored(w, green, c.String()))
		case inventory.OpRemove:
			fmt.Fprintln(w, colored(w, red, c.String()))
		default:
			fmt.Fprintln(w, colored(w, yellow, c.String()))
		}
	}
}
