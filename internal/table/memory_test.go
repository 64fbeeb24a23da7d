package table_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/table"
)

// Guards against a commit that applies some of its ops although the condition of another one does not hold.
func TestCommitIsAtomic(t *testing.T) {
	is := is.New(t)
	var m table.Memory
	rows, err := m.Commit(t.Context(), []table.Op{{Key: "a", Value: []byte("1"), Cond: table.CondAbsent}})
	is.NoErr(err)
	_, err = m.Commit(t.Context(), []table.Op{
		{Key: "b", Value: []byte("2")},
		{Key: "a", Value: []byte("3"), Cond: table.CondVersion, Version: rows[0].Version + 1},
	})
	is.True(errors.Is(err, table.ErrConflict))
	_, err = m.Get(t.Context(), "b")
	is.True(errors.Is(err, table.ErrNotFound))
}

// Guards against an injected fault that drops the write together with its answer; recovery from lost answers would then
// go untested.
func TestLostAnswerKeepsTheWrite(t *testing.T) {
	is := is.New(t)
	m := table.Memory{Inject: func(call string) table.Fault {
		if call == "commit" {
			return table.FaultLose
		}
		return table.FaultNone
	}}
	_, err := m.Commit(t.Context(), []table.Op{{Key: "a", Value: []byte("1")}})
	is.True(errors.Is(err, table.ErrUnknown))
	row, err := m.Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(string(row.Value), "1")
}

// Guards against a page that repeats the last row of the page before, or contains rows without the prefix.
func TestScanPagesByKey(t *testing.T) {
	is := is.New(t)
	var m table.Memory
	for _, key := range []string{"p/2", "q/1", "p/1", "p/3", "o/1"} {
		_, err := m.Commit(t.Context(), []table.Op{{Key: key}})
		is.NoErr(err)
	}
	rows, err := m.Scan(t.Context(), "p/", "", 2)
	is.NoErr(err)
	is.Equal(len(rows), 2)
	rows, err = m.Scan(t.Context(), "p/", rows[1].Key, 2)
	is.NoErr(err)
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Key, "p/3")
}
