// Package sse reads streams of server-sent events (SSE).
package sse

import (
	"bytes"
	"cmp"
	"errors"
	"io"
)

const (
	// DefaultMaxEventBytes is the default of the maximum event length in bytes.
	DefaultMaxEventBytes = 1 << 20
	// minBufferBytes is the initial size of a reader's buffer. Events with tokens are far shorter, and a router keeps
	// one buffer for each open stream.
	minBufferBytes = 4 << 10
	// maxEmptyReads is the maximum number of consecutive reads that return neither data nor an error.
	maxEmptyReads = 100
)

var (
	// ErrEventTooLong is returned when an event is longer than the maximum.
	ErrEventTooLong = errors.New("sse: event too long")
	// ErrBareCarriageReturn is returned when an event contains a carriage return without a line feed. Parsers differ in
	// whether it ends a line, so the receiver of the stream might split it into other events than the reader.
	ErrBareCarriageReturn = errors.New("sse: carriage return without line feed")
	// ErrNoMemory is returned when there is no memory for a long event.
	ErrNoMemory = errors.New("sse: no memory for a long event")
	// ErrTruncated is returned when the stream ends within an event.
	ErrTruncated = errors.New("sse: stream ended within an event")

	dataField = []byte("data:")
)

type (
	// Memory grants memory.
	Memory interface {
		Reserve(n int64) bool
		Release(n int64)
	}

	// Reader splits a stream into complete events. Set the fields before the first use.
	Reader struct {
		Source io.Reader
		Most   int    // Maximum length of an event in bytes; DefaultMaxEventBytes if zero.
		Memory Memory // Grants the memory for long events; unlimited if nil.

		buffer    []byte // Data read from the source.
		start     int    // Start of the data in buffer that Next has not returned yet.
		lineStart int    // Start of the current line in buffer.
		searched  int    // End of the data in buffer that was searched for line feeds.
		err       error  // Error of the last read.
	}
)

// Next returns the next event, including the blank line that ends it. The slice is valid until the next call. At the
// end of the stream the error is io.EOF, or ErrTruncated if the last event is incomplete. Other errors are
// ErrEventTooLong, ErrBareCarriageReturn, io.ErrNoProgress and those of the source.
func (r *Reader) Next() ([]byte, error) {
	r.releaseBuffer()
	for {
		if event := r.findEvent(); event != nil {
			return event, validate(event, r.maxBytes())
		}
		if len(r.buffer)-r.start > r.maxBytes() {
			return nil, ErrEventTooLong
		}
		if r.err != nil {
			return nil, r.endError()
		}
		r.fill()
	}
}

// Data returns the value of the first data field of an event, without surrounding white space, or nil if the event has
// no data field.
func Data(event []byte) []byte {
	for len(event) > 0 {
		line := event
		if end := bytes.IndexByte(event, '\n'); end >= 0 {
			line = event[:end]
			event = event[end+1:]
		} else {
			event = nil
		}
		if value, ok := bytes.CutPrefix(line, dataField); ok {
			return bytes.TrimSpace(value)
		}
	}
	return nil
}

func (r *Reader) maxBytes() int { return cmp.Or(r.Most, DefaultMaxEventBytes) }

// validate checks the length of an event and that each carriage return is followed by a line feed.
func validate(event []byte, maxBytes int) error {
	if len(event) > maxBytes {
		return ErrEventTooLong
	}
	for rest := event; ; {
		index := bytes.IndexByte(rest, '\r')
		if index < 0 {
			return nil
		}
		if rest[index+1] != '\n' {
			return ErrBareCarriageReturn
		}
		rest = rest[index+1:]
	}
}

// releaseBuffer empties a fully consumed buffer and frees it if it has grown for a long event.
func (r *Reader) releaseBuffer() {
	if r.start == len(r.buffer) {
		if cap(r.buffer) > minBufferBytes {
			r.release(cap(r.buffer))
			r.buffer = nil
		}
		r.buffer = r.buffer[:0]
		r.start, r.lineStart, r.searched = 0, 0, 0
	}
}

// findEvent searches for the blank line that ends an event. It returns nil if the buffer holds no complete event.
func (r *Reader) findEvent() []byte {
	for {
		index := bytes.IndexByte(r.buffer[r.searched:], '\n')
		if index < 0 {
			r.searched = len(r.buffer)
			return nil
		}
		index += r.searched
		blank := index == r.lineStart || index == r.lineStart+1 && r.buffer[r.lineStart] == '\r'
		r.lineStart, r.searched = index+1, index+1
		if blank {
			event := r.buffer[r.start:r.searched]
			r.start = r.searched
			return event
		}
	}
}

// fill appends data from the source to the buffer.
func (r *Reader) fill() {
	if len(r.buffer) == cap(r.buffer) && !r.grow() {
		r.err = ErrNoMemory
		return
	}
	for range maxEmptyReads {
		n, err := r.Source.Read(r.buffer[len(r.buffer):cap(r.buffer)])
		r.buffer = r.buffer[:len(r.buffer)+n]
		r.err = err
		if n > 0 || err != nil {
			return
		}
	}
	r.err = io.ErrNoProgress
}

// grow makes room in a full buffer. If at least half of it was consumed, the rest is moved to the front, otherwise to a
// buffer of twice the size. It reports whether there was memory for that.
func (r *Reader) grow() bool {
	unread := r.buffer[r.start:]
	target := r.buffer[:0]
	if len(unread) > cap(r.buffer)/2 || cap(r.buffer) == 0 {
		next := max(minBufferBytes, 2*cap(r.buffer))
		if next > minBufferBytes && r.Memory != nil && !r.Memory.Reserve(int64(next)) {
			return false
		}
		if cap(r.buffer) > minBufferBytes {
			defer r.release(cap(r.buffer))
		}
		target = make([]byte, 0, next)
	}
	r.buffer = append(target, unread...)
	r.lineStart -= r.start
	r.searched -= r.start
	r.start = 0
	return true
}

func (r *Reader) release(n int) {
	if r.Memory != nil {
		r.Memory.Release(int64(n))
	}
}

// endError returns the error for a stream that has no further complete event.
func (r *Reader) endError() error {
	if r.err == io.EOF && r.start < len(r.buffer) {
		return ErrTruncated
	}
	return r.err
}
