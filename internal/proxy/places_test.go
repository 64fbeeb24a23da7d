package proxy_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/proxy"
)

// sendWithin is like send, for a request that may be sent through routers in some data centres only.
func (r *fleetRouter) sendWithin(server int, places ...string) error {
	ctx, cancel := context.WithTimeout(proxy.WithCall(context.Background(), proxy.Call{Places: places}), 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.fleet.servers[server].Address+"/a", proxy.NewBody([]byte("x")))
	if err != nil {
		return err
	}
	response, err := r.transport.RoundTrip(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Guards against a body that reaches a router outside of the home regions of its request, against a request that finds no router
// in them because another one was found first, and against a server that counts as down since none is there.
func TestRequestIsCarriedOnlyWithinItsPlaces(t *testing.T) {
	for _, routers := range []int{4, 40} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, routers, 1)
			f.set(func(router, _ int) linkMode { // The first router is cut off, and those of z1 but one.
				if router == 0 || router%2 == 1 && router != 3 {
					return refusing
				}
				return open
			})
			sender := f.routers[0]
			for range 20 { // Finds routers of z0.
				_ = sender.send(0)
				time.Sleep(50 * time.Millisecond)
			}
			begin := f.arrivalCount()
			served := 0
			for range 100 {
				if err := sender.sendWithin(0, "z1"); err == nil {
					served++
				} else {
					is.True(errors.Is(err, proxy.ErrWithheld))
				}
				time.Sleep(100 * time.Millisecond)
			}
			t.Logf("%d routers: %d of 100 served", routers, served)
			is.True(served >= 30) // A search asks nine routers, and the next one begins a second later.
			is.Equal(f.carriedBy(begin), map[int]int{3: served})
			begin = f.arrivalCount()
			asked := time.Now()
			is.True(errors.Is(sender.sendWithin(0, "z2"), proxy.ErrWithheld))
			is.True(time.Since(asked) < time.Second)
			asked = time.Now()
			is.True(errors.Is(sender.sendWithin(0, "z2"), proxy.ErrWithheld))
			is.True(time.Since(asked) < 10*time.Millisecond) // Does not search again at once.
			is.Equal(f.arrivalCount(), begin)
			is.NoErr(sender.send(0))
		})
	}
}

// Guards against requests to a server that a router withholds, whether it is that of the caller, the one that was asked to
// carry them, or both, and against connections that test the way to it.
func TestWithheldServerGetsNothing(t *testing.T) {
	for _, test := range []struct {
		name        string
		own, others bool
	}{{"sender knows", true, false}, {"carrier knows", false, true}, {"both know", true, true}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 3, 2)
				f.set(func(router, _ int) linkMode {
					if router == 0 {
						return refusing
					}
					return open
				})
				sender := f.routers[0]
				is.NoErr(sender.send(0))
				if test.own {
					sender.withheld.Store(&f.servers[0].Address)
				}
				if test.others {
					for _, r := range f.routers[1:] {
						r.admit = func(address string) error {
							if address == f.servers[0].Address {
								return proxy.ErrWithheld
							}
							return nil
						}
					}
				}
				time.Sleep(time.Second)
				begin, dials := f.arrivalCount(), len(f.dialsTo(0, true))
				for range 20 {
					is.True(errors.Is(sender.send(0), proxy.ErrWithheld))
					is.NoErr(sender.send(1))
					time.Sleep(100 * time.Millisecond)
				}
				is.Equal(f.arrivalCount(), begin+20)
				if test.own {
					is.Equal(len(f.dialsTo(0, true)), dials)
				}
			})
		})
	}
}

// Guards against a request that is sent on a connection that opened slowly, after the server was withheld.
func TestSlowConnectionIsNotUsedForWithheldServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var withheld, closed atomic.Bool
		paths := &proxy.Paths{
			Withheld: func(string) bool { return withheld.Load() },
			Dial: func(context.Context, string, string) (net.Conn, error) {
				time.Sleep(3 * time.Second)
				conn, other := net.Pipe()
				go func() {
					_, err := other.Read(make([]byte, 1))
					closed.Store(err != nil)
				}()
				return conn, nil
			},
		}
		time.AfterFunc(time.Second, func() { withheld.Store(true) })
		_, err := paths.DialForRequest(t.Context(), "tcp", "server-0")
		is.True(errors.Is(err, proxy.ErrWithheld))
		synctest.Wait()
		is.True(closed.Load())
	})
}
