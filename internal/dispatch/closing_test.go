package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/dispatch"
)

// Guards against requests that a stopping router sends to a server and cuts when it ends, and against requests that it refuses
// though they end earlier.
func TestStoppingRouterSendsOnlyRequestsThatEndBeforeIt(t *testing.T) {
	for name, test := range map[string]struct {
		closesAfter time.Duration // Zero if the router does not stop.
		timeout     time.Duration // Timeout of the caller.
		refused     bool
	}{
		"running":          {timeout: 2 * time.Second},
		"ends in time":     {closesAfter: time.Second, timeout: 900 * time.Millisecond},
		"may last longer":  {closesAfter: time.Second, timeout: 1100 * time.Millisecond, refused: true},
		"after the close":  {closesAfter: -time.Second, timeout: 100 * time.Millisecond, refused: true},
		"route's own time": {closesAfter: time.Second, refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := newTestDispatcher(func(context.Context, int, dispatch.Attempt) dispatch.Outcome {
					return completeAnswer("planted")
				})
				closing := time.Now().Add(test.closesAfter)
				d.Closing = func() time.Time {
					if test.closesAfter == 0 {
						return time.Time{}
					}
					return closing
				}
				r := request("/once/1")
				r.Timeout = test.timeout
				response := &callerResponse{}
				d.Serve(t.Context(), r, response)
				if test.refused {
					is.Equal(len(d.sends), 0)
					is.Equal(response.refusal.Reason, dispatch.Stopping)
					is.True(response.refusal.Reason.NotExecuted())
					return
				}
				is.Equal(response.body.String(), "planted")
			})
		})
	}
}

// Guards against a stream that a stopping router does not continue at another server although the caller has its start.
func TestStoppingRouterContinuesStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var closing time.Time
		d := newTestDispatcher(func(_ context.Context, number int, _ dispatch.Attempt) dispatch.Outcome {
			if number == 1 {
				closing = time.Now().Add(time.Second)
				return brokenAnswer(eventText(1, 3))
			}
			return completeAnswer(eventText(4, 7))
		})
		d.Closing = func() time.Time { return closing }
		response := &callerResponse{}
		d.Serve(t.Context(), request("/stream/1"), response)
		is.Equal(response.body.String(), eventText(1, 7))
		is.True(response.ended)
	})
}

// Guards against a request that ends without a call of its Response, which net/http answers with an empty success.
func TestEachRequestEndsItsResponse(t *testing.T) {
	for _, path := range []string{"/once/1", "/safe/1", "/stream/1"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			d := newTestDispatcher(func(ctx context.Context, _ int, _ dispatch.Attempt) dispatch.Outcome {
				cancel()
				return dispatch.NoResponse{Err: ctx.Err()}
			})
			response := &callerResponse{}
			d.Serve(ctx, request(path), response)
			is.Equal(response.refusal, nil)
			is.True(response.aborted && response.head == nil)
		})
	}
}

// Guards against a response that cannot begin and ends without a call of its Response.
func TestResponseThatCannotBeginIsAborted(t *testing.T) {
	for path, body := range map[string]string{"/once/1": "booked", "/stream/1": "", "/stream/2": eventText(1, 3)} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := newTestDispatcher(func(context.Context, int, dispatch.Attempt) dispatch.Outcome { return completeAnswer(body) })
			response := &callerResponse{disconnected: true}
			d.Serve(t.Context(), request(path), response)
			is.True(response.aborted)
		})
	}
}
