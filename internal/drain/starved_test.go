package drain_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

type (
	// heldListener accepts connections only after it was released, as in a process that gets no processor time.
	heldListener struct {
		*net.TCPListener
		release chan struct{} // Closed when connections are accepted.
		once    sync.Once
		stopped chan struct{} // Closed when a deadline is set, which the stop does.
	}
)

func (l *heldListener) Accept() (net.Conn, error) {
	<-l.release
	return l.TCPListener.Accept()
}

func (l *heldListener) SetDeadline(deadline time.Time) error {
	l.once.Do(func() { close(l.stopped) })
	return l.TCPListener.SetDeadline(deadline)
}

// Guards against the reset of connections that a server, short of processor time, has not accepted when its time to accept
// is over.
func TestStopAcceptsWaitingConnectionsLate(t *testing.T) {
	is := is.New(t)
	held := &heldListener{TCPListener: listen(t), release: make(chan struct{}), stopped: make(chan struct{})}
	s := serve(t, held)
	var conns []net.Conn
	for range 8 {
		conn := s.dial(t)
		_, err := io.WriteString(conn, request)
		is.NoErr(err)
		conns = append(conns, conn)
	}
	var stop sync.WaitGroup
	stop.Go(func() { s.stop(t) })
	<-held.stopped
	time.Sleep(500 * time.Millisecond) // A stopped listener waits 300 ms for connections.
	close(held.release)
	for _, conn := range conns {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		response.Body.Close()
		is.Equal(response.StatusCode, http.StatusOK)
	}
	stop.Wait()
}
