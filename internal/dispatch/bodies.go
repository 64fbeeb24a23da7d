package dispatch

import (
	"io"
	"sync/atomic"
)

const (
	// defaultMaxBodyBytes is the size limit of a body until there is a configuration.
	defaultMaxBodyBytes = 4 << 20
	// initialBufferBytes is the initial buffer size for a body of unknown length.
	initialBufferBytes = 4 << 10
)

type (
	// BodyReader reads request bodies and limits the memory that they take in total. Set the fields before first use.
	BodyReader struct {
		Most  int64        // Limit of all bodies together, in bytes.
		Limit func() int64 // Returns the size limit of one body in bytes; zero selects the default.

		reservedBytes atomic.Int64
	}
)

// Read reads a whole body. The length is -1 if it is unknown. Read returns the body and a function that releases its
// memory, or the reason why it was not read.
func (b *BodyReader) Read(body io.Reader, length int64) ([]byte, func(), Reason) {
	limit := b.Limit()
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if length > limit {
		return nil, nil, TooLarge
	}
	if length == 0 {
		return nil, func() {}, ""
	}
	reserved := length
	if length < 0 {
		reserved = initialBufferBytes
	}
	if b.reservedBytes.Add(reserved) > b.Most {
		b.reservedBytes.Add(-reserved)
		return nil, nil, OutOfMemory
	}
	data := make([]byte, 0, reserved)
	for {
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF || err == nil && int64(len(data)) == length {
			return data, func() { b.reservedBytes.Add(-reserved) }, ""
		}
		reason := Reason("")
		switch {
		case err != nil:
			reason = Malformed
		case int64(len(data)) > limit:
			reason = TooLarge
		case len(data) == cap(data) && b.reservedBytes.Add(reserved) > b.Most:
			b.reservedBytes.Add(-reserved)
			reason = OutOfMemory
		case len(data) == cap(data):
			data = append(make([]byte, 0, 2*cap(data)), data...)
			reserved *= 2
		}
		if reason != "" {
			b.reservedBytes.Add(-reserved)
			return nil, nil, reason
		}
	}
}
