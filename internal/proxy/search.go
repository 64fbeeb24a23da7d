package proxy

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"citronslip/internal/event"
	"citronslip/internal/wire"
)

const (
	// searchFanout is the number of routers that are asked at once, maxSearchRounds how often others are asked in one search.
	searchFanout    = 3
	maxSearchRounds = 3
	// searchTimeout limits the wait for the answer of one router, findTimeout that of a request for a search.
	searchTimeout = 400 * time.Millisecond
	findTimeout   = 500 * time.Millisecond
	// searchInterval is the time until another search for a server that other routers reach if requests still need it, and
	// remoteSearchInterval the same if none of these routers is in the own data centre.
	searchInterval       = 4 * time.Second
	remoteSearchInterval = time.Second
	// minSearchBackoff and maxSearchBackoff bound the time until the next search for a server that none of the routers that
	// were asked reaches.
	minSearchBackoff = 250 * time.Millisecond
	maxSearchBackoff = 4 * time.Second
)

type (
	// search is a search for routers that reach servers.
	search struct {
		addresses []string      // Of the servers.
		found     chan struct{} // Closed when a router was found for each server, and at its end.
		isFound   bool          // Whether found is closed.
	}
)

// searchDue reports whether a search is due for a server that requests need.
func (s *serverPath) searchDue(now time.Time) bool {
	return s.broken && s.wanted && !now.Before(s.searchAt)
}

// noticeRouters makes a search due for the servers that no known router reaches if a router has become known: those that were
// asked say nothing about it. A router that has just started knows no others. The caller holds the lock.
func (p *Paths) noticeRouters(now time.Time) {
	members := p.Members()
	known := make(map[string]struct{}, len(members))
	noticed := false
	for _, peer := range members {
		known[peer] = struct{}{}
		_, before := p.knownRouters[peer]
		noticed = noticed || !before
	}
	p.knownRouters = known
	if !noticed {
		return
	}
	for _, path := range p.servers {
		if path.broken && !p.found(path, now) {
			path.searchAt, path.searches = now, 0
		}
	}
}

// startSearch starts a search for routers that reach the servers that requests need. The caller holds the lock.
func (p *Paths) startSearch() {
	now := p.Now()
	var addresses, places []string
	for address, path := range p.servers {
		if path.searchDue(now) && !p.withholds(address) {
			addresses = append(addresses, address)
			places = append(places, path.places...)
		}
	}
	current := &search{addresses: addresses, found: make(chan struct{})}
	p.search = current
	peers := p.searchOrder(now, places)
	go func() {
		p.runSearch(addresses, peers)
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.search == current { // Another one may have begun after all routers were found.
			p.search = nil
		}
		current.end()
	}()
}

// end lets the requests go on that wait for a search. The caller holds the lock of the Paths.
func (s *search) end() {
	if !s.isFound {
		s.isFound = true
		close(s.found)
	}
}

// searchOrder returns the routers to ask, in order: those that are not known or are in the own data centre, at random, others, those
// that reached none of the servers when they were last asked, and those that have failed recently. If requests need routers in
// some data centres, routers that are known to be elsewhere come after those that are not. The caller holds the lock.
func (p *Paths) searchOrder(now time.Time, places []string) []string {
	peers := slices.Clone(p.Members())
	maps.DeleteFunc(p.routers, func(peer string, _ *router) bool { return !slices.Contains(peers, peer) })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(a, b string) int { return p.searchRank(a, places, now) - p.searchRank(b, places, now) })
	return peers
}

// searchRank returns the rank of a router in the order of a search. The caller holds the lock.
func (p *Paths) searchRank(peer string, places []string, now time.Time) int {
	r := p.routers[peer]
	switch {
	case r == nil:
		return 0 // As many carriers as possible become known, which spreads the load.
	case now.Sub(r.failedAt) < routerTTL:
		return 3
	case r.reachedNone, !p.isIn(peer, places):
		return 2
	}
	return p.distance(peer)
}

// runSearch asks routers, a few at a time, until each of the servers is reached by one of them or enough were asked.
func (p *Paths) runSearch(addresses, peers []string) {
	for range maxSearchRounds {
		asked := peers[:min(len(peers), searchFanout)]
		peers = peers[len(asked):]
		var group sync.WaitGroup
		for _, peer := range asked {
			group.Go(func() { p.ask(peer, addresses) })
		}
		group.Wait()
		p.mu.Lock()
		found := p.allFound(addresses)
		p.mu.Unlock()
		if len(asked) == 0 || found {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	for _, address := range addresses {
		if path := p.servers[address]; path != nil && path.broken {
			p.scheduleSearch(path, now)
		}
	}
}

// scheduleSearch sets the time of the next search for a server. The caller holds the lock.
func (p *Paths) scheduleSearch(path *serverPath, now time.Time) {
	path.places = nil
	if p.found(path, now) {
		path.wanted, path.searches = false, 0
		path.searchAt = now.Add(searchInterval)
		if p.distance(p.best(path.via)) > 0 {
			path.searchAt = now.Add(remoteSearchInterval)
		}
		return
	}
	path.searchAt = now.Add(min(minSearchBackoff<<min(path.searches, 10), maxSearchBackoff))
	path.searches++
}

// allFound reports whether a router that has not failed recently, in one of the data centres that a request needs, reaches each
// of the servers. The caller holds the lock.
func (p *Paths) allFound(addresses []string) bool {
	now := p.Now()
	return !slices.ContainsFunc(addresses, func(address string) bool {
		path := p.servers[address]
		return path != nil && path.broken && !p.foundIn(path, path.places, now)
	})
}

// found reports whether a router that has not failed recently reaches a server. The caller holds the lock.
func (p *Paths) found(path *serverPath, now time.Time) bool { return p.foundIn(path, nil, now) }

// foundIn is like found, for a router in one of the data centres; in any if there are none. The caller holds the lock.
func (p *Paths) foundIn(path *serverPath, places []string, now time.Time) bool {
	return slices.ContainsFunc(path.via, func(peer string) bool { return p.usable(path, peer, now) && p.isIn(peer, places) })
}

// ask asks a router which of the servers it reaches, and records the answer.
func (p *Paths) ask(peer string, addresses []string) {
	ctx, cancel := context.WithTimeout(context.Background(), searchTimeout)
	defer cancel()
	maxAge := p.maxContactAge(addresses)
	answer, err := p.Peers.Reach(ctx, peer, wire.ProxyQuery{Servers: addresses, MaxAge: &maxAge})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.routers == nil {
		p.routers = make(map[string]*router)
	}
	r := p.routers[peer]
	if r == nil {
		r = &router{}
		p.routers[peer] = r
	}
	if err != nil {
		event.ReachQueryFailed.Log(p.Logger).Str("peer", peer).Err(err).Send()
		r.failedAt = p.Now()
	} else {
		r.address, r.place, r.reachedNone = answer.Address, answer.Place, len(answer.Reached) == 0
	}
	for _, address := range addresses {
		path := p.servers[address]
		if path == nil || !path.broken {
			continue
		}
		path.via = slices.DeleteFunc(path.via, func(via string) bool { return via == peer })
		switch {
		case err != nil || answer.Address == "":
		case slices.Contains(answer.Reached, address):
			path.via = append(path.via, peer)
			p.confirm(path, peer)
		default:
			path.denied = true
		}
	}
	if p.search != nil && p.allFound(p.search.addresses) {
		p.search.end()
	}
}

// maxContactAge returns the age in milliseconds of contacts that show that the servers are reached. A server may have
// ended when the way to it was lost.
func (p *Paths) maxContactAge(addresses []string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	age := contactTTL
	for _, address := range addresses {
		if path := p.servers[address]; path != nil && !path.confirmed {
			age = min(age, now.Sub(path.doubtAt))
		}
	}
	return int(age.Milliseconds())
}

// confirm records that another router reaches a server. The caller holds the lock.
func (p *Paths) confirm(path *serverPath, peer string) {
	if path.confirmed {
		return
	}
	path.confirmed, path.denied = true, false
	if soon := p.Now().Add(p.testInterval(path)); path.tests > 0 && path.testAt.After(soon) {
		path.testAt = soon
	}
	event.PathFound.Log(p.Logger).Str("server", path.server.Name).Str("peer", peer).
		Dur("after", p.Now().Sub(path.brokenAt)).Send()
	p.restored(path)
	for a := range path.attempts {
		p.interrupt(path, a)
	}
}

// suspectRouter has a router asked again, because a response through it was lost: the router may have ended, or the
// server. Only the former says nothing about the server. Many responses that are lost at once lead to one question.
func (p *Paths) suspectRouter(peer, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	path, r := p.servers[address], p.routers[peer]
	if path == nil || !path.broken || r == nil || p.Now().Sub(r.recheckedAt) < searchTimeout || p.Now().Sub(r.failedAt) < routerTTL {
		return
	}
	r.recheckedAt = p.Now()
	var addresses []string
	for address, path := range p.servers {
		if path.broken && slices.Contains(path.via, peer) {
			addresses = append(addresses, address)
		}
	}
	go p.recheck(peer, addresses)
}

// recheck asks a router which servers it still reaches. If it does not answer, other routers are searched for.
func (p *Paths) recheck(peer string, addresses []string) {
	begin := p.Now()
	p.ask(peer, addresses)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.routers[peer].failedAt.Before(begin) {
		return
	}
	for _, address := range addresses {
		if path := p.servers[address]; path != nil && path.broken {
			p.leave(path, peer)
		}
	}
	p.wakeUp()
}
