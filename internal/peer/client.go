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
	// DefaultIdle is how long a connection stays open without a call. It exceeds the 8 s between two pings of the
	// same neighbour.
	DefaultIdle = time.Minute
	// minBackoff and maxBackoff bound the wait after failed connection attempts.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

type (
	// Client calls other routers over persistent connections.
	Client struct {
		// TLS is required outside loopback.
		TLS *TLS
		// Methods, if set, answer calls that the other end makes over the same connection.
		Methods *Methods
		// Limit bounds one message, Calls the concurrent calls of one connection.
		Limit int
		Calls int
		// Timeout bounds a call, a handshake and a write. Idle is how long an unused connection stays open.
		Timeout time.Duration
		Idle    time.Duration
		// Dial takes the place of a TCP dialer.
		Dial func(ctx context.Context, address string) (net.Conn, error)
		// Traffic, if set, counts bytes.
		Traffic *Traffic
		// Logger and Metrics may be nil.
		Logger  *zerolog.Logger
		Metrics tally.Scope

		mu      sync.Mutex
		targets map[string]*target
		closed  bool
	}

	// target is one address and its connection.
	target struct {
		dialing  chan struct{} // Holds one element while a call opens the connection.
		link     *link
		failures int
		retry    time.Time // No attempt before.
	}
)

// Run closes idle connections, and all of them when the context ends. Calls after that are not sent.
func (c *Client) Run(ctx context.Context) error {
	delay.Repeat(ctx, cmp.Or(c.Idle, DefaultIdle)/2, func() { c.sweep(time.Now()) })
	c.closeAll()
	return nil
}

// Hello opens an exchange.
func (c *Client) Hello(ctx context.Context, address string, params wire.Hello) (wire.Hello, error) {
	return call[wire.Hello](ctx, c, address, MethodHello, params)
}

// Ping exchanges changes of the membership.
func (c *Client) Ping(ctx context.Context, address string, params wire.Ping) (wire.Ping, error) {
	return call[wire.Ping](ctx, c, address, MethodPing, params)
}

// Get fetches a part of a configuration version.
func (c *Client) Get(ctx context.Context, address string, params wire.ConfigGet) (wire.ConfigPart, error) {
	return call[wire.ConfigPart](ctx, c, address, MethodGet, params)
}

// Version asks for the version in force.
func (c *Client) Version(ctx context.Context, address string, params wire.ConfigQuery) (wire.ConfigState, error) {
	return call[wire.ConfigState](ctx, c, address, MethodVersion, params)
}

// VersionNow asks for the version in force. It connects even shortly after failed attempts: a new router that skipped a peer
// which has come into reach would trust the answers of the others.
func (c *Client) VersionNow(ctx context.Context, address string, params wire.ConfigQuery) (wire.ConfigState, error) {
	c.forget(address)
	return c.Version(ctx, address, params)
}

// Reserve reserves tokens at a holder of budgets.
func (c *Client) Reserve(ctx context.Context, address string, params wire.BudgetReserve) (wire.BudgetAnswer, error) {
	return call[wire.BudgetAnswer](ctx, c, address, MethodReserve, params)
}

// Settle replaces a reservation by the tokens used.
func (c *Client) Settle(ctx context.Context, address string, params wire.BudgetSettle) (wire.BudgetAnswer, error) {
	return call[wire.BudgetAnswer](ctx, c, address, MethodSettle, params)
}

// Cancel gives a reservation back unused.
func (c *Client) Cancel(ctx context.Context, address string, params wire.BudgetCancel) (wire.BudgetAnswer, error) {
	return call[wire.BudgetAnswer](ctx, c, address, MethodCancel, params)
}

// State asks for the state of a request.
func (c *Client) State(ctx context.Context, address string, params wire.RequestQuery) (wire.RequestState, error) {
	return call[wire.RequestState](ctx, c, address, MethodState, params)
}

// Explain asks what happened to a request.
func (c *Client) Explain(ctx context.Context, address string, params wire.RequestQuery) (wire.RequestExplanation, error) {
	return call[wire.RequestExplanation](ctx, c, address, MethodExplain, params)
}

// Report tells of a crash with a suspect request in flight.
func (c *Client) Report(ctx context.Context, address string, params wire.QuarantineReport) (wire.QuarantineAnswer, error) {
	return call[wire.QuarantineAnswer](ctx, c, address, MethodReport, params)
}

// Free asks the home router of a request for its free slot.
func (c *Client) Free(ctx context.Context, address string, params wire.QuarantineReserve) (wire.QuarantineGrant, error) {
	return call[wire.QuarantineGrant](ctx, c, address, MethodFree, params)
}

// Done tells the home router that a copy of a request ended.
func (c *Client) Done(ctx context.Context, address string, params wire.QuarantineDone) (wire.QuarantineAnswer, error) {
	return call[wire.QuarantineAnswer](ctx, c, address, MethodDone, params)
}

// Relay asks for rows of the store.
func (c *Client) Relay(ctx context.Context, address string, params wire.RelayQuery) (wire.RelayAnswer, error) {
	return call[wire.RelayAnswer](ctx, c, address, MethodRelay, params)
}

// call makes one call. Its errors wrap ErrNotSent, ErrUnknown or a *Refusal.
func call[R any](ctx context.Context, c *Client, address, method string, params any) (R, error) {
	var result R
	bounded, cancel := context.WithTimeout(ctx, cmp.Or(c.Timeout, DefaultTimeout))
	defer cancel()
	l, err := c.connect(bounded, address)
	if err != nil {
		c.scope().Counter("unsent").Inc(1)
		return result, err
	}
	received := l.stream.received.Load()
	err = l.call(bounded, method, params, &result)
	if bounded.Err() != nil && ctx.Err() == nil && l.stream.received.Load() == received {
		l.close() // Nothing arrived for a whole timeout: the peer stalls.
	}
	if err != nil {
		c.scope().Counter("failed").Inc(1)
	}
	return result, err
}

// connect returns the open connection to the address, or opens one.
func (c *Client) connect(ctx context.Context, address string) (*link, error) {
	t, err := c.target(address)
	if err != nil {
		return nil, err
	}
	if l := c.open(t); l != nil {
		return l, nil
	}
	select {
	case t.dialing <- struct{}{}:
		defer func() { <-t.dialing }()
	case <-ctx.Done():
		return nil, trace.Wrap(ErrNotSent, "connecting to %s: %v", address, ctx.Err())
	}
	if l := c.open(t); l != nil {
		return l, nil
	}
	if wait := c.wait(t); wait > 0 {
		return nil, trace.Wrap(ErrNotSent, "connection to %s failed, next attempt in %s", address, wait)
	}
	l, err := c.dial(ctx, address)
	return c.settle(t, l, address, err)
}

// settle records the outcome of an attempt to connect.
func (c *Client) settle(t *target, l *link, address string, err error) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		pause := min(maxBackoff, minBackoff<<min(t.failures, 10))
		t.failures++
		t.retry = time.Now().Add(pause/2 + rand.N(pause/2))
		return nil, trace.Wrap(ErrNotSent, "connecting to %s: %v", address, err)
	}
	if c.closed {
		l.close()
		return nil, trace.Wrap(ErrNotSent, "client closed")
	}
	t.failures = 0
	t.link = l
	return l, nil
}

// dial opens a connection.
func (c *Client) dial(ctx context.Context, address string) (*link, error) {
	if c.TLS == nil && c.Dial == nil && !loopback(address) {
		return nil, ErrInsecure
	}
	raw, err := c.dialRaw(ctx, address)
	if err != nil {
		return nil, err
	}
	conn := count(raw, c.Traffic)
	if c.TLS != nil {
		conn, err = c.secure(ctx, conn)
	}
	if err == nil {
		err = awaitWelcome(ctx, conn)
	}
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	methods := c.Methods
	if methods == nil {
		methods = &Methods{}
	}
	l := &link{methods: methods, timeout: cmp.Or(c.Timeout, DefaultTimeout), dialed: true}
	l.start(context.Background(), conn, cmp.Or(c.Limit, DefaultLimit), cmp.Or(c.Calls, DefaultCalls), c.Logger)
	expiry := expire(conn, l)
	go func() {
		<-l.rpc.DisconnectNotify()
		expiry.Stop()
	}()
	return l, nil
}

func (c *Client) dialRaw(ctx context.Context, address string) (net.Conn, error) {
	if c.Dial != nil {
		return c.Dial(ctx, address)
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

func (c *Client) secure(ctx context.Context, conn net.Conn) (net.Conn, error) {
	config, err := c.TLS.client(c.Logger)
	if err != nil {
		return nil, err
	}
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	return secured, nil
}

// target returns the entry of the address.
func (c *Client) target(address string) (*target, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, trace.Wrap(ErrNotSent, "client closed")
	}
	return c.entry(address), nil
}

// entry returns the entry of the address. The caller holds the lock.
func (c *Client) entry(address string) *target {
	if c.targets == nil {
		c.targets = make(map[string]*target)
	}
	t, ok := c.targets[address]
	if !ok {
		t = &target{dialing: make(chan struct{}, 1)}
		c.targets[address] = t
	}
	return t
}

// adopt uses an accepted connection for calls to the sender's address while there is no other.
func (c *Client) adopt(address string, l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.entry(address)
	if !c.closed && (t.link == nil || t.link.closed()) {
		t.link = l
		t.failures = 0
		t.retry = time.Time{}
	}
}

// open returns the connection if it is open.
func (c *Client) open(t *target) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.link == nil || t.link.closed() {
		return nil
	}
	return t.link
}

// forget lets the next call connect to the address at once.
func (c *Client) forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.targets[address]; t != nil {
		t.retry = time.Time{}
	}
}

// wait returns how long no attempt is made.
func (c *Client) wait(t *target) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Until(t.retry)
}

// sweep closes idle connections that this client opened and forgets addresses without a connection.
func (c *Client) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := cmp.Or(c.Idle, DefaultIdle)
	for address, t := range c.targets {
		switch {
		case t.link == nil || t.link.closed():
			if len(t.dialing) == 0 && now.Sub(t.retry) > idle {
				delete(c.targets, address)
			}
		case t.link.dialed && now.Sub(time.Unix(0, t.link.used.Load())) > idle:
			t.link.close()
		}
	}
}

func (c *Client) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, t := range c.targets {
		if t.link != nil {
			t.link.close()
		}
	}
}

func (c *Client) scope() tally.Scope {
	if c.Metrics == nil {
		return tally.NoopScope
	}
	return c.Metrics
}
