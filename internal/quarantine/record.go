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
	recordPrefix = "quarantine/"
	trialPrefix  = "trial/"

	outcomeCleared   outcome = "cleared"
	outcomeCancelled outcome = "cancelled"
	outcomeCrashed   outcome = "crashed"
)

type (
	outcome string

	// Record is the row of a suspect. A crash in both slots quarantines it.
	Record struct {
		Free  string    `json:"free,omitempty"`  // Server that crashed in the free slot.
		Fixed string    `json:"fixed,omitempty"` // Server that crashed in the fixed slot.
		Time  time.Time `json:"time,omitzero"`   // When the first crash was seen.
		Trial *Trial    `json:"trial,omitempty"`
	}

	// Trial is the only copy of a suspect that runs.
	Trial struct {
		Holder   string `json:"holder"`
		Instance string `json:"instance"`
		Server   string `json:"server"`
		Slot     Slot   `json:"slot"`
	}

	// ending is the end of a copy that changes rows of the table.
	ending struct {
		run     Run
		outcome outcome
		at      time.Time
	}
)

// Quarantined reports whether the request runs no more.
func (r Record) Quarantined() bool {
	return r.Free != "" && r.Fixed != ""
}

// merge adds the crashes of another record. The first server recorded for a slot stays. If both slots were on one
// server, a single crash may have ended copies in both, so the second slot does not count.
func (r Record) merge(other Record) Record {
	if r.Free == "" && other.Free != r.Fixed {
		r.Free = other.Free
	}
	if r.Fixed == "" && other.Fixed != r.Free {
		r.Fixed = other.Fixed
	}
	return r
}

// add counts a crash that was seen at a time. Copies in both slots on one server may end by a single crash, which
// counts once; a server takes longer to serve and crash again than a crash takes to be recorded.
func (r Record) add(run Run, at time.Time) Record {
	if r.Free == "" && r.Fixed == "" {
		r.Time = at
	}
	again := run.Trial || at.Sub(r.Time).Abs() >= writing
	switch {
	case run.Slot == SlotFree && r.Free == "" && (again || r.Fixed != run.Server):
		r.Free = run.Server
	case run.Slot == SlotFixed && r.Fixed == "" && (again || r.Free != run.Server):
		r.Fixed = run.Server
	}
	return r
}

// record is what a crash of the run says.
func (r Run) record() Record {
	if r.Slot == SlotFree {
		return Record{Free: r.Server}
	}
	return Record{Fixed: r.Server}
}

// end writes the end of a copy. What cannot be written now is repeated by Run.
func (g *Guard) end(ctx context.Context, e ending) error {
	e.at = g.now()
	g.mu.Lock()
	if g.todo == nil {
		g.todo = make(map[string]ending)
	}
	g.todo[e.run.holder] = e
	g.mu.Unlock()
	return g.settle(ctx, e)
}

// settle writes an end and forgets it once it is confirmed.
func (g *Guard) settle(ctx context.Context, e ending) error {
	record, exists, err := g.apply(ctx, e)
	if err != nil {
		event.CrashUnrecorded.Log(g.Logger).Str("fingerprint", e.run.Fingerprint).Str("outcome", string(e.outcome)).Send()
		return trace.Wrap(err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.todo, e.run.holder)
	g.keep(e.run.Fingerprint, record, exists)
	return nil
}

// keep stores what a row was seen to be.
func (g *Guard) keep(fingerprint string, record Record, exists bool) {
	delete(g.told, fingerprint)
	if !exists {
		delete(g.records, fingerprint)
		return
	}
	if g.records == nil {
		g.records = make(map[string]Record)
	}
	g.records[fingerprint] = record
}

// apply changes the row of a copy that ended. It reads before each write, so that repeats are harmless.
func (g *Guard) apply(ctx context.Context, e ending) (Record, bool, error) {
	key := recordPrefix + e.run.Fingerprint
	for range attempts {
		old, version, err := g.read(ctx, key)
		if err != nil {
			return Record{}, false, ErrUnavailable
		}
		next, ops := e.change(key, old, version)
		if len(ops) == 0 {
			return old, version > 0, nil
		}
		_, err = g.commit(ctx, ops)
		if err == nil {
			e.log(g, next)
			return next, !ops[0].Delete, nil
		}
		if errors.Is(err, table.ErrUnavailable) {
			break
		}
	}
	return Record{}, false, ErrUnavailable
}

// change returns the row after the end of a copy and the ops that write it, none if the row shows the end already.
func (e ending) change(key string, old Record, version uint64) (Record, []table.Op) {
	mine := old.Trial != nil && old.Trial.Holder == e.run.holder
	next := old
	if e.outcome == outcomeCrashed {
		next = old.add(e.run, e.at)
	}
	if mine {
		next.Trial = nil
	}
	if !mine && next == old {
		return old, nil
	}
	ops := []table.Op{next.put(key, version)}
	if mine {
		if e.outcome == outcomeCleared && !old.Quarantined() {
			ops[0].Delete = true
		}
		ops = append(ops, table.Op{Key: trialPrefix + old.Trial.Server, Delete: true})
	}
	return next, ops
}

func (e ending) log(g *Guard, next Record) {
	switch {
	case next.Quarantined():
		event.Quarantined.Log(g.Logger).Str("fingerprint", e.run.Fingerprint).Str("free", next.Free).Str("fixed", next.Fixed).Send()
	case e.outcome == outcomeCleared:
		event.SuspectCleared.Log(g.Logger).Str("fingerprint", e.run.Fingerprint).Send()
	}
}

// put returns the write of a record over a version, zero if there is no row yet.
func (r Record) put(key string, version uint64) table.Op {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // A record holds only strings, which always encode.
	}
	if version == 0 {
		return table.Op{Key: key, Value: value, Cond: table.CondAbsent}
	}
	return table.Op{Key: key, Value: value, Cond: table.CondVersion, Version: version}
}

// read returns a record and its version, zero if there is no row.
func (g *Guard) read(ctx context.Context, key string) (Record, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, positive(g.Timeout, defaultTimeout))
	defer cancel()
	found, err := g.Table.Get(ctx, key)
	if errors.Is(err, table.ErrNotFound) {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, err
	}
	record, err := decode(found)
	return record, found.Version, err
}

func decode(found table.Row) (Record, error) {
	var record Record
	err := json.Unmarshal(found.Value, &record)
	return record, trace.Wrap(err, "quarantine row %s", found.Key)
}

func (g *Guard) commit(ctx context.Context, ops []table.Op) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, positive(g.Timeout, defaultTimeout))
	defer cancel()
	return g.Table.Commit(ctx, ops)
}
