package caller_test

import (
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/caller"
	"citronslip/internal/engine"
	"citronslip/internal/routing"
)

// Guards against a new process of a backend server that is taken for one of the software version before it.
func TestNewProcessHasItsOwnSoftwareVersion(t *testing.T) {
	is := is.New(t)
	f := &testFrontend{}
	f.build(t, testInventory(), nil)
	runs := func(software string) bool {
		choice, err := f.front.Picker.Pick(&routing.Request{Service: "planning", Model: "planner", Software: software})
		if err != nil {
			return false
		}
		choice.Done(routing.Cancelled{})
		return true
	}
	is.True(!runs("1"))
	f.front.RecordProcess("planner1", engine.Load{Start: "a", Software: "1"})
	is.True(runs("1"))
	f.front.RecordProcess("planner1", engine.Load{}) // Of an engine whose report tells nothing of its process.
	is.True(runs("1"))
	f.front.RecordProcess("planner1", engine.Load{Start: "b", Software: "2"})
	is.True(!runs("1") && runs("2"))
	f.front.RecordProcess("planner1", engine.Load{Start: "c"})
	is.True(!runs("1") && !runs("2"))
	is.Equal(f.front.Starts.Latest("planner1"), caller.ServerProcess{Start: "c"})
}
