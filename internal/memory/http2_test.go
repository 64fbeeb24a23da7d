package memory_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/memory"
)

// closeTimeout is how long the end of a connection may take.
const closeTimeout = 10 * time.Second

type (
	// unreadListener returns connections whose other end can stop to read.
	unreadListener struct {
		net.Listener
		unread atomic.Bool
		first  chan *unreadConn // Gets the first connection.
	}

	unreadConn struct {
		net.Conn
		listener *unreadListener
		closed   chan struct{}
		once     sync.Once
	}
)

func (l *unreadListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	unread := &unreadConn{Conn: conn, listener: l, closed: make(chan struct{})}
	select {
	case l.first <- unread:
	default:
	}
	return unread, nil
}

func (c *unreadConn) Write(p []byte) (int, error) {
	if c.listener.unread.Load() {
		<-c.closed
	}
	return c.Conn.Write(p)
}

func (c *unreadConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Guards against refusals over HTTP/2 that are never read: each of them kept a decoded head that nothing reserves.
func TestUnreadHTTP2RefusalsEndConnection(t *testing.T) {
	const requests = 100
	is := is.New(t)
	budget := &memory.Budget{Limit: budgetBytes}
	guard := &memory.Guard{Budget: budget}
	server := httptest.NewUnstartedServer(guard.Handler(http.NotFoundHandler()))
	unread := &unreadListener{Listener: server.Listener, first: make(chan *unreadConn, 1)}
	server.Listener = guard.Listener(unread)
	server.Config.ConnContext = memory.ConnContext
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	transport := &http.Transport{Protocols: &http.Protocols{}}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithCancel(t.Context())
	ask := func() {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, http.NoBody)
		is.NoErr(err)
		if response, err := transport.RoundTrip(request); err == nil {
			_ = response.Body.Close() // Only the connection matters.
		}
	}
	ask()
	for budget.Reserve(50 << 10) {
		continue
	}
	unread.unread.Store(true)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for range requests {
		group.Go(ask)
	}
	select {
	case <-(<-unread.first).closed:
	case <-time.After(closeTimeout):
		t.Fatal("the connection is still open")
	}
}
