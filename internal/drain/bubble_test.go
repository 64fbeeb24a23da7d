package drain_test

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

type (
	// pipeListener accepts connections in memory, whose times are those of a bubble.
	pipeListener struct {
		conns     chan net.Conn
		deadlines chan time.Time // Receives each deadline of Accept.
	}
)

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), deadlines: make(chan time.Time, 8)}
}

// Accept returns the next connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	var expired <-chan time.Time
	for {
		select {
		case conn := <-l.conns:
			return conn, nil
		case deadline := <-l.deadlines:
			expired = time.After(time.Until(deadline))
		case <-expired:
			return nil, os.ErrDeadlineExceeded
		}
	}
}

// SetDeadline sets the deadline of Accept.
func (l *pipeListener) SetDeadline(deadline time.Time) error {
	l.deadlines <- deadline
	return nil
}

// Close does nothing: drain.Listener closes it once Accept has returned.
func (l *pipeListener) Close() error { return nil }

// Addr returns no real address.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// SyscallConn fails, since there is no socket.
func (l *pipeListener) SyscallConn() (syscall.RawConn, error) { return nil, errors.ErrUnsupported }

// Guards against a further request on a connection whose response began before the stop, and so did not ask for the close.
func TestConnectionEndsBehindResponseThatBeganBeforeStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		begun, release := make(chan struct{}, 2), make(chan struct{})
		listener := newPipeListener()
		s := serveWith(t, listener, func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			begun <- struct{}{}
			<-release
		})
		conn, accepted := net.Pipe()
		defer conn.Close()
		listener.conns <- accepted
		status := make(chan int, 1)
		go func() {
			n, _ := exchange(conn)
			status <- n
		}()
		<-begun
		var stop sync.WaitGroup
		stop.Go(func() { s.stop(t) })
		time.Sleep(time.Second)
		close(release)
		is.Equal(<-status, http.StatusOK)
		time.Sleep(5 * time.Millisecond) // A caller is not faster.
		_, err := exchange(conn)
		is.True(err != nil)
		stop.Wait()
	})
}
