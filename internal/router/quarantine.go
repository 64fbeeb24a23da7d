package router

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"citronslip/internal/budget"
	"citronslip/internal/quarantine"
	"citronslip/internal/table"
	"citronslip/internal/wire"
)

const (
	// freeSlotTimeout bounds the call that asks the home router of a request for its free slot. After a timeout the
	// request runs in its fixed slot. It also bounds the table read of readPreviousInstance, which delays the start.
	freeSlotTimeout = 300 * time.Millisecond
	// notifyTimeout bounds the call that delivers one notification.
	notifyTimeout = 2 * time.Second
	// maxNotifications bounds the notifications in flight; further ones are dropped.
	maxNotifications = 256
)

// buildQuarantine creates the quarantine of requests that crash backend servers and registers its peer methods. Package
// quarantine defines home routers, free slots and fixed slots.
func (r *Router) buildQuarantine() {
	r.notifySlots = make(chan struct{}, maxNotifications)
	r.quarantine = &quarantine.Guard{
		Table:    r.table,
		Instance: r.instance,
		Host:     r.Settings.Name,
		Hosts:    r.hostNames,
		Fresh:    r.readPreviousInstance(),
		Ask:      r.requestFreeSlot,
		Tell:     r.notifyCrash,
		Free:     r.notifyCopyEnded,
		Dead:     r.provenDead,
		Longest:  r.Settings.Duration,
		Metrics:  r.scope.SubScope("quarantine"),
		Logger:   r.Logger,
	}
	r.peerMethods.Free = r.handleFreeSlot
	r.peerMethods.Done = r.handleCopyEnded
	r.peerMethods.Report = r.handleCrashReport
}

// readPreviousInstance sets previousInstance to the instance that is registered at this peer address. It reports true
// only if certainly none is; a failed read gives false.
func (r *Router) readPreviousInstance() bool {
	ctx, cancel := context.WithTimeout(context.Background(), freeSlotTimeout)
	defer cancel()
	row, err := r.table.Get(ctx, budget.InstanceRowKey(r.Settings.Peer))
	if err != nil {
		return errors.Is(err, table.ErrNotFound)
	}
	var registered budget.InstanceRow
	if json.Unmarshal(row.Value, &registered) == nil {
		r.previousInstance = registered.Instance
	}
	return false
}

// hostNames returns the names of the hosts that the configuration declares; these are the routers.
func (r *Router) hostNames() []string {
	version := r.shared.Version.Load()
	if version == nil {
		return nil
	}
	names := make([]string, 0, len(version.Index.Inventory.Hosts))
	for _, host := range version.Index.Inventory.Hosts {
		names = append(names, host.Name)
	}
	return names
}

// hostAddress returns the peer address of a declared host, or "".
func (r *Router) hostAddress(name string) string {
	version := r.shared.Version.Load()
	if version == nil {
		return ""
	}
	host := version.Index.Host(name)
	if host == nil {
		return ""
	}
	return host.Address
}

// requestFreeSlot asks the home router of a request's fingerprint, on the given host, for the free slot.
func (r *Router) requestFreeSlot(ctx context.Context, host string, reserve quarantine.ReserveRequest) (quarantine.SlotGrant, error) {
	ctx, cancel := context.WithTimeout(ctx, freeSlotTimeout)
	defer cancel()
	answer, err := r.peerClient.ReserveSlot(ctx, r.hostAddress(host), wire.QuarantineReserve{
		Fingerprint: reserve.Fingerprint,
		Server:      reserve.Server,
		Holder:      reserve.Holder,
		Trial:       reserve.Trial,
	})
	if err != nil {
		return quarantine.SlotGrant{}, trace.Wrap(err)
	}
	grant := quarantine.SlotGrant{Server: answer.Server}
	if answer.Record == "" {
		return grant, nil
	}
	grant.Record = &quarantine.Record{}
	return grant, trace.Wrap(json.Unmarshal([]byte(answer.Record), grant.Record))
}

// handleFreeSlot answers another router's call for the free slot of a request whose home is this router.
func (r *Router) handleFreeSlot(_ context.Context, reserve wire.QuarantineReserve) (wire.QuarantineGrant, error) {
	grant := r.quarantine.GrantFreeSlot(quarantine.ReserveRequest{
		Fingerprint: reserve.Fingerprint,
		Server:      reserve.Server,
		Holder:      reserve.Holder,
		Trial:       reserve.Trial,
	})
	answer := wire.QuarantineGrant{Server: grant.Server}
	if grant.Record == nil {
		return answer, nil
	}
	data, err := json.Marshal(grant.Record)
	answer.Record = string(data)
	return answer, trace.Wrap(err)
}

// handleCopyEnded answers another router that reports that a copy of a request ended without a crash.
func (r *Router) handleCopyEnded(_ context.Context, done wire.QuarantineDone) (wire.QuarantineAnswer, error) {
	r.quarantine.EndCopy(quarantine.CopyDone{Fingerprint: done.Fingerprint, Holder: done.Holder})
	return wire.QuarantineAnswer{Done: true}, nil
}

// handleCrashReport answers another router that reports a crash.
func (r *Router) handleCrashReport(_ context.Context, report wire.QuarantineReport) (wire.QuarantineAnswer, error) {
	r.quarantine.AddCrashReport(quarantine.CrashReport{
		Fingerprint: report.Fingerprint,
		Slot:        quarantine.Slot(report.Slot),
		Server:      report.Server,
	})
	r.wakeCrashPoll()
	return wire.QuarantineAnswer{Done: true}, nil
}

// notifyCopyEnded tells the home router on a host that a copy of a request ended without a crash. If the message is
// lost, the slot only stays on its server for longer.
func (r *Router) notifyCopyEnded(host string, done quarantine.CopyDone) {
	r.notify(func(ctx context.Context) {
		// A lost message needs no retry.
		_, _ = r.peerClient.ReportDone(ctx, r.hostAddress(host), wire.QuarantineDone{Fingerprint: done.Fingerprint, Holder: done.Holder})
	})
}

// notifyCrash tells all other routers of a crash without waiting for the record in the table, which is written later.
func (r *Router) notifyCrash(report quarantine.CrashReport) {
	call := wire.QuarantineReport{Fingerprint: report.Fingerprint, Slot: string(report.Slot), Server: report.Server}
	go r.callPeers(func(address string) {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		// Routers that cannot be reached read the record from the table.
		_, _ = r.peerClient.ReportCrash(ctx, address, call)
	})
}

// notify calls send in a goroutine of its own. It drops the message if maxNotifications are in flight.
func (r *Router) notify(send func(ctx context.Context)) {
	select {
	case r.notifySlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-r.notifySlots }()
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		send(ctx)
	}()
}
