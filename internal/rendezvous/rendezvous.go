// Package rendezvous implements rendezvous hashing (highest random weight). Processes that know the same names choose
// the same one for a key without exchanging messages, and a name that is added or removed changes the choice only for
// the keys assigned to that name.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of a sequence of strings. A zero byte ends each string, so that ("a", "b") and ("ab") have
// different hashes.
func Hash(parts ...string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		_, _ = digest.WriteString(part) // Writing to a hash never fails.
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// Mix returns the hash x with its bits mixed, so that each bit of x affects all bits of the result. It is the finalizer
// of SplitMix64.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Highest returns the name with the highest weight, or the empty string if there are no names. Of names with equal
// weight it returns the alphabetically first.
func Highest(names []string, weight func(name string) uint64) string {
	var highest string
	var maxWeight uint64
	for _, name := range names {
		if w := weight(name); highest == "" || w > maxWeight || w == maxWeight && name < highest {
			highest, maxWeight = name, w
		}
	}
	return highest
}

// Rank returns a copy of names sorted by decreasing weight, and alphabetically where weights are equal.
func Rank(names []string, weight func(name string) uint64) []string {
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return ordered
}
