package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"citronslip/internal/proxy"
	"citronslip/internal/wire"
)

const (
	// open lets all connections through.
	open linkMode = iota
	// refusing refuses new connections.
	refusing
	// silent does not answer.
	silent

	// dialTimeout is how long a router waits for a connection to a server.
	dialTimeout = 700 * time.Millisecond
	// shortestOwnTest separates the tests of broken ways from those for other routers, which have less time.
	shortestOwnTest = 300 * time.Millisecond
	// hop is the time of a message between two hosts.
	hop = time.Millisecond
)

var errNotReached = errors.New("router not reached")

type (
	linkMode int

	// fleet is a set of routers before a set of servers, in one process and without a network.
	fleet struct {
		routers []*fleetRouter
		servers []proxy.Server

		mu       sync.Mutex
		link     func(router, server int) linkMode // From a router to a server.
		peerLink func(router int) linkMode         // To a router from all others.
		dials    []dialRecord
		arrivals []arrival
	}

	// fleetRouter is one router.
	fleetRouter struct {
		fleet     *fleet
		index     int
		paths     *proxy.Paths
		transport *proxy.Transport
		handler   *proxy.Handler

		known    atomic.Pointer[[]string] // Routers that it knows; nil if it knows all.
		withheld atomic.Pointer[string]   // Address that it withholds requests from; nil if there is none.
		asked    atomic.Int64             // How many routers it has asked.
		restored []string                 // Protected by the lock of the fleet.

		// Set while no attempts are in progress.
		respond func() (io.Reader, error)  // Responses of the servers to this router; optional.
		admit   func(address string) error // Whether it sends attempts of other routers; optional.
	}

	// dialRecord is a connection that was opened, or not, to test the way to a server.
	dialRecord struct {
		router, server int
		at             time.Time
		own            bool // Whether it tests a broken way, not for another router.
	}

	// arrival is an attempt that reached a server.
	arrival struct {
		server, from int
	}

	admitted struct{}

	// failingReader fails after its text.
	failingReader struct {
		io.Reader
	}
)

func (admitted) Observe(*http.Request, *http.Response) error { return nil }

func (f failingReader) Read(data []byte) (int, error) {
	n, err := f.Reader.Read(data)
	if errors.Is(err, io.EOF) {
		err = syscall.ECONNRESET
	}
	return n, err
}

// newFleet runs routers, half of them in each of two data centres, until the end of the test. It is called in a bubble.
func newFleet(t *testing.T, routers, servers int) *fleet {
	t.Helper()
	f := &fleet{
		link:     func(int, int) linkMode { return open },
		peerLink: func(int) linkMode { return open },
	}
	for i := range servers {
		f.servers = append(f.servers, proxy.Server{Name: fmt.Sprintf("i-%d", i), Service: "s", Address: fmt.Sprintf("server-%d", i)})
	}
	logger := zerolog.Nop()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		time.Sleep(5 * time.Second) // Ends what is in progress.
		synctest.Wait()
	})
	for i := range routers {
		r := &fleetRouter{fleet: f, index: i}
		var members []string
		for j := range routers {
			if j != i {
				members = append(members, fmt.Sprintf("peer-%d", j))
			}
		}
		r.paths = &proxy.Paths{
			Address: fmt.Sprintf("router-%d", i), Place: fmt.Sprintf("z%d", i%2),
			Peers: r, Dial: r.dial,
			Members: func() []string {
				if known := r.known.Load(); known != nil {
					return *known
				}
				return members
			},
			Withheld: func(address string) bool {
				withheld := r.withheld.Load()
				return withheld != nil && *withheld == address
			},
			Restored: r.recordRestored, Now: time.Now, Logger: &logger,
		}
		r.transport = &proxy.Transport{Direct: directLink{r}, Routers: routerLink{r}, Paths: r.paths}
		r.handler = &proxy.Handler{Direct: directLink{r}, Paths: r.paths, Admit: r.admitAttempt, ReadBody: readBody}
		r.paths.Update(f.servers)
		f.routers = append(f.routers, r)
	}
	for _, r := range f.routers {
		go func() { _ = r.paths.Run(ctx) }() // Ends with the context and returns nil.
	}
	return f
}

func readBody(body io.Reader, _ int64) ([]byte, func(), bool) {
	data, err := io.ReadAll(body)
	return data, func() {}, err == nil
}

// set changes the links from routers to servers.
func (f *fleet) set(link func(router, server int) linkMode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.link = link
}

// setPeers changes the links between routers.
func (f *fleet) setPeers(link func(router int) linkMode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerLink = link
}

func index(address string) int {
	var n int
	_, name, _ := strings.Cut(address, "-")
	if _, err := fmt.Sscan(name, &n); err != nil {
		panic(err)
	}
	return n
}

// wait passes a link, or fails as it does.
func wait(ctx context.Context, mode linkMode) error {
	switch mode {
	case refusing:
		time.Sleep(hop)
		return &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case silent:
		select {
		case <-ctx.Done():
		case <-time.After(dialTimeout):
		}
		return &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ETIMEDOUT}
	}
	time.Sleep(hop)
	return nil
}

func (r *fleetRouter) mode(server int) linkMode {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.fleet.link(r.index, server)
}

func (r *fleetRouter) dial(ctx context.Context, _, address string) (net.Conn, error) {
	deadline, _ := ctx.Deadline()
	record := dialRecord{router: r.index, server: index(address), at: time.Now(), own: time.Until(deadline) > shortestOwnTest}
	r.fleet.mu.Lock()
	r.fleet.dials = append(r.fleet.dials, record)
	r.fleet.mu.Unlock()
	if err := wait(ctx, r.mode(record.server)); err != nil {
		return nil, err
	}
	conn, other := net.Pipe()
	_ = other.Close()
	return conn, nil
}

// Reach asks another router.
func (r *fleetRouter) Reach(ctx context.Context, address string, query wire.ProxyQuery) (wire.ProxyAnswer, error) {
	target := r.fleet.routers[index(address)]
	r.asked.Add(1)
	r.fleet.mu.Lock()
	mode := r.fleet.peerLink(target.index)
	r.fleet.mu.Unlock()
	if mode != open {
		if mode == silent {
			<-ctx.Done()
		}
		return wire.ProxyAnswer{}, errNotReached
	}
	time.Sleep(hop)
	return target.paths.Reach(ctx, query)
}

func (r *fleetRouter) recordRestored(server string) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.restored = append(r.restored, server)
}

func (r *fleetRouter) admitAttempt(_ context.Context, address string, _ bool) (proxy.Admission, error) {
	if r.admit == nil {
		return admitted{}, nil
	}
	return admitted{}, r.admit(address)
}

// directLink sends attempts of a router to servers, each on a new connection.
type directLink struct{ r *fleetRouter }

func (l directLink) RoundTrip(request *http.Request) (*http.Response, error) {
	server := index(request.URL.Host)
	r := l.r
	if err := wait(request.Context(), r.mode(server)); err != nil {
		return nil, err
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.fleet.arrivals = append(r.fleet.arrivals, arrival{server: server, from: r.index})
	var body io.Reader = strings.NewReader("answer")
	if r.respond != nil {
		var err error
		if body, err = r.respond(); err != nil {
			return nil, err
		}
	}
	return &http.Response{
		StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{}, Body: io.NopCloser(body), ContentLength: -1, Request: request,
	}, nil
}

// routerLink sends attempts of a router to other routers.
type routerLink struct{ r *fleetRouter }

func (l routerLink) RoundTrip(request *http.Request) (response *http.Response, err error) {
	if request.URL.Host == "" {
		return nil, errors.New("http: no Host in request URL")
	}
	target := l.r.fleet.routers[index(request.URL.Host)]
	l.r.fleet.mu.Lock()
	mode := l.r.fleet.peerLink(target.index)
	l.r.fleet.mu.Unlock()
	if err := wait(request.Context(), mode); err != nil {
		return nil, err
	}
	received := httptest.NewRequest(request.Method, "http://host"+request.URL.Opaque, request.Body).WithContext(request.Context())
	received.Header = request.Header.Clone()
	recorder := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			response, err = nil, io.ErrUnexpectedEOF
		}
	}()
	target.handler.ServeHTTP(deadlines{recorder}, received)
	return recorder.Result(), nil
}

// deadlines accepts time limits for writes.
type deadlines struct{ *httptest.ResponseRecorder }

// SetWriteDeadline does nothing.
func (deadlines) SetWriteDeadline(time.Time) error { return nil }

// send sends an attempt from a router to a server, reads the response and returns the error.
func (r *fleetRouter) send(server int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.fleet.servers[server].Address+"/a", proxy.NewBody([]byte("x")))
	if err != nil {
		return err
	}
	response, err := r.transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// carriedBy returns how many attempts each router has sent since the given number of arrivals.
func (f *fleet) carriedBy(since int) map[int]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	result := make(map[int]int)
	for _, a := range f.arrivals[since:] {
		result[a.from]++
	}
	return result
}

func (f *fleet) arrivalCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.arrivals)
}

// dialsTo returns the times at which a server was tested, and only those of tests of broken ways if own is set.
func (f *fleet) dialsTo(server int, own bool) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var result []time.Time
	for _, d := range f.dials {
		if d.server == server && (d.own || !own) {
			result = append(result, d.at)
		}
	}
	return result
}

// busiestSecond returns the largest number of times within one second, of those from begin on.
func busiestSecond(times []time.Time, begin time.Time) int {
	times = slices.DeleteFunc(slices.Clone(times), begin.After)
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// restoredCount returns how often Restored was called.
func (r *fleetRouter) restoredCount() int {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return len(r.restored)
}
