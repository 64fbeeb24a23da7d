package proxy

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"citronslip/internal/event"
	"citronslip/internal/wire"
)

const (
	// runInterval is the time between two rounds of tests and searches while the way to a server is broken.
	runInterval = 100 * time.Millisecond
	// testTimeout limits the opening of a connection that tests the direct way, answerTestTimeout such a test for another
	// router, which waits for the answer.
	testTimeout       = 700 * time.Millisecond
	answerTestTimeout = 250 * time.Millisecond
	// minTestInterval and maxTestInterval bound the time between two tests of a broken way, which doubles as long as no
	// other router reaches the server either. testIntervalPerRouter bounds it in a large fleet, so that the connections that a
	// server gets from the tests of all routers together do not grow with the fleet.
	minTestInterval       = 500 * time.Millisecond
	maxTestInterval       = 4 * time.Second
	testIntervalPerRouter = 10 * time.Millisecond
	// maxTests is the maximum number of tests at the same time.
	maxTests = 32
	// suspicionWindow is the time within which the ways to two servers of a service must break for those to its other servers
	// to be tested as well. One server that ended is not a sign of a partition.
	suspicionWindow = 2 * time.Second
	// searchFanout is the number of routers that are asked at once, maxSearchRounds how often others are asked in one search.
	searchFanout    = 3
	maxSearchRounds = 3
	// searchTimeout limits the wait for the answer of one router, findTimeout that of a request for a search.
	searchTimeout = 400 * time.Millisecond
	findTimeout   = 500 * time.Millisecond
	// searchInterval is the time between two searches for a server that other routers reach, minSearchBackoff and
	// maxSearchBackoff bound it for one that none of those that were asked reaches.
	searchInterval   = time.Second
	minSearchBackoff = 250 * time.Millisecond
	maxSearchBackoff = 4 * time.Second
)

type (
	// search is a search for routers that reach servers.
	search struct {
		done chan struct{} // Closed at its end.
	}
)

// Run tests broken ways and searches for routers that reach the servers until the context ends. It always returns nil.
func (p *Paths) Run(ctx context.Context) error {
	ticker := time.NewTicker(runInterval)
	defer ticker.Stop()
	for {
		if !p.step(ctx) {
			ticker.Stop()
			select {
			case <-ctx.Done():
				return nil
			case <-p.woken():
			}
			ticker.Reset(runInterval)
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// woken returns the channel that receives a value when the way to a server breaks.
func (p *Paths) woken() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wakeChannel()
}

// wakeChannel returns the channel of Run. The caller holds the lock.
func (p *Paths) wakeChannel() chan struct{} {
	if p.wake == nil {
		p.wake = make(chan struct{}, 1)
	}
	return p.wake
}

// wakeUp makes Run take its next step. The caller holds the lock.
func (p *Paths) wakeUp() {
	select {
	case p.wakeChannel() <- struct{}{}:
	default:
	}
}

// step starts the tests and the search that are due. It reports whether any way is broken or tested.
func (p *Paths) step(ctx context.Context) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	active, searchDue := false, false
	running := 0
	var due []*serverPath
	for _, path := range p.servers {
		switch {
		case path.testing:
			running++
		case !path.testAt.IsZero() && !now.Before(path.testAt):
			due = append(due, path)
		}
		active = active || path.broken || path.testing || !path.testAt.IsZero()
		searchDue = searchDue || path.broken && !now.Before(path.searchAt)
	}
	rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, path := range due[:min(len(due), max(maxTests-running, 0))] {
		path.testing = true
		go p.test(ctx, path)
	}
	if searchDue && p.search == nil {
		p.startSearch()
	}
	return active
}

// test tests the direct way to a server.
func (p *Paths) test(ctx context.Context, path *serverPath) {
	err := p.open(ctx, path.server.Address, testTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	path.testing = false
	path.testAt = time.Time{}
	switch {
	case ctx.Err() != nil:
	case err != nil && path.broken:
		path.tests++
		path.testAt = p.Now().Add(p.testInterval(path))
	case err != nil:
		p.breakPath(path)
	default:
		p.restore(path)
	}
}

// open opens a connection to a server and closes it.
func (p *Paths) open(ctx context.Context, address string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := p.Dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// testInterval returns the time until the next test of a broken way. The first tests of a large fleet, whose ways break at
// the same time, are spread over the time in which each of its routers may test once. The caller holds the lock.
func (p *Paths) testInterval(path *serverPath) time.Duration {
	interval := minTestInterval
	if !path.confirmed {
		interval = min(minTestInterval<<min(path.tests, 10), maxTestInterval)
	}
	fleet := time.Duration(len(p.Members())) * testIntervalPerRouter
	if path.tests == 0 && fleet > interval {
		return interval + rand.N(fleet)
	}
	interval = max(interval, fleet)
	return interval + rand.N(interval/4)
}

// suspectService has the ways to the other servers of a service tested if those to at least two have broken recently. The
// caller holds the lock.
func (p *Paths) suspectService(service string, now time.Time) {
	broken := 0
	for _, path := range p.servers {
		if path.server.Service == service && path.broken && now.Sub(path.brokenAt) < suspicionWindow {
			broken++
		}
	}
	if broken < 2 {
		return
	}
	for _, path := range p.servers {
		if path.server.Service == service && !path.broken && path.testAt.IsZero() {
			path.testAt = now
		}
	}
}

// testBrokenSoon has all broken ways tested, because one of them works again. The caller holds the lock.
func (p *Paths) testBrokenSoon(now time.Time) {
	for _, path := range p.servers {
		if path.broken {
			path.testAt = now
		}
	}
	p.wakeUp()
}

// suspect has the way to a server tested, because a connection was lost.
func (p *Paths) suspect(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.servers[address]
	if path == nil || path.broken || !path.testAt.IsZero() {
		return
	}
	path.testAt = p.Now()
	p.wakeUp()
}

// startSearch starts a search for routers that reach the servers to which the way is broken. The caller holds the lock.
func (p *Paths) startSearch() {
	now := p.Now()
	var addresses []string
	for address, path := range p.servers {
		if path.broken && !now.Before(path.searchAt) {
			addresses = append(addresses, address)
		}
	}
	current := &search{done: make(chan struct{})}
	p.search = current
	peers := p.searchOrder(now)
	go func() {
		p.runSearch(addresses, peers)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.search = nil
		close(current.done)
	}()
}

// searchOrder returns the routers to ask, in order: those that have carried requests, others at random, and those that
// have failed recently. The caller holds the lock.
func (p *Paths) searchOrder(now time.Time) []string {
	peers := slices.Clone(p.Members())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(a, b string) int { return p.searchRank(a, now) - p.searchRank(b, now) })
	return peers
}

// searchRank returns the rank of a router in the order of a search. The caller holds the lock.
func (p *Paths) searchRank(peer string, now time.Time) int {
	r := p.routers[peer]
	switch {
	case r == nil:
		return 1
	case now.Sub(r.failedAt) < routerTTL:
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
		if len(asked) == 0 || p.allFound(addresses) {
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
	if p.found(path, now) {
		path.searches = 0
		path.searchAt = now.Add(searchInterval)
		return
	}
	path.searchAt = now.Add(min(minSearchBackoff<<min(path.searches, 10), maxSearchBackoff))
	path.searches++
}

// allFound reports whether a router that has not failed recently reaches each of the servers.
func (p *Paths) allFound(addresses []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	return !slices.ContainsFunc(addresses, func(address string) bool {
		path := p.servers[address]
		return path != nil && path.broken && !p.found(path, now)
	})
}

// found reports whether a router that has not failed recently reaches a server. The caller holds the lock.
func (p *Paths) found(path *serverPath, now time.Time) bool {
	return slices.ContainsFunc(path.via, func(peer string) bool { return p.usable(path, peer, now) })
}

// ask asks a router which of the servers it reaches, and records the answer.
func (p *Paths) ask(peer string, addresses []string) {
	ctx, cancel := context.WithTimeout(context.Background(), searchTimeout)
	defer cancel()
	answer, err := p.Peers.Reach(ctx, peer, wire.ProxyQuery{Servers: addresses})
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
		r.address, r.place = answer.Address, answer.Place
	}
	for _, address := range addresses {
		path := p.servers[address]
		if path == nil || !path.broken {
			continue
		}
		path.via = slices.DeleteFunc(path.via, func(via string) bool { return via == peer })
		if err == nil && answer.Address != "" && slices.Contains(answer.Reached, address) {
			path.via = append(path.via, peer)
			p.confirm(path, peer)
		}
	}
}

// confirm records that another router reaches a server. The caller holds the lock.
func (p *Paths) confirm(path *serverPath, peer string) {
	if path.confirmed {
		return
	}
	path.confirmed = true
	if soon := p.Now().Add(p.testInterval(path)); path.tests > 0 && path.testAt.After(soon) {
		path.testAt = soon
	}
	event.PathFound.Log(p.Logger).Str("server", path.server.Name).Str("peer", peer).
		Dur("after", p.Now().Sub(path.brokenAt)).Send()
	p.restored(path)
}

// Reach answers another router's question which servers this router reaches. Servers without a recent contact are tested.
func (p *Paths) Reach(ctx context.Context, query wire.ProxyQuery) (wire.ProxyAnswer, error) {
	answer := wire.ProxyAnswer{Address: p.Address, Place: p.Place, Reached: []string{}}
	if p.Closed != nil && p.Closed() {
		answer.Address = ""
	}
	if answer.Address == "" {
		return answer, nil
	}
	ctx, cancel := context.WithTimeout(ctx, answerTestTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, maxTests)
	for _, address := range query.Servers {
		reached, known := p.reaches(address)
		if known {
			if reached {
				mu.Lock()
				answer.Reached = append(answer.Reached, address)
				mu.Unlock()
			}
			continue
		}
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if p.testForPeer(ctx, address) {
				mu.Lock()
				defer mu.Unlock()
				answer.Reached = append(answer.Reached, address)
			}
		})
	}
	group.Wait()
	return answer, nil
}

// testForPeer tests the direct way to a server for another router, and reports whether it works. A failure does not
// count as a break of the way: a server that ended would otherwise be searched for by routers that do not need it.
func (p *Paths) testForPeer(ctx context.Context, address string) bool {
	err := p.open(ctx, address, answerTestTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.servers[address]
	switch {
	case err == nil && path != nil:
		p.restore(path)
	case path != nil:
		path.failedAt = p.Now()
	}
	return err == nil
}
