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
	// experimentOptions holds the flags of the experiment command.
	experimentOptions struct {
		kind   string // Experiment to run: budget or routing.
		size   string // Size of the fleet; see experiment.BudgetExperiment.
		row    string // Scenario of the budget experiment to run, all if empty.
		use    string // Demand level of the budget experiment to run, all if empty.
		weigh  string // What is worse for all accounts: refusal or overspend; neither if empty.
		format string // text or json.
		seed   uint64 // Seed of the random demand and failures.
	}
)

// experimentCommand returns the command that runs an experiment in simulated time.
func experimentCommand(std *streams) *ffcli.Command {
	var options experimentOptions
	flags := flag.NewFlagSet("experiment", flag.ContinueOnError)
	flags.SetOutput(std.err)
	flags.StringVar(&options.kind, "kind", "budget", "experiment to run: budget or routing")
	flags.StringVar(&options.size, "size", experiment.SizeUsers, "size of the budget experiment: users, small, scaled or slope")
	flags.StringVar(&options.row, "row", "", "run only this row of the budget experiment: calm, partition, outage, deaths or topup; all if empty")
	flags.StringVar(&options.use, "use", "", "run the budget experiment only with budgets that are ample, tight or exhausted; all if empty")
	flags.StringVar(&options.weigh, "weigh", "", "error that all accounts weigh more heavily: refusal or overspend; neither if empty")
	flags.StringVar(&options.format, "format", "text", "output format: text or json")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the random demand and failures")
	return &ffcli.Command{
		Name:       "experiment",
		ShortUsage: "citronslip experiment [flags]",
		ShortHelp:  "Run a seeded experiment in simulated time.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			return runExperiment(ctx, std, options)
		},
	}
}

// runExperiment runs the experiment of the chosen kind and prints its report. Unknown flag values give a usage error.
func runExperiment(ctx context.Context, std *streams, options experimentOptions) error {
	if options.format != "text" && options.format != "json" {
		return usageError{fmt.Errorf("unknown format %q; accepted are text and json", options.format)}
	}
	switch options.kind {
	case "budget":
		return runBudgetExperiment(ctx, std, options)
	case "routing":
		return runRoutingExperiment(ctx, std, options)
	default:
		return usageError{fmt.Errorf("unknown kind of experiment %q; accepted are budget and routing", options.kind)}
	}
}

// runRoutingExperiment runs all scenarios and fleets of the routing experiment. The flags -size, -row, -use and -weigh
// apply only to the budget experiment.
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

// runBudgetExperiment runs the scenarios and demand levels of the budget experiment that the flags select.
func runBudgetExperiment(ctx context.Context, std *streams, options experimentOptions) error {
	weigh := inventory.WorseOutcome(options.weigh)
	if weigh != "" && weigh != inventory.WorseFalseRefusal && weigh != inventory.WorseOverspend {
		return usageError{fmt.Errorf("unknown value %q of -weigh; accepted are refusal and overspend", options.weigh)}
	}
	budgetExperiment := experiment.BudgetExperiment{Seed: options.seed, Size: options.size, Row: options.row, Use: options.use, Weigh: weigh}
	results, err := budgetExperiment.Run(ctx)
	if errors.Is(err, experiment.ErrUnknownSize) {
		return usageError{fmt.Errorf("unknown size %q; accepted are users, small, scaled and slope", options.size)}
	}
	if err != nil {
		return err
	}
	if options.format == "json" {
		return json.NewEncoder(std.out).Encode(results)
	}
	return experiment.WriteBudgetTable(std.out, results)
}
