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

// joiningRouter is a router that starts while the stores are unreachable. Tests set its Join and Get functions.
type joiningRouter struct {
	controller    *config.Controller
	active        board.Cell[config.Version]
	servedNumbers []int // Numbers of the versions that callers saw, in order.
}

// observe records the versions that are activated until the context ends.
func (j *joiningRouter) observe(ctx context.Context) {
	for {
		version, changed := j.active.Watch()
		if version != nil {
			j.servedNumbers = append(j.servedNumbers, version.Number)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// unavailableTable is a table whose reads fail.
type unavailableTable struct{ table.Memory }

func (*unavailableTable) Get(context.Context, string) (table.Row, error) {
	return table.Row{}, table.ErrUnavailable
}

// peersWithVersions returns the controllers of n peers. The first holds version 1, the next version 2, and so on.
func peersWithVersions(ctx context.Context, t *testing.T, n int) []*config.Controller {
	t.Helper()
	store := &config.Store{Table: &table.Memory{}, Objects: &object.Memory{}}
	var result []*config.Controller
	for i := range n {
		if _, err := store.Commit(ctx, config.Change{Edited: i, Inventory: []byte{byte(i)}, Identity: string(rune('a' + i))}); err != nil {
			t.Fatal(err)
		}
		c := &config.Controller{
			Store: store, Parse: acceptAny, Adopted: &board.Cell[config.Version]{}, State: &board.Cell[wire.ConfigState]{},
			Members: &board.Cell[peer.Members]{}, Heard: &board.Cell[peer.AnnouncedVersion]{}, Instance: "peer",
		}
		runCtx, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = c.Run(runCtx)
		}()
		time.Sleep(5 * time.Second)
		stop()
		<-ended
		result = append(result, c)
	}
	return result
}

func newJoiningRouter() *joiningRouter {
	j := &joiningRouter{}
	j.controller = &config.Controller{
		Store: &config.Store{Table: &unavailableTable{}, Objects: &object.Memory{}},
		Parse: acceptAny, Adopted: &j.active, State: &board.Cell[wire.ConfigState]{},
		Members: &board.Cell[peer.Members]{}, Heard: &board.Cell[peer.AnnouncedVersion]{},
		Seeds: func() []string { return []string{"old", "new"} }, Instance: "joining",
	}
	return j
}

// Guards against a restarted router that serves an older version after the fetch of a newer one, which a peer reported,
// has failed.
func TestJoinWaitsForNewestVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		peers := peersWithVersions(ctx, t, 2)
		j := newJoiningRouter()
		var fetchFails atomic.Bool
		fetchFails.Store(true)
		j.controller.Join = func(ctx context.Context, address string, _ wire.ConfigQuery) (wire.ConfigState, error) {
			if address == "old" {
				return peers[0].ServeConfigState(ctx, wire.ConfigQuery{})
			}
			return peers[1].ServeConfigState(ctx, wire.ConfigQuery{})
		}
		j.controller.Get = func(ctx context.Context, address string, get wire.ConfigGet) (wire.ConfigPart, error) {
			if address == "old" {
				return peers[0].ServeConfigGet(ctx, get)
			}
			if fetchFails.Load() {
				return wire.ConfigPart{}, errors.New("connection reset")
			}
			return peers[1].ServeConfigGet(ctx, get)
		}
		go func() { _ = j.controller.Run(ctx) }()
		go j.observe(ctx)
		// Peer old announces its version.
		_, err := j.controller.ServeConfigState(ctx, wire.ConfigQuery{Address: "old", Number: 1})
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		is.Equal(j.active.Load(), (*config.Version)(nil))
		fetchFails.Store(false)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		is.Equal(j.servedNumbers, []int{2})
	})
}

// Guards against a restarted router that serves an older version on the basis of outdated answers, when a peer with a
// newer version has become reachable since.
func TestJoinIgnoresOutdatedAnswers(t *testing.T) {
	const stallTime = 4 * time.Second // A fetch from a peer that does not answer delays the others.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		peers := peersWithVersions(ctx, t, 2)
		j := newJoiningRouter()
		start := time.Now()
		j.controller.Join = func(ctx context.Context, address string, _ wire.ConfigQuery) (wire.ConfigState, error) {
			switch {
			case address == "old":
				return peers[0].ServeConfigState(ctx, wire.ConfigQuery{})
			case time.Since(start) < time.Second:
				return wire.ConfigState{}, errors.New("connection refused")
			}
			return peers[1].ServeConfigState(ctx, wire.ConfigQuery{})
		}
		j.controller.Get = func(ctx context.Context, address string, get wire.ConfigGet) (wire.ConfigPart, error) {
			if address != "old" {
				return peers[1].ServeConfigGet(ctx, get)
			}
			if time.Since(start) < stallTime {
				time.Sleep(stallTime - time.Since(start))
			}
			return peers[0].ServeConfigGet(ctx, get)
		}
		go func() { _ = j.controller.Run(ctx) }()
		go j.observe(ctx)
		time.Sleep(15 * time.Second)
		synctest.Wait()
		is.Equal(j.servedNumbers, []int{2})
	})
}

// headOnlyTable names a current version whose objects do not exist.
type headOnlyTable struct{ table.Memory }

func (*headOnlyTable) Get(context.Context, string) (table.Row, error) {
	return table.Row{Key: config.HeadKey, Value: []byte(`{"number":2,"digest":"absent","change":"b"}`), Version: 2}, nil
}

// Guards against a new router that serves an older version from a peer although the head names a newer one whose
// objects cannot be read.
func TestJoinRejectsVersionOlderThanHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		peers := peersWithVersions(ctx, t, 1)
		j := newJoiningRouter()
		j.controller.Store.Table = &headOnlyTable{}
		j.controller.Join = func(ctx context.Context, _ string, _ wire.ConfigQuery) (wire.ConfigState, error) {
			return peers[0].ServeConfigState(ctx, wire.ConfigQuery{})
		}
		j.controller.Get = func(ctx context.Context, _ string, get wire.ConfigGet) (wire.ConfigPart, error) {
			return peers[0].ServeConfigGet(ctx, get)
		}
		go func() { _ = j.controller.Run(ctx) }()
		go j.observe(ctx)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		is.Equal(j.servedNumbers, []int(nil))
	})
}

// Guards against a restarted router that serves an older version because the reconnect backoff keeps it from the peer
// that holds the newer one, although that peer is reachable again.
func TestJoinIgnoresReconnectBackoff(t *testing.T) {
	for range 10 { // The reconnect backoff is random.
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation()
			defer s.startAllRouters()()
			_, _, err := s.commitConcurrently(t.Context(), 1)
			is.NoErr(err)
			time.Sleep(5 * time.Second)
			s.setStoresReachable([routerCount]bool{true, false, false, true})
			s.setPartition([routerCount]int{0, 1, 1, 0}) // Routers 1 and 2 do not get the second version.
			_, _, err = s.commitConcurrently(t.Context(), 1)
			is.NoErr(err)
			time.Sleep(5 * time.Second)
			s.setStoresReachable([routerCount]bool{})
			s.kill(0)
			s.setPartition([routerCount]int{0, 1, 1, 2})
			s.startRouter(0)
			time.Sleep(20 * time.Second)
			s.setPartition([routerCount]int{})
			time.Sleep(10 * time.Second)
			s.mu.Lock()
			defer s.mu.Unlock()
			is.Equal(s.regressions, []string(nil))
		})
	}
}
