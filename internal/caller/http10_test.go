package caller_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against the start of an answer that looks complete to a caller of HTTP/1.0, for which a response without a length
// ends with its connection.
func TestTruncatedAnswerIsNotCompleteForHTTP10(t *testing.T) {
	is := is.New(t)
	f := newTestFrontend(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer f.close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go f.server.Serve(listener)
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET /booking/1 HTTP/1.0\r\nHost: h\r\nAuthorization: Bearer %s\r\n\r\n", testKey)
	is.NoErr(err)
	answer, err := io.ReadAll(conn)
	is.True(err != nil || !strings.Contains(string(answer), "200 OK")) // The connection is reset.
}
