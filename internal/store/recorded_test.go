package store_test

import (
	"bytes"
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/store"
	"citronslip/internal/wire"
)

// equalRows reports whether two lists have the same rows.
func equalRows(a, b []store.Row) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Key != b[i].Key || a[i].Version != b[i].Version || !bytes.Equal(a[i].Value, b[i].Value) {
			return false
		}
	}
	return true
}

// Guards against a snapshot, packed rows or a membership view of an earlier release that cannot be read.
func TestRecordedPackedValuesAreUnderstood(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(recordedFile)
	is.NoErr(err)
	m := &store.Memory{}
	for line := range strings.Lines(string(data)) {
		name, text, _ := strings.Cut(strings.TrimSpace(line), "\t")
		value, err := hex.DecodeString(text)
		is.NoErr(err)
		chunk, isChunk := strings.CutPrefix(name, "snapshot/")
		switch {
		case isChunk:
			put := store.Put{Key: store.Key{Table: "snapshot", Part: "servers", Name: chunk}, Value: value}
			is.NoErr(m.WriteDirect(store.Write{Puts: []store.Put{put}}))
		case name == "rows":
			rows, err := store.UnpackRows(value, "servers")
			is.NoErr(err)
			is.True(equalRows(rows, recordedServers(3)))
		case name == "view":
			var view wire.PrepaidView
			is.NoErr(store.Unpack(value, &view))
			is.Equal(view, recordedView)
		}
	}
	result, err := (&store.Snapshot{Store: m, Table: "servers"}).Load(t.Context())
	is.NoErr(err)
	is.Equal(result.Version, int64(recordedRows))
	is.True(equalRows(result.Rows, recordedServers(recordedRows)))
}
