package router

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"citronslip/internal/budget"
	"citronslip/internal/caller"
	"citronslip/internal/claim"
	"citronslip/internal/delay"
	"citronslip/internal/engine"
	"citronslip/internal/event"
	"citronslip/internal/table"
	"citronslip/internal/wire"
)

const (
	recoverInterval = 2 * time.Second
	recoverTimeout  = 10 * time.Second
	recoverCalls    = 32
	// recoverDelay sets routers apart that know the same dead instance, so that the first usually saves the others the
	// questions to all engines.
	recoverDelay        = 3 * time.Second
	longestRecoverDelay = time.Minute
	// recoveredPrefix begins the key of the row that says that an instance's bills were recovered.
	recoveredPrefix = "recovered/"
	// instanceKept is how long an instance that is gone is watched. A router that is cut off for longer is not proven
	// dead by then either, or has been recovered.
	instanceKept = 24 * time.Hour
)

type (
	// instances are the router instances that this router has known, with the time when each was last a member. It
	// belongs to the recovery controller.
	instances map[string]time.Time
)

// recoverBills writes the bills that routers left unwritten when they died, from the usage reports of the engines.
func (r *Router) recoverBills(ctx context.Context) error {
	known := make(instances)
	if r.previous != "" {
		// Peers may not have met a process that lived for a short time only.
		known[r.previous] = time.Now().Add(-longestRecoverDelay)
	}
	delay.Every(ctx, recoverInterval, func() {
		members := r.board.Members.Load()
		if members == nil {
			return
		}
		known.note(members.List, time.Now())
		for instance, seen := range known {
			if time.Since(seen) > recoverInterval+r.recoverAfter(instance) && r.recoverInstance(ctx, instance) {
				delete(known, instance)
			}
		}
	})
	return nil
}

// note records the present members and forgets instances that have been gone for long.
func (k instances) note(members []wire.Member, now time.Time) {
	for _, member := range members {
		if member.State == wire.MemberStateLive {
			k[member.Instance] = now
		}
	}
	for instance, seen := range k {
		if now.Sub(seen) > instanceKept {
			delete(k, instance)
		}
	}
}

// recoverAfter is how long this router leaves the recovery of an instance to others.
func (r *Router) recoverAfter(instance string) time.Duration {
	live := r.board.Live.Load()
	if live == nil {
		return longestRecoverDelay
	}
	order := budget.HomesOf(*live, budget.Key{Account: "recovery", Budget: instance}, len(*live))
	return min(time.Duration(slices.Index(order, r.Settings.Peer))*recoverDelay, longestRecoverDelay)
}

// recoverInstance bills what the engines report of an instance, if that is proven dead. It reports whether all is done.
func (r *Router) recoverInstance(ctx context.Context, instance string) bool {
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	_, err := r.table.Get(ctx, recoveredPrefix+instance)
	if err == nil {
		return true
	}
	dead, err := r.dead(ctx, instance)
	if err != nil || !dead {
		return false
	}
	bills, err := r.reportedBills(ctx, instance)
	if err == nil {
		err = r.biller.Recover(ctx, instance, bills)
	}
	if err == nil {
		_, err = r.table.Commit(ctx, []table.Op{{Key: recoveredPrefix + instance}})
	}
	if err != nil {
		event.RecoveryFailed.Log(r.Logger).Str("instance", instance).Err(err).Send()
		return false
	}
	return true
}

// reportedBills asks all engines for the answers that an instance received whole.
func (r *Router) reportedBills(ctx context.Context, instance string) ([]claim.Bill, error) {
	version := r.board.Version.Load()
	if version == nil {
		return nil, trace.NotFound("no configuration in force")
	}
	reports := make([][]engine.Report, len(version.Index.Inventory.Backends))
	var group errgroup.Group
	group.SetLimit(recoverCalls)
	for i, backend := range version.Index.Inventory.Backends {
		if len(backend.Models) == 0 {
			continue
		}
		group.Go(func() error {
			var err error
			reports[i], err = r.engines.Reports(ctx, backend.Address, instance)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, trace.Wrap(err)
	}
	return billsOf(slices.Concat(reports...)), nil
}

// billsOf returns one bill for each request. Keyed requests are left out: their bills are kept with their claims.
func billsOf(reports []engine.Report) []claim.Bill {
	byNumber := make(map[uint64]claim.Bill)
	for _, report := range reports {
		var label caller.Label
		if !report.Sent || json.Unmarshal([]byte(report.Label), &label) != nil || label.Number == 0 {
			continue
		}
		byNumber[label.Number] = claim.Bill{
			Number:  label.Number,
			Account: label.Account,
			Budgets: label.Budgets,
			Model:   label.Model,
			Input:   report.Prompt,
			Output:  report.Completion,
			Attempt: label.Attempt,
		}
	}
	bills := make([]claim.Bill, 0, len(byNumber))
	for _, bill := range byNumber {
		bills = append(bills, bill)
	}
	return bills
}
