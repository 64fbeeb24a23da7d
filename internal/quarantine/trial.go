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
	// busy is when to come back while a suspect or its server is being tried.
	busy = time.Second
	// writing is the time in which a router that saw a crash has certainly recorded it.
	writing = 5 * time.Second
)

// try runs a suspect alone in the slot in which nothing crashed. The row of the suspect and a row of the server keep
// any other trial away from both, so that a crash has one suspect.
func (g *Guard) try(ctx context.Context, r Request) (Decision, error) {
	key := recordPrefix + r.Fingerprint
	record, version, err := g.read(ctx, key)
	if err != nil {
		return nil, ErrUnavailable
	}
	if version == 0 {
		return g.unrecorded(r.Fingerprint), nil
	}
	if g.writes(r.Fingerprint) {
		return Later{After: busy, Reason: "crash is being recorded"}, nil
	}
	if record.Quarantined() {
		return Quarantined{Servers: []string{record.Free, record.Fixed}}, nil
	}
	if record.Trial != nil {
		return g.occupied(ctx, r.Fingerprint, *record.Trial)
	}
	run, later := g.place(ctx, r, record)
	if run.Server == "" {
		return later, nil
	}
	return g.claim(ctx, run, record, version)
}

// unrecorded handles a suspect without a row: its crash is still to be written, or it has been cleared.
func (g *Guard) unrecorded(fingerprint string) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.records, fingerprint)
	if heard, ok := g.told[fingerprint]; ok && g.now().Sub(heard.at) > writing {
		delete(g.told, fingerprint)
	}
	return Later{After: busy, Reason: "crash is being recorded"}
}

// writes reports whether this router has a crash of the request still to write.
func (g *Guard) writes(fingerprint string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.todo {
		if e.run.Fingerprint == fingerprint && e.outcome == outcomeCrashed {
			return true
		}
	}
	return false
}

// occupied handles a suspect that another router tries. If that router is dead, nobody knows whether the trial crashed
// its server, so the slot counts as spent.
func (g *Guard) occupied(ctx context.Context, fingerprint string, trial Trial) (Decision, error) {
	if !g.dead(ctx, trial.Instance) {
		return Later{After: busy, Reason: "suspect is being tried"}, nil
	}
	run := Run{Fingerprint: fingerprint, Server: trial.Server, Slot: trial.Slot, Trial: true, holder: trial.Holder}
	if err := g.end(ctx, ending{run: run, outcome: outcomeCrashed}); err != nil {
		return nil, err
	}
	record, _ := g.Lookup(fingerprint)
	return Quarantined{Servers: []string{record.Free, record.Fixed}}, nil
}

// place chooses the server of a trial: in the fixed slot if a server crashed in the free one, and the other way round.
// Without a place the run has no server.
func (g *Guard) place(ctx context.Context, r Request, record Record) (Run, Later) {
	if record.Free == "" {
		run, _ := g.reserve(ctx, r, true)
		return run, Later{After: busy, Reason: "home router of the suspect does not answer"}
	}
	servers, settled := g.fixed(r)
	if !settled || len(servers) == 0 {
		return Run{}, Later{After: g.longest(), Reason: "servers changed"}
	}
	run := g.newRun(r.Fingerprint)
	run.Slot, run.Trial = SlotFixed, true
	run.Server = servers[0]
	if run.Server == record.Free && len(servers) > 1 {
		// The first server is down until every router knows the record, so that no unproven copy gets there.
		run.Server = servers[1]
	}
	return run, Later{}
}

// claim writes the trial into the rows of the suspect and of the server. A claim whose outcome stays unknown is not
// used, and removed by Run.
func (g *Guard) claim(ctx context.Context, run Run, record Record, version uint64) (Decision, error) {
	trial := Trial{Holder: run.holder, Instance: g.Instance, Server: run.Server, Slot: run.Slot}
	record.Trial = &trial
	value, err := json.Marshal(trial)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ops := []table.Op{
		record.put(recordPrefix+run.Fingerprint, version),
		{Key: trialPrefix + run.Server, Value: value, Cond: table.CondAbsent},
	}
	_, err = g.commit(ctx, ops)
	switch {
	case err == nil:
		event.TrialStarted.Log(g.Logger).Str("fingerprint", run.Fingerprint).Str("server", run.Server).Send()
		return run, nil
	case errors.Is(err, table.ErrConflict):
		g.free(run)
		return Later{After: busy, Reason: "server is busy with another suspect"}, g.vacate(ctx, run.Server)
	case errors.Is(err, table.ErrUnavailable):
		g.free(run)
		return nil, ErrUnavailable
	}
	found, _, err := g.read(ctx, recordPrefix+run.Fingerprint)
	if err == nil && found.Trial != nil && found.Trial.Holder == run.holder {
		return run, nil
	}
	_ = g.Cancelled(ctx, run) // Repeated by Run when it fails.
	return nil, ErrUnavailable
}

// vacate removes the row of a server's trial whose router is dead. The suspect's own row still says that its slot
// counts as spent.
func (g *Guard) vacate(ctx context.Context, server string) error {
	callCtx, cancel := context.WithTimeout(ctx, positive(g.Timeout, defaultTimeout))
	defer cancel()
	found, err := g.Table.Get(callCtx, trialPrefix+server)
	if err != nil {
		return nil
	}
	var trial Trial
	if err := json.Unmarshal(found.Value, &trial); err != nil {
		return trace.Wrap(err, "trial row %s", found.Key)
	}
	if !g.dead(ctx, trial.Instance) {
		return nil
	}
	_, err = g.commit(ctx, []table.Op{{Key: found.Key, Delete: true, Cond: table.CondVersion, Version: found.Version}})
	if errors.Is(err, table.ErrConflict) {
		return nil
	}
	return trace.Wrap(err)
}
