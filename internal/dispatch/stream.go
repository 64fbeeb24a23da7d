package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"citronslip/internal/routing"
	"citronslip/internal/sse"
	"citronslip/pkg/inventory"
)

const (
	// eventBytes is the longest event of a stream. A faulty server may send an event without end on each of many streams.
	eventBytes = 64 << 10
	// leastPatience is the shortest time without a whole event after which a caller gives a stream up.
	leastPatience = 2 * time.Second
	// goalPatience and gapPatience are that time in goals for the first event and in longest pauses of the route.
	goalPatience = 4
	gapPatience  = 8
)

var (
	idField = []byte("id:")

	errStalled = errors.New("dispatch: no whole event in time")
)

// stream passes on a stream of events. Only whole events reach the caller, so that a stream that breaks off can be
// resumed behind its last event. A stream without a whole event for longer than a caller waits is given up, however many
// bytes it sends.
func (c *call) stream(ctx context.Context, server *Server, choice *routing.Choice, o Answered) (bool, Reason) {
	reader := &sse.Reader{Source: o.Body, Most: eventBytes}
	begin := time.Now()
	watch := time.AfterFunc(c.patience(), func() { _ = o.Body.Close() }) // Ends the read.
	defer watch.Stop()
	for {
		data, err := reader.Next()
		stalled := !watch.Stop()
		if stalled {
			err = errStalled
		}
		if errors.Is(err, io.EOF) {
			return c.complete(choice, o, begin)
		}
		if err != nil {
			choice.Done(c.broken(ctx, routing.Broken{Reset: true}))
			if !stalled {
				c.suspect(ctx, server)
			}
			c.lost(server, true, err)
			return c.again(ctx)
		}
		if !c.forward(choice, o, data) {
			choice.Done(routing.Cancelled{})
			c.end("caller left", "")
			return false, ""
		}
		watch.Reset(c.patience())
	}
}

// patience returns how long a stream may go without a whole event. A stream that can be resumed is moved while its caller
// still waits.
func (c *call) patience() time.Duration {
	patience := max(leastPatience, goalPatience*c.route.Goal, gapPatience*c.route.Gap)
	if c.began && c.route.Repeat == inventory.RunResumable && c.more() {
		patience /= 2
	}
	return patience
}

// complete ends a stream behind its last event.
func (c *call) complete(choice *routing.Choice, o Answered, begin time.Time) (bool, Reason) {
	choice.Done(routing.Finished{Cached: -1, Output: c.events * c.stride(), Duration: time.Since(begin)})
	if !c.began {
		if err := c.response.Begin(o.Head, o.Length); err != nil {
			c.end("caller left", "")
			return false, ""
		}
	}
	c.finish(true)
	return false, ""
}

// forward passes on one event and reports whether the caller is still there.
func (c *call) forward(choice *routing.Choice, o Answered, data []byte) bool {
	if !c.began {
		c.first = time.Since(c.request.Arrived)
		c.began = true
		if c.response.Begin(o.Head, -1) != nil {
			return false
		}
	}
	choice.First()
	c.events++ // A write that fails may have arrived.
	if c.response.Write(data) != nil {
		return false
	}
	if id := eventID(data); id != "" {
		c.lastEvent = id
	}
	return true
}

// eventID returns the identity of an event, or nothing if it has none.
func eventID(data []byte) string {
	for line := range bytes.Lines(data) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
