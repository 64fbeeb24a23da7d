package entry

import (
	"context"
	"net/http"
	"time"

	"citronslip/internal/delay"
	"citronslip/internal/dial"
	"citronslip/internal/dispatch"
	"citronslip/internal/memory"
	"citronslip/internal/peer"
	"citronslip/internal/proxy"
	"citronslip/internal/wire"
)

const (
	// carrierIdleTimeout is how long an idle connection of another router is kept open. It is longer than that router keeps
	// it, since a request that is sent when a connection is closed is lost.
	carrierIdleTimeout = 30 * time.Second
	// carrierHeaderTimeout limits the time for reading the headers of a request of another router.
	carrierHeaderTimeout = 3 * time.Second
	// carrierPollInterval is the time between two looks at the requests of other routers during a stop.
	carrierPollInterval = 20 * time.Millisecond
)

type (
	// peerPaths asks other routers which backend servers they reach.
	peerPaths struct {
		client *peer.Client
	}
)

// buildPaths completes the ways to the backend servers.
func (r *Router) buildPaths() {
	r.Paths.Peers = &peerPaths{r.peers}
	r.Paths.Members = r.ledger.PeerAddresses
	r.Paths.Restored = r.pool.Picker.ForgetFailures
	r.Paths.Reopened = r.pool.Picker.AllowProbe
	r.Paths.Closed = r.stopping.Load
	if r.evacuated != nil {
		r.Paths.Withheld = r.pool.Withholds
	}
	r.Paths.Metrics = r.scope.SubScope("proxy")
}

// observeServers tells the other parts of a new set of backend servers.
func (r *Router) observeServers(servers []dispatch.Server) {
	r.streams.Observe(dispatch.Origins(servers))
	r.observeCold(servers)
	list := make([]proxy.Server, 0, len(servers))
	for i := range servers {
		list = append(list, proxy.Server{Name: servers[i].Name, Service: servers[i].Service, Address: servers[i].Address})
	}
	r.Paths.Update(list)
}

// carry serves the requests of other routers to backend servers.
func (r *Router) carry(ctx context.Context) error {
	listener, err := dial.Listen(ctx, r.Settings.Proxy)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: r.guards.carrier.Handler(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			logPanics(r.Logger, r.carrier, w, req)
		})),
		ReadHeaderTimeout: carrierHeaderTimeout,
		IdleTimeout:       carrierIdleTimeout,
		ConnContext:       memory.ConnContext,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(r.guards.carrier.Listener(listener)); ctx.Err() == nil {
		return err
	}
	return nil
}

// awaitCarried waits for the requests of other routers in flight until the context ends. New ones are refused since the
// begin of the stop; their routers use another way.
func (r *Router) awaitCarried(ctx context.Context) error {
	for r.carrier.InFlight() > 0 {
		if !delay.Sleep(ctx, carrierPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// Reach asks another router which backend servers it reaches.
func (p *peerPaths) Reach(ctx context.Context, address string, query wire.ProxyQuery) (wire.ProxyAnswer, error) {
	return p.client.Reach(ctx, address, query)
}
