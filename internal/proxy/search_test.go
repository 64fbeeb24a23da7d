package proxy_test

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/proxy"
)

// Guards against attempts that fail because a search for another server is in progress.
func TestAttemptWaitsForTheSearchForItsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 4)
		f.set(cutOff(0, refusing))
		var failed atomic.Int64
		var group sync.WaitGroup
		for i := range 80 {
			group.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Microsecond)
				if f.routers[0].send(i%4) != nil {
					failed.Add(1)
				}
			})
		}
		group.Wait()
		is.Equal(failed.Load(), int64(0))
		is.Equal(f.carriedBy(0), map[int]int{1: 80})
	})
}

// Guards against a router whose refusal for one server stops the attempts to all others for a second.
func TestRefusalForOneServerLeavesTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 2)
		f.set(cutOff(0, refusing))
		is.NoErr(f.routers[0].send(0))
		is.NoErr(f.routers[0].send(1))
		f.routers[1].admit = func(address string) error {
			if address == f.servers[0].Address {
				return proxy.ErrNotSent
			}
			return nil
		}
		is.True(errors.Is(f.routers[0].send(0), proxy.ErrNotSent))
		is.NoErr(f.routers[0].send(1))
	})
}

// Guards against a search that ends with routers that have just refused the attempts to the server, while others send them.
func TestSearchGoesOnBehindRoutersThatRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 12, 1)
		f.set(cutOff(0, refusing))
		for router := 2; router < 12; router += 2 { // All others in the own data centre.
			f.routers[router].admit = func(string) error { return proxy.ErrNotSent }
		}
		served := 0
		for range 100 {
			if f.routers[0].send(0) == nil {
				served++
			}
			time.Sleep(20 * time.Millisecond)
		}
		is.True(served >= 90)
	})
}

// Guards against an attempt that counts as lost because the address of the other router is no longer known.
func TestRouterThatAcceptsNoMoreAttemptsIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 2)
		var stopping atomic.Bool
		f.routers[1].paths.Closed = stopping.Load
		f.set(cutOff(0, refusing))
		is.NoErr(f.routers[0].send(0))
		is.NoErr(f.routers[0].send(1))
		stopping.Store(true)
		for range 30 {
			for server := range 2 {
				is.True(errors.Is(f.routers[0].send(server), proxy.ErrNotSent))
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// Guards against searches that ask the same routers again, which reach no server either, and never the others.
func TestSearchAsksOthersThanThoseThatReachedNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 40, 1)
		f.set(func(router, _ int) linkMode {
			if router == 39 {
				return open
			}
			return refusing
		})
		for range 10 {
			_ = f.routers[0].send(0) // Another router may not be found yet.
			time.Sleep(time.Second)
		}
		is.NoErr(f.routers[0].send(0))
	})
}

// Guards against a router that dials for others, for the time limit of a connection, although it knows that its way is broken.
func TestRouterWithABrokenWayRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 1)
		f.set(cutOff(0, refusing))
		is.NoErr(f.routers[0].send(0))
		f.set(func(int, int) linkMode { return silent })
		is.True(f.routers[1].send(0) != nil) // It finds its way broken.
		begin := time.Now()
		is.True(errors.Is(f.routers[0].send(0), proxy.ErrNotSent))
		is.True(time.Since(begin) < 100*time.Millisecond)
	})
}

// Guards against attempts that wait for a router that does not answer, although another one has.
func TestAttemptDoesNotWaitForASilentRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4, 1)
		f.setPeers(func(router int) linkMode {
			if router == 2 {
				return silent
			}
			return open
		})
		f.set(cutOff(0, refusing))
		begin := time.Now()
		is.NoErr(f.routers[0].send(0))
		is.True(time.Since(begin) < 100*time.Millisecond)
	})
}

// Guards against a router that knows no others when it is cut off, as after its start, or only ones that do not run, and that
// looks for new ones seconds late because it counts its searches before as failed ones.
func TestRouterIsUsedAsSoonAsItIsKnown(t *testing.T) {
	for name, known := range map[string][]string{"none known": nil, "another one known": {"peer-1"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 3, 1)
				f.setPeers(func(router int) linkMode {
					if router == 1 {
						return refusing
					}
					return open
				})
				f.routers[0].known.Store(&known)
				f.set(cutOff(0, refusing))
				for begin := time.Now(); time.Since(begin) < 4*time.Second; time.Sleep(10 * time.Millisecond) {
					is.True(errors.Is(f.routers[0].send(0), proxy.ErrNotSent))
				}
				f.routers[0].known.Store(&[]string{"peer-2"})
				begin := time.Now()
				for f.routers[0].send(0) != nil {
					time.Sleep(10 * time.Millisecond)
				}
				is.True(time.Since(begin) < 300*time.Millisecond)
			})
		})
	}
}

// Guards against failures that count against a server although no router answered for a moment: its circuit stays open then
// while other routers reach the server again.
func TestServerIsRestoredAfterRoutersDidNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, 1)
		f.set(cutOff(0, refusing))
		is.NoErr(f.routers[0].send(0))
		is.NoErr(f.routers[0].send(0)) // Has routers searched for again, 4 s after the first search.
		is.Equal(f.routers[0].restoredCount(), 1)
		f.setPeers(func(int) linkMode { return silent })
		time.Sleep(5 * time.Second)
		f.setPeers(func(int) linkMode { return open })
		is.True(errors.Is(f.routers[0].send(0), proxy.ErrNotSent))
		time.Sleep(2 * time.Second)
		is.NoErr(f.routers[0].send(0))
		is.Equal(f.routers[0].restoredCount(), 2)
	})
}

// Guards against a server that counts as sound because routers reach it again which answered before that they did not: it
// may have crashed, and a request that crashes servers would reach it once more.
func TestServerThatNoRouterReachedIsNotRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, 1)
		f.set(cutOff(0, refusing))
		is.NoErr(f.routers[0].send(0))
		is.NoErr(f.routers[0].send(0)) // Has routers searched for again, 4 s after the first search.
		is.Equal(f.routers[0].restoredCount(), 1)
		f.set(func(int, int) linkMode { return refusing })
		time.Sleep(5 * time.Second)
		is.True(errors.Is(f.routers[0].send(0), proxy.ErrNotSent))
		f.set(cutOff(0, refusing))
		time.Sleep(5 * time.Second)
		is.NoErr(f.routers[0].send(0))
		is.Equal(f.routers[0].restoredCount(), 1)
	})
}
