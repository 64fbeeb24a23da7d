package proxy_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/proxy"
)

// heldAnswerTime is how long heldLink takes to answer.
const heldAnswerTime = 2 * time.Second

// heldBody is the body of a response, which ends with the context of the request.
type heldBody struct {
	io.Reader
	ctx context.Context
}

func (b heldBody) Read(data []byte) (int, error) {
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	return b.Reader.Read(data)
}

// heldLink sends requests on a connection that lives on while new ones are refused.
type heldLink struct {
	err error // With which the connection ends in place of a response; optional.
}

func (l heldLink) RoundTrip(request *http.Request) (*http.Response, error) {
	conn, other := net.Pipe()
	defer func() { _, _ = conn.Close(), other.Close() }()
	httptrace.ContextClientTrace(request.Context()).GotConn(httptrace.GotConnInfo{Conn: conn, Reused: true})
	select {
	case <-request.Context().Done():
		return nil, request.Context().Err()
	case <-time.After(heldAnswerTime):
	}
	if l.err != nil {
		return nil, l.err
	}
	return &http.Response{
		StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{},
		Body: io.NopCloser(heldBody{strings.NewReader("answer"), request.Context()}), ContentLength: -1, Request: request,
	}, nil
}

// Guards against a request that leaves a connection on which it can be answered although no other attempt can follow, and
// against one that stays there although one can.
func TestRequestThatWasSentLeavesABrokenWayOnlyForAnotherAttempt(t *testing.T) {
	const never = time.Hour
	for name, test := range map[string]struct {
		possible time.Duration // After the first question, when another attempt is possible; negative if none ever can be.
		takes    time.Duration // How long a question takes.
		restored time.Duration // When the way works again.
		answered bool
		asked    int64 // Largest number of questions.
	}{
		"none allowed":         {possible: -1, restored: never, answered: true},
		"at once":              {possible: 0, restored: never, asked: 1},
		"later":                {possible: 500 * time.Millisecond, restored: never, asked: 6},
		"not before the end":   {possible: never, restored: never, answered: true, asked: 16},
		"way is restored":      {possible: 1200 * time.Millisecond, restored: 900 * time.Millisecond, answered: true, asked: 10},
		"while it is answered": {takes: heldAnswerTime, restored: never, answered: true, asked: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 2, 1)
				r := f.routers[0]
				is.NoErr(r.send(0))
				r.transport.Direct = heldLink{}
				f.set(cutOff(0, refusing))
				if test.restored < never {
					time.AfterFunc(test.restored, func() { f.set(cutOff(-1, open)) })
				}
				var asked atomic.Int64
				var first time.Time
				call := proxy.Call{Request: "x", Replace: func() bool {
					if asked.Add(1) == 1 {
						first = time.Now()
					}
					time.Sleep(test.takes)
					return time.Since(first) >= test.possible
				}}
				if test.possible < 0 {
					call.Replace = nil
				}
				ctx, cancel := context.WithTimeout(proxy.WithCall(t.Context(), call), 10*heldAnswerTime)
				defer cancel()
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://server-0/a", proxy.NewBody([]byte("x")))
				is.NoErr(err)
				response, err := r.transport.RoundTrip(request)
				t.Logf("asked %d times, error %v", asked.Load(), err)
				is.True(asked.Load() <= test.asked)
				if !test.answered {
					var lost *proxy.LostError
					is.True(errors.As(err, &lost) && lost.Path)
					is.True(!errors.Is(err, proxy.ErrNotSent))
					return
				}
				is.NoErr(err)
				time.Sleep(test.takes)
				body, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				is.Equal(string(body), "answer")
				is.Equal(asked.Load() > 0, test.asked > 0)
			})
		})
	}
}

// Guards against a server that is blamed for the loss of a connection on a way that broke: its circuit opens, and the request
// may count as one that crashes servers.
func TestConnectionLostOnABrokenWaySaysNothingAboutTheServer(t *testing.T) {
	for name, test := range map[string]struct {
		err    error
		broken bool
	}{
		"reset, way broken":   {syscall.ECONNRESET, true},
		"timeout, way broken": {syscall.ETIMEDOUT, true},
		"reset, way works":    {syscall.ECONNRESET, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 2, 1)
				r := f.routers[0]
				is.NoErr(r.send(0))
				r.transport.Direct = heldLink{err: test.err}
				if test.broken {
					f.set(cutOff(0, refusing))
				}
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://server-0/a", proxy.NewBody([]byte("x")))
				is.NoErr(err)
				_, err = r.transport.RoundTrip(request)
				is.True(errors.Is(err, test.err))
				is.True(!errors.Is(err, proxy.ErrNotSent))
				var lost *proxy.LostError
				is.Equal(errors.As(err, &lost) && lost.Path, test.broken)
			})
		})
	}
}
