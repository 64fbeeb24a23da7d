package dial_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/dial"
)

// Guards against a response cut short that ends regularly for a caller of HTTP/1.0, and against an effect on others.
func TestAbortHTTP10ResetsTheConnection(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == "/abort" {
			dial.AbortHTTP10(w, r)
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	for _, test := range []struct {
		path, protocol string
		complete       bool
	}{{"/abort", "HTTP/1.0", false}, {"/abort", "HTTP/1.1", false}, {"/", "HTTP/1.0", true}, {"/", "HTTP/1.1", true}} {
		is := is.New(t)
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		is.NoErr(err)
		_, err = fmt.Fprintf(conn, "GET %s %s\r\nHost: h\r\nConnection: close\r\n\r\n", test.path, test.protocol)
		is.NoErr(err)
		text, err := io.ReadAll(conn)
		chunked := test.protocol == "HTTP/1.1"
		is.Equal(err == nil && (!chunked || strings.HasSuffix(string(text), "0\r\n\r\n")), test.complete)
		is.NoErr(conn.Close())
	}
}
