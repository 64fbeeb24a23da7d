package command

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"citronslip/internal/event"
)

type (
	// eventResult is one log event in the JSON output of the events command.
	eventResult struct {
		Event  int    `json:"event"`
		Level  string `json:"level"`
		Text   string `json:"text"`
		Action string `json:"action"`
	}
)

// eventsCommand returns the command that prints the catalogue of log events.
func eventsCommand(std *streams) *ffcli.Command {
	var options outputOptions
	flags := newFlagSet(std, "events")
	options.register(flags)
	return &ffcli.Command{
		Name:       "events",
		ShortUsage: "citronslip events [flags]",
		ShortHelp:  "Print the catalogue of log events.",
		LongHelp: `Events prints all numbered log events with their levels and what an operator should do, as the Markdown page
docs/EVENTS.md.

EXAMPLES
  citronslip events > docs/EVENTS.md
  citronslip events -format json`,
		FlagSet: flags,
		Options: environmentOptions(),
		Exec: func(_ context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			if err := options.check(); err != nil {
				return err
			}
			var events []eventResult
			for _, e := range event.Catalogue() {
				events = append(events, eventResult{Event: e.Number, Level: e.Level.String(), Text: e.Text, Action: e.Action})
			}
			return options.write(std, events, func() error { return printEvents(std.out, events) })
		},
	}
}

// printEvents writes the events as a Markdown page with one table.
func printEvents(w io.Writer, events []eventResult) error {
	fmt.Fprint(w, "# Log events\n\nWritten by `citronslip events`. The field `event` of a log line holds the number.\n\n")
	fmt.Fprint(w, "| event | level | message | what to do |\n|---|---|---|---|\n")
	for _, e := range events {
		if _, err := fmt.Fprintf(w, "| %d | %s | %s | %s |\n", e.Event, e.Level, e.Text, e.Action); err != nil {
			return err
		}
	}
	return nil
}
