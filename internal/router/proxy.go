package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"citronslip/internal/delay"
	"citronslip/internal/dial"
	"citronslip/internal/dispatch"
	"citronslip/internal/engine"
	"citronslip/internal/event"
	"citronslip/internal/memory"
	"citronslip/internal/proxy"
	"citronslip/pkg/inventory"
)

const (
	// carrierIdleTimeout is how long an idle connection of another router is kept open. It is longer than that router keeps
	// it, since a request that is sent when a connection is closed is lost.
	carrierIdleTimeout = 30 * time.Second
	// carrierHeaderTimeout limits the time for reading the headers of a request of another router.
	carrierHeaderTimeout = 3 * time.Second
	// carrierPollInterval is the time between two looks at the requests of other routers during a stop.
	carrierPollInterval = 20 * time.Millisecond
	// addedBodyBytes is what a router adds at most to the body of its caller, such as the begin of an answer that another
	// server continues.
	addedBodyBytes = 8 << 20
	// defaultHTTPPort is the port of a backend server whose address names none.
	defaultHTTPPort = "80"
)

type (
	// carried is the permission to send a request of another router. It implements proxy.Admission.
	carried struct {
		router *Router
		server string
	}

	// startsAttempt is the context key of whether a request of another router starts an attempt.
	startsAttempt struct{}

	// errorLog logs the errors of the HTTP server for other routers, which are those of connections.
	errorLog struct {
		logger *zerolog.Logger
	}
)

// buildPaths creates the ways to the backend servers and the clients that use them.
func (r *Router) buildPaths() {
	if r.Dial == nil {
		r.Dial = dial.Backend
	}
	r.paths = &proxy.Paths{
		Place:    r.Settings.Place,
		Members:  r.otherLive,
		Dial:     r.dialServer,
		Restored: func(server string) { r.picker.ForgetFailures(server) },
		Reopened: func(server string) { r.picker.AllowProbe(server) },
		Closed:   r.isStopping,
		Now:      time.Now,
		Logger:   r.Logger,
		Metrics:  r.scope.SubScope("proxy"),
	}
	direct := engine.NewEngineTransport(r.Dial)
	r.control = &engine.Client{HTTP: engine.NewClient(direct)}
	r.engines = r.newProxied(direct, proxy.NewRouterTransport(r.dialRouter))
	// Connections that are used once, also those to other routers, keep net/http from sending a request again on its own.
	single := proxy.NewRouterTransport(r.dialRouter)
	single.DisableKeepAlives = true
	r.once = r.newProxied(engine.NewTransport(false, r.Dial), single)
	r.carrier = &proxy.Handler{
		// Each request gets a connection of its own: one that the server closes while it is idle would lose a request that
		// must not be sent again.
		Direct: engine.NewTransport(false, r.Dial),
		Paths:  r.paths,
		Admit:  r.admitCarried,
	}
	bodies := &dispatch.BodyReader{Budget: r.memory, Limit: func() int64 { return int64(r.Settings.Body) + addedBodyBytes }}
	r.carrier.ReadBody = func(body io.Reader, length int64) ([]byte, func(), bool) {
		data, release, reason := bodies.Read(body, length)
		return data, release, reason == ""
	}
}

// newProxied returns a client whose requests go through another router while the way to their server is broken.
func (r *Router) newProxied(direct, routers http.RoundTripper) *engine.Client {
	return &engine.Client{HTTP: engine.NewClient(&proxy.Transport{Direct: direct, Routers: routers, Paths: r.paths})}
}

// dialServer opens a connection to the server at an address of the inventory, whose port may be missing.
func (r *Router) dialServer(ctx context.Context, network, address string) (net.Conn, error) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		address = net.JoinHostPort(strings.Trim(address, "[]"), defaultHTTPPort)
	}
	return r.Dial(ctx, network, address)
}

// dialRouter opens a connection to the address at which another router accepts requests.
func (r *Router) dialRouter(ctx context.Context, network, address string) (net.Conn, error) {
	return r.peerClient.DialHTTP(ctx, network, address)
}

// otherLive returns the peer addresses of the other routers that are reachable.
func (r *Router) otherLive() []string {
	var addresses []string
	if live := r.shared.Live.Load(); live != nil {
		for _, address := range *live {
			if address != r.Settings.Peer {
				addresses = append(addresses, address)
			}
		}
	}
	return addresses
}

// updatePaths passes the declared backend servers to the ways to them. Servers with TLS have only the direct one, since
// requests to them cannot be read by another router.
func (r *Router) updatePaths(index *inventory.Index) {
	var servers []proxy.Server
	names := make(map[string]string)
	for _, backend := range index.Inventory.Backends {
		if !strings.HasPrefix(strings.ToLower(backend.Address), "http://") {
			continue
		}
		address := hostPort(backend.Address)
		servers = append(servers, proxy.Server{Name: backend.Name, Service: backend.Service, Address: address})
		names[address] = backend.Name
	}
	r.serverNames.Store(&names)
	r.paths.Update(servers)
}

// rerouted reports whether requests to the backend server with a base URL go through another router at present.
func (r *Router) rerouted(base string) bool { return r.paths.Rerouted(hostPort(base)) }

// listenProxy opens the listener for requests of other routers.
func (r *Router) listenProxy(ctx context.Context) (net.Listener, error) {
	address := r.Settings.Proxy
	if address == "" {
		peer, err := netip.ParseAddrPort(r.Settings.Peer)
		if err != nil {
			return nil, err
		}
		address = netip.AddrPortFrom(peer.Addr(), 0).String()
	}
	listener, err := dial.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	r.paths.Address = listener.Addr().String()
	return r.peerServer.SecureListener(r.carrierGuard.Listener(listener)), nil
}

// carry serves the requests of other routers to backend servers.
func (r *Router) carry(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           r.carrierGuard.Handler(http.HandlerFunc(r.handleCarried)),
		ConnContext:       memory.ConnContext,
		ReadHeaderTimeout: carrierHeaderTimeout,
		IdleTimeout:       carrierIdleTimeout,
		ErrorLog:          log.New(errorLog{r.Logger}, "", 0),
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return ignoreServerClosed(server.Serve(listener))
}

// Write logs the text of an error.
func (l errorLog) Write(text []byte) (int, error) {
	event.PeerRefused.Log(l.logger).Err(errors.New(strings.TrimSpace(string(text)))).Send()
	return len(text), nil
}

// handleCarried sends the request of another router, until the certificate of that router expires.
func (r *Router) handleCarried(w http.ResponseWriter, req *http.Request) {
	ctx := context.WithValue(req.Context(), startsAttempt{}, req.Header.Get(engine.HeaderAttempt) != "")
	if req.TLS != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.TLS.PeerCertificates[0].NotAfter)
		defer cancel()
	}
	r.carrier.ServeHTTP(w, req.WithContext(ctx))
}

// admitCarried decides whether a request of another router may be sent to the server at an address. A server that is
// leaving gets no new attempts; those that it runs can still be resumed, cancelled and settled.
func (r *Router) admitCarried(ctx context.Context, address string, _ bool) (proxy.Admission, error) {
	var name string
	if names := r.serverNames.Load(); names != nil {
		name = (*names)[address]
	}
	if name == "" {
		return nil, fmt.Errorf("%w: no backend server at %s", proxy.ErrNotSent, address)
	}
	if starts, _ := ctx.Value(startsAttempt{}).(bool); starts && r.picker.IsLeaving(name) {
		return nil, fmt.Errorf("%w: backend server %s is leaving", proxy.ErrNotSent, name)
	}
	return carried{r, name}, nil
}

// Observe records the load report in the head of a response.
func (c carried) Observe(_ *http.Request, response *http.Response) error {
	load, ok := engine.ParseLoad(response.Header)
	if !ok {
		return nil
	}
	c.router.front.RecordProcess(c.server, load)
	c.router.picker.RecordLoad(c.server, routingLoad(load))
	if load.Leaving {
		c.router.picker.MarkLeaving(c.server)
	}
	return nil
}

// awaitCarried waits for the requests of other routers in flight until the context ends. New ones are refused since the
// begin of the stop; their routers use another way.
func (r *Router) awaitCarried(ctx context.Context) {
	for r.carrier.InFlight() > 0 && delay.Sleep(ctx, carrierPollInterval) {
	}
}
