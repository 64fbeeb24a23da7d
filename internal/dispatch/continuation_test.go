package dispatch_test

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/dispatch"
	"citronslip/internal/routing"
)

// changed returns a response with a change made to it.
func changed(outcome dispatch.Outcome, change func(o *dispatch.Answered)) dispatch.Outcome {
	answered, _ := outcome.(dispatch.Answered)
	change(&answered)
	return answered
}

// Guards against a stream that goes on with the text of an error, leaves out or repeats events, or looks complete,
// when the server that was to continue it sends something else.
func TestStreamGoesOnOnlyWithItsNextEvents(t *testing.T) {
	failed := func(o *dispatch.Answered) { o.Success = false }
	otherContent := func(o *dispatch.Answered) { o.OtherContent = true }
	unframed := func(o *dispatch.Answered) { o.Unframed, o.Length = true, -1 }
	const page = "<html>\n\nBad Gateway\n\n"
	for name, test := range map[string]struct {
		second    dispatch.Outcome
		forwarded int // Number of the last event that may be forwarded.
	}{
		"error":                       {changed(completeAnswer(page), failed), 3},
		"error without length":        {changed(changed(completeAnswer(page), failed), unframed), 3},
		"error that breaks off":       {changed(brokenAnswer(page), failed), 3},
		"refusal":                     {dispatch.Refused{Reason: routing.ReasonBusy}, 3},
		"page":                        {changed(completeAnswer(page), otherContent), 3},
		"nothing, no stream":          {changed(completeAnswer(""), otherContent), 3},
		"nothing, without length":     {changed(completeAnswer(""), unframed), 3},
		"page declared as a stream":   {completeAnswer(page), 3},
		"event of an error":           {completeAnswer("event: error\ndata: overloaded\n\n"), 3},
		"whole head":                  {completeAnswer("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"), 3},
		"first event again":           {completeAnswer(eventText(1, 7)), 3},
		"last event again":            {completeAnswer(eventText(3, 7)), 3},
		"skipped event":               {completeAnswer(eventText(5, 7)), 3},
		"skipped event, comment":      {completeAnswer(": wait\n\n" + eventText(5, 7)), 3},
		"events, then an error":       {completeAnswer(eventText(4, 5) + page), 5},
		"events, then one again":      {completeAnswer(eventText(4, 5) + eventText(5, 7)), 5},
		"events, without length, cut": {changed(completeAnswer(eventText(4, 7)+"id: 8\ndata"), unframed), 7},
		"other IDs":                   {completeAnswer("id: x\ndata: x\n\n"), 3},
		"events, then the first ones": {completeAnswer(eventText(4, 5) + eventText(1, 7)), 5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestDispatcher(func(_ context.Context, number int, _ dispatch.Attempt) dispatch.Outcome {
				if number == 1 {
					return brokenAnswer(eventText(1, 3))
				}
				return test.second
			})
			a := b.serve("/stream/1")
			body := strings.ReplaceAll(a.body.String(), ": wait\n\n", "")
			is.Equal(body, eventText(1, test.forwarded))
			is.True(a.aborted)
			is.True(!a.ended)
		})
	}
}

// Guards against sending a stream again that has neither a length nor chunks and has ended with its connection.
func TestUnframedStreamEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	for _, first := range []int{0, 3} {
		b := newTestDispatcher(func(_ context.Context, number int, _ dispatch.Attempt) dispatch.Outcome {
			if number == 1 && first > 0 {
				return brokenAnswer(eventText(1, first))
			}
			return changed(completeAnswer(eventText(first+1, 7)), func(o *dispatch.Answered) { o.Unframed, o.Length = true, -1 })
		})
		a := b.serve("/stream/1")
		is.Equal(a.body.String(), eventText(1, 7))
		is.True(a.ended && !a.aborted)
	}
}

// Guards against a third server that cannot go on with a stream after the second one sent something else.
func TestStreamGoesOnAfterUnusableContinuation(t *testing.T) {
	is := is.New(t)
	b := newTestDispatcher(func(_ context.Context, number int, _ dispatch.Attempt) dispatch.Outcome {
		switch number {
		case 1:
			return brokenAnswer(eventText(1, 3))
		case 2:
			return completeAnswer(eventText(1, 7))
		default:
			return completeAnswer(": wait\n\n" + eventText(4, 7))
		}
	})
	d := *b.Directory.Load()
	for i := range d.Routes {
		d.Routes[i].Attempts = 3
	}
	d.Prepare()
	b.Directory.Store(&d)
	a := b.serve("/stream/1")
	is.Equal(a.body.String(), eventText(1, 3)+": wait\n\n"+eventText(4, 7))
	is.True(a.ended && !a.aborted)
	is.Equal(b.sends[2].LastEvent, "3")
}

// Guards against events that come twice because a server begins a stream anew that its caller continues.
func TestCallerContinuesStreamOnlyWithLaterEvents(t *testing.T) {
	is := is.New(t)
	b := newTestDispatcher(func(context.Context, int, dispatch.Attempt) dispatch.Outcome { return completeAnswer(eventText(1, 7)) })
	r := request("/stream/1")
	r.LastEvent = "3"
	a := &callerResponse{}
	b.Serve(t.Context(), r, a)
	is.Equal(a.body.String(), "")
	is.Equal(a.refusal.Reason, dispatch.IncompleteResponse)
}

// Guards against a stream without event IDs, or a response that is no stream, that goes on with the start of another.
func TestResponseWithoutEventIDsIsNotContinued(t *testing.T) {
	is := is.New(t)
	for _, first := range []dispatch.Outcome{
		brokenAnswer("data: x\n\n"),
		changed(brokenAnswer(eventText(1, 2)), func(o *dispatch.Answered) { o.OtherContent = true }),
	} {
		b := newTestDispatcher(func(_ context.Context, number int, _ dispatch.Attempt) dispatch.Outcome {
			if number == 1 {
				return first
			}
			return completeAnswer(eventText(3, 7))
		})
		a := b.serve("/stream/1")
		is.True(a.aborted && !a.ended)
		is.Equal(len(b.sends), 1)
	}
}

// Guards against streams that are given up although their event IDs are increasing, but not consecutive or not numbers.
func TestStreamsWithOtherIDsGoOn(t *testing.T) {
	is := is.New(t)
	for _, parts := range [][2]string{
		{"id: 3\ndata: x\n\nid: 7\ndata: x\n\n", "id: 12\ndata: x\n\n"},
		{"id: a\ndata: x\n\n", "id: b\ndata: x\n\n"},
	} {
		b := newTestDispatcher(func(_ context.Context, number int, _ dispatch.Attempt) dispatch.Outcome {
			if number == 1 {
				return brokenAnswer(parts[0])
			}
			return completeAnswer(parts[1])
		})
		a := b.serve("/stream/1")
		is.Equal(a.body.String(), parts[0]+parts[1])
		is.True(a.ended)
	}
}
