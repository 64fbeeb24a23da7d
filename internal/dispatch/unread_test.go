package dispatch_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"citronslip/internal/dispatch"
	"citronslip/internal/memory"
)

// unreadResponse is a response whose caller does not read it until the channel is closed.
type unreadResponse struct {
	callerResponse
	read chan struct{}
}

func (u *unreadResponse) Write(data []byte) error {
	<-u.read
	return u.callerResponse.Write(data)
}

// Guards against callers that do not read their responses and so use up the memory for all requests.
func TestUnreadResponsesLeaveMemoryForRequests(t *testing.T) {
	const (
		callers       = 30
		responseBytes = 100 << 10
		ordinaryBytes = 150 << 10
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestDispatcher(func(context.Context, int, dispatch.Attempt) dispatch.Outcome {
			return completeAnswer(strings.Repeat("x", responseBytes))
		})
		b.Memory = &memory.Budget{Limit: 1 << 20}
		read := make(chan struct{})
		var group sync.WaitGroup
		for range callers {
			group.Go(func() {
				response := &unreadResponse{read: read}
				b.Serve(context.Background(), request("/safe/1"), response)
				is.Equal(response.body.Len(), responseBytes)
			})
		}
		synctest.Wait() // All wait for memory or for their callers.
		is.True(b.Memory.Reserve(ordinaryBytes))
		close(read)
		group.Wait()
		b.Memory.Release(ordinaryBytes)
		is.Equal(b.Memory.Used(), int64(0))
	})
}
