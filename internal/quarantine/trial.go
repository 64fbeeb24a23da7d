package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"citronslip/internal/event"
	"citronslip/internal/table"
)

const (
	// trialRetryDelay is the retry delay while the suspect, or another one on the same server, is being tried.
	trialRetryDelay = time.Second
	// maxCrashWriteTime is the time within which a router that detected a crash has certainly recorded it.
	maxCrashWriteTime = 5 * time.Second
)

// startTrial starts the trial of a suspect in the slot that has no crash yet. A row of the suspect and a row of the
// server exclude any other trial of the same suspect or on the same server, so that a crash has only one possible
// cause.
func (g *Guard) startTrial(ctx context.Context, r Request) (Decision, error) {
	key := recordPrefix + r.Fingerprint
	record, version, err := g.readRecord(ctx, key)
	if err != nil {
		return nil, ErrUnavailable
	}
	if version == 0 {
		return g.handleUnrecorded(r.Fingerprint), nil
	}
	if g.hasUnwrittenCrash(r.Fingerprint) {
		return RetryLater{After: trialRetryDelay, Reason: "crash is being recorded"}, nil
	}
	if record.Quarantined() {
		return Quarantined{Servers: []string{record.Free, record.Fixed}}, nil
	}
	if record.Trial != nil {
		return g.handleRunningTrial(ctx, r.Fingerprint, *record.Trial)
	}
	admitted, later := g.placeTrial(ctx, r, record)
	if admitted.Server == "" {
		return later, nil
	}
	return g.claimTrial(ctx, admitted, record, version)
}

// handleUnrecorded handles a suspect without a row: its crash has not been written yet, or the suspect has been
// cleared.
func (g *Guard) handleUnrecorded(fingerprint string) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.records, fingerprint)
	if crash, ok := g.reported[fingerprint]; ok && g.now().Sub(crash.at) > maxCrashWriteTime {
		delete(g.reported, fingerprint)
	}
	return RetryLater{After: trialRetryDelay, Reason: "crash is being recorded"}
}

// hasUnwrittenCrash reports whether this router still has to write a crash of the request.
func (g *Guard) hasUnwrittenCrash(fingerprint string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, end := range g.pendingEnds {
		if end.admitted.Fingerprint == fingerprint && end.outcome == outcomeCrashed {
			return true
		}
	}
	return false
}

// handleRunningTrial handles a suspect whose trial has already started. If the router that runs the trial is dead, it
// is unknown whether the trial crashed its server, so a crash is recorded for the slot.
func (g *Guard) handleRunningTrial(ctx context.Context, fingerprint string, trial Trial) (Decision, error) {
	if !g.isDead(ctx, trial.Instance) {
		return RetryLater{After: trialRetryDelay, Reason: "suspect is being tried"}, nil
	}
	admitted := AdmittedCopy{Fingerprint: fingerprint, Server: trial.Server, Slot: trial.Slot, Trial: true, holder: trial.Holder}
	if err := g.recordEnd(ctx, copyEnd{admitted: admitted, outcome: outcomeCrashed}); err != nil {
		return nil, err
	}
	record, _ := g.Lookup(fingerprint)
	return Quarantined{Servers: []string{record.Free, record.Fixed}}, nil
}

// placeTrial chooses the server of a trial: in the fixed slot if a server crashed in the free one, and vice versa. If
// no server can be used now, the server of the copy is empty and the second result says when to retry.
func (g *Guard) placeTrial(ctx context.Context, r Request, record Record) (AdmittedCopy, RetryLater) {
	if record.Free == "" {
		admitted, _ := g.reserveFreeSlot(ctx, r, true)
		return admitted, RetryLater{After: trialRetryDelay, Reason: "home router of the suspect does not answer"}
	}
	servers, stable := g.fixedSlotServers(r)
	if !stable || len(servers) == 0 {
		return AdmittedCopy{}, RetryLater{After: g.maxRunTime(), Reason: "servers changed"}
	}
	admitted := g.newCopy(r.Fingerprint)
	admitted.Slot, admitted.Trial = SlotFixed, true
	admitted.Server = servers[0]
	if admitted.Server == record.Free && len(servers) > 1 {
		// The first server is down until every router knows the record, so that no copy is admitted to it as
		// unsuspected.
		admitted.Server = servers[1]
	}
	return admitted, RetryLater{}
}

// claimTrial writes the trial into the rows of the suspect and the server. If the outcome of the write stays unknown,
// the trial is not started, and Run removes it from the rows.
func (g *Guard) claimTrial(ctx context.Context, admitted AdmittedCopy, record Record, version uint64) (Decision, error) {
	trial := Trial{Holder: admitted.holder, Instance: g.Instance, Server: admitted.Server, Slot: admitted.Slot}
	record.Trial = &trial
	value, err := json.Marshal(trial)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ops := []table.Op{
		record.putOp(recordPrefix+admitted.Fingerprint, version),
		{Key: trialPrefix + admitted.Server, Value: value, Cond: table.CondAbsent},
	}
	_, err = g.commit(ctx, ops)
	switch {
	case err == nil:
		event.TrialStarted.Log(g.Logger).Str("fingerprint", admitted.Fingerprint).Str("server", admitted.Server).Send()
		return admitted, nil
	case errors.Is(err, table.ErrConflict):
		g.releaseSlot(admitted)
		return RetryLater{After: trialRetryDelay, Reason: "server is busy with another suspect"}, g.removeDeadTrial(ctx, admitted.Server)
	case errors.Is(err, table.ErrUnavailable):
		g.releaseSlot(admitted)
		return nil, ErrUnavailable
	}
	found, _, err := g.readRecord(ctx, recordPrefix+admitted.Fingerprint)
	if err == nil && found.Trial != nil && found.Trial.Holder == admitted.holder {
		return admitted, nil
	}
	_ = g.RecordCancelled(ctx, admitted) // Run retries a failed write.
	return nil, ErrUnavailable
}

// removeDeadTrial deletes the row of a server's trial if the trial's router is dead. The row of the suspect still shows
// the trial, so that a crash is recorded for its slot.
func (g *Guard) removeDeadTrial(ctx context.Context, server string) error {
	callCtx, cancel := context.WithTimeout(ctx, positiveOr(g.Timeout, defaultTableTimeout))
	defer cancel()
	found, err := g.Table.Get(callCtx, trialPrefix+server)
	if err != nil {
		return nil
	}
	var trial Trial
	if err := json.Unmarshal(found.Value, &trial); err != nil {
		return trace.Wrap(err, "trial row %s", found.Key)
	}
	if !g.isDead(ctx, trial.Instance) {
		return nil
	}
	_, err = g.commit(ctx, []table.Op{{Key: found.Key, Delete: true, Cond: table.CondVersion, Version: found.Version}})
	if errors.Is(err, table.ErrConflict) {
		return nil
	}
	return trace.Wrap(err)
}
