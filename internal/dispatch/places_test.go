package dispatch_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/board"
	"citronslip/internal/dispatch"
	"citronslip/internal/evacuation"
	"citronslip/internal/ratelimit"
	"citronslip/internal/routing"
	"citronslip/pkg/inventory"
)

// newPlacesDispatcher is like newTestDispatcher, with the servers a and b in the data centre x and c in y, and with the regions
// east of x and west of y. Evacuations are not known yet.
func newPlacesDispatcher(respond func(ctx context.Context, number int, a dispatch.Attempt) dispatch.Outcome) *testDispatcher {
	b := newTestDispatcher(respond)
	b.placeServers()
	return b
}

func (b *testDispatcher) placeServers() {
	b.Pool.Evacuations = &board.Cell[evacuation.Places]{}
	b.Regions = func() map[string]string { return map[string]string{"x": "east", "y": "west"} }
	b.Pool.Update([]dispatch.Server{
		{Name: "a", Service: "s", Address: "10.0.0.1:1", Place: "x", Born: 1},
		{Name: "b", Service: "s", Address: "10.0.0.2:1", Place: "x", Born: 1},
		{Name: "c", Service: "s", Address: "10.0.0.3:1", Place: "y", Born: 1},
	})
}

func (b *testDispatcher) evacuate(places ...string) {
	b.Pool.Evacuations.Store(evacuation.NewPlaces(places...))
	b.Pool.Refresh()
}

func complete(context.Context, int, dispatch.Attempt) dispatch.Outcome {
	return completeAnswer("answer")
}

// Guards against requests to an evacuated data centre, against a router that serves before it knows the evacuations, and against
// a late refusal, or one without a time to come back, if no server is left.
func TestEvacuatedServersGetNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newPlacesDispatcher(complete)
		is.Equal(b.serve("/safe/1").refusal.Reason, dispatch.NotReady)
		_, err := b.Carry(t.Context(), "10.0.0.3:1", true)
		is.True(errors.Is(err, dispatch.ErrNotCarried)) // Another router may send it.
		b.evacuate("x")
		for range 20 {
			is.True(b.serve("/safe/1").ended)
			is.Equal(b.sends[len(b.sends)-1].Server.Name, "c")
		}
		_, err = b.Carry(t.Context(), "10.0.0.1:1", true)
		is.True(errors.Is(err, dispatch.ErrWithheld))
		_, err = b.Carry(t.Context(), "10.0.0.3:1", true)
		is.NoErr(err)
		b.evacuate("x", "y")
		sent, begin := len(b.sends), time.Now()
		refusal := b.serve("/safe/1").refusal
		is.Equal(refusal.Reason, dispatch.NoServerAvailable)
		is.True(refusal.After > 0)
		is.Equal(time.Since(begin), time.Duration(0))
		is.Equal(len(b.sends), sent)
		b.evacuate()
		is.True(b.serve("/safe/1").ended)
	})
}

// Guards against a retry and a resumed stream that reach a data centre that was evacuated after their first attempts, and against
// a stream that waits for a server of it.
func TestLaterAttemptsAvoidEvacuatedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var b *testDispatcher
		b = newPlacesDispatcher(func(_ context.Context, number int, a dispatch.Attempt) dispatch.Outcome {
			if number == 1 {
				b.evacuate("x")
				return dispatch.NoResponse{Err: errReset}
			}
			return completeAnswer("answer")
		})
		b.evacuate("y")
		is.True(b.serve("/safe/1").ended)
		is.Equal(b.sends[1].Server.Name, "c")

		b = newPlacesDispatcher(func(context.Context, int, dispatch.Attempt) dispatch.Outcome {
			b.evacuate("x", "y")
			return brokenAnswer(eventText(1, 2))
		})
		b.evacuate("y")
		begin := time.Now()
		is.True(b.serve("/stream/1").aborted)
		is.Equal(len(b.sends), 1)
		is.Equal(time.Since(begin), time.Duration(0))
	})
}

// Guards against a request that is sent to a server, or refused, whose data centre was evacuated while the request waited for a
// permit.
func TestRequestThatWaitsIsPickedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newLimitedDispatcher(map[string]ratelimit.Rate{"a": 2, "b": 2})
		b.placeServers()
		b.evacuate("y")
		for range 40 { // Until the permits are used up.
			if b.serve("/safe/1").refusal != nil {
				break
			}
		}
		var response *callerResponse
		waits := time.Now()
		for range 100 { // Until a request waits.
			begin := time.Now()
			go func() {
				time.Sleep(10 * time.Millisecond)
				b.evacuate("x")
			}()
			response = b.serve("/safe/1")
			if waits = begin; time.Since(begin) > 10*time.Millisecond {
				break
			}
			time.Sleep(20 * time.Millisecond)
			b.evacuate("y")
		}
		is.True(time.Since(waits) > 10*time.Millisecond)
		is.True(response.ended)
		is.Equal(b.sends[len(b.sends)-1].Server.Name, "c")
	})
}

// Guards against an attempt that counts against the route, the retry budget or the server though a router withheld it, and
// against a request that is given up then.
func TestWithheldAttemptIsPickedAnew(t *testing.T) {
	is := is.New(t)
	b := newPlacesDispatcher(func(_ context.Context, _ int, a dispatch.Attempt) dispatch.Outcome {
		if a.Server.Place == "x" {
			return dispatch.NotSent{Withheld: true, Err: errReset}
		}
		return completeAnswer("answer")
	})
	b.evacuate()
	b.Repeats = &dispatch.RetryBudget{Window: 10 * time.Second, Routers: func() int { return 1 }, Now: time.Now}
	for range 10 {
		is.True(b.serve("/single/1").ended)
	}
	is.True(len(b.sends) > 10)
	request := &routing.Request{Service: "s", Explain: &routing.Explanation{}}
	_, choice, err := b.Pool.Pick(request)
	is.NoErr(err)
	choice.Done(routing.Cancelled{})
	for _, candidate := range request.Explain.Candidates {
		is.Equal(candidate.ExclusionReason, "")
	}
}

// Guards against requests that leave the home regions of their routes and accounts, and against a refusal that comes late.
func TestRequestsStayInTheirHomeRegions(t *testing.T) {
	for _, test := range []struct {
		name           string
		route, account inventory.HomeRegions
		evacuated      string
		places         []string
		served         bool
	}{
		{"none", nil, nil, "", nil, true},
		{"route", inventory.HomeRegions{"west"}, nil, "", []string{"y"}, true},
		{"account", nil, inventory.HomeRegions{"west", "north"}, "", []string{"y"}, true},
		{"both", inventory.HomeRegions{"east", "west"}, inventory.HomeRegions{"west"}, "", []string{"y"}, true},
		{"no common region", inventory.HomeRegions{"east"}, inventory.HomeRegions{"west"}, "", nil, false},
		{"unknown region", inventory.HomeRegions{"north"}, nil, "", nil, false},
		{"evacuated", inventory.HomeRegions{"west"}, nil, "y", nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newPlacesDispatcher(complete)
				b.evacuate(test.evacuated)
				directory := *b.Directory.Load()
				for i := range directory.Routes {
					directory.Routes[i].Homes = test.route
				}
				directory.Accounts[0].Homes = test.account
				directory.Prepare()
				b.Directory.Store(&directory)
				begin := time.Now()
				for range 10 {
					response := b.serve("/safe/1")
					is.Equal(response.ended, test.served)
					if !test.served {
						is.Equal(response.refusal.Reason, dispatch.NoServerAvailable)
						is.True(response.refusal.After > 0)
					}
				}
				is.Equal(time.Since(begin), time.Duration(0))
				is.Equal(len(b.sends) > 0, test.served)
				for _, a := range b.sends {
					is.True(test.places == nil || a.Server.Name == "c")
					is.Equal(a.Places, test.places)
				}
			})
		})
	}
}
