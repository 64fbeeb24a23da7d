package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/delay"
	"citronslip/internal/wire"
)

const (
	// DefaultIdleTimeout is the time after which a connection without a call is closed. It exceeds the 8 s between two
	// pings of the same neighbour.
	DefaultIdleTimeout = time.Minute
	// minBackoff and maxBackoff bound the exponential backoff after failed connection attempts.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

type (
	// Client calls other routers over persistent connections.
	Client struct {
		// TLS is required outside loopback, unless Dial is set.
		TLS *TLS
		// Methods, if set, handles the calls that the peer makes over the same connection.
		Methods *Methods
		// Limit is the maximum size of a message in bytes; 0 means DefaultMaxMessageBytes. Calls is the maximum number
		// of concurrent calls on one connection in each direction; 0 means DefaultMaxCalls.
		Limit int
		Calls int
		// Timeout bounds a call, a handshake and a write; 0 means DefaultTimeout. Idle is the time after which a
		// connection without a call is closed; 0 means DefaultIdleTimeout.
		Timeout time.Duration
		Idle    time.Duration
		// Dial, if set, opens connections in place of a TCP dialer.
		Dial func(ctx context.Context, address string) (net.Conn, error)
		// Traffic, if set, counts the bytes of all connections.
		Traffic *Traffic
		// Logger and Metrics may be nil.
		Logger  *zerolog.Logger
		Metrics tally.Scope

		mu        sync.Mutex
		endpoints map[string]*endpoint
		closed    bool
	}

	// endpoint is one address with its connection, if any.
	endpoint struct {
		dialLock   chan struct{} // Holds one element while a call opens the connection.
		conn       *rpcConn      // nil until the first connection.
		failures   int           // Consecutive failed connection attempts.
		retryAfter time.Time     // Time before which no connection attempt is made.
	}
)

// Run closes idle connections, and all connections when the context ends. Calls after that return ErrNotSent. It always
// returns nil.
func (c *Client) Run(ctx context.Context) error {
	delay.Repeat(ctx, cmp.Or(c.Idle, DefaultIdleTimeout)/2, func() { c.closeIdle(time.Now()) })
	c.closeAll()
	return nil
}

// Hello opens an exchange of membership changes with a peer, or compares the member tables.
func (c *Client) Hello(ctx context.Context, address string, params wire.Hello) (wire.Hello, error) {
	return call[wire.Hello](ctx, c, address, MethodHello, params)
}

// Ping exchanges changes of the membership.
func (c *Client) Ping(ctx context.Context, address string, params wire.Ping) (wire.Ping, error) {
	return call[wire.Ping](ctx, c, address, MethodPing, params)
}

// GetConfigPart fetches a part of a configuration version.
func (c *Client) GetConfigPart(ctx context.Context, address string, params wire.ConfigGet) (wire.ConfigPart, error) {
	return call[wire.ConfigPart](ctx, c, address, MethodConfigGet, params)
}

// GetConfigState asks for the number of the active configuration version and of the highest one held.
func (c *Client) GetConfigState(ctx context.Context, address string, params wire.ConfigQuery) (wire.ConfigState, error) {
	return call[wire.ConfigState](ctx, c, address, MethodConfigState, params)
}

// GetConfigStateNow does the same as GetConfigState without waiting for the backoff after failed connection attempts. A
// starting router that skipped a peer because of the backoff would rely on the answers of the others, although the peer
// may have become reachable.
func (c *Client) GetConfigStateNow(ctx context.Context, address string, params wire.ConfigQuery) (wire.ConfigState, error) {
	c.clearBackoff(address)
	return c.GetConfigState(ctx, address, params)
}

// ReserveBudget reserves tokens at a router that holds budgets.
func (c *Client) ReserveBudget(ctx context.Context, address string, params wire.BudgetReserve) (wire.BudgetAnswer, error) {
	return call[wire.BudgetAnswer](ctx, c, address, MethodBudgetReserve, params)
}

// SettleBudget replaces a reservation by the tokens used.
func (c *Client) SettleBudget(ctx context.Context, address string, params wire.BudgetSettle) (wire.BudgetAnswer, error) {
	return call[wire.BudgetAnswer](ctx, c, address, MethodBudgetSettle, params)
}

// CancelBudget releases an unused reservation.
func (c *Client) CancelBudget(ctx context.Context, address string, params wire.BudgetCancel) (wire.BudgetAnswer, error) {
	return call[wire.BudgetAnswer](ctx, c, address, MethodBudgetCancel, params)
}

// TellBudget tells a router of a budget row in the store.
func (c *Client) TellBudget(ctx context.Context, address string, params wire.PrepaidKnown) (wire.BudgetAnswer, error) {
	return call[wire.BudgetAnswer](ctx, c, address, MethodBudgetKnown, params)
}

// WriteBudget sends a write of budget rows to the store through the router at the address.
func (c *Client) WriteBudget(ctx context.Context, address string, params wire.PrepaidWrite) (wire.PrepaidWritten, error) {
	return call[wire.PrepaidWritten](ctx, c, address, MethodBudgetWrite, params)
}

// GetRequestState asks for the state of a request.
func (c *Client) GetRequestState(ctx context.Context, address string, params wire.RequestQuery) (wire.RequestState, error) {
	return call[wire.RequestState](ctx, c, address, MethodRequestState, params)
}

// ExplainRequest asks what happened to a request.
func (c *Client) ExplainRequest(ctx context.Context, address string, params wire.RequestQuery) (wire.RequestExplanation, error) {
	return call[wire.RequestExplanation](ctx, c, address, MethodRequestExplain, params)
}

// ReportCrash reports a crash of a backend server with a suspect request in flight.
func (c *Client) ReportCrash(ctx context.Context, address string, params wire.QuarantineReport) (wire.QuarantineAnswer, error) {
	return call[wire.QuarantineAnswer](ctx, c, address, MethodQuarantineReport, params)
}

// ReserveSlot asks the home router of a request for its free slot.
func (c *Client) ReserveSlot(ctx context.Context, address string, params wire.QuarantineReserve) (wire.QuarantineGrant, error) {
	return call[wire.QuarantineGrant](ctx, c, address, MethodQuarantineReserve, params)
}

// ReportDone reports to the home router that a copy of a request ended.
func (c *Client) ReportDone(ctx context.Context, address string, params wire.QuarantineDone) (wire.QuarantineAnswer, error) {
	return call[wire.QuarantineAnswer](ctx, c, address, MethodQuarantineDone, params)
}

// RelayRows asks a peer for rows of the store while this router cannot reach it.
func (c *Client) RelayRows(ctx context.Context, address string, params wire.RelayQuery) (wire.RelayAnswer, error) {
	return call[wire.RelayAnswer](ctx, c, address, MethodStoreRelay, params)
}

// TakePermit asks a router for a permit to send one request to a backend server with a rate limit.
func (c *Client) TakePermit(ctx context.Context, address string, params wire.RatelimitTake) (wire.RatelimitAnswer, error) {
	return call[wire.RatelimitAnswer](ctx, c, address, MethodRatelimitTake, params)
}

// ReportRateLimit tells a router what a backend server said about its rate limit.
func (c *Client) ReportRateLimit(ctx context.Context, address string, params wire.RatelimitReport) (wire.RatelimitAnswer, error) {
	return call[wire.RatelimitAnswer](ctx, c, address, MethodRatelimitReport, params)
}

// TakeColdPermit asks a router for a permit to send one request to a cold backend server.
func (c *Client) TakeColdPermit(ctx context.Context, address string, params wire.ColdstartTake) (wire.ColdstartAnswer, error) {
	return call[wire.ColdstartAnswer](ctx, c, address, MethodColdstartTake, params)
}

// KeepRecords hands records of streams to a router, which keeps them.
func (c *Client) KeepRecords(ctx context.Context, address string, params wire.ResumeRecords) (wire.ResumeAck, error) {
	return call[wire.ResumeAck](ctx, c, address, MethodResumeKeep, params)
}

// FindStream asks a router which software version began a stream.
func (c *Client) FindStream(ctx context.Context, address string, params wire.ResumeQuery) (wire.ResumeAnswer, error) {
	return call[wire.ResumeAnswer](ctx, c, address, MethodResumeFind, params)
}

// Reach asks a router which backend servers it reaches.
func (c *Client) Reach(ctx context.Context, address string, params wire.ProxyQuery) (wire.ProxyAnswer, error) {
	return call[wire.ProxyAnswer](ctx, c, address, MethodProxyReach, params)
}

// call makes one call. Its errors wrap ErrNotSent, ErrOutcomeUnknown or an *RPCError. A connection on which nothing
// arrived during the timeout is closed, so that the next call opens a new one.
func call[R any](ctx context.Context, c *Client, address, method string, params any) (R, error) {
	var result R
	timeoutCtx, cancel := context.WithTimeout(ctx, cmp.Or(c.Timeout, DefaultTimeout))
	defer cancel()
	rc, err := c.connect(timeoutCtx, address)
	if err != nil {
		c.scope().Counter("unsent").Inc(1)
		return result, err
	}
	received := rc.stream.received.Load()
	err = rc.call(timeoutCtx, method, params, &result)
	if timeoutCtx.Err() != nil && ctx.Err() == nil && rc.stream.received.Load() == received {
		rc.close() // Nothing arrived during the timeout: the connection or the peer is stalled.
	}
	if err != nil {
		c.scope().Counter("failed").Inc(1)
	}
	return result, err
}

// connect returns the open connection to the address, or opens one unless the backoff after failed attempts still
// lasts. Concurrent calls open one connection between them.
func (c *Client) connect(ctx context.Context, address string) (*rpcConn, error) {
	e, err := c.endpointFor(address)
	if err != nil {
		return nil, err
	}
	if rc := c.openConn(e); rc != nil {
		return rc, nil
	}
	select {
	case e.dialLock <- struct{}{}:
		defer func() { <-e.dialLock }()
	case <-ctx.Done():
		return nil, trace.Wrap(ErrNotSent, "connecting to %s: %v", address, ctx.Err())
	}
	if rc := c.openConn(e); rc != nil {
		return rc, nil
	}
	if wait := c.untilRetry(e); wait > 0 {
		return nil, trace.Wrap(ErrNotSent, "connection to %s failed, next attempt in %s", address, wait)
	}
	rc, err := c.dial(ctx, address)
	return c.recordDial(e, rc, address, err)
}

// recordDial stores the new connection, or sets the backoff with jitter after a failed attempt.
func (c *Client) recordDial(e *endpoint, rc *rpcConn, address string, err error) (*rpcConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		backoff := min(maxBackoff, minBackoff<<min(e.failures, 10))
		e.failures++
		e.retryAfter = time.Now().Add(backoff/2 + rand.N(backoff/2))
		return nil, trace.Wrap(ErrNotSent, "connecting to %s: %v", address, err)
	}
	if c.closed {
		rc.close()
		return nil, trace.Wrap(ErrNotSent, "client closed")
	}
	e.failures = 0
	e.conn = rc
	return rc, nil
}

// dial opens a connection, completes the TLS handshake and waits for the accept byte of the server.
func (c *Client) dial(ctx context.Context, address string) (*rpcConn, error) {
	if c.TLS == nil && c.Dial == nil && !isLoopback(address) {
		return nil, ErrTLSRequired
	}
	raw, err := c.dialRaw(ctx, address)
	if err != nil {
		return nil, err
	}
	conn := countTraffic(raw, c.Traffic)
	if c.TLS != nil {
		conn, err = c.handshake(ctx, conn)
	}
	if err == nil {
		err = awaitAccept(ctx, conn)
	}
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	methods := c.Methods
	if methods == nil {
		methods = &Methods{}
	}
	rc := &rpcConn{methods: methods, timeout: cmp.Or(c.Timeout, DefaultTimeout), dialed: true}
	rc.start(context.Background(), conn, cmp.Or(c.Limit, DefaultMaxMessageBytes), cmp.Or(c.Calls, DefaultMaxCalls), nil, c.Logger)
	expiry := closeAtExpiry(conn, rc)
	go func() {
		<-rc.rpc.DisconnectNotify()
		expiry.Stop()
	}()
	return rc, nil
}

func (c *Client) dialRaw(ctx context.Context, address string) (net.Conn, error) {
	if c.Dial != nil {
		return c.Dial(ctx, address)
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

func (c *Client) handshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
	config, err := c.TLS.clientConfig(c.Logger)
	if err != nil {
		return nil, err
	}
	tlsConn := tls.Client(conn, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	return tlsConn, nil
}

// endpointFor returns the endpoint of the address. It returns ErrNotSent if the client is closed.
func (c *Client) endpointFor(address string) (*endpoint, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, trace.Wrap(ErrNotSent, "client closed")
	}
	return c.endpointForLocked(address), nil
}

// endpointForLocked returns the endpoint of the address and creates it if needed. The caller holds the lock.
func (c *Client) endpointForLocked(address string) *endpoint {
	if c.endpoints == nil {
		c.endpoints = make(map[string]*endpoint)
	}
	e, ok := c.endpoints[address]
	if !ok {
		e = &endpoint{dialLock: make(chan struct{}, 1)}
		c.endpoints[address] = e
	}
	return e
}

// adopt uses an accepted connection for calls to the address of its peer, unless another connection to it is open.
func (c *Client) adopt(address string, rc *rpcConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpointForLocked(address)
	if !c.closed && (e.conn == nil || e.conn.isClosed()) {
		e.conn = rc
		e.failures = 0
		e.retryAfter = time.Time{}
	}
}

// openConn returns the connection of the endpoint, or nil if none is open.
func (c *Client) openConn(e *endpoint) *rpcConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.conn == nil || e.conn.isClosed() {
		return nil
	}
	return e.conn
}

// clearBackoff lets the next call connect to the address without waiting for the backoff.
func (c *Client) clearBackoff(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.endpoints[address]; e != nil {
		e.retryAfter = time.Time{}
	}
}

// untilRetry returns the time until the next connection attempt is allowed; it is not positive if one is allowed now.
func (c *Client) untilRetry(e *endpoint) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Until(e.retryAfter)
}

// closeIdle closes idle connections that this client opened and drops endpoints that have had no connection for the
// idle time.
func (c *Client) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := cmp.Or(c.Idle, DefaultIdleTimeout)
	for address, e := range c.endpoints {
		switch {
		case e.conn == nil || e.conn.isClosed():
			if len(e.dialLock) == 0 && now.Sub(e.retryAfter) > idle {
				delete(c.endpoints, address)
			}
		case e.conn.dialed && now.Sub(time.Unix(0, e.conn.lastCall.Load())) > idle:
			e.conn.close()
		}
	}
}

func (c *Client) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, e := range c.endpoints {
		if e.conn != nil {
			e.conn.close()
		}
	}
}

func (c *Client) scope() tally.Scope {
	if c.Metrics == nil {
		return tally.NoopScope
	}
	return c.Metrics
}
