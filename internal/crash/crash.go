// Package crash finds requests that crash the backend servers that run them, and stops them in all routers.
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
	// blockAt is the number of crashes of different server processes at which a request is stopped. Other requests that
	// were running there are counted as well, and a caller's repeats can meet two crashes by chance.
	blockAt = 3
	// suspectLife is how long after a lost answer the end of its server is held against the request.
	suspectLife = 15 * time.Second
	// recordLife is how long a crash is remembered.
	recordLife = 10 * time.Minute
	// writeTime bounds a write to the store, writeTries the number of them for one crash.
	writeTime  = time.Second
	writeTries = 20
	// retryWait is the time between two writes.
	retryWait = 500 * time.Millisecond
	// mostSuspects and mostRecords bound the memory.
	mostSuspects = 10_000
	mostRecords  = 10_000

	// Table holds a row for each crash.
	Table = "crash"
	// separator stands between a fingerprint and a server process in a row's name.
	separator = "@"
)

type (
	// List is a router's view of the crashes. Set the fields before first use.
	List struct {
		Store  store.Store
		Now    func() time.Time
		Logger *zerolog.Logger

		mu       sync.Mutex
		suspects map[string][]suspect                // By server.
		count    int                                 // Of suspects.
		records  map[string]map[string]time.Duration // Store's clock by server process, by fingerprint.
		clock    time.Duration
	}

	// suspect is a request that lost its answer.
	suspect struct {
		mark    string
		process string // Name and start of the server process.
		time    time.Time
	}

	// crashRow is the value of a row.
	crashRow struct {
		Clock int64 `json:"clock"` // Store's clock in milliseconds when the crash was recorded.
	}
)

// Blocked reports whether the request with the fingerprint has crashed too many server processes.
func (l *List) Blocked(mark string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records[mark]) >= blockAt
}

// Suspect notes that a request was running on a server when the connection broke.
func (l *List) Suspect(mark, server, process string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.suspects == nil {
		l.suspects = make(map[string][]suspect)
	}
	l.prune(server)
	if l.count >= mostSuspects {
		return
	}
	l.suspects[server] = append(l.suspects[server], suspect{mark, process, l.Now()})
	l.count++
}

// Down notes that a server's process is gone. The requests that lost their answers there shortly before are recorded.
func (l *List) Down(ctx context.Context, server string) {
	l.mu.Lock()
	l.prune(server)
	found := l.suspects[server]
	l.count -= len(found)
	delete(l.suspects, server)
	for _, s := range found {
		l.record(s.mark, s.process, l.clock)
	}
	l.mu.Unlock()
	for _, s := range found {
		event.CrashRecorded.Log(l.Logger).Str("print", s.mark).Str("process", s.process).Send()
		go l.write(ctx, s)
	}
}

// Apply takes over the crashes that other routers have recorded.
func (l *List) Apply(change store.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range change.Rows {
		mark, process, ok := strings.Cut(row.Name, separator)
		var value crashRow
		if !ok || row.Deleted || json.Unmarshal(row.Value, &value) != nil {
			continue // Rows of other writers name no crash.
		}
		clock := time.Duration(value.Clock) * time.Millisecond
		l.clock = max(l.clock, clock)
		before := len(l.records[mark])
		l.record(mark, process, clock)
		if len(l.records[mark]) == blockAt && before < blockAt {
			event.CrashBlocked.Log(l.Logger).Str("print", mark).Int64("version", row.Version).Send()
		}
	}
}

// record counts a crash once for each server process. The caller holds the lock.
func (l *List) record(mark, process string, clock time.Duration) {
	if l.records == nil || len(l.records) >= mostRecords {
		l.records = make(map[string]map[string]time.Duration)
	}
	if l.records[mark] == nil {
		l.records[mark] = make(map[string]time.Duration)
	}
	l.records[mark][process] = clock
}

// prune forgets the suspects of a server that are too old. The caller holds the lock.
func (l *List) prune(server string) {
	kept := l.suspects[server][:0]
	for _, s := range l.suspects[server] {
		if l.Now().Sub(s.time) < suspectLife {
			kept = append(kept, s)
		}
	}
	l.count -= len(l.suspects[server]) - len(kept)
	if len(kept) > 0 {
		l.suspects[server] = kept
		return
	}
	delete(l.suspects, server)
}

// write records a crash in the store.
func (l *List) write(ctx context.Context, s suspect) {
	key := store.Key{Table: Table, Name: s.mark + separator + s.process}
	for range writeTries {
		l.mu.Lock()
		value, err := json.Marshal(crashRow{Clock: l.clock.Milliseconds()})
		l.mu.Unlock()
		if err != nil {
			event.CrashUnwritten.Log(l.Logger).Str("print", s.mark).Err(err).Send()
			return
		}
		attempt, cancel := context.WithTimeout(ctx, writeTime)
		result, err := l.Store.Write(attempt, store.Write{Puts: []store.Put{{Key: key, Value: value}}})
		cancel()
		if err == nil {
			l.forget(ctx, result.Clock)
			return
		}
		if ctx.Err() != nil {
			return
		}
		event.CrashUnwritten.Log(l.Logger).Str("print", s.mark).Err(err).Send()
		time.Sleep(retryWait)
	}
}

// forget removes crashes that are too old, here and in the store.
func (l *List) forget(ctx context.Context, clock time.Duration) {
	l.mu.Lock()
	l.clock = max(l.clock, clock)
	var old []store.Key
	for mark, processes := range l.records {
		for process, at := range processes {
			if clock-at > recordLife {
				old = append(old, store.Key{Table: Table, Name: mark + separator + process})
				delete(processes, process)
			}
		}
		if len(processes) == 0 {
			delete(l.records, mark)
		}
	}
	l.mu.Unlock()
	const mostEntries = 100 // Of one transaction.
	for len(old) > 0 {
		n := min(len(old), mostEntries)
		attempt, cancel := context.WithTimeout(ctx, writeTime)
		_, err := l.Store.Write(attempt, store.Write{Remove: old[:n]})
		cancel()
		if err != nil {
			event.CrashUnwritten.Log(l.Logger).Int("rows", len(old)).Err(err).Send()
			return
		}
		old = old[n:]
	}
}
