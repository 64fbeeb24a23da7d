package caller

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"citronslip/internal/dial"
)

const (
	// defaultIdleTimeout applies if Frontend.Idle is not set.
	defaultIdleTimeout = time.Minute
	// writeChunkBytes is the size of the chunks of a long answer. The caller must accept each of them within the idle
	// timeout.
	writeChunkBytes = 64 << 10
	// bodyDrainTimeout bounds the time in which the server reads the rest of a body before it sends a refusal.
	bodyDrainTimeout = time.Second
)

type (
	// ioWatchdog ends reads from and writes to a caller that make no progress within the idle timeout. A read or write
	// only records when it started; a timer checks that and, once it took too long, sets a deadline in the past. So a
	// token event changes no deadline, which in HTTP/2 would cost a message to the connection's goroutine and an
	// allocation.
	ioWatchdog struct {
		http.ResponseWriter
		controller  *http.ResponseController
		body        io.ReadCloser
		startedAt   time.Time
		idleTimeout time.Duration
		maxDuration time.Duration // Time after startedAt at which all reads end; writes end one idleTimeout later.
		http1       bool          // Whether the protocol is HTTP/1, whose connection deadlines outlast the request.
		isStopping  func() bool

		readStart  atomic.Int64 // Start of the read in progress in nanoseconds after startedAt; 0 if there is none.
		writeStart atomic.Int64 // Start of the write in progress, in the same form.
		bodyRead   atomic.Bool  // Whether the body was read to its end.

		mu      sync.Mutex
		timer   *time.Timer
		stopped bool
	}

	// watchedBody is the request body that the handler reads.
	watchedBody struct {
		*ioWatchdog
	}

	// bodyRemainder is the part of a request body that is streamed to the backend server. It records whether reading it
	// failed, to tell a fault of the caller from one of the backend server.
	bodyRemainder struct {
		io.Reader
		readFailed atomic.Bool
	}
)

// withWatchdog wraps a handler so that requests of callers that make no progress are ended.
func (f *Frontend) withWatchdog(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		watchdog := f.newWatchdog(w, r)
		defer watchdog.stop()
		defer func() {
			if cause := recover(); cause != nil {
				dial.AbortHTTP10(w, r)
				panic(cause)
			}
		}()
		r.Body = watchedBody{watchdog}
		next.ServeHTTP(watchdog, r)
	})
}

func (f *Frontend) newWatchdog(w http.ResponseWriter, r *http.Request) *ioWatchdog {
	watchdog := &ioWatchdog{
		ResponseWriter: w,
		controller:     http.NewResponseController(w),
		body:           r.Body,
		startedAt:      time.Now(),
		idleTimeout:    f.Idle,
		maxDuration:    f.Duration,
		http1:          r.ProtoMajor == 1,
		isStopping:     f.isStopping,
	}
	if watchdog.idleTimeout <= 0 {
		watchdog.idleTimeout = defaultIdleTimeout
	}
	if watchdog.http1 {
		// The previous request on the connection may have left a deadline.
		_ = watchdog.controller.SetWriteDeadline(time.Time{})
	}
	watchdog.mu.Lock()
	defer watchdog.mu.Unlock()
	watchdog.timer = time.AfterFunc(min(watchdog.idleTimeout, watchdog.maxDuration), watchdog.checkProgress)
	return watchdog
}

// Unwrap gives an http.ResponseController access to the server's writer.
func (w *ioWatchdog) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader sends the header. While the router stops, it asks the caller to close the connection, so that no caller
// sends a request on a connection that the end of the stop closes.
func (w *ioWatchdog) WriteHeader(status int) {
	if w.isStopping() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes in chunks, each of which the caller must accept within the idle timeout.
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

// FlushError sends buffered data to the caller.
func (w *ioWatchdog) FlushError() error {
	w.writeStart.Store(w.elapsed())
	defer w.writeStart.Store(0)
	return w.controller.Flush()
}

// Read reads from the body under the watchdog.
func (b watchedBody) Read(data []byte) (int, error) {
	b.readStart.Store(b.elapsed())
	// The check at the time limit does not see a read that begins later.
	if b.elapsed() >= int64(b.maxDuration) {
		b.endReads()
	}
	n, err := b.body.Read(data)
	b.readStart.Store(0)
	if errors.Is(err, io.EOF) {
		b.bodyRead.Store(true)
	}
	return n, err
}

// Close closes the body.
func (b watchedBody) Close() error { return b.body.Close() }

// elapsed returns the nanoseconds since startedAt, at least 1.
func (w *ioWatchdog) elapsed() int64 { return max(int64(time.Since(w.startedAt)), 1) }

// endReads ends the read in progress and all further reads, unless the body was read to its end.
func (w *ioWatchdog) endReads() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped && !w.bodyRead.Load() {
		_ = w.controller.SetReadDeadline(w.startedAt)
	}
}

// checkProgress ends a read or write that took too long, and schedules the check of the next one that could. One check
// is at the time limit of reads.
func (w *ioWatchdog) checkProgress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	now := time.Duration(w.elapsed())
	untilNext := w.idleTimeout
	if now < w.maxDuration {
		untilNext = min(untilNext, w.maxDuration-now)
	}
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

// abortWrite ends a write. In HTTP/1 the server reads the rest of a body before it sends a refusal, so that read is
// ended first.
func (w *ioWatchdog) abortWrite() {
	if w.http1 && !w.bodyRead.Load() {
		_ = w.controller.SetReadDeadline(w.startedAt)
		_ = w.controller.SetWriteDeadline(time.Now().Add(bodyDrainTimeout))
		return
	}
	_ = w.controller.SetWriteDeadline(w.startedAt)
}

// stop stops the watchdog and sets deadlines for what follows: the server still reads the rest of a body, in HTTP/1
// before the answer, and sends buffered data.
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

// Read reads from the body and records whether that failed.
func (r *bodyRemainder) Read(data []byte) (int, error) {
	n, err := r.Reader.Read(data)
	if err != nil && !errors.Is(err, io.EOF) {
		r.readFailed.Store(true)
	}
	return n, err
}
