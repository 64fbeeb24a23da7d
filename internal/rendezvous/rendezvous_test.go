package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/rendezvous"
)

// Guards against the removal of a name changing the order of the others, and against Highest and Rank disagreeing.
func TestOrderWithoutOneName(t *testing.T) {
	is := is.New(t)
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprintf("10.0.0.%d:1", i))
	}
	for i := range 50 {
		weight := func(name string) uint64 { return rendezvous.Hash(name, fmt.Sprintf("account-%d", i)) }
		order := rendezvous.Rank(names, weight)
		is.Equal(rendezvous.Highest(names, weight), order[0])
		remaining := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == order[5] })
		is.Equal(rendezvous.Rank(remaining, weight), slices.Delete(slices.Clone(order), 5, 6))
	}
	is.Equal(rendezvous.Highest(nil, nil), "")
	is.True(rendezvous.Hash("a", "b") != rendezvous.Hash("ab"))
}
