package caller

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultIdleTimeout is used where a Front has no idle time.
	defaultIdleTimeout = time.Minute
	// writeChunkBytes is the part of a long answer that must be taken within the idle time.
	writeChunkBytes = 64 << 10
	// bodyDrainTimeout bounds what the server reads of the rest of a body before it sends a refusal.
	bodyDrainTimeout = time.Second
)

type (
	// ioWatchdog ends reads from and writes to a caller that make no progress within the idle time. A read or write only notes
	// its start; a timer looks at it and sets a deadline that has passed once it took too long. So a token event costs no
	// change of a deadline, which in HTTP/2 is a message to the connection's goroutine and an allocation.
	ioWatchdog struct {
		http.ResponseWriter
		controller  *http.ResponseController
		body        io.ReadCloser
		startedAt   time.Time
		idleTimeout time.Duration
		maxDuration time.Duration // Time after which all reads end; writes end an idle time later.
		http1       bool          // Whether the protocol is HTTP/1, whose connection deadlines outlast the request.

		readStart  atomic.Int64 // Start of the read in progress in nanoseconds after begin, 0 if there is none.
		writeStart atomic.Int64 // The same of the write.
		bodyRead   atomic.Bool  // Whether the body was read to its end.

		mu      sync.Mutex
		timer   *time.Timer
		stopped bool
	}

	// watchedBody is the request body as its handler reads it.
	watchedBody struct {
		*ioWatchdog
	}

	// bodyRemainder is the part of a body that streams through. It tells a fault of the caller from one of the backend server.
	bodyRemainder struct {
		io.Reader
		readFailed atomic.Bool
	}
)

// withWatchdog wraps a handler so that slow callers are given up.
func (f *Front) withWatchdog(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		watchdog := f.newWatchdog(w, r)
		defer watchdog.stop()
		r.Body = watchedBody{watchdog}
		next.ServeHTTP(watchdog, r)
	})
}

func (f *Front) newWatchdog(w http.ResponseWriter, r *http.Request) *ioWatchdog {
	watchdog := &ioWatchdog{
		ResponseWriter: w,
		controller:     http.NewResponseController(w),
		body:           r.Body,
		startedAt:      time.Now(),
		idleTimeout:    f.Idle,
		maxDuration:    f.Duration,
		http1:          r.ProtoMajor == 1,
	}
	if watchdog.idleTimeout <= 0 {
		watchdog.idleTimeout = defaultIdleTimeout
	}
	if watchdog.http1 {
		// The last request of the connection may have left a deadline.
		_ = watchdog.controller.SetWriteDeadline(time.Time{})
	}
	watchdog.mu.Lock()
	defer watchdog.mu.Unlock()
	watchdog.timer = time.AfterFunc(watchdog.idleTimeout, watchdog.checkProgress)
	return watchdog
}

// Unwrap lets a response controller reach the server's writer.
func (w *ioWatchdog) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write writes in pieces, each of which must be taken within the idle time.
func (w *ioWatchdog) Write(data []byte) (int, error) {
	total := 0
	for {
		chunk := data[total:min(total+writeChunkBytes, len(data))]
		w.writeStart.Store(w.elapsed())
		n, err := w.ResponseWriter.Write(chunk)
		w.writeStart.Store(0)
		total += n
		if err != nil || total == len(data) {
			return total, err
		}
	}
}

// FlushError sends what was written to the caller.
func (w *ioWatchdog) FlushError() error {
	w.writeStart.Store(w.elapsed())
	defer w.writeStart.Store(0)
	return w.controller.Flush()
}

// Read reads from the body.
func (b watchedBody) Read(data []byte) (int, error) {
	b.readStart.Store(b.elapsed())
	n, err := b.body.Read(data)
	b.readStart.Store(0)
	if errors.Is(err, io.EOF) {
		b.bodyRead.Store(true)
	}
	return n, err
}

// Close closes the body.
func (b watchedBody) Close() error { return b.body.Close() }

// elapsed returns the time since begin, never 0.
func (w *ioWatchdog) elapsed() int64 { return max(int64(time.Since(w.startedAt)), 1) }

// checkProgress ends a read or write that took too long and comes back when the next one could have.
func (w *ioWatchdog) checkProgress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	now := time.Duration(w.elapsed())
	untilNext := w.idleTimeout
	if start := time.Duration(w.readStart.Load()); start != 0 {
		remaining := min(start+w.idleTimeout, w.maxDuration) - now
		if remaining <= 0 {
			_ = w.controller.SetReadDeadline(w.startedAt)
			remaining = w.idleTimeout
		}
		untilNext = min(untilNext, remaining)
	}
	if start := time.Duration(w.writeStart.Load()); start != 0 {
		remaining := min(start, w.maxDuration) + w.idleTimeout - now
		if remaining <= 0 {
			w.abortWrite()
			remaining = w.idleTimeout
		}
		untilNext = min(untilNext, remaining)
	}
	w.timer.Reset(untilNext)
}

// abortWrite ends a write. In HTTP/1 the server reads the rest of a body before it sends a refusal, so that read ends first.
func (w *ioWatchdog) abortWrite() {
	if w.http1 && !w.bodyRead.Load() {
		_ = w.controller.SetReadDeadline(w.startedAt)
		_ = w.controller.SetWriteDeadline(time.Now().Add(bodyDrainTimeout))
		return
	}
	_ = w.controller.SetWriteDeadline(w.startedAt)
}

// stop ends the watch. The server still reads the rest of a body, in HTTP/1 ahead of the answer, and sends what is
// buffered.
func (w *ioWatchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	now := time.Now()
	_ = w.controller.SetWriteDeadline(now.Add(w.idleTimeout))
	if w.http1 && !w.bodyRead.Load() {
		_ = w.controller.SetReadDeadline(now.Add(bodyDrainTimeout))
	}
}

// Read notes that the caller's body failed.
func (r *bodyRemainder) Read(data []byte) (int, error) {
	n, err := r.Reader.Read(data)
	if err != nil && !errors.Is(err, io.EOF) {
		r.readFailed.Store(true)
	}
	return n, err
}
