// Package rendezvous orders names by their hashes, so that all that know the same names agree without talk, and a name that
// comes or goes moves only its own part.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of several texts. Texts that are divided elsewhere have another hash.
func Hash(texts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, text := range texts {
		_, _ = d.WriteString(text) // A hash does not fail.
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// Mix spreads every bit of a hash; it is the finalizer of SplitMix64.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// First returns the name with the highest weight, or nothing if there are no names.
func First(names []string, weight func(name string) uint64) string {
	var first string
	var most uint64
	for _, name := range names {
		if w := weight(name); first == "" || w > most || w == most && name < first {
			first, most = name, w
		}
	}
	return first
}

// Order returns the names, the highest weight first.
func Order(names []string, weight func(name string) uint64) []string {
	result := slices.Clone(names)
	slices.SortFunc(result, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return result
}
