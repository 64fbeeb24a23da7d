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

	"citronslip/internal/board"
	"citronslip/internal/budget"
	"citronslip/internal/burn"
	"citronslip/internal/caller"
	"citronslip/internal/claim"
	"citronslip/internal/config"
	"citronslip/internal/crash"
	"citronslip/internal/delay"
	"citronslip/internal/drain"
	"citronslip/internal/engine"
	"citronslip/internal/event"
	"citronslip/internal/explain"
	"citronslip/internal/hosts"
	"citronslip/internal/memory"
	"citronslip/internal/metrics"
	"citronslip/internal/object"
	"citronslip/internal/operator"
	"citronslip/internal/peer"
	"citronslip/internal/platform"
	"citronslip/internal/proxy"
	"citronslip/internal/quarantine"
	"citronslip/internal/routing"
	"citronslip/internal/table"
	"citronslip/internal/weights"
)

const (
	// platformTimeout bounds one call to a service of the platform.
	platformTimeout = 5 * time.Second
	// stopPollInterval is the time between two checks for attempts that are not settled during a shutdown.
	stopPollInterval = 20 * time.Millisecond
	// settleTimeout bounds the wait for those attempts.
	settleTimeout = 5 * time.Second
	// drainNoticeDelay is how long a stopping router still accepts connections, so that load balancers notice that it
	// is not ready.
	drainNoticeDelay = time.Second
)

type (
	// Router is one router process. The exported fields are set before Run.
	Router struct {
		Settings  Settings
		Logger    *zerolog.Logger
		Listening chan<- string // Receives the address for callers once the router listens; may be nil.
		// Dial, if set, opens the connections to backend servers in place of a TCP dialer.
		Dial engine.Dial
		// Credentials are accepted from operators in addition to those of the credential file in Settings.
		Credentials []operator.Credential

		shared           SharedState // State that the controllers share.
		instance         string      // Identity of this process, see newInstance.
		previousInstance string      // Instance of an earlier process at this peer address; empty if none is known.
		table            table.Table
		objects          object.Store
		hosts            hosts.List
		weights          weights.Store
		ledger           *budget.Ledger          // Reservations and charges of the budgets at this router.
		grants           *budget.GrantController // Tokens that the table grants to this router.
		budgetHome       *budget.Home            // Reservations of other routers at this one.
		remoteBudgets    *budget.Remote          // Reservations of this router at others.
		quarantine       *quarantine.Guard
		crashTable       *crashTable
		crashReports     chan struct{}  // Receives an element when another router reports a crash.
		crashes          *crash.Tracker // Finds messages that crash backend servers in many requests.
		placements       placements
		reportedModels   reportedModels
		notifySlots      chan struct{} // Semaphore of notify: one element for each notification in flight.
		claims           *claim.Claims // Idempotency keys and their recorded answers.
		biller           *claim.Biller
		picker           *routing.Picker               // Chooses backend servers.
		engines          *engine.Client                // Sends requests through another router if need be.
		once             *engine.Client                // The same with a connection for each request.
		control          *engine.Client                // Sends commands and queries of the placement, always directly.
		paths            *proxy.Paths                  // Ways to the backend servers.
		carrier          *proxy.Handler                // Sends requests of other routers to backend servers.
		serverNames      board.Cell[map[string]string] // Names of the backend servers by address.
		resolver         *caller.AttemptResolver       // Finds out the usage of attempts that ended without it.
		queues           *caller.AdmissionQueues
		front            *caller.Frontend // Handles the requests of callers.
		memory           *memory.Budget   // Memory that callers and other routers may use together.
		callerGuard      *memory.Guard
		carrierGuard     *memory.Guard
		operatorGuard    *memory.Guard
		callerServer     *http.Server
		callerListener   *drain.Listener
		operatorServer   *http.Server // nil if Settings.Admin is empty.

		peerMethods    *peer.Methods // Methods that other routers may call.
		peerClient     *peer.Client
		peerServer     *peer.Server
		membership     *peer.Membership
		store          *config.Store
		config         *config.Controller
		traffic        peer.Traffic // Bytes read from and written to other routers.
		burn           *burn.Recorder
		budgetReadings budgetReadings
		scope          tally.Scope
		metrics        http.Handler
	}
)

// Run serves until the context ends, then shuts down gracefully. It returns the first error of a listener or
// controller.
func (r *Router) Run(ctx context.Context) error {
	scopeCloser, err := r.build()
	if err != nil {
		return trace.Wrap(err)
	}
	defer scopeCloser.Close()
	listener, err := drain.Listen(ctx, r.Settings.Listen)
	if err != nil {
		return trace.Wrap(err)
	}
	r.callerListener = listener
	r.callerServer.ConnState = r.callerListener.ConnState
	// Both listeners are opened before any controller runs. Registering an instance under the peer address proves to
	// other routers that the earlier instance there has ended; it has not while it still listens on that address.
	r.peerServer.Listener, err = net.Listen("tcp", r.Settings.Peer)
	if err != nil {
		listener.Close()
		return trace.Wrap(err)
	}
	proxyListener, err := r.listenProxy(ctx)
	if err != nil {
		listener.Close()
		r.peerServer.Listener.Close()
		return trace.Wrap(err)
	}
	event.RouterStarted.Log(r.Logger).Str("router", r.Settings.Name).Str("instance", r.instance).
		Str("address", listener.Addr().String()).Send()
	if r.Listening != nil {
		r.Listening <- listener.Addr().String()
	}
	// Controllers outlive the context: a graceful shutdown needs them until the last request has ended.
	controllersCtx, stopControllers := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControllers()
	group, controllersCtx := errgroup.WithContext(controllersCtx)
	for _, controller := range r.controllers() {
		group.Go(func() error { return controller(controllersCtx) })
	}
	group.Go(r.serve)
	group.Go(func() error { return r.carry(controllersCtx, proxyListener) })
	if r.operatorServer != nil {
		group.Go(func() error { return r.serveOperators(controllersCtx) })
	}
	// The controller of the grants must end before stop closes the grants.
	grantsCtx, stopGrants := context.WithCancel(controllersCtx)
	defer stopGrants()
	grantsEnded := make(chan struct{})
	group.Go(func() error {
		defer close(grantsEnded)
		return r.grants.Run(grantsCtx)
	})
	select {
	case <-ctx.Done():
	case <-controllersCtx.Done():
	}
	r.stop(func() {
		stopGrants()
		<-grantsEnded
	})
	stopControllers()
	return trace.Wrap(group.Wait())
}

// Ready reports whether the router has a configuration and so can serve callers.
func (r *Router) Ready() bool {
	return r.shared.Version.Load() != nil
}

// controllers returns the functions that run in the background until their context ends, except the one of the grants.
func (r *Router) controllers() []func(context.Context) error {
	return []func(context.Context) error{
		r.pollHosts,
		r.pollLoads,
		r.publishTraffic,
		r.watchVersions,
		r.watchMembers,
		r.pollBudgets,
		r.peerServer.Run,
		r.peerClient.Run,
		r.remoteBudgets.Run,
		r.quarantine.Run,
		r.runCrashes,
		r.recoverBills,
		r.placements.Run,
		r.membership.Run,
		r.config.Run,
		r.claims.Run,
		r.biller.Run,
		r.resolver.Run,
		r.queues.Run,
		r.paths.Run,
		func(ctx context.Context) error { return r.memory.Report(ctx, r.scope.SubScope("memory")) },
	}
}

// serve serves callers until the listener is closed.
func (r *Router) serve() error {
	listener := r.callerGuard.Listener(r.callerListener)
	if r.Settings.Certificate != "" {
		listener = &memory.TLSListener{Listener: listener, Guard: r.callerGuard, Config: r.callerServer.TLSConfig}
	}
	err := r.callerServer.Serve(listener)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return ignoreServerClosed(err)
}

// ignoreServerClosed turns the error of a server that was shut down into nil.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// stop shuts down gracefully within Settings.Grace: it accepts no new requests, waits for those in flight and returns
// all grants. The parameter stopGrants ends the controller of the grants and waits for it.
func (r *Router) stop(stopGrants func()) {
	event.ShutdownRequested.Log(r.Logger).Str("router", r.Settings.Name).Send()
	stopping := true
	r.shared.Stopping.Store(&stopping)
	ctx, cancel := context.WithTimeout(context.Background(), r.Settings.Grace)
	defer cancel()
	r.membership.Leave(ctx)
	delay.Sleep(ctx, min(drainNoticeDelay, r.Settings.Grace/4))
	if closing, ok := ctx.Deadline(); ok {
		r.shared.Closing.Store(&closing)
	}
	if err := r.drainCallers(ctx); err != nil {
		event.ShutdownTimedOut.Log(r.Logger).Int64("requests", r.front.InFlight()).Send()
		r.callerServer.Close()
	}
	r.awaitCarried(ctx)
	r.settlePending(ctx)
	// The biller and the grants log their failures. Grants that were not returned count as granted until they are
	// reclaimed.
	_ = r.biller.Flush(ctx)
	stopGrants()
	_ = r.grants.Close(ctx)
	if r.operatorServer != nil {
		r.operatorServer.Close()
	}
	event.ShutdownFinished.Log(r.Logger).Str("router", r.Settings.Name).Send()
}

// drainCallers waits until all requests of callers are answered and their connections are closed, or the context ends.
func (r *Router) drainCallers(ctx context.Context) error {
	if err := r.callerListener.Stop(ctx); err != nil {
		return trace.Wrap(err)
	}
	if err := r.callerListener.Drain(ctx); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(r.callerServer.Shutdown(ctx)) // Ends connections over HTTP/2.
}

// settlePending waits for the usage reports of attempts whose usage is unknown, and until other routers have
// acknowledged the ends of the reservations made there. The wait is limited, so that a backend server that does not
// answer leaves time for returning the grants. Attempts that are still unresolved are charged at their bound.
func (r *Router) settlePending(ctx context.Context) {
	settleCtx, cancel := context.WithTimeout(ctx, min(settleTimeout, r.Settings.Grace/3))
	defer cancel()
	for (r.resolver.HeldCount() > 0 || r.remoteBudgets.Unacknowledged() > 0) && settleCtx.Err() == nil {
		delay.Sleep(settleCtx, stopPollInterval)
	}
	r.resolver.ChargeAll()
}

// build creates the parts of the router. It opens no listener. The result closes the metrics scope.
func (r *Router) build() (io.Closer, error) {
	r.instance = newInstance(r.Settings.Peer)
	if r.Settings.Name == "" {
		r.Settings.Name = r.Settings.Listen
	}
	scope, metricsHandler, closer := metrics.NewRootScope()
	r.scope, r.metrics = scope, metricsHandler
	r.buildGuards()
	r.buildPlatform()
	r.buildRequestHandling()
	r.buildPeers()
	r.buildQuarantine()
	r.buildCrashes()
	r.buildCallerServer()
	return closer, r.buildOperatorServer()
}

// newInstance returns the identity of a process: START-RANDOM@ADDRESS with the start time in Unix milliseconds in base
// 36 and the peer address. The start time shows which of two instances at an address is the later one.
func newInstance(address string) string {
	return strconv.FormatInt(time.Now().UnixMilli(), 36) + "-" + uuid.NewString()[:8] + "@" + address
}

// buildPlatform creates the clients of the platform's services and of the engines.
func (r *Router) buildPlatform() {
	client := platform.Client{Base: r.Settings.Platform, HTTP: engine.NewHTTPClient(true), Timeout: platformTimeout}
	r.table = &table.Client{Platform: client}
	r.objects = &object.Client{Platform: client}
	r.hosts = &hosts.Client{Platform: client}
	r.weights = &weights.Client{Platform: client}
	r.placements.router = r
	r.buildPaths()
}

// buildRequestHandling creates the parts that decide on requests: budgets, idempotency, billing, routing and queues.
func (r *Router) buildRequestHandling() {
	r.ledger = &budget.Ledger{Declared: &r.shared.Declared, Logger: r.Logger, Scope: r.scope.SubScope("budget")}
	r.budgetHome = &budget.Home{Ledger: r.ledger}
	r.grants = &budget.GrantController{
		Table:    r.table,
		Hosts:    r.hosts,
		Ledger:   r.ledger,
		Declared: &r.shared.Declared,
		Home:     r.budgetHome,
		Live:     &r.shared.Live,
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
		Dead:      r.provenDead,
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
	r.queues = &caller.AdmissionQueues{
		MaxWait: r.Settings.Queue,
		Scope:   r.scope.SubScope("admission"),
		Logger:  r.Logger,
	}
	r.resolver = &caller.AttemptResolver{Engines: r.engines, Logger: r.Logger}
}

// buildCallerServer creates the HTTP server for callers.
func (r *Router) buildCallerServer() {
	r.front = &caller.Frontend{
		Router:      r.Settings.Name,
		Instance:    r.instance,
		Version:     &r.shared.Version,
		Stopping:    &r.shared.Stopping,
		Closing:     &r.shared.Closing,
		Ledger:      r.ledger,
		Picker:      r.picker,
		Retrier:     &routing.Retrier{},
		Queues:      r.queues,
		Claims:      r.claims,
		Biller:      r.biller,
		Explain:     &explain.RequestLog{},
		Resolver:    r.resolver,
		Remote:      r.remoteBudgets,
		Guard:       r.quarantine,
		Crashes:     r.crashes,
		Burn:        r.burn,
		Ask:         r.queryClaim,
		Rerouted:    r.rerouted,
		Scope:       r.scope.SubScope("caller"),
		Engines:     r.engines,
		Once:        r.once,
		Logger:      r.Logger,
		Memory:      r.memory,
		BodyBytes:   int64(r.Settings.Body),
		HeaderBytes: r.Settings.Header,
		Duration:    r.Settings.Duration,
		Idle:        r.Settings.Idle,
	}
	r.callerServer = r.front.Server()
	r.callerServer.Handler = r.callerGuard.Handler(r.callerServer.Handler)
	r.callerServer.ConnContext = memory.ConnContext
	if r.Settings.Certificate != "" {
		r.callerServer.TLSConfig = r.callerTLSConfig()
	}
}
