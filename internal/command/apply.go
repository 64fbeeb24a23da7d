package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"citronslip/internal/operator"
	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

const (
	// baseVersionUnset marks that no base version was given.
	baseVersionUnset = -1
	// maxPrintedChanges is the most changes that apply prints; diff prints all.
	maxPrintedChanges = 200
)

type (
	// applyOptions are the flags of apply.
	applyOptions struct {
		outputOptions
		clientOptions
		baseVersion   int
		changeID      string
		dryRun        bool
		reportTimeout time.Duration
	}

	// applyResult is the JSON output of apply.
	applyResult struct {
		Version *wire.ConfigVersion `json:"version"` // Missing for a dry run.
		Changes []inventory.Change  `json:"changes"`
		Live    int                 `json:"live"`   // Live routers.
		Behind  []string            `json:"behind"` // Addresses of live routers that do not report the version.
	}
)

// applyCommand puts an inventory in force.
func applyCommand(std *streams) *ffcli.Command {
	var options applyOptions
	flags := newFlagSet(std, "apply")
	options.register(flags)
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "citronslip apply -address URL -credential FILE -base N [flags] PATH...",
		ShortHelp:  "Put an inventory in force.",
		LongHelp: `Apply checks TOML files and directories as one inventory, shows what differs from version N that was edited, and
commits it as the next version. If another operator's change came first nothing is committed and the difference is
shown. If an answer is lost, apply asks again with the same change identity, which has no second effect. Then it waits
until all live routers report the version, and names those that do not.

EXAMPLES
  citronslip apply -address http://127.0.0.1:8082 -credential ~/.citronslip -base 0 examples/cooperative
  citronslip apply -address http://127.0.0.1:8082 -credential ~/.citronslip -base 7 -dry inventory/`,
		FlagSet: flags,
		Options: environmentOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := options.check(args); err != nil {
				return err
			}
			return options.run(ctx, std, args)
		},
	}
}

func (o *applyOptions) register(flags *flag.FlagSet) {
	o.outputOptions.register(flags)
	o.clientOptions.register(flags)
	flags.IntVar(&o.baseVersion, "base", baseVersionUnset, "number of the version that was edited, 0 for the first inventory; see history")
	flags.StringVar(&o.changeID, "change", "", "change identity of an apply that was interrupted; a new one unless given")
	flags.BoolVar(&o.dryRun, "dry", false, "only check and show the difference")
	flags.DurationVar(&o.reportTimeout, "wait", 10*time.Second, "longest wait for the routers to report the version")
}

func (o *applyOptions) check(args []string) error {
	if err := o.outputOptions.check(); err != nil {
		return err
	}
	if len(args) == 0 {
		return usageErrorf("give the files or directories of the inventory")
	}
	if o.baseVersion < 0 {
		return usageErrorf("give -base, the number of the version that was edited, 0 for the first inventory; see history")
	}
	return nil
}

func (o *applyOptions) run(ctx context.Context, std *streams, paths []string) error {
	client, timeoutCtx, cancel, err := o.client(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	change, changes, err := o.prepareChange(timeoutCtx, std, client, paths)
	if err != nil {
		return err
	}
	result := applyResult{Changes: changes, Behind: []string{}}
	if o.format == formatText {
		printChanges(std.out, changes[:min(len(changes), maxPrintedChanges)])
	}
	if o.format == formatText && len(changes) > maxPrintedChanges {
		fmt.Fprintf(std.out, "and %s; see citronslip diff\n", plural(len(changes)-maxPrintedChanges, "more change"))
	}
	if o.dryRun {
		return o.write(std, result, func() error { return nil })
	}
	client.Repeated = func(id string, err error) {
		fmt.Fprintf(std.err, "no certain answer (%s); asking again with the change identity %s\n", operator.Message(err), id)
	}
	version, err := client.Apply(timeoutCtx, change)
	if err != nil {
		return explainApplyError(std, change, err)
	}
	result.Version = &version
	if o.format == formatText {
		fmt.Fprintf(std.out, "version %d is committed (change %s)\n", version.Number, version.Change)
	}
	return o.awaitVersion(ctx, std, client, result)
}

// prepareChange reads the inventory and compares it with the base.
func (o *applyOptions) prepareChange(ctx context.Context, std *streams, client *operator.Client, paths []string) (wire.Apply, []inventory.Change, error) {
	change := wire.Apply{Base: o.baseVersion, Change: o.changeID}
	if change.Change == "" {
		change.Change = uuid.NewString()
	}
	doc, err := loadInventory(std, paths...)
	if err != nil {
		return change, nil, err
	}
	files, err := inventory.Read(paths...)
	if err != nil {
		return change, nil, usageError{err}
	}
	for _, f := range files {
		change.Files = append(change.Files, wire.InventoryFile{Name: f.Name, Text: string(f.Text)})
	}
	base := &inventory.Inventory{}
	if o.baseVersion > 0 {
		base, _, err = client.Config(ctx, o.baseVersion)
		if err != nil {
			return change, nil, err
		}
	}
	return change, inventory.Diff(base, &doc.Inventory), nil
}

// explainApplyError shows a conflict, and how to go on after an unknown outcome.
func explainApplyError(std *streams, change wire.Apply, err error) error {
	if errors.Is(err, operator.ErrUnknown) {
		fmt.Fprintf(std.err, "to learn the outcome, repeat the command with -change %s\n", change.Change)
		return err
	}
	refusal := asRefusal(err)
	if refusal == nil || refusal.Code != operator.CodeConflict {
		return err
	}
	for _, line := range refusal.Changes {
		fmt.Fprintln(std.err, colored(std.err, yellow, line))
	}
	if refusal.Version != nil {
		return fmt.Errorf("%w; edit from version %d and apply with -base %d", err, *refusal.Version, *refusal.Version)
	}
	return err
}

// awaitVersion waits until the routers report the version.
func (o *applyOptions) awaitVersion(ctx context.Context, std *streams, client *operator.Client, result applyResult) error {
	timeoutCtx, cancel := context.WithTimeout(ctx, o.reportTimeout+o.timeout)
	defer cancel()
	lastProgress, waitErr := client.Await(timeoutCtx, result.Version.Number, o.reportTimeout, func(p operator.Progress) {
		showProgress(std.err, "version %d is in force on %d of %d routers", p.Version, p.Live-len(p.Behind), p.Live)
	})
	clearProgress(std.err)
	result.Live = lastProgress.Live
	for _, r := range lastProgress.Behind {
		result.Behind = append(result.Behind, r.Address)
	}
	err := o.write(std, result, func() error {
		for _, r := range lastProgress.Behind {
			fmt.Fprintf(std.out, "router %s on host %s in %s reports version %d\n", r.Address, r.Host, r.Place, r.Version)
		}
		_, err := fmt.Fprintf(std.out, "version %d is in force on %d of %d routers\n", lastProgress.Version, lastProgress.Live-len(lastProgress.Behind), lastProgress.Live)
		return err
	})
	if err != nil {
		return err
	}
	if waitErr != nil && lastProgress.Live == 0 {
		return fmt.Errorf("version %d is committed, but no router told its state in %v", result.Version.Number, o.reportTimeout)
	}
	if waitErr != nil {
		return fmt.Errorf("version %d is committed, but %s did not report it in %v", result.Version.Number, plural(len(lastProgress.Behind), "router"), o.reportTimeout)
	}
	return nil
}
