package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/dial"
	"citronslip/internal/proxy"
)

// Guards against the start of a response without a length that looks complete because the server ended or reset the
// connection while the request was still being sent.
func TestResponseThatEndsDuringTheUploadIsNotComplete(t *testing.T) {
	const stream = "Content-Type: text/event-stream\r\n"
	ends := map[string]func(conn *net.TCPConn){
		"reset": func(conn *net.TCPConn) { _ = conn.SetLinger(0) },
		"close": func(*net.TCPConn) {}, // Unread data makes it a reset.
		"end, then reset": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_ = conn.SetLinger(0)
		},
		"end of data": func(conn *net.TCPConn) { _ = conn.CloseWrite(); time.Sleep(200 * time.Millisecond) },
	}
	body := make([]byte, 16<<20)
	for name, end := range ends {
		for head, pause := range map[string]time.Duration{
			"HTTP/1.1 200 OK\r\n": 0, "HTTP/1.0 200 OK\r\n": 10 * time.Millisecond, "HTTP/1.1 200 OK\r\n" + stream: 10 * time.Millisecond,
		} {
			for _, through := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s %q, through another router: %t", name, head, through), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					c := newChain(t, func(w http.ResponseWriter, _ *http.Request) {
						conn, _, err := w.(http.Hijacker).Hijack()
						if err != nil {
							return
						}
						_, _ = io.WriteString(conn, head+"Connection: close\r\n\r\ndata: half\n\n")
						time.Sleep(pause)
						end(conn.(*net.TCPConn))
						_ = conn.Close()
					})
					c.direct.DialContext = dial.Backend
					if !through {
						c.transport.Direct = c.direct
						c.awaitDirect()
					}
					for i := range 5 {
						response, got, err := c.fetch(c.request(t.Context(), "POST", "/", fmt.Sprint(i), body))
						if err == nil {
							t.Errorf("response %d %q of an unfinished request looks complete", response.StatusCode, got)
						}
						c.transport.Paths.Update(nil) // Forgets the failures of the way.
						c.transport.Paths.Update([]proxy.Server{{Name: "i-0", Service: "s", Address: c.server.Listener.Addr().String()}})
					}
					n := int64(0)
					for i := range 5 {
						n += c.arrived(fmt.Sprint(i))
					}
					is.True(n > 0)
				})
			}
		}
	}
}

// Guards against a complete response without a length that counts as cut short because the request was sent only just
// before.
func TestResponseWithoutLengthBehindTheUploadIsComplete(t *testing.T) {
	for _, through := range []bool{true, false} {
		is := is.New(t)
		c := newChain(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nanswer")
			_ = conn.Close()
		})
		c.direct.DialContext = dial.Backend
		if !through {
			c.transport.Direct = c.direct
			c.awaitDirect()
		}
		for i, size := range []int{0, 1, 100, 4096, 5000, 100_000, 1 << 20} {
			for j := range 10 {
				_, got, err := c.fetch(c.request(t.Context(), "POST", "/", fmt.Sprint(i, j), make([]byte, size)))
				is.NoErr(err)
				is.Equal(string(got), "answer")
			}
		}
	}
}
