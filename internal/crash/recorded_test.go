package crash_test

import (
	"os"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"citronslip/internal/crash"
	"citronslip/internal/harness"
	"citronslip/internal/store"
)

// Guards against rows of crashes that an earlier release wrote and that have no effect, and against one of which a field is lost
// when it is relayed.
func TestRecordedRowsAreUnderstood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		data, err := os.ReadFile(recordedFile)
		is.NoErr(err)
		tracker, rows := newTracker(&store.Memory{}), make(map[string][]byte)
		change := store.Change{Whole: true, Version: 1}
		for line := range strings.Lines(string(data)) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), "\t")
			rows[name] = []byte(value)
			change.Rows = append(change.Rows, store.Row{Key: store.Key{Table: crash.Table, Name: name}, Value: []byte(value), Version: 1})
		}
		tracker.Apply(change)
		is.True(blocked(tracker, "new", "harmful"))
		is.True(!blocked(tracker, "new", "common")) // It was answered.
		relayed := tracker.RecentRows()
		is.Equal(len(relayed), len(rows))
		for _, row := range relayed {
			is.NoErr(harness.Keeps(rows[row.Name], row.Value))
		}
	})
}
