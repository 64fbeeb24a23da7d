// Package quarantine bounds the backend servers that a request can crash to two in the whole fleet.
//
// Every request has two slots. The free slot is one server at a time, granted by the home router of the request's
// fingerprint; the fixed slot is one server that every router computes alike. Copies of a request run only in these
// slots, and a slot in which a server crashed is spent for good. So two crashes are the most, whichever routers the
// copies reach and whether or not these reach each other.
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
	// SlotFree is the server that the home router granted.
	SlotFree Slot = "free"
	// SlotFixed is the server that all routers compute alike.
	SlotFixed Slot = "fixed"

	// defaultPoll is the time between reads of the records.
	defaultPoll = time.Second
	// defaultLease is how long an admission may wait for its dispatch.
	defaultLease = 2 * time.Second
	// defaultLongest is the longest time that a request may run.
	defaultLongest = 10 * time.Minute
	// defaultTimeout bounds one call to the table.
	defaultTimeout = 2 * time.Second
	// defaultKeep is how long records are kept.
	defaultKeep = 7 * 24 * time.Hour
	// answering is how long a request waits for its home router, some hundred times the way there and back.
	answering = 100 * time.Millisecond
	// silence is how long a home router that did not answer is not asked.
	silence = time.Second
	// attempts bounds how often a write is repeated to resolve a conflict or a lost answer.
	attempts = 4
)

var (
	// ErrUnavailable says that a suspect cannot be tried because the table does not answer.
	ErrUnavailable = errors.New("quarantine: table unavailable")
)

type (
	// Slot is one of the two places in which copies of a request may run.
	Slot string

	// Decision is Run, Later or Quarantined.
	Decision interface{ decision() }

	// Run lets a copy run on one server. It ends with Finished, Crashed or Cancelled.
	Run struct {
		Fingerprint string
		Server      string
		Slot        Slot
		Until       time.Time // Latest time of dispatch; after it the copy is to be cancelled and admitted anew.
		Trial       bool      // Whether a suspect is tried alone.
		holder      string
		home        string
	}

	// Later says that no copy may start now.
	Later struct {
		After  time.Duration // Time after which a retry can help.
		Reason string
	}

	// Quarantined says that the request crashed servers in both slots.
	Quarantined struct {
		Servers []string
	}

	// Request is what Admit decides on.
	Request struct {
		Fingerprint string
		Server      string   // Server that routing prefers.
		Scope       string   // Service, model or whatever else selects Servers.
		Servers     []string // Declared servers that may run the request, whatever their present state.
	}

	// Reserve asks the home router of a fingerprint for its free slot.
	Reserve struct {
		Fingerprint string `json:"fingerprint"`
		Server      string `json:"server"`
		Holder      string `json:"holder"`
		Trial       bool   `json:"trial,omitempty"` // Whether a suspect is to be tried in the slot.
	}

	// Grant answers a Reserve. Without a server the fixed slot is to be used.
	Grant struct {
		Server string  `json:"server,omitempty"`
		Record *Record `json:"record,omitempty"` // What the home knows of a suspect.
	}

	// Done tells the home router that a copy ended without a crash.
	Done struct {
		Fingerprint string `json:"fingerprint"`
		Holder      string `json:"holder"`
	}

	// Report tells peers of a crash; it is the message of quarantine.report.
	Report struct {
		Fingerprint string `json:"fingerprint"`
		Slot        Slot   `json:"slot"`
		Server      string `json:"server"`
	}

	// Guard admits the requests of one router. Set the exported fields before the first use.
	Guard struct {
		Table    table.Table
		Instance string
		Host     string          // Name of this router among Hosts.
		Hosts    func() []string // Names of the declared routers, whatever their present state.
		// Fresh says that no earlier process of this host can have granted free slots. Otherwise the router grants
		// none until copies granted by such a process have ended.
		Fresh bool
		// Ask sends a Reserve to the home router. Tell and Free send without waiting for an answer.
		Ask  func(ctx context.Context, host string, r Reserve) (Grant, error)
		Tell func(Report)
		Free func(host string, d Done)
		// Dead reports whether an instance is proven to have ended. Nil means that none is.
		Dead    func(ctx context.Context, instance string) (bool, error)
		Poll    time.Duration // Time between reads of the records; zero means 1 s.
		Lease   time.Duration // Longest time from admission to dispatch; zero means 2 s.
		Longest time.Duration // Longest run of a request; zero means 10 minutes.
		Timeout time.Duration // Limit of one table call; zero means 2 s.
		Keep    time.Duration // How long records are kept; zero means 7 days.
		Now     func() time.Time
		Metrics tally.Scope
		Logger  *zerolog.Logger

		holders atomic.Uint64 // Copies admitted so far.

		mu      sync.Mutex
		loaded  bool                 // Whether the records have been read.
		began   time.Time            // Time of the first admission.
		records map[string]Record    // Rows of the table at the last read, by fingerprint.
		told    map[string]told      // Crashes that peers told of, by fingerprint.
		todo    map[string]ending    // Ends that are not in the table yet, by holder.
		active  map[string]*entry    // Free slots in use of fingerprints whose home is this router.
		silent  map[string]time.Time // Home routers that did not answer, and until when they are not asked.
		orphans []Run                // Copies that a crash ended and whose holder may be dead.
		homes   history              // Lists of declared routers.
		scopes  map[string]*history  // Lists of declared servers.
	}
)

func (Run) decision()         {}
func (Later) decision()       {}
func (Quarantined) decision() {}

// Fingerprint identifies a request by its account, model and content.
func Fingerprint(account, model string, content []byte) string {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(account), []byte(model), content} {
		sum := sha256.Sum256(part)
		hash.Write(sum[:])
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// Admit decides whether and where a copy of a request may run. It is to be called right before dispatch. A request
// that is no suspect costs one call to its home router and none to the table.
func (g *Guard) Admit(ctx context.Context, r Request) (Decision, error) {
	if !g.ready() {
		return Later{After: busy, Reason: "quarantine records are being read"}, nil
	}
	record, suspect := g.Lookup(r.Fingerprint)
	if !suspect {
		decision, found := g.unproven(ctx, r)
		if found == nil {
			return decision, nil
		}
		record = *found
	}
	if record.Quarantined() {
		return Quarantined{Servers: []string{record.Free, record.Fixed}}, nil
	}
	return g.try(ctx, r)
}

// ready reports whether the records have been read since this process started. During an outage of the table a new
// router goes on without them after some time.
func (g *Guard) ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if g.began.IsZero() {
		g.began = now
	}
	return g.loaded || now.Sub(g.began) > writing
}

// Lookup returns what this router knows of a suspect.
func (g *Guard) Lookup(fingerprint string) (Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	record, ok := g.records[fingerprint]
	if heard, also := g.told[fingerprint]; also {
		record, ok = record.merge(heard.record), true
	}
	for _, e := range g.todo {
		if e.run.Fingerprint == fingerprint && e.outcome == outcomeCrashed {
			record, ok = record.merge(e.run.record()), true
		}
	}
	return record, ok
}

// unproven places a copy of a request that is no suspect. It returns the record instead if the home knows one.
func (g *Guard) unproven(ctx context.Context, r Request) (Decision, *Record) {
	run, grant := g.reserve(ctx, r, false)
	if grant.Record != nil {
		return nil, grant.Record
	}
	if grant.Server != "" {
		return run, nil
	}
	servers, settled := g.fixed(r)
	if !settled || len(servers) == 0 {
		return Later{After: g.longest(), Reason: "servers changed while the home router is unreachable"}, nil
	}
	run.Server, run.Slot, run.home = servers[0], SlotFixed, ""
	return run, nil
}

// Unplaced returns the run of a copy that no slot could take: the home router is unreachable and the server of the fixed
// slot takes no work. A request that is no suspect may use it, since refusing every such request would cost far more than
// the chance that copies of a crashing one meet just then. Its crash is recorded like one in the fixed slot.
func (g *Guard) Unplaced(fingerprint, server string) Run {
	run := g.newRun(fingerprint)
	run.Server, run.Slot = server, SlotFixed
	return run
}

// reserve asks the home router for the free slot. Without a grant the result has no server.
func (g *Guard) reserve(ctx context.Context, r Request, trial bool) (Run, Grant) {
	run := g.newRun(r.Fingerprint)
	run.Slot, run.Trial, run.home = SlotFree, trial, first(r.Fingerprint, g.Hosts())
	grant := g.ask(ctx, run.home, Reserve{Fingerprint: r.Fingerprint, Server: r.Server, Holder: run.holder, Trial: trial})
	run.Server = grant.Server
	return run, grant
}

func (g *Guard) newRun(fingerprint string) Run {
	return Run{
		Fingerprint: fingerprint,
		Until:       g.now().Add(positive(g.Lease, defaultLease)),
		holder:      g.Instance + "/" + strconv.FormatUint(g.holders.Add(1), 10),
	}
}

func (g *Guard) ask(ctx context.Context, home string, message Reserve) Grant {
	if home == g.Host {
		return g.Reserve(message)
	}
	if home == "" || g.isSilent(home) {
		return Grant{}
	}
	ctx, cancel := context.WithTimeout(ctx, answering)
	defer cancel()
	grant, err := g.Ask(ctx, home, message)
	if err != nil {
		g.silence(home)
		return Grant{}
	}
	return grant
}

// isSilent reports whether a home router has not answered lately, so that requests need not wait for it.
func (g *Guard) isSilent(home string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.now().Before(g.silent[home])
}

func (g *Guard) silence(home string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.silent == nil {
		g.silent = make(map[string]time.Time)
	}
	g.silent[home] = g.now().Add(silence)
}

// fixed returns the declared servers in the order in which the fixed slot prefers them. While requests may still run
// that were admitted under another list with another first server, the order is not settled.
func (g *Guard) fixed(r Request) ([]string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.scopes == nil {
		g.scopes = make(map[string]*history)
	}
	lists := g.scopes[r.Scope]
	if lists == nil {
		lists = &history{}
		g.scopes[r.Scope] = lists
	}
	lists.add(r.Servers, g.now(), g.overlap())
	ranked := rank(r.Fingerprint, r.Servers)
	return ranked, lists.settled(r.Fingerprint)
}

// overlap is the time for which a copy that was admitted may still run.
func (g *Guard) overlap() time.Duration {
	longest := g.longest()
	return positive(g.Lease, defaultLease) + longest + longest/10 // A tenth more for clocks of different rates.
}

// Finished ends a copy that completed. A suspect that completed alone is cleared.
func (g *Guard) Finished(ctx context.Context, run Run) error {
	g.free(run)
	if !run.Trial {
		return nil
	}
	return g.end(ctx, ending{run: run, outcome: outcomeCleared})
}

// Cancelled ends a copy that was not dispatched or did not run to its end.
func (g *Guard) Cancelled(ctx context.Context, run Run) error {
	g.free(run)
	if !run.Trial {
		return nil
	}
	return g.end(ctx, ending{run: run, outcome: outcomeCancelled})
}

// Crashed ends copies that were in flight on a server that crashed. It is meant for evidence that the server is gone,
// such as a refused connection or a new start time, and not for a single broken connection.
func (g *Guard) Crashed(ctx context.Context, runs []Run) error {
	var failed error
	for _, run := range runs {
		event.CrashSeen.Log(g.Logger).Str("fingerprint", run.Fingerprint).Str("server", run.Server).Send()
		report := Report{Fingerprint: run.Fingerprint, Slot: run.Slot, Server: run.Server}
		g.Report(report)
		if g.Tell != nil {
			g.Tell(report)
		}
		if err := g.end(ctx, ending{run: run, outcome: outcomeCrashed}); err != nil {
			failed = err
		}
	}
	return failed
}

func (g *Guard) free(run Run) {
	switch run.home {
	case "":
	case g.Host:
		g.Done(Done{Fingerprint: run.Fingerprint, Holder: run.holder})
	default:
		g.Free(run.home, Done{Fingerprint: run.Fingerprint, Holder: run.holder})
	}
}

func (g *Guard) now() time.Time {
	if g.Now == nil {
		return time.Now()
	}
	return g.Now()
}

func (g *Guard) longest() time.Duration {
	return positive(g.Longest, defaultLongest)
}

func positive(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}
