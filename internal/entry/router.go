package entry

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"citronslip/internal/board"
	"citronslip/internal/coldstart"
	"citronslip/internal/crash"
	"citronslip/internal/dial"
	"citronslip/internal/dispatch"
	"citronslip/internal/evacuation"
	"citronslip/internal/event"
	"citronslip/internal/hedge"
	"citronslip/internal/memory"
	"citronslip/internal/metrics"
	"citronslip/internal/peer"
	"citronslip/internal/prepaid"
	"citronslip/internal/proxy"
	"citronslip/internal/ratelimit"
	"citronslip/internal/resume"
	"citronslip/internal/routing"
	"citronslip/internal/store"
	"citronslip/pkg/inventory"
)

const (
	// settingsPollInterval is the time between two checks of the settings file.
	settingsPollInterval = time.Second
	// unlimitedSubset makes every router choose among all servers, so that all routers agree on a prompt's home server.
	unlimitedSubset = 1 << 16
	// scoreNoise is the relative random part of a server's score. It is small because a prompt that goes to a server
	// other than its home server has to be processed again there.
	scoreNoise = 0.01
	// prefillWeight makes a prompt wait at the server that holds its prefix for longer than another server would need
	// to process it, because processing it there delays other requests and takes memory for a second copy.
	prefillWeight = 2
	// serverUpdateInterval is the time between two updates of the backend servers. It is short compared with the time
	// for which a leaving server still accepts requests.
	serverUpdateInterval = 150 * time.Millisecond
)

type (
	// Router is one router on an entry host. Set the fields before Run.
	Router struct {
		Settings Settings
		Reload   func() (Settings, error) // Reads the settings file again.
		Path     string                   // Settings file, watched for changes.

		Store           store.Store
		Usage           *store.Usage // Counts the calls to the store; optional.
		Backend         dispatch.Backend
		Health          dispatch.HealthChecker // Checks the health of backend servers; no checks if nil.
		DecodeDirectory func(data []byte) (*inventory.Directory, error)
		DecodeServer    func(name string, data []byte) (dispatch.Server, error)
		DirectoryKey    store.Key
		// Evacuation returns the data centre that a row of DirectoryKey's table evacuates, and false if the row is another one.
		Evacuation  func(key store.Key) (place string, ok bool)
		ServerTable string
		// Callers returns the HTTP handler for callers, Readiness the one for readiness checks.
		Callers   func(d *dispatch.Dispatcher, bodies *dispatch.BodyReader, monitor *dispatch.LinkMonitor) http.Handler
		Readiness func(ready func() bool) http.Handler
		// Paths holds the ways to the backend servers, which Backend uses. Carrier returns the HTTP handler for requests of
		// other routers to backend servers.
		Paths   *proxy.Paths
		Carrier func(d *dispatch.Dispatcher, bodies *dispatch.BodyReader) *proxy.Handler
		Meter   *dial.LinkMeter
		Logger  *zerolog.Logger

		activeSettings board.Cell[Settings] // Settings in force.
		scope          tally.Scope
		directory      board.Cell[inventory.Directory]
		evacuations    board.Cell[evacuation.Places]
		evacuated      *evacuation.Tracker    // Nil if no data centres are evacuated in this deployment.
		standstill     *evacuation.Standstill // Nil as well then.
		operator       *store.Follower        // Of the configuration and the evacuations.
		pool           *dispatch.Pool
		serverRegistry *dispatch.ServerRegistry
		dispatcher     *dispatch.Dispatcher
		serverFollower *store.Follower
		linkMonitor    *dispatch.LinkMonitor
		crashes        *crash.Tracker
		crashFollower  *store.Follower
		ledger         *prepaid.Ledger
		limiter        *ratelimit.Limiter
		limitFollower  *store.Follower
		cold           *coldstart.Limiter
		versions       *store.Versions // Store, with the versions that its answers name.
		streams        *resume.Tracker
		memory         *memory.Budget // Memory that callers and other routers may use together.
		guards         guards
		bodies         *dispatch.BodyReader
		carrier        *proxy.Handler
		relayCache     relayCache
		fetching       sync.Mutex                // Held while the rows of another router are applied.
		peerAnsweredAt atomic.Pointer[time.Time] // When another router last answered a call for rows with the evacuations; nil before the first.
		peers          *peer.Client
		started        time.Time
		listening      atomic.Bool // Whether connections of callers are accepted.
		stopping       atomic.Bool
		closing        atomic.Pointer[time.Time] // When the connections of callers are closed; nil until new ones are refused.
		wasReady       atomic.Bool
	}
)

// Run serves until the context ends, and then until the requests in flight have ended or the grace period is over.
func (r *Router) Run(ctx context.Context) error {
	scope, scrape, closer := metrics.NewRootScope()
	defer func() { _ = closer.Close() }()
	r.scope = scope
	r.started = time.Now()
	r.activeSettings.Store(&r.Settings)
	if r.Usage != nil {
		r.Usage.Metrics = scope.SubScope("store")
	}
	r.buildGuards()
	r.buildComponents()
	event.RouterStarted.Log(r.Logger).Str("node", r.Settings.Node).Str("place", r.Settings.Place).
		Str("address", r.Settings.Caller).Str("store", r.Settings.Store).Send()
	// Controllers outlive the stop signal because a stopping router still needs updates.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, runCtx := errgroup.WithContext(runCtx)
	for _, c := range r.controllers(scrape) {
		group.Go(func() error { return r.supervise(runCtx, c) })
	}
	// A panic of the ledger is not recovered, because it may leave locks of the grants held. The process ends and
	// restarts from the rows of the store.
	group.Go(func() error { return r.ledger.Run(runCtx) })
	group.Go(func() error {
		defer cancel()
		return r.serve(ctx, runCtx)
	})
	err := group.Wait()
	event.ShutdownFinished.Log(r.Logger).Err(err).Send()
	return err
}

func (r *Router) buildComponents() {
	r.versions = &store.Versions{Store: r.Store}
	r.Store = r.versions
	r.pool = &dispatch.Pool{Picker: &routing.Picker{
		Router:    r.Settings.Node,
		Block:     dispatch.PrefixBlockTokens,
		Home:      1,
		Subset:    unlimitedSubset,
		Reading:   prefillWeight,
		Noise:     scoreNoise,
		Trials:    true,
		Transfers: r.Settings.Transfers,
		Routers:   func() int { return r.ledger.RouterCount() },
		Metrics:   r.scope.SubScope("routing"),
		Logger:    r.Logger,
	}}
	r.buildEvacuations()
	r.buildCrashes()
	r.serverRegistry = &dispatch.ServerRegistry{
		Pool:   r.pool,
		Decode: r.DecodeServer,
		Down:   r.crashes.RecordServerDown,
		Logger: r.Logger,
		Now:    time.Now,
	}
	r.peers = &peer.Client{Dial: dialPeer, Logger: r.Logger, Timeout: peerTimeout}
	r.ledger = &prepaid.Ledger{
		Node:      r.Settings.Node,
		Instance:  r.Settings.Node + "/" + uuid.NewString(),
		Address:   r.Settings.Peer,
		Seeds:     slices.DeleteFunc(slices.Clone(r.Settings.Seeds), func(s string) bool { return s == r.Settings.Peer }),
		Store:     r.Store,
		Peers:     &peerBudgets{r.peers},
		Started:   r.started,
		Now:       time.Now,
		Logger:    r.Logger,
		Metrics:   r.scope.SubScope("prepaid"),
		Directory: r.directory.Load,
	}
	r.serverFollower = &store.Follower{
		Store:    r.Store,
		Table:    r.ServerTable,
		Apply:    r.applyServers,
		Pause:    serverUpdateInterval,
		Snapshot: &store.Snapshot{Store: r.Store, Table: r.ServerTable},
		Logger:   r.Logger,
	}
	r.operator = &store.Follower{
		Store: r.Store, Table: r.DirectoryKey.Table, Part: r.DirectoryKey.Part, Apply: r.applyOperator, Newest: true, Logger: r.Logger,
		Bound: func() time.Duration { return r.activeSettings.Load().ConfigApply },
		Named: r.versions,
	}
	r.buildLimiter()
	r.buildCold()
	r.buildStreams()
	r.buildPaths()
	r.pool.Observe = r.observeServers
	drain := func() time.Duration { return r.activeSettings.Load().Drain }
	r.linkMonitor = &dispatch.LinkMonitor{
		Drain:  drain,
		Full:   r.Meter.Congested,
		Choked: r.Meter.Saturated,
		Age:    r.ledger.TimeSinceReached,
		Trip:   r.ledger.HeartbeatLatency,
		News:   r.serverFollower.Age,
		Now:    time.Now,
		Logger: r.Logger,
	}
	r.dispatcher = &dispatch.Dispatcher{
		Directory: &r.directory,
		Pool:      r.pool,
		Backend:   r.Backend,
		Budgets:   r.ledger,
		Crashes:   r.crashes,
		Limits:    r.limiter,
		Cold:      r.cold,
		Streams:   r.streams,
		Behind:    r.linkMonitor.ShouldHoldSends,
		Closing:   r.closingTime,
		Regions:   r.regions(),

		Standstill: r.standstill,
		Memory:     r.memory,
		Repeats: &dispatch.RetryBudget{
			Ratio:   r.Settings.RetryRatio,
			Slack:   r.Settings.RetrySlack,
			Window:  r.Settings.RetrySpan,
			Routers: r.ledger.RouterCount,
			Now:     time.Now,
		},
		Logger:  r.Logger,
		Metrics: r.scope,
	}
	if r.Settings.Hedge > 0 {
		r.dispatcher.Hedges = &hedge.Policy{Share: r.Settings.Hedge, Now: time.Now}
	}
	r.bodies = &dispatch.BodyReader{Budget: r.memory, Limit: r.maxBodyBytes}
	r.carrier = r.Carrier(r.dispatcher, r.bodies)
}

// controllers returns the background tasks of the router.
func (r *Router) controllers(scrape http.Handler) []controller {
	r.relayCache.storeAge = r.ledger.StoreAge
	r.relayCache.readable = func(row store.Row) bool {
		_, err := r.DecodeServer(row.Name, row.Value)
		return err == nil
	}
	list := []controller{
		{"directory", r.operator.Run},
		{"servers", r.serverFollower.Run},
		{"snapshot", r.saveSnapshots},
		{"crashes", r.crashFollower.Run},
		{"crash rows", r.crashes.Run},
		{"rate limits", r.limitFollower.Run},
		{"limiter", r.limiter.Run},
		{"cold servers", r.cold.Run},
		{"streams", r.streams.Run},
		{"peers", r.peers.Run},
		{"fetch", r.fetchRows},
		{"serve peers", r.servePeers},
		{"paths", r.Paths.Run},
		{"roster", r.serverRegistry.Run},
		{"settings", r.watchSettings},
		{"memory", func(ctx context.Context) error { return r.memory.Report(ctx, r.scope.SubScope("memory")) }},
		{"ready", func(ctx context.Context) error {
			return serveHTTP(ctx, r.Settings.Ready, r.Readiness(r.ready), r.guards.readiness)
		}},
	}
	if r.Health != nil {
		prober := &dispatch.HealthProber{
			Dispatcher: r.dispatcher, Checker: r.Health, Directory: &r.directory, Logger: r.Logger, Metrics: r.scope.SubScope("routing"),
		}
		list = append(list, controller{"health", prober.Run})
	}
	if r.Settings.Proxy != "" {
		list = append(list, controller{"carry", r.carry})
	}
	if r.evacuated != nil {
		list = append(list, controller{"evacuations", r.evacuated.Run}, controller{"standstill", r.standstill.Run})
	}
	if r.Usage != nil {
		list = append(list, controller{"usage", r.Usage.Run})
	}
	if r.Settings.Metrics != "" {
		list = append(list, controller{"metrics", func(ctx context.Context) error {
			return serveHTTP(ctx, r.Settings.Metrics, scrape, r.guards.metrics)
		}})
	}
	return list
}

// applyDirectory puts a configuration version in force if it is newer.
func (r *Router) applyDirectory(change store.Change) {
	// Decoding a large configuration takes long on a small host, so only the newest readable version is used.
	for _, row := range slices.Backward(change.Rows) {
		if row.Key != r.DirectoryKey || row.Deleted {
			continue
		}
		directory, err := r.DecodeDirectory(row.Value)
		if err != nil {
			event.DirectoryInvalid.Log(r.Logger).Int64("row", row.Version).Err(err).Send()
			continue
		}
		r.relayCache.putDirectory(row, directory.Version)
		r.setDirectory(directory, change.Source)
		return
	}
}

// applyServers applies changed rows of backend servers.
func (r *Router) applyServers(change store.Change) {
	if r.serverRegistry.Apply(change) {
		r.relayCache.applyServers(change)
	}
}

func (r *Router) setDirectory(next *inventory.Directory, source string) {
	r.directory.Update(func(old *inventory.Directory) *inventory.Directory {
		if old != nil && old.Version >= next.Version {
			return nil
		}
		var before int64
		if old != nil {
			before = old.Version
		}
		event.DirectoryApplied.Log(r.Logger).Int64("version", next.Version).Int64("before", before).Str("source", source).
			Int("routes", len(next.Routes)).Int("accounts", len(next.Accounts)).Send()
		return next
	})
}

// ready reports whether the router accepts connections, knows a configuration, the evacuations and the servers, is not stopping, has
// bandwidth left on its host's link, and is not isolated.
func (r *Router) ready() bool {
	full, isolated := r.Meter.RecentlyCongested(), r.isolated()
	ready := r.listening.Load() && r.directory.Load() != nil && r.knowsEvacuations() && r.serverRegistry.Synced() && !r.stopping.Load() && !full && !isolated
	if r.wasReady.Swap(ready) != ready {
		in, out := r.Meter.Rates()
		event.ReadinessChanged.Log(r.Logger).Bool("ready", ready).Bool("stopping", r.stopping.Load()).Bool("full", full).Bool("isolated", isolated).
			Float64("in", in).Float64("out", out).Send()
	}
	return ready
}

// watchSettings reads the settings again after SIGHUP and when the file has changed.
func (r *Router) watchSettings(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last := modTime(r.Path)
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
		case <-ticker.C:
			if now := modTime(r.Path); now.Equal(last) {
				continue
			}
			cause = "file"
		}
		last = modTime(r.Path)
		settings, err := r.Reload()
		if err != nil {
			event.SettingsInvalid.Log(r.Logger).Str("cause", cause).Err(err).Send()
			continue
		}
		event.SettingsRead.Log(r.Logger).Str("cause", cause).Str("node", settings.Node).Bool("applied", r.applySettings(settings)).Send()
	}
}

// applySettings puts changed settings in force and reports whether all of them are. Names and addresses change only
// with a restart.
func (r *Router) applySettings(settings Settings) bool {
	r.dispatcher.Repeats.Adjust(settings.RetryRatio, settings.RetrySlack, settings.RetrySpan)
	r.Meter.SetBandwidth(settings.Bandwidth)
	next := r.Settings
	next.Bandwidth, next.Grace, next.Drain = settings.Bandwidth, settings.Grace, settings.Drain
	if next.Regions != nil && settings.Regions != nil {
		next.Regions = settings.Regions
	}
	next.ConfigApply = settings.ConfigApply
	next.RetryRatio, next.RetrySlack, next.RetrySpan = settings.RetryRatio, settings.RetrySlack, settings.RetrySpan
	next.ColdBound = settings.ColdBound
	r.activeSettings.Store(&next)
	return reflect.DeepEqual(next, settings)
}

func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (r *Router) maxBodyBytes() int64 {
	if d := r.directory.Load(); d != nil {
		return d.Limits.BodyBytes
	}
	return 0
}

// serveHTTP serves HTTP on one of the router's internal addresses until the context ends.
func serveHTTP(ctx context.Context, address string, handler http.Handler, guard *memory.Guard) error {
	server := &http.Server{
		Handler:           guard.Handler(handler),
		ReadHeaderTimeout: internalHeaderTimeout,
		IdleTimeout:       internalIdleTimeout,
		WriteTimeout:      internalWriteTimeout,
		MaxHeaderBytes:    internalHeaderBytes,
		ConnContext:       memory.ConnContext,
	}
	listener, err := dial.Listen(ctx, address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(guard.Listener(listener)); ctx.Err() == nil {
		return err
	}
	return nil
}
