package router_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/harness"
)

// Guards against an empty success, and against a stream that looks whole, for a caller that ends its side of the connection behind
// its request.
func TestCallerThatEndsItsSideGetsNoCompleteAnswer(t *testing.T) {
	t.Parallel()
	f := start(t, harness.NewInventory(testKey, 1, 1_000_000), 1)
	for n, stream := range []bool{false, true} {
		is := is.New(t)
		conn, err := net.Dial("tcp", f.addresses[0])
		is.NoErr(err)
		tcp, _ := conn.(*net.TCPConn)
		body := chatBody("one two three", 4000, stream)
		_, err = fmt.Fprintf(tcp, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			testKey, len(body), body)
		is.NoErr(err)
		eventually(t, "request runs", func() bool {
			started, _, _ := f.standins.Engines["planner1"].Counts()
			return started > n
		})
		is.NoErr(tcp.CloseWrite())
		response, err := http.ReadResponse(bufio.NewReader(tcp), nil)
		if err == nil {
			_, err = io.ReadAll(response.Body)
			response.Body.Close()
		}
		is.True(err != nil)
		is.NoErr(tcp.Close())
	}
}
