package budget

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"citronslip/internal/event"
	"citronslip/internal/table"
	"citronslip/pkg/inventory"
)

const (
	// reclaimerCount is the number of routers that look for dead instances, so that the reads do not grow with the
	// square of the fleet size. With two, one takes over when the other fails.
	reclaimerCount = 2
	// reclaimInterval is the interval between two scans for dead instances.
	reclaimInterval = 15 * time.Second
	// requesterCheckInterval is the interval between two checks of the requesters of open reservations.
	requesterCheckInterval = time.Minute
	// usageReportTimeout is the time for which a reclaim waits for missing usage reports, for example of requests that
	// still run. It is longer than most requests take.
	usageReportTimeout = 2 * time.Minute
	// pageSize is the number of rows that one scan call reads.
	pageSize = 200
	// clockRateMargin is the fraction taken off the autonomy delay because clocks may run at different rates.
	clockRateMargin = 0.1
)

type (
	// reclaimState is the controller's state of reclaims and of its checks of requesters.
	reclaimState struct {
		nextScan time.Time // Earliest time of the next scan for dead instances.
		// reportsMissingSince gives the time from which usage reports of an instance are missing.
		reportsMissingSince map[string]time.Time
		nextRequesterCheck  time.Time            // Earliest time of the next check of requesters.
		absentSince         map[string]time.Time // Time from which an instance's address is missing from the host list.
	}

	// registration is an InstanceRow as read from the table.
	registration struct {
		instance     string
		registeredAt time.Time // Commit time by the table's clock.
	}

	// deadInstance is an instance whose grants are to be closed, with the evidence that it cannot spend any more.
	deadInstance struct {
		instance     string
		aliveRow     AliveRow
		aliveVersion uint64    // Version of the alive row.
		evidenceTime time.Time // Commit time of the evidence, by the table's clock.
	}
)

// reclaim scans for dead instances and closes their grants.
func (g *GrantController) reclaim(ctx context.Context) error {
	now := g.now()
	if now.Before(g.reclaimState.nextScan) || !g.isReclaimer() {
		return nil
	}
	aliveRows, err := g.scan(ctx, "alive/")
	if err != nil {
		return err
	}
	registered, err := g.registrations(ctx)
	if err != nil {
		return err
	}
	g.updateAbsent(ctx, aliveRows)
	g.reclaimState.nextScan = now.Add(reclaimInterval)
	for _, row := range aliveRows {
		dead := deadInstance{instance: aliveInstance(row.Key), aliveVersion: row.Version}
		if dead.instance == g.Instance || json.Unmarshal(row.Value, &dead.aliveRow) != nil {
			continue
		}
		if err := g.reclaimIfDead(ctx, dead, row.Time, registered[instanceKey(dead.aliveRow.Address)]); err != nil {
			return err
		}
	}
	return nil
}

// isReclaimer reports whether this router is one of those that look for dead instances. They are chosen by rendezvous
// hashing, like the home router of a budget.
func (g *GrantController) isReclaimer() bool {
	if g.Live == nil || g.Live.Load() == nil {
		return true
	}
	for _, address := range HomesOf(*g.Live.Load(), Key{Account: "reclaim"}, reclaimerCount) {
		if address == g.Address {
			return true
		}
	}
	return false
}

// registrations returns the InstanceRows by their keys.
func (g *GrantController) registrations(ctx context.Context) (map[string]registration, error) {
	rows, err := g.scan(ctx, "instance/")
	if err != nil {
		return nil, err
	}
	result := make(map[string]registration, len(rows))
	for _, row := range rows {
		var value InstanceRow
		if json.Unmarshal(row.Value, &value) == nil {
			result[row.Key] = registration{instance: value.Instance, registeredAt: row.Time}
		}
	}
	return result, nil
}

// updateAbsent records from when the addresses of instances are missing from the host list. If the list cannot be read,
// nothing changes.
func (g *GrantController) updateAbsent(ctx context.Context, aliveRows []table.Row) {
	if g.Hosts == nil {
		return
	}
	now := g.now()
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	list, err := g.Hosts.Hosts(ctx)
	if err != nil {
		return
	}
	present := make(map[string]bool, len(list))
	for _, host := range list {
		present[host.Address] = true
	}
	absent := make(map[string]time.Time)
	for _, row := range aliveRows {
		var value AliveRow
		instance := aliveInstance(row.Key)
		if json.Unmarshal(row.Value, &value) != nil || present[value.Address] {
			continue
		}
		absent[instance] = now
		if since, ok := g.reclaimState.absentSince[instance]; ok {
			absent[instance] = since
		}
	}
	g.reclaimState.absentSince = absent
}

// reclaimIfDead closes the grants of an instance if there is evidence that it cannot spend any more: another instance
// is registered under its address, its alive row is fenced, or its address has been missing from the host list for
// longer than the lag. The alive row is fenced first, so that no commit in flight can open another grant.
func (g *GrantController) reclaimIfDead(
	ctx context.Context, dead deadInstance, aliveWritten time.Time, current registration,
) error {
	replaced := current.instance != "" && current.instance != dead.instance
	absentSince, absent := g.reclaimState.absentSince[dead.instance]
	absent = absent && g.now().Sub(absentSince) > g.Lag
	if !replaced && !dead.aliveRow.Fenced && !absent {
		return nil
	}
	dead.evidenceTime = aliveWritten
	if replaced && (!dead.aliveRow.Fenced || current.registeredAt.Before(aliveWritten)) {
		dead.evidenceTime = current.registeredAt
	}
	if !dead.aliveRow.Fenced {
		if ok, err := g.fenceInstance(ctx, &dead, !replaced); !ok || err != nil {
			return err
		}
	}
	return g.reclaimGrants(ctx, dead)
}

// fenceInstance fences the alive row of another instance. If the instance is absent from the host list, the commit is
// the evidence; it then also writes an absent row, which stays until the grants are closed. It returns false after a
// conflict.
func (g *GrantController) fenceInstance(ctx context.Context, dead *deadInstance, absent bool) (bool, error) {
	dead.aliveRow.Fenced = true
	ops := []table.Op{putOp(aliveKey(dead.instance), dead.aliveVersion, dead.aliveRow)}
	if absent {
		ops = append(ops, putOp(absentKey(dead.instance), 0, struct{}{}))
	}
	rows, err := g.commit(ctx, ops)
	if errors.Is(err, table.ErrConflict) {
		return false, nil
	}
	if err != nil {
		return false, trace.Wrap(ErrTableFailed, "fence instance: %v", err)
	}
	dead.aliveVersion = rows[0].Version
	if absent {
		dead.evidenceTime = rows[0].Time
	}
	g.log(event.RouterRecordedGone, func(e *zerolog.Event) {
		e.Str("instance", dead.instance).Str("address", dead.aliveRow.Address)
	})
	return true, nil
}

// reclaimGrants closes all grants of a dead instance and then deletes its alive row and absent row. If a grant cannot
// be closed yet, a later scan continues.
func (g *GrantController) reclaimGrants(ctx context.Context, dead deadInstance) error {
	indexRows, err := g.scan(ctx, holdingPrefix(dead.instance))
	if err != nil {
		return err
	}
	for _, row := range indexRows {
		key, ok := holdingBudget(dead.instance, row.Key)
		if !ok {
			continue
		}
		if done, err := g.reclaimGrant(ctx, dead, key); !done || err != nil {
			return err
		}
	}
	_, err = g.commit(ctx, []table.Op{
		deleteOp(aliveKey(dead.instance), dead.aliveVersion),
		{Key: absentKey(dead.instance), Delete: true},
	})
	delete(g.reclaimState.reportsMissingSince, dead.instance)
	if err != nil && !errors.Is(err, table.ErrConflict) {
		return trace.Wrap(ErrTableFailed, "reclaim: %v", err)
	}
	return nil
}

// reclaimGrant closes one grant of a dead instance. It returns false after a conflict or while usage reports are
// missing; a later scan continues.
func (g *GrantController) reclaimGrant(ctx context.Context, dead deadInstance, key Key) (bool, error) {
	var row GrantRow
	version, err := g.get(ctx, GrantRowKey(key, dead.instance), &row)
	if err != nil || version == 0 {
		return err == nil, err
	}
	budget, err := g.readBudget(ctx, key)
	if err != nil {
		return false, err
	}
	charge, ok := g.maxCharge(ctx, dead, key, row)
	if !ok {
		return false, nil
	}
	budget.row.Closed += charge
	budget.row.replaceGrant(row, GrantRow{})
	_, err = g.commit(ctx, []table.Op{
		deleteOp(GrantRowKey(key, dead.instance), version),
		putOp(RowKey(key), budget.version, budget.row),
		{Key: holdingKey(dead.instance, key), Delete: true},
	})
	if errors.Is(err, table.ErrConflict) {
		return false, nil
	}
	if err != nil {
		return false, trace.Wrap(ErrTableFailed, "reclaim: %v", err)
	}
	g.log(event.GrantReclaimed, func(e *zerolog.Event) {
		e.Str("account", key.Account).Str("budget", key.Budget).Str("instance", dead.instance).
			Int64("amount", int64(row.Amount)).Int64("charged", int64(charge))
	})
	return true, nil
}

// chargeDeadRequesters charges the reservations of requesters that cannot spend any more: their alive row is fenced, or
// it was deleted by a planned stop or a finished reclaim.
func (g *GrantController) chargeDeadRequesters(ctx context.Context) error {
	now := g.now()
	if g.Home == nil || now.Before(g.reclaimState.nextRequesterCheck) {
		return nil
	}
	g.reclaimState.nextRequesterCheck = now.Add(requesterCheckInterval)
	for _, instance := range g.Home.Requesters() {
		var row AliveRow
		version, err := g.get(ctx, aliveKey(instance), &row)
		if err != nil {
			return err
		}
		if version != 0 && !row.Fenced {
			continue
		}
		count := g.Home.ChargeRequester(instance)
		g.log(event.RemoteReservationsCharged, func(e *zerolog.Event) { e.Str("instance", instance).Int("count", count) })
	}
	return nil
}

// maxCharge returns the most that a dead instance can have spent of a grant. If the evidence is from less than
// the autonomy delay, reduced by clockRateMargin, after its last confirmation, it spent at most the normal limit.
// Complete usage reports lower the charge to the actual usage. It returns false while it waits for usage reports.
func (g *GrantController) maxCharge(ctx context.Context, dead deadInstance, key Key, row GrantRow) (inventory.Tokens, bool) {
	confirmed := row.Confirmed
	if dead.aliveRow.Confirmed.After(confirmed) {
		confirmed = dead.aliveRow.Confirmed
	}
	maxAge := time.Duration((1 - clockRateMargin) * float64(g.Ledger.autonomy()))
	charge := max(row.Amount, row.Spent)
	if !confirmed.IsZero() && dead.evidenceTime.Sub(confirmed) < maxAge {
		charge = max(min(row.NormalLimit, row.Amount), row.Spent)
	}
	if g.Usage == nil {
		return charge, true
	}
	used, complete := g.Usage(ctx, dead.instance, key)
	if complete {
		return min(charge, max(row.Spent, used-row.ChargedBefore)), true
	}
	if g.reclaimState.reportsMissingSince[dead.instance].IsZero() {
		g.reclaimState.reportsMissingSince[dead.instance] = g.now()
	}
	return charge, g.now().Sub(g.reclaimState.reportsMissingSince[dead.instance]) > usageReportTimeout
}

// scan reads all rows whose key has the prefix. Errors are ErrTableFailed.
func (g *GrantController) scan(ctx context.Context, prefix string) ([]table.Row, error) {
	var result []table.Row
	after := ""
	for {
		rows, err := g.scanPage(ctx, prefix, after)
		if err != nil {
			return nil, trace.Wrap(ErrTableFailed, "scan %s: %v", prefix, err)
		}
		result = append(result, rows...)
		if len(rows) < pageSize {
			return result, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (g *GrantController) scanPage(ctx context.Context, prefix, after string) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	return g.Table.Scan(ctx, prefix, after, pageSize)
}
