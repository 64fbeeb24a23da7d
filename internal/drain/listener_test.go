package drain_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/drain"
	"citronslip/internal/harness"
)

const (
	maxWait = 30 * time.Second
	// unusedTime is how long a connection stays open without a request while a server stops.
	unusedTime = 250 * time.Millisecond
	request    = "GET / HTTP/1.1\r\nHost: server\r\n\r\n"
)

type (
	// testServer is an HTTP server on a drain.Listener. While it stops, each answer asks for the close.
	testServer struct {
		listener *drain.Listener
		server   *http.Server
		stopping atomic.Bool
		idle     atomic.Int64                     // Number of times that a connection became idle.
		handle   atomic.Pointer[http.HandlerFunc] // Answers in place of the function of serveWith; optional.
		ended    chan error
	}

	// slowListener accepts connections that report a passed read deadline late.
	slowListener struct {
		*net.TCPListener
		armed   atomic.Bool
		expired chan struct{} // Receives an element when a read deadline has passed.
		resume  chan struct{} // Receives an element when that is to be reported.
		pause   time.Duration // Time between the setting of a read deadline and its return.
	}

	slowConn struct {
		*net.TCPConn
		listener *slowListener
	}
)

func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	return &slowConn{conn, l}, err
}

func (c *slowConn) Read(data []byte) (int, error) {
	n, err := c.TCPConn.Read(data)
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() && c.listener.armed.CompareAndSwap(true, false) {
		c.listener.expired <- struct{}{}
		<-c.listener.resume
	}
	return n, err
}

func (c *slowConn) SetReadDeadline(deadline time.Time) error {
	err := c.TCPConn.SetReadDeadline(deadline)
	if time.Until(deadline) > 0 {
		time.Sleep(c.listener.pause)
	}
	return err
}

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener.(*net.TCPListener)
}

func serve(t *testing.T, listener drain.TCPListener) *testServer {
	t.Helper()
	return serveWith(t, listener, func(http.ResponseWriter) { time.Sleep(time.Millisecond) })
}

// serveWith starts a server that answers requests by a function.
func serveWith(t *testing.T, listener drain.TCPListener, respond func(w http.ResponseWriter)) *testServer {
	t.Helper()
	s := &testServer{listener: &drain.Listener{TCP: listener}, ended: make(chan error, 1)}
	s.server = &http.Server{
		ConnState: func(conn net.Conn, state http.ConnState) {
			s.listener.ConnState(conn, state)
			if state == http.StateIdle {
				s.idle.Add(1)
			}
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if s.stopping.Load() {
				w.Header().Set("Connection", "close")
			}
			if handle := s.handle.Load(); handle != nil {
				(*handle)(w, r)
				return
			}
			respond(w)
		}),
	}
	go func() { s.ended <- s.server.Serve(s.listener) }()
	t.Cleanup(func() { s.server.Close() })
	return s
}

// stop ends the server as planned.
func (s *testServer) stop(t *testing.T) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	s.stopping.Store(true)
	is.NoErr(s.listener.Stop(ctx))
	is.True(errors.Is(<-s.ended, net.ErrClosed))
	is.NoErr(s.listener.Drain(ctx))
	is.NoErr(s.server.Shutdown(ctx))
}

func (s *testServer) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// exchange sends a request on a connection and returns the status of the response.
func exchange(conn net.Conn) (int, error) {
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, err
	}
	return receive(conn)
}

// receive returns the status of a response.
func receive(conn net.Conn) (int, error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// Guards against a stop that drops requests which it reads late, or resets connections that it has not accepted.
func TestStopAnswersRequestsOnNewConnections(t *testing.T) {
	for range 3 {
		s := serve(t, listen(t))
		address := s.listener.Addr().String()
		var group sync.WaitGroup
		for range 24 {
			group.Go(func() {
				for {
					begin := time.Now()
					conn, err := net.Dial("tcp", address)
					if err != nil {
						return // The listener is closed.
					}
					_, err = io.WriteString(conn, request)
					sent := time.Since(begin)
					if err == nil {
						_, err = receive(conn)
					}
					// If the caller was that late, the server may have closed the connection unused.
					if err != nil && sent < unusedTime {
						t.Errorf("request that was sent in %v got no complete response: %v", sent, err)
					}
					conn.Close()
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		s.stop(t)
		group.Wait()
	}
}

// Guards against the close of an idle connection whose next request has arrived but was not read, also by a process that
// is slow to look.
func TestRequestOnEndingConnectionIsAnswered(t *testing.T) {
	for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			is := is.New(t)
			slow := &slowListener{TCPListener: listen(t), expired: make(chan struct{}), resume: make(chan struct{}), pause: pause}
			s := serve(t, slow)
			conn := s.dial(t)
			_, err := exchange(conn)
			is.NoErr(err)
			// Behind a response, net/http ends a read by a deadline before it reports that the connection is idle.
			harness.Eventually(t, maxWait, "connection is idle", func() bool { return s.idle.Load() == 1 })
			slow.armed.Store(true)
			var stop sync.WaitGroup
			stop.Go(func() { s.stop(t) })
			<-slow.expired
			_, err = io.WriteString(conn, request)
			is.NoErr(err)
			slow.resume <- struct{}{}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			response.Body.Close()
			is.Equal(response.StatusCode, http.StatusOK)
			is.True(response.Close)
			stop.Wait()
		})
	}
}

// Guards against a stop that cuts off a request whose header or body comes in parts, on a kept or a new connection.
func TestStopWaitsForRequestsInParts(t *testing.T) {
	is := is.New(t)
	s := serve(t, listen(t))
	var group sync.WaitGroup
	for _, kept := range []bool{false, true} {
		conn := s.dial(t)
		if kept {
			_, err := exchange(conn)
			is.NoErr(err)
		}
		const head = "POST / HTTP/1.1\r\nHost: server\r\nContent-Length: 2\r\n\r\n"
		parts := []string{head[:9], head[9:], "a", "b"}
		fmt.Fprint(conn, parts[0])
		group.Go(func() {
			for _, part := range parts[1:] {
				time.Sleep(400 * time.Millisecond)
				fmt.Fprint(conn, part)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			response.Body.Close()
			is.Equal(response.StatusCode, http.StatusOK)
		})
	}
	time.Sleep(50 * time.Millisecond)
	s.stop(t)
	group.Wait()
}

// Guards against idle connections that delay the end of a server.
func TestIdleConnectionsDoNotDelayStop(t *testing.T) {
	is := is.New(t)
	s := serve(t, listen(t))
	for range 20 {
		_, err := exchange(s.dial(t))
		is.NoErr(err)
	}
	begin := time.Now()
	s.stop(t)
	is.True(time.Since(begin) < 2*time.Second)
}

// Guards against connections without a request on which a server that stops takes one seconds later.
func TestUnusedConnectionsEndSoonAfterStop(t *testing.T) {
	is := is.New(t)
	s := serve(t, listen(t))
	var conns []net.Conn
	for range 20 {
		conns = append(conns, s.dial(t))
	}
	begin := time.Now()
	s.stop(t)
	is.True(time.Since(begin) < 2*time.Second)
	for _, conn := range conns {
		_, err := exchange(conn)
		is.True(err != nil)
	}
}

// Guards against the loss of a request that came together with one whose response began before the stop.
func TestStopDoesNotCancelPipelinedRequest(t *testing.T) {
	is := is.New(t)
	begun, release, second := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	s := serve(t, listen(t))
	first := true
	handle := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if first {
			first = false
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			close(begun)
			<-release
			return
		}
		time.Sleep(500 * time.Millisecond) // Idle connections are closed meanwhile.
		second <- r.Context().Err()
	})
	s.handle.Store(&handle)
	conn := s.dial(t)
	_, err := io.WriteString(conn, request+request)
	is.NoErr(err)
	<-begun
	var stop sync.WaitGroup
	stop.Go(func() { s.stop(t) })
	time.Sleep(600 * time.Millisecond)
	close(release)
	reader := bufio.NewReader(conn)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		response.Body.Close()
	}
	is.NoErr(<-second)
	stop.Wait()
}
