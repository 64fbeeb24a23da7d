package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// manCommand returns the command that prints the manual page.
func manCommand(std *streams) *ffcli.Command {
	return &ffcli.Command{
		Name:       "man",
		ShortUsage: "citronslip man",
		ShortHelp:  "Print the manual page.",
		LongHelp: `Man prints the manual page of all commands in roff format, with the man macros.

EXAMPLES
  citronslip man > citronslip.1`,
		FlagSet: newFlagSet(std, "man"),
		Exec: func(_ context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			return printManual(std.out, newRootCommand(std))
		},
	}
}

// printManual writes a manual page of the root command, its subcommands and their flags in roff format.
func printManual(w io.Writer, rootCommand *ffcli.Command) error {
	fmt.Fprintf(w, ".TH CITRONSLIP 1\n.SH NAME\ncitronslip \\- %s\n", escapeRoff(rootCommand.ShortHelp))
	fmt.Fprintf(w, ".SH SYNOPSIS\n.B %s\n.SH COMMANDS\n", escapeRoff(rootCommand.ShortUsage))
	for _, subcommand := range rootCommand.Subcommands {
		fmt.Fprintf(w, ".SS %s\n%s\n.PP\n.B %s\n", subcommand.Name, escapeRoff(subcommand.ShortHelp), escapeRoff(subcommand.ShortUsage))
		if subcommand.LongHelp != "" {
			fmt.Fprintf(w, ".PP\n.nf\n%s\n.fi\n", escapeRoff(subcommand.LongHelp))
		}
		subcommand.FlagSet.VisitAll(func(f *flag.Flag) {
			fmt.Fprintf(w, ".TP\n.B \\-%s\n%s", f.Name, escapeRoff(f.Usage))
			if f.DefValue != "" {
				fmt.Fprintf(w, " (default %s)", escapeRoff(f.DefValue))
			}
			fmt.Fprintln(w)
		})
	}
	_, err := fmt.Fprintf(w, `.SH ENVIRONMENT
.TP
.B CITRONSLIP_ADDRESS, CITRONSLIP_CREDENTIAL
Set the flags of these names if they are not given. Other flags have variables likewise, except those of demo and experiment.
.TP
.B NO_COLOR
Turns off colours if it is set.
.SH EXIT STATUS
.TP
.B %d
The command succeeded.
.TP
.B %d
The system refused the request, or the command failed.
.TP
.B %d
The command line, a setting or an input file is invalid.
`, ExitSuccess, ExitFailure, ExitUsage)
	return err
}

// escapeRoff escapes text for roff. A period or an apostrophe at the start of a line would start a roff request.
func escapeRoff(text string) string {
	text = strings.NewReplacer(`\`, `\e`, "-", `\-`).Replace(text)
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, ".") || strings.HasPrefix(line, "'") {
			lines[i] = `\&` + line
		}
	}
	return strings.Join(lines, "\n")
}
