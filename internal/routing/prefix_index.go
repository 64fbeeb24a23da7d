package routing

import "time"

const (
	maxServersPerPrefix = 4 // More would cost memory without improving the choice.
)

type (
	// prefixServers lists the servers that recently held a prefix.
	prefixServers struct {
		servers [maxServersPerPrefix]int32 // server.index plus one; zero if the slot is empty.
		expires [maxServersPerPrefix]int64 // Unix nanoseconds.
	}

	// prefixIndex is a bounded index from prefix hashes to servers. It keeps two generations: when the newer one is
	// full, it becomes the older one and the previous older one is dropped, so that entries that are not renewed go
	// first.
	prefixIndex struct {
		newer map[uint64]*prefixServers
		older map[uint64]*prefixServers
	}
)

// find returns the entry of a prefix, or nil if there is none.
func (x *prefixIndex) find(prefix uint64) *prefixServers {
	if found, ok := x.newer[prefix]; ok {
		return found
	}
	return x.older[prefix]
}

// add records that the server holds the prefix until the expiry. If all slots of the prefix are taken by other servers,
// the one that expires first is replaced.
func (x *prefixIndex) add(prefix uint64, server int32, expiry time.Time, maxEntries int) {
	entry := x.find(prefix)
	if entry == nil {
		entry = &prefixServers{}
	}
	x.promote(prefix, entry, maxEntries)
	slot := 0
	for i := range entry.servers {
		if entry.servers[i] == server+1 {
			slot = i
			break
		}
		if entry.expires[i] < entry.expires[slot] {
			slot = i
		}
	}
	entry.servers[slot] = server + 1
	entry.expires[slot] = expiry.UnixNano()
}

// remove removes the server from the entry of the prefix.
func (x *prefixIndex) remove(prefix uint64, server int32) {
	entry := x.find(prefix)
	if entry == nil {
		return
	}
	for i := range entry.servers {
		if entry.servers[i] == server+1 {
			entry.servers[i] = 0
			entry.expires[i] = 0
		}
	}
}

// promote moves the entry to the newer generation, and starts a new generation if that one is full.
func (x *prefixIndex) promote(prefix uint64, entry *prefixServers, maxEntries int) {
	if x.newer == nil || len(x.newer) >= maxEntries/2 && x.newer[prefix] == nil {
		x.older = x.newer
		x.newer = make(map[uint64]*prefixServers)
	}
	x.newer[prefix] = entry
}
