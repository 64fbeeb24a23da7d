package dispatch_test

import (
	"cmp"
	"context"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/board"
	"citronslip/internal/coldstart"
	"citronslip/internal/delay"
	"citronslip/internal/dispatch"
	"citronslip/internal/evacuation"
	"citronslip/internal/hedge"
	"citronslip/internal/ratelimit"
	"citronslip/internal/routing"
)

const (
	// usualTime is the time that servers need, slowTime that of a slow one.
	usualTime = 10 * time.Millisecond
	slowTime  = 600 * time.Millisecond
)

type (
	// hedgeTest is a dispatcher that has learned the usual times of its routes.
	hedgeTest struct {
		*testDispatcher
		cancelled atomic.Int32 // Number of attempts that were cancelled.
	}

	// closeRecorder is a body that records whether it was read and closed.
	closeRecorder struct {
		io.Reader
		read, closed atomic.Bool
	}
)

func (c *closeRecorder) Read(p []byte) (int, error) { c.read.Store(true); return c.Reader.Read(p) }
func (c *closeRecorder) Close() error               { c.closed.Store(true); return nil }

// newHedgeTest returns a dispatcher that hedges a tenth of the requests. Of the requests after the usual ones, first and second
// treat the first and the second attempt.
func newHedgeTest(first, second func(ctx context.Context, a dispatch.Attempt) dispatch.Outcome) *hedgeTest {
	h := &hedgeTest{}
	h.testDispatcher = newTestDispatcher(func(ctx context.Context, _ int, a dispatch.Attempt) dispatch.Outcome {
		return h.answer(ctx, a, usualTime)
	})
	h.Hedges = &hedge.Policy{Share: 0.1, Now: time.Now}
	for _, path := range []string{"/safe/usual", "/stream/usual", "/once/usual", "/single/usual", "/frail/usual"} {
		for range 30 {
			h.serve(path)
		}
	}
	h.sends, h.budgets.settled = nil, nil
	h.respond = func(ctx context.Context, number int, a dispatch.Attempt) dispatch.Outcome {
		if number == 1 {
			return first(ctx, a)
		}
		return second(ctx, a)
	}
	h.reportLoad(routing.Load{Running: 1, Slots: 8})
	return h
}

// reportLoad gives all servers the same load.
func (h *hedgeTest) reportLoad(load routing.Load) {
	for _, name := range []string{"a", "b", "c"} {
		h.Pool.ReportLoad(&dispatch.Server{Name: name}, &load)
	}
}

// answer answers an attempt after a time with the name of the server.
func (h *hedgeTest) answer(ctx context.Context, a dispatch.Attempt, after time.Duration) dispatch.Outcome {
	if !delay.Sleep(ctx, after) {
		h.cancelled.Add(1)
		return dispatch.NoResponse{Reset: true, Err: errReset}
	}
	body := a.Server.Name
	if strings.HasPrefix(a.Request.Path, "/stream") || strings.HasPrefix(a.Request.Path, "/frail") {
		body = "id: 1\ndata: " + a.Server.Name + "\n\n"
	}
	return completeAnswer(body)
}

// newSlowTest returns a dispatcher whose first attempt is slow and whose second one takes the usual time.
func newSlowTest(slow time.Duration) *hedgeTest {
	var h *hedgeTest
	h = newHedgeTest(
		func(ctx context.Context, a dispatch.Attempt) dispatch.Outcome { return h.answer(ctx, a, slow) },
		func(ctx context.Context, a dispatch.Attempt) dispatch.Outcome { return h.answer(ctx, a, usualTime) },
	)
	return h
}

// Guards against callers that wait for a slow or paused server, against a slow attempt that goes on at its server or counts against
// it, and against tokens that are counted twice.
func TestHedgeAnswersForSlowServer(t *testing.T) {
	for name, slow := range map[string]time.Duration{"slow": slowTime, "paused": time.Hour} {
		for _, path := range []string{"/safe/1", "/stream/1"} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					h := newSlowTest(slow)
					begin := time.Now()
					a := h.serve(path)
					is.True(time.Since(begin) < 100*time.Millisecond)
					synctest.Wait()
					is.Equal(len(h.sends), 2)
					first, second := h.sends[0], h.sends[1]
					is.True(first.Server.Name != second.Server.Name)
					is.Equal(first.Request.ID, second.Request.ID)
					is.Equal(first.Rank, second.Rank)
					is.True(first.Left-second.Left >= usualTime && first.Left-second.Left < 50*time.Millisecond)
					want := map[string]string{"/safe/1": second.Server.Name, "/stream/1": "id: 1\ndata: " + second.Server.Name + "\n\n"}
					is.Equal(a.body.String(), want[path])
					is.True(a.ended && !a.aborted && a.refusal == nil)
					is.Equal(h.cancelled.Load(), int32(1))
					if path == "/stream/1" {
						is.Equal(len(h.budgets.settled), 1)
						is.Equal(int64(h.budgets.settled[0]), int64(103))
					}
					_, choice, err := h.Pool.Pick(&routing.Request{Service: "s", Only: first.Server.Name})
					is.NoErr(err) // Its circuit is closed.
					choice.Done(routing.Cancelled{})
					h.sends = nil
					h.reportLoad(routing.Load{Running: 1, Slots: 8})
					h.Pool.Picker.MarkBusy(first.Server.Name, time.Second)
					h.serve(path) // The same content is not suspected, so that it is hedged again.
					is.Equal(len(h.sends), 2)
				})
			})
		}
	}
}

// Guards against a slow attempt that goes on at its server until the stream of the other one has ended.
func TestOutpacedAttemptIsCancelledAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var cancelledAt time.Time
		h := newHedgeTest(func(ctx context.Context, _ dispatch.Attempt) dispatch.Outcome {
			<-ctx.Done()
			cancelledAt = time.Now()
			return dispatch.NoResponse{Reset: true, Err: errReset}
		}, func(ctx context.Context, _ dispatch.Attempt) dispatch.Outcome {
			return dispatch.Answered{Success: true, Length: -1, Body: newPacedBody(ctx, 100*time.Millisecond, eventText(1, 1), eventText(2, 2), eventText(3, 3), "")}
		})
		a := h.serve("/stream/1")
		is.Equal(a.body.String(), eventText(1, 3))
		is.True(a.ended)
		synctest.Wait()
		is.Equal(time.Since(cancelledAt), 300*time.Millisecond) // The rest of the stream.
	})
}

// Guards against waiting without end for the first event of a stream that is not hedged, and against a silent server that counts as
// crashed by the request.
func TestStalledStreamIsRetriedWithoutSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHedgeTest(func(ctx context.Context, _ dispatch.Attempt) dispatch.Outcome {
			return silentStream(ctx, "", time.Minute, "")
		}, func(context.Context, dispatch.Attempt) dispatch.Outcome { return completeAnswer(eventText(1, 2)) })
		h.reportLoad(routing.Load{Running: 8, Slots: 8})
		begin := time.Now()
		a := h.serveWithoutTimeout("/stream/1")
		is.Equal(a.body.String(), eventText(1, 2))
		is.Equal(time.Since(begin), 2300*time.Millisecond)
		h.Crashes.RecordServerDown(h.sends[0].Server.Name)
		is.Equal(h.Crashes.Records(), 0)
	})
}

// Guards against a second attempt of a request that may run only once.
func TestRequestThatMayRunOnceIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, path := range []string{"/once/1", "/single/1", "/frail/1"} {
			h := newSlowTest(slowTime)
			is.True(h.serve(path).ended)
			is.Equal(len(h.sends), 1)
		}
	})
}

// Guards against hedges that take room, permits or retries from other requests, or reach servers that must get no requests.
func TestHedgeIsWithheld(t *testing.T) {
	reasons := map[string]string{
		"rejections": "rejections", "retry budget": "retries", "link full": "link", "router stops": "stopping", "share": "share", "suspected content": "content",
	}
	others := func(h *hedgeTest, change func(s *dispatch.Server)) {
		list := []dispatch.Server{{Name: "a", Service: "s", Born: 1, Place: "z"}, {Name: "b", Service: "s", Born: 1, Place: "z"}, {Name: "c", Service: "s", Born: 1, Place: "z"}}
		for i := range list {
			if list[i].Name != h.sends[0].Server.Name {
				change(&list[i])
			}
		}
		h.Pool.Update(list)
	}
	for name, prepare := range map[string]func(h *hedgeTest){
		"":              func(*hedgeTest) {}, // Nothing prevents the hedge.
		"full":          func(h *hedgeTest) { h.reportLoad(routing.Load{Running: 8, Slots: 8}) },
		"waiting":       func(h *hedgeTest) { h.reportLoad(routing.Load{Running: 1, Waiting: 1, Slots: 8}) },
		"slots unknown": func(h *hedgeTest) { h.reportLoad(routing.Load{Running: 1}) },
		"rejections":    func(h *hedgeTest) { h.Hedges.RecordRejection("s") },
		"retry budget": func(h *hedgeTest) {
			for h.Repeats.AllowSpare("s", hedge.MaxRetryUse) {
				continue
			}
		},
		"link full": func(h *hedgeTest) {
			begin := time.Now()
			h.Behind = func() bool { return time.Since(begin) > usualTime/2 }
		},
		"router stops": func(h *hedgeTest) { h.Closing = func() time.Time { return time.Now().Add(time.Minute) } },
		"leaving":      func(h *hedgeTest) { h.withFirst(func() { others(h, func(s *dispatch.Server) { s.Leaving = true }) }) },
		"evacuated": func(h *hedgeTest) {
			h.Pool.Evacuations = &board.Cell[evacuation.Places]{}
			h.Pool.Evacuations.Store(evacuation.NewPlaces())
			h.withFirst(func() {
				others(h, func(s *dispatch.Server) { s.Place = "y" })
				h.Pool.Evacuations.Store(evacuation.NewPlaces("y"))
				h.Pool.Refresh()
			})
		},
		"rate limits": func(h *hedgeTest) {
			h.Limits = newLimitedDispatcher(nil).Limits
			for _, name := range []string{"a", "b", "c"} {
				h.Limits.Observe(ratelimit.Process{Server: name, Born: 1}, ratelimit.Permit{}, ratelimit.Announcement{Named: true, Rate: 1000})
			}
		},
		"brittle": func(h *hedgeTest) {
			h.Limits = newLimitedDispatcher(nil).Limits
			h.Limits.Service = h.Pool.ServiceOf
			h.Limits.Observe(ratelimit.Process{Server: "a", Born: 1}, ratelimit.Permit{}, ratelimit.Announcement{Named: true, Rate: ratelimit.Unlimited, Brittle: 5})
		},
		"cold": func(h *hedgeTest) {
			h.Cold = newColdDispatcher().Cold
			h.Cold.Observe([]coldstart.Server{{Name: "a", Service: "s", Born: 2}, {Name: "b", Service: "s", Born: 2}, {Name: "c", Service: "s", Born: 2}})
		},
		"busy": func(h *hedgeTest) {
			h.withFirst(func() {
				for _, name := range []string{"a", "b", "c"} {
					h.Pool.Picker.MarkBusy(name, time.Minute)
				}
			})
		},
		"share": func(h *hedgeTest) {
			for h.Hedges.Take() {
				continue
			}
		},
		"suspected content": func(h *hedgeTest) {
			slow := h.respond
			h.respond = func(_ context.Context, number int, a dispatch.Attempt) dispatch.Outcome {
				if number == 1 {
					return dispatch.NoResponse{Reset: true, Err: errReset}
				}
				return completeAnswer("x")
			}
			h.serve("/safe/1")
			h.sends, h.respond = nil, slow
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newSlowTest(slowTime / 4) // Shorter than a second, in which rejections count.
				prepare(h)
				metrics := tally.NewTestScope("", nil)
				h.Metrics = metrics
				a := h.serve("/safe/1")
				is.True(a.ended)
				if name == "" {
					is.Equal(len(h.sends), 2)
					return
				}
				is.Equal(len(h.sends), 1)
				for key, counter := range metrics.Snapshot().Counters() {
					if counter.Name() == "hedges_withheld" && counter.Tags()["reason"] == cmp.Or(reasons[name], "server") {
						return
					}
					t.Log(key)
				}
				t.Error("hedge not withheld for this reason")
			})
		})
	}
}

// withFirst calls change when the first attempt is sent.
func (h *hedgeTest) withFirst(change func()) {
	slow := h.respond
	h.respond = func(ctx context.Context, number int, a dispatch.Attempt) dispatch.Outcome {
		if number == 1 {
			change()
		}
		return slow(ctx, number, a)
	}
}

// Guards against a retry beside a hedge, which takes its place, and against losing the response or the failure of one of them.
func TestFailedAttemptWaitsForOther(t *testing.T) {
	lost := func(after time.Duration) func(context.Context, dispatch.Attempt) dispatch.Outcome {
		return func(ctx context.Context, _ dispatch.Attempt) dispatch.Outcome {
			delay.Sleep(ctx, after)
			return dispatch.NoResponse{Err: errReset}
		}
	}
	failed := func(context.Context, dispatch.Attempt) dispatch.Outcome {
		return dispatch.Answered{Head: "error", Length: 4, Body: io.NopCloser(strings.NewReader("oops"))}
	}
	refused := func(context.Context, dispatch.Attempt) dispatch.Outcome {
		return dispatch.Refused{Reason: routing.ReasonBusy}
	}
	var h *hedgeTest
	slow := func(ctx context.Context, a dispatch.Attempt) dispatch.Outcome { return h.answer(ctx, a, slowTime) }
	for name, c := range map[string]struct {
		first, second func(context.Context, dispatch.Attempt) dispatch.Outcome
		served        int // Attempt that answers, from 1; zero if none does.
		head          any
	}{
		"first lost":    {lost(50 * time.Millisecond), slow, 2, "head"},
		"second lost":   {slow, lost(0), 1, "head"},
		"second refuse": {slow, refused, 1, "head"},
		"second error":  {slow, failed, 1, "head"},
		"both lost":     {lost(50 * time.Millisecond), lost(time.Second / 10), 0, nil},
		"error, lost":   {lost(50 * time.Millisecond), failed, 0, "error"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h = newHedgeTest(c.first, c.second)
				a := h.serve("/safe/1")
				is.Equal(len(h.sends), 2)
				is.Equal(a.head, c.head)
				switch {
				case c.served > 0:
					is.Equal(a.body.String(), h.sends[c.served-1].Server.Name)
				case c.head == nil:
					is.Equal(a.refusal.Reason, dispatch.IncompleteResponse)
				default:
					is.Equal(a.body.String(), "oops")
				}
			})
		})
	}
}

// Guards against three attempts when the way to the first server breaks: its replacement and a hedge exclude each other.
func TestHedgeExcludesReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, isBefore := range []bool{true, false} {
			is := is.New(t)
			var h *hedgeTest
			h = newHedgeTest(func(ctx context.Context, a dispatch.Attempt) dispatch.Outcome {
				if !isBefore {
					time.Sleep(3 * usualTime)
				}
				is.Equal(a.Replace(), isBefore)
				time.Sleep(10 * usualTime)
				return dispatch.NoResponse{Path: true, Err: errReset}
			}, func(ctx context.Context, a dispatch.Attempt) dispatch.Outcome {
				is.True(a.Replace == nil)
				return h.answer(ctx, a, slowTime)
			})
			a := h.serve("/safe/1")
			is.Equal(len(h.sends), 2)
			is.Equal(a.body.String(), h.sends[1].Server.Name)
		}
	})
}

// Guards against a response that arrives after the race, or at the same moment, and reaches the caller or stays open.
func TestLateResponseReachesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, late := range []time.Duration{0, slowTime} {
			is := is.New(t)
			bodies := make([]*closeRecorder, 2)
			respond := func(i int, after time.Duration) func(context.Context, dispatch.Attempt) dispatch.Outcome {
				return func(_ context.Context, a dispatch.Attempt) dispatch.Outcome {
					bodies[i] = &closeRecorder{Reader: strings.NewReader(a.Server.Name)}
					time.Sleep(after) // A transport that ignores the cancellation.
					return dispatch.Answered{Success: true, Head: i, Length: 1, Body: bodies[i]}
				}
			}
			h := newHedgeTest(respond(0, 20*time.Millisecond+usualTime+late), respond(1, usualTime))
			a := h.serve("/safe/1")
			time.Sleep(time.Second)
			synctest.Wait()
			is.Equal(len(h.sends), 2)
			winner, ok := a.head.(int)
			is.True(ok)
			is.Equal(a.body.String(), h.sends[winner].Server.Name)
			is.True(bodies[0].closed.Load() && bodies[1].closed.Load())
			is.Equal(len(h.budgets.settled), 0) // A plain request reserves no tokens.
		}
	})
}

// Guards against attempts that go on after the caller has left or the deadline has passed.
func TestBothAttemptsEndWithRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, leaves := range []bool{true, false} {
			is := is.New(t)
			var h *hedgeTest
			paused := func(ctx context.Context, a dispatch.Attempt) dispatch.Outcome { return h.answer(ctx, a, time.Hour) }
			h = newHedgeTest(paused, paused)
			ctx, cancel := context.WithCancel(t.Context())
			if leaves {
				time.AfterFunc(200*time.Millisecond, cancel)
			}
			a := &callerResponse{}
			begin := time.Now()
			h.Serve(ctx, request("/stream/1"), a)
			cancel()
			synctest.Wait()
			is.Equal(len(h.sends), 2)
			is.Equal(h.cancelled.Load(), int32(2))
			is.Equal(slices.Max(h.budgets.settled), h.budgets.settled[0])
			is.Equal(int64(h.budgets.settled[0]), int64(0))
			if leaves {
				is.True(a.aborted)
				is.Equal(time.Since(begin), 200*time.Millisecond)
				continue
			}
			is.Equal(a.refusal.Reason, dispatch.DeadlineExceeded)
			is.Equal(time.Since(begin), time.Second)
		}
	})
}
