package command

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"citronslip/internal/load"
)

type (
	// loadOptions holds the flags of the load command.
	loadOptions struct {
		outputOptions
		generator   load.Generator
		requestKind load.RequestKind
		mixPath     string
		keysPath    string
		resultPath  string
		earlierPath string
	}

	// mixFile is the content of a mix file, which declares the kinds of requests to send.
	mixFile struct {
		Call []load.RequestKind `toml:"call"` // One table for each kind of request.
	}
)

// loadCommand returns the command that generates load at a given rate.
func loadCommand(std *streams) *ffcli.Command {
	var options loadOptions
	flags := newFlagSet(std, "load")
	options.register(flags)
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "citronslip load [flags] URL",
		ShortHelp:  "Send requests at a given rate and report their outcomes.",
		LongHelp: `Load sends requests at random times with a given mean rate, whether or not earlier ones have been answered. Latency is
measured from the time at which a request was scheduled to start. Load counts answers, refusals by code and by whether
the request was run, requests without an answer, answers that broke off, and duplicate answers. Targets other than
loopback addresses need -remote.

EXAMPLES
  citronslip load -model plan -stream -keys keys.txt -rate 50 -time 30s http://127.0.0.1:8080
  citronslip load -mix mix.toml -keys keys.txt -rate 200 -count 10000 -result new.json -earlier old.json http://127.0.0.1:8080

A mix file has a table for each kind of request:
  [[call]]
  name = "plan"
  share = 3
  model = "plan"
  stream = true
  [[call]]
  name = "book"
  path = "/visits/bookings"
  body = "{}"
  keyed = true`,
		FlagSet: flags,
		Options: environmentOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := options.check(); err != nil {
				return err
			}
			if len(args) != 1 {
				return usageErrorf("give exactly one target URL")
			}
			options.generator.Target = args[0]
			return options.run(ctx, std)
		},
	}
}

func (o *loadOptions) register(flags *flag.FlagSet) {
	o.outputOptions.register(flags)
	flags.Float64Var(&o.generator.Rate, "rate", 10, "mean number of requests per second")
	flags.IntVar(&o.generator.Count, "count", 1_000_000, "maximum number of requests")
	flags.DurationVar(&o.generator.Time, "time", 10*time.Second, "how long to start new requests")
	flags.DurationVar(&o.generator.Timeout, "timeout", load.DefaultTimeout, "timeout of one request, from its scheduled start")
	flags.IntVar(&o.generator.Open, "open", load.DefaultMaxInFlight, "maximum number of requests in flight")
	flags.Uint64Var(&o.generator.Seed, "seed", 1, "seed of the random arrival times, kinds of requests and API keys")
	flags.BoolVar(&o.generator.Remote, "remote", false, "allow a target that is not a loopback address")
	flags.StringVar(&o.mixPath, "mix", "", "TOML file that declares the kinds of requests")
	flags.StringVar(&o.requestKind.Model, "model", "", "model of the requests, if there is no mix file")
	flags.BoolVar(&o.requestKind.Stream, "stream", false, "request streamed answers, with -model")
	flags.IntVar(&o.requestKind.MaxTokens, "limit", 64, "maximum number of output tokens of a request, with -model")
	flags.IntVar(&o.requestKind.PromptBytes, "prompt", 200, "length of the prompt in bytes, with -model")
	flags.StringVar(&o.requestKind.Path, "path", "", "path of requests to a plain service, if there is no mix file")
	flags.StringVar(&o.keysPath, "keys", "", "file of API keys, separated by white space")
	flags.StringVar(&o.resultPath, "result", "", "JSON file to write the result to")
	flags.StringVar(&o.earlierPath, "earlier", "", "result file of an earlier run to compare the result with")
}

// run sends the requests, writes the result file if one was asked for and prints the result.
func (o *loadOptions) run(ctx context.Context, std *streams) error {
	earlier, err := o.readInputs()
	if err != nil {
		return err
	}
	o.generator.Progress = func(sent, done int) { showProgress(std.err, "%d sent, %d done", sent, done) }
	result, err := o.generator.Run(ctx)
	clearProgress(std.err)
	if err != nil {
		return usageError{err}
	}
	if o.resultPath != "" {
		data, err := json.MarshalIndent(result, "", "  ")
		if err != nil {
			return trace.Wrap(err)
		}
		if err := os.WriteFile(o.resultPath, append(data, '\n'), 0o644); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return o.write(std, result, func() error { return result.Print(std.out, earlier) })
}

// readInputs reads the mix and the API keys into the generator. It returns the result of the earlier run, or nil if no
// file was given.
func (o *loadOptions) readInputs() (*load.Result, error) {
	if err := o.readMix(); err != nil {
		return nil, err
	}
	if o.keysPath != "" {
		data, err := os.ReadFile(o.keysPath)
		if err != nil {
			return nil, usageError{trace.ConvertSystemError(err)}
		}
		o.generator.Keys = strings.Fields(string(data))
	}
	if o.earlierPath == "" {
		return nil, nil
	}
	data, err := os.ReadFile(o.earlierPath)
	if err != nil {
		return nil, usageError{trace.ConvertSystemError(err)}
	}
	var earlier load.Result
	if err := json.Unmarshal(data, &earlier); err != nil || earlier.Total == nil {
		return nil, usageErrorf("%s is not the result file of a load run", o.earlierPath)
	}
	return &earlier, nil
}

// readMix sets the generator's mix from the mix file, or to the single kind of request that the flags describe.
func (o *loadOptions) readMix() error {
	if o.mixPath == "" {
		o.requestKind.Name = "call"
		o.generator.Mix = []load.RequestKind{o.requestKind}
		return nil
	}
	file, err := os.Open(o.mixPath)
	if err != nil {
		return usageError{trace.ConvertSystemError(err)}
	}
	defer file.Close()
	var mix mixFile
	if err := toml.NewDecoder(file).DisallowUnknownFields().Decode(&mix); err != nil {
		return usageErrorf("%s: %v", o.mixPath, err)
	}
	o.generator.Mix = mix.Call
	return nil
}
