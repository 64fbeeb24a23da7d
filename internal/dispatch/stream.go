package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"citronslip/internal/routing"
	"citronslip/internal/sse"
	"citronslip/pkg/inventory"
)

const (
	// maxEventBytes is the size limit of an event. It bounds memory: a faulty server may send an event without end on
	// each of many streams.
	maxEventBytes = 64 << 10
	// minStallTimeout is the lower bound of the stall timeout, the time without a complete event after which callers
	// give a stream up.
	minStallTimeout = 2 * time.Second
	// stallTimeoutGoals and stallTimeoutGaps are further lower bounds, as multiples of the route's Goal and Gap.
	stallTimeoutGoals = 4
	stallTimeoutGaps  = 8
)

var (
	errStalled = errors.New("dispatch: no complete event within the stall timeout")
)

// forwardStream forwards a stream of events. Only complete events reach the caller, so that an interrupted stream can
// be resumed after its last event. A stream without a complete event within the stall timeout is given up, however many
// bytes it sends.
func (c *call) forwardStream(ctx context.Context, server *Server, choice *routing.Choice, o Answered) (bool, Reason) {
	reader := &sse.Reader{Source: o.Body, Most: maxEventBytes}
	start := time.Now()
	c.resuming = c.responseStarted
	stallTimer := time.AfterFunc(c.stallTimeout(), func() { _ = o.Body.Close() }) // Interrupts the read.
	defer stallTimer.Stop()
	for {
		data, err := reader.Next()
		stalled := !stallTimer.Stop()
		switch {
		case stalled:
			err = errStalled
		case err == nil:
			err = c.checkOrder(data)
		case errors.Is(err, io.EOF) && o.Unframed && c.route.Repeat == inventory.Resumable:
			err = errEndUnknown
		case errors.Is(err, io.EOF):
			return c.finishStream(choice, o, start)
		}
		if err != nil {
			choice.Done(c.outcomeOrCancelled(ctx, routing.Broken{Reset: true}))
			if !stalled && !errors.Is(err, errEventOrder) {
				c.recordSuspect(ctx, server)
			}
			c.logNoResponse(server, true, err)
			return c.allowRetry(ctx)
		}
		if !c.forwardEvent(choice, o, data) {
			choice.Done(routing.Cancelled{})
			c.setResult("caller left", "")
			return false, ""
		}
		stallTimer.Reset(c.stallTimeout())
	}
}

// stallTimeout returns how long a stream may go without a complete event. It is halved if the stream can be resumed, so
// that another server takes over while the caller still waits.
func (c *call) stallTimeout() time.Duration {
	timeout := max(minStallTimeout, stallTimeoutGoals*c.route.Goal, stallTimeoutGaps*c.route.Gap)
	if c.responseStarted && c.route.Repeat == inventory.Resumable && c.attemptsLeft() {
		timeout /= 2
	}
	return timeout
}

// finishStream ends a stream after its last event.
func (c *call) finishStream(choice *routing.Choice, o Answered, start time.Time) (bool, Reason) {
	choice.Done(routing.Finished{Cached: -1, Output: c.events * c.tokensPerEvent(), Duration: time.Since(start)})
	if !c.responseStarted {
		if err := c.response.Begin(o.Head, o.Length); err != nil {
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
