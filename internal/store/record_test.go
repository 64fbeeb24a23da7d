package store_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/store"
	"citronslip/internal/wire"
)

const (
	// recordedFile holds packed values as the earlier release wrote them, one a line.
	recordedFile = "testdata/01c4ed0.txt"
	// recordedRows is the number of rows in a recorded snapshot, which takes more than one chunk.
	recordedRows = 4000
)

var (
	// record makes TestRecord write recordedFile. To record a release, copy this file into a worktree of it and run the test
	// there.
	record = flag.Bool("record", false, "record what this release writes")

	// recordedView is the membership view in the file.
	recordedView = wire.PrepaidView{Keeper: "n1/1", Routers: []wire.PrepaidRouter{{Node: "n1", Address: "a1:1"}, {Node: "n2", Address: "a2:2"}}, Era: 3}
)

// recordedServers returns the rows of a recorded snapshot. One of them is not text.
func recordedServers(count int) []store.Row {
	rows := serverRows(count)
	rows[0].Value = []byte{0xff, 0, 1}
	return rows
}

// Records what this release writes, for the tests of later ones.
func TestRecord(t *testing.T) {
	if !*record {
		t.Skip("records only with -record")
	}
	is := is.New(t)
	var out strings.Builder
	m := &store.Memory{}
	is.NoErr((&store.Snapshot{Store: m, Table: "servers"}).Save(t.Context(), recordedServers(recordedRows), recordedRows, 1))
	list, err := m.List(t.Context(), "snapshot", "servers")
	is.NoErr(err)
	for _, row := range list.Rows {
		fmt.Fprintf(&out, "snapshot/%s\t%x\n", row.Name, row.Value)
	}
	packed, err := store.PackRows(recordedServers(3))
	is.NoErr(err)
	fmt.Fprintf(&out, "rows\t%x\n", packed)
	packed, err = store.Pack(recordedView)
	is.NoErr(err)
	fmt.Fprintf(&out, "view\t%x\n", packed)
	is.NoErr(os.WriteFile(recordedFile, []byte(out.String()), 0o600))
}
