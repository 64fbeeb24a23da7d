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
	// outcome says how a copy ended.
	outcome string

	// Record is the value of a suspect's row in the table. The request is quarantined once both slots have a crash.
	Record struct {
		Free  string    `json:"free,omitempty"`  // Server that crashed in the free slot.
		Fixed string    `json:"fixed,omitempty"` // Server that crashed in the fixed slot.
		Time  time.Time `json:"time,omitzero"`   // Time at which the first crash was detected.
		Trial *Trial    `json:"trial,omitempty"` // Running trial, if any.
	}

	// Trial is the only running copy of a suspect.
	Trial struct {
		Holder   string `json:"holder"`   // Identifies the copy.
		Instance string `json:"instance"` // Router instance that runs the trial.
		Server   string `json:"server"`
		Slot     Slot   `json:"slot"`
	}

	// copyEnd is the end of a copy that has to be written to the table.
	copyEnd struct {
		admitted AdmittedCopy
		outcome  outcome
		at       time.Time
	}
)

// Quarantined reports whether the request crashed servers in both slots, so that it must not run again.
func (r Record) Quarantined() bool {
	return r.Free != "" && r.Fixed != ""
}

// merge adds the crashes of another record. A server that is already recorded for a slot is kept. If both slots were on
// the same server, a single crash may have ended copies in both, so that only one slot counts.
func (r Record) merge(other Record) Record {
	if r.Free == "" && other.Free != r.Fixed {
		r.Free = other.Free
	}
	if r.Fixed == "" && other.Fixed != r.Free {
		r.Fixed = other.Fixed
	}
	return r
}

// addCrash adds a crash that was detected at the given time. A single crash of a server may end copies in both slots
// and then counts once. Crashes of the same server at least maxCrashWriteTime apart are separate ones, since a server
// takes longer than that to restart and crash again.
func (r Record) addCrash(admitted AdmittedCopy, at time.Time) Record {
	if r.Free == "" && r.Fixed == "" {
		r.Time = at
	}
	separateCrash := admitted.Trial || at.Sub(r.Time).Abs() >= maxCrashWriteTime
	switch {
	case admitted.Slot == SlotFree && r.Free == "" && (separateCrash || r.Fixed != admitted.Server):
		r.Free = admitted.Server
	case admitted.Slot == SlotFixed && r.Fixed == "" && (separateCrash || r.Free != admitted.Server):
		r.Fixed = admitted.Server
	}
	return r
}

// crashRecord returns a record of a crash of the server on which the copy ran.
func (r AdmittedCopy) crashRecord() Record {
	if r.Slot == SlotFree {
		return Record{Free: r.Server}
	}
	return Record{Fixed: r.Server}
}

// recordEnd writes the end of a copy to the table. If it cannot be written now, Run retries it.
func (g *Guard) recordEnd(ctx context.Context, end copyEnd) error {
	end.at = g.now()
	g.mu.Lock()
	if g.pendingEnds == nil {
		g.pendingEnds = make(map[string]copyEnd)
	}
	g.pendingEnds[end.admitted.holder] = end
	g.mu.Unlock()
	return g.writeEnd(ctx, end)
}

// writeEnd writes the end of a copy, and removes it from the pending ones once the write is confirmed.
func (g *Guard) writeEnd(ctx context.Context, end copyEnd) error {
	record, exists, err := g.applyEnd(ctx, end)
	if err != nil {
		event.CrashUnrecorded.Log(g.Logger).Str("fingerprint", end.admitted.Fingerprint).Str("outcome", string(end.outcome)).Send()
		return trace.Wrap(err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pendingEnds, end.admitted.holder)
	g.cacheRecord(end.admitted.Fingerprint, record, exists)
	return nil
}

// cacheRecord updates the cached record of a fingerprint to the row in the table, which may not exist.
func (g *Guard) cacheRecord(fingerprint string, record Record, exists bool) {
	delete(g.reported, fingerprint)
	if !exists {
		delete(g.records, fingerprint)
		return
	}
	if g.records == nil {
		g.records = make(map[string]Record)
	}
	g.records[fingerprint] = record
}

// applyEnd updates the row of a copy's fingerprint. It reads the row before each write, so that retries are harmless.
// It returns the new record and whether the row exists.
func (g *Guard) applyEnd(ctx context.Context, end copyEnd) (Record, bool, error) {
	key := recordPrefix + end.admitted.Fingerprint
	for range maxAttempts {
		record, version, err := g.readRecord(ctx, key)
		if err != nil {
			return Record{}, false, ErrUnavailable
		}
		next, ops := end.rowChange(key, record, version)
		if len(ops) == 0 {
			return record, version > 0, nil
		}
		_, err = g.commit(ctx, ops)
		if err == nil {
			end.logResult(g, next)
			return next, !ops[0].Delete, nil
		}
		if errors.Is(err, table.ErrUnavailable) {
			break
		}
	}
	return Record{}, false, ErrUnavailable
}

// rowChange returns the record after the end of a copy and the operations that write it. There are none if the row
// already shows the end.
func (e copyEnd) rowChange(key string, old Record, version uint64) (Record, []table.Op) {
	ownTrial := old.Trial != nil && old.Trial.Holder == e.admitted.holder
	next := old
	if e.outcome == outcomeCrashed {
		next = old.addCrash(e.admitted, e.at)
	}
	if ownTrial {
		next.Trial = nil
	}
	if !ownTrial && next == old {
		return old, nil
	}
	ops := []table.Op{next.putOp(key, version)}
	if ownTrial {
		if e.outcome == outcomeCleared && !old.Quarantined() {
			ops[0].Delete = true
		}
		ops = append(ops, table.Op{Key: trialPrefix + old.Trial.Server, Delete: true})
	}
	return next, ops
}

func (e copyEnd) logResult(g *Guard, next Record) {
	switch {
	case next.Quarantined():
		event.Quarantined.Log(g.Logger).Str("fingerprint", e.admitted.Fingerprint).Str("free", next.Free).Str("fixed", next.Fixed).Send()
	case e.outcome == outcomeCleared:
		event.SuspectCleared.Log(g.Logger).Str("fingerprint", e.admitted.Fingerprint).Send()
	}
}

// putOp returns the operation that replaces the given version of a record. Version zero means that no row exists yet.
func (r Record) putOp(key string, version uint64) table.Op {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // A record holds only strings and times, which can always be encoded.
	}
	if version == 0 {
		return table.Op{Key: key, Value: value, Cond: table.CondAbsent}
	}
	return table.Op{Key: key, Value: value, Cond: table.CondVersion, Version: version}
}

// readRecord returns a record and its version, which is zero if there is no row.
func (g *Guard) readRecord(ctx context.Context, key string) (Record, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, positiveOr(g.Timeout, defaultTableTimeout))
	defer cancel()
	found, err := g.Table.Get(ctx, key)
	if errors.Is(err, table.ErrNotFound) {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, err
	}
	record, err := decodeRecord(found)
	return record, found.Version, err
}

func decodeRecord(found table.Row) (Record, error) {
	var record Record
	err := json.Unmarshal(found.Value, &record)
	return record, trace.Wrap(err, "quarantine row %s", found.Key)
}

func (g *Guard) commit(ctx context.Context, ops []table.Op) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, positiveOr(g.Timeout, defaultTableTimeout))
	defer cancel()
	return g.Table.Commit(ctx, ops)
}
