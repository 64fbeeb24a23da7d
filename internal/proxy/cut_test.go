package proxy_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

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
