package caller_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"citronslip/internal/board"
	"citronslip/internal/budget"
	"citronslip/internal/burn"
	"citronslip/internal/caller"
	"citronslip/internal/claim"
	"citronslip/internal/engine"
	"citronslip/internal/explain"
	"citronslip/internal/object"
	"citronslip/internal/routing"
	"citronslip/internal/table"
	"citronslip/pkg/inventory"
)

const (
	testKey      = "test-key"
	budgetTokens = 1 << 40
	idleTimeout  = time.Minute
	maxDuration  = 10 * time.Minute
	maxBodyBytes = 1 << 20
)

var (
	prepaidKey = budget.Key{Account: "gardens", Budget: "prepaid"}
)

type (
	// pipeListener is a listener whose connections are unbuffered in-memory pipes.
	pipeListener struct {
		conns chan net.Conn
		done  chan struct{}
		once  sync.Once
	}

	// testFrontend is a caller front end with one backend server, connected by pipes.
	testFrontend struct {
		front          *caller.Frontend
		server         *http.Server
		callerListener *pipeListener
		ledger         *budget.Ledger
		openConns      atomic.Int64 // Open connections of callers.
		cleanups       []func()
	}
)

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

func (p *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.conns <- far:
		return near, nil
	case <-p.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// newTestFrontend starts a front end that sends requests to the given backend. Its close method ends it.
func newTestFrontend(tb testing.TB, backend http.Handler) *testFrontend {
	tb.Helper()
	return newTestFrontendFor(tb, testInventory(), backend)
}

// newTestFrontendFor starts a front end with an inventory of several backend servers, all of which the handler
// simulates.
func newTestFrontendFor(tb testing.TB, declared *inventory.Inventory, backend http.Handler) *testFrontend {
	tb.Helper()
	f := &testFrontend{callerListener: newPipeListener()}
	backendListener := newPipeListener()
	backendServer := &http.Server{Handler: backend}
	go backendServer.Serve(backendListener)
	transport := &http.Transport{DialContext: backendListener.dial, DisableCompression: true}
	client := &engine.Client{HTTP: &http.Client{Transport: transport}}
	f.build(tb, declared, client)
	f.server = f.front.Server()
	f.server.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			f.openConns.Add(1)
		case http.StateClosed:
			f.openConns.Add(-1)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	for _, run := range []func(context.Context) error{f.front.Resolver.Run, f.front.Queues.Run} {
		go run(ctx)
	}
	go f.server.Serve(f.callerListener)
	f.cleanups = []func(){cancel, func() { f.server.Close() }, transport.CloseIdleConnections, func() { backendServer.Close() }}
	return f
}

func (f *testFrontend) close() {
	for _, stop := range f.cleanups {
		stop()
	}
}

func (f *testFrontend) build(tb testing.TB, declared *inventory.Inventory, client *engine.Client) {
	logger := zerolog.Nop()
	version := &board.Cell[caller.ActiveConfig]{}
	version.Store(&caller.ActiveConfig{Number: 1, Index: inventory.NewIndex(declared)})
	f.ledger = &budget.Ledger{Declared: &board.Cell[budget.Declarations]{}}
	f.ledger.Declared.Store(budget.DeclarationsFrom(1, declared))
	// Creates demand, so that the grant is the whole budget.
	_, _ = f.ledger.Reserve([]budget.Key{prepaidKey}, budgetTokens)
	grants := &budget.GrantController{Table: &table.Memory{}, Ledger: f.ledger, Declared: f.ledger.Declared, Instance: "i",
		Address: "127.0.0.1:1", Policy: budget.FixedSplit{Holders: 1}}
	if err := grants.Step(context.Background()); err != nil {
		tb.Fatal(err)
	}
	picker := &routing.Picker{Router: "r", Logger: &logger}
	servers := []routing.Server{}
	for _, backend := range declared.Backends {
		server := routing.Server{BackendServer: backend}
		for _, name := range backend.Models {
			server.Holds = append(server.Holds, routing.LoadedModel{Model: name, Version: "1"})
		}
		servers = append(servers, server)
	}
	picker.Update(servers)
	f.front = &caller.Frontend{
		Router: "r", Instance: "i", Version: version, Stopping: &board.Cell[bool]{}, Closing: &board.Cell[time.Time]{}, Ledger: f.ledger, Picker: picker,
		Retrier: &routing.Retrier{}, Queues: &caller.AdmissionQueues{MaxWait: time.Minute, Logger: &logger},
		Claims:  &claim.Claims{Table: &table.Memory{}, Objects: &object.Memory{}, Instance: "i", Logger: &logger},
		Biller:  &claim.Biller{Table: &table.Memory{}, Instance: "i", Logger: &logger},
		Explain: &explain.RequestLog{}, Resolver: &caller.AttemptResolver{Engines: client, Logger: &logger},
		Remote:  &budget.Remote{Live: &board.Cell[[]string]{}},
		Engines: client, Once: client, Burn: &burn.Recorder{}, Logger: &logger,
		BodyBytes: maxBodyBytes, HeaderBytes: 8 << 10, Duration: maxDuration, Idle: idleTimeout,
	}
}

func testInventory() *inventory.Inventory {
	return &inventory.Inventory{
		Services: []inventory.Service{
			{Name: "planning", Kind: inventory.KindModel},
			{Name: "booking", Kind: inventory.KindPlain, Prefix: "/booking"},
		},
		Models:   []inventory.Model{{Name: "planner", Service: "planning", Version: "1", TemplateOverhead: 64, MaxOutputTokens: 4096}},
		Accounts: []inventory.ClientAccount{{Name: "gardens", Keys: []string{inventory.DigestKey(testKey)}}},
		Budgets:  []inventory.Budget{{Name: "prepaid", Account: "gardens", Tokens: budgetTokens}},
		Backends: []inventory.BackendServer{
			{Name: "planner1", Service: "planning", Address: "http://backend", Models: []string{"planner"}},
			{Name: "booking1", Service: "booking", Address: "http://backend"},
		},
	}
}

// client returns an HTTP client that uses HTTP/2 if http2 is set, and HTTP/1.1 otherwise.
func (f *testFrontend) client(http2 bool) *http.Client {
	transport := &http.Transport{DialContext: f.callerListener.dial, Protocols: &http.Protocols{}}
	transport.Protocols.SetHTTP1(!http2)
	transport.Protocols.SetUnencryptedHTTP2(http2)
	// The flow-control window is far smaller than the streams of the tests.
	transport.HTTP2 = &http.HTTP2Config{MaxReceiveBufferPerStream: 64 << 10}
	f.cleanups = append([]func(){transport.CloseIdleConnections}, f.cleanups...)
	return &http.Client{Transport: transport}
}

func newChatRequest(ctx context.Context, body string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://router/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	return r
}

func chatBody(content string) string {
	return fmt.Sprintf(`{"model":"planner","stream":true,"messages":[{"role":"user","content":%q}]}`, content)
}
