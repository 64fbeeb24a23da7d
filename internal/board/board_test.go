package board_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/board"
)

func ExampleCell() {
	var cell board.Cell[int]
	first := 1
	cell.Store(&first)
	cell.Update(func(old *int) *int {
		next := *old + 1
		return &next
	})
	fmt.Println(*cell.Load())
	// Output: 2
}

// Guards against a watcher that misses a change between its read of the value and its wait.
func TestWatchSeesEveryLaterStore(t *testing.T) {
	is := is.New(t)
	var cell board.Cell[int]
	value, changed := cell.Watch()
	is.True(value == nil)
	one := 1
	cell.Store(&one)
	<-changed
	value, _ = cell.Watch()
	is.Equal(*value, 1)
}
