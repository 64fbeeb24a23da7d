package engine_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/engine"
)

// startTruncatingEngine starts a server that writes the start of an answer and then closes or resets the connection. The
// length of the start is taken from the second result.
func startTruncatingEngine(t *testing.T, answer string, resets bool) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var length atomic.Int64
	go func() {
		for {
			conn, err := listener.(*net.TCPListener).AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				_, _ = io.WriteString(conn, answer[:length.Load()])
				if resets {
					_ = conn.SetLinger(0)
				}
				_ = conn.Close()
			}()
		}
	}()
	return "http://" + listener.Addr().String(), &length
}

// Guards against a response that looks complete, or has an answer at all, though its server closed or reset the connection within
// the head, a chunk's header, the body or the trailer.
func TestTruncatedResponseIsNotComplete(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n", "data: a\n\ndata: b\n\n"
	for name, answer := range map[string][2]string{
		"length":   {head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body},
		"chunks":   {head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)},
		"trailer":  {head + "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\nX-End: 1\r\n\r\n", len(body), body)},
		"unframed": {head + "\r\n", body},
	} {
		for _, resets := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, resets), func(t *testing.T) {
				t.Parallel()
				whole := strings.Join(answer[:], "")
				base, sent := startTruncatingEngine(t, whole, resets)
				client := &engine.Client{HTTP: engine.NewEngineHTTPClient()}
				for length := range len(whole) {
					sent.Store(int64(length))
					response, err := client.Chat(t.Context(), base, "a-1", "", []byte("{}"))
					if err != nil {
						is.New(t).True(errors.Is(err, engine.ErrConnectionLost))
						continue
					}
					_, err = io.ReadAll(response.Body)
					_ = response.Body.Close()
					// The close is the regular end of a response without a length.
					if length < len(answer[0]) || err == nil && (name != "unframed" || resets) {
						t.Fatalf("a response of %d bytes of %d counts as complete", length, len(whole))
					}
				}
			})
		}
	}
}
