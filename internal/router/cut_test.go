package router_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"citronslip/internal/harness"
)

const (
	// cutSettleTime is how long after the begin of a cut the requests of the router are served again.
	cutSettleTime = 3 * time.Second
	// cutCallTimeout is how long a caller waits in these tests.
	cutCallTimeout = time.Second
)

type (
	// cutFleet is a fleet in which each router has a network to the backend servers that can be cut.
	cutFleet struct {
		fleet
		log      logBuffer
		requests int // Requests sent so far.
	}

	// logBuffer holds the log lines of several routers.
	logBuffer struct {
		mu     sync.Mutex
		buffer bytes.Buffer
	}
)

// Write appends a log line.
func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(line)
}

// startCut runs a number of routers with two engines and two booking servers.
func startCut(t *testing.T, routers int) *cutFleet {
	t.Helper()
	f := &cutFleet{}
	for range routers {
		f.networks = append(f.networks, &harness.Network{})
	}
	logger := zerolog.New(&f.log)
	f.logs = &logger
	f.start(t, harness.NewInventory(testKey, 2, 100_000_000), routers)
	return f
}

// serve sends requests of all kinds to a router for a time, and returns how many of them were served.
func (f *cutFleet) serve(router int, duration time.Duration) (served, sent int) {
	for begin := time.Now(); time.Since(begin) < duration; time.Sleep(10 * time.Millisecond) {
		for _, kind := range []func() error{
			func() error { return f.chatOnce(router, false) },
			func() error { return f.chatOnce(router, true) },
			func() error { return f.booking(router, http.MethodGet, "") },
			func() error { return f.booking(router, http.MethodPost, "") },
			func() error { return f.booking(router, http.MethodPost, fmt.Sprintf("visit-%d", f.requests)) },
		} {
			sent++
			f.requests++
			if kind() == nil {
				served++
			}
		}
	}
	return served, sent
}

// chatOnce sends a chat and checks that the answer is that of its prompt.
func (f *cutFleet) chatOnce(router int, stream bool) error {
	ctx, cancel := context.WithTimeout(f.t.Context(), cutCallTimeout)
	defer cancel()
	words := fmt.Sprintf("bed%d lemon", f.requests)
	got, err := f.send(ctx, http.MethodPost, f.url(router, "/v1/chat/completions"), chatBody(words, 3, stream))
	if err != nil {
		return err
	}
	return checkAnswer(got, words, 3, stream)
}

// booking sends a request to the booking service, with an idempotency key unless it is empty.
func (f *cutFleet) booking(router int, method, key string) error {
	ctx, cancel := context.WithTimeout(f.t.Context(), cutCallTimeout)
	defer cancel()
	var headers []string
	if key != "" {
		headers = []string{"Idempotency-Key", key}
	}
	body := ""
	if method == http.MethodPost {
		body = fmt.Sprintf(`{"visit":%d}`, f.requests)
	}
	got, err := f.send(ctx, method, f.url(router, "/booking"), body, headers...)
	if err == nil && got.status != http.StatusOK {
		return fmt.Errorf("status %d: %s", got.status, got.body)
	}
	return err
}

// Guards against a router that refuses its callers while other routers reach the backend servers.
func TestRouterCutOffFromServersServesItsCallers(t *testing.T) {
	for name, mode := range map[string]harness.CutMode{"hang": harness.HangCut, "reset": harness.ResetCut, "refuse": harness.RefuseCut} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startCut(t, 3)
			served, sent := f.serve(0, time.Second)
			is.Equal(served, sent)
			f.networks[0].Cut(mode)
			f.serve(0, cutSettleTime)
			served, sent = f.serve(0, 2*time.Second)
			othersServed, othersSent := f.serve(1, time.Second)
			t.Logf("served %d of %d requests at the router that was cut off, %d of %d at another", served, sent, othersServed, othersSent)
			is.Equal(othersServed, othersSent)
			is.True(20*served >= 19*sent)
		})
	}
}
