package standin

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"citronslip/pkg/inventory"
)

const (
	readHeaderTimeout = 5 * time.Second
)

var (
	// stepByClass is the duration of one decode step by speed class.
	stepByClass = map[string]time.Duration{
		"fast":   4 * time.Millisecond,
		"medium": 8 * time.Millisecond,
		"slow":   16 * time.Millisecond,
	}
)

type (
	// Fleet runs a stand-in for each backend server of an inventory, on its declared address. Start replaces a declared
	// port 0 in the inventory by the port that the system chose.
	Fleet struct {
		Inventory *inventory.Inventory

		Engines  map[string]*Engine  // By backend server name, set by Start.
		Bookings map[string]*Booking // By backend server name, set by Start.

		servers []fleetServer
	}

	// fleetServer is the stand-in of one backend server.
	fleetServer struct {
		listener net.Listener
		handler  http.Handler
		engine   *Engine // nil for a plain service.
	}
)

// Start opens all listeners, so that routers can connect before Run is called.
func (f *Fleet) Start() error {
	f.Engines = make(map[string]*Engine)
	f.Bookings = make(map[string]*Booking)
	kinds := make(map[string]inventory.Kind)
	for _, service := range f.Inventory.Services {
		kinds[service.Name] = service.Kind
	}
	for i := range f.Inventory.Backends {
		backend := &f.Inventory.Backends[i]
		if err := f.start(backend, kinds[backend.Service]); err != nil {
			f.close()
			return err
		}
	}
	return nil
}

// Run serves all backend servers until the context ends.
func (f *Fleet) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, server := range f.servers {
		group.Go(func() error { return Serve(ctx, server.listener, server.handler) })
		if server.engine != nil {
			group.Go(func() error { return server.engine.Run(ctx) })
		}
	}
	return group.Wait()
}

// Serve serves HTTP on a listener until the context ends.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return trace.Wrap(err)
	}
	return nil
}

func (f *Fleet) start(backend *inventory.BackendServer, kind inventory.Kind) error {
	address, err := url.Parse(backend.Address)
	if err != nil {
		return trace.Wrap(err)
	}
	listener, err := net.Listen("tcp", address.Host)
	if err != nil {
		return trace.Wrap(err, "backend server %s", backend.Name)
	}
	backend.Address = "http://" + listener.Addr().String()
	if kind == inventory.KindPlain {
		booking := &Booking{Name: backend.Name}
		f.Bookings[backend.Name] = booking
		f.servers = append(f.servers, fleetServer{listener: listener, handler: booking.Handler()})
		return nil
	}
	engine := &Engine{Name: backend.Name, Step: stepByClass[backend.Class], Fences: backend.EnforcesFencing, Software: defaultSoftware}
	for _, model := range backend.Models {
		engine.Models = append(engine.Models, f.loadedModel(model))
	}
	f.Engines[backend.Name] = engine
	f.servers = append(f.servers, fleetServer{listener: listener, handler: engine.Handler(), engine: engine})
	return nil
}

func (f *Fleet) loadedModel(name string) LoadedModel {
	for _, model := range f.Inventory.Models {
		if model.Name == name {
			return LoadedModel{Name: name, Version: model.Version, Adapters: model.Adapters}
		}
	}
	return LoadedModel{Name: name, Version: defaultVersion}
}

func (f *Fleet) close() {
	for _, server := range f.servers {
		server.listener.Close()
	}
}
