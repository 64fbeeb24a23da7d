package store_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"citronslip/internal/delay"
	"citronslip/internal/store"
)

// deafStore is a store whose feed calls hear nothing while they are held, once it has lost its history, or have no answer
// at all, or answer from an old state. It counts calls.
type deafStore struct {
	*store.Memory
	deaf, hangs atomic.Bool
	old         atomic.Int64 // Version of the old state; zero if there is none.
	feeds       atomic.Int64
	lists       atomic.Int64
}

func (s *deafStore) List(ctx context.Context, table, part string) (store.Result, error) {
	s.lists.Add(1)
	return s.Memory.List(ctx, table, part)
}

func (s *deafStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (store.Result, error) {
	s.feeds.Add(1)
	switch {
	case s.old.Load() > 0:
		delay.Sleep(ctx, wait)
		return store.Result{Version: s.old.Load(), Era: 1}, nil
	case s.hangs.Load():
		<-ctx.Done()
		return store.Result{}, store.ErrUnknown
	case s.deaf.Load():
		if _, err := s.Memory.Feed(ctx, table, after, 0); err != nil {
			return store.Result{}, err
		}
		delay.Sleep(ctx, wait)
		return s.Memory.Feed(ctx, table, after, 0)
	}
	return s.Memory.Feed(ctx, table, after, wait)
}

// Guards against a configuration that takes effect later than its bound because a feed call hears nothing, or has no answer,
// after the store has lost its history, and against feeds that answer from an old state for good.
func TestChangesAreReportedWithinBound(t *testing.T) {
	cases := []struct {
		name        string
		bound       time.Duration
		fail        func(s *deafStore)
		longestFeed time.Duration
	}{
		{"deaf, 2 s", 2 * time.Second, func(s *deafStore) { s.deaf.Store(true) }, 2 * time.Second},
		{"deaf, 3 s", 3 * time.Second, func(s *deafStore) { s.deaf.Store(true) }, 3 * time.Second},
		{"no answer", 2 * time.Second, func(s *deafStore) { s.hangs.Store(true) }, 2 * time.Second},
		{"old state", 2 * time.Second, func(s *deafStore) { s.old.Store(1) }, 2 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &deafStore{Memory: &store.Memory{}}
				versions := &store.Versions{Store: s}
				logger := zerolog.Nop()
				applied := make(chan string, 100)
				f := &store.Follower{
					Store: versions, Table: "t", Newest: true, Named: versions, Logger: &logger,
					Bound: func() time.Duration { return c.bound },
					Apply: func(change store.Change) {
						for _, row := range change.Rows {
							applied <- string(row.Value)
						}
					},
				}
				put := func(name, value string) {
					_, err := versions.Write(t.Context(), store.Write{Puts: []store.Put{{Key: store.Key{Table: name, Name: "a"}, Value: []byte(value)}}})
					is.NoErr(err)
				}
				put("t", "0")
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() { _ = f.Run(ctx) }() // Returns nil.
				is.Equal(<-applied, "0")
				for i := 1; i <= 30; i++ {
					if i%10 == 5 {
						put("other", "x") // The feed is behind the store when its history is lost.
						s.DropHistory()
						c.fail(s)
					}
					time.Sleep(time.Duration(i) * 97 * time.Millisecond)
					value := fmt.Sprint(i)
					put("t", value)
					begin := time.Now()
					for got := ""; got != value; {
						got = <-applied
					}
					if took := time.Since(begin); took > c.bound {
						t.Errorf("change %d took effect after %v", i, took)
					}
				}
			})
		})
	}
}

// Guards against calls that a bound, or the comparison of versions, adds in normal operation.
func TestBoundAddsFewCalls(t *testing.T) {
	for bound, expected := range map[time.Duration]int64{0: 15, 2 * time.Second: 43, 3 * time.Second: 29} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &deafStore{Memory: &store.Memory{}}
			versions := &store.Versions{Store: s}
			logger := zerolog.Nop()
			f := &store.Follower{
				Store: versions, Table: "t", Named: versions, Logger: &logger, Apply: func(store.Change) {},
				Bound: func() time.Duration { return bound },
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() { _ = f.Run(ctx) }() // Returns nil.
			for range 120 {                // Other tables change all the time.
				time.Sleep(500 * time.Millisecond)
				_, err := versions.Write(ctx, store.Write{Puts: []store.Put{{Key: store.Key{Table: "alive", Name: "n"}}}})
				is.NoErr(err)
			}
			t.Logf("bound %v: %d feed calls and %d lists in a minute", bound, s.feeds.Load(), s.lists.Load())
			is.Equal(s.lists.Load(), int64(1))
			is.True(s.feeds.Load() <= expected+1)
		})
	}
}
