package claim

import (
	"slices"
	"sort"
)

type (
	// NumberSet is a set of request numbers, kept as disjoint ranges in ascending order.
	NumberSet []NumberRange

	// NumberRange holds the numbers from First to Last, inclusive.
	NumberRange struct {
		First uint64 `json:"first"`
		Last  uint64 `json:"last"`
	}
)

// Contains reports whether a number is in the set.
func (n NumberSet) Contains(number uint64) bool {
	i := n.find(number)
	return i < len(n) && n[i].First <= number
}

// Add puts one number into the set.
func (n *NumberSet) Add(number uint64) {
	n.AddRange(NumberRange{First: number, Last: number})
}

// AddRange puts all numbers of a range into the set and merges adjacent ranges.
func (n *NumberSet) AddRange(r NumberRange) {
	start := n.find(max(r.First, 1) - 1)
	end := start
	for end < len(*n) && (*n)[end].First <= r.Last+1 {
		r.First = min(r.First, (*n)[end].First)
		r.Last = max(r.Last, (*n)[end].Last)
		end++
	}
	*n = slices.Replace(*n, start, end, r)
}

// find returns the index of the first range that ends at or after the number, or len(n) if there is none.
func (n NumberSet) find(number uint64) int {
	return sort.Search(len(n), func(i int) bool { return n[i].Last >= number })
}
