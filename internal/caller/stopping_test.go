package caller_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/caller"
)

// Guards against callers that send a request on a connection which the end of a planned stop closes: while a router
// stops, each answer over HTTP/1.1 asks for a new connection.
func TestStoppingRouterAsksCallersToReconnect(t *testing.T) {
	runWithStandinEngine(t, func(is *is.I, f *testFrontend) {
		client := f.client(false)
		answer := func() (closes bool) {
			response, err := client.Do(newChatRequest(context.Background(), chatBody("a b c")))
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.True(bytes.HasSuffix(body, []byte("data: [DONE]\n\n")))
			response.Body.Close()
			return response.Close
		}
		is.True(!answer())
		stopping := true
		f.front.Stopping.Store(&stopping)
		is.True(answer())
		client.CloseIdleConnections()
	})
}

// Guards against connections over HTTP/2 that callers keep using until the end of a planned stop.
func TestStoppingRouterEndsConnectionsOverHTTP2(t *testing.T) {
	runWithStandinEngine(t, func(is *is.I, f *testFrontend) {
		client := f.client(true)
		stopping := true
		for _, open := range []int64{1, 0} {
			response, err := client.Do(newChatRequest(context.Background(), chatBody("a b c")))
			is.NoErr(err)
			is.Equal(response.ProtoMajor, 2)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.True(bytes.HasSuffix(body, []byte("data: [DONE]\n\n")))
			response.Body.Close()
			time.Sleep(5 * time.Second)
			is.Equal(f.openConns.Load(), open)
			f.front.Stopping.Store(&stopping)
		}
		client.CloseIdleConnections()
	})
}

// Guards against a stopping router that takes requests which it may have to cut, and against one that refuses others.
func TestStoppingRouterTakesRequestsThatEndBeforeIt(t *testing.T) {
	runWithStandinEngine(t, func(is *is.I, f *testFrontend) {
		client := f.client(false)
		for _, test := range []struct {
			untilClose time.Duration
			status     int
		}{{maxDuration + time.Second, http.StatusOK}, {maxDuration - time.Second, http.StatusServiceUnavailable}} {
			stopping, closing := true, time.Now().Add(test.untilClose)
			f.front.Stopping.Store(&stopping)
			f.front.Closing.Store(&closing)
			response, err := client.Do(newChatRequest(context.Background(), chatBody("a b c")))
			is.NoErr(err)
			_, err = io.Copy(io.Discard, response.Body)
			is.NoErr(err)
			response.Body.Close()
			is.Equal(response.StatusCode, test.status)
			is.True(response.Close)
			if test.status != http.StatusOK {
				is.Equal(response.Header.Get(caller.HeaderRun), "no")
			}
		}
	})
}

// Guards against a stopping router that lets a request wait for the same one, which it may have to cut.
func TestStoppingRouterRefusesToWaitForTheSameRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFrontend(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(2 * time.Minute)
			w.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(w, `{"usage":{"prompt_tokens":1,"completion_tokens":1}}`) // The caller notices a failure.
		}))
		defer f.close()
		client := f.client(false)
		send := func() *http.Response {
			request := newChatRequest(context.Background(), `{"model":"planner","messages":[{"role":"user","content":"a"}]}`)
			request.Header.Set(caller.HeaderIdempotencyKey, "key")
			response, err := client.Do(request)
			is.NoErr(err)
			response.Body.Close()
			return response
		}
		first := make(chan int, 1)
		go func() { first <- send().StatusCode }()
		time.Sleep(time.Second)
		stopping, closing := true, time.Now().Add(time.Minute)
		f.front.Stopping.Store(&stopping)
		f.front.Closing.Store(&closing)
		response := send()
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.Equal(response.Header.Get(caller.HeaderRun), "unknown")
		is.Equal(<-first, http.StatusOK)
		is.Equal(send().StatusCode, http.StatusOK) // A recorded answer takes no time.
		client.CloseIdleConnections()
	})
}
