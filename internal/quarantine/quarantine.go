// Package quarantine limits the backend servers that a single request can crash to two in the whole fleet.
//
// Submissions with the same account, model and content have the same fingerprint and are copies of one request. Every
// request has two slots, and its copies run only in these. The free slot is on one server at a time, which the home
// router of the fingerprint grants: the declared router that rendezvous hashing of the fingerprint ranks first. The
// fixed slot is on the server that rendezvous hashing ranks first, which all routers compute alike without asking each
// other. A slot in which a server crashed is never used again. So a request crashes at most two servers, whichever
// routers its copies reach, even if these routers cannot reach each other.
//
// A request that had a copy in flight on a server that crashed is a suspect. It is recorded in the table, and a later
// copy runs as a trial in the remaining slot. Meanwhile there is no other trial of the request, nor one of another
// suspect on that server. If the trial completes, the suspect is cleared; if the server crashes, the request is
// quarantined and refused from then on.
package quarantine

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/event"
	"citronslip/internal/table"
)

const (
	// SlotFree is the slot on the server that the home router granted.
	SlotFree Slot = "free"
	// SlotFixed is the slot on the server that all routers compute from the fingerprint.
	SlotFixed Slot = "fixed"

	// defaultPollInterval is the time between two reads of the records.
	defaultPollInterval = time.Second
	// defaultDispatchTimeout is the longest time from the admission of a copy to its dispatch.
	defaultDispatchTimeout = 2 * time.Second
	// defaultMaxRunTime is the longest time that a request may run.
	defaultMaxRunTime = 10 * time.Minute
	// defaultTableTimeout bounds one table call.
	defaultTableTimeout = 2 * time.Second
	// defaultRetention is how long records are kept.
	defaultRetention = 7 * 24 * time.Hour
	// homeTimeout is how long a request waits for its home router, about a hundred round trips.
	homeTimeout = 100 * time.Millisecond
	// homeCooldown is how long a home router is not asked again after it did not answer.
	homeCooldown = time.Second
	// maxAttempts bounds the attempts of one table write that conflicts with another or whose outcome is unknown.
	maxAttempts = 4
)

var (
	// ErrUnavailable is returned when the table does not answer, so that a suspect cannot be tried or the end of a copy
	// cannot be recorded yet.
	ErrUnavailable = errors.New("quarantine: table unavailable")
)

type (
	// Slot is one of the two slots in which copies of a request may run.
	Slot string

	// Decision is the decision of Admit: AdmittedCopy, RetryLater or Quarantined.
	Decision interface{ decision() }

	// AdmittedCopy is the decision that a copy may run on one server. The router must report its end to the Guard:
	// finished, cancelled or crashed.
	AdmittedCopy struct {
		Fingerprint string
		Server      string
		Slot        Slot
		Until       time.Time // Latest time of dispatch; after it the copy must be cancelled and admitted again.
		Trial       bool      // Whether the copy is the trial of a suspect.
		holder      string    // Identifies the copy: router instance and number.
		home        string    // Host of the home router that granted the free slot; empty in the fixed slot.
	}

	// RetryLater is returned when no copy may start now.
	RetryLater struct {
		After  time.Duration // Delay after which a retry may succeed.
		Reason string        // Reason for the caller of the request.
	}

	// Quarantined is returned when the request crashed servers in both slots.
	Quarantined struct {
		Servers []string // Servers that crashed.
	}

	// Request is the input of Admit.
	Request struct {
		Fingerprint string
		Server      string   // Server that routing chose.
		Scope       string   // Names the set of servers that may run the request, such as a service and a model.
		Servers     []string // Declared servers that may run the request, whatever their current state.
	}

	// ReserveRequest is the message that asks the home router of a fingerprint for its free slot.
	ReserveRequest struct {
		Fingerprint string `json:"fingerprint"`
		Server      string `json:"server"`          // Server that the sender prefers.
		Holder      string `json:"holder"`          // Identifies the copy.
		Trial       bool   `json:"trial,omitempty"` // Whether the copy is the trial of a suspect.
	}

	// SlotGrant is the answer of a home router that is asked for a free slot. If neither field is set, the free slot is
	// not granted and the fixed slot is to be used.
	SlotGrant struct {
		Server string  `json:"server,omitempty"`
		Record *Record `json:"record,omitempty"` // The home router's record of a suspect.
	}

	// CopyDone is the message that tells the home router that a copy in the free slot ended without a crash.
	CopyDone struct {
		Fingerprint string `json:"fingerprint"`
		Holder      string `json:"holder"`
	}

	// CrashReport is the message that tells the other routers of a crash, sent with quarantine.report.
	CrashReport struct {
		Fingerprint string `json:"fingerprint"`
		Slot        Slot   `json:"slot"`
		Server      string `json:"server"`
	}

	// Guard admits the requests of one router. Set the exported fields before the first use.
	Guard struct {
		Table    table.Table
		Instance string
		Host     string          // Name of this router's host, one of Hosts.
		Hosts    func() []string // Returns the names of the declared hosts, whatever their current state.
		// Fresh tells that no earlier process of this host can have granted free slots. If it is false, the router
		// grants none until copies granted by such a process have ended.
		Fresh bool
		// Ask asks the home router for the free slot. Tell reports a crash to all other routers, and Free tells the
		// home router that a copy has ended, both without waiting for an answer.
		Ask  func(ctx context.Context, host string, r ReserveRequest) (SlotGrant, error)
		Tell func(CrashReport)
		Free func(host string, d CopyDone)
		// Dead reports whether an instance is proven to have ended. If nil, no instance is.
		Dead    func(ctx context.Context, instance string) (bool, error)
		Poll    time.Duration    // Time between two reads of the records; zero means 1 s.
		Lease   time.Duration    // Longest time from admission to dispatch; zero means 2 s.
		Longest time.Duration    // Longest time that a request may run; zero means 10 minutes.
		Timeout time.Duration    // Timeout of one table call; zero means 2 s.
		Keep    time.Duration    // How long records are kept; zero means 7 days.
		Now     func() time.Time // Current time; nil means time.Now.
		Metrics tally.Scope
		Logger  *zerolog.Logger

		copyCount atomic.Uint64 // Number of copies that have been given a holder.

		mu              sync.Mutex
		loaded          bool                     // Whether the records have been read.
		firstAdmission  time.Time                // Time of the first admission.
		records         map[string]Record        // Rows of the table at the last read, by fingerprint.
		reported        map[string]reportedCrash // Crashes that peers reported, by fingerprint.
		pendingEnds     map[string]copyEnd       // Ends of copies that are not in the table yet, by holder.
		freeSlots       map[string]*slotUse      // Free slots in use, by fingerprint, where this router is the home.
		unresponsive    map[string]time.Time     // Time until which a home router is not asked, by host.
		possibleOrphans []AdmittedCopy           // Copies on crashed servers whose routers may be dead.
		hostLists       listHistory              // Lists of declared hosts.
		serverLists     map[string]*listHistory  // Lists of declared servers, by scope.
	}
)

func (AdmittedCopy) decision() {}
func (RetryLater) decision()   {}
func (Quarantined) decision()  {}

// Fingerprint returns a hash of the account, the model and the content of a request, which identifies the request.
func Fingerprint(account, model string, content []byte) string {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(account), []byte(model), content} {
		sum := sha256.Sum256(part)
		hash.Write(sum[:])
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// Admit decides whether and where a copy of a request may run. It must be called immediately before the dispatch. A
// request that is no suspect costs one call to its home router and no table call. ErrUnavailable is returned when a
// suspect cannot be tried because the table does not answer.
func (g *Guard) Admit(ctx context.Context, r Request) (Decision, error) {
	if !g.recordsReady() {
		return RetryLater{After: trialRetryDelay, Reason: "quarantine records are being read"}, nil
	}
	record, suspect := g.Lookup(r.Fingerprint)
	if !suspect {
		decision, found := g.admitUnsuspected(ctx, r)
		if found == nil {
			return decision, nil
		}
		record = *found
	}
	if record.Quarantined() {
		return Quarantined{Servers: []string{record.Free, record.Fixed}}, nil
	}
	return g.startTrial(ctx, r)
}

// recordsReady reports whether the records have been read since this process started. If the table does not answer, it
// also returns true after maxCrashWriteTime, so that a router started during a table outage can serve requests.
func (g *Guard) recordsReady() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if g.firstAdmission.IsZero() {
		g.firstAdmission = now
	}
	return g.loaded || now.Sub(g.firstAdmission) > maxCrashWriteTime
}

// Lookup returns the record of a fingerprint as far as this router knows it, and whether the request is a suspect.
func (g *Guard) Lookup(fingerprint string) (Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	record, ok := g.records[fingerprint]
	if crash, reported := g.reported[fingerprint]; reported {
		record, ok = record.merge(crash.record), true
	}
	for _, end := range g.pendingEnds {
		if end.admitted.Fingerprint == fingerprint && end.outcome == outcomeCrashed {
			record, ok = record.merge(end.admitted.crashRecord()), true
		}
	}
	return record, ok
}

// admitUnsuspected decides on a copy of a request that this router knows of no crash of. If the home router knows the
// request as a suspect, it returns that record instead.
func (g *Guard) admitUnsuspected(ctx context.Context, r Request) (Decision, *Record) {
	admitted, grant := g.reserveFreeSlot(ctx, r, false)
	if grant.Record != nil {
		return nil, grant.Record
	}
	if grant.Server != "" {
		return admitted, nil
	}
	servers, stable := g.fixedSlotServers(r)
	if !stable || len(servers) == 0 {
		return RetryLater{After: g.maxRunTime(), Reason: "servers changed while the home router is unreachable"}, nil
	}
	admitted.Server, admitted.Slot, admitted.home = servers[0], SlotFixed, ""
	return admitted, nil
}

// AdmitUnplaced admits a copy to a server outside both slots, for when the home router is unreachable and the server of
// the fixed slot takes no work. It must be used only for a request that is no suspect. Refusing every such request
// would cost far more than the small risk that several copies of a crashing request run at that time. A crash of the
// copy is recorded like one in the fixed slot.
func (g *Guard) AdmitUnplaced(fingerprint, server string) AdmittedCopy {
	admitted := g.newCopy(fingerprint)
	admitted.Server, admitted.Slot = server, SlotFixed
	return admitted
}

// reserveFreeSlot asks the home router for the free slot. The server of the result is empty if the slot is not granted.
func (g *Guard) reserveFreeSlot(ctx context.Context, r Request, trial bool) (AdmittedCopy, SlotGrant) {
	admitted := g.newCopy(r.Fingerprint)
	admitted.Slot, admitted.Trial, admitted.home = SlotFree, trial, firstRanked(r.Fingerprint, g.Hosts())
	grant := g.askHome(ctx, admitted.home, ReserveRequest{Fingerprint: r.Fingerprint, Server: r.Server, Holder: admitted.holder, Trial: trial})
	admitted.Server = grant.Server
	return admitted, grant
}

func (g *Guard) newCopy(fingerprint string) AdmittedCopy {
	return AdmittedCopy{
		Fingerprint: fingerprint,
		Until:       g.now().Add(positiveOr(g.Lease, defaultDispatchTimeout)),
		holder:      g.Instance + "/" + strconv.FormatUint(g.copyCount.Add(1), 10),
	}
}

func (g *Guard) askHome(ctx context.Context, home string, message ReserveRequest) SlotGrant {
	if home == g.Host {
		return g.GrantFreeSlot(message)
	}
	if home == "" || g.isUnresponsive(home) {
		return SlotGrant{}
	}
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	grant, err := g.Ask(ctx, home, message)
	if err != nil {
		g.markUnresponsive(home)
		return SlotGrant{}
	}
	return grant
}

// isUnresponsive reports whether a home router did not answer within the last homeCooldown, so that requests do not
// wait for it.
func (g *Guard) isUnresponsive(home string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.now().Before(g.unresponsive[home])
}

func (g *Guard) markUnresponsive(home string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unresponsive == nil {
		g.unresponsive = make(map[string]time.Time)
	}
	g.unresponsive[home] = g.now().Add(homeCooldown)
}

// fixedSlotServers returns the declared servers in the order of preference for the fixed slot. It also reports whether
// the first one is stable: no copy still runs that was admitted under a list that ranks another server first.
func (g *Guard) fixedSlotServers(r Request) ([]string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.serverLists == nil {
		g.serverLists = make(map[string]*listHistory)
	}
	history := g.serverLists[r.Scope]
	if history == nil {
		history = &listHistory{}
		g.serverLists[r.Scope] = history
	}
	history.setCurrent(r.Servers, g.now(), g.maxCopyLifetime())
	ranked := rank(r.Fingerprint, r.Servers)
	return ranked, history.isStable(r.Fingerprint)
}

// maxCopyLifetime returns the longest time from the admission of a copy to its end.
func (g *Guard) maxCopyLifetime() time.Duration {
	runTime := g.maxRunTime()
	return positiveOr(g.Lease, defaultDispatchTimeout) + runTime + runTime/10 // 10 % more for clock drift.
}

// RecordFinished ends a copy that completed. If it was the trial of a suspect, the suspect is cleared. If that cannot
// be written to the table, the error is ErrUnavailable and Run retries the write.
func (g *Guard) RecordFinished(ctx context.Context, admitted AdmittedCopy) error {
	g.releaseSlot(admitted)
	if !admitted.Trial {
		return nil
	}
	return g.recordEnd(ctx, copyEnd{admitted: admitted, outcome: outcomeCleared})
}

// RecordCancelled ends a copy that was not dispatched or did not run to its end. If the end of a trial cannot be
// written to the table, the error is ErrUnavailable and Run retries the write.
func (g *Guard) RecordCancelled(ctx context.Context, admitted AdmittedCopy) error {
	g.releaseSlot(admitted)
	if !admitted.Trial {
		return nil
	}
	return g.recordEnd(ctx, copyEnd{admitted: admitted, outcome: outcomeCancelled})
}

// RecordCrashed records the crash of a server for the copies that were in flight on it, and reports it to the other
// routers. It requires evidence that the server process is gone, such as a refused connection or a new start time; a
// single broken connection is not enough. If a crash cannot be written to the table, the error is ErrUnavailable and
// Run retries the write.
func (g *Guard) RecordCrashed(ctx context.Context, copies []AdmittedCopy) error {
	var lastErr error
	for _, admitted := range copies {
		event.CrashDetected.Log(g.Logger).Str("fingerprint", admitted.Fingerprint).Str("server", admitted.Server).Send()
		report := CrashReport{Fingerprint: admitted.Fingerprint, Slot: admitted.Slot, Server: admitted.Server}
		g.AddCrashReport(report)
		if g.Tell != nil {
			g.Tell(report)
		}
		if err := g.recordEnd(ctx, copyEnd{admitted: admitted, outcome: outcomeCrashed}); err != nil {
			lastErr = err
		}
	}
	return lastErr
}

func (g *Guard) releaseSlot(admitted AdmittedCopy) {
	switch admitted.home {
	case "":
	case g.Host:
		g.EndCopy(CopyDone{Fingerprint: admitted.Fingerprint, Holder: admitted.holder})
	default:
		g.Free(admitted.home, CopyDone{Fingerprint: admitted.Fingerprint, Holder: admitted.holder})
	}
}

func (g *Guard) now() time.Time {
	if g.Now == nil {
		return time.Now()
	}
	return g.Now()
}

func (g *Guard) maxRunTime() time.Duration {
	return positiveOr(g.Longest, defaultMaxRunTime)
}

func positiveOr(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}
