package proxy

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// runInterval is the time between two rounds of tests and searches while the way to a server is broken.
	runInterval = 100 * time.Millisecond
	// testTimeout limits the opening of a connection that tests the direct way.
	testTimeout = 700 * time.Millisecond
	// minTestInterval and maxTestInterval bound the time between two tests of a broken way, which doubles as long as no
	// other router reaches the server either, but others of its service are reached: it has ended then. testIntervalPerRouter bounds it in a large fleet, so that the connections that a
	// server gets from the tests of all routers together do not grow with the fleet.
	minTestInterval       = 500 * time.Millisecond
	maxTestInterval       = 4 * time.Second
	testIntervalPerRouter = 10 * time.Millisecond
	// maxTests is the maximum number of tests at the same time.
	maxTests = 32
	// maxBrokenTests is the number of broken ways that are tested within minTestInterval. The first that works has the others
	// tested at once, which recoveryTime lasts.
	maxBrokenTests = 8
	recoveryTime   = 2 * time.Second
	// suspicionWindow is the time within which the ways to two servers of a service must break for those to its other servers
	// to be tested as well. One server that ended is not a sign of a partition.
	suspicionWindow = 2 * time.Second
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
	p.noticeRouters(now)
	active, searchDue := false, false
	for _, path := range p.servers {
		active = active || path.broken || path.testing || !path.testAt.IsZero()
		searchDue = searchDue || path.searchDue(now) && !p.withholds(path.server.Address)
	}
	for _, path := range p.dueTests(now) {
		path.testing = true
		go p.test(ctx, path)
	}
	if searchDue && p.search == nil {
		p.startSearch()
	}
	return active
}

// dueTests returns the ways that are tested now: those that may be broken first. The caller holds the lock.
func (p *Paths) dueTests(now time.Time) []*serverPath {
	running := 0
	var suspected, broken []*serverPath
	for address, path := range p.servers {
		switch {
		case path.testing:
			running++
		case p.withholds(address):
		case path.testAt.IsZero() || now.Before(path.testAt):
		case path.broken:
			broken = append(broken, path)
		default:
			suspected = append(suspected, path)
		}
	}
	rand.Shuffle(len(broken), func(i, j int) { broken[i], broken[j] = broken[j], broken[i] })
	if now.Sub(p.recoveredAt) > recoveryTime {
		if now.Sub(p.brokenTestsAt) < minTestInterval {
			broken = nil
		}
		broken = broken[:min(len(broken), maxBrokenTests)]
	}
	if len(broken) > 0 {
		p.brokenTestsAt = now
	}
	due := append(suspected, broken...)
	return due[:min(len(due), max(maxTests-running, 0))]
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
	if !path.confirmed && !path.cut {
		interval = min(minTestInterval<<min(path.tests, 10), maxTestInterval)
	}
	fleet := p.fleetInterval()
	if path.tests == 0 && fleet > interval {
		return interval + rand.N(fleet)
	}
	interval = max(interval, fleet)
	return interval + rand.N(interval/4)
}

// fleetInterval returns the time in which each router of the fleet may test a server once.
func (p *Paths) fleetInterval() time.Duration {
	return time.Duration(len(p.Members())) * testIntervalPerRouter
}

// spread returns a random time within fleetInterval.
func (p *Paths) spread() time.Duration {
	interval := p.fleetInterval()
	if interval <= 0 {
		return 0
	}
	return rand.N(interval)
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
	p.recoveredAt = now
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
	path.wanted, path.testAt = true, p.Now()
	p.wakeUp()
}
