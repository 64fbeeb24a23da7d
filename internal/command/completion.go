package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// completionCommand returns the command that prints a completion script for bash.
func completionCommand(std *streams) *ffcli.Command {
	return &ffcli.Command{
		Name:       "completion",
		ShortUsage: "citronslip completion",
		ShortHelp:  "Print a completion script for bash.",
		LongHelp: `Completion prints a script that completes commands, flags and file names in bash.

EXAMPLES
  source <(citronslip completion)`,
		FlagSet: newFlagSet(std, "completion"),
		Exec: func(_ context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			return printCompletion(std.out, newRootCommand(std))
		},
	}
}

// printCompletion writes a bash script that completes the subcommands of the root command, their flags and file names.
func printCompletion(w io.Writer, rootCommand *ffcli.Command) error {
	var names []string
	for _, subcommand := range rootCommand.Subcommands {
		names = append(names, subcommand.Name)
	}
	fmt.Fprintf(w, `_citronslip() {
	local word=${COMP_WORDS[COMP_CWORD]} flags=
	if [ "$COMP_CWORD" -eq 1 ]; then
		COMPREPLY=($(compgen -W '%s' -- "$word"))
		return
	fi
	case ${COMP_WORDS[1]} in
`, strings.Join(names, " "))
	for _, c := range rootCommand.Subcommands {
		var flags []string
		c.FlagSet.VisitAll(func(f *flag.Flag) { flags = append(flags, "-"+f.Name) })
		fmt.Fprintf(w, "\t%s) flags='%s' ;;\n", c.Name, strings.Join(flags, " "))
	}
	_, err := fmt.Fprint(w, `	esac
	case $word in
	-*) COMPREPLY=($(compgen -W "$flags" -- "$word")) ;;
	*) COMPREPLY=($(compgen -f -- "$word")) ;;
	esac
}
complete -o filenames -F _citronslip citronslip
`)
	return err
}
