package store_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"citronslip/internal/store"
)

// serverRows returns rows that resemble those of backend servers.
func serverRows(count int) []store.Row {
	rows := make([]store.Row, 0, count)
	for i := range count {
		value := fmt.Sprintf(`{"service":"s","address":"10.%d.%d.%d:8727","zone":"catania","state":"ready","slots":128,"sequence":%d}`, i%6, i/250, i%250, i)
		rows = append(rows, store.Row{Key: store.Key{Table: "servers", Name: fmt.Sprintf("i-%08x", i*7919)}, Value: []byte(value), Version: int64(i + 1)})
	}
	return rows
}

// Guards against a snapshot that is truncated, that is mixed with an earlier one, or that alters a row that is not
// text.
func TestSnapshotKeepsAllRows(t *testing.T) {
	is := is.New(t)
	m := &store.Memory{}
	s := &store.Snapshot{Store: m, Table: "servers"}
	empty, err := s.Load(t.Context())
	is.NoErr(err)
	is.Equal(len(empty.Rows), 0)
	for _, count := range []int{20_000, 3000, 1} {
		rows := serverRows(count)
		rows[0].Value = []byte{0xff, 0, 1}
		is.NoErr(s.Save(t.Context(), rows, int64(count), 1))
		result, err := s.Load(t.Context())
		is.NoErr(err)
		is.Equal(result.Version, int64(count))
		is.Equal(len(result.Rows), count)
		for i := range rows {
			is.Equal(result.Rows[i].Name, rows[i].Name)
			is.True(bytes.Equal(result.Rows[i].Value, rows[i].Value))
			is.Equal(result.Rows[i].Version, rows[i].Version)
		}
	}
}

// Guards against a snapshot that hardly saves bytes: when hundreds of routers start in front of thousands of servers,
// each would read as much as the whole list.
func TestSnapshotIsSmall(t *testing.T) {
	is := is.New(t)
	m := &store.Memory{}
	s := &store.Snapshot{Store: m, Table: "servers"}
	rows := serverRows(3000)
	is.NoErr(s.Save(t.Context(), rows, 1, 1))
	list, err := m.List(t.Context(), "snapshot", "servers")
	is.NoErr(err)
	whole, packed := 0, 0
	for _, row := range rows {
		whole += len(row.Value)
	}
	for _, row := range list.Rows {
		packed += len(row.Value)
	}
	t.Logf("%d of %d bytes", packed, whole)
	is.True(packed < whole/4)
}

// Guards against changes that are missed between a snapshot and the feed, and against a follower that does not fall
// back to the table if the snapshot is older than the store's history or cannot be read.
func TestFollowerContinuesFromSnapshot(t *testing.T) {
	for name, damage := range map[string]func(is *is.I, m *store.Memory, s *store.Snapshot){
		"fresh":     func(*is.I, *store.Memory, *store.Snapshot) {},
		"forgotten": func(_ *is.I, m *store.Memory, _ *store.Snapshot) { m.DropHistory() },
		"unreadable": func(is *is.I, m *store.Memory, _ *store.Snapshot) {
			key := store.Key{Table: "snapshot", Part: "servers", Name: "00"}
			is.NoErr(m.WriteDirect(store.Write{Puts: []store.Put{{Key: key, Value: []byte("bad")}}}))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				m := &store.Memory{}
				logger := zerolog.Nop()
				put := func(name, value string) {
					key := store.Key{Table: "servers", Name: name}
					is.NoErr(m.WriteDirect(store.Write{Puts: []store.Put{{Key: key, Value: []byte(value)}}}))
				}
				put("a", "1")
				put("b", "1")
				s := &store.Snapshot{Store: m, Table: "servers"}
				list, err := m.List(t.Context(), "servers", "")
				is.NoErr(err)
				is.NoErr(s.Save(t.Context(), list.Rows, list.Version, list.Era))
				put("a", "2")
				is.NoErr(m.WriteDirect(store.Write{Remove: []store.Key{{Table: "servers", Name: "b"}}}))
				put("c", "1")
				damage(is, m, s)
				followed := make(rowValues)
				f := &store.Follower{Store: m, Table: "servers", Snapshot: s, Logger: &logger, Apply: followed.apply}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- f.Run(ctx) }()
				time.Sleep(time.Second)
				cancel()
				is.NoErr(<-done)
				is.Equal(followed, rowValues{"a": "2", "c": "1"})
			})
		})
	}
}

// Guards against a snapshot that a router writes after a restore that it has not noticed: a reader would go on behind a
// version that the store has not reached again.
func TestSnapshotOfAnotherEraIsNotRead(t *testing.T) {
	is := is.New(t)
	m := &store.Memory{}
	s := &store.Snapshot{Store: m, Table: "servers"}
	saved := m.Copy()
	is.NoErr(m.WriteDirect(store.Write{Puts: []store.Put{{Key: store.Key{Table: "servers", Name: "a"}, Value: []byte("1")}}}))
	list, err := m.List(t.Context(), "servers", "")
	is.NoErr(err)
	m.Restore(saved)
	is.NoErr(s.Save(t.Context(), list.Rows, list.Version, list.Era))
	read, err := s.Load(t.Context())
	is.NoErr(err)
	is.Equal(len(read.Rows), 0)
}
