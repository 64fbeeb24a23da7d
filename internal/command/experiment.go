package command

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"citronslip/internal/experiment"
	"citronslip/pkg/inventory"
)

type (
	// experimentOptions are the flags of the experiment command.
	experimentOptions struct {
		kind   string
		size   string
		row    string
		use    string
		weigh  string
		format string
		seed   uint64
	}
)

// experimentCommand runs an experiment on simulated time.
func experimentCommand(std *streams) *ffcli.Command {
	var options experimentOptions
	flags := flag.NewFlagSet("experiment", flag.ContinueOnError)
	flags.SetOutput(std.err)
	flags.StringVar(&options.kind, "kind", "budget", "experiment: budget or routing")
	flags.StringVar(&options.size, "size", experiment.SizeUsers, "size: users, small, scaled or slope")
	flags.StringVar(&options.row, "row", "", "only this row: calm, partition, outage, deaths or topup")
	flags.StringVar(&options.use, "use", "", "only this use of the budgets: ample, tight or exhausted")
	flags.StringVar(&options.weigh, "weigh", "", "what all accounts weigh more: refusal or overspend")
	flags.StringVar(&options.format, "format", "text", "output: text or json")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the demand and the failures")
	return &ffcli.Command{
		Name:       "experiment",
		ShortUsage: "citronslip experiment [flags]",
		ShortHelp:  "Run a seeded experiment on simulated time.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			return runExperiment(ctx, std, options)
		},
	}
}

func runExperiment(ctx context.Context, std *streams, options experimentOptions) error {
	if options.format != "text" && options.format != "json" {
		return usageError{fmt.Errorf("no format %q; known: text, json", options.format)}
	}
	switch options.kind {
	case "budget":
		return runBudgetExperiment(ctx, std, options)
	case "routing":
		return runRoutingExperiment(ctx, std, options)
	default:
		return usageError{fmt.Errorf("no experiment of kind %q; known: budget, routing", options.kind)}
	}
}

// runRoutingExperiment runs all rows and sizes; the flags that choose rows are those of the budget experiment.
func runRoutingExperiment(ctx context.Context, std *streams, options experimentOptions) error {
	report, err := experiment.RunRouting(ctx, experiment.RoutingOptions{Seed: options.seed})
	if err != nil {
		return err
	}
	if options.format == "json" {
		return json.NewEncoder(std.out).Encode(report)
	}
	return report.WriteTable(std.out)
}

func runBudgetExperiment(ctx context.Context, std *streams, options experimentOptions) error {
	weigh := inventory.Weigh(options.weigh)
	if weigh != "" && weigh != inventory.WeighRefusal && weigh != inventory.WeighOverspend {
		return usageError{fmt.Errorf("no weigh %q; known: refusal, overspend", options.weigh)}
	}
	budgetExperiment := experiment.Budget{Seed: options.seed, Size: options.size, Row: options.row, Use: options.use, Weigh: weigh}
	results, err := budgetExperiment.Run(ctx)
	if errors.Is(err, experiment.ErrSize) {
		return usageError{fmt.Errorf("no size %q; known: users, small, scaled, slope", options.size)}
	}
	if err != nil {
		return err
	}
	if options.format == "json" {
		return json.NewEncoder(std.out).Encode(results)
	}
	return experiment.WriteBudget(std.out, results)
}
