package router_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/harness"
)

const (
	engineDowntime = 100 * time.Millisecond
	// streamTokens is the output limit of a stream. It makes streams long enough to be interrupted often.
	streamTokens    = 60
	upgradedEngines = 6
	upgradeCallers  = 12
)

type (
	// writtenStream tells who wrote a streamed answer.
	writtenStream struct {
		software []string // Software versions of the engines, each once, in order.
		attempts []string // Attempts that wrote events, each once, in order.
		complete bool     // Whether the end marker came.
		failed   bool     // Whether the stream ended with an error event.
	}

	// streamCounts counts the streams of a test by their ends.
	streamCounts struct {
		complete atomic.Int64
		moved    atomic.Int64 // Complete, with events of several attempts.
		failed   atomic.Int64 // Ended with an error event, or refused before the first event.
	}
)

// parseStream reads who wrote a streamed answer.
func parseStream(body string) (writtenStream, error) {
	var result writtenStream
	for line := range strings.Lines(body) {
		data, isData := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		var chunk struct {
			ID       string `json:"id"`
			Software string `json:"system_fingerprint"`
		}
		switch {
		case strings.HasPrefix(line, "event: error"):
			result.failed = true
		case !isData || result.failed:
		case data == "[DONE]":
			result.complete = true
		case json.Unmarshal([]byte(data), &chunk) != nil:
			return result, errors.New("invalid event: " + data)
		case chunk.Software != "":
			result.software = appendNew(result.software, chunk.Software)
			result.attempts = appendNew(result.attempts, chunk.ID)
		}
	}
	return result, nil
}

func appendNew(list []string, item string) []string {
	if slices.Contains(list, item) {
		return list
	}
	return append(list, item)
}

// Guards against streams that engines of two software versions wrote while a rolling upgrade, a rollback and crashes
// interrupt them, and against streams that end without an error although they are not complete.
func TestRollingUpgradeJoinsNoStreams(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	inv := harness.NewInventory(testKey, upgradedEngines, 1<<40)
	inv.Models[0].Migratable = true
	f := start(t, inv, 2)
	for _, engine := range f.standins.Engines {
		engine.Down = engineDowntime
	}
	var counts streamCounts
	var stopped atomic.Bool
	var callers sync.WaitGroup
	for caller := range upgradeCallers {
		callers.Go(func() {
			for n := 0; !stopped.Load(); n++ {
				counts.add(t, f, caller+n, fmt.Sprintf("bed%d tree%d", caller, n))
			}
		})
	}
	waitForMore := func(count int64) {
		t.Helper()
		target := counts.total() + count
		eventually(t, "more streams end", func() bool { return counts.total() >= target })
	}
	waitForMore(2 * upgradeCallers)
	for _, software := range []string{"2", "1", "2"} {
		for i := range upgradedEngines {
			f.standins.Engines[fmt.Sprint("planner", i+1)].Upgrade(software)
			waitForMore(upgradeCallers)
			f.standins.Engines[fmt.Sprint("planner", (i+upgradedEngines/2)%upgradedEngines+1)].Crash()
			waitForMore(upgradeCallers)
		}
	}
	stopped.Store(true)
	callers.Wait()
	t.Logf("%d complete, %d of them moved, %d failed", counts.complete.Load(), counts.moved.Load(), counts.failed.Load())
	is.True(counts.moved.Load() > 0)
}

// add sends a streamed request and counts how it ended.
func (c *streamCounts) add(t *testing.T, f *fleet, router int, content string) {
	response, err := f.chat(router, chatBody(content, streamTokens, true))
	if err != nil {
		t.Errorf("%s: %v", content, err)
		return
	}
	if response.status != http.StatusOK {
		c.failed.Add(1)
		return
	}
	stream, err := parseStream(response.body)
	switch {
	case err != nil:
		t.Errorf("%s: %v", content, err)
	case len(stream.software) > 1:
		t.Errorf("%s: software versions %v wrote one stream, attempts %v", content, stream.software, stream.attempts)
	case stream.complete == stream.failed:
		t.Errorf("%s: the stream is neither complete nor ended with an error: %q", content, response.body)
	case stream.failed:
		c.failed.Add(1)
	default:
		c.complete.Add(1)
		if len(stream.attempts) > 1 {
			c.moved.Add(1)
		}
	}
}

func (c *streamCounts) total() int64 { return c.complete.Load() + c.failed.Load() }
