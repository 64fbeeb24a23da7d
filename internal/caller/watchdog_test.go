package caller_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/standin"
)

const (
	// burstBytes is the number of bytes of a steadyBody that come without a pause.
	burstBytes = 20_000
	// requestHead is the head of a chat request, to be formatted with the length of the body.
	requestHead = "POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: %d\r\n\r\n"
)

type (
	// deadlineWriter is a response writer that tells a steadyBody when reads have to end.
	deadlineWriter struct {
		*httptest.ResponseRecorder
		body *steadyBody
	}

	// steadyBody is a body that comes a byte every half idle timeout until the time limit, and then the rest of burst
	// without a pause.
	steadyBody struct {
		limit   time.Time
		burst   int           // Bytes left.
		expired chan struct{} // Closed when reads have to end.
		expire  sync.Once
	}
)

func (w *deadlineWriter) SetReadDeadline(deadline time.Time) error {
	if !deadline.After(time.Now()) {
		w.body.expire.Do(func() { close(w.body.expired) })
	}
	return nil
}

func (w *deadlineWriter) SetWriteDeadline(time.Time) error { return nil }

func (b *steadyBody) Read(data []byte) (int, error) {
	data[0] = ' '
	pause := min(time.Until(b.limit), idleTimeout/2)
	if pause <= 0 && b.burst > 0 {
		b.burst--
		select {
		case <-b.expired:
			return 0, os.ErrDeadlineExceeded
		default:
			return 1, nil
		}
	}
	if pause <= 0 {
		pause = idleTimeout / 2
	}
	select {
	case <-b.expired:
		return 0, os.ErrDeadlineExceeded
	case <-time.After(pause):
		return 1, nil
	}
}

func (b *steadyBody) Close() error { return nil }

// runWithStandinEngine runs a test in a synctest bubble with a stand-in inference engine. The bubble ends only once
// no goroutine is left.
func runWithStandinEngine(t *testing.T, test func(*is.I, *testFrontend)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		standinEngine := &standin.Engine{Name: "planner1", Models: []standin.LoadedModel{{Name: "planner", Version: "1"}}}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go standinEngine.Run(ctx)
		f := newTestFrontend(t, standinEngine.Handler())
		defer f.close()
		test(is.New(t), f)
	})
}

// checkReleased checks, before anything is stopped, that nothing remains of the requests of callers that timed out or
// disconnected.
func (f *testFrontend) checkReleased(is *is.I) {
	is.Helper()
	time.Sleep(5 * time.Second) // Virtual time, in which the resolver runs repeatedly.
	synctest.Wait()
	is.Equal(f.front.InFlight(), int64(0))
	is.Equal(f.front.Resolver.HeldCount(), 0)
	// The bound, which includes the output limit, is released.
	is.True(budgetTokens-f.ledger.Available(prepaidKey) < 300)
	is.Equal(f.openConns.Load(), int64(0))
}

func dialFrontend(f *testFrontend) net.Conn {
	conn, err := f.callerListener.dial(context.Background(), "", "")
	if err != nil {
		panic(err)
	}
	return conn
}

// largePrompt returns a prompt whose words, which the stand-in engine repeats, make a stream of many writes.
func largePrompt() string { return strings.Repeat("x", 8<<10) + " " + strings.Repeat("y", 8<<10) }

// Guards against callers that occupy a request, its reservation or its goroutines by sending their body slowly or not
// at all.
func TestSlowBodiesAreRefused(t *testing.T) {
	cases := []struct {
		name  string
		pause time.Duration // Time between two bytes of the body; 0 sends none.
		after time.Duration
	}{
		{"a byte a second", time.Second, maxDuration},
		{"nothing", 0, idleTimeout},
	}
	for _, c := range cases {
		runWithStandinEngine(t, func(is *is.I, f *testFrontend) {
			conn := dialFrontend(f)
			defer conn.Close() // Ends the writer if a check below fails.
			begin := time.Now()
			fmt.Fprintf(conn, requestHead, 100_000)
			done := make(chan struct{})
			go func() {
				defer close(done)
				for c.pause > 0 {
					time.Sleep(c.pause)
					if _, err := conn.Write([]byte(" ")); err != nil {
						return
					}
				}
			}()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusRequestTimeout)
			is.True(strings.Contains(string(body), `"run":"no"`))
			took := time.Since(begin)
			is.True(took >= c.after && took < c.after+2*time.Second)
			conn.Close()
			<-done
			f.checkReleased(is)
		})
	}
}

// Guards against a body that is read past the time limit because the check at that time comes between two reads.
func TestTimeLimitBetweenTwoReadsOfBody(t *testing.T) {
	const requests = 16
	runWithStandinEngine(t, func(is *is.I, f *testFrontend) {
		limit := time.Now().Add(maxDuration)
		var late atomic.Int64
		var group sync.WaitGroup
		for range requests {
			group.Go(func() {
				body := &steadyBody{limit: limit, burst: burstBytes, expired: make(chan struct{})}
				request := newChatRequest(context.Background(), "")
				request.Body = body
				response := &deadlineWriter{httptest.NewRecorder(), body}
				f.front.Handler().ServeHTTP(response, request)
				if response.Code != http.StatusRequestTimeout || time.Since(limit) > 0 {
					late.Add(1)
				}
			})
		}
		group.Wait()
		is.Equal(late.Load(), int64(0))
	})
}

// Guards against a body that may take the idle timeout although the time limit of the request is shorter.
func TestTimeLimitShorterThanIdleTimeout(t *testing.T) {
	runWithStandinEngine(t, func(is *is.I, f *testFrontend) {
		f.front.Duration = idleTimeout / 4
		conn := dialFrontend(f)
		defer conn.Close()
		begin := time.Now()
		fmt.Fprintf(conn, requestHead, 100_000)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusRequestTimeout)
		took := time.Since(begin)
		is.True(took >= idleTimeout/4 && took < idleTimeout/4+2*time.Second)
	})
}

// Guards against callers that keep a generation running by reading its stream slowly or not at all, or by
// disconnecting.
func TestSlowReadersAreDisconnected(t *testing.T) {
	cases := map[string]func(net.Conn){
		"a byte a second": func(conn net.Conn) {
			for _, err := conn.Read(make([]byte, 1)); err == nil; _, err = conn.Read(make([]byte, 1)) {
				time.Sleep(time.Second)
			}
		},
		"does not read":            func(net.Conn) { time.Sleep(idleTimeout + 2*time.Second) },
		"disconnects mid-stream":   func(conn net.Conn) { io.CopyN(io.Discard, conn, 20<<10); conn.Close() },
		"stops reading mid-stream": func(conn net.Conn) { io.CopyN(io.Discard, conn, 20<<10); time.Sleep(idleTimeout + 2*time.Second) },
	}
	for _, read := range cases {
		runWithStandinEngine(t, func(is *is.I, f *testFrontend) {
			conn := dialFrontend(f)
			begin := time.Now()
			body := chatBody(largePrompt())
			fmt.Fprintf(conn, requestHead+"%s", len(body), body)
			read(conn)
			is.True(time.Since(begin) < idleTimeout+10*time.Second)
			f.checkReleased(is)
			conn.Close()
		})
	}
}

// Guards against requests that continue after their caller disconnected while sending the body.
func TestDisconnectDuringBodyEndsRequest(t *testing.T) {
	runWithStandinEngine(t, func(is *is.I, f *testFrontend) {
		conn := dialFrontend(f)
		fmt.Fprintf(conn, requestHead+"{", 1000)
		conn.Close()
		f.checkReleased(is)
	})
}

// Guards against connections that stay open without a request, in HTTP/1.1 and after the HTTP/2 preface.
func TestIdleConnectionsAreClosed(t *testing.T) {
	for _, greeting := range []string{"", "GET / HTTP/1.1\r\nHost:", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"} {
		runWithStandinEngine(t, func(is *is.I, f *testFrontend) {
			var conns []net.Conn
			for range 50 {
				conn := dialFrontend(f)
				go io.Copy(io.Discard, conn)
				conn.Write([]byte(greeting))
				conns = append(conns, conn)
			}
			time.Sleep(idleTimeout + 20*time.Second)
			f.checkReleased(is)
			for _, conn := range conns {
				conn.Close()
			}
		})
	}
}

// Guards against a stalled stream that blocks the other streams of its HTTP/2 connection, or that keeps its own
// generation running.
func TestStalledStreamDoesNotBlockOthers(t *testing.T) {
	runWithStandinEngine(t, func(is *is.I, f *testFrontend) {
		client := f.client(true)
		stalled, err := client.Do(newChatRequest(context.Background(), chatBody(largePrompt())))
		is.NoErr(err)
		is.Equal(stalled.ProtoMajor, 2)
		begin := time.Now()
		for range 20 {
			response, err := client.Do(newChatRequest(context.Background(), chatBody("a b c")))
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.True(strings.HasSuffix(string(body), "data: [DONE]\n\n"))
		}
		is.True(time.Since(begin) < idleTimeout/2)
		is.Equal(f.front.InFlight(), int64(1))
		time.Sleep(idleTimeout + 2*time.Second)
		is.Equal(f.front.InFlight(), int64(0))
		_, err = io.Copy(io.Discard, stalled.Body)
		is.True(err != nil) // The caller sees that the stream is incomplete.
		stalled.Body.Close()
		client.CloseIdleConnections()
		time.Sleep(5 * time.Second)
		is.Equal(f.front.Resolver.HeldCount(), 0)
	})
}

// Guards against bodies and headers of unlimited size, and against bodies that do not arrive, in either protocol.
func TestBodyAndHeaderSizesAreLimited(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		runWithStandinEngine(t, func(is *is.I, f *testFrontend) {
			client := f.client(http2)
			response, err := client.Do(newChatRequest(context.Background(), strings.Repeat(" ", maxBodyBytes+1)))
			// The server may close the connection while the body is still being sent.
			is.True(err != nil || response.StatusCode == http.StatusRequestEntityTooLarge)
			if err == nil {
				response.Body.Close()
			}
			largeHeader := newChatRequest(context.Background(), "{}")
			largeHeader.Header.Set("Cookie", strings.Repeat("x", 16<<10))
			response, err = client.Do(largeHeader)
			if http2 {
				// The server announces its limit, so the client does not even send the header.
				is.True(err != nil && strings.Contains(err.Error(), "header list larger than peer's advertised limit"))
			} else {
				is.NoErr(err)
				response.Body.Close()
				is.Equal(response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
			}
			slowRequest := newChatRequest(context.Background(), "")
			reader, writer := io.Pipe()
			slowRequest.Body, slowRequest.ContentLength = reader, 1000
			response, err = client.Do(slowRequest)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusRequestTimeout)
			response.Body.Close()
			writer.CloseWithError(errors.New("given up"))
			client.CloseIdleConnections()
			f.checkReleased(is)
		})
	}
}

// Guards against incomplete bodies and disconnects of callers that count as failures of a backend server and open its
// circuit breaker.
func TestCallerFailuresDoNotOpenCircuit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFrontend(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			for range 100 {
				w.Write(make([]byte, 1<<10))
			}
		}))
		defer f.close()
		const requestFormat = "PUT /booking/1 HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: %d\r\n\r\n%s"
		for range 10 {
			stalled, leaving := dialFrontend(f), dialFrontend(f)
			go io.Copy(io.Discard, stalled)
			fmt.Fprintf(stalled, requestFormat, 200<<10, make([]byte, 100<<10))
			fmt.Fprintf(leaving, requestFormat, 1, "x")
			io.CopyN(io.Discard, leaving, 20<<10)
			leaving.Close()
			time.Sleep(idleTimeout + 5*time.Second)
			stalled.Close()
		}
		f.checkReleased(is)
		for _, state := range f.front.Picker.States() {
			is.Equal(state.Circuit, "closed")
		}
	})
}
