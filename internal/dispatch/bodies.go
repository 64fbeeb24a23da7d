package dispatch

import (
	"io"
	"sync/atomic"
)

const (
	// defaultBody is the longest body before a configuration says otherwise.
	defaultBody = 4 << 20
	// firstBuffer is the buffer of a body of unknown length.
	firstBuffer = 4 << 10
)

type (
	// Bodies reads request bodies and bounds the memory that all of them take. Set the fields before first use.
	Bodies struct {
		Most  int64        // Bytes of all bodies together.
		Limit func() int64 // Longest body; defaultBody if zero.

		used atomic.Int64
	}
)

// Read reads a whole body whose length is known, or -1. It returns the function that gives the memory back, or why the
// body was not read.
func (b *Bodies) Read(body io.Reader, length int64) ([]byte, func(), Reason) {
	limit := b.Limit()
	if limit <= 0 {
		limit = defaultBody
	}
	if length > limit {
		return nil, nil, TooLarge
	}
	if length == 0 {
		return nil, func() {}, ""
	}
	taken := length
	if length < 0 {
		taken = firstBuffer
	}
	if b.used.Add(taken) > b.Most {
		b.used.Add(-taken)
		return nil, nil, Memory
	}
	data := make([]byte, 0, taken)
	for {
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF || err == nil && int64(len(data)) == length {
			return data, func() { b.used.Add(-taken) }, ""
		}
		reason := Reason("")
		switch {
		case err != nil:
			reason = Malformed
		case int64(len(data)) > limit:
			reason = TooLarge
		case len(data) == cap(data) && b.used.Add(taken) > b.Most:
			b.used.Add(-taken)
			reason = Memory
		case len(data) == cap(data):
			data = append(make([]byte, 0, 2*cap(data)), data...)
			taken *= 2
		}
		if reason != "" {
			b.used.Add(-taken)
			return nil, nil, reason
		}
	}
}
