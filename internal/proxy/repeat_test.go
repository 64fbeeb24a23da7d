package proxy_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/proxy"
)

// Guards against a body that is read for two routers at once, and arrives changed.
func TestBodyIsWholeAfterARefusalBeforeItsEnd(t *testing.T) {
	is := is.New(t)
	body := make([]byte, 1<<20)
	for i := range body {
		body[i] = byte(i * 7 / 5)
	}
	var wrong atomic.Int64
	c := newChain(t, func(_ http.ResponseWriter, r *http.Request) {
		if got, err := io.ReadAll(r.Body); err != nil || !bytes.Equal(got, body) {
			wrong.Add(1)
		}
	})
	c.transport.Paths.Members = func() []string { return []string{"peer", "the same"} }
	c.before = func(w http.ResponseWriter, n int64) bool {
		if n%2 == 1 {
			w.Header().Set("Citronslip-Outcome", "unsent")
			w.WriteHeader(http.StatusBadGateway)
		}
		return n%2 == 0
	}
	for i := range 5 {
		_, _, err := c.fetch(c.request(t.Context(), "POST", "/", fmt.Sprint(i), body))
		is.True(err == nil || !errors.Is(err, proxy.ErrNotSent))
		c.awaitDirect()
		c.through.Store(true)
	}
	is.Equal(wrong.Load(), int64(0))
}

// Guards against a second transmission of a request that may have been sent, whichever part dies at whichever moment.
func TestRequestIsSentAtMostOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	c := newChain(t, func(w http.ResponseWriter, r *http.Request) {
		kill := draw(8)
		hijack := func(text string, reset bool) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, text) // The connection ends in any case.
			if tcp, ok := conn.(*net.TCPConn); ok && reset {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
		switch kill {
		case 0:
			hijack("", false)
		case 1:
			hijack("", true)
		case 2:
			hijack("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", false)
		case 3:
			hijack("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", true)
		default:
			_, _ = io.Copy(io.Discard, r.Body) // The number of arrivals matters only.
			_, _ = io.WriteString(w, "answer")
		}
	})
	var peers []string // All names are those of the one router, so that it is used again at once.
	for i := range 400 {
		peers = append(peers, fmt.Sprint(i))
	}
	c.transport.Paths.Members = func() []string { return peers }
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = c.transport.Paths.Run(ctx) }() // Ends with the context and returns nil.
	var group sync.WaitGroup
	var complete, notSent, broken, wrong atomic.Int64
	stop := make(chan struct{})
	go func() { // The router in the middle loses all its connections again and again.
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(5+draw(60)) * time.Millisecond):
				c.middle.CloseClientConnections()
			}
		}
	}()
	for worker := range 8 {
		group.Go(func() {
			for i := range 150 {
				id := fmt.Sprintf("%d-%d", worker, i)
				method := []string{"GET", "POST", "PUT", "DELETE", "HEAD"}[draw(5)]
				var body []byte
				if draw(2) == 0 {
					body = bytes.Repeat([]byte("x"), 1+draw(100_000))
				}
				ctx, cancel := context.WithCancel(context.Background())
				if draw(5) == 0 {
					time.AfterFunc(time.Duration(draw(3000))*time.Microsecond, cancel)
				}
				request := c.request(ctx, method, "/", id, body)
				if draw(2) == 0 {
					request.Header.Set("Idempotency-Key", id)
					proxy.PreventRepeat(request, body)
				}
				response, got, err := c.fetch(request)
				cancel()
				n := c.arrived(id)
				switch {
				case n > 1, errors.Is(err, proxy.ErrNotSent) && n > 0, err == nil && n != 1:
					t.Errorf("%s %s arrived %d times, error %v", method, id, n, err)
				case err == nil && response.Request.Method != "HEAD" && string(got) != "answer":
					wrong.Add(1)
				case err == nil:
					complete.Add(1)
				case errors.Is(err, proxy.ErrNotSent):
					notSent.Add(1)
					time.Sleep(5 * time.Millisecond)
				default:
					broken.Add(1)
				}
			}
		})
	}
	group.Wait()
	close(stop)
	t.Logf("%d complete, %d not sent, %d broken off or lost, %d wrong", complete.Load(), notSent.Load(), broken.Load(), wrong.Load())
	if wrong.Load() > 0 || complete.Load() == 0 {
		t.Error("a response that was broken off counts as complete, or none is")
	}
}
