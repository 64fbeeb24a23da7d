// Package crash detects requests that crash the backend servers that run them, and blocks them in all routers. Routers
// share the crashes as rows of the store, by request fingerprint and server process.
package crash

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"citronslip/internal/event"
	"citronslip/internal/store"
)

const (
	// blockThreshold is the number of crashed server processes at which a request is blocked. A crash also counts for
	// the other requests that were running on the process, and the retries of a harmless request can meet two crashes
	// by chance.
	blockThreshold = 3
	// suspectWindow is the window after a lost answer in which the end of the server process counts as a crash by the
	// request.
	suspectWindow = 15 * time.Second
	// recordTTL is how long a crash is remembered.
	recordTTL = 10 * time.Minute
	// writeTimeout is the timeout of one write to the store, maxWriteAttempts the maximum number of writes for one
	// crash.
	writeTimeout     = time.Second
	maxWriteAttempts = 20
	// retryInterval is the time between two writes for one crash.
	retryInterval = 500 * time.Millisecond
	// maxSuspects and maxRecords are the maximum numbers of suspects and of recorded fingerprints in memory.
	maxSuspects = 10_000
	maxRecords  = 10_000

	// Table is the table of the store with one row for each crash of a server process by a request.
	Table = "crash"
	// separator separates the fingerprint from the server process in a row's name.
	separator = "@"
)

type (
	// Tracker holds the crashes that this router knows. Set the exported fields before the first use.
	Tracker struct {
		Store  store.Store
		Now    func() time.Time
		Logger *zerolog.Logger

		mu           sync.Mutex
		suspects     map[string][]suspect                // By server.
		suspectCount int                                 // Number of suspects of all servers.
		records      map[string]map[string]time.Duration // Store clock of the crash, by fingerprint and server process.
		storeClock   time.Duration                       // Latest known store clock.
	}

	// suspect is a request whose answer was lost when the connection to its server broke.
	suspect struct {
		fingerprint string    // Fingerprint of the request.
		process     string    // Name and start of the server process.
		lostAt      time.Time // When the answer was lost.
	}

	// crashRow is the value of a crash row.
	crashRow struct {
		Clock int64 `json:"clock"` // Store clock in milliseconds when the crash was recorded.
	}
)

// Blocked reports whether the request with the fingerprint has crashed at least blockThreshold server processes.
func (t *Tracker) Blocked(fingerprint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records[fingerprint]) >= blockThreshold
}

// AddSuspect records that a request was running on a server process when the connection broke.
func (t *Tracker) AddSuspect(fingerprint, server, process string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspects == nil {
		t.suspects = make(map[string][]suspect)
	}
	t.pruneSuspects(server)
	if t.suspectCount >= maxSuspects {
		return
	}
	t.suspects[server] = append(t.suspects[server], suspect{fingerprint, process, t.Now()})
	t.suspectCount++
}

// RecordServerDown records that a server's process has ended. Each request that lost its answer there within
// suspectWindow counts as having crashed the process, which is written to the store in the background.
func (t *Tracker) RecordServerDown(ctx context.Context, server string) {
	t.mu.Lock()
	t.pruneSuspects(server)
	suspects := t.suspects[server]
	t.suspectCount -= len(suspects)
	delete(t.suspects, server)
	for _, s := range suspects {
		t.addRecord(s.fingerprint, s.process, t.storeClock)
	}
	t.mu.Unlock()
	for _, s := range suspects {
		event.CrashRecorded.Log(t.Logger).Str("print", s.fingerprint).Str("process", s.process).Send()
		go t.writeRecord(ctx, s)
	}
}

// Apply adds the crashes of a change of the table, as other routers have recorded them.
func (t *Tracker) Apply(change store.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range change.Rows {
		fingerprint, process, ok := strings.Cut(row.Name, separator)
		var value crashRow
		if !ok || row.Deleted || json.Unmarshal(row.Value, &value) != nil {
			continue // Ignores removed rows and rows that cannot be decoded.
		}
		clock := time.Duration(value.Clock) * time.Millisecond
		t.storeClock = max(t.storeClock, clock)
		countBefore := len(t.records[fingerprint])
		t.addRecord(fingerprint, process, clock)
		if len(t.records[fingerprint]) == blockThreshold && countBefore < blockThreshold {
			event.RequestBlocked.Log(t.Logger).Str("print", fingerprint).Int64("version", row.Version).Send()
		}
	}
}

// addRecord adds a crash, once for each server process. If there are already maxRecords fingerprints, it first removes
// all of them. The caller holds the lock.
func (t *Tracker) addRecord(fingerprint, process string, clock time.Duration) {
	if t.records == nil || len(t.records) >= maxRecords {
		t.records = make(map[string]map[string]time.Duration)
	}
	if t.records[fingerprint] == nil {
		t.records[fingerprint] = make(map[string]time.Duration)
	}
	t.records[fingerprint][process] = clock
}

// pruneSuspects removes the suspects of a server that are older than suspectWindow. The caller holds the lock.
func (t *Tracker) pruneSuspects(server string) {
	kept := t.suspects[server][:0]
	for _, s := range t.suspects[server] {
		if t.Now().Sub(s.lostAt) < suspectWindow {
			kept = append(kept, s)
		}
	}
	t.suspectCount -= len(t.suspects[server]) - len(kept)
	if len(kept) > 0 {
		t.suspects[server] = kept
		return
	}
	delete(t.suspects, server)
}

// writeRecord writes the row of a crash to the store. It retries failed writes up to maxWriteAttempts times, unless the
// context ends.
func (t *Tracker) writeRecord(ctx context.Context, s suspect) {
	key := store.Key{Table: Table, Name: s.fingerprint + separator + s.process}
	for range maxWriteAttempts {
		t.mu.Lock()
		value, err := json.Marshal(crashRow{Clock: t.storeClock.Milliseconds()})
		t.mu.Unlock()
		if err != nil {
			event.CrashWriteFailed.Log(t.Logger).Str("print", s.fingerprint).Err(err).Send()
			return
		}
		writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		result, err := t.Store.Write(writeCtx, store.Write{Puts: []store.Put{{Key: key, Value: value}}})
		cancel()
		if err == nil {
			t.removeExpired(ctx, result.Clock)
			return
		}
		if ctx.Err() != nil {
			return
		}
		event.CrashWriteFailed.Log(t.Logger).Str("print", s.fingerprint).Err(err).Send()
		time.Sleep(retryInterval)
	}
}

// removeExpired removes crashes that are older than recordTTL at the given store clock, in memory and in the store.
func (t *Tracker) removeExpired(ctx context.Context, clock time.Duration) {
	t.mu.Lock()
	t.storeClock = max(t.storeClock, clock)
	var expired []store.Key
	for fingerprint, processes := range t.records {
		for process, recordedAt := range processes {
			if clock-recordedAt > recordTTL {
				expired = append(expired, store.Key{Table: Table, Name: fingerprint + separator + process})
				delete(processes, process)
			}
		}
		if len(processes) == 0 {
			delete(t.records, fingerprint)
		}
	}
	t.mu.Unlock()
	const maxRemovals = 100 // Maximum number of removals in one transaction.
	for len(expired) > 0 {
		batch := min(len(expired), maxRemovals)
		writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		_, err := t.Store.Write(writeCtx, store.Write{Remove: expired[:batch]})
		cancel()
		if err != nil {
			event.CrashWriteFailed.Log(t.Logger).Int("rows", len(expired)).Err(err).Send()
			return
		}
		expired = expired[batch:]
	}
}
