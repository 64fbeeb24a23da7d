package dispatch_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/delay"
	"citronslip/internal/dispatch"
	"citronslip/internal/routing"
)

// silentStream returns a stream whose server is silent between the events before and after.
func silentStream(ctx context.Context, before string, silence time.Duration, after string) dispatch.Outcome {
	reader, writer := io.Pipe()
	go func() {
		_, _ = io.WriteString(writer, before) // The router may have closed the stream.
		delay.Sleep(ctx, silence)
		_, _ = io.WriteString(writer, after)
		_ = writer.Close()
	}()
	return dispatch.Answered{Success: true, Length: -1, Body: reader}
}

// Guards against a resumable stream that leaves a sound server, silent for about a second, for another one.
func TestBriefSilenceDoesNotMoveStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestDispatcher(func(ctx context.Context, _ int, _ dispatch.Attempt) dispatch.Outcome {
			return silentStream(ctx, eventText(1, 2), 1400*time.Millisecond, eventText(3, 4))
		})
		a := b.serveWithoutTimeout("/stream/1")
		is.Equal(a.body.String(), eventText(1, 4))
		is.True(a.ended)
		is.Equal(len(b.sends), 1)
	})
}

// Guards against closing the stream of a silent server when no other server can continue it.
func TestSilentServerKeepsStreamThatCannotMove(t *testing.T) {
	for name, prepare := range map[string]func(b *testDispatcher){
		"retry budget exhausted": func(b *testDispatcher) { b.Repeats.Adjust(0, 0, time.Second) },
		"no other server":        func(b *testDispatcher) { b.Pool.Update([]dispatch.Server{{Name: "a", Service: "s", Born: 1}}) },
		"link of the host full":  func(b *testDispatcher) { b.Behind = func() bool { return len(b.sends) > 0 } },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newTestDispatcher(func(ctx context.Context, _ int, _ dispatch.Attempt) dispatch.Outcome {
					return silentStream(ctx, eventText(1, 2), 1900*time.Millisecond, eventText(3, 4))
				})
				prepare(b)
				a := b.serveWithoutTimeout("/stream/1")
				is.Equal(a.body.String(), eventText(1, 4))
				is.True(a.ended && !a.aborted)
				is.Equal(len(b.sends), 1)
			})
		})
	}
}

// Guards against a silent server that keeps a stream although another server can continue it meanwhile.
func TestStreamMovesOnceAnotherServerAcceptsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var behind atomic.Bool
		time.AfterFunc(1700*time.Millisecond, func() { behind.Store(false) })
		b := newTestDispatcher(func(ctx context.Context, number int, a dispatch.Attempt) dispatch.Outcome {
			if number == 1 {
				behind.Store(true)
				return silentStream(ctx, eventText(1, 2), time.Minute, "")
			}
			is.Equal(a.LastEvent, "2")
			return completeAnswer(eventText(3, 4))
		})
		b.Behind = behind.Load
		begin := time.Now()
		a := b.serveWithoutTimeout("/stream/1")
		is.Equal(a.body.String(), eventText(1, 4))
		is.True(a.ended)
		is.Equal(len(b.sends), 2)
		is.True(time.Since(begin) < 2*time.Second)
	})
}

// Guards against a silent server that gets no new requests because one stream has left it.
func TestMovedStreamDoesNotOpenCircuit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestDispatcher(func(ctx context.Context, number int, _ dispatch.Attempt) dispatch.Outcome {
			if number == 1 {
				return silentStream(ctx, eventText(1, 2), time.Minute, "")
			}
			return completeAnswer(eventText(3, 4))
		})
		is.True(b.serveWithoutTimeout("/stream/1").ended)
		server, choice, err := b.Pool.Pick(&routing.Request{Service: "s", Only: b.sends[0].Server.Name})
		is.NoErr(err)
		is.Equal(server.Name, b.sends[0].Server.Name)
		choice.Done(routing.Cancelled{})
	})
}

// Guards against a router that ends the stream of a silent server before its caller gives up.
func TestCallerGivesUpStreamBeforeRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestDispatcher(func(ctx context.Context, _ int, _ dispatch.Attempt) dispatch.Outcome {
			return silentStream(ctx, eventText(1, 2), 2100*time.Millisecond, eventText(3, 4))
		})
		a := b.serveWithoutTimeout("/frail/1")
		is.Equal(a.body.String(), eventText(1, 4))
		is.True(a.ended && !a.aborted)
	})
}

// Guards against streams that move from one silent server to another.
func TestStreamsDoNotMoveToSilentServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestDispatcher(nil)
		b.Pool.Update([]dispatch.Server{{Name: "a", Service: "s", Born: 1}, {Name: "b", Service: "s", Born: 1}})
		silent := ""
		b.respond = func(ctx context.Context, number int, a dispatch.Attempt) dispatch.Outcome {
			switch {
			case number == 1:
				silent = a.Server.Name
				return silentStream(ctx, eventText(1, 2), time.Minute, "")
			case number == 2:
				return completeAnswer(eventText(3, 4))
			case number == 3:
				return silentStream(ctx, eventText(1, 2), 1900*time.Millisecond, eventText(3, 4))
			}
			return dispatch.Refused{Reason: routing.ReasonNotReady}
		}
		is.True(b.serveWithoutTimeout("/stream/1").ended)
		b.Pool.Picker.MarkBusy(silent, 100*time.Millisecond)
		a := b.serveWithoutTimeout("/stream/1")
		is.Equal(a.body.String(), eventText(1, 4))
		is.Equal(len(b.sends), 3)
	})
}

// Guards against ending a stream that broke off because the server that can continue it accepts no requests at that moment.
func TestBrokenStreamWaitsForServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, blocked := range []string{"server busy", "link of the host full"} {
			is := is.New(t)
			b := newTestDispatcher(func(_ context.Context, number int, _ dispatch.Attempt) dispatch.Outcome {
				if number == 1 {
					return brokenAnswer(eventText(1, 2))
				}
				return completeAnswer(eventText(3, 4))
			})
			b.Pool.Update([]dispatch.Server{{Name: "a", Service: "s", Born: 1}})
			begin := time.Now()
			send := b.respond
			b.respond = func(ctx context.Context, number int, a dispatch.Attempt) dispatch.Outcome {
				if number == 1 && blocked == "server busy" {
					b.Pool.Update([]dispatch.Server{{Name: "a", Service: "s", Born: 1}, {Name: "b", Service: "s", Born: 1}})
					b.Pool.BackOff(&dispatch.Server{Name: "b"}, 400*time.Millisecond)
				}
				return send(ctx, number, a)
			}
			if blocked == "link of the host full" {
				b.Pool.Update([]dispatch.Server{{Name: "a", Service: "s", Born: 1}, {Name: "b", Service: "s", Born: 1}})
				b.Behind = func() bool { return len(b.sends) > 0 && time.Since(begin) < 400*time.Millisecond }
			}
			a := b.serveWithoutTimeout("/stream/1")
			is.Equal(a.body.String(), eventText(1, 4))
			is.True(a.ended)
			is.True(time.Since(begin) >= 400*time.Millisecond)
		}
	})
}
