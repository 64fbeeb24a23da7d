package router_test

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/harness"
)

// Guards against a planned stop that drops requests which it reads or whose connections it accepts at its end.
func TestPlannedStopAnswersRequestsUntilItsEnd(t *testing.T) {
	t.Parallel()
	const callers = 64
	f := start(t, harness.NewInventory(testKey, 3, 100_000_000), 1)
	var answered atomic.Int64
	var group sync.WaitGroup
	for c := range callers {
		group.Go(func() {
			for n := 0; ; n++ {
				_, err := f.chat(0, chatBody(fmt.Sprintf("plan bed %d of caller %d", n, c), 4, false))
				var failure *net.OpError
				if errors.As(err, &failure) && failure.Op == "dial" {
					return
				}
				if err != nil {
					t.Errorf("request got no complete response: %v", err)
				}
				answered.Add(1)
			}
		})
	}
	eventually(t, "requests are answered", func() bool { return answered.Load() > 5*callers })
	before := answered.Load()
	f.stops[0]()
	group.Wait()
	is.New(t).True(answered.Load() > before) // The stopping router still serves.
}
