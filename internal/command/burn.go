package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
	"golang.org/x/sync/errgroup"

	"citronslip/internal/burn"
	"citronslip/internal/operator"
	"citronslip/internal/wire"
)

const (
	// maxConcurrentRequests limits how many routers are queried at the same time.
	maxConcurrentRequests = 32
)

type (
	// burnOptions holds the flags of the burn command.
	burnOptions struct {
		outputOptions
		clientOptions
		pagePath string // HTML file to write; empty means none.
	}
)

// burnCommand returns the command that prints the burn-rate report of service levels and budgets.
func burnCommand(std *streams) *ffcli.Command {
	var options burnOptions
	flags := newFlagSet(std, "burn")
	options.outputOptions.register(flags)
	options.clientOptions.register(flags)
	flags.StringVar(&options.pagePath, "page", "", "file to write the report to as an HTML page with charts")
	return &ffcli.Command{
		Name:       "burn",
		ShortUsage: "citronslip burn [flags] [FILE...]",
		ShortHelp:  "Show the burn rates of service levels and budgets.",
		LongHelp: `Burn merges the reports of all routers given by -address, or of files that an earlier run with -format json wrote. A
burn rate of 1 uses exactly the share of bad requests that a level's goal allows.

EXAMPLES
  citronslip burn -address http://127.0.0.1:8082,http://127.0.0.1:8182 -credential ~/.citronslip
  citronslip burn -address http://127.0.0.1:8082 -credential ~/.citronslip -format json > monday.json
  citronslip burn -page burn.html monday.json`,
		FlagSet: flags,
		Options: environmentOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := options.check(); err != nil {
				return err
			}
			return options.run(ctx, std, args)
		},
	}
}

// run merges the reports of the files, or of the routers if there are no files, and prints the result.
func (o *burnOptions) run(ctx context.Context, std *streams, files []string) error {
	var reports []*wire.Burn
	var err error
	if len(files) > 0 {
		reports, err = readReports(files)
	} else {
		reports, err = o.fetchReports(ctx, std)
	}
	if err != nil {
		return err
	}
	report := burn.Merge(reports...)
	if o.pagePath != "" {
		if err := writePage(o.pagePath, report); err != nil {
			return err
		}
	}
	return o.write(std, report, func() error { return burn.WriteText(std.out, report) })
}

// fetchReports queries every router, because each one counts only its own requests. It prints which routers did not
// answer, and returns an error if none did.
func (o *burnOptions) fetchReports(ctx context.Context, std *streams) ([]*wire.Burn, error) {
	client, ctx, cancel, err := o.client(ctx)
	if err != nil {
		return nil, err
	}
	defer cancel()
	reports := make([]*wire.Burn, len(client.Addresses))
	errs := make([]error, len(client.Addresses))
	var group errgroup.Group
	group.SetLimit(maxConcurrentRequests)
	for i, address := range client.Addresses {
		group.Go(func() error {
			routerClient := operator.Client{Addresses: []string{address}, Credential: client.Credential}
			reports[i], errs[i] = routerClient.Burn(ctx)
			return nil
		})
	}
	group.Wait()
	var received []*wire.Burn
	for i, err := range errs {
		if err != nil {
			fmt.Fprintf(std.err, "left out: %s\n", operator.ErrorText(err))
			continue
		}
		received = append(received, reports[i])
	}
	if len(received) == 0 {
		return nil, errors.New("no router answered")
	}
	return received, nil
}

// readReports reads reports from JSON files.
func readReports(files []string) ([]*wire.Burn, error) {
	var reports []*wire.Burn
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, usageError{trace.ConvertSystemError(err)}
		}
		var report wire.Burn
		if err := json.Unmarshal(data, &report); err != nil || report.Time.IsZero() {
			return nil, usageErrorf("%s is not a burn report: %v", file, err)
		}
		reports = append(reports, &report)
	}
	return reports, nil
}

// writePage writes the report to a file as a self-contained HTML page.
func writePage(path string, report *wire.Burn) error {
	var page strings.Builder
	if err := burn.WriteHTML(&page, report); err != nil {
		return err
	}
	return trace.ConvertSystemError(os.WriteFile(path, []byte(page.String()), 0o644))
}
