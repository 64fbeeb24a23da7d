// Package crash finds content of requests that crashes the backend servers that begin to answer it, and blocks such
// requests in all routers. The content is a whole request that is sent again, or a part that different requests share.
// Routers share the crashes, and the proofs that content is harmless, as rows of the store.
package crash

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/event"
	"citronslip/internal/store"
)

const (
	// suspectWindow is the window after a lost answer in which the end of the server process counts as a crash by the
	// request.
	suspectWindow = 15 * time.Second
	// maxSuspects is the maximum number of suspects in memory.
	maxSuspects = 10_000
	// trialTimeout is how long a request with blocked content counts as the only one that is tried.
	trialTimeout = 15 * time.Second
	// trialPeriod is the time after which another router may try requests with blocked content: the one before may not get
	// any.
	trialPeriod = 30 * time.Second
	// trialRetryAfter is the retry delay in refusals while a request is tried.
	trialRetryAfter = time.Second
	// maxAnswered is the number of features for which it is known when a server last answered a request with them, in each
	// of two generations.
	maxAnswered = 4096
	// MinProgress is the time for which events must come after the first one until the parts of the request count as harmless. A server that crashes as it begins to write may still get the first bytes out.
	MinProgress = 300 * time.Millisecond
	// addressCheckTimeout is the timeout of the check whether a server refuses connections.
	addressCheckTimeout = time.Second
)

type (
	// Request identifies a request by its content.
	Request struct {
		Fingerprint string   // The same for identical requests only.
		Parts       []string // Parts of the content that other requests may have too.
	}

	// Process is a backend server's process.
	Process struct {
		Server  string // Name of the server.
		ID      string // Name and start of the process.
		Address string
	}

	// Decision is the decision of Check: Admitted, Trial or Blocked.
	Decision interface{ decision() }

	// Admitted means that the content is not known to crash servers.
	Admitted struct{}

	// Trial means that the content has crashed servers, and that this request is the only one that is sent to learn whether
	// it still does.
	Trial struct{}

	// Blocked means that the content crashes servers.
	Blocked struct {
		After time.Duration // Time until a request with the content may be tried.
	}

	// Writer writes the rows of Table.
	Writer interface {
		Write(ctx context.Context, w store.Write) (store.Result, error)
	}

	// Tracker holds the crashes that this router knows. Set the exported fields before the first use.
	Tracker struct {
		Store  Writer
		Now    func() time.Time
		Clock  func() time.Duration // Returns an estimate of the store's clock.
		Logger *zerolog.Logger
		// Refuses reports whether a server's address refuses connections, which proves that its process has ended. Optional.
		Refuses func(ctx context.Context, address string) bool
		// Members returns the addresses of the other running routers and Address is that of this one. They decide which router
		// tries requests with blocked content; optional.
		Members func() []string
		Address string
		Metrics tally.Scope // Optional.

		tracking atomic.Bool // Whether there are records, so that answers matter.

		mu           sync.Mutex
		suspects     map[string][]suspect // By server.
		suspectCount int                  // Number of suspects of all servers.
		checking     map[string]bool      // Servers whose address is being checked.
		evidence     evidence
		suspected    map[feature]suspicion // Features of the records.
		verdicts     []verdict
		trials       map[string]time.Time         // Start of the last trial, by key of the verdict.
		sent         map[*sentRequest]struct{}    // Requests that no server has begun to answer.
		answered     [2]map[feature]time.Duration // Store clock of the last answers that this router has seen.
		published    map[feature]time.Duration    // Store clock of the proofs in the store.
		era          int64                        // Era of the store of the last change.
		queue        []store.Put                  // Rows that are still to be written.
		wake         chan struct{}                // Wakes Run when rows are queued.
	}

	// suspicion sums up the records with a feature.
	suspicion struct {
		processes int
		last      time.Duration // Store clock of the last crash.
	}

	// suspect is a request whose answer was lost when the connection to its server broke.
	suspect struct {
		request    Request
		process    Process
		progressed bool // Whether the server had gone on with its answer.
		lostAt     time.Time
		clock      time.Duration // Store clock at lostAt.
	}

	// sentRequest is a request that was sent to a server.
	sentRequest struct {
		features []feature
		withdraw func()
	}
)

func (Admitted) decision() {}
func (Trial) decision()    {}
func (Blocked) decision()  {}

// Check decides whether a request may be sent to a server.
func (t *Tracker) Check(r Request) Decision {
	if !t.tracking.Load() {
		return Admitted{}
	}
	features := r.features()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.verdicts {
		if v.matches(features) {
			return t.tryBlocked(v)
		}
	}
	return Admitted{}
}

// Suspected reports whether the request, or a part of it, was lost or in flight when a server crashed, or when a connection to
// a server broke that may have crashed.
func (t *Tracker) Suspected(r Request) bool {
	features := r.features()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range features {
		if t.suspected[f].processes > 0 {
			return true
		}
	}
	now := t.Now()
	for _, list := range t.suspects {
		for _, s := range list {
			if now.Sub(s.lostAt) < suspectWindow && slices.ContainsFunc(s.request.features(), func(f feature) bool { return slices.Contains(features, f) }) {
				return true
			}
		}
	}
	return false
}

// tryBlocked decides whether a request with blocked content is the one that is tried. The caller holds the lock.
func (t *Tracker) tryBlocked(v verdict) Decision {
	clock := t.Clock()
	if wait := v.blockedUntil() - clock; wait > 0 {
		return Blocked{After: wait}
	}
	key := v.key()
	if !t.isHome(key, clock) || t.Now().Sub(t.trials[key]) < trialTimeout {
		return Blocked{After: trialRetryAfter}
	}
	if t.trials == nil || len(t.trials) >= maxRecords {
		t.trials = make(map[string]time.Time)
	}
	t.trials[key] = t.Now()
	event.RequestTried.Log(t.Logger).Str("content", key).Send()
	return Trial{}
}

// Watch records that the request is sent to a server. The returned function ends that when the server begins to answer, or
// when the attempt ends. If the content turns out to crash servers before that, withdraw is called once.
func (t *Tracker) Watch(r Request, withdraw func()) (end func()) {
	sent := &sentRequest{features: r.features(), withdraw: withdraw}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent == nil {
		t.sent = make(map[*sentRequest]struct{})
	}
	t.sent[sent] = struct{}{}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.sent, sent)
	}
}

// RecordProgress records that a server has gone on with the answer to a request for MinProgress, or has completed it with success.
// That proves its parts harmless.
func (t *Tracker) RecordProgress(r Request) {
	features := r.features()
	t.recordAnswer(features[:len(r.Parts)])
}

// RecordFinished records that a server has completed the answer to a request. That proves the whole request harmless.
func (t *Tracker) RecordFinished(r Request) {
	t.recordAnswer([]feature{requestFeature(r.Fingerprint)})
}

func (t *Tracker) recordAnswer(features []feature) {
	if len(features) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	clock := t.Clock()
	changed := false
	for _, f := range features {
		t.rememberAnswer(f, clock)
		if t.suspected[f].processes > 0 && t.evidence.prove(f, clock) {
			changed = changed || t.isBlocked(f)
		}
	}
	if changed {
		t.update()
	}
}

// isBlocked reports whether the feature is part of a verdict. The caller holds the lock.
func (t *Tracker) isBlocked(f feature) bool {
	return slices.ContainsFunc(t.verdicts, func(v verdict) bool { return slices.Contains(v.features, f) })
}

// rememberAnswer records when a server last answered a request with the feature. The features that were used least
// recently are forgotten. The caller holds the lock.
func (t *Tracker) rememberAnswer(f feature, clock time.Duration) {
	if t.answered[0] == nil || len(t.answered[0]) >= maxAnswered {
		t.answered[0], t.answered[1] = make(map[feature]time.Duration), t.answered[0]
	}
	t.answered[0][f] = clock
}

// lastAnswer returns when a server last answered a request with the feature, as far as this router has seen it. The caller
// holds the lock.
func (t *Tracker) lastAnswer(f feature) (time.Duration, bool) {
	for _, generation := range t.answered {
		if clock, ok := generation[f]; ok {
			return clock, true
		}
	}
	return 0, false
}

// AddSuspect records that the answer to a request was lost when the connection to its server broke. progressed reports whether
// RecordProgress was called for the answer. If the server refuses connections, its process has crashed.
func (t *Tracker) AddSuspect(r Request, p Process, progressed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspects == nil {
		t.suspects = make(map[string][]suspect)
	}
	t.pruneSuspects(p.Server)
	if t.suspectCount >= maxSuspects {
		return
	}
	t.suspects[p.Server] = append(t.suspects[p.Server], suspect{request: r, process: p, progressed: progressed, lostAt: t.Now(), clock: t.Clock()})
	t.suspectCount++
	if t.Refuses != nil && !t.checking[p.Server] {
		t.checkAddress(p)
	}
}

// checkAddress checks in the background whether a server refuses connections. The caller holds the lock.
func (t *Tracker) checkAddress(p Process) {
	if t.checking == nil {
		t.checking = make(map[string]bool)
	}
	t.checking[p.Server] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), addressCheckTimeout)
		defer cancel()
		refused := t.Refuses(ctx, p.Address)
		t.mu.Lock()
		delete(t.checking, p.Server)
		t.mu.Unlock()
		if refused {
			t.RecordServerDown(p.Server)
		}
	}()
}

// RecordServerDown records that a server's process has ended. Each request that lost its answer there within
// suspectWindow may have crashed the process, which Run writes to the store.
func (t *Tracker) RecordServerDown(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pruneSuspects(server)
	suspects := t.suspects[server]
	t.suspectCount -= len(suspects)
	delete(t.suspects, server)
	if len(suspects) == 0 {
		return
	}
	for _, s := range suspects {
		t.addCrash(s)
	}
	t.update()
}

// addCrash records that a server crashed while it ran the request, and queues the row of the store. The caller holds the
// lock.
func (t *Tracker) addCrash(s suspect) {
	r := record{process: s.process.ID, fingerprint: s.request.Fingerprint, parts: s.request.Parts, progressed: s.progressed, clock: s.clock, own: true}
	if !t.evidence.add(r) {
		return
	}
	event.CrashRecorded.Log(t.Logger).Str("print", r.fingerprint).Strs("parts", r.parts).Str("process", r.process).Bool("begun", s.progressed).Send()
	t.count("recorded")
	t.enqueue(r.put())
}

// update finds the content that crashes servers anew, and withdraws requests in flight that have it. The caller holds the
// lock.
func (t *Tracker) update() {
	t.tracking.Store(len(t.evidence.records) > 0)
	t.suspected = t.evidence.suspicions()
	for f := range t.suspected {
		if clock, ok := t.lastAnswer(f); ok {
			t.evidence.prove(f, clock)
		}
	}
	before := t.verdicts
	t.verdicts = t.evidence.findVerdicts()
	for _, v := range t.verdicts {
		if !slices.ContainsFunc(before, func(old verdict) bool { return old.key() == v.key() && old.crashes == v.crashes }) {
			event.RequestBlocked.Log(t.Logger).Str("content", v.key()).Int("crashes", v.crashes).Dur("until", v.blockedUntil()-t.Clock()).Send()
			t.count("blocked")
			t.withdraw(v)
		}
	}
	for _, old := range before {
		if !slices.ContainsFunc(t.verdicts, func(v verdict) bool { return old.key() == v.key() }) {
			event.RequestUnblocked.Log(t.Logger).Str("content", old.key()).Send()
		}
	}
}

// withdraw calls back the requests in flight that have the content. Those with popular content are left, since their
// answers would prove a wrong verdict wrong. The caller holds the lock.
func (t *Tracker) withdraw(v verdict) {
	if v.popular {
		return
	}
	for r := range t.sent {
		if v.matches(r.features) {
			delete(t.sent, r)
			go r.withdraw()
		}
	}
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

// Records returns the number of crash records in memory.
func (t *Tracker) Records() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.evidence.records)
}

func (t *Tracker) count(name string) {
	if t.Metrics != nil {
		t.Metrics.Counter(name).Inc(1)
	}
}
