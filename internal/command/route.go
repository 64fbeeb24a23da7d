package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"runtime/debug"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rs/zerolog"

	"citronslip/internal/event"
	"citronslip/internal/memory"
	"citronslip/internal/router"
	"citronslip/platform"
)

const (
	// maxQueuedLogBytes limits the log lines that wait for a slow reader of the log, about 4,000. Those beyond it are dropped
	// and counted.
	maxQueuedLogBytes = 2 << 20

	// routeHelp is the long help of the route command.
	routeHelp = `Runs one router until SIGINT or SIGTERM starts its graceful shutdown. Further SIGTERMs have no effect;
a second SIGINT ends it immediately.

A setting is taken from its flag, else from the environment variable CITRONSLIP_ and the flag's name in capitals, else
from the TOML file named by -config.

If the environment names the settings file of the users' platform, the router takes its settings from that file alone.

Example:
  citronslip route -config router.toml`
)

// routeCommand returns the command that runs a router. If the environment names the settings file of the users'
// platform, the command has no flags and reads that file.
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

// platformCommand returns the command that runs a router with the settings file of the users' platform.
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

// checkSettings returns an error that lists all faults of the settings, one a line, each with where the setting comes
// from. It returns nil if there are none.
func checkSettings(file *settingsFile, settings *router.Settings) error {
	var messages []string
	for _, fault := range settings.Check() {
		messages = append(messages, file.origin(fault.Key)+": "+strings.ReplaceAll(fault.Message, "\n", `\n`))
	}
	if len(messages) == 0 {
		return nil
	}
	return errors.New(strings.Join(messages, "\ncitronslip: "))
}

// runRouter runs a router with the given settings until the context is done, and logs to the error stream.
func runRouter(ctx context.Context, std *streams, settings router.Settings) error {
	level, err := zerolog.ParseLevel(settings.Log)
	if err != nil {
		return usageError{err}
	}
	logBuffer := &event.Buffer{Out: std.err}
	defer logBuffer.Flush()
	logger := zerolog.New(logBuffer).Level(level).With().Timestamp().Logger()
	limitMemory(int64(settings.Memory) << 20)
	r := &router.Router{Settings: settings, Logger: &logger}
	return r.Run(ctx)
}

// limitMemory makes the garbage collector keep the process below the memory of its machine, unless that is unknown. A lower
// limit of the environment stays.
func limitMemory(machineBytes int64) {
	if limit := memory.SoftLimit(machineBytes); machineBytes > 0 && limit < debug.SetMemoryLimit(-1) {
		debug.SetMemoryLimit(limit)
	}
}

// runPlatformRouter runs a router with the settings file of the users' platform until the context is done, and logs to
// the output stream. If the reader of the log falls behind, lines are dropped so that requests are not delayed.
func runPlatformRouter(ctx context.Context, std *streams, path string) error {
	stop := ignoreHangup()
	defer stop()
	logQueue := &event.Queue{Out: std.out, Bytes: maxQueuedLogBytes}
	defer logQueue.Close()
	logger := zerolog.New(logQueue).With().Timestamp().Logger()
	r, err := platform.NewRouter(path, &logger)
	if err != nil {
		return usageError{err}
	}
	limitMemory(r.Settings.Memory)
	return r.Run(ctx)
}
