package router_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"citronslip/internal/certificate"
	"citronslip/internal/harness"
	"citronslip/pkg/inventory"
)

const (
	// cutSettleTime is how long after the begin of a cut the requests of the router are served again.
	cutSettleTime = 3 * time.Second
	// cutCallTimeout is how long a caller waits in these tests.
	cutCallTimeout = time.Second
	// proxiedEvent is the event of a request that is sent through another router.
	proxiedEvent = 423
	// foundEvent is the event of a router that reaches a server to which the own way is broken.
	foundEvent = 421
)

var (
	// crashEvents are the events of a backend server that is taken for crashed.
	crashEvents = []int{320, 340}
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

// count returns how often an event was logged.
func (l *logBuffer) count(number int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buffer.String(), fmt.Sprintf(`"event":%d,`, number))
}

// startCut runs a number of routers with two engines and two booking servers.
func startCut(t *testing.T, routers int) *cutFleet {
	t.Helper()
	f := newCutFleet(routers)
	f.start(t, harness.NewInventory(testKey, 2, 100_000_000), routers)
	return f
}

// newCutFleet returns a fleet whose routers do not run yet.
func newCutFleet(routers int) *cutFleet {
	f := &cutFleet{}
	f.grace = maxWait
	for range routers {
		f.networks = append(f.networks, &harness.Network{})
	}
	logger := zerolog.New(&f.log)
	f.logs = &logger
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
			before := f.log.count(proxiedEvent)
			served, sent = f.serve(0, 2*time.Second)
			is.True(f.log.count(proxiedEvent) > before || mode == harness.RefuseCut) // Open connections live on.
			othersServed, othersSent := f.serve(1, time.Second)
			for _, crash := range crashEvents {
				is.Equal(f.log.count(crash), 0)
			}
			t.Logf("served %d of %d requests at the router that was cut off, %d of %d at another", served, sent, othersServed, othersSent)
			is.Equal(othersServed, othersSent)
			is.True(20*served >= 19*sent)
		})
	}
}

// Guards against a request that is given up while its response can still come on the connection on which it was sent.
func TestRequestInFlightIsAnsweredOnABrokenWay(t *testing.T) {
	const work = 2 * time.Second // Longer than it takes to notice the cut and to find another router.
	for name, mode := range map[string]harness.CutMode{"pause": harness.PauseCut, "refuse": harness.RefuseCut} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startCut(t, 2)
			f.serve(0, time.Second)
			for _, booking := range f.standins.Bookings {
				booking.Delay = work
			}
			time.AfterFunc(100*time.Millisecond, func() { f.networks[0].Cut(mode) })
			time.AfterFunc(100*time.Millisecond+work, func() { f.networks[0].Cut(harness.NoCut) })
			got, err := f.send(t.Context(), http.MethodGet, f.url(0, "/booking"), "")
			is.NoErr(err)
			is.Equal(got.status, http.StatusOK)
			is.True(f.log.count(foundEvent) > 0)
		})
	}
}

// Guards against connections between routers that do not work with the certificates of the fleet, and against a listener
// for requests of other routers that serves anybody else.
func TestCutOffRouterIsServedOverMutualTLS(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	authority := &certificate.Authority{Directory: t.TempDir()}
	is.NoErr(authority.Create())
	f := newCutFleet(2)
	f.authority = authority
	f.proxies = []string{"", harness.ReservePort(t)}
	f.start(t, harness.NewInventory(testKey, 2, 100_000_000), 2)
	f.networks[0].Cut(harness.ResetCut)
	f.serve(0, cutSettleTime)
	served, sent := f.serve(0, time.Second)
	t.Logf("served %d of %d requests", served, sent)
	is.True(20*served >= 19*sent)
	is.True(f.log.count(proxiedEvent) > 0)
	stranger, err := authority.Issue("stranger", "urn:citronslip:stranger", 0)
	is.NoErr(err)
	pair, err := tls.LoadX509KeyPair(stranger.Certificate, stranger.Key)
	is.NoErr(err)
	for _, config := range []*tls.Config{{}, {Certificates: []tls.Certificate{pair}}} {
		config.InsecureSkipVerify = true
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
		_, err := client.Get("https://" + f.proxies[1])
		is.True(err != nil)
	}
	response, err := http.Get("http://" + f.proxies[1])
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusBadRequest) // Requests without TLS.
}

// Guards against a router that goes on sending requests through others when it reaches the servers again.
func TestCutOffRouterReturnsToDirectConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startCut(t, 2)
	f.networks[0].Cut(harness.HangCut)
	f.serve(0, cutSettleTime)
	is.True(f.log.count(proxiedEvent) > 0)
	f.networks[0].Cut(harness.NoCut)
	f.serve(0, 2*time.Second)
	before := f.log.count(proxiedEvent)
	served, sent := f.serve(0, time.Second)
	is.Equal(served, sent)
	is.Equal(f.log.count(proxiedEvent), before)
}

// Guards against an engine that goes on generating for a caller who left, and against tokens that are charged twice, not
// at all or at their bound, when the attempts went through another router.
func TestCancelledAndFinishedAttemptsThroughAnotherRouterAreChargedOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startCut(t, 2)
	f.networks[0].Cut(harness.ResetCut)
	f.serve(0, cutSettleTime)
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url(0, "/v1/chat/completions"),
		strings.NewReader(chatBody("one two three", 4000, true)))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	response, err := f.client.Do(request)
	is.NoErr(err)
	_, err = bufio.NewReader(response.Body).ReadString('\n')
	is.NoErr(err)
	cancel()
	is.NoErr(response.Body.Close())
	time.Sleep(2 * time.Second) // The cancellation must have reached the engine by then.
	before := f.consumed()
	time.Sleep(200 * time.Millisecond)
	is.Equal(f.consumed(), before) // The engine generates no more.
	for n := range 20 {
		is.NoErr(f.chatOnce(0, n%2 == 0))
		f.requests++
	}
	for _, stop := range f.stops {
		stop()
	}
	row := f.budgetRow("gardens", "prepaid")
	t.Logf("%d tokens consumed, %d charged", f.consumed(), row.Closed)
	is.Equal(row.Granted, inventory.Tokens(0))
	is.Equal(int(row.Closed), f.consumed())
}

// consumed returns the number of tokens that all engines consumed.
func (f *cutFleet) consumed() int {
	total := 0
	for _, engine := range f.standins.Engines {
		total += engine.Consumed()
	}
	return total
}

// Guards against requests in flight at the begin of a cut that are taken for the cause of crashes.
func TestCutIsNotTakenForCrash(t *testing.T) {
	for name, mode := range map[string]harness.CutMode{"hang": harness.HangCut, "reset": harness.ResetCut} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startCut(t, 3)
			ctx, cancel := context.WithCancel(t.Context())
			var group sync.WaitGroup
			var answered atomic.Int64
			for n := range 16 {
				group.Go(func() {
					for i := 0; ctx.Err() == nil; i++ {
						words := fmt.Sprintf("bed%d tomato%d", n, i)
						got, err := f.send(ctx, http.MethodPost, f.url(0, "/v1/chat/completions"), chatBody(words, 24, n%2 == 0))
						if err == nil && checkAnswer(got, words, 24, n%2 == 0) == nil {
							answered.Add(1)
						}
					}
				})
			}
			time.Sleep(time.Second)
			before := answered.Load()
			f.networks[0].Cut(mode)
			time.Sleep(cutSettleTime)
			settled := answered.Load()
			time.Sleep(time.Second)
			after := answered.Load()
			cancel()
			group.Wait()
			t.Logf("answered %d before the cut, %d in the first %v, %d in the next second", before, settled-before, cutSettleTime, after-settled)
			is.True(after > settled)
			for _, crash := range crashEvents {
				is.Equal(f.log.count(crash), 0)
			}
		})
	}
}
