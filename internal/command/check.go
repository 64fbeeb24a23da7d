package command

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"citronslip/pkg/inventory"
)

type (
	// checkResult is the JSON output of the check command.
	checkResult struct {
		Findings []inventory.Finding `json:"findings"`
	}
)

// checkCommand returns the command that checks inventory files.
func checkCommand(std *streams) *ffcli.Command {
	var options outputOptions
	flags := newFlagSet(std, "check")
	options.register(flags)
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "citronslip check [flags] PATH...",
		ShortHelp:  "Check inventory files.",
		LongHelp: `Check reads TOML files and directories as one inventory and prints every finding with its file and line, how to fix
it and the accepted range. The exit status is 2 if there are findings.

EXAMPLES
  citronslip check examples/cooperative
  citronslip check -format json inventory.toml`,
		FlagSet: flags,
		Options: environmentOptions(),
		Exec: func(_ context.Context, args []string) error {
			if err := options.check(); err != nil {
				return err
			}
			if len(args) == 0 {
				return usageErrorf("give the files or directories to check")
			}
			return check(std, &options, args)
		},
	}
}

// check prints the findings on an inventory. It returns a usage error if there are any, or if a file cannot be parsed.
func check(std *streams, options *outputOptions, paths []string) error {
	doc, err := inventory.Load(paths...)
	if err != nil {
		return usageError{err}
	}
	result := checkResult{Findings: inventory.Check(doc, inventory.RuntimeState{})}
	if result.Findings == nil {
		result.Findings = []inventory.Finding{}
	}
	err = options.write(std, result, func() error {
		printFindings(std, result.Findings)
		if len(result.Findings) > 0 {
			return nil
		}
		_, err := fmt.Fprintf(std.out, "no findings: %s\n", summary(&doc.Inventory))
		return err
	})
	if err != nil || len(result.Findings) == 0 {
		return err
	}
	return usageErrorf("%s", plural(len(result.Findings), "finding"))
}

// printFindings prints the findings to the error stream, one a line.
func printFindings(std *streams, findings []inventory.Finding) {
	for _, f := range findings {
		fmt.Fprintln(std.err, colored(std.err, red, f.String()))
	}
}

// summary returns the number of each kind of part of an inventory as text.
func summary(inv *inventory.Inventory) string {
	return fmt.Sprintf("%s, %s, %s, %s, %s, %s, %s, %s, %s",
		plural(len(inv.Places), "place"), plural(len(inv.Hosts), "host"), plural(len(inv.Services), "service"),
		plural(len(inv.Models), "model"), plural(len(inv.Backends), "backend server"), plural(len(inv.Accounts), "account"),
		plural(len(inv.Budgets), "budget"), plural(len(inv.Levels), "level"), plural(len(inv.Rules), "rule"))
}
