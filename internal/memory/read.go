package memory

import (
	"errors"
	"io"
)

const (
	// initialReadBytes is the size of the first buffer of ReadAll.
	initialReadBytes = 4 << 10
	// maxInitialReadBytes limits the first buffer for data of known length, which may not arrive.
	maxInitialReadBytes = 64 << 10
)

var (
	// ErrNoMemory is returned when the budget has no room.
	ErrNoMemory = errors.New("memory: the memory for requests is used up")
)

// ReadAll reads a reader to its end. It reserves the memory for each buffer before it allocates it, and keeps that of the
// result reserved. The length is -1 if it is unknown. The error is that of the reader or ErrNoMemory.
func ReadAll(reader io.Reader, length int64, reserve func(n int64) bool, release func(n int64)) ([]byte, error) {
	size := int64(initialReadBytes)
	if length >= 0 {
		size = min(length+1, maxInitialReadBytes) // One more, to see the end.
	}
	if !reserve(size) {
		return nil, ErrNoMemory
	}
	data := make([]byte, 0, size)
	for {
		n, err := reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			release(size)
			return nil, err
		case len(data) < cap(data):
			continue
		}
		next := 2 * size
		if length >= 0 && length >= size {
			next = min(next, length+1)
		}
		if !reserve(next) {
			release(size)
			return nil, ErrNoMemory
		}
		data = append(make([]byte, 0, next), data...)
		release(size)
		size = next
	}
}
