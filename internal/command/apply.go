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
	// baseVersionUnset is the value of -base when the flag was not given.
	baseVersionUnset = -1
	// maxPrintedChanges is the largest number of changes that apply prints; diff prints all of them.
	maxPrintedChanges = 200
)

type (
	// applyOptions holds the flags of the apply command.
	applyOptions struct {
		outputOptions
		clientOptions
		baseVersion   int           // Number of the version that was edited, 0 for the first inventory.
		changeID      string        // Identity of the change, which makes repeating it idempotent.
		dryRun        bool          // Whether to only check and compare.
		reportTimeout time.Duration // How long to wait for all live routers to report the version.
	}

	// applyResult is the JSON output of the apply command.
	applyResult struct {
		Version *wire.ConfigVersion `json:"version"` // Committed version, null for a dry run.
		Changes []inventory.Change  `json:"changes"`
		Live    int                 `json:"live"`   // Number of live routers.
		Behind  []string            `json:"behind"` // Addresses of live routers that do not report the version.
	}
)

// applyCommand returns the command that commits an inventory as the next configuration version.
func applyCommand(std *streams) *ffcli.Command {
	var options applyOptions
	flags := newFlagSet(std, "apply")
	options.register(flags)
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "citronslip apply -address URL -credential FILE -base N [flags] PATH...",
		ShortHelp:  "Commit an inventory as the next configuration version.",
		LongHelp: `Apply checks TOML files and directories as one inventory, prints the changes since version N, which was edited, and
commits the inventory as the next version. If another operator has committed a change since version N, nothing is
committed and the other change is shown. If no response arrives, apply sends the request again with the same change
identity, so that the change is committed at most once. Then it waits until all live routers report the version, and
names those that do not.

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
	flags.StringVar(&o.changeID, "change", "", "change identity of an interrupted apply that is repeated; a random one if empty")
	flags.BoolVar(&o.dryRun, "dry", false, "check the inventory and print the changes without committing them")
	flags.DurationVar(&o.reportTimeout, "wait", 10*time.Second, "how long to wait for all live routers to report the version")
}

// check returns a usage error if a flag or the arguments are invalid.
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

// run commits the inventory and waits for the routers; with -dry it only prints the changes.
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
		fmt.Fprintf(std.err, "the outcome is uncertain (%s); sending the request again with the change identity %s\n", operator.ErrorText(err), id)
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

// prepareChange reads and checks the inventory. It returns the request to commit it and the changes since the base
// version; version 0 is the empty inventory.
func (o *applyOptions) prepareChange(ctx context.Context, std *streams, client *operator.Client, paths []string) (wire.Apply, []inventory.Change, error) {
	change := wire.Apply{Base: o.baseVersion, Change: o.changeID}
	if change.Change == "" {
		change.Change = uuid.NewString()
	}
	doc, err := loadInventory(std, paths...)
	if err != nil {
		return change, nil, err
	}
	files, err := inventory.ReadFiles(paths...)
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

// explainApplyError prints the changes of a conflicting version, or how to learn an unknown outcome. It returns the
// error, after a conflict with the base version to use.
func explainApplyError(std *streams, change wire.Apply, err error) error {
	if errors.Is(err, operator.ErrOutcomeUnknown) {
		fmt.Fprintf(std.err, "to find out whether the change was committed, repeat the command with -change %s\n", change.Change)
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

// awaitVersion waits until all live routers report the committed version and prints the result. It returns an error if
// some do not report it within reportTimeout.
func (o *applyOptions) awaitVersion(ctx context.Context, std *streams, client *operator.Client, result applyResult) error {
	timeoutCtx, cancel := context.WithTimeout(ctx, o.reportTimeout+o.timeout)
	defer cancel()
	lastProgress, waitErr := client.WaitForVersion(timeoutCtx, result.Version.Number, o.reportTimeout, func(p operator.Progress) {
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
		return fmt.Errorf("version %d is committed, but no router reported its status within %v", result.Version.Number, o.reportTimeout)
	}
	if waitErr != nil {
		return fmt.Errorf("version %d is committed, but %s did not report it within %v", result.Version.Number, plural(len(lastProgress.Behind), "router"), o.reportTimeout)
	}
	return nil
}
