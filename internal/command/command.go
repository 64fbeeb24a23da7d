// Package command implements the command line of citronslip.
package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"citronslip/internal/operator"
)

const (
	// ExitSuccess is the exit status of a command that succeeded, also of one that printed its help.
	ExitSuccess = 0
	// ExitFailure is the exit status when the system refused the request or the command failed otherwise.
	ExitFailure = 1
	// ExitUsage is the exit status when the command line, a setting or an input file is invalid.
	ExitUsage = 2
)

type (
	// streams are the standard streams of a command.
	streams struct {
		in  io.Reader
		out io.Writer
		err io.Writer
	}

	// usageError wraps an error in the command line, a setting or an input file; the exit status is ExitUsage.
	usageError struct {
		err error
	}
)

// Main runs the command that the arguments name and returns the exit status. The arguments do not include the program
// name. SIGINT and SIGTERM cancel the command's context; a second SIGINT ends the process. Errors are printed to stderr.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	ctx, stop := notifyStop()
	defer stop()
	std := &streams{in: stdin, out: stdout, err: stderr}
	err := execute(ctx, newRootCommand(std), args)
	var usage usageError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitSuccess
	case errors.As(err, &usage):
		fmt.Fprintf(stderr, "citronslip: %s\n", operator.ErrorText(err))
		return ExitUsage
	default:
		fmt.Fprintf(stderr, "citronslip: %s\n", operator.ErrorText(err))
		return ExitFailure
	}
}

// execute parses the arguments and runs the selected command. Errors in the flags are returned as a usageError.
func execute(ctx context.Context, command *ffcli.Command, args []string) error {
	err := command.Parse(args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		return usageError{err}
	}
	if err != nil {
		return err
	}
	return command.Run(ctx)
}

// Error returns the message of the wrapped error.
func (e usageError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e usageError) Unwrap() error { return e.err }

// newRootCommand returns the root command with all subcommands.
func newRootCommand(std *streams) *ffcli.Command {
	flags := flag.NewFlagSet("citronslip", flag.ContinueOnError)
	flags.SetOutput(std.err)
	command := &ffcli.Command{
		Name:       "citronslip",
		ShortUsage: "citronslip COMMAND [flags] [arguments]",
		ShortHelp:  "A router fleet for prepaid token budgets.",
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			routeCommand(std),
			demoCommand(std),
			checkCommand(std),
			diffCommand(std),
			applyCommand(std),
			historyCommand(std),
			statusCommand(std),
			explainCommand(std),
			burnCommand(std),
			loadCommand(std),
			eventsCommand(std),
			completionCommand(std),
			manCommand(std),
			experimentCommand(std),
			versionCommand(std),
		},
	}
	command.Exec = func(context.Context, []string) error {
		return usageError{errors.New("missing or unknown command; see citronslip -h")}
	}
	return command
}
