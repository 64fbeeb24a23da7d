package entry

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"citronslip/internal/board"
	"citronslip/internal/crash"
	"citronslip/internal/dial"
	"citronslip/internal/dispatch"
	"citronslip/internal/event"
	"citronslip/internal/metrics"
	"citronslip/internal/peer"
	"citronslip/internal/prepaid"
	"citronslip/internal/routing"
	"citronslip/internal/store"
	"citronslip/pkg/inventory"
)

const (
	// bodyShare is the part of the memory that request bodies may take.
	bodyShare = 0.25
	// settingsInterval is the time between two looks at the settings file.
	settingsInterval = time.Second
	// allServers makes every router choose among all servers, so that a prompt has the same home on each of them.
	allServers = 1 << 16
	// scoreNoise is the random part of a server's score. A prompt that is spilled is read again, so that it is small.
	scoreNoise = 0.01
	// readingWeight makes a prompt wait at the server that holds its prefix for longer than it would take to read it anew
	// elsewhere, because that takes time from other requests and memory for a second copy.
	readingWeight = 2
	// serverPause is the time between two changes of the backend servers that are taken. It is short against the time for
	// which a leaving server still takes requests.
	serverPause = 150 * time.Millisecond
	// crashPause is the time between two changes of the recorded crashes that are taken.
	crashPause = 500 * time.Millisecond
)

type (
	// Router is one router on an entry host. Set the fields before Run.
	Router struct {
		Settings Settings
		Reload   func() (Settings, error) // Reads the settings again.
		Path     string                   // Settings file, watched for changes.

		Store           store.Store
		Usage           *store.Usage // Of the store; optional.
		Backend         dispatch.Backend
		DecodeDirectory func(data []byte) (*inventory.Directory, error)
		DecodeServer    func(name string, data []byte) (dispatch.Server, error)
		DirectoryKey    store.Key
		ServerTable     string
		// Callers returns the handler for callers, Readiness the one of the readiness check.
		Callers   func(d *dispatch.Dispatcher, bodies *dispatch.Bodies, lag *dispatch.Lag) http.Handler
		Readiness func(ready func() bool) http.Handler
		Meter     *dial.Meter
		Logger    *zerolog.Logger

		current    board.Cell[Settings] // As last read.
		scope      tally.Scope
		directory  board.Cell[inventory.Directory]
		pool       *dispatch.Pool
		roster     *dispatch.Roster
		dispatcher *dispatch.Dispatcher
		servers    *store.Follower
		lag        *dispatch.Lag
		crashes    *crash.List
		ledger     *prepaid.Ledger
		relay      relay
		peers      *peer.Client
		started    time.Time
		listening  atomic.Bool // Whether callers' connections are taken.
		stopping   atomic.Bool
		wasReady   atomic.Bool
	}
)

// Run serves until the context ends, and then until the requests in flight have ended or the grace period is over.
func (r *Router) Run(ctx context.Context) error {
	scope, scrape, closer := metrics.New()
	defer func() { _ = closer.Close() }()
	r.scope = scope
	r.started = time.Now()
	r.current.Store(&r.Settings)
	if r.Usage != nil {
		r.Usage.Metrics = scope.SubScope("store")
	}
	r.build()
	event.RouterStarted.Log(r.Logger).Str("node", r.Settings.Node).Str("place", r.Settings.Place).
		Str("address", r.Settings.Caller).Str("store", r.Settings.Store).Send()
	// Controllers outlive the stop signal: a stopping router still learns what changes.
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, serving := errgroup.WithContext(serving)
	for _, c := range r.controllers(scrape) {
		group.Go(func() error { return r.guarded(serving, c) })
	}
	// The grants' locks may be held where a panic ends the ledger; its process starts again from the rows of the store.
	group.Go(func() error { return r.ledger.Run(serving) })
	group.Go(func() error {
		defer cancel()
		return r.serve(ctx, serving)
	})
	err := group.Wait()
	event.StopFinished.Log(r.Logger).Err(err).Send()
	return err
}

func (r *Router) build() {
	r.pool = &dispatch.Pool{Picker: &routing.Picker{
		Router:  r.Settings.Node,
		Block:   dispatch.PrefixBlock,
		Home:    1,
		Subset:  allServers,
		Reading: readingWeight,
		Noise:   scoreNoise,
		Metrics: r.scope.SubScope("routing"),
		Logger:  r.Logger,
	}}
	r.crashes = &crash.List{Store: r.Store, Now: time.Now, Logger: r.Logger}
	r.roster = &dispatch.Roster{
		Pool:   r.pool,
		Decode: r.DecodeServer,
		Down:   func(server string) { r.crashes.Down(context.Background(), server) },
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
		Peers:     &lenders{r.peers},
		Started:   r.started,
		Now:       time.Now,
		Logger:    r.Logger,
		Directory: r.directory.Load,
	}
	r.servers = &store.Follower{
		Store:    r.Store,
		Table:    r.ServerTable,
		Apply:    r.takeServers,
		Pause:    serverPause,
		Snapshot: &store.Snapshot{Store: r.Store, Table: r.ServerTable},
		Logger:   r.Logger,
	}
	drain := func() time.Duration { return r.current.Load().Drain }
	r.lag = &dispatch.Lag{
		Drain:  drain,
		Full:   r.Meter.Full,
		Choked: r.Meter.Choked,
		Age:    r.ledger.Reached,
		Trip:   r.ledger.Trip,
		News:   r.servers.Age,
		Now:    time.Now,
		Logger: r.Logger,
	}
	r.dispatcher = &dispatch.Dispatcher{
		Directory: &r.directory,
		Pool:      r.pool,
		Backend:   r.Backend,
		Budgets:   r.ledger,
		Crashes:   r.crashes,
		Behind:    r.lag.Behind,
		Repeats: &dispatch.Repeats{
			Ratio:   r.Settings.RetryRatio,
			Slack:   r.Settings.RetrySlack,
			Window:  r.Settings.RetrySpan,
			Routers: r.ledger.Routers,
			Now:     time.Now,
		},
		Logger:  r.Logger,
		Metrics: r.scope,
	}
}

// controllers returns what runs beside the requests.
func (r *Router) controllers(scrape http.Handler) []controller {
	directory := &store.Follower{
		Store: r.Store, Table: r.DirectoryKey.Table, Part: r.DirectoryKey.Part, Apply: r.takeDirectory, Newest: true, Logger: r.Logger,
	}
	r.relay.age = r.ledger.Age
	crashes := &store.Follower{Store: r.Store, Table: crash.Table, Apply: r.crashes.Apply, Pause: crashPause, Logger: r.Logger}
	list := []controller{
		{"directory", directory.Run},
		{"servers", r.servers.Run},
		{"snapshot", r.saveServers},
		{"crashes", crashes.Run},
		{"peers", r.peers.Run},
		{"fetch", r.fetch},
		{"serve peers", r.servePeers},
		{"roster", r.roster.Run},
		{"settings", r.watchSettings},
		{"ready", func(ctx context.Context) error {
			return serveHTTP(ctx, r.Settings.Ready, &http.Server{Handler: r.Readiness(r.ready)})
		}},
	}
	if r.Usage != nil {
		list = append(list, controller{"usage", r.Usage.Run})
	}
	if r.Settings.Metrics != "" {
		list = append(list, controller{"metrics", func(ctx context.Context) error {
			return serveHTTP(ctx, r.Settings.Metrics, &http.Server{Handler: scrape})
		}})
	}
	return list
}

// takeDirectory puts a configuration in force if it is newer.
func (r *Router) takeDirectory(change store.Change) {
	// A large configuration takes long to read on a small host: of several versions the newest readable one counts.
	for _, row := range slices.Backward(change.Rows) {
		if row.Key != r.DirectoryKey || row.Deleted {
			continue
		}
		directory, err := r.DecodeDirectory(row.Value)
		if err != nil {
			event.DirectoryFault.Log(r.Logger).Int64("row", row.Version).Err(err).Send()
			continue
		}
		r.relay.putDirectory(row)
		r.putDirectory(directory, change.Source)
		return
	}
}

// takeServers takes changed entries of backend servers.
func (r *Router) takeServers(change store.Change) {
	if r.roster.Apply(change) {
		r.relay.putServers(change)
	}
}

func (r *Router) putDirectory(next *inventory.Directory, source string) {
	r.directory.Update(func(old *inventory.Directory) *inventory.Directory {
		if old != nil && old.Version >= next.Version {
			return nil
		}
		var before int64
		if old != nil {
			before = old.Version
		}
		event.DirectoryTaken.Log(r.Logger).Int64("version", next.Version).Int64("before", before).Str("source", source).
			Int("routes", len(next.Routes)).Int("accounts", len(next.Accounts)).Send()
		return next
	})
}

// ready reports whether the router takes connections and can serve, is not about to stop, and has room on its host's link.
func (r *Router) ready() bool {
	full := r.Meter.Filled()
	ready := r.listening.Load() && r.directory.Load() != nil && r.roster.Filled() && !r.stopping.Load() && !full
	if r.wasReady.Swap(ready) != ready {
		in, out := r.Meter.Rates()
		event.ReadinessTurned.Log(r.Logger).Bool("ready", ready).Bool("stopping", r.stopping.Load()).Bool("full", full).
			Float64("in", in).Float64("out", out).Send()
	}
	return ready
}

// watchSettings reads the settings again after SIGHUP and when the file has changed.
func (r *Router) watchSettings(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last := modified(r.Path)
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
		case <-ticker.C:
			if now := modified(r.Path); now.Equal(last) {
				continue
			}
			cause = "file"
		}
		last = modified(r.Path)
		settings, err := r.Reload()
		if err != nil {
			event.SettingsFault.Log(r.Logger).Str("cause", cause).Err(err).Send()
			continue
		}
		event.SettingsRead.Log(r.Logger).Str("cause", cause).Str("node", settings.Node).Bool("applied", r.apply(settings)).Send()
	}
}

// apply puts changed settings in force and reports whether all are. Names and addresses stay those of the start.
func (r *Router) apply(settings Settings) bool {
	r.dispatcher.Repeats.Adjust(settings.RetryRatio, settings.RetrySlack, settings.RetrySpan)
	r.Meter.Adjust(settings.Bandwidth)
	next := r.Settings
	next.Bandwidth, next.Grace, next.Drain = settings.Bandwidth, settings.Grace, settings.Drain
	next.RetryRatio, next.RetrySlack, next.RetrySpan = settings.RetryRatio, settings.RetrySlack, settings.RetrySpan
	r.current.Store(&next)
	return reflect.DeepEqual(next, settings)
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (r *Router) bodyLimit() int64 {
	if d := r.directory.Load(); d != nil {
		return d.Limits.BodyBytes
	}
	return 0
}

// serveHTTP serves one of the router's own addresses until the context ends.
func serveHTTP(ctx context.Context, address string, server *http.Server) error {
	server.ReadHeaderTimeout = 3 * time.Second
	listener, err := dial.Listen(ctx, address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); ctx.Err() == nil {
		return err
	}
	return nil
}
