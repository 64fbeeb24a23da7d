package quarantine

import (
	"github.com/cespare/xxhash/v2"

	"citronslip/internal/rendezvous"
)

// first returns the name that rank puts first, empty if there is none.
func first(fingerprint string, names []string) string {
	return rendezvous.First(names, weigher(fingerprint))
}

// rank orders names by rendezvous hashing on the fingerprint.
func rank(fingerprint string, names []string) []string {
	return rendezvous.Order(names, weigher(fingerprint))
}

// weigher returns the weights of names for a fingerprint.
func weigher(fingerprint string) func(name string) uint64 {
	seed := xxhash.Sum64String(fingerprint)
	return func(name string) uint64 { return rendezvous.Mix(seed ^ xxhash.Sum64String(name)) }
}
