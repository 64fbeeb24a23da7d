package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/board"
	"citronslip/internal/delay"
	"citronslip/internal/event"
	"citronslip/internal/peer"
	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

const (
	// minPoll is the shortest mean time between two reads of the head.
	minPoll = time.Second
	// readsPerSecond bounds the fleet's reads of the head.
	readsPerSecond = 50
	// callTimeout bounds one read of a store or one fetch of a whole version.
	callTimeout = 10 * time.Second
	// headTimeout bounds one read of the head, so that a stalled table does not hold up versions from peers.
	headTimeout = time.Second
	// maxAnswerAge is the age up to which a new router trusts the answers of its peers. Together with tellTimeout it bounds
	// the time from the question to the first version in force.
	maxAnswerAge = time.Second
	// followPause is the wait between two attempts to fetch a version that a peer was heard to have.
	followPause = 100 * time.Millisecond
)

type (
	// Controller adopts versions. Within a life of a router, and across its lives as long as a peer that was told is
	// reachable, callers are never served by a lower version after a higher one.
	Controller struct {
		// Store reads the head and the objects.
		Store *Store
		// Get, Ask and Join call a peer; they are the peer client's methods Get, Version and VersionNow.
		Get func(ctx context.Context, address string, params wire.ConfigGet) (wire.ConfigPart, error)
		Ask func(ctx context.Context, address string, params wire.ConfigQuery) (wire.ConfigState, error)
		// Join is Ask for a router without a version. It must not skip a peer because earlier calls failed.
		Join func(ctx context.Context, address string, params wire.ConfigQuery) (wire.ConfigState, error)
		// Parse parses and checks an inventory before it is put in force.
		Parse func(inventory []byte) (*inventory.Inventory, error)
		// Adopted receives the version in force.
		Adopted *board.Cell[Version]
		// State receives the number in force and whether the router may serve.
		State *board.Cell[wire.ConfigState]
		// Members and Heard are read; Membership writes them.
		Members *board.Cell[peer.Members]
		Heard   *board.Cell[peer.Heard]
		// Seeds returns addresses that a new router asks besides the members, such as the host list's. It may be nil.
		Seeds func() []string
		// Instance names this router.
		Instance string
		// Logger and Metrics may be nil.
		Logger  *zerolog.Logger
		Metrics tally.Scope

		once     sync.Once
		asked    atomic.Bool           // The stores or a round of peers have answered this instance.
		fetching chan struct{}         // Holds one element while a version is fetched.
		arrived  chan struct{}         // Wakes settleLoop after a version was held.
		held     board.Cell[holding]   // Highest version whose contents are here.
		rejected string                // Digest of the last version that did not parse. Used by settleLoop only.
		down     bool                  // The last read of the head failed. Used by pollLoop only.
		packs    board.Cell[[]packing] // Compressed parts that were served last.
	}

	// holding is the highest version and what it has in common with the ones before.
	holding struct {
		version *Version
		steps   []step
	}
)

// Run adopts versions until the context ends. Reading the head, fetching from peers and putting in force run on their
// own, so that a peer that stalls does not hold up a version from the table.
func (c *Controller) Run(ctx context.Context) error {
	c.begin()
	c.notReady("starting")
	var loops sync.WaitGroup
	loops.Go(func() { c.pollLoop(ctx) })
	loops.Go(func() { c.followLoop(ctx) })
	loops.Go(func() { c.settleLoop(ctx) })
	loops.Wait()
	return nil
}

func (c *Controller) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		c.poll(ctx)
		delay.For(ctx, c.interval())
	}
}

func (c *Controller) followLoop(ctx context.Context) {
	for {
		heard, changed := c.Heard.Watch()
		if heard != nil && heard.Number > c.number() {
			c.follow(ctx, heard)
			if !delay.For(ctx, followPause) {
				return
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (c *Controller) settleLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.arrived:
			c.settle(ctx)
		}
	}
}

// begin prepares the fields that handlers use, which may be called before Run.
func (c *Controller) begin() {
	c.once.Do(func() {
		c.fetching = make(chan struct{}, 1)
		c.arrived = make(chan struct{}, 1)
	})
}

// interval returns the time to the next read of the head, with jitter.
func (c *Controller) interval() time.Duration {
	members := 1
	if m := c.Members.Load(); m != nil {
		members = max(1, len(m.Live()))
	}
	mean := max(minPoll, time.Duration(members)*time.Second/readsPerSecond)
	return mean/2 + rand.N(mean)
}

// poll reads the head and fetches a higher version. A router without a version asks its peers if that fails.
func (c *Controller) poll(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, headTimeout)
	h, err := c.Store.head(bounded)
	cancel()
	c.tableState(err)
	if err == nil && h.exists {
		c.compare(h)
		if h.Number > c.number() {
			err = c.load(ctx, h)
		}
	}
	switch {
	case c.asked.Load():
	case err != nil:
		c.joinPeers(ctx, err, h.Number)
	case h.exists:
		c.complete()
	default:
		c.notReady("no version was committed yet")
		c.complete()
	}
}

// complete lets the first version be put in force. A new router does not trust a single peer that happens to call it:
// an earlier instance under its address may have had a higher version.
func (c *Controller) complete() {
	c.asked.Store(true)
	c.wake()
}

// wake makes settleLoop look at the held version.
func (c *Controller) wake() {
	select {
	case c.arrived <- struct{}{}:
	default:
	}
}

// joinPeers asks peers for their versions because the stores failed. The table may have told a number before that.
//
// The answers hold for a short time, since a peer with a higher version may come into reach after them. If the version
// they name is not here by then, the next poll asks again.
func (c *Controller) joinPeers(ctx context.Context, err error, told int) {
	start := time.Now()
	reached, best := c.join(ctx)
	best = max(best, told)
	age := time.Since(start)
	switch {
	case reached == 0:
		c.notReady("the stores do not answer and no peer was reached: " + err.Error())
	case c.held.Load() == nil:
		c.notReady("the stores do not answer and no peer that was reached has a version: " + err.Error())
	case c.number() < best || age > maxAnswerAge:
		event.ConfigJoinAgain.Log(c.Logger).Int("held", c.number()).Int("peers", best).Dur("ageMs", age).Send()
	default:
		c.complete()
	}
}

// tableState logs when the table goes away or comes back.
func (c *Controller) tableState(err error) {
	down := err != nil
	if down == c.down {
		return
	}
	c.down = down
	if down {
		event.ConfigTableDown.Log(c.Logger).Err(err).Send()
		return
	}
	event.ConfigTableUp.Log(c.Logger).Send()
}

// compare reports a table that names another version under a held number, as after it was restored from a copy.
func (c *Controller) compare(h head) {
	holding := c.held.Load()
	if holding != nil && holding.version.Number == h.Number && holding.version.Digest != h.Digest {
		event.ConfigFork.Log(c.Logger).Int("number", h.Number).Str("held", holding.version.Digest).Str("table", h.Digest).Send()
	}
}

// load fetches the version of the head, from a peer that has it or from the object store.
func (c *Controller) load(ctx context.Context, h head) error {
	if heard := c.Heard.Load(); heard != nil && heard.Number >= h.Number {
		attempt, cancel := context.WithTimeout(ctx, headTimeout)
		_ = c.fetch(attempt, heard.Address, heard.Number) // The object store is next.
		cancel()
		if c.number() >= h.Number {
			return nil
		}
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := c.Store.Load(bounded, h.Digest)
	if err == nil && v.Number != h.Number {
		err = trace.Wrap(ErrDigest, "the head says %d, the record %d", h.Number, v.Number)
	}
	if err != nil {
		event.ConfigFetch.Log(c.Logger).Int("number", h.Number).Err(err).Send()
		return err
	}
	c.hold(v)
	return nil
}

// follow fetches a version that a peer was heard to have, from that peer or else from any neighbour.
func (c *Controller) follow(ctx context.Context, heard *peer.Heard) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.fetch(bounded, heard.Address, heard.Number)
	neighbours := c.neighbours()
	if c.number() >= heard.Number || len(neighbours) == 0 {
		return
	}
	event.ConfigFetch.Log(c.Logger).Int("number", heard.Number).Str("peer", heard.Address).Err(err).Send()
	_ = c.fetch(bounded, neighbours[rand.N(len(neighbours))], heard.Number)
}

// settle puts the held version in force. Peers are told first, so that a restart of this router finds the version at
// one of them even if the table is down by then.
func (c *Controller) settle(ctx context.Context) {
	holding := c.held.Load()
	if !c.asked.Load() || holding == nil || holding.version.Number <= c.Adopted.Load().number() || holding.version.Digest == c.rejected {
		return
	}
	v := *holding.version
	parsed, err := c.Parse(v.body)
	if err != nil {
		c.rejected = v.Digest
		event.ConfigRejected.Log(c.Logger).Int("number", v.Number).Err(err).Send()
		c.notReady("the version does not pass the check: " + err.Error())
		return
	}
	v.Inventory = parsed
	c.tell(ctx, v.Number)
	if ctx.Err() != nil {
		return
	}
	c.Adopted.Update(func(old *Version) *Version {
		if old.number() >= v.Number {
			return nil
		}
		return &v
	})
	c.State.Store(&wire.ConfigState{Instance: c.Instance, Number: v.Number, Held: v.Number, Digest: v.Digest, Ready: true})
	c.scope().Gauge("version").Update(float64(v.Number))
	event.ConfigAdopted.Log(c.Logger).Int("number", v.Number).Str("digest", v.Digest).Str("author", v.Author).Send()
}

// hold records a fetched version if it is higher.
func (c *Controller) hold(v *Version) {
	c.held.Update(func(old *holding) *holding {
		if old == nil {
			return &holding{version: v}
		}
		if old.version.Number >= v.Number {
			return nil
		}
		return &holding{version: v, steps: follow(old.steps, old.version, v)}
	})
	c.wake()
}

// notReady tells why the router may not serve. A router with a version in force stays ready.
func (c *Controller) notReady(reason string) {
	c.State.Update(func(old *wire.ConfigState) *wire.ConfigState {
		if old != nil && (old.Ready || old.Reason != nil && *old.Reason == reason) {
			return nil
		}
		event.ConfigNotReady.Log(c.Logger).Str("reason", reason).Send()
		return &wire.ConfigState{Instance: c.Instance, Reason: &reason}
	})
}

// number returns the number held.
func (c *Controller) number() int {
	holding := c.held.Load()
	if holding == nil {
		return 0
	}
	return holding.version.Number
}

// neighbours returns the addresses of the neighbours.
func (c *Controller) neighbours() []string {
	members := c.Members.Load()
	if members == nil {
		return nil
	}
	return members.Neighbours
}

// address returns the address of this router's peer listener.
func (c *Controller) address() string {
	members := c.Members.Load()
	if members == nil {
		return ""
	}
	return members.Self.Address
}

// turn waits until no other version is being fetched.
func (c *Controller) turn(ctx context.Context) (func(), error) {
	c.begin()
	select {
	case c.fetching <- struct{}{}:
		return func() { <-c.fetching }, nil
	case <-ctx.Done():
		return nil, trace.Wrap(ErrFetch, "%v", ctx.Err())
	}
}

func (c *Controller) scope() tally.Scope {
	if c.Metrics == nil {
		return tally.NoopScope
	}
	return c.Metrics
}
