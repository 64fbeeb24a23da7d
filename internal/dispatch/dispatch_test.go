package dispatch_test

import (
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
	"citronslip/internal/routing"
	"citronslip/internal/store"
	"citronslip/pkg/inventory"
)

var (
	errReset = errors.New("connection reset")
)

type (
	// bench holds a dispatcher with fakes at its interfaces.
	bench struct {
		*dispatch.Dispatcher
		budget *budget
		mu     sync.Mutex
		sends  []dispatch.Attempt
		answer func(ctx context.Context, number int, a dispatch.Attempt) dispatch.Outcome
	}

	// budget records what was reserved and settled.
	budget struct {
		refuse  dispatch.Reason
		held    inventory.Tokens
		settled []inventory.Tokens
	}

	// answer records what a caller got.
	answer struct {
		refusal *dispatch.Refusal
		head    any
		body    strings.Builder
		ended   bool
		aborted bool
		left    bool          // Whether writes fail because the caller has left.
		pause   time.Duration // How long the caller takes to read each part.
	}

	// paced is a body that sends its parts one after the other, each after a pause, and then nothing until it is closed.
	paced struct {
		ctx   context.Context
		parts []string
		pause time.Duration
		stop  chan struct{}
		once  sync.Once
	}

	// endless is a body without an end.
	endless struct{}

	// torn is a body that breaks off.
	torn struct {
		io.Reader
	}
)

func (endless) Read(p []byte) (int, error) { return len(p), nil }

func (t torn) Read(p []byte) (int, error) {
	n, err := t.Reader.Read(p)
	if err == io.EOF {
		err = errReset
	}
	return n, err
}

func newPaced(ctx context.Context, pause time.Duration, parts ...string) *paced {
	return &paced{ctx: ctx, parts: parts, pause: pause, stop: make(chan struct{})}
}

func (p *paced) Read(data []byte) (int, error) {
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

func (p *paced) Close() error {
	p.once.Do(func() { close(p.stop) })
	return nil
}

func (b *budget) Reserve(_ context.Context, c dispatch.Claim) (dispatch.Hold, dispatch.Refusal) {
	if b.refuse != "" {
		return nil, dispatch.Refusal{Reason: b.refuse}
	}
	b.held += c.Tokens
	return b, dispatch.Refusal{}
}

func (b *budget) Settle(used inventory.Tokens) { b.settled = append(b.settled, used) }

func (a *answer) Refuse(r dispatch.Refusal) { a.refusal = &r }

func (a *answer) Begin(head any, _ int64) error {
	if a.left {
		return errReset
	}
	a.head = head
	return nil
}

func (a *answer) Write(data []byte) error {
	if a.left {
		return errReset
	}
	time.Sleep(a.pause)
	a.body.Write(data)
	return nil
}

func (a *answer) End() error { a.ended = true; return nil }
func (a *answer) Abort()     { a.aborted = true }

func (b *bench) Send(ctx context.Context, a dispatch.Attempt) dispatch.Outcome {
	b.mu.Lock()
	b.sends = append(b.sends, a)
	number := len(b.sends)
	b.mu.Unlock()
	return b.answer(ctx, number, a)
}

// newBench returns a dispatcher with three servers and a route of each kind.
func newBench(answer func(ctx context.Context, number int, a dispatch.Attempt) dispatch.Outcome) *bench {
	logger := zerolog.Nop()
	directory := &inventory.Directory{
		Version: 1,
		Routes: []inventory.Route{
			{Name: "once", Host: "h", Prefix: "/once/", Repeat: inventory.RunOnce, Attempts: 2},
			{Name: "single", Host: "h", Prefix: "/single/", Repeat: inventory.RunOnce, Attempts: 1},
			{Name: "safe", Host: "h", Prefix: "/safe/", Repeat: inventory.RunIdempotent, Attempts: 2},
			{Name: "stream", Host: "h", Prefix: "/stream/", Repeat: inventory.RunResumable, Stream: true, Model: true, Attempts: 2},
			{Name: "frail", Host: "h", Prefix: "/frail/", Repeat: inventory.RunOnce, Stream: true, Model: true, Attempts: 2},
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
		directory.Routes[i].Shares = []inventory.Share{{Service: "s", Weight: 1}}
	}
	directory.Prepare()
	pool := &dispatch.Pool{Picker: &routing.Picker{Rand: func() float64 { return 0.5 }}}
	pool.Update([]dispatch.Server{
		{Name: "a", Service: "s", Born: 1}, {Name: "b", Service: "s", Born: 1}, {Name: "c", Service: "s", Born: 1},
	})
	b := &bench{budget: &budget{}, answer: answer}
	b.Dispatcher = &dispatch.Dispatcher{
		Directory: &board.Cell[inventory.Directory]{},
		Pool:      pool,
		Backend:   b,
		Budgets:   b.budget,
		Repeats:   &dispatch.Repeats{Ratio: 0.2, Slack: 50, Window: 10 * time.Second, Routers: func() int { return 1 }, Now: time.Now},
		Crashes:   &crash.List{Store: &store.Memory{}, Now: time.Now, Logger: &logger},
		Logger:    &logger,
		Metrics:   tally.NoopScope,
	}
	b.Directory.Store(directory)
	return b
}

func request(path string) *dispatch.Request {
	r := &dispatch.Request{ID: "id", Method: "POST", Host: "h", Path: path, Key: "key", Arrived: time.Now(), Patience: time.Second}
	if strings.HasPrefix(path, "/stream") || strings.HasPrefix(path, "/frail") {
		r.Prompt = &dispatch.Prompt{Tokens: 100, Most: 30}
	}
	return r
}

func whole(body string) dispatch.Outcome {
	return dispatch.Answered{Success: true, Head: "head", Length: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}
}

func broken(body string) dispatch.Outcome {
	return dispatch.Answered{Success: true, Head: "head", Length: -1, Body: io.NopCloser(torn{strings.NewReader(body)})}
}

func events(from, to int) string {
	var text strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: x\n\n", i)
	}
	return text.String()
}

func (b *bench) serve(path string) *answer {
	a := &answer{}
	b.Serve(context.Background(), request(path), a)
	return a
}

// patient serves a request whose caller sets no time limit of its own.
func (b *bench) patient(path string) *answer {
	a := &answer{}
	r := request(path)
	r.Patience = 0
	b.Serve(context.Background(), r, a)
	return a
}

// Guards against a second run of a request that is not idempotent, and against a refusal that promises that it did not run.
func TestLostAnswerOfNonIdempotentRequestIsNotRepeated(t *testing.T) {
	is := is.New(t)
	b := newBench(func(context.Context, int, dispatch.Attempt) dispatch.Outcome {
		return dispatch.Lost{Reset: true, Err: errReset}
	})
	for _, path := range []string{"/once/1", "/frail/1"} {
		b.sends = nil
		a := b.serve(path)
		is.Equal(len(b.sends), 1)
		is.Equal(a.refusal.Reason, dispatch.Broken)
		is.True(!a.refusal.Reason.NotRun())
	}
}

// Guards against a repeat that breaks the route's limit, and against one that is not made although the server says that
// the request did not run.
func TestRefusalOfServerIsRepeatedWithinTheRoutesAttempts(t *testing.T) {
	is := is.New(t)
	b := newBench(func(_ context.Context, number int, _ dispatch.Attempt) dispatch.Outcome {
		if number == 1 {
			return dispatch.Refused{Reason: routing.Busy}
		}
		return whole("booked")
	})
	a := b.serve("/once/1")
	is.Equal(a.body.String(), "booked")
	is.Equal(len(b.sends), 2)
	is.True(b.sends[0].Server.Name != b.sends[1].Server.Name)
	b.sends = nil
	a = b.serve("/single/1")
	is.Equal(len(b.sends), 1)
	is.Equal(a.refusal.Reason, dispatch.Busy)
	is.True(a.refusal.After > 0)
}

// Guards against a caller that gets a part of an answer which broke off, or two parts of different answers.
func TestTornAnswerIsNeverShown(t *testing.T) {
	is := is.New(t)
	b := newBench(func(_ context.Context, number int, _ dispatch.Attempt) dispatch.Outcome {
		if number == 1 {
			return broken("half of an ans")
		}
		return whole("whole answer")
	})
	a := b.serve("/safe/1")
	is.Equal(a.body.String(), "whole answer")
	is.True(a.ended)
	b.sends = nil
	a = b.serve("/once/1")
	is.Equal(a.body.String(), "")
	is.Equal(a.refusal.Reason, dispatch.Broken)
}

// Guards against a server's own error that is replaced by a failure of the router, when no other server answers or no repeat
// is left.
func TestServersErrorIsPassedOn(t *testing.T) {
	is := is.New(t)
	b := newBench(func(_ context.Context, number int, _ dispatch.Attempt) dispatch.Outcome {
		if number > 1 {
			return dispatch.Lost{Reset: true, Err: errReset}
		}
		failed, _ := whole("error of the server").(dispatch.Answered)
		failed.Success = false
		return failed
	})
	a := b.serve("/safe/1")
	is.Equal(len(b.sends), 2)
	is.Equal(a.body.String(), "error of the server")
	is.True(a.ended)
	b.sends = nil
	b.Repeats = &dispatch.Repeats{Window: time.Second, Routers: func() int { return 1 }, Now: time.Now}
	a = b.serve("/safe/1")
	is.Equal(len(b.sends), 1)
	is.Equal(a.body.String(), "error of the server")
}

// Guards against an event that is missing or comes twice when a stream moves, also when it broke off within an event.
func TestResumableStreamContinuesBehindItsLastEvent(t *testing.T) {
	is := is.New(t)
	b := newBench(func(_ context.Context, number int, a dispatch.Attempt) dispatch.Outcome {
		if number == 1 {
			return broken(events(1, 4) + "id: 5\ndat")
		}
		return whole(events(5, 7))
	})
	a := b.serve("/stream/1")
	is.Equal(a.body.String(), events(1, 7))
	is.True(a.ended)
	is.Equal(b.sends[1].LastEvent, "4")
	is.Equal(b.budget.held, inventory.Tokens(130))
	is.Equal(b.budget.settled, []inventory.Tokens{100 + 7*3}) // The prompt counts once.
}

// Guards against a stream that looks complete although the server that was to continue it answered with an error of its own
// (soak seed 119).
func TestErrorOfTheSecondServerDoesNotEndAStream(t *testing.T) {
	is := is.New(t)
	b := newBench(func(_ context.Context, number int, _ dispatch.Attempt) dispatch.Outcome {
		if number == 1 {
			return broken(events(1, 3))
		}
		failed, _ := whole("error of the server").(dispatch.Answered)
		failed.Success = false
		return failed
	})
	a := b.serve("/stream/1")
	is.Equal(a.body.String(), events(1, 3))
	is.True(a.aborted)
	is.True(!a.ended)
}

// Guards against a stream that broke off and looks complete.
func TestBrokenStreamIsAborted(t *testing.T) {
	is := is.New(t)
	b := newBench(func(context.Context, int, dispatch.Attempt) dispatch.Outcome { return broken(events(1, 3)) })
	a := b.serve("/frail/1")
	is.Equal(len(b.sends), 1)
	is.True(a.aborted)
	is.True(!a.ended)
	is.Equal(b.budget.settled, []inventory.Tokens{109})
}

// Guards against an attempt that goes on after its caller has left, and against tokens that stay reserved.
func TestCallerThatLeavesEndsTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var ended time.Duration
		b := newBench(func(ctx context.Context, _ int, _ dispatch.Attempt) dispatch.Outcome {
			begin := time.Now()
			<-ctx.Done()
			ended = time.Since(begin)
			return dispatch.Lost{Err: ctx.Err()}
		})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		a := &answer{left: true}
		b.Serve(ctx, request("/stream/1"), a)
		is.Equal(ended, 100*time.Millisecond)
		is.Equal(len(b.sends), 1)
		is.Equal(b.budget.settled, []inventory.Tokens{0})
	})
}

// Guards against a request that is held beyond the time that its caller waits, and against a longer time at the server.
func TestTimeLimitEndsTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(func(ctx context.Context, _ int, _ dispatch.Attempt) dispatch.Outcome {
			<-ctx.Done()
			return dispatch.Lost{Err: ctx.Err()}
		})
		begin := time.Now()
		r := request("/safe/1")
		r.Arrived = begin.Add(-300 * time.Millisecond)
		a := &answer{}
		b.Serve(t.Context(), r, a)
		is.Equal(time.Since(begin), 700*time.Millisecond)
		is.Equal(a.refusal.Reason, dispatch.Late)
		is.Equal(len(b.sends), 1)
		is.Equal(b.sends[0].Left, 700*time.Millisecond)
	})
}

// Guards against requests that no configuration allows, and against an unknown configuration that is taken for a refusal.
func TestRequestsThatCannotBeRouted(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	is.Equal(b.serve("/other/1").refusal.Reason, dispatch.NoRoute)
	a := &answer{}
	r := request("/safe/1")
	r.Key = "another"
	b.Serve(t.Context(), r, a)
	is.Equal(a.refusal.Reason, dispatch.NoAccount)
	b.Directory.Store(nil)
	is.Equal(b.serve("/safe/1").refusal.Reason, dispatch.NotReady)
}

// Guards against a request that reaches a server although the budget does not cover it.
func TestBudgetIsReservedBeforeTheFirstSend(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	b.budget.refuse = dispatch.NoBudget
	is.Equal(b.serve("/stream/1").refusal.Reason, dispatch.NoBudget)
	is.Equal(len(b.sends), 0)
}

// Guards against a request that goes on crashing servers: after three crashes it reaches none.
func TestRequestThatCrashesServersIsStopped(t *testing.T) {
	is := is.New(t)
	b := newBench(func(context.Context, int, dispatch.Attempt) dispatch.Outcome {
		return dispatch.Lost{Reset: true, Err: errReset}
	})
	for range 3 {
		b.sends = nil
		is.Equal(b.serve("/single/1").refusal.Reason, dispatch.Broken)
		b.Crashes.Down(t.Context(), b.sends[0].Server.Name)
	}
	b.sends = nil
	a := b.serve("/single/1")
	is.Equal(a.refusal.Reason, dispatch.Crashing)
	is.Equal(len(b.sends), 0)
}

// Guards against settings without a window, by which the counts would be divided.
func TestRepeatsWithoutAWindow(t *testing.T) {
	is := is.New(t)
	r := &dispatch.Repeats{Slack: 10, Routers: func() int { return 1 }, Now: time.Now}
	r.First("s")
	is.True(r.Again("s"))
	r.Adjust(0, 0, 0)
	is.True(!r.Again("s"))
}

// Guards against repeats beyond the fleet's allowance, of which each router takes its part.
func TestRepeatsStayWithinTheirPart(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := &dispatch.Repeats{Ratio: 0.2, Slack: 50, Window: 10 * time.Second, Routers: func() int { return 5 }, Now: func() time.Time { return now }}
	for range 100 {
		r.First("s")
	}
	granted := 0
	for r.Again("s") {
		granted++
	}
	is.True(granted <= 30) // A fifth of 100 requests and a fifth of the slack.
	is.True(granted >= 20)
	now = now.Add(11 * time.Second)
	is.True(r.Again("s")) // The window has passed.
}

// Guards against slow streams that are cut although their events come within the caller's patience.
func TestSlowStreamIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for path, pause := range map[string]time.Duration{"/frail/1": 1900 * time.Millisecond, "/stream/1": 900 * time.Millisecond} {
			b := newBench(func(ctx context.Context, _ int, _ dispatch.Attempt) dispatch.Outcome {
				return dispatch.Answered{Success: true, Length: -1, Body: newPaced(ctx, pause, events(1, 1), events(2, 2), events(3, 3), "")}
			})
			a := b.patient(path)
			is.True(a.ended && !a.aborted)
			is.Equal(a.body.String(), events(1, 3))
			is.Equal(len(b.sends), 1)
		}
	})
}

// Guards against streams that end only at the time limit although they send no whole event, only a byte now and then, and
// against a resumable one that stays at such a server.
func TestStalledStreamIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		drip := append([]string{events(1, 1), "id: 2\ndata: "}, strings.Split(strings.Repeat("x", 1000), "")...)
		b := newBench(func(ctx context.Context, number int, a dispatch.Attempt) dispatch.Outcome {
			if number == 1 {
				return dispatch.Answered{Success: true, Length: -1, Body: newPaced(ctx, 100*time.Millisecond, drip...)}
			}
			is.Equal(a.LastEvent, "1")
			return whole(events(2, 3))
		})
		begin := time.Now()
		a := b.patient("/stream/1")
		is.Equal(a.body.String(), events(1, 3))
		is.True(a.ended)
		is.True(time.Since(begin) < 2*time.Second)
		begin = time.Now()
		b.sends = nil
		a = b.patient("/frail/1")
		is.True(a.aborted)
		is.True(time.Since(begin) < 3*time.Second)
		is.Equal(len(b.sends), 1)
	})
}

// Guards against a slow caller whose reading is taken for a stall of the server.
func TestSlowCallerIsNoStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(func(ctx context.Context, _ int, _ dispatch.Attempt) dispatch.Outcome {
			return dispatch.Answered{Success: true, Length: -1, Body: newPaced(ctx, 0, events(1, 1), events(2, 2), "")}
		})
		a := &answer{pause: 4 * time.Second}
		r := request("/frail/1")
		r.Patience = 0
		b.Serve(context.Background(), r, a)
		is.True(a.ended && !a.aborted)
	})
}

// Guards against a server that sends a body without a length and without an end.
func TestBodyWithoutAnEndIsBounded(t *testing.T) {
	is := is.New(t)
	b := newBench(func(context.Context, int, dispatch.Attempt) dispatch.Outcome {
		return dispatch.Answered{Success: true, Length: -1, Body: io.NopCloser(endless{})}
	})
	a := b.serve("/safe/1")
	is.True(a.aborted)
	is.True(a.body.Len() <= 8<<20)
	is.Equal(len(b.sends), 1) // The caller has a part of it.
}
