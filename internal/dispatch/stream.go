package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"citronslip/internal/event"
	"citronslip/internal/routing"
	"citronslip/internal/sse"
	"citronslip/pkg/inventory"
)

const (
	// maxEventBytes is the size limit of an event. It bounds memory: a faulty server may send an event without end on
	// each of many streams.
	maxEventBytes = 64 << 10
)

// forwardStream forwards a stream of events. Only complete events reach the caller, so that an interrupted stream can
// be resumed after its last event. A stream without a complete event is given up or moved by the stall watch, however
// many bytes it sends.
func (c *call) forwardStream(ctx context.Context, server *Server, choice *routing.Choice, o Answered) (bool, Reason) {
	reader := &sse.Reader{Source: o.Body, Most: maxEventBytes, Memory: c.held}
	start := time.Now()
	c.resuming = c.responseStarted
	watch := c.watchStall(ctx, o.Body)
	for {
		data, err := reader.Next()
		closed := watch.endWait()
		switch {
		case closed != nil:
			err = closed
		case err == nil:
			err = c.checkOrder(data)
		case errors.Is(err, io.EOF) && o.Unframed && !c.answerBegun && c.route.Repeat == inventory.Resumable:
			err = errEndUnknown
		case errors.Is(err, io.EOF):
			return c.finishStream(choice, o, start)
		}
		if errors.Is(err, errMoved) {
			return c.moveStream(ctx, server, choice, watch.target)
		}
		if errors.Is(err, sse.ErrNoMemory) {
			choice.Done(routing.Cancelled{}) // No fault of the server.
			c.logNoResponse(server, false, err)
			return c.allowRetry(ctx)
		}
		if err != nil {
			choice.Done(c.outcomeOrCancelled(ctx, routing.Broken{Reset: true}))
			if closed == nil && !errors.Is(err, errEventOrder) && !errors.Is(err, errStalled) {
				c.recordSuspect(ctx, server)
			}
			c.logNoResponse(server, true, err)
			return c.allowRetry(ctx)
		}
		if !c.pinSoftware(server) {
			choice.Done(c.outcomeOrCancelled(ctx, routing.Broken{}))
			c.logNoResponse(server, false, errSoftwareChanged)
			return c.allowRetry(ctx)
		}
		if !c.forwardEvent(choice, o, data) {
			choice.Done(routing.Cancelled{})
			c.response.Abort()
			c.setResult("caller left", "")
			return false, ""
		}
		watch.startWait(ctx, c)
	}
}

// moveStream continues the stream of a silent server at the server that was reserved for it. Silence alone does not
// open the circuit of a server.
func (c *call) moveStream(ctx context.Context, server *Server, choice *routing.Choice, target *selection) (bool, Reason) {
	choice.Done(c.outcomeOrCancelled(ctx, routing.Broken{}))
	c.Pool.MarkSilent(server)
	c.logNoResponse(server, false, errMoved)
	c.logEvent(event.StreamMoved).Str("last", c.lastEvent).Int64("events", c.events).Send()
	c.target = target
	return true, IncompleteResponse
}

// logStreamMoved records that a stream of which the caller has received a part continues with another attempt.
func (c *call) logStreamMoved() {
	if c.responseStarted {
		c.brokenAt = time.Now()
		c.logEvent(event.StreamMoved).Str("last", c.lastEvent).Int64("events", c.events).Send()
	}
}

// finishStream ends a stream after its last event.
func (c *call) finishStream(choice *routing.Choice, o Answered, start time.Time) (bool, Reason) {
	choice.Done(routing.Finished{Cached: -1, Output: c.events * c.tokensPerEvent(), Duration: time.Since(start)})
	if !c.responseStarted {
		if err := c.response.Begin(o.Head, o.Length); err != nil {
			c.response.Abort()
			c.setResult("caller left", "")
			return false, ""
		}
	}
	c.finishResponse(true)
	return false, ""
}

// forwardEvent forwards one event and reports whether the caller is still connected.
func (c *call) forwardEvent(choice *routing.Choice, o Answered, data []byte) bool {
	c.recordAnswerBegun()
	if !c.responseStarted {
		c.timeToFirstByte = time.Since(c.request.Arrived)
		c.responseStarted = true
		c.otherContent = o.OtherContent
		if c.response.Begin(o.Head, -1) != nil {
			return false
		}
	}
	choice.FirstByte()
	c.events++ // A write that fails may still have reached the caller.
	if c.response.Write(data) != nil {
		return false
	}
	if id := eventID(data); id != "" {
		c.lastEvent = id
	}
	return true
}
