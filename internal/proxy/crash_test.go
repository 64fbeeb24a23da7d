package proxy_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// crashSettleTime is the time after the crash of a server for which most routers test and search it for the first time.
const crashSettleTime = 5 * time.Second

// traffic sends attempts from some routers to all servers, every interval, until the end of the test.
func (f *fleet) traffic(t *testing.T, interval time.Duration, sends func(router int) bool) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, r := range f.routers {
		if !sends(r.index) {
			continue
		}
		go func() {
			time.Sleep(rand.N(interval))
			for ctx.Err() == nil {
				for server := range f.servers {
					_ = r.send(server) // Counted by its arrival.
				}
				time.Sleep(interval)
			}
		}()
	}
}

// Guards against a server that ended being taken for one that is out of reach, and against a fleet that floods its address
// and the other routers with tests and questions.
func TestCrashedServerIsNotTakenForAPartition(t *testing.T) {
	for _, mode := range []linkMode{refusing, silent} {
		for _, routers := range []int{6, 75, 400} {
			t.Run(fmt.Sprintf("mode %d, %d routers", mode, routers), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newFleet(t, routers, 2)
					f.traffic(t, 150*time.Millisecond+time.Duration(routers)*time.Millisecond, func(router int) bool { return router%3 > 0 })
					time.Sleep(3 * time.Second)
					f.set(func(_, server int) linkMode {
						if server == 0 {
							return mode
						}
						return open
					})
					begin := time.Now()
					time.Sleep(crashSettleTime)
					early := f.asked()
					time.Sleep(10 * time.Second)
					queries := f.asked() - early
					own := busiestSecond(f.dialsTo(0, true), begin)
					total := busiestSecond(f.dialsTo(0, false), begin)
					settled := busiestSecond(f.dialsTo(0, false), begin.Add(crashSettleTime))
					restored := 0
					for _, r := range f.routers {
						restored += r.restoredCount()
					}
					t.Logf("most tests in a second: %d of the broken way, %d in all, %d in all later; %.2f queries a second and router; restored %d times",
						own, total, settled, float64(queries)/10/float64(routers), restored)
					is.True(own <= 130)                   // About 100, however large the fleet is.
					is.True(total <= 2*routers)           // Those that have not noticed test for others.
					is.True(settled <= 130+(routers+2)/2) // Those without requests to the server: once a second each.
					is.True(queries <= int64(routers)*9*10/4+int64(9*routers))
					is.Equal(restored, 0) // No router reaches the server.
					f.set(cutOff(-1, open))
					time.Sleep(8 * time.Second)
					before := f.arrivalCount()
					for _, r := range f.routers {
						is.NoErr(r.send(0))
					}
					is.Equal(len(f.carriedBy(before)), routers) // All directly.
				})
			})
		}
	}
}

// asked returns how many questions all routers have asked.
func (f *fleet) asked() int64 {
	var n int64
	for _, r := range f.routers {
		n += r.asked.Load()
	}
	return n
}
