package dispatch_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/board"
	"citronslip/internal/crash"
	"citronslip/internal/dispatch"
	"citronslip/internal/memory"
	"citronslip/internal/ratelimit"
	"citronslip/internal/routing"
	"citronslip/internal/store"
	"citronslip/pkg/inventory"
)

var (
	errReset = errors.New("connection reset")
)

type (
	// testDispatcher is a Dispatcher with fakes at its interfaces.
	testDispatcher struct {
		*dispatch.Dispatcher
		budgets *fakeBudgets
		mu      sync.Mutex
		sends   []dispatch.Attempt
		respond func(ctx context.Context, number int, a dispatch.Attempt) dispatch.Outcome
	}

	// fakeBudgets records the tokens that were reserved and settled.
	fakeBudgets struct {
		refuse   dispatch.Reason
		reserved inventory.Tokens
		settled  []inventory.Tokens
	}

	// callerResponse records the response that a caller receives.
	callerResponse struct {
		refusal      *dispatch.Refusal
		head         any
		body         strings.Builder
		ended        bool
		aborted      bool
		disconnected bool          // Whether writes fail because the caller has disconnected.
		pause        time.Duration // How long the caller takes to read each part.
	}

	// pacedBody is a body that returns its parts one by one, each after a pause, and then blocks until it is closed.
	pacedBody struct {
		ctx   context.Context
		parts []string
		pause time.Duration
		stop  chan struct{}
		once  sync.Once
	}

	// endlessBody is a body without an end.
	endlessBody struct{}

	// brokenBody is a body that ends with a connection reset.
	brokenBody struct {
		io.Reader
	}
)

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = errReset
	}
	return n, err
}

func newPacedBody(ctx context.Context, pause time.Duration, parts ...string) *pacedBody {
	return &pacedBody{ctx: ctx, parts: parts, pause: pause, stop: make(chan struct{})}
}

func (p *pacedBody) Read(data []byte) (int, error) {
	pause := time.After(p.pause)
	if len(p.parts) == 0 {
		pause = nil
	}
	select {
	case <-p.ctx.Done():
		return 0, p.ctx.Err()
	case <-p.stop:
		return 0, errReset
	case <-pause:
	}
	part := p.parts[0]
	p.parts = p.parts[1:]
	if part == "" {
		return 0, io.EOF
	}
	return copy(data, part), nil
}

func (p *pacedBody) Close() error {
	p.once.Do(func() { close(p.stop) })
	return nil
}

func (b *fakeBudgets) Reserve(_ context.Context, request dispatch.ReservationRequest) (dispatch.Reservation, dispatch.Refusal) {
	if b.refuse != "" {
		return nil, dispatch.Refusal{Reason: b.refuse}
	}
	b.reserved += request.Tokens
	return b, dispatch.Refusal{}
}

func (b *fakeBudgets) Settle(used inventory.Tokens) { b.settled = append(b.settled, used) }

func (a *callerResponse) Refuse(r dispatch.Refusal) { a.refusal = &r }

func (a *callerResponse) Begin(head any, _ int64) error {
	if a.disconnected {
		return errReset
	}
	a.head = head
	return nil
}

func (a *callerResponse) Write(data []byte) error {
	if a.disconnected {
		return errReset
	}
	time.Sleep(a.pause)
	a.body.Write(data)
	return nil
}

func (a *callerResponse) End() error { a.ended = true; return nil }
func (a *callerResponse) Abort()     { a.aborted = true }

func (b *testDispatcher) Send(ctx context.Context, a dispatch.Attempt) dispatch.Outcome {
	b.mu.Lock()
	b.sends = append(b.sends, a)
	number := len(b.sends)
	b.mu.Unlock()
	return b.respond(ctx, number, a)
}

// newTestDispatcher returns a dispatcher with three servers and a route of each kind.
func newTestDispatcher(respond func(ctx context.Context, number int, a dispatch.Attempt) dispatch.Outcome) *testDispatcher {
	logger := zerolog.Nop()
	begin := time.Now()
	directory := &inventory.Directory{
		Version: 1,
		Routes: []inventory.Route{
			{Name: "once", Host: "h", Prefix: "/once/", Repeat: inventory.AtMostOnce, Attempts: 2},
			{Name: "single", Host: "h", Prefix: "/single/", Repeat: inventory.AtMostOnce, Attempts: 1},
			{Name: "safe", Host: "h", Prefix: "/safe/", Repeat: inventory.Idempotent, Attempts: 2},
			{Name: "stream", Host: "h", Prefix: "/stream/", Repeat: inventory.Resumable, Stream: true, Model: true, Attempts: 2},
			{Name: "frail", Host: "h", Prefix: "/frail/", Repeat: inventory.AtMostOnce, Stream: true, Model: true, Attempts: 2},
		},
		Services: []inventory.EntryService{{Name: "s", Engine: &inventory.Engine{Stride: 3}}},
		Accounts: []inventory.ClientAccount{{Name: "gardens", Keys: []string{inventory.Digest("key")}}},
		Budgets:  []inventory.Budget{{Account: "gardens", Tokens: 1000}},
	}
	for i := range directory.Routes {
		directory.Routes[i].Timeout = 2 * time.Second
		if directory.Routes[i].Stream {
			directory.Routes[i].Timeout = 15 * time.Second
		}
		directory.Routes[i].Shares = []inventory.WeightedService{{Service: "s", Weight: 1}}
	}
	directory.Prepare()
	pool := &dispatch.Pool{Picker: &routing.Picker{Rand: func() float64 { return 0.5 }}}
	pool.Update([]dispatch.Server{
		{Name: "a", Service: "s", Born: 1}, {Name: "b", Service: "s", Born: 1}, {Name: "c", Service: "s", Born: 1},
	})
	b := &testDispatcher{budgets: &fakeBudgets{}, respond: respond}
	b.Dispatcher = &dispatch.Dispatcher{
		Directory: &board.Cell[inventory.Directory]{},
		Pool:      pool,
		Backend:   b,
		Budgets:   b.budgets,
		Repeats:   &dispatch.RetryBudget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second, Routers: func() int { return 1 }, Now: time.Now},
		Crashes:   &crash.Tracker{Store: &store.Memory{}, Now: time.Now, Clock: func() time.Duration { return time.Since(begin) }, Logger: &logger},
		Streams:   newTestStreams([]dispatch.Server{{Name: "a", Service: "s"}}),
		Limits:    &ratelimit.Limiter{Now: time.Now, Logger: &logger, Metrics: tally.NoopScope},
		Logger:    &logger,
		Metrics:   tally.NoopScope,
	}
	b.Directory.Store(directory)
	return b
}

func request(path string) *dispatch.Request {
	r := &dispatch.Request{ID: "id", Method: "POST", Host: "h", Path: path, Key: "key", Arrived: time.Now(), Timeout: time.Second}
	if strings.HasPrefix(path, "/stream") || strings.HasPrefix(path, "/frail") {
		r.Prompt = &dispatch.Prompt{Tokens: 100, Most: 30}
	}
	return r
}

func completeAnswer(body string) dispatch.Outcome {
	return dispatch.Answered{Success: true, Head: "head", Length: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}
}

func brokenAnswer(body string) dispatch.Outcome {
	return dispatch.Answered{Success: true, Head: "head", Length: -1, Body: io.NopCloser(brokenBody{strings.NewReader(body)})}
}

func eventText(from, to int) string {
	var text strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: x\n\n", i)
	}
	return text.String()
}

func (b *testDispatcher) serve(path string) *callerResponse {
	a := &callerResponse{}
	b.Serve(context.Background(), request(path), a)
	return a
}

// serveWithoutTimeout serves a request whose caller sets no timeout.
func (b *testDispatcher) serveWithoutTimeout(path string) *callerResponse {
	a := &callerResponse{}
	r := request(path)
	r.Timeout = 0
	b.Serve(context.Background(), r, a)
	return a
}

// Guards against a second execution of a request that is not idempotent, and against a refusal that guarantees that it
// was not executed.
func TestNonIdempotentRequestIsNotRetriedAfterLostResponse(t *testing.T) {
	is := is.New(t)
	b := newTestDispatcher(func(context.Context, int, dispatch.Attempt) dispatch.Outcome {
		return dispatch.NoResponse{Reset: true, Err: errReset}
	})
	for _, path := range []string{"/once/1", "/frail/1"} {
		b.sends = nil
		a := b.serve(path)
		is.Equal(len(b.sends), 1)
		is.Equal(a.refusal.Reason, dispatch.IncompleteResponse)
		is.True(!a.refusal.Reason.NotExecuted())
	}
}

// Guards against more attempts than the route allows, and against a missing retry although the server did not execute
// the request.
func TestRefusedRequestIsRetriedWithinRouteAttempts(t *testing.T) {
	is := is.New(t)
	b := newTestDispatcher(func(_ context.Context, number int, _ dispatch.Attempt) dispatch.Outcome {
		if number == 1 {
			return dispatch.Refused{Reason: routing.ReasonBusy}
		}
		return completeAnswer("booked")
	})
	a := b.serve("/once/1")
	is.Equal(a.body.String(), "booked")
	is.Equal(len(b.sends), 2)
	is.True(b.sends[0].Server.Name != b.sends[1].Server.Name)
	b.sends = nil
	a = b.serve("/single/1")
	is.Equal(len(b.sends), 1)
	is.Equal(a.refusal.Reason, dispatch.ServersFull)
	is.True(a.refusal.After > 0)
}

// Guards against a caller that receives a part of a response that broke off, or parts of two responses.
func TestIncompleteResponseIsNotForwarded(t *testing.T) {
	is := is.New(t)
	b := newTestDispatcher(func(_ context.Context, number int, _ dispatch.Attempt) dispatch.Outcome {
		if number == 1 {
			return brokenAnswer("half of an ans")
		}
		return completeAnswer("whole answer")
	})
	a := b.serve("/safe/1")
	is.Equal(a.body.String(), "whole answer")
	is.True(a.ended)
	b.sends = nil
	a = b.serve("/once/1")
	is.Equal(a.body.String(), "")
	is.Equal(a.refusal.Reason, dispatch.IncompleteResponse)
}

// Guards against replacing the error response of a server by an error of the router when no other server responds or no
// retry is left.
func TestServerErrorIsForwarded(t *testing.T) {
	is := is.New(t)
	b := newTestDispatcher(func(_ context.Context, number int, _ dispatch.Attempt) dispatch.Outcome {
		if number > 1 {
			return dispatch.NoResponse{Reset: true, Err: errReset}
		}
		failed, _ := completeAnswer("error of the server").(dispatch.Answered)
		failed.Success = false
		return failed
	})
	a := b.serve("/safe/1")
	is.Equal(len(b.sends), 2)
	is.Equal(a.body.String(), "error of the server")
	is.True(a.ended)
	b.sends = nil
	b.Repeats = &dispatch.RetryBudget{Window: time.Second, Routers: func() int { return 1 }, Now: time.Now}
	a = b.serve("/safe/1")
	is.Equal(len(b.sends), 1)
	is.Equal(a.body.String(), "error of the server")
}

// Guards against a server whose error responses do not count as failures since they are long, or since the router has no
// memory to hold them back: it got one request after the other, and its errors went to the callers.
func TestLongErrorResponseIsRetried(t *testing.T) {
	for name, test := range map[string]struct {
		length int
		memory *memory.Budget
	}{
		"long":      {length: 300 << 10},
		"no memory": {length: 40 << 10, memory: &memory.Budget{Limit: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Repeat("x", test.length)
			b := newTestDispatcher(func(_ context.Context, number int, _ dispatch.Attempt) dispatch.Outcome {
				if number > 1 {
					return completeAnswer("whole answer")
				}
				failed, _ := completeAnswer(text).(dispatch.Answered)
				failed.Success = false
				return failed
			})
			b.Memory = test.memory
			a := b.serve("/safe/1")
			is.Equal(len(b.sends), 2)
			is.Equal(a.body.String(), "whole answer")
			b.sends = nil
			is.True(b.serve("/once/1").body.String() == text) // A request that may run only once gets the error.
		})
	}
}

// Guards against events that are lost or duplicated when a stream moves to another server, also if it broke off within
// an event.
func TestStreamResumesAfterLastEvent(t *testing.T) {
	is := is.New(t)
	b := newTestDispatcher(func(_ context.Context, number int, a dispatch.Attempt) dispatch.Outcome {
		if number == 1 {
			return brokenAnswer(eventText(1, 4) + "id: 5\ndat")
		}
		return completeAnswer(eventText(5, 7))
	})
	a := b.serve("/stream/1")
	is.Equal(a.body.String(), eventText(1, 7))
	is.True(a.ended)
	is.Equal(b.sends[1].LastEvent, "4")
	is.Equal(b.budgets.reserved, inventory.Tokens(130))
	is.Equal(b.budgets.settled, []inventory.Tokens{100 + 7*3}) // The prompt is charged once.
}

// Guards against a stream that looks complete although the server that was to resume it responded with an error (soak
// seed 119).
func TestErrorResponseToResumptionAbortsStream(t *testing.T) {
	is := is.New(t)
	b := newTestDispatcher(func(_ context.Context, number int, _ dispatch.Attempt) dispatch.Outcome {
		if number == 1 {
			return brokenAnswer(eventText(1, 3))
		}
		failed, _ := completeAnswer("error of the server").(dispatch.Answered)
		failed.Success = false
		return failed
	})
	a := b.serve("/stream/1")
	is.Equal(a.body.String(), eventText(1, 3))
	is.True(a.aborted)
	is.True(!a.ended)
}

// Guards against an interrupted stream that looks complete.
func TestBrokenStreamIsAborted(t *testing.T) {
	is := is.New(t)
	b := newTestDispatcher(func(context.Context, int, dispatch.Attempt) dispatch.Outcome { return brokenAnswer(eventText(1, 3)) })
	a := b.serve("/frail/1")
	is.Equal(len(b.sends), 1)
	is.True(a.aborted)
	is.True(!a.ended)
	is.Equal(b.budgets.settled, []inventory.Tokens{109})
}

// Guards against an attempt that continues after its caller has disconnected, and against tokens that stay reserved.
func TestAttemptEndsWhenCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var ended time.Duration
		b := newTestDispatcher(func(ctx context.Context, _ int, _ dispatch.Attempt) dispatch.Outcome {
			begin := time.Now()
			<-ctx.Done()
			ended = time.Since(begin)
			return dispatch.NoResponse{Err: ctx.Err()}
		})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		a := &callerResponse{disconnected: true}
		b.Serve(ctx, request("/stream/1"), a)
		is.Equal(ended, 100*time.Millisecond)
		is.Equal(len(b.sends), 1)
		is.Equal(b.budgets.settled, []inventory.Tokens{0})
	})
}

// Guards against a request that is held beyond the timeout of its caller, and against an attempt that gives the server
// more time than that.
func TestDeadlineEndsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestDispatcher(func(ctx context.Context, _ int, _ dispatch.Attempt) dispatch.Outcome {
			<-ctx.Done()
			return dispatch.NoResponse{Err: ctx.Err()}
		})
		begin := time.Now()
		r := request("/safe/1")
		r.Arrived = begin.Add(-300 * time.Millisecond)
		a := &callerResponse{}
		b.Serve(t.Context(), r, a)
		is.Equal(time.Since(begin), 700*time.Millisecond)
		is.Equal(a.refusal.Reason, dispatch.DeadlineExceeded)
		is.Equal(len(b.sends), 1)
		is.Equal(b.sends[0].Left, 700*time.Millisecond)
	})
}

// Guards against serving requests that no configuration allows, and against a missing configuration that is reported as
// a missing route.
func TestRequestsThatCannotBeRouted(t *testing.T) {
	is := is.New(t)
	b := newTestDispatcher(nil)
	is.Equal(b.serve("/other/1").refusal.Reason, dispatch.NoRoute)
	a := &callerResponse{}
	r := request("/safe/1")
	r.Key = "another"
	b.Serve(t.Context(), r, a)
	is.Equal(a.refusal.Reason, dispatch.NoAccount)
	b.Directory.Store(nil)
	is.Equal(b.serve("/safe/1").refusal.Reason, dispatch.NotReady)
}

// Guards against a request that reaches a server although the budget does not cover it.
func TestBudgetIsReservedBeforeFirstAttempt(t *testing.T) {
	is := is.New(t)
	b := newTestDispatcher(nil)
	b.budgets.refuse = dispatch.NoBudget
	is.Equal(b.serve("/stream/1").refusal.Reason, dispatch.NoBudget)
	is.Equal(len(b.sends), 0)
}

// Guards against a request that keeps crashing servers: after three crashes it is sent to none.
func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	is := is.New(t)
	b := newTestDispatcher(func(context.Context, int, dispatch.Attempt) dispatch.Outcome {
		return dispatch.NoResponse{Reset: true, Err: errReset}
	})
	for range 3 {
		b.sends = nil
		is.Equal(b.serve("/single/1").refusal.Reason, dispatch.IncompleteResponse)
		b.Crashes.RecordServerDown(b.sends[0].Server.Name)
	}
	b.sends = nil
	a := b.serve("/single/1")
	is.Equal(a.refusal.Reason, dispatch.CrashesServers)
	is.Equal(len(b.sends), 0)
}

// Guards against a division by zero if the settings give no window.
func TestRetryBudgetWithoutWindow(t *testing.T) {
	is := is.New(t)
	r := &dispatch.RetryBudget{Slack: 10, Routers: func() int { return 1 }, Now: time.Now}
	r.CountRequest("s")
	is.True(r.Allow("s"))
	r.Adjust(0, 0, 0)
	is.True(!r.Allow("s"))
}

// Guards against retries beyond the allowance of the fleet, of which each router may use its share.
func TestRetriesStayWithinRouterShare(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := &dispatch.RetryBudget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second, Routers: func() int { return 5 }, Now: func() time.Time { return now }}
	for range 100 {
		r.CountRequest("s")
	}
	granted := 0
	for r.Allow("s") {
		granted++
	}
	is.True(granted <= 30) // A fifth of 100 requests and a fifth of the slack.
	is.True(granted >= 20)
	now = now.Add(11 * time.Second)
	is.True(r.Allow("s")) // The window has passed.
}

// Guards against aborting slow streams although their events arrive within the stall timeout.
func TestSlowStreamIsNotAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for path, pause := range map[string]time.Duration{"/frail/1": 1900 * time.Millisecond, "/stream/1": 900 * time.Millisecond} {
			b := newTestDispatcher(func(ctx context.Context, _ int, _ dispatch.Attempt) dispatch.Outcome {
				return dispatch.Answered{Success: true, Length: -1, Body: newPacedBody(ctx, pause, eventText(1, 1), eventText(2, 2), eventText(3, 3), "")}
			})
			a := b.serveWithoutTimeout(path)
			is.True(a.ended && !a.aborted)
			is.Equal(a.body.String(), eventText(1, 3))
			is.Equal(len(b.sends), 1)
		}
	})
}

// Guards against streams that end only at the deadline although they send single bytes and no complete event, and
// against a resumable one that stays at such a server.
func TestStalledStreamIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slowParts := append([]string{eventText(1, 1), "id: 2\ndata: "}, strings.Split(strings.Repeat("x", 1000), "")...)
		b := newTestDispatcher(func(ctx context.Context, number int, a dispatch.Attempt) dispatch.Outcome {
			if number == 1 {
				return dispatch.Answered{Success: true, Length: -1, Body: newPacedBody(ctx, 100*time.Millisecond, slowParts...)}
			}
			is.Equal(a.LastEvent, "1")
			return completeAnswer(eventText(2, 3))
		})
		begin := time.Now()
		a := b.serveWithoutTimeout("/stream/1")
		is.Equal(a.body.String(), eventText(1, 3))
		is.True(a.ended)
		is.True(time.Since(begin) < 2*time.Second)
		begin = time.Now()
		b.sends = nil
		a = b.serveWithoutTimeout("/frail/1")
		is.True(a.aborted)
		is.True(time.Since(begin) < 3*time.Second)
		is.Equal(len(b.sends), 1)
	})
}

// Guards against taking a slow caller for a stalled server.
func TestSlowCallerIsNotTakenForStalledServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestDispatcher(func(ctx context.Context, _ int, _ dispatch.Attempt) dispatch.Outcome {
			return dispatch.Answered{Success: true, Length: -1, Body: newPacedBody(ctx, 0, eventText(1, 1), eventText(2, 2), "")}
		})
		a := &callerResponse{pause: 4 * time.Second}
		r := request("/frail/1")
		r.Timeout = 0
		b.Serve(context.Background(), r, a)
		is.True(a.ended && !a.aborted)
	})
}

// Guards against a server that sends an endless body without a declared length.
func TestEndlessBodyIsBounded(t *testing.T) {
	is := is.New(t)
	b := newTestDispatcher(func(context.Context, int, dispatch.Attempt) dispatch.Outcome {
		return dispatch.Answered{Success: true, Length: -1, Body: io.NopCloser(endlessBody{})}
	})
	a := b.serve("/safe/1")
	is.True(a.aborted)
	is.True(a.body.Len() <= 8<<20)
	is.Equal(len(b.sends), 1) // The caller has received a part of it.
}

// Guards against log lines that take many times the memory of a request with a long ID.
func TestLongRequestIDIsClippedInLog(t *testing.T) {
	const (
		idBytes     = 14_000
		maxLogBytes = 8 << 10 // A few lines.
	)
	is := is.New(t)
	b := newTestDispatcher(func(context.Context, int, dispatch.Attempt) dispatch.Outcome { return completeAnswer("whole answer") })
	var log bytes.Buffer
	logger := zerolog.New(&log)
	b.Logger = &logger
	r := request("/safe/1")
	r.ID = "some" + strings.Repeat("\x01", idBytes)
	b.Serve(context.Background(), r, &callerResponse{})
	is.True(strings.Contains(log.String(), `"request":"some`))
	is.True(log.Len() <= maxLogBytes)
	is.Equal(b.sends[0].Request.ID, r.ID) // The server gets all of it.
}
