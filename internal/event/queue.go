package event

import (
	"fmt"
	"io"
	"sync"
)

const (
	// keptQueueBytes is the size up to which a queue keeps an empty buffer.
	keptQueueBytes = 64 << 10
)

type (
	// Queue passes log lines on without delaying those who write them. It holds a limited number of bytes, not of lines, since
	// a line may carry up to 90 KB of a caller's request. Lines beyond it are dropped and counted (event 906). Set the
	// exported fields before first use.
	Queue struct {
		Out   io.Writer
		Bytes int // Limit of the bytes that wait.

		once    sync.Once
		mu      sync.Mutex
		changed *sync.Cond
		pending []byte
		missed  int // Lines dropped since the last one that told their number.
		closed  bool
		done    chan struct{} // Closed when the last line has been passed on.
	}
)

// Write queues a line, or drops it if it has no room.
func (q *Queue) Write(line []byte) (int, error) {
	q.once.Do(q.start)
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending)+len(line) > q.Bytes {
		q.missed++
		return len(line), nil
	}
	q.pending = append(q.pending, line...)
	q.changed.Signal()
	return len(line), nil
}

// Close passes on the lines that wait. Write must not be called after it.
func (q *Queue) Close() {
	q.once.Do(q.start)
	q.mu.Lock()
	q.closed = true
	q.changed.Signal()
	q.mu.Unlock()
	<-q.done
}

func (q *Queue) start() {
	q.changed = sync.NewCond(&q.mu)
	q.done = make(chan struct{})
	go q.passOn()
}

// passOn passes lines on until the queue is closed and empty.
func (q *Queue) passOn() {
	defer close(q.done)
	var empty []byte
	for {
		lines, missed := q.next(empty[:0])
		if len(lines) == 0 {
			return
		}
		_, _ = q.Out.Write(lines) // There is nowhere to report that the log cannot be written.
		if missed > 0 {
			_, _ = fmt.Fprintf(q.Out, "{\"level\":\"warn\",\"event\":%d,\"message\":%q,\"missed\":%d}\n", LinesDropped.Number, LinesDropped.Text, missed)
		}
		empty = lines
		if cap(empty) > keptQueueBytes {
			empty = nil
		}
	}
}

// next waits for lines and returns them, or none once the queue is closed and empty. The empty buffer replaces theirs.
func (q *Queue) next(empty []byte) ([]byte, int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.pending) == 0 && !q.closed {
		q.changed.Wait()
	}
	lines, missed := q.pending, q.missed
	q.pending, q.missed = empty, 0
	return lines, missed
}
