package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"citronslip/internal/dispatch"
	"citronslip/internal/event"
	"citronslip/pkg/inventory"
)

const (
	// leaveTime is how long a stopping router still takes new connections, until the platform's balancer has noticed.
	leaveTime = 2200 * time.Millisecond
	// exitMargin is the time left before the kill for the last writes to the store.
	exitMargin = 350 * time.Millisecond
	// defaultGrace is the time from the stop signal to the kill if the settings do not say.
	defaultGrace = 8 * time.Second
	// acceptPause is the wait after a failed accept, for example for lack of file descriptors.
	acceptPause = 20 * time.Millisecond
)

var (
	// firstLimits hold until a configuration says otherwise.
	firstLimits = inventory.Limits{
		HeaderBytes:   16 << 10,
		HeaderTimeout: 3 * time.Second,
		IdleTimeout:   15 * time.Second,
	}
)

type (
	// callers serves the callers' connections. A connection keeps the limits that were in force when it was accepted.
	callers struct {
		handler http.Handler

		mu       sync.Mutex
		limits   inventory.Limits
		server   *http.Server
		servers  []*http.Server // All that may have connections.
		next     *handover
		stopping bool
	}

	// handover is a listener whose connections were accepted elsewhere.
	handover struct {
		net.Listener
		connections chan net.Conn
		closed      chan struct{}
		once        sync.Once
	}
)

// serve answers callers. After the stop signal it takes connections until the balancer has noticed, and then waits for
// the requests in flight.
func (r *Router) serve(stop, ctx context.Context) error {
	bodies := &dispatch.Bodies{Most: int64(bodyShare * float64(r.Settings.Memory)), Limit: r.bodyLimit}
	listener, err := r.Meter.Listen(ctx, r.Settings.Caller)
	if err != nil {
		return err
	}
	r.listening.Store(true)
	c := &callers{handler: r.Callers(r.dispatcher, bodies, r.lag)}
	c.use(firstLimits, listener)
	go c.accept(ctx, listener)
	go r.followLimits(ctx, c, listener)
	select {
	case <-ctx.Done():
		return errors.Join(listener.Close(), c.shutdown(ctx)) // A controller failed.
	case <-stop.Done():
	}
	return r.stop(ctx, c, listener)
}

// followLimits applies the limits of each configuration to new connections.
func (r *Router) followLimits(ctx context.Context, c *callers, listener net.Listener) {
	for {
		directory, changed := r.directory.Watch()
		if directory != nil {
			c.use(directory.Limits, listener)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// stop ends the planned way: nothing in flight is cut off within the grace period.
func (r *Router) stop(ctx context.Context, c *callers, listener net.Listener) error {
	begin := time.Now()
	grace := r.current.Load().Grace
	if grace == 0 {
		grace = defaultGrace
	}
	r.stopping.Store(true)
	event.StopRequested.Log(r.Logger).Dur("grace", grace).Send()
	c.leave()
	time.Sleep(leaveTime)
	if err := listener.Close(); err != nil {
		event.StopTimeout.Log(r.Logger).Err(err).Send()
	}
	waiting, cancel := context.WithDeadline(ctx, begin.Add(grace-exitMargin))
	defer cancel()
	if err := c.shutdown(waiting); err != nil {
		event.StopTimeout.Log(r.Logger).Err(err).Send()
	}
	last, cancelLast := context.WithTimeout(ctx, exitMargin)
	defer cancelLast()
	if err := r.ledger.Close(last); err != nil {
		event.GrantsLate.Log(r.Logger).Err(err).Send()
	}
	return nil
}

// use serves connections that are accepted from now on with the limits.
func (c *callers) use(limits inventory.Limits, listener net.Listener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping || c.server != nil && limits == c.limits {
		return
	}
	c.limits = limits
	c.server = &http.Server{
		Handler:           c.handler,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
	}
	c.next = &handover{Listener: listener, connections: make(chan net.Conn), closed: make(chan struct{})}
	c.servers = append(c.servers, c.server)
	go c.serve(c.server, c.next)
}

func (c *callers) serve(server *http.Server, from *handover) {
	_ = server.Serve(from) // Ends with http.ErrServerClosed alone: a handover has no other error.
}

// accept hands connections to the server in use.
func (c *callers) accept(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		c.mu.Lock()
		next := c.next
		c.mu.Unlock()
		select {
		case next.connections <- conn:
		case <-next.closed:
			_ = conn.Close()
		}
	}
}

// leave asks callers to close their connections.
func (c *callers) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	for _, server := range c.servers {
		server.SetKeepAlivesEnabled(false)
	}
}

// shutdown waits for the requests in flight until the context ends, and then closes the connections.
func (c *callers) shutdown(ctx context.Context) error {
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

// Accept returns the next connection.
func (h *handover) Accept() (net.Conn, error) {
	select {
	case conn := <-h.connections:
		return conn, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept. The listener behind stays open for the next server.
func (h *handover) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}
