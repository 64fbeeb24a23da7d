package event_test

import (
	"bytes"
	"os"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"citronslip/internal/event"
)

func ExampleEvent_Log() {
	logger := zerolog.New(os.Stdout)
	event.RouterStarted.Log(&logger).Str("address", "127.0.0.1:8080").Send()
	// Output: {"level":"info","event":900,"message":"router started","address":"127.0.0.1:8080"}
}

// Guards against two events with the same number, and against events without a message or advice.
func TestNumbersAreUnique(t *testing.T) {
	is := is.New(t)
	seen := make(map[int]bool)
	for _, e := range event.Catalogue() {
		is.True(!seen[e.Number])
		is.True(e.Text != "" && e.Action != "")
		seen[e.Number] = true
	}
}

// Guards against events that are logged although the logger's level excludes them.
func TestLevelIsHonoured(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger := zerolog.New(&out).Level(zerolog.ErrorLevel)
	event.RouterStarted.Log(&logger).Send()
	is.Equal(out.String(), "")
}
