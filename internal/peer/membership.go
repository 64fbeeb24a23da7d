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
	// DefaultInterval is the time between two pings.
	DefaultInterval = time.Second
	// failuresToSuspect is how many exchanges in a row must fail before a neighbour is suspected.
	failuresToSuspect = 2
	// suspectPause keeps a pair of routers that cannot reach each other from suspecting and refuting all the time.
	suspectPause = time.Minute
	// searchEvery is the number of pings between two attempts to reach a suspected member or a seed.
	searchEvery = 8
	// compareEvery is the number of exchanges with one peer between two comparisons of the whole tables, which repair
	// what a lost exchange left different.
	compareEvery = 16
	// settledSeconds is how long both tables must be unchanged before a difference is taken to be lasting. It exceeds
	// the time in which news reach all members.
	settledSeconds = 30
	// maxRounds bounds the messages by which a long list of changes is caught up at once.
	maxRounds = 32
)

type (
	// Membership exchanges with a few neighbours which routers there are.
	Membership struct {
		// Self names this router: address, instance, host and place.
		Self wire.Member
		// Seeds returns addresses to join through, such as the host list's. It is asked while they are needed.
		Seeds func() []string
		// Client calls the neighbours. It must outlive Run, which ends with a last message.
		Client *Client
		// Members receives each change.
		Members *board.Cell[Members]
		// Version is the configuration version in force, which pings carry. It may be nil.
		Version *board.Cell[wire.ConfigState]
		// Heard receives the highest version heard of. It may be nil.
		Heard *board.Cell[Heard]
		// Interval is the time between two pings.
		Interval time.Duration
		// Now is the clock for incarnations and for forgetting.
		Now func() time.Time
		// Logger and Metrics may be nil.
		Logger  *zerolog.Logger
		Metrics tally.Scope

		mu        sync.Mutex
		started   bool
		dirty     bool // The snapshot is out of date.
		table     roster
		exchanges map[string]*exchange
		turn      int
	}

	// Heard is a configuration version that a peer has in force.
	Heard struct {
		Address string
		Number  int
	}

	// exchange is what this router and one peer have told each other.
	exchange struct {
		open     bool
		acked    uint64 // Sequence of this router's table that the peer knows.
		seen     uint64 // Sequence of the peer's table that this router knows.
		count    int
		failures int
		quiet    time.Time // The peer is not suspected before.
	}
)

// Run exchanges membership until the context ends, then tells the neighbours that this router left.
func (m *Membership) Run(ctx context.Context) error {
	m.mu.Lock()
	m.begin()
	m.mu.Unlock()
	delay.Repeat(ctx, m.interval(), func() { m.tick(ctx) })
	m.announce(context.WithoutCancel(ctx), wire.MemberStateLeft)
	return nil
}

// Leave tells the neighbours that a planned stop has begun.
func (m *Membership) Leave(ctx context.Context) {
	m.announce(ctx, wire.MemberStateLeaving)
}

// Hello answers a router that opens an exchange.
func (m *Membership) Hello(_ context.Context, hello wire.Hello) (wire.Hello, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.begin()
	defer m.publish()
	age := m.age()
	m.learn(hello.Sender, hello.Sender.Address)
	answer := m.hello(hello.Sender.Address)
	answer.Age = age
	m.compare(hello.Sender.Address, answer, hello)
	return answer, nil
}

// Ping answers a router with what changed since the last exchange.
func (m *Membership) Ping(_ context.Context, ping wire.Ping) (wire.Ping, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.begin()
	defer m.publish()
	x := m.exchange(ping.Sender)
	if !x.open {
		return wire.Ping{}, &Refusal{Code: CodeHello, Text: "hello required"}
	}
	m.take(ping)
	if seen := uint64(ping.Seen); seen <= m.table.sequence {
		x.acked = max(x.acked, seen)
	}
	x.seen = max(x.seen, uint64(ping.Sequence))
	answer, _ := m.ping(ping.Sender, x)
	return answer, nil
}

// begin fills the table with this router. Incarnations start at the clock, so that a new instance under an old address
// replaces it; if clocks differ the refutation corrects it.
func (m *Membership) begin() {
	if m.started {
		return
	}
	m.started = true
	m.dirty = true
	m.exchanges = make(map[string]*exchange)
	m.Self.State = wire.MemberStateLive
	m.Self.Incarnation = max(m.Self.Incarnation, int(m.now().UnixMilli()))
	m.table.put(m.Self, "", m.now())
	m.publish()
}

// tick pings one neighbour, and now and then looks for members that are not reached.
func (m *Membership) tick(ctx context.Context) {
	m.mu.Lock()
	m.turn++
	turn := m.turn
	if m.table.forget(m.now()) {
		m.dirty = true
		m.prune()
		m.publish()
	}
	neighbours := m.table.neighbours(m.Self.Address)
	m.mu.Unlock()
	if len(neighbours) == 0 || turn%searchEvery == 0 {
		if address := m.search(); address != "" {
			m.converse(ctx, address)
		}
	}
	if len(neighbours) > 0 {
		m.converse(ctx, neighbours[turn%len(neighbours)])
	}
}

// search returns a random suspected member, or a seed that is not known.
func (m *Membership) search() string {
	var found []string
	if m.Seeds != nil {
		found = slices.Clone(m.Seeds())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	found = slices.DeleteFunc(found, func(address string) bool {
		known, ok := m.table.records[address]
		return address == m.Self.Address || ok && known.member.State == wire.MemberStateLive
	})
	for address, known := range m.table.records {
		if known.member.State == wire.MemberStateSuspected {
			found = append(found, address)
		}
	}
	if len(found) == 0 {
		return ""
	}
	return found[rand.N(len(found))]
}

// tell pings all neighbours at once.
func (m *Membership) tell(ctx context.Context) {
	m.mu.Lock()
	neighbours := m.table.neighbours(m.Self.Address)
	m.mu.Unlock()
	var calls sync.WaitGroup
	for _, address := range neighbours {
		calls.Go(func() { m.converse(ctx, address) })
	}
	calls.Wait()
}

// announce changes this router's own state and tells the neighbours.
func (m *Membership) announce(ctx context.Context, state wire.MemberState) {
	m.mu.Lock()
	m.begin()
	m.Self.State = state
	m.Self.Incarnation++
	m.table.put(m.Self, "", m.now())
	m.dirty = true
	m.publish()
	m.mu.Unlock()
	m.tell(ctx)
}

// take records the changes and the version of a message.
func (m *Membership) take(ping wire.Ping) {
	for _, member := range ping.Members {
		m.learn(member, ping.Sender)
	}
	m.heard(ping.Sender, ping.Version)
}

// learn records what a peer says of a member. What it says of this router is refuted with a higher incarnation.
func (m *Membership) learn(member wire.Member, source string) {
	if member.Address == "" || rank(member.State) < 0 || member.Incarnation < 0 || member.Incarnation > maxIncarnation {
		return
	}
	if member.Address == m.Self.Address {
		m.refute(member)
		return
	}
	old, changed := m.table.put(member, source, m.now())
	if !changed {
		return
	}
	m.report(old, member)
	m.dirty = true
}

// refute answers a claim about this router that is newer than what it says of itself.
func (m *Membership) refute(claim wire.Member) {
	if !newer(claim, m.Self) {
		return
	}
	m.Self.Incarnation = claim.Incarnation + 1
	event.MemberRefuted.Log(m.Logger).Str("claim", string(claim.State)).Str("instance", claim.Instance).Send()
	m.table.put(m.Self, "", m.now())
	m.dirty = true
}

// report logs a change.
func (m *Membership) report(old, member wire.Member) {
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

// heard notes a higher version. What a peer says of itself replaces what it said before, even if it is lower.
func (m *Membership) heard(address string, number int) {
	if m.Heard == nil {
		return
	}
	m.Heard.Update(func(old *Heard) *Heard {
		if old != nil && (old.Number >= number && old.Address != address || old.Number == number) {
			return nil
		}
		return &Heard{Address: address, Number: number}
	})
}

// age returns the seconds since the table changed.
func (m *Membership) age() int {
	return int(m.now().Sub(m.table.changed) / time.Second)
}

func (m *Membership) digest() string {
	return strconv.FormatUint(m.table.digest, 36)
}

func (m *Membership) version() int {
	if m.Version == nil || m.Version.Load() == nil {
		return 0
	}
	return m.Version.Load().Number
}

// publish stores a snapshot if something changed.
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
	return cmp.Or(m.Interval, DefaultInterval)
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
