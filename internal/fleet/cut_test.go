package fleet_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"citronslip/internal/harness"
	"citronslip/internal/router"
)

type (
	// lineBuffer holds the log of a router in the test's process.
	lineBuffer struct {
		mu     sync.Mutex
		buffer bytes.Buffer
	}
)

// Write appends log lines.
func (l *lineBuffer) Write(lines []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(lines)
}

// text returns the log.
func (l *lineBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// startCutOff starts a router in the test's process that reaches the backend servers only through the routers that run
// already, and returns it with its log.
func (f *fleet) startCutOff() (*routerProcess, *lineBuffer) {
	f.t.Helper()
	network := &harness.Network{}
	network.Cut(harness.ResetCut)
	return f.startInProcess(network)
}

// startInProcess starts a router in the test's process with a network to the backend servers, and returns it with its
// log. Only its addresses are set.
func (f *fleet) startInProcess(network *harness.Network) (*routerProcess, *lineBuffer) {
	f.t.Helper()
	logs := &lineBuffer{}
	logger := zerolog.New(logs)
	p := &routerProcess{t: f.t, name: "cut", peerAddress: harness.ReservePort(f.t), exited: make(chan struct{})}
	var seeds []string
	for _, other := range f.routers {
		seeds = append(seeds, other.peerAddress)
	}
	var settings router.Settings
	settings.Register(flag.NewFlagSet("test", flag.ContinueOnError))
	settings.Name, settings.Place = p.name, "catania"
	settings.Listen, settings.Peer, settings.Seeds = "127.0.0.1:0", p.peerAddress, strings.Join(seeds, ",")
	settings.Platform = "http://" + f.platformAddress
	settings.Grace = time.Second
	listening := make(chan string, 1)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	r := &router.Router{Settings: settings, Logger: &logger, Listening: listening, Dial: network.Open}
	go func() { ended <- r.Run(ctx) }()
	f.t.Cleanup(func() {
		f.client.CloseIdleConnections()
		cancel()
		if err := <-ended; err != nil {
			f.t.Error(err)
		}
	})
	f.t.Cleanup(func() {
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", p.name, logs.text())
		}
	})
	p.listenAddress = <-listening
	f.waitReady(p)
	return p, logs
}

// awaitProxied waits until a router that is cut off serves requests through another one, which it finds once it knows the
// other routers.
func (f *fleet) awaitProxied(cut *routerProcess) {
	f.t.Helper()
	eventually(f.t, "a booking is answered through another router", func() bool {
		got, err := f.send(f.t.Context(), cut, apiRequest{method: http.MethodPost, path: "/booking", body: "warm"})
		return err == nil && got.status == http.StatusOK
	})
}

// useBothRouters sends requests until each of the other routers has sent some of them, so that connections to it may be
// kept open. A router that was not known, or did not answer, when others were first searched for is asked again 4 s later.
func (f *fleet) useBothRouters(cut *routerProcess, logs *lineBuffer) {
	f.t.Helper()
	round := 0
	eventually(f.t, "requests are sent through each of the other routers", func() bool {
		var group sync.WaitGroup
		for n := range 12 {
			group.Go(func() {
				request := apiRequest{method: http.MethodPost, path: "/booking", body: fmt.Sprintf("warm %d, round %d", n, round)}
				if _, err := f.send(f.t.Context(), cut, request); err != nil {
					f.t.Error(err)
				}
			})
		}
		group.Wait()
		round++
		text := logs.text()
		return !slices.ContainsFunc(f.routers, func(p *routerProcess) bool {
			return !strings.Contains(text, fmt.Sprintf(`"peer":%q,"address"`, p.peerAddress))
		})
	})
}

// Guards against a request that may run once running twice, or being reported as not executed, when the router through
// which it was sent dies.
func TestRequestRunsOnceWhenItsOtherRouterDies(t *testing.T) {
	t.Parallel()
	for _, keyed := range []bool{true, false} {
		t.Run(fmt.Sprintf("keyed %v", keyed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startFleet(t, harness.NewInventory(testKey, 1, ampleTokens), func(f *fleet) {
				for _, booking := range f.backends.Bookings {
					booking.Delay = 700 * time.Millisecond
				}
			})
			f.callTimeout = 10 * time.Second
			f.startRouters(2)
			cut, logs := f.startCutOff()
			f.awaitProxied(cut)
			f.useBothRouters(cut, logs)
			requests := make([]apiRequest, 8)
			var group sync.WaitGroup
			var lost atomic.Int64
			for n := range requests {
				request := apiRequest{method: http.MethodPost, path: "/booking", body: fmt.Sprintf("visit %d", n)}
				if keyed {
					request.header = map[string]string{"Idempotency-Key": request.body}
				}
				requests[n] = request
				group.Go(func() {
					got, err := f.send(t.Context(), cut, request)
					if err != nil || got.status != http.StatusOK && got.runHeader != "unknown" {
						t.Errorf("%s: status %d, run %s, error %v", request.body, got.status, got.runHeader, err)
					}
					if got.status != http.StatusOK {
						lost.Add(1)
					}
				})
			}
			eventually(t, "all bookings run", func() bool {
				executions := f.executions()
				return !slices.ContainsFunc(requests, func(r apiRequest) bool { return executions[r.body] == 0 })
			})
			f.carrier(logs).kill()
			group.Wait()
			t.Logf("%d of %d requests lost", lost.Load(), len(requests))
			is.True(lost.Load() > 0)
			for _, request := range requests {
				if !keyed {
					break
				}
				_, err := f.send(t.Context(), cut, request) // The caller asks again; the service cannot tell whether it ran.
				is.NoErr(err)
			}
			time.Sleep(time.Second) // A second execution would have begun by then.
			for _, request := range requests {
				if count := f.executions()[request.body]; count != 1 {
					t.Errorf("%s ran %d times", request.body, count)
				}
			}
			got, err := f.send(t.Context(), cut, apiRequest{method: http.MethodPost, path: "/booking", body: "next"})
			is.NoErr(err)
			is.Equal(got.status, http.StatusOK) // Through the other router that is left.
			is.Equal(f.executions()["next"], 1)
		})
	}
}

// Guards against a planned stop of the router in the middle that breaks off requests in flight, or that accepts new ones
// which it cannot finish.
func TestPlannedStopOfOtherRouterEndsNoRequests(t *testing.T) {
	t.Parallel()
	f := startFleet(t, harness.NewInventory(testKey, 1, ampleTokens), func(f *fleet) {
		for _, booking := range f.backends.Bookings {
			booking.Delay = 3 * time.Second // Longer than a stop takes without waiting for requests of other routers.
		}
	})
	f.callTimeout = maxWait
	f.startRouters(2)
	cut, logs := f.startCutOff()
	f.awaitProxied(cut)
	var group sync.WaitGroup
	book := func(body string) {
		got, err := f.send(t.Context(), cut, apiRequest{method: http.MethodPost, path: "/booking", body: body})
		if err != nil || got.status != http.StatusOK {
			t.Errorf("%s: status %d, error %v", body, got.status, err)
		}
	}
	stopped := make(chan struct{})
	for n := range 8 {
		group.Go(func() {
			time.Sleep(time.Duration(n) * 300 * time.Millisecond) // So that some requests are in flight at any time.
			for i := 0; ; i++ {
				book(fmt.Sprintf("visit %d of caller %d", i, n))
				select {
				case <-stopped:
					return
				default:
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	f.carrier(logs).stop()
	close(stopped)
	group.Wait()
}

// Guards against servers that get no requests which may not be repeated, because attempts that broke off with the way to
// them count as failures of the servers.
func TestSilentCutClosesNoServerForRequestsThatMayNotBeRepeated(t *testing.T) {
	t.Parallel()
	f := startFleet(t, harness.NewInventory(testKey, 1, ampleTokens), func(f *fleet) {
		for _, booking := range f.backends.Bookings {
			booking.Delay = 200 * time.Millisecond
		}
	})
	f.startRouters(2)
	network := &harness.Network{}
	cut, _ := f.startInProcess(network)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	var answered atomic.Int64
	for n := range 16 {
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				body := fmt.Sprintf("visit %d of caller %d", i, n)
				got, err := f.send(ctx, cut, apiRequest{method: http.MethodPost, path: "/booking", body: body})
				if err == nil && got.status == http.StatusOK {
					answered.Add(1)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	network.Cut(harness.HangCut)
	time.Sleep(4 * time.Second) // The kernel gives up the connections after 2 s.
	before := answered.Load()
	time.Sleep(2 * time.Second)
	after := answered.Load()
	cancel()
	group.Wait()
	t.Logf("answered %d until 4 s after the begin of the cut, %d in the 2 s that follow", before, after-before)
	is.New(t).True(after-before > 16)
	for body, count := range f.executions() {
		if count > 1 {
			t.Errorf("%s ran %d times", body, count)
		}
	}
}

// carrier returns the router through which the last request with an attempt was sent.
func (f *fleet) carrier(logs *lineBuffer) *routerProcess {
	f.t.Helper()
	lines := strings.Split(logs.text(), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if !strings.Contains(lines[i], `"event":423,`) || strings.Contains(lines[i], `"request":""`) {
			continue
		}
		for _, p := range f.routers {
			if strings.Contains(lines[i], fmt.Sprintf(`"peer":%q`, p.peerAddress)) {
				return p
			}
		}
	}
	f.t.Fatal("no request was sent through another router")
	return nil
}
