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
	// recoveryInterval is the time between two checks for instances to recover.
	recoveryInterval = 2 * time.Second
	// recoveryTimeout bounds the recovery of one instance.
	recoveryTimeout = 10 * time.Second
	// maxRecoveryCalls bounds the engines that are asked at the same time.
	maxRecoveryCalls = 32
	// recoveryDelayStep is the time by which each router starts later than the one before it. The first one has usually
	// finished by then and spares the others the calls to all engines.
	recoveryDelayStep = 3 * time.Second
	// maxRecoveryDelay bounds that delay.
	maxRecoveryDelay = time.Minute
	// recoveredPrefix is the prefix of the keys of the rows that mark instances whose bills were recovered.
	recoveredPrefix = "recovered/"
	// instanceRetention is how long a router remembers an instance that is no longer a live member. An instance that
	// was not recovered by then is unreachable rather than proven dead.
	instanceRetention = 24 * time.Hour
)

type (
	// instancesSeen maps each router instance that this router knows to the time when it was last a live member. Only
	// recoverBills uses it.
	instancesSeen map[string]time.Time
)

// recoverBills writes the bills that crashed routers could not write, from the usage reports of the engines.
func (r *Router) recoverBills(ctx context.Context) error {
	known := make(instancesSeen)
	if r.previousInstance != "" {
		// Other routers may never have seen a process that ended soon after its start.
		known[r.previousInstance] = time.Now().Add(-maxRecoveryDelay)
	}
	delay.RepeatNow(ctx, recoveryInterval, func() {
		members := r.shared.Members.Load()
		if members == nil {
			return
		}
		known.update(members.List, time.Now())
		for instance, seen := range known {
			if time.Since(seen) > recoveryInterval+r.recoveryDelay(instance) && r.recoverInstance(ctx, instance) {
				delete(known, instance)
			}
		}
	})
	return nil
}

// update records the live members and drops instances that were not seen for instanceRetention.
func (i instancesSeen) update(members []wire.Member, now time.Time) {
	for _, member := range members {
		if member.State == wire.MemberStateLive {
			i[member.Instance] = now
		}
	}
	for instance, seen := range i {
		if now.Sub(seen) > instanceRetention {
			delete(i, instance)
		}
	}
}

// recoveryDelay returns how long this router waits for other routers to recover an instance. Rendezvous hashing of the
// instance gives each live router its turn.
func (r *Router) recoveryDelay(instance string) time.Duration {
	live := r.shared.Live.Load()
	if live == nil {
		return maxRecoveryDelay
	}
	ranked := budget.HomesOf(*live, budget.Key{Account: "recovery", Budget: instance}, len(*live))
	return min(time.Duration(slices.Index(ranked, r.Settings.Peer))*recoveryDelayStep, maxRecoveryDelay)
}

// recoverInstance writes the bills for what the engines report of an instance that is proven dead. It reports whether
// the instance is recovered, by this or another router; otherwise the call is to be repeated.
func (r *Router) recoverInstance(ctx context.Context, instance string) bool {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	_, err := r.table.Get(ctx, recoveredPrefix+instance)
	if err == nil {
		return true
	}
	dead, err := r.provenDead(ctx, instance)
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

// reportedBills asks all engines for their usage reports of an instance's attempts and converts them into bills. If one
// engine does not answer, it returns an error.
func (r *Router) reportedBills(ctx context.Context, instance string) ([]claim.Bill, error) {
	version := r.shared.Version.Load()
	if version == nil {
		return nil, trace.NotFound("no active configuration")
	}
	reports := make([][]engine.AttemptUsage, len(version.Index.Inventory.Backends))
	var group errgroup.Group
	group.SetLimit(maxRecoveryCalls)
	for i, backend := range version.Index.Inventory.Backends {
		if len(backend.Models) == 0 {
			continue
		}
		group.Go(func() error {
			var err error
			reports[i], err = r.engines.AttemptUsages(ctx, backend.Address, instance)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, trace.Wrap(err)
	}
	return billsFromReports(slices.Concat(reports...)), nil
}

// billsFromReports returns one bill for each request whose answer was sent completely. Requests with an idempotency key
// are left out: their bills are stored with their claims.
func billsFromReports(reports []engine.AttemptUsage) []claim.Bill {
	byNumber := make(map[uint64]claim.Bill)
	for _, report := range reports {
		var label caller.AttemptLabel
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
