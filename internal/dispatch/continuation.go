package dispatch

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

var (
	idField      = []byte("id:")
	commentField = []byte(":")

	// errEventOrder is returned for an event that cannot be the next one of the stream.
	errEventOrder = errors.New("dispatch: event is not the next one of the stream")
	// errEndUnknown is returned for a response without any event whose end is that of its connection. A server that has
	// just closed the connection sends the same.
	errEndUnknown = errors.New("dispatch: connection ended without an event")
)

// resumable reports whether another server can continue the response that the caller has received a part of.
func (c *call) resumable() bool { return !c.otherContent && c.lastEvent != "" }

// checkOrder returns an error that wraps errEventOrder if an event cannot be the next one of the stream: if it comes
// again or has no ID in a stream with IDs. The first event that another server sends may not leave out events either,
// unless the stream's IDs have skipped numbers before.
func (c *call) checkOrder(data []byte) error {
	if c.lastEvent == "" {
		return nil
	}
	id := eventID(data)
	if id == "" {
		if isComment(data) {
			return nil
		}
		return fmt.Errorf("%w: it has no ID, after %s", errEventOrder, c.lastEvent)
	}
	last, lastErr := strconv.ParseInt(c.lastEvent, 10, 64)
	next, nextErr := strconv.ParseInt(id, 10, 64)
	numbered := lastErr == nil && nextErr == nil
	skips := numbered && next-last > 1
	if id == c.lastEvent || lastErr == nil && nextErr != nil || numbered && next <= last || skips && c.resuming && !c.skipsIDs {
		return fmt.Errorf("%w: ID %s after %s", errEventOrder, id, c.lastEvent)
	}
	c.skipsIDs = c.skipsIDs || skips
	c.resuming = false
	return nil
}

// eventID returns the ID of an event, or an empty string if it has none.
func eventID(data []byte) string {
	for line := range bytes.Lines(data) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// isComment reports whether an event consists of comments, which servers send to keep a connection open.
func isComment(data []byte) bool {
	for line := range bytes.Lines(data) {
		if !bytes.HasPrefix(line, commentField) && len(bytes.TrimSpace(line)) > 0 {
			return false
		}
	}
	return true
}
