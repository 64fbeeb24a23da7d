package ratelimit_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/ratelimit"
	"citronslip/internal/store"
)

const (
	// brittleDemand is the demand for requests, relative to the room of the server.
	brittleDemand = 3
	// minServed is the share of the room that must be used, perRejection the largest number of requests per second that
	// counts as room for each rejection that the server stands: one that may be rejected blocks it for 0.2 s.
	minServed    = 2.0 / 3
	perRejection = 5
	// shortService and longService are execution times of requests.
	shortService = 200 * time.Millisecond
	longService  = 3 * time.Second
	// allowedFalls is how often one server may fall over while routers fail.
	allowedFalls = 2
)

// newRoom returns room for requests that take the given time, 40 per second of the short ones.
func newRoom(rejections int, service time.Duration) *room {
	return &room{slots: 8, queue: 4, service: service, rejections: rejections}
}

// withBrittleServer runs a test on a fleet before a brittle server with too much load.
func withBrittleServer(t *testing.T, routers int, r *room, test func(is *is.I, f *fleet, r *room)) {
	t.Helper()
	withFleet(t, routers, brittleDemand*r.rate()/float64(routers), func(is *is.I, f *fleet) {
		f.beBrittle(r)
		test(is, f, r)
	})
}

// Guards against routers that together make a brittle server reject more than it stands, or leave it unused.
func TestRejectionsAreBoundedInFleetOfAnySize(t *testing.T) {
	for _, routers := range []int{1, 6, 75, 300} {
		for _, rejections := range []int{1, 3, 20} {
			for _, service := range []time.Duration{shortService, longService} {
				t.Run(fmt.Sprint(routers, " routers, ", rejections, " rejections, service of ", service), func(t *testing.T) {
					withBrittleServer(t, routers, newRoom(rejections, service), func(is *is.I, f *fleet, r *room) {
						time.Sleep(60 * time.Second)
						falls, rate := r.result()
						t.Logf("%d falls, %.1f of %.1f requests per second", falls, rate, r.rate())
						is.Equal(falls, 0)
						is.True(rate >= minServed*min(r.rate(), perRejection*float64(rejections)))
					})
				})
			}
		}
	}
}

// Guards against a server that falls over when routers join, freeze, are killed, or are cut off from each other or from
// the store.
func TestRejectionsAreBoundedWhenRoutersFail(t *testing.T) {
	for _, routers := range []int{6, 75, 300} {
		for _, rejections := range []int{3, 20} {
			for fault := range faults {
				t.Run(fmt.Sprint(routers, " routers, ", rejections, " rejections, fault ", fault), func(t *testing.T) {
					withBrittleServer(t, routers, newRoom(rejections, shortService), func(is *is.I, f *fleet, r *room) {
						for range 4 {
							time.Sleep(6 * time.Second)
							f.inject(fault)
						}
						time.Sleep(10 * time.Second)
						falls, rate := r.result()
						t.Logf("%d falls, %.1f of %.1f requests per second", falls, rate, r.rate())
						is.True(falls <= allowedFalls)
						is.True(rate >= 1)
					})
				})
			}
		}
	}
}

// Guards against requests that pile up at a server that is silent for a second, and are then rejected together.
func TestRejectionsAreBoundedAfterSilence(t *testing.T) {
	for _, rejections := range []int{3, 20} {
		t.Run(fmt.Sprint(rejections, " rejections"), func(t *testing.T) {
			withBrittleServer(t, 75, newRoom(rejections, shortService), func(is *is.I, f *fleet, r *room) {
				for range 10 {
					time.Sleep(4*time.Second + rand.N(time.Second))
					r.fallSilent(time.Second)
				}
				falls, rate := r.result()
				t.Logf("%d falls, %.1f of %.1f requests per second", falls, rate, r.rate())
				is.True(falls <= allowedFalls)
			})
		})
	}
}

// Guards against a process that gets the requests of all routers when it starts while others of its service are brittle,
// and against one that is held back for that although its responses say nothing.
func TestNewProcessOfBrittleServiceNeedsPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := zerolog.Nop()
		l := &ratelimit.Limiter{
			Instance: "n/1", Address: "10.0.0.1:1", Store: &store.Memory{},
			Members: func() []string { return nil },
			Running: func(ratelimit.Process) bool { return true },
			Service: func(server string) string { return server[:1] },
			NewsAge: func() time.Duration { return 0 },
			Now:     time.Now, Logger: &logger, Metrics: tally.NoopScope,
		}
		permitted := func(p ratelimit.Process) (n int, last ratelimit.Permit) {
			for range 20 {
				permit, err := l.Acquire(t.Context(), p, 0)
				var exhausted *ratelimit.ExhaustedError
				switch {
				case err == nil:
					n, last = n+1, permit
				case !errors.As(err, &exhausted):
					t.Fatal(err)
				}
				time.Sleep(time.Millisecond)
			}
			return n, last
		}
		brittle := ratelimit.Announcement{Named: true, Rate: ratelimit.Unlimited, Brittle: 3}
		l.Observe(ratelimit.Process{Server: "a-1"}, ratelimit.Permit{}, brittle)
		fresh := ratelimit.Process{Server: "a-2", Born: 9}
		_, _ = permitted(fresh)
		time.Sleep(time.Second)
		n, permit := permitted(fresh)
		is.True(n >= 1 && n <= 3)
		n, _ = permitted(ratelimit.Process{Server: "b-1"})
		is.Equal(n, 20) // Another service.
		l.Observe(fresh, permit, ratelimit.Announcement{})
		time.Sleep(time.Second)
		n, _ = permitted(fresh)
		is.Equal(n, 20)
	})
}
