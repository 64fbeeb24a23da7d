package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"citronslip/internal/drain"
	"citronslip/internal/event"
	"citronslip/internal/memory"
	"citronslip/pkg/inventory"
)

const (
	// deregistrationDelay is how long a stopping router still accepts new connections, until the platform's load
	// balancer has noticed the stop.
	deregistrationDelay = 2200 * time.Millisecond
	// finalWriteTimeout is the time reserved before the kill for the final writes to the store.
	finalWriteTimeout = 350 * time.Millisecond
	// handOverTimeout is the part of it in which the records of streams are handed to other routers.
	handOverTimeout = 250 * time.Millisecond
	// defaultGracePeriod is the time from the stop signal to the kill if the settings give none.
	defaultGracePeriod = 8 * time.Second
	// acceptBackoff is the wait after a failed accept, for example due to a lack of file descriptors.
	acceptBackoff = 20 * time.Millisecond
	// announcedIdleShare is the share of the idle time limit for which callers are told that they may use a connection
	// again. A request that is sent when the router closes the connection is lost.
	announcedIdleShare = 0.8
)

var (
	// defaultLimits apply until there is a configuration.
	defaultLimits = inventory.Limits{
		HeaderBytes:   16 << 10,
		HeaderTimeout: 3 * time.Second,
		IdleTimeout:   15 * time.Second,
	}
)

type (
	// callerServer serves the connections of callers. A connection keeps the limits that were in force when it was
	// accepted.
	callerServer struct {
		handler  http.Handler
		guard    *memory.Guard
		logger   *zerolog.Logger
		hook     func(net.Conn, http.ConnState) // ConnState of the servers.
		draining atomic.Bool                    // Whether responses ask callers to close their connections.

		mu       sync.Mutex
		limits   inventory.Limits
		server   *http.Server
		servers  []*http.Server // All servers that may have open connections.
		listener *chanListener
		stopping bool
	}

	// chanListener is a listener that returns connections which were accepted elsewhere.
	chanListener struct {
		net.Listener
		conns  chan net.Conn
		closed chan struct{}
		once   sync.Once
	}
)

// serve serves callers. After the stop signal it accepts connections until the load balancer has noticed the stop, and
// then waits for the requests in flight.
func (r *Router) serve(stop, ctx context.Context) error {
	socket, err := r.Meter.Listen(ctx, r.Settings.Caller)
	if err != nil {
		return err
	}
	r.listening.Store(true)
	listener := &drain.Listener{TCP: socket}
	c := &callerServer{
		handler: r.guards.callers.Handler(r.Callers(r.dispatcher, r.bodies, r.linkMonitor)),
		guard:   r.guards.callers,
		logger:  r.Logger,
		hook:    listener.ConnState,
	}
	c.applyLimits(defaultLimits, listener)
	go c.accept(ctx, listener)
	go r.followLimits(ctx, c, listener)
	select {
	case <-ctx.Done():
		return errors.Join(listener.Close(), c.shutdown(ctx)) // A controller failed.
	case <-stop.Done():
	}
	return r.stop(ctx, c, listener)
}

// followLimits applies the limits of each configuration version to new connections.
func (r *Router) followLimits(ctx context.Context, c *callerServer, listener net.Listener) {
	for {
		directory, changed := r.directory.Watch()
		if directory != nil {
			c.applyLimits(directory.Limits, listener)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// stop ends the router as planned: no request in flight is interrupted within the grace period.
func (r *Router) stop(ctx context.Context, c *callerServer, listener *drain.Listener) error {
	start := time.Now()
	grace := r.activeSettings.Load().Grace
	if grace == 0 {
		grace = defaultGracePeriod
	}
	r.stopping.Store(true)
	event.ShutdownRequested.Log(r.Logger).Dur("grace", grace).Send()
	c.drain()
	time.Sleep(deregistrationDelay)
	closing := start.Add(grace - finalWriteTimeout)
	r.closing.Store(&closing)
	requestsCtx, cancel := context.WithDeadline(ctx, closing)
	defer cancel()
	// The servers are closed last, since a closed one drops the requests that it reads.
	if err := errors.Join(listener.Stop(requestsCtx), listener.Drain(requestsCtx), r.awaitCarried(requestsCtx),
		c.shutdown(requestsCtx)); err != nil {
		event.ShutdownTimedOut.Log(r.Logger).Err(err).Send()
	}
	ledgerCtx, cancelLedger := context.WithTimeout(ctx, finalWriteTimeout)
	defer cancelLedger()
	handedOver := r.handOverStreams(ledgerCtx)
	defer func() { <-handedOver }()
	if err := r.ledger.Close(ledgerCtx); err != nil {
		event.GrantsLeftOpen.Log(r.Logger).Err(err).Send()
	}
	return nil
}

// closingTime returns when the connections of callers are closed, or the zero time before the end of deregistrationDelay.
func (r *Router) closingTime() time.Time {
	if closing := r.closing.Load(); closing != nil {
		return *closing
	}
	return time.Time{}
}

// handOverStreams begins to hand the records of streams to other routers. The returned channel is closed when that is done.
func (r *Router) handOverStreams(ctx context.Context) <-chan struct{} {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer cancel()
		r.streams.HandOver(ctx)
	}()
	return done
}

// applyLimits serves connections that are accepted from now on with the given limits. It starts a server for them
// unless the limits are unchanged.
func (c *callerServer) applyLimits(limits inventory.Limits, listener net.Listener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping || c.server != nil && limits == c.limits {
		return
	}
	c.limits = limits
	c.server = &http.Server{
		Handler:           c.handlerFor(limits.IdleTimeout),
		ConnState:         c.hook,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
		ConnContext:       withCallerConn,
	}
	c.listener = &chanListener{Listener: listener, conns: make(chan net.Conn), closed: make(chan struct{})}
	c.servers = append(c.servers, c.server)
	go c.serve(c.server, c.listener)
}

func (c *callerServer) serve(server *http.Server, listener *chanListener) {
	_ = server.Serve(listener) // Always returns http.ErrServerClosed: Accept fails only after the server was closed.
}

// accept passes new connections to the current server.
func (c *callerServer) accept(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(acceptBackoff)
			continue
		}
		admitted := c.guard.Admit(conn)
		if admitted == nil {
			continue
		}
		c.mu.Lock()
		target := c.listener
		c.mu.Unlock()
		select {
		case target.conns <- &callerConn{Conn: admitted, logger: c.logger}:
		case <-target.closed:
			_ = admitted.Close()
		}
	}
}

// drain makes all further responses ask callers to close their connections. Connections are not closed here: net/http
// may close one whose next request it has just read. The limits no longer change after that.
func (c *callerServer) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	c.draining.Store(true)
}

// handlerFor returns the handler for connections with an idle time limit, which responses tell the callers.
func (c *callerServer) handlerFor(idleTimeout time.Duration) http.Handler {
	announced := int(announcedIdleShare * idleTimeout.Seconds())
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case c.draining.Load():
			w.Header().Set("Connection", "close")
		case announced > 0:
			w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(announced))
		}
		logPanics(c.logger, c.handler, w, r)
	})
}

// shutdown waits for the requests in flight until the context ends, and then closes the remaining connections.
func (c *callerServer) shutdown(ctx context.Context) error {
	c.mu.Lock()
	c.stopping = true
	servers := c.servers
	c.mu.Unlock()
	var group errgroup.Group
	for _, server := range servers {
		group.Go(func() error {
			if err := server.Shutdown(ctx); err != nil {
				return errors.Join(err, server.Close())
			}
			return nil
		})
	}
	return group.Wait()
}

// Accept returns the next connection, or net.ErrClosed after Close.
func (l *chanListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept. The underlying listener stays open for the next server.
func (l *chanListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}
