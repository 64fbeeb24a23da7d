package router

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"citronslip/internal/budget"
	"citronslip/internal/burn"
	"citronslip/internal/caller"
	"citronslip/internal/claim"
	"citronslip/internal/config"
	"citronslip/internal/delay"
	"citronslip/internal/engine"
	"citronslip/internal/event"
	"citronslip/internal/explain"
	"citronslip/internal/hosts"
	"citronslip/internal/metrics"
	"citronslip/internal/object"
	"citronslip/internal/operator"
	"citronslip/internal/peer"
	"citronslip/internal/platform"
	"citronslip/internal/quarantine"
	"citronslip/internal/routing"
	"citronslip/internal/table"
	"citronslip/internal/weights"
)

const (
	platformTimeout = 5 * time.Second
	stopPoll        = 20 * time.Millisecond
	heldWait        = 5 * time.Second
	drainNotice     = time.Second // Time for the balancer to see that the router is not ready.
)

type (
	// Router is one router process. Fields are set before Run.
	Router struct {
		Settings  Settings
		Logger    *zerolog.Logger
		Listening chan<- string // Gets the callers' address once the router listens; may be nil.
		// Credentials let operators in besides those of the settings' credential file.
		Credentials []operator.Credential

		board      Board
		instance   string
		previous   string // Instance of an earlier process under this address; empty if none is known.
		table      table.Table
		objects    object.Store
		hosts      hosts.List
		weights    weights.Store
		ledger     *budget.Ledger
		grants     *budget.Grants
		home       *budget.Home
		remote     *budget.Remote
		guard      *quarantine.Guard
		placements placements
		reported   reported
		telling    chan struct{} // Holds an element for each message without answer on its way.
		claims     *claim.Claims
		biller     *claim.Biller
		picker     *routing.Picker
		engines    *engine.Client
		resolver   *caller.Resolver
		queues     *caller.Queues
		front      *caller.Front
		server     *http.Server
		admin      *http.Server // nil without an operators' address.

		methods    *peer.Methods
		peers      *peer.Client
		peerServer *peer.Server
		membership *peer.Membership
		store      *config.Store
		config     *config.Controller
		traffic    peer.Traffic
		burn       *burn.Recorder
		readings   readings
		scope      tally.Scope
		metrics    http.Handler
	}
)

// Run serves until the context ends, then performs a planned stop.
func (r *Router) Run(ctx context.Context) error {
	closeScope, err := r.build()
	if err != nil {
		return trace.Wrap(err)
	}
	defer closeScope.Close()
	listener, err := net.Listen("tcp", r.Settings.Listen)
	if err != nil {
		return trace.Wrap(err)
	}
	// Both addresses are taken before a controller runs: the registration under the peer address is evidence that an earlier
	// instance there has ended, which it has not while it listens.
	r.peerServer.Listener, err = net.Listen("tcp", r.Settings.Peer)
	if err != nil {
		listener.Close()
		return trace.Wrap(err)
	}
	event.RouterStarted.Log(r.Logger).Str("router", r.Settings.Name).Str("instance", r.instance).
		Str("address", listener.Addr().String()).Send()
	if r.Listening != nil {
		r.Listening <- listener.Addr().String()
	}
	// Controllers outlive the context: a planned stop needs them until the last request has ended.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, background := errgroup.WithContext(background)
	for _, controller := range r.controllers() {
		group.Go(func() error { return controller(background) })
	}
	group.Go(func() error { return r.serve(listener) })
	if r.admin != nil {
		group.Go(func() error { return served(r.admin.ListenAndServe()) })
	}
	// The grants controller must have ended before its grants are closed.
	granting, endGrants := context.WithCancel(background)
	defer endGrants()
	granted := make(chan struct{})
	group.Go(func() error {
		defer close(granted)
		return r.grants.Run(granting)
	})
	select {
	case <-ctx.Done():
	case <-background.Done():
	}
	r.stop(func() {
		endGrants()
		<-granted
	})
	cancel()
	return trace.Wrap(group.Wait())
}

// Ready reports whether the router serves callers.
func (r *Router) Ready() bool {
	return r.board.Version.Load() != nil
}

func (r *Router) controllers() []func(context.Context) error {
	return []func(context.Context) error{
		r.watchHosts,
		r.watchLoads,
		r.watchTraffic,
		r.watchVersions,
		r.watchMembers,
		r.watchBudgets,
		r.peerServer.Run,
		r.peers.Run,
		r.remote.Run,
		r.guard.Run,
		r.recoverBills,
		r.placements.Run,
		r.membership.Run,
		r.config.Run,
		r.claims.Run,
		r.biller.Run,
		r.resolver.Run,
		r.queues.Run,
	}
}

func (r *Router) serve(listener net.Listener) error {
	var err error
	if r.Settings.Certificate != "" {
		err = r.server.ServeTLS(listener, "", "")
	} else {
		err = r.server.Serve(listener)
	}
	return served(err)
}

// served hides the error of a server that was told to stop.
func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// stop performs a planned stop: no new requests, then the end of those in flight, then the return of all grants.
func (r *Router) stop(endGrants func()) {
	event.StopRequested.Log(r.Logger).Str("router", r.Settings.Name).Send()
	stopping := true
	r.board.Stopping.Store(&stopping)
	ctx, cancel := context.WithTimeout(context.Background(), r.Settings.Grace)
	defer cancel()
	r.membership.Leave(ctx)
	delay.For(ctx, min(drainNotice, r.Settings.Grace/4))
	if err := r.server.Shutdown(ctx); err != nil {
		event.StopTimeout.Log(r.Logger).Int64("requests", r.front.InFlight()).Send()
		r.server.Close()
	}
	r.settleHeld(ctx)
	// Failures are logged by the controllers; the grants stay counted until they are reclaimed.
	_ = r.biller.Flush(ctx)
	endGrants()
	_ = r.grants.Close(ctx)
	if r.admin != nil {
		r.admin.Close()
	}
	event.StopFinished.Log(r.Logger).Str("router", r.Settings.Name).Send()
}

// settleHeld waits for the usage reports of held attempts and the ends of remote reservations. A backend server that does
// not answer must not use up the time that the return of the grants needs.
func (r *Router) settleHeld(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, min(heldWait, r.Settings.Grace/3))
	defer cancel()
	for (r.resolver.Waiting() > 0 || r.remote.Waiting() > 0) && limited.Err() == nil {
		delay.For(limited, stopPoll)
	}
	r.resolver.Charge()
}

// build makes the parts. Nothing is opened yet.
func (r *Router) build() (io.Closer, error) {
	r.instance = newInstance(r.Settings.Peer)
	if r.Settings.Name == "" {
		r.Settings.Name = r.Settings.Listen
	}
	scope, scrape, closer := metrics.New()
	r.scope, r.metrics = scope, scrape
	r.buildPlatform()
	r.buildDecisions()
	r.buildPeers()
	r.buildGuard()
	r.buildFront()
	return closer, r.buildOperators()
}

// newInstance returns the identity of a process: when it started, a random part, and where its peer listener is. The
// start lets others tell a later instance at the address from an earlier one.
func newInstance(address string) string {
	return strconv.FormatInt(time.Now().UnixMilli(), 36) + "-" + uuid.NewString()[:8] + "@" + address
}

func (r *Router) buildPlatform() {
	client := platform.Client{Base: r.Settings.Platform, HTTP: engine.NewHTTP(true), Timeout: platformTimeout}
	r.table = &table.Client{Platform: client}
	r.objects = &object.Client{Platform: client}
	r.hosts = &hosts.Client{Platform: client}
	r.weights = &weights.Client{Platform: client}
	r.placements.router = r
	r.engines = &engine.Client{HTTP: engine.NewHTTP(true)}
}

func (r *Router) buildDecisions() {
	r.ledger = &budget.Ledger{Declared: &r.board.Declared, Logger: r.Logger, Scope: r.scope.SubScope("budget")}
	r.home = &budget.Home{Ledger: r.ledger}
	r.grants = &budget.Grants{
		Table:    r.table,
		Hosts:    r.hosts,
		Ledger:   r.ledger,
		Declared: &r.board.Declared,
		Home:     r.home,
		Live:     &r.board.Live,
		Instance: r.instance,
		Address:  r.Settings.Peer,
		Logger:   r.Logger,
		Scope:    r.scope.SubScope("grants"),
	}
	r.claims = &claim.Claims{
		Table:     r.table,
		Objects:   r.objects,
		Instance:  r.instance,
		Retention: r.Settings.Retention,
		Dead:      r.dead,
		Metrics:   r.scope.SubScope("claim"),
		Logger:    r.Logger,
	}
	r.biller = &claim.Biller{
		Table:    r.table,
		Instance: r.instance,
		Metrics:  r.scope.SubScope("bill"),
		Logger:   r.Logger,
	}
	r.claims.Owed = r.biller.Add
	r.picker = &routing.Picker{Router: r.Settings.Name, Logger: r.Logger, Metrics: r.scope.SubScope("routing")}
	r.burn = &burn.Recorder{}
	r.queues = &caller.Queues{
		Patience: r.Settings.Queue,
		Scope:    r.scope.SubScope("admission"),
		Logger:   r.Logger,
	}
	r.resolver = &caller.Resolver{Engines: r.engines, Logger: r.Logger}
}

func (r *Router) buildFront() {
	r.front = &caller.Front{
		Router:      r.Settings.Name,
		Instance:    r.instance,
		Version:     &r.board.Version,
		Stopping:    &r.board.Stopping,
		Ledger:      r.ledger,
		Picker:      r.picker,
		Retrier:     &routing.Retrier{},
		Queues:      r.queues,
		Claims:      r.claims,
		Biller:      r.biller,
		Explain:     &explain.Log{},
		Resolver:    r.resolver,
		Remote:      r.remote,
		Guard:       r.guard,
		Burn:        r.burn,
		Ask:         r.askClaim,
		Scope:       r.scope.SubScope("caller"),
		Engines:     r.engines,
		Once:        &engine.Client{HTTP: engine.NewHTTP(false)},
		Logger:      r.Logger,
		BodyBytes:   int64(r.Settings.Body),
		HeaderBytes: r.Settings.Header,
		Duration:    r.Settings.Duration,
		Idle:        r.Settings.Idle,
	}
	r.server = r.front.Server()
	if r.Settings.Certificate != "" {
		r.server.TLSConfig = r.callersTLS()
	}
}
