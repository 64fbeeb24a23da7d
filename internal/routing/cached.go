package routing

import (
	"cmp"
	"time"

	"citronslip/internal/rendezvous"
)

// expectCached fills the scratch space with the number of prompt tokens that each server should have cached: those of
// the longest prefix that the index holds for it.
func (p *Picker) expectCached(r *Request, now time.Time) {
	prefix := r.Prefix[:min(len(r.Prefix), maxPrefixBlocks)]
	nowNanos := now.UnixNano()
	for i := len(prefix) - 1; i >= 0; i-- {
		entry := p.prefixes.find(prefix[i])
		if entry == nil {
			continue
		}
		for k, index := range entry.servers {
			if index == 0 || entry.expires[k] < nowNanos || p.expectedCached[index-1] != 0 {
				continue
			}
			if s := p.serversByIndex[index-1]; s == nil || entry.expires[k] < s.minHintExpiry {
				continue
			}
			p.expectedCached[index-1] = int64(i+1) * int64(p.Block)
			p.expectedCachedIndexes = append(p.expectedCachedIndexes, index-1)
		}
	}
}

// expectCachedAtHome expects part of the prefix at its home, the server with the highest rendezvous hash, unless the
// index already names that server. Routers that have not seen a prefix thus send it to the same server, and it takes up
// cache memory at one server only.
func (p *Picker) expectCachedAtHome(servers []*server, r *Request) {
	if len(r.Prefix) == 0 {
		return
	}
	var home *server
	var maxHash uint64
	for _, s := range servers {
		if s.leaving || s.circuit.state != stateClosed || s.config.Leaving || s.config.Evacuated || !r.allowsPlace(s) {
			continue
		}
		hash := rendezvous.Mix(s.nameHash ^ cmp.Or(r.Home, r.Prefix[0]))
		if home == nil || hash > maxHash {
			home, maxHash = s, hash
		}
	}
	if home == nil || p.expectedCached[home.index] != 0 {
		return
	}
	tokens := len(r.Prefix) * p.Block
	p.expectedCached[home.index] = int64(p.Home * float64(tokens))
	p.expectedCachedIndexes = append(p.expectedCachedIndexes, home.index)
}

// clearExpectedCached clears the scratch space.
func (p *Picker) clearExpectedCached() {
	for _, index := range p.expectedCachedIndexes {
		p.expectedCached[index] = 0
	}
	p.expectedCachedIndexes = p.expectedCachedIndexes[:0]
}

// addPrefix records that the server holds the prefix.
func (p *Picker) addPrefix(prefix uint64, s *server) {
	if p.serversByIndex[s.index] != s {
		return // The server was removed, and another one may have its index.
	}
	expiry := p.now().Add(p.HintLife)
	p.prefixes.add(prefix, s.index, expiry, p.Hints)
}
