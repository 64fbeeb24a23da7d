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
	// minPollInterval is the shortest mean time between two reads of the head by a router.
	minPollInterval = time.Second
	// maxHeadReadsPerSecond limits the reads of the head by the whole fleet.
	maxHeadReadsPerSecond = 50
	// callTimeout limits one fetch of a whole version, from a store or a peer, and the calls that replicate one.
	callTimeout = 10 * time.Second
	// headTimeout limits one read of the head, so that a stalled table does not delay versions from peers. It also
	// limits the attempt to fetch the version of the head from a peer before the object store is read.
	headTimeout = time.Second
	// maxAnswerAge is the age up to which a new router trusts the answers of its peers. Together with
	// replicationTimeout it limits the time from the query to the activation of the first version.
	maxAnswerAge = time.Second
	// fetchRetryInterval is the wait between two attempts to fetch a version that a peer announced.
	fetchRetryInterval = 100 * time.Millisecond
)

type (
	// Controller fetches, replicates and activates versions. Callers are never served by a lower version after a higher
	// one. This also holds across restarts of the router as long as a peer that holds a replica is reachable.
	Controller struct {
		// Store reads the head and the versions.
		Store *Store
		// Get calls config.get of the peer at the address, and Ask calls config.state.
		Get func(ctx context.Context, address string, params wire.ConfigGet) (wire.ConfigPart, error)
		Ask func(ctx context.Context, address string, params wire.ConfigQuery) (wire.ConfigState, error)
		// Join calls config.state for a router without an active version. Unlike Ask it must not skip a peer because
		// earlier calls failed.
		Join func(ctx context.Context, address string, params wire.ConfigQuery) (wire.ConfigState, error)
		// Parse parses and validates an inventory before it is activated.
		Parse func(inventory []byte) (*inventory.Inventory, error)
		// Adopted receives the active version.
		Adopted *board.Cell[Version]
		// State receives the number of the active version and whether the router is ready to serve callers.
		State *board.Cell[wire.ConfigState]
		// Members and Heard are written by peer.Membership. Heard holds the highest version that a peer announced.
		Members *board.Cell[peer.Members]
		Heard   *board.Cell[peer.AnnouncedVersion]
		// Seeds returns addresses that a new router queries in addition to the members, such as those of the host list.
		// It may be nil.
		Seeds func() []string
		// Instance identifies this run of the router.
		Instance string
		// Logger and Metrics may be nil.
		Logger  *zerolog.Logger
		Metrics tally.Scope

		initOnce       sync.Once
		joined         atomic.Bool                  // The stores or peers have answered, so a version may be activated.
		fetchSlot      chan struct{}                // Semaphore that allows one fetch from a peer at a time.
		activateSignal chan struct{}                // Wakes activateLoop.
		held           board.Cell[heldVersion]      // Highest version that was fetched.
		rejectedDigest string                       // Digest of the last unparsable version. Used by activateLoop only.
		tableDown      bool                         // The last read of the head failed. Used by pollLoop only.
		diffCache      board.Cell[[]compressedDiff] // Most recently computed diffs, newest first.
	}

	// heldVersion is the highest version that was fetched and the overlaps of the versions that led to it.
	heldVersion struct {
		version  *Version
		overlaps []overlap
	}
)

// Run fetches and activates versions until the context ends. Polling the head, fetching announced versions and
// activation run concurrently, so that a stalled peer does not delay a version from the table.
func (c *Controller) Run(ctx context.Context) error {
	c.initChannels()
	c.setNotReady("starting")
	var loops sync.WaitGroup
	loops.Go(func() { c.pollLoop(ctx) })
	loops.Go(func() { c.fetchAnnouncedLoop(ctx) })
	loops.Go(func() { c.activateLoop(ctx) })
	loops.Wait()
	return nil
}

func (c *Controller) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		c.pollHead(ctx)
		delay.Sleep(ctx, c.pollInterval())
	}
}

func (c *Controller) fetchAnnouncedLoop(ctx context.Context) {
	for {
		heard, changed := c.Heard.Watch()
		if heard != nil && heard.Number > c.heldNumber() {
			c.fetchAnnounced(ctx, heard)
			if !delay.Sleep(ctx, fetchRetryInterval) {
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

func (c *Controller) activateLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.activateSignal:
			c.activate(ctx)
		}
	}
}

// initChannels creates the channels. Handlers use them and may be called before Run.
func (c *Controller) initChannels() {
	c.initOnce.Do(func() {
		c.fetchSlot = make(chan struct{}, 1)
		c.activateSignal = make(chan struct{}, 1)
	})
}

// pollInterval returns the time to the next read of the head, with jitter. It grows with the number of live routers.
func (c *Controller) pollInterval() time.Duration {
	members := 1
	if m := c.Members.Load(); m != nil {
		members = max(1, len(m.Live()))
	}
	meanInterval := max(minPollInterval, time.Duration(members)*time.Second/maxHeadReadsPerSecond)
	return meanInterval/2 + rand.N(meanInterval)
}

// pollHead reads the head and fetches a higher version. If that fails, a router that has not joined yet queries its
// peers.
func (c *Controller) pollHead(ctx context.Context) {
	headCtx, cancelHead := context.WithTimeout(ctx, headTimeout)
	h, err := c.Store.readHead(headCtx)
	cancelHead()
	c.logTableState(err)
	if err == nil && h.exists {
		c.reportFork(h)
		if h.Number > c.heldNumber() {
			err = c.fetchHeadVersion(ctx, h)
		}
	}
	switch {
	case c.joined.Load():
	case err != nil:
		c.joinViaPeers(ctx, err, h.Number)
	case h.exists:
		c.markJoined()
	default:
		c.setNotReady("no version was committed yet")
		c.markJoined()
	}
}

// markJoined allows the first version to be activated. Until then a new router does not trust a version of a single
// peer that happens to call it: an earlier instance at its address may have served a higher one.
func (c *Controller) markJoined() {
	c.joined.Store(true)
	c.wakeActivateLoop()
}

// wakeActivateLoop makes activateLoop check the held version.
func (c *Controller) wakeActivateLoop() {
	select {
	case c.activateSignal <- struct{}{}:
	default:
	}
}

// joinViaPeers queries peers for their versions because reading the stores failed with err. The number in the head is
// tableNumber, or zero if it could not be read.
//
// The answers are valid for a short time only, since a peer with a higher version may become reachable after them. If
// the highest version they name has not been fetched by then, the next poll queries again.
func (c *Controller) joinViaPeers(ctx context.Context, err error, tableNumber int) {
	start := time.Now()
	answered, highest := c.queryPeers(ctx)
	highest = max(highest, tableNumber)
	answerAge := time.Since(start)
	switch {
	case answered == 0:
		c.setNotReady("the stores do not answer and no peer was reached: " + err.Error())
	case c.held.Load() == nil:
		c.setNotReady("the stores do not answer and no peer that was reached has a version: " + err.Error())
	case c.heldNumber() < highest || answerAge > maxAnswerAge:
		event.ConfigRequestedAgain.Log(c.Logger).Int("held", c.heldNumber()).Int("peers", highest).Dur("ageMs", answerAge).Send()
	default:
		c.markJoined()
	}
}

// logTableState logs when the table becomes unreachable or reachable again. It takes the result of a read of the head.
func (c *Controller) logTableState(err error) {
	down := err != nil
	if down == c.tableDown {
		return
	}
	c.tableDown = down
	if down {
		event.ConfigTableUnreachable.Log(c.Logger).Err(err).Send()
		return
	}
	event.ConfigTableReachable.Log(c.Logger).Send()
}

// reportFork logs an error if the head has the number of the held version but another digest, as after the table was
// restored from a backup.
func (c *Controller) reportFork(h head) {
	held := c.held.Load()
	if held != nil && held.version.Number == h.Number && held.version.Digest != h.Digest {
		event.ConfigConflict.Log(c.Logger).Int("number", h.Number).Str("held", held.version.Digest).Str("table", h.Digest).Send()
	}
}

// fetchHeadVersion fetches the version that the head names, from a peer that announced it or else from the object
// store.
func (c *Controller) fetchHeadVersion(ctx context.Context, h head) error {
	if heard := c.Heard.Load(); heard != nil && heard.Number >= h.Number {
		peerCtx, cancelPeer := context.WithTimeout(ctx, headTimeout)
		_ = c.fetchFrom(peerCtx, heard.Address, heard.Number) // On failure the object store is tried next.
		cancelPeer()
		if c.heldNumber() >= h.Number {
			return nil
		}
	}
	storeCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := c.Store.Load(storeCtx, h.Digest)
	if err == nil && v.Number != h.Number {
		err = trace.Wrap(ErrDigestMismatch, "the head says %d, the record %d", h.Number, v.Number)
	}
	if err != nil {
		event.ConfigFetchFailed.Log(c.Logger).Int("number", h.Number).Err(err).Send()
		return err
	}
	c.setHeld(v)
	return nil
}

// fetchAnnounced fetches a version that a peer announced, from that peer or else from a random neighbour.
func (c *Controller) fetchAnnounced(ctx context.Context, heard *peer.AnnouncedVersion) {
	fetchCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.fetchFrom(fetchCtx, heard.Address, heard.Number)
	neighbours := c.neighbours()
	if c.heldNumber() >= heard.Number || len(neighbours) == 0 {
		return
	}
	event.ConfigFetchFailed.Log(c.Logger).Int("number", heard.Number).Str("peer", heard.Address).Err(err).Send()
	_ = c.fetchFrom(fetchCtx, neighbours[rand.N(len(neighbours))], heard.Number)
}

// activate makes the held version the active one. It is replicated to peers first, so that this router finds it at one
// of them after a restart even if the table is unreachable by then.
func (c *Controller) activate(ctx context.Context) {
	held := c.held.Load()
	if !c.joined.Load() || held == nil || held.version.Number <= c.Adopted.Load().number() || held.version.Digest == c.rejectedDigest {
		return
	}
	v := *held.version
	parsed, err := c.Parse(v.rawInventory)
	if err != nil {
		c.rejectedDigest = v.Digest
		event.ConfigRejected.Log(c.Logger).Int("number", v.Number).Err(err).Send()
		c.setNotReady("the version does not pass the check: " + err.Error())
		return
	}
	v.Inventory = parsed
	c.replicate(ctx, v.Number)
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
	c.metricsScope().Gauge("version").Update(float64(v.Number))
	event.ConfigAdopted.Log(c.Logger).Int("number", v.Number).Str("digest", v.Digest).Str("author", v.Author).Send()
}

// setHeld makes a fetched version the held one if its number is higher.
func (c *Controller) setHeld(v *Version) {
	c.held.Update(func(old *heldVersion) *heldVersion {
		if old == nil {
			return &heldVersion{version: v}
		}
		if old.version.Number >= v.Number {
			return nil
		}
		return &heldVersion{version: v, overlaps: appendOverlap(old.overlaps, old.version, v)}
	})
	c.wakeActivateLoop()
}

// setNotReady publishes why the router is not ready. A router with an active version stays ready.
func (c *Controller) setNotReady(reason string) {
	c.State.Update(func(old *wire.ConfigState) *wire.ConfigState {
		if old != nil && (old.Ready || old.Reason != nil && *old.Reason == reason) {
			return nil
		}
		event.ConfigNotReady.Log(c.Logger).Str("reason", reason).Send()
		return &wire.ConfigState{Instance: c.Instance, Reason: &reason}
	})
}

// heldNumber returns the number of the held version, or zero if there is none.
func (c *Controller) heldNumber() int {
	held := c.held.Load()
	if held == nil {
		return 0
	}
	return held.version.Number
}

// neighbours returns the addresses of the neighbours in the membership.
func (c *Controller) neighbours() []string {
	members := c.Members.Load()
	if members == nil {
		return nil
	}
	return members.Neighbours
}

// selfAddress returns the address of this router's peer listener, or an empty string before it is known.
func (c *Controller) selfAddress() string {
	members := c.Members.Load()
	if members == nil {
		return ""
	}
	return members.Self.Address
}

// acquireFetchSlot waits until no other version is being fetched from a peer and returns the function that releases the
// slot. It returns ErrFetchFailed if the context ends first.
func (c *Controller) acquireFetchSlot(ctx context.Context) (func(), error) {
	c.initChannels()
	select {
	case c.fetchSlot <- struct{}{}:
		return func() { <-c.fetchSlot }, nil
	case <-ctx.Done():
		return nil, trace.Wrap(ErrFetchFailed, "%v", ctx.Err())
	}
}

func (c *Controller) metricsScope() tally.Scope {
	if c.Metrics == nil {
		return tally.NoopScope
	}
	return c.Metrics
}
