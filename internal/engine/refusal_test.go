package engine_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/engine"
)

// Guards against the refusal of an earlier request, written once more on a kept connection, being taken as that of a
// request which the engine runs.
func TestRepeatedRefusalIsNotThatOfTheNextRequest(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusNotFound, http.StatusBadRequest} {
		for _, text := range []string{"", "full", string(make([]byte, 10_000))} {
			t.Run(fmt.Sprintf("%d with %d bytes", status, len(text)), func(t *testing.T) {
				is := is.New(t)
				refusal := fmt.Sprintf("HTTP/1.1 %d Refused\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text)
				base := startEngine(t, func(number int) string {
					if number == 0 {
						return refusal
					}
					return refusal + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
				})
				client := &engine.Client{HTTP: engine.NewEngineHTTPClient()}
				for i := range 5 {
					_, err := client.Chat(t.Context(), base, fmt.Sprintf("a-%d", i), "", []byte("{}"))
					var refused *engine.RefusedError
					is.True(errors.As(err, &refused)) // The first response on each connection is that of the request.
					is.Equal(refused.Status, status)
				}
			})
		}
	}
}

// startEngine starts a server that writes an answer to each request on a connection, numbered from 0, and fails the test
// if a connection is used again after a refusal.
func startEngine(t *testing.T, answer func(number int) string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close(); group.Wait() })
			group.Go(func() {
				reader := bufio.NewReader(conn)
				for number := 0; ; number++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if number > 0 {
						t.Errorf("request %s was sent on a connection after a refusal", r.Header.Get(engine.HeaderAttempt))
					}
					if _, err := io.WriteString(conn, answer(number)); err != nil {
						return
					}
				}
			})
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against requests that are lost because they were given a connection on which another one was refused.
func TestRefusalsLoseNoOtherRequest(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if rand.IntN(2) == 0 {
			http.Error(w, "full", http.StatusTooManyRequests)
		}
	}))
	t.Cleanup(server.Close)
	client := &engine.Client{HTTP: engine.NewEngineHTTPClient()}
	var lost atomic.Int64
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			for i := range 200 {
				response, err := client.Chat(t.Context(), server.URL, fmt.Sprintf("a-%d", i), "", []byte(`{"messages":[]}`))
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
				if errors.Is(err, engine.ErrConnectionLost) {
					lost.Add(1)
				}
			}
		})
	}
	group.Wait()
	is.New(t).Equal(lost.Load(), int64(0))
}

// Guards against a response that follows a refusal, and that is already in the read buffer when net/http gives the
// connection to the next request, being taken for the response to that request, of which nothing was sent.
func TestResponseAfterRefusalIsNotThatOfTheNextRequest(t *testing.T) {
	base := startEngine(t, func(int) string {
		return "HTTP/1.1 429 Refused\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	})
	client := &engine.Client{HTTP: engine.NewEngineHTTPClient()}
	for i := range 3000 {
		_, err := client.Chat(t.Context(), base, fmt.Sprintf("a-%d", i), "", []byte("{}"))
		var refused *engine.RefusedError
		if !errors.As(err, &refused) {
			t.Fatalf("request %d, which was refused, ended with error %v", i, err)
		}
	}
}
