package crash

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"citronslip/internal/delay"
	"citronslip/internal/event"
	"citronslip/internal/rendezvous"
	"citronslip/internal/store"
)

const (
	// Table is the table of the store with a row for each request that was running on a crashed process, and one for each
	// proof that content is harmless.
	Table = "crash"
	// recordTTL is how long crashes and proofs are kept.
	recordTTL = time.Hour
	// writeTimeout is the timeout of one write to the store, retryInterval the time between two writes after a failed one.
	writeTimeout  = time.Second
	retryInterval = 500 * time.Millisecond
	// maxBatch is the maximum number of rows that one transaction writes or removes.
	maxBatch = 100
	// maxQueue is the maximum number of rows that wait to be written.
	maxQueue = 2 * maxRecords
	// proofSpacing times the number of routers is the time over which the routers spread the proofs that they publish. One
	// that another router has published first is not written again.
	proofSpacing = 5 * time.Millisecond
	// minProofInterval is the minimum time between two publications of proofs.
	minProofInterval = 100 * time.Millisecond
	// publishThreshold is the number of crashes of content in flight from which on a proof that it is harmless is published.
	publishThreshold = 2
	// expiryInterval is the time between two removals of expired rows.
	expiryInterval = time.Minute

	// recentTime is the age of a crash up to which other routers are informed of it while they cannot reach the store,
	// maxRecentRows the maximum number of crashes and of proofs that they are informed of.
	recentTime    = 20 * time.Second
	maxRecentRows = 60

	// separator separates the fingerprint from the server process in the name of a record's row.
	separator = "@"
	// proofPrefix begins the name of a proof's row.
	proofPrefix = "proof/"
)

type (
	// storedRow is the value of a row.
	storedRow struct {
		Clock int64    `json:"clock"` // Store clock in milliseconds of the crash or the answer.
		Parts []string `json:"parts,omitempty"`
		Begun bool     `json:"begun,omitempty"` // Whether the server had gone on with its answer.
	}
)

// put returns the row of a record.
func (r record) put() store.Put {
	return newPut(r.fingerprint+separator+r.process, storedRow{Clock: r.clock.Milliseconds(), Parts: r.parts, Begun: r.progressed})
}

// newPut returns a row of Table. It panics on an error: the value holds only numbers and strings, which always encode.
func newPut(name string, row storedRow) store.Put {
	value, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	return store.Put{Key: store.Key{Table: Table, Name: name}, Value: value}
}

// Apply adds the crashes and proofs of changed rows, as other routers have recorded them.
func (t *Tracker) Apply(change store.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, row := range change.Rows {
		var value storedRow
		if row.Deleted || json.Unmarshal(row.Value, &value) != nil {
			continue // Ignores removed rows and rows that cannot be decoded.
		}
		if t.applyRow(row.Name, value) {
			changed = true
		}
	}
	if t.enterEra(change.Era) {
		t.writeAgain(change.Rows)
	}
	if changed {
		t.update()
	}
}

// enterEra reports whether the store came back from an older copy since the last change. The caller holds the lock.
func (t *Tracker) enterEra(era int64) bool {
	before := t.era
	t.era = max(t.era, era)
	return before != 0 && era > before
}

// writeAgain queues the rows that the store has forgotten, if this router wrote them or is the one that deals with them:
// their writer may have ended. The caller holds the lock.
func (t *Tracker) writeAgain(rows []store.Row) {
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[row.Name] = true
	}
	clock := t.Clock()
	for _, r := range t.evidence.records {
		put := r.put()
		if !listed[put.Name] && (r.own || t.isHome(put.Name, clock)) {
			t.enqueue(put)
		}
	}
	for f := range t.published {
		if !listed[proofPrefix+string(f)] {
			delete(t.published, f)
		}
	}
}

// RecentRows returns the rows of the latest crashes and of the proofs that matter to them, at most maxRecentRows of each,
// whether they are in the store or not. Routers exchange them while they cannot reach the store.
func (t *Tracker) RecentRows() []store.Row {
	if !t.tracking.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	clock := t.Clock()
	recent := make([]record, 0, len(t.evidence.records))
	for _, r := range t.evidence.records {
		if clock-r.clock < recentTime {
			recent = append(recent, r)
		}
	}
	slices.SortFunc(recent, func(a, b record) int { return cmp.Compare(b.clock, a.clock) })
	var rows []store.Row
	for _, r := range recent[:min(len(recent), maxRecentRows)] {
		rows = append(rows, newRow(r.put()))
	}
	for f, s := range t.suspected {
		provenAt, proven := t.evidence.proofs[f]
		if proven && s.processes >= publishThreshold && len(rows) < 2*maxRecentRows {
			rows = append(rows, newRow(newPut(proofPrefix+string(f), storedRow{Clock: provenAt.Milliseconds()})))
		}
	}
	return rows
}

// newRow returns the row that a put writes.
func newRow(put store.Put) store.Row { return store.Row{Key: put.Key, Value: put.Value} }

// applyRow adds one row and reports whether it is news. The caller holds the lock.
func (t *Tracker) applyRow(name string, value storedRow) bool {
	clock := time.Duration(value.Clock) * time.Millisecond
	if text, ok := strings.CutPrefix(name, proofPrefix); ok {
		t.markPublished(feature(text), clock)
		return t.evidence.prove(feature(text), clock)
	}
	fingerprint, process, ok := strings.Cut(name, separator)
	return ok && t.evidence.add(record{process: process, fingerprint: fingerprint, parts: value.Parts, progressed: value.Begun, clock: clock})
}

// markPublished records that the store has a proof. The caller holds the lock.
func (t *Tracker) markPublished(f feature, clock time.Duration) {
	if t.published == nil || len(t.published) >= maxRecords {
		t.published = make(map[feature]time.Duration)
	}
	t.published[f] = max(t.published[f], clock)
}

// enqueue queues a row that Run writes to the store. The caller holds the lock.
func (t *Tracker) enqueue(put store.Put) {
	if len(t.queue) >= maxQueue {
		event.CrashWriteFailed.Log(t.Logger).Int("rows", len(t.queue)).Bool("dropped", true).Send()
		return
	}
	t.queue = append(t.queue, put)
	select {
	case t.wakeChannel() <- struct{}{}:
	default:
	}
}

// wakeChannel returns the channel that wakes Run. The caller holds the lock.
func (t *Tracker) wakeChannel() chan struct{} {
	if t.wake == nil {
		t.wake = make(chan struct{}, 1)
	}
	return t.wake
}

// Run writes the crashes and proofs of this router to the store and removes expired ones, until the context ends. It
// returns nil.
func (t *Tracker) Run(ctx context.Context) error {
	t.mu.Lock()
	wake := t.wakeChannel()
	t.mu.Unlock()
	expiry := time.NewTicker(expiryInterval)
	defer expiry.Stop()
	for {
		proofs := time.After(t.proofInterval())
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		case <-proofs:
			t.queueProofs()
		case <-expiry.C:
			t.removeExpired(ctx)
		}
		t.flush(ctx)
	}
}

// proofInterval returns a random time until the next publication of proofs, which is longer in a larger fleet.
func (t *Tracker) proofInterval() time.Duration {
	spread := time.Duration(len(t.members())) * proofSpacing
	return minProofInterval + rand.N(max(spread, 1))
}

// members returns the addresses of all running routers.
func (t *Tracker) members() []string {
	if t.Members == nil {
		return []string{t.Address}
	}
	return append(t.Members(), t.Address)
}

// isHome reports whether this router is the one that deals with a key at the store clock.
func (t *Tracker) isHome(key string, clock time.Duration) bool {
	period := strconv.FormatInt(int64(clock/trialPeriod), 10)
	return t.Address == rendezvous.Highest(t.members(), func(address string) uint64 { return rendezvous.Hash(address, key, period) })
}

// queueProofs queues the proofs of this router that matter to the others: those of content that was in flight at several
// crashes, if the store has none that is later than the last of these crashes.
func (t *Tracker) queueProofs() {
	if !t.tracking.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, s := range t.suspected {
		clock, proven := t.evidence.proofs[f]
		published, known := t.published[f]
		if s.processes < publishThreshold || !proven || known && (published >= s.last || clock <= published) {
			continue
		}
		t.markPublished(f, clock)
		event.ContentProven.Log(t.Logger).Str("content", string(f)).Int("crashes", s.processes).Dur("age", t.Clock()-clock).Send()
		t.enqueue(newPut(proofPrefix+string(f), storedRow{Clock: clock.Milliseconds()}))
	}
}

// flush writes the queued rows, and retries until all are written or the context ends.
func (t *Tracker) flush(ctx context.Context) {
	for ctx.Err() == nil {
		t.mu.Lock()
		batch := t.queue[:min(len(t.queue), maxBatch)]
		t.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		if err := t.write(ctx, store.Write{Puts: batch}); err != nil {
			event.CrashWriteFailed.Log(t.Logger).Int("rows", len(batch)).Err(err).Send()
			delay.Sleep(ctx, retryInterval)
			continue
		}
		t.mu.Lock()
		t.queue = t.queue[min(len(batch), len(t.queue)):]
		t.mu.Unlock()
	}
}

func (t *Tracker) write(ctx context.Context, w store.Write) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := t.Store.Write(ctx, w)
	return err
}

// removeExpired removes what is older than recordTTL. Each row is removed from the store by one router.
func (t *Tracker) removeExpired(ctx context.Context) {
	t.mu.Lock()
	clock := t.Clock()
	records, proofs := t.evidence.removeExpired(clock)
	t.update()
	t.mu.Unlock()
	var names []string
	for _, key := range records {
		names = append(names, key.fingerprint+separator+key.process)
	}
	for _, f := range proofs {
		names = append(names, proofPrefix+string(f))
	}
	var remove []store.Key
	for _, name := range names {
		if t.isHome(name, clock) {
			remove = append(remove, store.Key{Table: Table, Name: name})
		}
	}
	for len(remove) > 0 {
		batch := min(len(remove), maxBatch)
		if err := t.write(ctx, store.Write{Remove: remove[:batch]}); err != nil {
			event.CrashWriteFailed.Log(t.Logger).Int("rows", len(remove)).Err(err).Send()
			return // The next router that reads the table finds them expired.
		}
		remove = remove[batch:]
	}
}
