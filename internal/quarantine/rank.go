package quarantine

import (
	"github.com/cespare/xxhash/v2"

	"citronslip/internal/rendezvous"
)

// firstRanked returns the name that rank puts first, or an empty string if there are no names.
func firstRanked(fingerprint string, names []string) string {
	return rendezvous.Highest(names, weightOf(fingerprint))
}

// rank orders names by rendezvous hashing on the fingerprint.
func rank(fingerprint string, names []string) []string {
	return rendezvous.Rank(names, weightOf(fingerprint))
}

// weightOf returns a function that gives the weight of a name for a fingerprint.
func weightOf(fingerprint string) func(name string) uint64 {
	seed := xxhash.Sum64String(fingerprint)
	return func(name string) uint64 { return rendezvous.Mix(seed ^ xxhash.Sum64String(name)) }
}
