package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// manCommand prints the manual page.
func manCommand(std *streams) *ffcli.Command {
	return &ffcli.Command{
		Name:       "man",
		ShortUsage: "citronslip man",
		ShortHelp:  "Print the manual page.",
		LongHelp: `Man prints the manual page, made from the command tree, in the man macros of roff.

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
Stand in for the flags of these names; other flags have variables likewise.
.TP
.B NO_COLOR
Turns colours off.
.SH EXIT STATUS
.TP
.B %d
Done.
.TP
.B %d
Refused by the system.
.TP
.B %d
Wrong use: the command line, a setting or an input file.
`, StatusDone, StatusRefused, StatusUsage)
	return err
}

// escapeRoff escapes text. A point or an apostrophe at the start of a line would be read as a request.
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
