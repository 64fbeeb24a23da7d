package peer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/board"
	"citronslip/internal/delay"
	"citronslip/internal/event"
	"citronslip/internal/wire"
)

const (
	// DefaultPingInterval is the time between two pings.
	DefaultPingInterval = time.Second
	// failuresToSuspect is the number of consecutive failed exchanges after which a neighbour is suspected.
	failuresToSuspect = 2
	// suspectCooldown is the minimum time between two suspicions of one member. It keeps two routers that cannot reach
	// each other, but are reached by the rest, from suspecting and refuting each other continuously.
	suspectCooldown = time.Minute
	// ticksPerReconnect is the number of pings between two attempts to reach a suspected member or a seed.
	ticksPerReconnect = 8
	// pingsPerHello is the number of pings to one peer between two comparisons of the table digests. The comparison
	// repairs differences that a lost message has left.
	pingsPerHello = 16
	// minSettledSeconds is how long both tables must be unchanged before a difference between them is repaired. It
	// exceeds the time in which a change reaches all members.
	minSettledSeconds = 30
	// maxSyncRounds is the maximum number of pings sent to one peer in a row when changes do not fit into one message.
	maxSyncRounds = 32
)

type (
	// Membership keeps the table of the fleet's routers by a gossip protocol: each router exchanges changes with a few
	// neighbours. Fields are set before Run.
	Membership struct {
		// Self identifies this router by address, instance, host and place.
		Self wire.Member
		// Seeds returns addresses of routers to join through, such as those of the host list. It is called whenever
		// this router looks for a member to reconnect to. It may be nil.
		Seeds func() []string
		// Client calls the neighbours. It must outlive Run, which sends a last message before it returns.
		Client *Client
		// Members receives a snapshot after each change. It may be nil.
		Members *board.Cell[Members]
		// Version is the active configuration version, whose number pings carry. It may be nil.
		Version *board.Cell[wire.ConfigState]
		// Heard receives the highest configuration version that a peer has announced. It may be nil.
		Heard *board.Cell[AnnouncedVersion]
		// Interval is the time between two pings; 0 means DefaultPingInterval.
		Interval time.Duration
		// Now is the clock for incarnations and for the expiry of records; nil means time.Now.
		Now func() time.Time
		// Logger and Metrics may be nil.
		Logger  *zerolog.Logger
		Metrics tally.Scope

		mu         sync.Mutex
		started    bool
		dirty      bool // Whether the snapshot in Members is out of date.
		table      memberTable
		syncStates map[string]*syncState // By address of the peer.
		ticks      int
	}

	// AnnouncedVersion is a configuration version that a peer has announced as its active one.
	AnnouncedVersion struct {
		Address string
		Number  int
	}

	// syncState is the state of the exchange of changes with one peer.
	syncState struct {
		established      bool      // Whether the two routers have exchanged hellos.
		ackedSequence    uint64    // Sequence of this router's table up to which the peer is informed.
		receivedSequence uint64    // Sequence of the peer's table up to which this router is informed.
		pings            int       // Pings answered since the last hello.
		failures         int       // Consecutive failed exchanges.
		nextSuspicion    time.Time // Time before which the peer is not suspected again.
	}
)

// Run pings neighbours until the context ends, then announces to them that this router left. It always returns nil.
func (m *Membership) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ensureStarted()
	m.mu.Unlock()
	delay.Repeat(ctx, m.interval(), func() { m.tick(ctx) })
	m.announce(context.WithoutCancel(ctx), wire.MemberStateLeft)
	return nil
}

// Leave announces to the neighbours that a planned stop has begun.
func (m *Membership) Leave(ctx context.Context) {
	m.announce(ctx, wire.MemberStateLeaving)
}

// Hello handles the hello of another router, which opens the exchange with it or compares the tables again.
func (m *Membership) Hello(_ context.Context, hello wire.Hello) (wire.Hello, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ensureStarted()
	defer m.publish()
	ageSeconds := m.secondsSinceChange()
	m.applyMember(hello.Sender, hello.Sender.Address)
	answer := m.newHello(hello.Sender.Address)
	answer.Age = ageSeconds
	m.compareTables(hello.Sender.Address, answer, hello)
	return answer, nil
}

// Ping handles the ping of another router and answers with the changes since the last exchange. It refuses with
// CodeHelloRequired if that router has not sent a hello.
func (m *Membership) Ping(_ context.Context, ping wire.Ping) (wire.Ping, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ensureStarted()
	defer m.publish()
	state := m.syncStateFor(ping.Sender)
	if !state.established {
		return wire.Ping{}, &RPCError{Code: CodeHelloRequired, Text: "hello required"}
	}
	m.applyPing(ping)
	if seen := uint64(ping.Seen); seen <= m.table.sequence {
		state.ackedSequence = max(state.ackedSequence, seen)
	}
	state.receivedSequence = max(state.receivedSequence, uint64(ping.Sequence))
	answer, _ := m.newPing(ping.Sender, state)
	return answer, nil
}

// ensureStarted adds this router to the table on the first call. Its incarnation starts at the current time in Unix
// milliseconds, so that a new instance replaces the previous one of the same address. If its clock is behind that of
// the previous instance, refute corrects the incarnation.
func (m *Membership) ensureStarted() {
	if m.started {
		return
	}
	m.started = true
	m.dirty = true
	m.syncStates = make(map[string]*syncState)
	m.Self.State = wire.MemberStateLive
	m.Self.Incarnation = max(m.Self.Incarnation, int(m.now().UnixMilli()))
	m.table.merge(m.Self, "", m.now())
	m.publish()
}

// tick pings one neighbour in turn. Every ticksPerReconnect ticks, or without neighbours, it first tries a suspected
// member or a seed.
func (m *Membership) tick(ctx context.Context) {
	m.mu.Lock()
	m.ticks++
	ticks := m.ticks
	if m.table.expire(m.now()) {
		m.dirty = true
		m.pruneSyncStates()
		m.publish()
	}
	neighbours := m.table.neighbours(m.Self.Address)
	m.mu.Unlock()
	if len(neighbours) == 0 || ticks%ticksPerReconnect == 0 {
		if address := m.reconnectCandidate(); address != "" {
			m.syncWith(ctx, address)
		}
	}
	if len(neighbours) > 0 {
		m.syncWith(ctx, neighbours[ticks%len(neighbours)])
	}
}

// reconnectCandidate returns a random address of the suspected members and the seeds that are not live members. It
// returns an empty string if there is none.
func (m *Membership) reconnectCandidate() string {
	var candidates []string
	if m.Seeds != nil {
		candidates = slices.Clone(m.Seeds())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	candidates = slices.DeleteFunc(candidates, func(address string) bool {
		record, ok := m.table.records[address]
		return address == m.Self.Address || ok && record.member.State == wire.MemberStateLive
	})
	for address, record := range m.table.records {
		if record.member.State == wire.MemberStateSuspected {
			candidates = append(candidates, address)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rand.N(len(candidates))]
}

// pingNeighbours pings all neighbours concurrently and waits for the answers.
func (m *Membership) pingNeighbours(ctx context.Context) {
	m.mu.Lock()
	neighbours := m.table.neighbours(m.Self.Address)
	m.mu.Unlock()
	var calls sync.WaitGroup
	for _, address := range neighbours {
		calls.Go(func() { m.syncWith(ctx, address) })
	}
	calls.Wait()
}

// announce changes this router's own state and sends it to the neighbours.
func (m *Membership) announce(ctx context.Context, state wire.MemberState) {
	m.mu.Lock()
	m.ensureStarted()
	m.Self.State = state
	m.Self.Incarnation++
	m.table.merge(m.Self, "", m.now())
	m.dirty = true
	m.publish()
	m.mu.Unlock()
	m.pingNeighbours(ctx)
}

// applyPing records the changes and the configuration version of a ping.
func (m *Membership) applyPing(ping wire.Ping) {
	for _, member := range ping.Members {
		m.applyMember(member, ping.Sender)
	}
	m.storeAnnouncedVersion(ping.Sender, ping.Version)
}

// applyMember merges a member that a peer reported into the table. It ignores invalid members and refutes claims about
// this router.
func (m *Membership) applyMember(member wire.Member, source string) {
	if member.Address == "" || stateRank(member.State) < 0 || member.Incarnation < 0 || member.Incarnation > maxIncarnation {
		return
	}
	if member.Address == m.Self.Address {
		m.refute(member)
		return
	}
	old, changed := m.table.merge(member, source, m.now())
	if !changed {
		return
	}
	m.logChange(old, member)
	m.dirty = true
}

// refute overrides a claim about this router that would supersede its own record, by taking the next higher
// incarnation.
func (m *Membership) refute(claim wire.Member) {
	if !supersedes(claim, m.Self) {
		return
	}
	m.Self.Incarnation = claim.Incarnation + 1
	event.MemberRefuted.Log(m.Logger).Str("claim", string(claim.State)).Str("instance", claim.Instance).Send()
	m.table.merge(m.Self, "", m.now())
	m.dirty = true
}

// logChange logs that a member joined, was replaced by a new instance or is leaving.
func (m *Membership) logChange(old, member wire.Member) {
	var e event.Event
	switch {
	case old.Address == "":
		e = event.MemberJoined
	case old.Instance != member.Instance:
		e = event.MemberReplaced
	case member.State == wire.MemberStateLeaving || member.State == wire.MemberStateLeft:
		e = event.MemberLeaving
	default:
		return
	}
	e.Log(m.Logger).Str("member", member.Address).Str("instance", member.Instance).Str("state", string(member.State)).Send()
}

// storeAnnouncedVersion stores the configuration version that a peer announced if it is higher than the stored one, or
// if the stored one was announced by the same peer: that peer may have gone back to a lower version.
func (m *Membership) storeAnnouncedVersion(address string, version int) {
	if m.Heard == nil {
		return
	}
	m.Heard.Update(func(old *AnnouncedVersion) *AnnouncedVersion {
		if old != nil && (old.Number >= version && old.Address != address || old.Number == version) {
			return nil
		}
		return &AnnouncedVersion{Address: address, Number: version}
	})
}

// secondsSinceChange returns the time since the last change of the table in seconds.
func (m *Membership) secondsSinceChange() int {
	return int(m.now().Sub(m.table.changedAt) / time.Second)
}

func (m *Membership) digest() string {
	return strconv.FormatUint(m.table.digest, 36)
}

func (m *Membership) configVersion() int {
	if m.Version == nil || m.Version.Load() == nil {
		return 0
	}
	return m.Version.Load().Number
}

// publish stores a snapshot in Members if the last one is out of date.
func (m *Membership) publish() {
	if m.Members == nil || !m.dirty {
		return
	}
	m.dirty = false
	members := &Members{Self: m.Self, List: m.table.list(), Neighbours: m.table.neighbours(m.Self.Address)}
	m.Members.Store(members)
	m.scope().Gauge("members").Update(float64(len(members.List)))
}

func (m *Membership) interval() time.Duration {
	return cmp.Or(m.Interval, DefaultPingInterval)
}

func (m *Membership) now() time.Time {
	if m.Now == nil {
		return time.Now()
	}
	return m.Now()
}

func (m *Membership) scope() tally.Scope {
	if m.Metrics == nil {
		return tally.NoopScope
	}
	return m.Metrics
}
