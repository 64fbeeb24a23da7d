package memory_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"citronslip/internal/memory"
)

// Guards against memory that stays reserved for the trailer of a body that net/http discards after the handler has returned. A
// caller could use up the budget with a few requests.
func TestTrailerOfUnreadBodyIsReleased(t *testing.T) {
	logger := zerolog.Nop()
	guard := &memory.Guard{Name: "test", Budget: &memory.Budget{Limit: 8 << 20}, Logger: &logger}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler:     guard.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})),
		ConnContext: memory.ConnContext,
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(guard.Listener(listener)) }()
	defer func() {
		_ = server.Close() // Nothing is served any more.
		<-served
	}()
	body := "1\r\nx\r\n0\r\n" + strings.Repeat("a:\r\n", 500) + "\r\n"
	request := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n%s\r\n" + body
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, request+request, "", "Connection: close\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Fatal(err)
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	awaitReleased(t, guard.Budget)
}
