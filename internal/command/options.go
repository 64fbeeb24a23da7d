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

	// environmentPrefix is the prefix of the variables that stand in for flags.
	environmentPrefix = "CITRONSLIP"
)

type (
	// outputOptions are the flags of commands that print a result.
	outputOptions struct {
		format string
	}

	// clientOptions are the flags of commands that talk to a running fleet.
	clientOptions struct {
		addresses      string
		credentialPath string
		timeout        time.Duration
	}
)

// newFlagSet returns the flag set of a command.
func newFlagSet(std *streams, name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(std.err)
	return flags
}

// environmentOptions lets variables such as CITRONSLIP_ADDRESS stand in for flags.
func environmentOptions() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)}
}

func (o *outputOptions) register(flags *flag.FlagSet) {
	flags.StringVar(&o.format, "format", formatText, "form of the output: text or json")
}

// check reports a wrong form.
func (o *outputOptions) check() error {
	if o.format != formatText && o.format != formatJSON {
		return usageErrorf("the format is %q; accepted are text and json", o.format)
	}
	return nil
}

// write prints a result as JSON, or by the function as text.
func (o *outputOptions) write(std *streams, result any, text func() error) error {
	if o.format == formatText {
		return text()
	}
	encoder := json.NewEncoder(std.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}

func (r *clientOptions) register(flags *flag.FlagSet) {
	flags.StringVar(&r.addresses, "address", "", "operators' addresses of routers, such as http://127.0.0.1:8082, separated by commas")
	flags.StringVar(&r.credentialPath, "credential", "", "file that holds the bearer credential, readable by its owner only")
	flags.DurationVar(&r.timeout, "timeout", 30*time.Second, "longest time of the command")
}

// client returns a client and a context that ends with the timeout.
func (r *clientOptions) client(ctx context.Context) (*operator.Client, context.Context, context.CancelFunc, error) {
	if r.addresses == "" || r.credentialPath == "" {
		return nil, nil, nil, usageErrorf("give -address and -credential")
	}
	if r.timeout <= 0 {
		return nil, nil, nil, usageErrorf("the timeout is %v; accepted are positive durations", r.timeout)
	}
	credential, err := operator.ReadCredential(r.credentialPath)
	if err != nil {
		return nil, nil, nil, usageError{err}
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	return &operator.Client{Addresses: strings.Split(r.addresses, ","), Credential: credential}, ctx, cancel, nil
}

// usageErrorf returns an error of wrong use.
func usageErrorf(format string, args ...any) error {
	return usageError{fmt.Errorf(format, args...)}
}

// rejectArguments refuses arguments.
func rejectArguments(args []string) error {
	if len(args) > 0 {
		return usageErrorf("unexpected argument %q", args[0])
	}
	return nil
}

// loadInventory reads and checks an inventory and prints its findings to the error stream.
func loadInventory(std *streams, paths ...string) (*inventory.Document, error) {
	doc, err := inventory.Load(paths...)
	if err != nil {
		return nil, usageError{err}
	}
	findings := inventory.Check(doc, inventory.Facts{})
	if len(findings) == 0 {
		return doc, nil
	}
	printFindings(std, findings)
	return nil, usageErrorf("%s", plural(len(findings), "finding"))
}

func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// dashIfEmpty stands for an empty cell of a table.
func dashIfEmpty(text string) string { return cmp.Or(text, "-") }

// asRefusal returns the refusal of the system that an error stands for, or nil.
func asRefusal(err error) *operator.Refusal {
	var refusal *operator.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return nil
}
