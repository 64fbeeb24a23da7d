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
	// maxQueuedLogLines bounds the lines that wait for a slow reader of the log; further ones are dropped and counted.
	maxQueuedLogLines = 4096

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
		Options:    file.parseOptions(),
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
			return runPlatformRouter(ctx, std, path)
		},
	}
}

// checkSettings returns all faults of the settings, a line each.
func checkSettings(file *settingsFile, settings *router.Settings) error {
	var messages []string
	for _, finding := range settings.Check() {
		messages = append(messages, file.origin(finding.Key)+": "+strings.ReplaceAll(finding.Message, "\n", `\n`))
	}
	if len(messages) == 0 {
		return nil
	}
	return errors.New(strings.Join(messages, "\ncitronslip: "))
}

func runRouter(ctx context.Context, std *streams, settings router.Settings) error {
	level, err := zerolog.ParseLevel(settings.Log)
	if err != nil {
		return usageError{err}
	}
	logBuffer := &event.Buffer{Out: std.err}
	defer logBuffer.Flush()
	logger := zerolog.New(logBuffer).Level(level).With().Timestamp().Logger()
	instance := &router.Router{Settings: settings, Logger: &logger}
	return instance.Run(ctx)
}

// runPlatformRouter runs a router with the settings of the users' platform. A reader of the log that falls behind loses
// lines instead of holding up requests.
func runPlatformRouter(ctx context.Context, std *streams, path string) error {
	logBuffer := &event.Buffer{Out: std.out}
	logQueue := diode.NewWriter(logBuffer, maxQueuedLogLines, 0, func(dropped int) {
		fmt.Fprintf(logBuffer, "{\"level\":\"warn\",\"event\":%d,\"message\":%q,\"missed\":%d}\n",
			event.LinesDropped.Number, event.LinesDropped.Text, dropped)
	})
	defer logBuffer.Flush()
	defer logQueue.Close()
	logger := zerolog.New(logQueue).With().Timestamp().Logger()
	instance, err := platform.NewRouter(path, &logger)
	if err != nil {
		return usageError{err}
	}
	return instance.Run(ctx)
}
