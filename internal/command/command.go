// Package command is the command line.
package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"citronslip/internal/operator"
)

const (
	// StatusDone says that the command did what it was asked.
	StatusDone = 0
	// StatusRefused says that the system refused.
	StatusRefused = 1
	// StatusUsage says that the command line, a setting or an input file is wrong.
	StatusUsage = 2
)

type (
	// streams are the standard streams of a command.
	streams struct {
		in  io.Reader
		out io.Writer
		err io.Writer
	}

	// usageError is an error of the command line, a setting or an input file.
	usageError struct {
		err error
	}
)

// Main runs the command line and returns the exit status.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	std := &streams{in: stdin, out: stdout, err: stderr}
	err := execute(ctx, newRootCommand(std), args)
	var usage usageError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return StatusDone
	case errors.As(err, &usage):
		fmt.Fprintf(stderr, "citronslip: %s\n", operator.Message(err))
		return StatusUsage
	default:
		fmt.Fprintf(stderr, "citronslip: %s\n", operator.Message(err))
		return StatusRefused
	}
}

// execute runs a command line. An error of its flags is a wrong use.
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

// Error returns the text of the error.
func (e usageError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e usageError) Unwrap() error { return e.err }

// newRootCommand returns the command tree.
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
		return usageError{errors.New("no such command; see citronslip -h")}
	}
	return command
}
