package proxy

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/event"
	"citronslip/internal/wire"
)

const (
	// contactTTL is how long a response or a connection shows that a server is reached.
	contactTTL = time.Second
	// failureTTL is how long a failed test for another router is relied on.
	failureTTL = 2 * time.Second
	// routerTTL is how long a router that failed to send a request is not used again.
	routerTTL = time.Second
	// maxTriedRouters is the maximum number of routers through which one request is tried.
	maxTriedRouters = 3
)

type (
	// PeerClient asks other routers.
	PeerClient interface {
		// Reach asks the router at an address which backend servers it reaches.
		Reach(ctx context.Context, address string, query wire.ProxyQuery) (wire.ProxyAnswer, error)
	}

	// Paths knows which backend servers this router reaches, and which routers reach the others. Set the exported fields
	// before the first use.
	Paths struct {
		Address string // At which this router accepts requests of other routers; none if empty.
		Place   string // Data centre of this router.
		Peers   PeerClient
		Members func() []string // Peer addresses of the other running routers.
		// Dial opens a connection to a backend server.
		Dial func(ctx context.Context, network, address string) (net.Conn, error)
		// Restored is called with the name of a server that is reached again, through another router or directly, after a
		// failure of the path. Failures of the path say nothing about the server.
		Restored func(server string)
		// Reopened is called with the name of a server to which a connection can be opened again, and which may have been
		// down before; optional.
		Reopened func(server string)
		Closed   func() bool // Whether this router sends no requests for others at present; optional.
		// Withheld reports whether no connection may be opened and no request sent to an address at present; optional. It must
		// not call the Paths.
		Withheld func(address string) bool
		Now      func() time.Time
		Logger   *zerolog.Logger
		Metrics  tally.Scope // Optional.

		mu      sync.Mutex
		servers map[string]*serverPath // By address.
		routers map[string]*router     // By peer address.
		wake    chan struct{}
		search  *search // Search in progress; nil if there is none.

		knownRouters map[string]struct{} // Peer addresses of the other running routers at the last step.

		brokenTestsAt time.Time // When broken ways were last tested.
		recoveredAt   time.Time // When a broken way last worked again.
	}

	// serverPath is what is known about the ways to one server.
	serverPath struct {
		server    Server
		contactAt time.Time // When a response or a connection last showed that the server is reached directly.
		failedAt  time.Time // When a test for another router last failed.
		broken    bool      // Whether the server is not reached directly.
		brokenAt  time.Time
		doubtAt   time.Time            // When the last way to the server was lost. Contacts of other routers before that show nothing.
		cut       bool                 // Whether no server of its service was reached directly at some time since.
		confirmed bool                 // Whether another router reaches the server since the last failure of the way to it.
		denied    bool                 // Whether a router that was asked since it was confirmed did not reach the server.
		via       []string             // Peer addresses of the routers that reach the server.
		unsent    map[string]time.Time // When a router, by peer address, last did not send a request to the server.

		attempts   map[*attempt]struct{} // Requests that were sent directly and have no response yet.
		answerTest *answerTest           // In progress; nil if there is none.

		testing  bool
		testAt   time.Time // Time of the next test of the direct way.
		tests    int       // Failed tests since it broke.
		wanted   bool      // Whether a request needs another router to the server.
		searchAt time.Time // Time of the next search for other routers.
		searches int       // Searches without a result in a row.
		// places lists the data centres of one of which a request needs a router; nil if all will do.
		places []string
		// placesAt is the time of the next search for such routers while others are known.
		placesAt time.Time
	}

	// router is what is known about another router.
	router struct {
		address  string    // At which it accepts requests of other routers; empty if it accepts none.
		place    string    // Its data centre.
		failedAt time.Time // When it last failed to send a request or to answer.

		recheckedAt time.Time // When it was last asked again after a lost response.
		reachedNone bool      // Whether it reached none of the servers when it was last asked.
	}

	// way is how a request reaches its server: direct, through, blocked or closedOff.
	way interface{ isWay() }

	// direct is the way without another router.
	direct struct{}

	// through is the way through another router.
	through struct {
		peer    string // Its peer address.
		address string // At which it accepts requests of other routers.
	}

	// blocked means that no way is known.
	blocked struct{}

	// closedOff means that no router in the data centres that the request allows is known to reach the server, while others do.
	closedOff struct{}

	// attempted are the ways on which an attempt was not sent.
	attempted struct {
		direct  bool
		routers []string // Peer addresses.
	}
)

func (direct) isWay()  {}
func (through) isWay() {}
func (blocked) isWay() {}

func (closedOff) isWay() {}

// DialForRequest opens a connection to a backend server for a request with Dial. The error is ErrWithheld if the request must
// not be sent, also if that became known while the connection was opened.
func (p *Paths) DialForRequest(ctx context.Context, network, address string) (net.Conn, error) {
	if p.withholds(address) {
		return nil, ErrWithheld
	}
	conn, err := p.Dial(ctx, network, address)
	if err == nil && p.withholds(address) {
		_ = conn.Close()
		return nil, ErrWithheld
	}
	return conn, err
}

// withholds reports whether no connection may be opened and no request sent to an address.
func (p *Paths) withholds(address string) bool { return p.Withheld != nil && p.Withheld(address) }

// Update replaces the set of backend servers. What is known about an address belongs to the server of that name.
func (p *Paths) Update(servers []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*serverPath, len(servers))
	for _, server := range servers {
		path := p.servers[server.Address]
		if path == nil || path.server != server {
			path = &serverPath{server: server}
		}
		next[server.Address] = path
	}
	p.servers = next
}

// recordContact records a response of a server on a direct connection. It does not show that new connections can be
// opened, so that a broken way stays broken.
func (p *Paths) recordContact(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if path := p.servers[address]; path != nil && !path.broken {
		path.contactAt = p.Now()
	}
}

// restore records that a connection to a server was opened. The caller holds the lock.
func (p *Paths) restore(path *serverPath) {
	path.contactAt = p.Now()
	if !path.broken {
		path.wanted = false
		return
	}
	event.PathRestored.Log(p.Logger).Str("server", path.server.Name).Dur("after", path.contactAt.Sub(path.brokenAt)).Send()
	// If no router reached the server, it has been down, unless all servers of its service were out of reach at once.
	if path.confirmed || path.cut {
		p.restored(path)
	} else if p.Reopened != nil {
		go p.Reopened(path.server.Name) // Takes locks of other parts.
	}
	path.broken, path.cut, path.wanted, path.confirmed, path.via = false, false, false, false, nil
	p.testBrokenSoon(path.contactAt)
}

// restored reports that a server is reached again. The caller holds the lock.
func (p *Paths) restored(path *serverPath) {
	if p.Restored != nil {
		name := path.server.Name
		go p.Restored(name) // Takes locks of other parts.
	}
}

// markCut records that all servers of a service are out of reach if no server of it is reached directly. The caller holds
// the lock.
func (p *Paths) markCut(service string) {
	var paths []*serverPath
	for _, path := range p.servers {
		if path.server.Service == service {
			if !path.broken {
				return
			}
			paths = append(paths, path)
		}
	}
	for _, path := range paths {
		path.cut = true
	}
}

// recordFailure records that no connection for a request to a server could be opened. While the way is broken, that says
// nothing new: only the tests decide about the next test, or the requests in flight at its break would put it off.
func (p *Paths) recordFailure(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.servers[address]
	if path == nil {
		return
	}
	path.wanted = true
	if !path.broken {
		p.breakPath(path)
	}
}

// breakPath records that the direct way to a server is broken. The caller holds the lock.
func (p *Paths) breakPath(path *serverPath) {
	now := p.Now()
	path.broken, path.brokenAt, path.doubtAt = true, now, now
	path.confirmed, path.via = false, nil
	path.searchAt, path.searches = now, 0
	p.markCut(path.server.Service)
	path.tests = 0
	path.testAt = now.Add(p.testInterval(path))
	event.PathBroken.Log(p.Logger).Str("server", path.server.Name).Str("service", path.server.Service).
		Str("address", path.server.Address).Send()
	p.counter("broken")
	p.suspectService(path.server.Service, now)
	p.wakeUp()
}

// recordUnsent records that a router answered that it did not send a request to a server. That says nothing about its
// way to others.
func (p *Paths) recordUnsent(peer, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if path := p.servers[address]; path != nil {
		now := p.Now()
		maps.DeleteFunc(path.unsent, func(_ string, at time.Time) bool { return now.Sub(at) >= routerTTL })
		if path.unsent == nil {
			path.unsent = make(map[string]time.Time)
		}
		path.unsent[peer] = now
		p.leave(path, peer)
	}
}

// recordRouterFailure records that a router could not be reached with a request to a server, or lost it.
func (p *Paths) recordRouterFailure(peer, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.routers[peer]; r != nil {
		r.failedAt = p.Now()
	}
	if path := p.servers[address]; path != nil {
		p.leave(path, peer)
	}
}

// leave has another router searched for in place of one. The caller holds the lock.
func (p *Paths) leave(path *serverPath, peer string) {
	path.via = slices.DeleteFunc(path.via, func(via string) bool { return via == peer })
	path.wanted, path.searchAt = true, p.Now()
	if len(path.via) == 0 {
		path.confirmed, path.doubtAt = false, path.searchAt
	}
	p.wakeUp()
}

// find returns the way of a request to a server that was not tried yet. Without one, it waits for the ends of searches
// for other routers, of which the first may have begun before the way to the server broke.
func (p *Paths) find(ctx context.Context, address string, tried attempted) way {
	places := callOf(ctx).Places
	found, searching := p.next(address, tried, places)
	if searching == nil {
		return found
	}
	timer := time.NewTimer(findTimeout)
	defer timer.Stop()
	for searching != nil {
		select {
		case <-ctx.Done():
			return found
		case <-timer.C:
			p.giveUp(address)
			return found
		case <-searching:
		}
		found, searching = p.next(address, tried, places)
	}
	return found
}

// next returns the way of a request to a server, and without one a channel that is closed at the end of the search for
// other routers; nil if none is due. Only routers in the given data centres are used, or all if places is empty.
func (p *Paths) next(address string, tried attempted, places []string) (way, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.servers[address]
	if path == nil || !path.broken {
		if tried.direct || len(tried.routers) > 0 {
			return blocked{}, nil
		}
		return direct{}, nil
	}
	if len(tried.routers) >= maxTriedRouters {
		return blocked{}, nil
	}
	now := p.Now()
	candidates := slices.DeleteFunc(slices.Clone(path.via), func(peer string) bool {
		return slices.Contains(tried.routers, peer) || !p.usable(path, peer, now) || !p.isIn(peer, places)
	})
	path.wanted = true
	if len(candidates) > 0 {
		peer := p.best(candidates)
		return through{peer: peer, address: p.routers[peer].address}, nil
	}
	var none way = blocked{}
	elsewhere := len(places) > 0 && p.found(path, now) // Routers in other data centres reach the server.
	if elsewhere {
		none = closedOff{}
	}
	if p.search != nil && !p.search.isFound {
		return none, p.search.found
	}
	switch {
	case elsewhere && now.Before(path.placesAt), !elsewhere && now.Before(path.searchAt):
		p.missRouters(path, now)
		return none, nil
	case elsewhere:
		path.searchAt, path.placesAt = now, now.Add(remoteSearchInterval)
	}
	path.places = places
	p.startSearch()
	return none, p.search.found
}

// isIn reports whether a router is known to be in one of the data centres; always if there are none. The caller holds the
// lock.
func (p *Paths) isIn(peer string, places []string) bool {
	r := p.routers[peer]
	return len(places) == 0 || r != nil && slices.Contains(places, r.place)
}

// giveUp records that an attempt to a server does not wait for the search any longer.
func (p *Paths) giveUp(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if path := p.servers[address]; path != nil {
		p.missRouters(path, p.Now())
	}
}

// missRouters records that an attempt was not sent because no router that reached the server answers. The attempt counts
// as a failure of the server, which is restored when a router is found again. If a router has answered that it does not
// reach the server, the server itself may have failed, and stays to be probed. The caller holds the lock.
func (p *Paths) missRouters(path *serverPath, now time.Time) {
	if path.confirmed && !path.denied && !p.found(path, now) {
		path.confirmed, path.doubtAt = false, now
	}
}

// usable reports whether a router accepts requests of others and has not failed recently. The caller holds the lock.
func (p *Paths) usable(path *serverPath, peer string, now time.Time) bool {
	r := p.routers[peer]
	return r != nil && r.address != "" && now.Sub(r.failedAt) >= routerTTL && now.Sub(path.unsent[peer]) >= routerTTL
}

// best returns one of the routers at random, one in this router's own data centre if there is any: requests then cross
// between data centres no more often than without another router. The caller holds the lock.
func (p *Paths) best(peers []string) string {
	order := rand.Perm(len(peers))
	return peers[slices.MinFunc(order, func(a, b int) int {
		return cmp.Compare(p.distance(peers[a]), p.distance(peers[b]))
	})]
}

// distance returns 0 for a router in the own data centre and 1 for others. The caller holds the lock.
func (p *Paths) distance(peer string) int {
	if r := p.routers[peer]; r != nil && r.place == p.Place {
		return 0
	}
	return 1
}

// Rerouted reports whether requests to the server at an address go through another router, which reaches it.
func (p *Paths) Rerouted(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.servers[address]
	return path != nil && path.broken && path.confirmed
}

// reaches reports whether a server is reached directly, and whether that is known from contacts up to an age.
func (p *Paths) reaches(address string, maxAge time.Duration) (reached, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.servers[address]
	now := p.Now()
	switch {
	case path == nil || path.broken || p.withholds(address) || now.Sub(path.failedAt) < failureTTL:
		return false, true
	case now.Sub(path.contactAt) < maxAge:
		return true, true
	}
	return false, false
}

// isBroken reports whether the direct way to a server is known to be broken.
func (p *Paths) isBroken(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.servers[address]
	return path != nil && path.broken
}

func (p *Paths) counter(name string) {
	if p.Metrics != nil {
		p.Metrics.Counter(name).Inc(1)
	}
}
