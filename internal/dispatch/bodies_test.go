package dispatch_test

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"citronslip/internal/dispatch"
	"citronslip/internal/memory"
)

// Guards against memory that is reserved for what a caller only announces, that is kept after a failure, or that is taken
// beyond the budget.
func TestBodiesTakeMemoryAsTheyArrive(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	budget := &memory.Budget{Limit: 1 << 20}
	bodies := &dispatch.BodyReader{Budget: budget, Limit: func() int64 { return 2 << 20 }}
	text := strings.Repeat("x", 300_000)
	reader, writer := io.Pipe()
	read := make(chan dispatch.Reason)
	go func() {
		_, _, reason := bodies.Read(reader, 900_000)
		read <- reason
	}()
	_, err := writer.Write([]byte("x")) // Returns once the reader has its buffer.
	is.NoErr(err)
	is.True(budget.Used() <= 64<<10)
	is.NoErr(writer.CloseWithError(os.ErrDeadlineExceeded))
	is.Equal(<-read, dispatch.BodyTooSlow)
	is.Equal(budget.Used(), int64(0))
	for _, length := range []int64{int64(len(text)), -1} {
		data, release, reason := bodies.Read(iotest.HalfReader(strings.NewReader(text)), length)
		is.Equal(reason, dispatch.Reason(""))
		is.True(bytes.Equal(data, []byte(text)))
		is.True(budget.Used() >= int64(len(text)))
		_, _, reason = bodies.Read(strings.NewReader(strings.Repeat("x", 900_000)), -1)
		is.Equal(reason, dispatch.OutOfMemory)
		_, _, reason = bodies.Read(strings.NewReader(""), 900_000)
		is.Equal(reason, dispatch.OutOfMemory)
		release()
		is.Equal(budget.Used(), int64(0))
	}
}
