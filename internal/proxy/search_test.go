package proxy_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
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
