package command

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"citronslip/internal/operator"
	"citronslip/pkg/inventory"
)

const (
	formatText = "text"
	formatJSON = "json"

	// environmentPrefix is the prefix of the environment variables that set flags, without the underscore.
	environmentPrefix = "CITRONSLIP"
)

type (
	// outputOptions holds the flags shared by commands that print a result.
	outputOptions struct {
		format string // formatText or formatJSON.
	}

	// clientOptions holds the flags shared by commands that send requests to a running fleet.
	clientOptions struct {
		addresses      string        // Base URLs of the routers' operator interfaces, separated by commas.
		credentialPath string        // File with the operator's bearer credential.
		timeout        time.Duration // Timeout of the whole command.
	}
)

// newFlagSet returns an empty flag set for a command that returns errors and prints them to the error stream.
func newFlagSet(std *streams, name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(std.err)
	return flags
}

// environmentOptions returns the parse options that read flags missing on the command line from environment variables
// such as CITRONSLIP_ADDRESS.
func environmentOptions() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)}
}

func (o *outputOptions) register(flags *flag.FlagSet) {
	flags.StringVar(&o.format, "format", formatText, "output format: text or json")
}

// check returns a usage error if the format is unknown.
func (o *outputOptions) check() error {
	if o.format != formatText && o.format != formatJSON {
		return usageErrorf("the format is %q; accepted are text and json", o.format)
	}
	return nil
}

// write prints the result as indented JSON, or calls the function that prints it as text, depending on the format.
func (o *outputOptions) write(std *streams, result any, text func() error) error {
	if o.format == formatText {
		return text()
	}
	encoder := json.NewEncoder(std.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}

func (o *clientOptions) register(flags *flag.FlagSet) {
	flags.StringVar(&o.addresses, "address", "", "operators' addresses of routers, such as http://127.0.0.1:8082, separated by commas")
	flags.StringVar(&o.credentialPath, "credential", "", "file that holds the bearer credential, readable by its owner only")
	flags.DurationVar(&o.timeout, "timeout", 30*time.Second, "timeout of the whole command")
}

// client returns a client for the routers and a context that expires after the timeout. The caller must call the
// cancel function. Missing or invalid flags give a usage error.
func (o *clientOptions) client(ctx context.Context) (*operator.Client, context.Context, context.CancelFunc, error) {
	if o.addresses == "" || o.credentialPath == "" {
		return nil, nil, nil, usageErrorf("give -address and -credential")
	}
	if o.timeout <= 0 {
		return nil, nil, nil, usageErrorf("the timeout is %v; accepted are positive durations", o.timeout)
	}
	credential, err := operator.ReadCredential(o.credentialPath)
	if err != nil {
		return nil, nil, nil, usageError{err}
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	return &operator.Client{Addresses: strings.Split(o.addresses, ","), Credential: credential}, ctx, cancel, nil
}

// usageErrorf returns a usageError with a formatted message.
func usageErrorf(format string, args ...any) error {
	return usageError{fmt.Errorf(format, args...)}
}

// rejectArguments returns a usage error if any arguments were given.
func rejectArguments(args []string) error {
	if len(args) > 0 {
		return usageErrorf("unexpected argument %q", args[0])
	}
	return nil
}

// loadInventory reads and checks an inventory. If the check has findings, it prints them to the error stream and
// returns a usage error with their number.
func loadInventory(std *streams, paths ...string) (*inventory.Document, error) {
	doc, err := inventory.Load(paths...)
	if err != nil {
		return nil, usageError{err}
	}
	findings := inventory.Check(doc, inventory.RuntimeState{})
	if len(findings) == 0 {
		return doc, nil
	}
	printFindings(std, findings)
	return nil, usageErrorf("%s", plural(len(findings), "finding"))
}

// plural returns the count and the noun, with an s unless the count is 1.
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// dashIfEmpty returns the text of a table cell, "-" if it is empty.
func dashIfEmpty(text string) string { return cmp.Or(text, "-") }

// asRefusal returns the refusal that the error wraps, or nil if the error is not a refusal by the system.
func asRefusal(err error) *operator.RefusalError {
	var refusal *operator.RefusalError
	if errors.As(err, &refusal) {
		return refusal
	}
	return nil
}
