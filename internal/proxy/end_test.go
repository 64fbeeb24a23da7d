package proxy_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/proxy"
)

// Guards against a question to another router for each of the streams that break off when a router ends.
func TestManyBrokenStreamsLeadToFewQuestions(t *testing.T) {
	is := is.New(t)
	const streams = 100
	c := newChain(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "begin") // The caller notices a failure.
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	var bodies []io.ReadCloser
	for i := range streams {
		response, err := c.transport.RoundTrip(c.request(t.Context(), "POST", "/", fmt.Sprint(i), nil))
		is.NoErr(err)
		bodies = append(bodies, response.Body)
	}
	before := c.queries.Load()
	var group sync.WaitGroup
	for _, body := range bodies {
		group.Go(func() {
			if _, err := io.Copy(io.Discard, body); err == nil {
				t.Error("stream that was broken off ended as if complete")
			}
			_ = body.Close() // Broken off.
		})
	}
	c.middle.CloseClientConnections()
	group.Wait()
	time.Sleep(100 * time.Millisecond)
	is.True(c.queries.Load()-before < streams/5)
}

// Guards against work for a caller that has left, and for a router that has ended.
func TestEndOfCallerOrRouterCancelsTheRequestAtTheServer(t *testing.T) {
	for _, part := range []string{"caller", "middle"} {
		for _, begun := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, response begun %v", part, begun), func(t *testing.T) {
				is := is.New(t)
				arrived, cancelled := make(chan struct{}), make(chan struct{})
				c := newChain(t, func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body) // The server notices the end of the connection after the body only.
					if begun {
						_, _ = io.WriteString(w, "begin") // The caller notices a failure.
						_ = http.NewResponseController(w).Flush()
					}
					close(arrived)
					<-r.Context().Done()
					close(cancelled)
				})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				done := make(chan error, 1)
				go func() {
					_, _, err := c.fetch(c.request(ctx, "POST", "/", "x", bytes.Repeat([]byte("x"), 1000)))
					done <- err
				}()
				<-arrived
				if part == "caller" {
					cancel()
				} else {
					c.middle.CloseClientConnections()
				}
				err := <-done
				is.True(err != nil)
				is.True(!errors.Is(err, proxy.ErrNotSent)) // It may have run.
				if part == "middle" && !begun {
					var lost *proxy.LostError
					is.True(errors.As(err, &lost))
				}
				<-cancelled
				is.Equal(c.arrived("x"), int64(1))
			})
		}
	}
}

// Guards against a router that sends what the server does not want from it, and against the wrong error for it.
func TestRefusalsOfTheOtherRouter(t *testing.T) {
	is := is.New(t)
	c := newChain(t, func(http.ResponseWriter, *http.Request) {})
	c.admit = func(context.Context, string, bool) (proxy.Admission, error) {
		return nil, &proxy.RefusedError{After: 1500 * time.Millisecond}
	}
	_, _, err := c.fetch(c.request(t.Context(), "POST", "/", "x", nil))
	var refused *proxy.RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(refused.After, 1500*time.Millisecond)
	is.True(!errors.Is(err, proxy.ErrNotSent))
	c.admit = func(context.Context, string, bool) (proxy.Admission, error) {
		return nil, &proxy.RefusedError{After: 1999 * time.Microsecond}
	}
	_, _, err = c.fetch(c.request(t.Context(), "POST", "/", "x", nil))
	is.True(errors.As(err, &refused))
	is.Equal(refused.After, 2*time.Millisecond) // Not too early.
	var permits []bool
	c.admit = func(_ context.Context, address string, permit bool) (proxy.Admission, error) {
		is.Equal(address, c.server.Listener.Addr().String())
		permits = append(permits, permit)
		return chainAdmission{c}, nil
	}
	for _, permit := range []bool{true, false} {
		ctx := proxy.WithCall(t.Context(), proxy.Call{Request: "x", Permit: permit})
		_, _, err = c.fetch(c.request(ctx, "POST", "/", "x", nil))
		is.NoErr(err)
	}
	is.Equal(permits, []bool{true, false})
	c.admit = func(context.Context, string, bool) (proxy.Admission, error) { return nil, proxy.ErrNotSent }
	_, _, err = c.fetch(c.request(t.Context(), "POST", "/", "x", nil))
	is.True(errors.Is(err, proxy.ErrNotSent))
	is.Equal(c.arrived("x"), int64(2))
}

// Guards against bodies that are cut off or refused although their size is allowed, and against those that exceed it.
func TestBodiesUpToTheLimit(t *testing.T) {
	is := is.New(t)
	const limit = 300_000
	var got atomic.Int64
	c := newChain(t, func(_ http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body) // The length shows a failure.
		got.Store(n)
	})
	c.handler.ReadBody = func(body io.Reader, _ int64) ([]byte, func(), bool) {
		data, err := io.ReadAll(io.LimitReader(body, limit+1))
		return data, func() {}, err == nil && len(data) <= limit
	}
	_, _, err := c.fetch(c.request(t.Context(), "POST", "/", "whole", make([]byte, limit)))
	is.NoErr(err)
	is.Equal(got.Load(), int64(limit))
	_, _, err = c.fetch(c.request(t.Context(), "POST", "/", "large", make([]byte, limit+1)))
	is.True(errors.Is(err, proxy.ErrNotSent))
	is.Equal(c.arrived("large"), int64(0))
}

// Guards against a request that goes through two other routers.
func TestRouterInTheMiddleUsesNoThirdOne(t *testing.T) {
	is := is.New(t)
	c := newChain(t, func(http.ResponseWriter, *http.Request) {})
	_, _, err := c.fetch(c.request(t.Context(), "POST", "/", "x", nil))
	is.NoErr(err)
	c.direct.DialContext = c.transport.Direct.(*http.Transport).DialContext
	c.direct.CloseIdleConnections()
	_, _, err = c.fetch(c.request(t.Context(), "POST", "/", "y", nil))
	is.True(errors.Is(err, proxy.ErrNotSent))
	is.Equal(c.arrived("y"), int64(0))
	is.Equal(c.carried.Load(), int64(2))
}

// Guards against a connection with a late response to an earlier request that is used again.
func TestConnectionWithALateResponseIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	var first atomic.Pointer[string]
	c := newChain(t, func(w http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(nil, &r.RemoteAddr) {
			w.Header().Set("Id", "an earlier request")
		} else {
			w.Header().Set("Id", r.Header.Get("Id"))
			if r.RemoteAddr == *first.Load() {
				t.Error("connection used again")
			}
		}
		_, _ = io.WriteString(w, "answer") // The caller notices a failure.
	})
	c.observe = func(request *http.Request, response *http.Response) error {
		if request.Header.Get("Id") != response.Header.Get("Id") {
			return errors.New("response to another request")
		}
		return nil
	}
	response, _, err := c.fetch(c.request(t.Context(), "POST", "/", "0", nil))
	is.True(err != nil || response.Header.Get("Id") != "0")
	for i := range 5 {
		var group sync.WaitGroup
		for j := range 3 {
			group.Go(func() {
				id := fmt.Sprintf("%d-%d", i, j)
				response, _, err := c.fetch(c.request(t.Context(), "POST", "/", id, nil))
				if err != nil || response.Header.Get("Id") != id {
					t.Errorf("request %s: %v", id, err)
				}
			})
		}
		group.Wait()
	}
}
