package proxy_test

import (
	"errors"
	"io"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/proxy"
)

// cutOff breaks the ways of one router to all servers.
func cutOff(router int, mode linkMode) func(int, int) linkMode {
	return func(r, _ int) linkMode {
		if r == router {
			return mode
		}
		return open
	}
}

// Guards against an attempt that fails although another router reaches the server.
func TestFailedDialSendsAttemptThroughAnotherRouter(t *testing.T) {
	for name, mode := range map[string]linkMode{"refusing": refusing, "silent": silent} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 2, 1)
				is.NoErr(f.routers[0].send(0))
				f.set(cutOff(0, mode))
				is.NoErr(f.routers[0].send(0))
				is.Equal(f.carriedBy(0), map[int]int{0: 1, 1: 1})
				synctest.Wait()
				is.Equal(f.routers[0].restored, []string{"i-0"}) // The failures were those of the way.
				begin := time.Now()
				is.NoErr(f.routers[0].send(0))
				is.True(time.Since(begin) < dialTimeout/2) // Without another direct attempt.
			})
		})
	}
}

// Guards against a way that stays in use after its open connections were lost.
func TestLostConnectionHasTheWayTested(t *testing.T) {
	for name, respond := range map[string]func() (io.Reader, error){
		"before the response": func() (io.Reader, error) { return nil, syscall.ECONNRESET },
		"in the response":     func() (io.Reader, error) { return failingReader{strings.NewReader("ans")}, nil },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 2, 1)
				r := f.routers[0]
				r.respond = respond
				is.True(r.send(0) != nil)
				time.Sleep(200 * time.Millisecond)
				is.Equal(len(f.dialsTo(0, true)), 1)
				r.respond = nil
				is.NoErr(r.send(0)) // The test has shown that the way works.
				r.respond = respond
				is.True(r.send(0) != nil)
				f.set(cutOff(0, refusing))
				time.Sleep(200 * time.Millisecond)
				before := f.arrivalCount()
				begin := time.Now()
				r.respond = nil
				is.NoErr(r.send(0))
				is.Equal(f.carriedBy(before), map[int]int{1: 1})
				is.True(time.Since(begin) < 100*time.Millisecond)
			})
		})
	}
}

// Guards against tests of all servers whenever one ends, and against a partition that is found server by server.
func TestOtherServersAreTestedAfterTwoBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 6)
		f.set(cutOff(0, refusing))
		is.NoErr(f.routers[0].send(0))
		time.Sleep(300 * time.Millisecond)
		for server := 1; server < 6; server++ {
			is.Equal(len(f.dialsTo(server, true)), 0)
		}
		is.NoErr(f.routers[0].send(1))
		time.Sleep(300 * time.Millisecond)
		for server := 2; server < 6; server++ {
			is.True(len(f.dialsTo(server, true)) > 0)
		}
	})
}

// Guards against questions to the whole fleet, and against attempts that cross between data centres without need.
func TestSearchAsksFewRoutersAndPrefersTheOwnDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 100, 4)
		f.set(cutOff(0, refusing))
		begin := time.Now()
		for range 200 {
			for server := range f.servers {
				is.NoErr(f.routers[0].send(server))
			}
		}
		searches := int(time.Since(begin)/time.Second) + len(f.servers) // One a second, and one for each server that breaks.
		is.True(f.routers[0].asked.Swap(0) <= int64(3*searches))
		time.Sleep(10 * time.Second)
		// Nothing is asked for servers that no request needs, but for one more search for each that was needed.
		is.True(f.routers[0].asked.Swap(0) <= int64(3*len(f.servers)))
		for range 100 {
			for server := range f.servers {
				is.NoErr(f.routers[0].send(server))
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.True(f.routers[0].asked.Load() <= 3*12) // A query to three routers a second for all servers together.
		before := f.arrivalCount()
		for range 100 {
			is.NoErr(f.routers[0].send(0))
		}
		for router := range f.carriedBy(before) {
			is.Equal(router%2, 0)
		}
	})
}

// Guards against one router that gets all attempts of those that are cut off.
func TestLoadSpreadsOverTheRoutersThatAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4, 1)
		for _, r := range f.routers[1:] {
			r.paths.Place = "z1"
		}
		f.set(cutOff(0, refusing))
		is.NoErr(f.routers[0].send(0))
		for range 300 {
			is.NoErr(f.routers[0].send(0))
		}
		carried := f.carriedBy(0)
		for router := 1; router < 4; router++ {
			is.True(carried[router] > 60)
		}
	})
}

// Guards against a router that is tried again at once after it did not answer.
func TestFailedRouterIsLeftForASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 1)
		f.set(cutOff(0, refusing))
		is.NoErr(f.routers[0].send(0))
		f.setPeers(func(int) linkMode { return refusing })
		err := f.routers[0].send(0)
		is.True(errors.Is(err, proxy.ErrNotSent))
		f.setPeers(func(int) linkMode { return open })
		begin := time.Now()
		for f.routers[0].send(0) != nil {
			time.Sleep(10 * time.Millisecond)
		}
		is.True(time.Since(begin) > 900*time.Millisecond)
		is.True(time.Since(begin) < 1600*time.Millisecond)
	})
}

// Guards against an attempt to the address of a server that was removed which is dialled until its time limit.
func TestUnknownAddressIsDialledOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 1)
		f.set(cutOff(0, refusing))
		f.routers[0].paths.Update(nil)
		begin := time.Now()
		err := f.routers[0].send(0)
		is.True(errors.Is(err, proxy.ErrNotSent))
		is.True(time.Since(begin) < 100*time.Millisecond)
	})
}
