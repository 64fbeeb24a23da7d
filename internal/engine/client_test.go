package engine_test

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/engine"
)

// Guards against a backend server that sends response headers without end. The default limit of net/http would let it
// take up to 10 MB of memory per connection.
func TestEndlessResponseHeaderIsAborted(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	var sent atomic.Int64
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		for err == nil {
			var n int
			n, err = io.WriteString(conn, "X-Fill: "+strings.Repeat("x", 1000)+"\r\n")
			sent.Add(int64(n))
		}
	}()
	_, err = engine.NewHTTPClient(false).Get("http://" + listener.Addr().String())
	is.True(err != nil)
	t.Logf("%d bytes sent", sent.Load())
	is.True(sent.Load() < 8<<20) // Part of it is only in the socket buffers of the system.
}
