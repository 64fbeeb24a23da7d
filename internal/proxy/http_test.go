package proxy_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"time"

	"github.com/rs/zerolog"

	"citronslip/internal/proxy"
	"citronslip/internal/wire"
)

type (
	// chain is a caller's router that is cut off from a server, a router in the middle, and the server, over HTTP.
	chain struct {
		server    *httptest.Server
		middle    *httptest.Server
		handler   *proxy.Handler
		direct    *http.Transport // Of the router in the middle.
		transport *proxy.Transport
		through   atomic.Bool // Whether the caller's router is cut off.
		serve     atomic.Pointer[http.HandlerFunc]
		arrivals  sync.Map     // Numbers of arrivals at the server by the header Id.
		carried   atomic.Int64 // Requests at the router in the middle.

		admit   func(ctx context.Context, address string, permit bool) (proxy.Admission, error)
		observe func(request *http.Request, response *http.Response) error
		before  func(w http.ResponseWriter, n int64) bool // Whether the router in the middle serves its n-th request.
		queries atomic.Int64
	}

	// chainAdmission observes the heads of responses.
	chainAdmission struct{ c *chain }
)

func (a chainAdmission) Observe(request *http.Request, response *http.Response) error {
	if a.c.observe == nil {
		return nil
	}
	return a.c.observe(request, response)
}

// newChain starts the server and both routers.
func newChain(t *testing.T, serve http.HandlerFunc) *chain {
	t.Helper()
	c := &chain{}
	c.serve.Store(&serve)
	c.through.Store(true)
	c.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := c.arrivals.LoadOrStore(r.Header.Get("Id"), &atomic.Int64{})
		n.(*atomic.Int64).Add(1)
		(*c.serve.Load())(w, r)
	}))
	t.Cleanup(c.server.Close)
	logger := zerolog.Nop()
	servers := []proxy.Server{{Name: "i-0", Service: "s", Address: c.server.Listener.Addr().String()}}
	var dialer net.Dialer
	c.direct = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}
	t.Cleanup(c.direct.CloseIdleConnections)
	middlePaths := &proxy.Paths{Place: "z", Dial: dialer.DialContext, Now: time.Now, Logger: &logger, Members: func() []string { return nil }}
	middlePaths.Update(servers)
	c.handler = &proxy.Handler{Direct: c.direct, Paths: middlePaths, ReadBody: readBody,
		Admit: func(ctx context.Context, address string, permit bool) (proxy.Admission, error) {
			if c.admit != nil {
				return c.admit(ctx, address, permit)
			}
			return chainAdmission{c}, nil
		}}
	c.middle = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n := c.carried.Add(1); c.before == nil || c.before(w, n) {
			c.handler.ServeHTTP(w, r)
		}
	}))
	t.Cleanup(c.middle.Close)
	middlePaths.Address = c.middle.Listener.Addr().String()
	open := func(ctx context.Context, network, address string) (net.Conn, error) {
		if c.through.Load() {
			return nil, &net.OpError{Op: "dial", Net: network, Err: errors.New("cut off")}
		}
		return dialer.DialContext(ctx, network, address)
	}
	paths := &proxy.Paths{Place: "z", Dial: open, Now: time.Now, Logger: &logger, Members: func() []string { return []string{"peer"} }}
	paths.Peers = chainPeer{c, middlePaths}
	paths.Update(servers)
	routers := proxy.NewRouterTransport(dialer.DialContext)
	t.Cleanup(routers.CloseIdleConnections)
	direct := &http.Transport{DialContext: open, DisableCompression: true}
	t.Cleanup(direct.CloseIdleConnections)
	c.transport = &proxy.Transport{Direct: direct, Routers: routers, Paths: paths}
	return c
}

// chainPeer asks the router in the middle.
type chainPeer struct {
	c     *chain
	paths *proxy.Paths
}

func (p chainPeer) Reach(ctx context.Context, _ string, query wire.ProxyQuery) (wire.ProxyAnswer, error) {
	p.c.queries.Add(1)
	return p.paths.Reach(ctx, query)
}

// request returns a request as the platform makes it.
func (c *chain) request(ctx context.Context, method, path, id string, body []byte) *http.Request {
	request, err := http.NewRequestWithContext(ctx, method, c.server.URL+path, http.NoBody)
	if err != nil {
		panic(err)
	}
	request.URL.Opaque = request.URL.EscapedPath()
	request.Host = "h.example"
	request.Header.Set("Id", id)
	request.ContentLength = int64(len(body))
	proxy.PreventRepeat(request, body)
	return request
}

// arrived returns how often a request arrived at the server.
func (c *chain) arrived(id string) int64 {
	n, ok := c.arrivals.Load(id)
	if !ok {
		return 0
	}
	return n.(*atomic.Int64).Load()
}

// fetch sends a request and returns the response with its whole body.
func (c *chain) fetch(request *http.Request) (*http.Response, []byte, error) {
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

// awaitDirect ends the cut and has the way to the server restored.
func (c *chain) awaitDirect() {
	c.through.Store(false)
	c.transport.Paths.Update(nil)
	c.transport.Paths.Update([]proxy.Server{{Name: "i-0", Service: "s", Address: c.server.Listener.Addr().String()}})
}
