package event

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// flushInterval is the maximum time for which a line stays in the buffer.
	flushInterval = 100 * time.Millisecond
	// flushBytes is the size at which the buffer is written immediately.
	flushBytes = 32 << 10
)

type (
	// Buffer batches log lines, since the system call for each line is most of the cost of logging. Warnings and errors
	// are written immediately, together with the lines before them. A process that is killed loses the lines of up to
	// the last 100 ms. Set Out before first use.
	Buffer struct {
		Out io.Writer

		mu      sync.Mutex
		pending []byte
		timer   *time.Timer // Running while lines are buffered; otherwise nil.
	}
)

// Write writes a line of unknown level immediately, together with the lines before it.
func (b *Buffer) Write(line []byte) (int, error) {
	return b.WriteLevel(zerolog.NoLevel, line)
}

// WriteLevel buffers a line, or writes it immediately if its level is above info or the buffer is full.
func (b *Buffer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(b.pending, line...)
	if level > zerolog.InfoLevel || len(b.pending) >= flushBytes {
		return len(line), b.flush()
	}
	if b.timer == nil {
		b.timer = time.AfterFunc(flushInterval, func() { b.Flush() })
	}
	return len(line), nil
}

// Flush writes all buffered lines.
func (b *Buffer) Flush() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.flush()
}

func (b *Buffer) flush() error {
	if b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
	if len(b.pending) == 0 {
		return nil
	}
	_, err := b.Out.Write(b.pending)
	b.pending = b.pending[:0]
	return err
}
