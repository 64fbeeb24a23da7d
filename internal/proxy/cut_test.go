package proxy_test

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/proxy"
)

// recoveryTime is how long after the end of a cut of all routers all servers are in use again.
const recoveryTime = 2 * time.Second

// Guards against attempts in flight at the begin of a cut that put off its end by seconds.
func TestShortCutEndsSoonAfterManyAttemptsFailed(t *testing.T) {
	for name, mode := range map[string]linkMode{"refusing": refusing, "silent": silent} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 3, 4)
				f.set(cutOff(0, mode))
				var failed atomic.Int64
				var group sync.WaitGroup
				for i := range 80 {
					group.Go(func() {
						if f.routers[0].send(i%4) != nil {
							failed.Add(1)
						}
					})
				}
				time.Sleep(time.Second)
				f.set(cutOff(-1, open))
				group.Wait()
				is.Equal(failed.Load(), int64(0))
				time.Sleep(1500 * time.Millisecond)
				before := f.arrivalCount()
				for server := range 4 {
					is.NoErr(f.routers[0].send(server))
				}
				is.Equal(f.carriedBy(before), map[int]int{0: 4}) // Directly again.
			})
		})
	}
}

// Guards against a fleet that is partitioned in two and finds no way, or loads a few routers with the requests of all others.
func TestHalfOfALargeFleetIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const routers = 400
		f := newFleet(t, routers, 2)
		f.traffic(t, 500*time.Millisecond, func(int) bool { return true })
		time.Sleep(2 * time.Second)
		f.set(func(router, _ int) linkMode {
			if router < routers/2 {
				return refusing
			}
			return open
		})
		time.Sleep(2 * time.Second)
		before := f.arrivalCount()
		failed := 0
		for range 5 {
			for _, r := range f.routers[:routers/2] {
				for server := range f.servers {
					if r.send(server) != nil {
						failed++
					}
				}
			}
		}
		is.Equal(failed, 0)
		carried := f.carriedBy(before)
		most := 0
		for _, n := range carried {
			most = max(most, n)
		}
		average := float64(f.arrivalCount()-before) / (routers / 2)
		t.Logf("%d of %d routers sent attempts: at most %d, on average %.1f", len(carried), routers/2, most, average)
		is.True(len(carried) >= routers*4/10)
		is.True(float64(most) <= 4*average)
		f.set(cutOff(-1, open))
		time.Sleep(6 * time.Second)
		before = f.arrivalCount()
		for _, r := range f.routers {
			is.NoErr(r.send(0))
		}
		is.Equal(len(f.carriedBy(before)), routers) // All directly again.
	})
}

// Guards against requests that wait while no router reaches a server, and against a late recovery.
func TestAllRoutersCutOff(t *testing.T) {
	for name, mode := range map[string]linkMode{"refusing": refusing, "silent": silent} {
		for _, routers := range []int{6, 75} {
			t.Run(fmt.Sprintf("%s, %d routers", name, routers), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newFleet(t, routers, 4)
					f.traffic(t, 200*time.Millisecond, func(int) bool { return true })
					time.Sleep(time.Second)
					f.set(func(int, int) linkMode { return mode })
					time.Sleep(12 * time.Second)
					var waited time.Duration
					for range 20 {
						begin := time.Now()
						is.True(errors.Is(f.routers[0].send(0), proxy.ErrNotSent))
						waited += time.Since(begin)
						time.Sleep(73 * time.Millisecond)
					}
					is.True(waited/20 < 100*time.Millisecond)
					for _, r := range f.routers {
						is.Equal(r.restoredCount(), 0)
					}
					f.set(cutOff(-1, open))
					time.Sleep(recoveryTime)
					late := 0
					for _, r := range f.routers {
						if r.restoredCount() < len(f.servers) {
							late++
						}
					}
					t.Logf("an attempt waited %v; %d of %d routers did not reach all servers %v after the end", waited/20, late, routers, recoveryTime)
					is.Equal(late, 0)
				})
			})
		}
	}
}

// Guards against a router that claims to reach a server and sends nothing, through which attempts are tried again and again.
func TestRouterThatFailsToSendIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 8, 1)
		f.routers[2].admit = func(string) error { return proxy.ErrNotSent } // In the same data centre.
		f.routers[3].admit = func(string) error { return proxy.ErrNotSent }
		f.set(cutOff(0, refusing))
		for range 200 {
			is.NoErr(f.routers[0].send(0))
			time.Sleep(20 * time.Millisecond)
		}
		carried := f.carriedBy(0)
		is.Equal(carried[2]+carried[3], 0)
		is.True(f.routers[0].asked.Load() <= 9*15) // Searches of 4 s, and one after each refusal.
	})
}
