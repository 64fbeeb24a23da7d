package crash_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/crash"
	"citronslip/internal/store"
)

const (
	// recordedFile holds the rows of crashes as the earlier release wrote them, one a line.
	recordedFile = "testdata/01c4ed0.txt"
)

var (
	// record makes TestRecord write recordedFile. To record a release, copy this file into a worktree of it and run the test
	// there.
	record = flag.Bool("record", false, "record what this release writes")
)

// Records what this release writes, for the tests of later ones: crashes of three servers under requests with a harmful part,
// and the answer to one with a sound part.
func TestRecord(t *testing.T) {
	if !*record {
		t.Skip("records only with -record")
	}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := &store.Memory{}
		tracker := newTracker(m)
		run(t, tracker)
		for i := range 3 {
			crashWith(tracker, i, []string{"common", "harmful"}, []string{"common", "other"})
			tracker.RecordProgress(crash.Request{Fingerprint: "sound", Parts: []string{"common"}})
			time.Sleep(time.Second)
		}
		tracker.AddSuspect(crash.Request{Fingerprint: "begun"}, process("i-9", 1), true)
		tracker.RecordServerDown("i-9")
		time.Sleep(10 * time.Second)
		list, err := m.List(t.Context(), "crash", "")
		is.NoErr(err)
		var out strings.Builder
		for _, row := range slices.Backward(list.Rows) {
			fmt.Fprintf(&out, "%s\t%s\n", row.Name, row.Value)
		}
		is.NoErr(os.WriteFile(recordedFile, []byte(out.String()), 0o600))
	})
}
