package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"citronslip/internal/event"
	"citronslip/internal/router"
	"citronslip/platform"
)

const (
	// logLines bounds the lines that wait for a slow reader of the log; further ones are dropped and counted.
	logLines = 4096

	routeHelp = `Runs one router until it is told to stop by SIGINT or SIGTERM. A second signal ends it at once.

Settings come from flags, else from the environment as CITRONSLIP_ and the name in capitals, else from the TOML file
named by -config.

Where the users' platform names its settings file in the environment, the router runs there and all other settings are
unused.

Example:
  citronslip route -config router.toml`
)

// routeCommand runs a router.
func routeCommand(std *streams) *ffcli.Command {
	if path := platform.SettingsPath(); path != "" {
		return platformCommand(std, path)
	}
	flags := flag.NewFlagSet("route", flag.ContinueOnError)
	flags.SetOutput(std.err)
	var settings router.Settings
	settings.Register(flags)
	file := newSettingsFile(flags)
	return &ffcli.Command{
		Name:       "route",
		ShortUsage: "citronslip route [-config FILE] [flags]",
		ShortHelp:  "Run a router.",
		LongHelp:   routeHelp,
		FlagSet:    flags,
		Options:    file.options(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError{fmt.Errorf("route takes no arguments, but was given %q", args)}
			}
			if err := checkSettings(file, &settings); err != nil {
				return usageError{err}
			}
			return runRouter(ctx, std, settings)
		},
	}
}

// platformCommand runs a router with the settings of the users' platform; there are no flags.
func platformCommand(std *streams, path string) *ffcli.Command {
	return &ffcli.Command{
		Name:       "route",
		ShortUsage: "citronslip route",
		ShortHelp:  "Run a router.",
		LongHelp:   routeHelp,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError{fmt.Errorf("route takes no arguments, but was given %q", args)}
			}
			return runOnPlatform(ctx, std, path)
		},
	}
}

// checkSettings returns all faults of the settings, a line each.
func checkSettings(file *settingsFile, settings *router.Settings) error {
	var lines []string
	for _, fault := range settings.Check() {
		lines = append(lines, file.where(fault.Key)+": "+strings.ReplaceAll(fault.Message, "\n", `\n`))
	}
	if len(lines) == 0 {
		return nil
	}
	return errors.New(strings.Join(lines, "\ncitronslip: "))
}

func runRouter(ctx context.Context, std *streams, settings router.Settings) error {
	level, err := zerolog.ParseLevel(settings.Log)
	if err != nil {
		return usageError{err}
	}
	lines := &event.Buffer{Out: std.err}
	defer lines.Flush()
	logger := zerolog.New(lines).Level(level).With().Timestamp().Logger()
	r := &router.Router{Settings: settings, Logger: &logger}
	return r.Run(ctx)
}

// runOnPlatform runs a router with the settings of the users' platform. A reader of the log that falls behind loses
// lines instead of holding up requests.
func runOnPlatform(ctx context.Context, std *streams, path string) error {
	lines := &event.Buffer{Out: std.out}
	queue := diode.NewWriter(lines, logLines, 0, func(missed int) {
		fmt.Fprintf(lines, "{\"level\":\"warn\",\"event\":%d,\"message\":%q,\"missed\":%d}\n",
			event.LinesDropped.Number, event.LinesDropped.Text, missed)
	})
	defer lines.Flush()
	defer queue.Close()
	logger := zerolog.New(queue).With().Timestamp().Logger()
	r, err := platform.NewRouter(path, &logger)
	if err != nil {
		return usageError{err}
	}
	return r.Run(ctx)
}
