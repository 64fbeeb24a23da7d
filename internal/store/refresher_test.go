package store_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"citronslip/internal/delay"
	"citronslip/internal/store"
)

// silentStore is a store whose feed calls in progress hear nothing and have no answer, as on a silent connection.
type silentStore struct {
	*deafStore
	asked atomic.Int64 // Calls that are not held.
}

func (s *silentStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (store.Result, error) {
	if wait == 0 {
		s.asked.Add(1)
		delay.Sleep(ctx, time.Millisecond)
		return s.Memory.Feed(ctx, table, after, 0)
	}
	if s.hangs.CompareAndSwap(true, false) {
		<-ctx.Done()
		return store.Result{}, store.ErrUnknown
	}
	return s.deafStore.Feed(ctx, table, after, wait)
}

// Guards against an old state of the servers that counts as current because the store answers other calls, while the connection
// of the feed is silent, and against a call to the store for each question.
func TestRefreshFindsChangesThatSilentFeedDoesNotTell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &silentStore{deafStore: &deafStore{Memory: &store.Memory{}}}
		logger := zerolog.Nop()
		var mu sync.Mutex
		var applied []string
		values := func() []string {
			mu.Lock()
			defer mu.Unlock()
			return slices.Clone(applied)
		}
		f := &store.Follower{Store: s, Table: "t", Logger: &logger, Apply: func(change store.Change) {
			mu.Lock()
			defer mu.Unlock()
			for _, row := range change.Rows {
				applied = append(applied, string(row.Value))
			}
		}}
		put := func(value string) {
			_, err := s.Write(t.Context(), store.Write{Puts: []store.Put{{Key: store.Key{Table: "t", Name: "a"}, Value: []byte(value)}}})
			is.NoErr(err)
		}
		r := &store.Refresher{Store: s, Follower: f, Timeout: 300 * time.Millisecond, Spacing: func() time.Duration { return 20 * time.Millisecond }}
		is.True(!r.Refresh(t.Context())) // The follower knows nothing.
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		put("0")
		s.hangs.Store(true)
		go func() { _ = f.Run(ctx) }() // Returns nil.
		time.Sleep(time.Second)
		put("1")
		time.Sleep(100 * time.Millisecond)
		is.Equal(values(), []string{"0"})
		is.True(r.Refresh(t.Context()))
		is.Equal(values(), []string{"0", "1"})

		time.Sleep(time.Second)
		asked := s.asked.Load()
		var group sync.WaitGroup
		for range 50 {
			group.Go(func() { is.True(r.Refresh(t.Context())) })
		}
		group.Wait()
		is.True(s.asked.Load() <= asked+2) // One call in progress, and one for those that came after its begin.
	})
}
