package store_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"citronslip/internal/store"
)

var (
	key = store.Key{Table: "t", Name: "a"}
)

type (
	// rowValues are the rows' values by name, as a follower reported them.
	rowValues map[string]string
)

func (v rowValues) apply(c store.Change) {
	if c.Whole {
		clear(v)
	}
	for _, row := range c.Rows {
		if row.Deleted {
			delete(v, row.Name)
			continue
		}
		v[row.Name] = string(row.Value)
	}
}

// Guards against a write that takes effect although its condition does not hold, and against a conflict that does not
// return the current row.
func TestWriteConditions(t *testing.T) {
	is := is.New(t)
	m := &store.Memory{}
	first, err := m.Write(t.Context(), store.Write{Expect: []store.Condition{{Key: key}}, Puts: []store.Put{{Key: key, Value: []byte("1")}}})
	is.NoErr(err)
	conflict, err := m.Write(t.Context(), store.Write{Expect: []store.Condition{{Key: key}}, Puts: []store.Put{{Key: key, Value: []byte("2")}}})
	is.True(errors.Is(err, store.ErrConflict))
	is.Equal(conflict.Rows[0].Version, first.Version)
	is.Equal(string(conflict.Rows[0].Value), "1")
}

// Guards against changes that a follower misses during outages, lost calls and after the store dropped its history.
func TestFollowerMissesNoChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var fault atomic.Int32
		m := &store.Memory{Fault: func(bool) store.Fault { return store.Fault(fault.Load()) }}
		logger := zerolog.Nop()
		followed := make(rowValues)
		f := &store.Follower{Store: m, Table: "t", Logger: &logger, Apply: followed.apply}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		for i := range 40 {
			switch i % 10 {
			case 3:
				fault.Store(int32(store.RefuseCall))
			case 5:
				fault.Store(int32(store.LoseCall))
			case 7:
				fault.Store(int32(store.NoFault))
			case 8:
				m.DropHistory()
			}
			rowKey := store.Key{Table: "t", Name: fmt.Sprint(i % 7)}
			write := store.Write{Puts: []store.Put{{Key: rowKey, Value: []byte(fmt.Sprint(i))}}}
			if i%5 == 4 {
				write = store.Write{Remove: []store.Key{rowKey}}
			}
			is.NoErr(m.WriteDirect(write))
			time.Sleep(700 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		cancel()
		is.NoErr(<-done)
		rows, err := m.List(t.Context(), "t", "")
		is.NoErr(err)
		is.Equal(len(rows.Rows), len(followed))
		for _, row := range rows.Rows {
			is.Equal(followed[row.Name], string(row.Value))
		}
		is.True(f.Age() < 15*time.Second)
	})
}

// Guards against a follower that misses changes after the store came back from an older copy and has passed the version
// again from which the feed goes on.
func TestFollowerReadsTableAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := &store.Memory{}
		put := func(name string) {
			is.NoErr(m.WriteDirect(store.Write{Puts: []store.Put{{Key: store.Key{Table: "t", Name: name}, Value: []byte(name)}}}))
		}
		put("before")
		saved := m.Copy()
		known := make(map[string]bool)
		var mu sync.Mutex
		logger := zerolog.Nop()
		f := &store.Follower{Store: m, Table: "t", Pause: time.Second, Logger: &logger, Apply: func(c store.Change) {
			mu.Lock()
			defer mu.Unlock()
			if c.Whole {
				clear(known)
			}
			for _, row := range c.Rows {
				known[row.Name] = true
			}
		}}
		go func() { _ = f.Run(t.Context()) }()
		time.Sleep(time.Second)
		for i := range 5 {
			put(fmt.Sprint("forgotten", i))
		}
		time.Sleep(1500 * time.Millisecond)
		put("delay") // The follower waits until it asks again.
		time.Sleep(100 * time.Millisecond)
		m.Restore(saved)
		for i := range 20 {
			put(fmt.Sprint("after", i))
		}
		time.Sleep(5 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		is.True(known["before"] && known["after0"] && known["after19"])
		is.True(!known["forgotten0"])
	})
}
