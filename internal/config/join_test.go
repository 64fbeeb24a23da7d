package config_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/board"
	"citronslip/internal/config"
	"citronslip/internal/object"
	"citronslip/internal/peer"
	"citronslip/internal/table"
	"citronslip/internal/wire"
)

// joining is a router that starts while the stores do not answer. Its peers are functions.
type joining struct {
	controller *config.Controller
	adopted    board.Cell[config.Version]
	served     []int // Numbers of the versions that callers saw, one after the other.
}

// observe notes the versions that are put in force until the context ends.
func (j *joining) observe(ctx context.Context) {
	for {
		version, changed := j.adopted.Watch()
		if version != nil {
			j.served = append(j.served, version.Number)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// awayTable is a table that does not answer.
type awayTable struct{ table.Memory }

func (*awayTable) Get(context.Context, string) (table.Row, error) {
	return table.Row{}, table.ErrUnavailable
}

// versions returns controllers of peers that hold versions 1 to n, one each.
func versions(ctx context.Context, t *testing.T, n int) []*config.Controller {
	t.Helper()
	store := &config.Store{Table: &table.Memory{}, Objects: &object.Memory{}}
	var result []*config.Controller
	for i := range n {
		if _, err := store.Commit(ctx, config.Change{Edited: i, Inventory: []byte{byte(i)}, Identity: string(rune('a' + i))}); err != nil {
			t.Fatal(err)
		}
		c := &config.Controller{
			Store: store, Parse: parse, Adopted: &board.Cell[config.Version]{}, State: &board.Cell[wire.ConfigState]{},
			Members: &board.Cell[peer.Members]{}, Heard: &board.Cell[peer.Heard]{}, Instance: "peer",
		}
		short, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = c.Run(short)
		}()
		time.Sleep(5 * time.Second)
		stop()
		<-ended
		result = append(result, c)
	}
	return result
}

func newJoining() *joining {
	j := &joining{}
	j.controller = &config.Controller{
		Store: &config.Store{Table: &awayTable{}, Objects: &object.Memory{}},
		Parse: parse, Adopted: &j.adopted, State: &board.Cell[wire.ConfigState]{},
		Members: &board.Cell[peer.Members]{}, Heard: &board.Cell[peer.Heard]{},
		Seeds: func() []string { return []string{"old", "new"} }, Instance: "joining",
	}
	return j
}

// Guards against a restarted router that serves an older version although a peer said that it holds a newer one, when
// the fetch of the newer one fails.
func TestJoinWithoutTheNewestVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		peers := versions(ctx, t, 2)
		j := newJoining()
		var fails atomic.Bool
		fails.Store(true)
		j.controller.Join = func(ctx context.Context, address string, _ wire.ConfigQuery) (wire.ConfigState, error) {
			if address == "old" {
				return peers[0].ServeVersion(ctx, wire.ConfigQuery{})
			}
			return peers[1].ServeVersion(ctx, wire.ConfigQuery{})
		}
		j.controller.Get = func(ctx context.Context, address string, get wire.ConfigGet) (wire.ConfigPart, error) {
			if address == "old" {
				return peers[0].ServeGet(ctx, get)
			}
			if fails.Load() {
				return wire.ConfigPart{}, errors.New("connection reset")
			}
			return peers[1].ServeGet(ctx, get)
		}
		go func() { _ = j.controller.Run(ctx) }()
		go j.observe(ctx)
		_, err := j.controller.ServeVersion(ctx, wire.ConfigQuery{Address: "old", Number: 1}) // The old one tells of its version.
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		is.Equal(j.adopted.Load(), (*config.Version)(nil))
		fails.Store(false)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		is.Equal(j.served, []int{2})
	})
}

// Guards against a restarted router that serves an older version on answers that have grown old, when a peer with a newer
// one has come into reach since they were given.
func TestJoinOnOldAnswers(t *testing.T) {
	const blocked = 4 * time.Second // A fetch from a peer that does not answer keeps the others waiting.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		peers := versions(ctx, t, 2)
		j := newJoining()
		start := time.Now()
		j.controller.Join = func(ctx context.Context, address string, _ wire.ConfigQuery) (wire.ConfigState, error) {
			switch {
			case address == "old":
				return peers[0].ServeVersion(ctx, wire.ConfigQuery{})
			case time.Since(start) < time.Second:
				return wire.ConfigState{}, errors.New("connection refused")
			}
			return peers[1].ServeVersion(ctx, wire.ConfigQuery{})
		}
		j.controller.Get = func(ctx context.Context, address string, get wire.ConfigGet) (wire.ConfigPart, error) {
			if address != "old" {
				return peers[1].ServeGet(ctx, get)
			}
			if time.Since(start) < blocked {
				time.Sleep(blocked - time.Since(start))
			}
			return peers[0].ServeGet(ctx, get)
		}
		go func() { _ = j.controller.Run(ctx) }()
		go j.observe(ctx)
		time.Sleep(15 * time.Second)
		synctest.Wait()
		is.Equal(j.served, []int{2})
	})
}

// headTable tells the version in force while the objects cannot be read.
type headTable struct{ table.Memory }

func (*headTable) Get(context.Context, string) (table.Row, error) {
	return table.Row{Key: config.KeyHead, Value: []byte(`{"number":2,"digest":"absent","change":"b"}`), Version: 2}, nil
}

// Guards against a new router that serves an older version of a peer although the table has told it a newer one whose
// objects it could not read.
func TestJoinBehindTheTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		peers := versions(ctx, t, 1)
		j := newJoining()
		j.controller.Store.Table = &headTable{}
		j.controller.Join = func(ctx context.Context, _ string, _ wire.ConfigQuery) (wire.ConfigState, error) {
			return peers[0].ServeVersion(ctx, wire.ConfigQuery{})
		}
		j.controller.Get = func(ctx context.Context, _ string, get wire.ConfigGet) (wire.ConfigPart, error) {
			return peers[0].ServeGet(ctx, get)
		}
		go func() { _ = j.controller.Run(ctx) }()
		go j.observe(ctx)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		is.Equal(j.served, []int(nil))
	})
}

// Guards against a restarted router that serves an older version because it waits before it connects again to the peer
// that holds the newer one, although that peer is in reach by now.
func TestJoinAfterFailedConnections(t *testing.T) {
	for range 10 { // The waits between two connections are random.
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newWorld()
			defer w.startAll()()
			_, _, err := w.commit(t.Context(), 1)
			is.NoErr(err)
			time.Sleep(5 * time.Second)
			w.setStores([routers]bool{true, false, false, true})
			w.cut([routers]int{0, 1, 1, 0}) // Routers 1 and 2 miss the second version.
			_, _, err = w.commit(t.Context(), 1)
			is.NoErr(err)
			time.Sleep(5 * time.Second)
			w.setStores([routers]bool{})
			w.kill(0)
			w.cut([routers]int{0, 1, 1, 2})
			w.start(0)
			time.Sleep(20 * time.Second)
			w.cut([routers]int{})
			time.Sleep(10 * time.Second)
			w.mu.Lock()
			defer w.mu.Unlock()
			is.Equal(w.reverts, []string(nil))
		})
	}
}
