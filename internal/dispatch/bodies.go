package dispatch

import (
	"errors"
	"io"
	"os"

	"citronslip/internal/memory"
)

const (
	// defaultMaxBodyBytes is the size limit of a body until there is a configuration.
	defaultMaxBodyBytes = 4 << 20
	// initialBufferBytes is the initial buffer size for a body of unknown length.
	initialBufferBytes = 4 << 10
	// maxInitialBufferBytes limits the initial buffer for a body of known length, so that a caller that announces a long
	// body and sends nothing takes little memory.
	maxInitialBufferBytes = 64 << 10
)

type (
	// BodyReader reads request bodies and limits the memory that they take in total. Set the fields before first use.
	BodyReader struct {
		Budget *memory.Budget
		Limit  func() int64 // Returns the size limit of one body in bytes; zero selects the default.
	}
)

// MaxBytes returns the size limit of one body.
func (b *BodyReader) MaxBytes() int64 {
	if limit := b.Limit(); limit > 0 {
		return limit
	}
	return defaultMaxBodyBytes
}

// Read reads a whole body. The length is -1 if it is unknown. Read returns the body and a function that releases its
// memory, or the reason why it was not read.
func (b *BodyReader) Read(body io.Reader, length int64) ([]byte, func(), Reason) {
	limit := b.MaxBytes()
	if length > limit {
		return nil, nil, TooLarge
	}
	if length == 0 {
		return nil, func() {}, ""
	}
	if !b.Budget.HasRoom(length) {
		return nil, nil, OutOfMemory // Before a part of it was read in vain.
	}
	reserved := int64(initialBufferBytes)
	if length > 0 {
		reserved = min(length, maxInitialBufferBytes)
	}
	held := &memory.Hold{Budget: b.Budget}
	if !held.Reserve(reserved) {
		return nil, nil, OutOfMemory
	}
	data := make([]byte, 0, reserved)
	for {
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF || err == nil && int64(len(data)) == length {
			return data, held.End, ""
		}
		reason := Reason("")
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			reason = BodyTooSlow
		case err != nil:
			reason = Malformed
		case int64(len(data)) > limit:
			reason = TooLarge
		case len(data) == cap(data):
			// The old buffer counts until its contents are copied.
			next := 2 * reserved
			if length > 0 {
				next = min(next, length)
			}
			if !held.Reserve(next) {
				reason = OutOfMemory
				break
			}
			data = append(make([]byte, 0, next), data...)
			held.Release(reserved)
			reserved = next
		}
		if reason != "" {
			held.End()
			return nil, nil, reason
		}
	}
}
