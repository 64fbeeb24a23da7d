// Package sse reads streams of server-sent events.
package sse

import (
	"bytes"
	"cmp"
	"errors"
	"io"
)

const (
	// MaxBytes is the longest event unless the reader says otherwise.
	MaxBytes = 1 << 20
	// leastBytes is the size of a reader's buffer unless an event needs more. Token events are far shorter, and a router
	// keeps one buffer for each open stream.
	leastBytes = 4 << 10
	// emptyReads is how many reads in a row may return nothing.
	emptyReads = 100
)

var (
	// ErrLong says that an event is longer than allowed.
	ErrLong = errors.New("sse: event too long")
	// ErrLine says that a line ends with a carriage return alone. Parsers differ in what they make of it, so that the
	// reader's events might not be those of the stream's receiver.
	ErrLine = errors.New("sse: carriage return within a line")
	// ErrPartial says that the stream ended within an event.
	ErrPartial = errors.New("sse: stream ended within an event")

	dataField = []byte("data:")
)

type (
	// Reader returns the whole events of a stream. The fields are set before the first use.
	Reader struct {
		Source io.Reader
		Most   int // Longest event in bytes; MaxBytes if zero.

		buffer []byte // Bytes that were read; those before start were returned.
		start  int
		line   int // Start of the line in progress.
		seen   int // End of what was searched.
		err    error
	}
)

// Next returns the next event with the blank line that ends it. The bytes are valid until the next call. At the end of
// the stream the error is io.EOF, or ErrPartial if an event was cut short; other errors are ErrLong, ErrLine and those
// of the source.
func (r *Reader) Next() ([]byte, error) {
	r.release()
	for {
		if event := r.find(); event != nil {
			return event, check(event, r.most())
		}
		if len(r.buffer)-r.start > r.most() {
			return nil, ErrLong
		}
		if r.err != nil {
			return nil, r.end()
		}
		r.fill()
	}
}

// Data returns the first data line of an event, without the field's name and the space around the value, or nil if it
// has none.
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

func (r *Reader) most() int { return cmp.Or(r.Most, MaxBytes) }

func check(event []byte, most int) error {
	if len(event) > most {
		return ErrLong
	}
	for rest := event; ; {
		at := bytes.IndexByte(rest, '\r')
		if at < 0 {
			return nil
		}
		if rest[at+1] != '\n' {
			return ErrLine
		}
		rest = rest[at+1:]
	}
}

// release gives up a buffer that a long event needed, once it is empty.
func (r *Reader) release() {
	if r.start == len(r.buffer) {
		if cap(r.buffer) > leastBytes {
			r.buffer = nil
		}
		r.buffer = r.buffer[:0]
		r.start, r.line, r.seen = 0, 0, 0
	}
}

// find looks for the blank line that ends an event.
func (r *Reader) find() []byte {
	for {
		at := bytes.IndexByte(r.buffer[r.seen:], '\n')
		if at < 0 {
			r.seen = len(r.buffer)
			return nil
		}
		at += r.seen
		blank := at == r.line || at == r.line+1 && r.buffer[r.line] == '\r'
		r.line, r.seen = at+1, at+1
		if blank {
			event := r.buffer[r.start:r.seen]
			r.start = r.seen
			return event
		}
	}
}

// fill reads more bytes behind those in the buffer.
func (r *Reader) fill() {
	if len(r.buffer) == cap(r.buffer) {
		r.grow()
	}
	for range emptyReads {
		n, err := r.Source.Read(r.buffer[len(r.buffer):cap(r.buffer)])
		r.buffer = r.buffer[:len(r.buffer)+n]
		r.err = err
		if n > 0 || err != nil {
			return
		}
	}
	r.err = io.ErrNoProgress
}

// grow makes room: by dropping what was returned if that is half the buffer, else by a larger buffer.
func (r *Reader) grow() {
	kept := r.buffer[r.start:]
	target := r.buffer[:0]
	if len(kept) > cap(r.buffer)/2 || cap(r.buffer) == 0 {
		target = make([]byte, 0, max(leastBytes, 2*cap(r.buffer)))
	}
	r.buffer = append(target, kept...)
	r.line -= r.start
	r.seen -= r.start
	r.start = 0
}

// end returns why there is no further event.
func (r *Reader) end() error {
	if r.err == io.EOF && r.start < len(r.buffer) {
		return ErrPartial
	}
	return r.err
}
