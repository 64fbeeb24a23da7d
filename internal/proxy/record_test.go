package proxy_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/proxy"
)

const (
	// recordedFile holds the bytes of a request that one router sends for another one, as the earlier release sent them: the
	// case, the request and the response in a line.
	recordedFile = "testdata/01c4ed0.txt"
	// refusedAfter is how long the server wants no requests in the case of that name.
	refusedAfter = 1500 * time.Millisecond
)

var (
	// record makes TestRecord write recordedFile. To record a release, copy this file into a worktree of it and run the test
	// there.
	record = flag.Bool("record", false, "record what this release sends")

	// recordedCases are the cases with what the server does, or the router in the middle, if it refuses the request.
	recordedCases = []struct {
		name   string
		serve  func(conn net.Conn)
		refuse error
	}{
		{"answered", func(conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nDate: Sun, 06 Dec 2026 12:00:00 GMT\r\nContent-Length: 6\r\n\r\nanswer")
		}, nil},
		{"unframed", func(conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nDate: Sun, 06 Dec 2026 12:00:00 GMT\r\nConnection: close\r\n\r\nanswer")
		}, nil},
		{"lost", func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 000 X\r\n\r\n") }, nil},
		{"reset", func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }, nil},
		{"unsent", nil, proxy.ErrNotSent},
		{"refused", nil, &proxy.RefusedError{After: refusedAfter}},
	}
)

// tapConn records the bytes of a connection.
type tapConn struct {
	net.Conn
	mu        sync.Mutex
	sent, got []byte
}

func (c *tapConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, data...)
	return c.Conn.Write(data)
}

func (c *tapConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.got = append(c.got, data[:n]...)
	return n, err
}

// hijacked returns the handler that treats the connection of a request in some way and closes it.
func hijacked(serve func(conn net.Conn)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		serve(conn)
		_ = conn.Close()
	}
}

// Records what this release sends, for the tests of later ones.
func TestRecord(t *testing.T) {
	if !*record {
		t.Skip("records only with -record")
	}
	var out strings.Builder
	for _, c := range recordedCases {
		chain := newChain(t, hijacked(c.serve))
		chain.admit = func(context.Context, string, bool) (proxy.Admission, error) { return chainAdmission{chain}, c.refuse }
		var tap *tapConn
		routers := proxy.NewRouterTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			tap = &tapConn{Conn: conn}
			return tap, err
		})
		chain.transport.Routers = routers
		ctx := proxy.WithCall(t.Context(), proxy.Call{Request: "request-1", Permit: true})
		_, _, _ = chain.fetch(chain.request(ctx, http.MethodPost, "/path?q=1", "id-1", []byte("body"))) // Some cases end with an error.
		tap.mu.Lock()
		request := strings.ReplaceAll(string(tap.sent), chain.server.Listener.Addr().String(), "SERVER")
		fmt.Fprintf(&out, "%s\t%q\t%q\n", c.name, request, tap.got)
		tap.mu.Unlock()
	}
	is.New(t).NoErr(os.WriteFile(recordedFile, []byte(out.String()), 0o600))
}
