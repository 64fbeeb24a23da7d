package event_test

import (
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"citronslip/internal/event"
)

type (
	// writeRecorder records the data of each write.
	writeRecorder struct {
		mu     sync.Mutex
		writes []string
	}
)

func (w *writeRecorder) Write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes = append(w.writes, string(data))
	return len(data), nil
}

func (w *writeRecorder) all() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writes
}

// Guards against lines that are lost, delayed too long or out of order, and against one write per line.
func TestBufferBatchesLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out writeRecorder
		buffer := &event.Buffer{Out: &out}
		logger := zerolog.New(buffer)
		for range 100 {
			event.RequestEnded.Log(&logger).Send()
		}
		is.Equal(len(out.all()), 0)
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		is.Equal(len(out.all()), 1)
		is.Equal(strings.Count(out.all()[0], "\n"), 100)
		event.RequestEnded.Log(&logger).Send()
		event.ShutdownTimedOut.Log(&logger).Send()
		is.Equal(len(out.all()), 2) // A warning is written immediately, after the lines before it.
		is.True(strings.Index(out.all()[1], `"event":100`) < strings.Index(out.all()[1], `"event":904`))
		event.RequestEnded.Log(&logger).Send()
		is.NoErr(buffer.Flush())
		is.Equal(len(out.all()), 3)
	})
}

// BenchmarkLogLine measures logging the line of a request to a file, directly and through a Buffer.
func BenchmarkLogLine(b *testing.B) {
	file, err := os.Create(b.TempDir() + "/log")
	if err != nil {
		b.Fatal(err)
	}
	defer file.Close()
	for name, out := range map[string]io.Writer{"direct": file, "buffer": &event.Buffer{Out: file}} {
		b.Run(name, func(b *testing.B) {
			logger := zerolog.New(out).With().Timestamp().Logger()
			for b.Loop() {
				event.RequestEnded.Log(&logger).Str("request", "mx8h9va9-1a90d195@127.0.0.1:43575-1").Str("account", "gardens").
					Str("service", "planning").Str("model", "planner").Str("result", "answered").Str("code", "").Int("attempts", 1).
					Int64("input", 60).Int64("output", 1).Dur("took", time.Millisecond).Send()
			}
		})
	}
}
