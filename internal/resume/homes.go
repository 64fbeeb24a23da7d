package resume

import (
	"slices"

	"citronslip/internal/rendezvous"
)

type (
	// ring is the set of the other routers, with the hashes of their addresses.
	ring []member

	// member is another router.
	member struct {
		address string
		hash    uint64
	}

	// rankedMember is a router with its weight for a stream.
	rankedMember struct {
		address string
		weight  uint64
	}
)

// newRing returns the routers at the addresses.
func newRing(addresses []string) ring {
	members := make(ring, 0, len(addresses))
	for _, address := range addresses {
		members = append(members, member{address: address, hash: rendezvous.Hash(address)})
	}
	return members
}

// homes returns the addresses of the routers that keep the record of a stream, the first ones first.
func (r ring) homes(key uint64) []string {
	best := make([]rankedMember, 0, maxHomes+1)
	for _, m := range r {
		next := rankedMember{address: m.address, weight: rendezvous.Mix(key ^ m.hash)}
		at, _ := slices.BinarySearchFunc(best, next, func(a, b rankedMember) int {
			if a.weight > b.weight || a.weight == b.weight && a.address < b.address {
				return -1
			}
			return 1
		})
		if at == maxHomes {
			continue
		}
		best = slices.Insert(best, at, next)
		best = best[:min(len(best), maxHomes)]
	}
	addresses := make([]string, 0, len(best))
	for _, m := range best {
		addresses = append(addresses, m.address)
	}
	return addresses
}
