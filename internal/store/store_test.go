package store_test

import (
	"context"
	"errors"
	"fmt"
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
