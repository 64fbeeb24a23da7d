package event_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/event"
)

type (
	// gatedWriter writes once its gate is closed.
	gatedWriter struct {
		bytes.Buffer
		gate chan struct{}
	}
)

func (g *gatedWriter) Write(data []byte) (int, error) {
	<-g.gate
	return g.Buffer.Write(data)
}

// Guards against long lines that take memory without limit while the log is not read, and against lines that are lost
// uncounted.
func TestQueueHoldsLimitedBytes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	out := &gatedWriter{gate: make(chan struct{})}
	queue := &event.Queue{Out: out, Bytes: 10_000}
	line := strings.Repeat("x", 999) + "\n"
	for range 100 {
		n, err := queue.Write([]byte(line))
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	close(out.gate)
	queue.Close()
	written := strings.Count(out.String(), line)
	is.True(written >= 10 && written <= 20) // Those that wait, and those that are being written.
	is.True(strings.Contains(out.String(), `"event":906`))
}
