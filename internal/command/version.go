package command

import (
	"context"
	"flag"
	"fmt"
	"runtime"

	"github.com/peterbourgon/ff/v3/ffcli"
)

var (
	// Version is the release version, set with the linker flag -X.
	Version = "development"
)

// versionCommand returns the command that prints the versions of citronslip and of Go.
func versionCommand(std *streams) *ffcli.Command {
	flags := flag.NewFlagSet("version", flag.ContinueOnError)
	flags.SetOutput(std.err)
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "citronslip version",
		ShortHelp:  "Print the version.",
		FlagSet:    flags,
		Exec: func(context.Context, []string) error {
			_, err := fmt.Fprintf(std.out, "citronslip %s %s\n", Version, runtime.Version())
			return err
		},
	}
}
