package peer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"citronslip/internal/wire"
)

const (
	// MaxNeighbours is the number of members that a router pings.
	MaxNeighbours = 8
	// maxMembers is the maximum number of records in the member table, ten times the target size of the fleet.
	maxMembers = 4096
	// maxIncarnation is the highest incarnation accepted from a peer. A router refutes a claim about itself with the
	// next higher incarnation, which must not overflow.
	maxIncarnation = 1 << 52
	// maxChangesPerMessage is the maximum number of members in one ping.
	maxChangesPerMessage = 64
	// leftTTL is how long the record of a member that left is kept. It exceeds the time in which the change reaches all
	// routers.
	leftTTL = 10 * time.Minute
	// suspectedTTL is how long the record of a suspected member is kept. It exceeds the longest expected network
	// partition, so that both sides still know each other's addresses when the partition ends.
	suspectedTTL = 3 * time.Hour
)

type (
	// Members is a snapshot of the membership. It is eventually consistent: a suspected member may be alive, and two
	// routers may see different members.
	Members struct {
		Self       wire.Member
		List       []wire.Member // All known members, self included, sorted by address.
		Neighbours []string      // Addresses that this router pings.
	}

	// memberRecord is the table entry of one address.
	memberRecord struct {
		member    wire.Member
		sequence  uint64    // Sequence of the table at the last change of the record.
		source    string    // Address of the peer that reported the change; empty for a change made by this router.
		changedAt time.Time // Time of the last change, by this router's clock.
	}

	// memberTable holds the members that one router knows, by address. The highest incarnation of an address wins.
	memberTable struct {
		records   map[string]*memberRecord
		sequence  uint64    // Number of changes.
		digest    uint64    // Sum of the hashes of all records, so that a change needs no hash of the other records.
		changedAt time.Time // Time of the last change.
	}
)

// Live returns the members that are live, self included.
func (m *Members) Live() []wire.Member {
	return slices.DeleteFunc(slices.Clone(m.List), func(member wire.Member) bool {
		return member.State != wire.MemberStateLive
	})
}

// stateRank orders the states of one incarnation: a state replaces those of lower rank. It returns -1 for an unknown
// state.
func stateRank(state wire.MemberState) int {
	switch state {
	case wire.MemberStateLive:
		return 0
	case wire.MemberStateSuspected:
		return 1
	case wire.MemberStateLeaving:
		return 2
	case wire.MemberStateLeft:
		return 3
	default:
		return -1
	}
}

// supersedes reports whether a replaces b.
func supersedes(a, b wire.Member) bool {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(stateRank(a.State), stateRank(b.State)),
		cmp.Compare(a.Instance, b.Instance),
	) > 0
}

// memberHash returns the hash of a member for the digest of the table. It is 0 for members that left, because routers
// drop their records at different times.
func memberHash(m wire.Member) uint64 {
	if m.State == wire.MemberStateLeft {
		return 0
	}
	return xxhash.Sum64String(m.Address + "\x00" + m.Instance + "\x00" + string(m.State) + "\x00" + strconv.Itoa(m.Incarnation))
}

// merge records a member if it supersedes the existing record. It returns the previous member, which is empty for a new
// address, and whether the table changed.
func (t *memberTable) merge(member wire.Member, source string, now time.Time) (old wire.Member, changed bool) {
	if t.records == nil {
		t.records = make(map[string]*memberRecord)
	}
	record, ok := t.records[member.Address]
	if ok && !supersedes(member, record.member) {
		return record.member, false
	}
	// A member that left gets no new record. Otherwise routers that have dropped it would keep receiving it from
	// others.
	if !ok && (member.State == wire.MemberStateLeft || len(t.records) >= maxMembers) {
		return old, false
	}
	if ok {
		old = record.member
		t.digest -= memberHash(old)
	}
	t.sequence++
	t.digest += memberHash(member)
	t.changedAt = now
	t.records[member.Address] = &memberRecord{member: member, sequence: t.sequence, source: source, changedAt: now}
	return old, true
}

// expire changes members suspected for longer than suspectedTTL to left, and drops members that left longer than
// leftTTL ago. It reports whether anything changed.
func (t *memberTable) expire(now time.Time) bool {
	changed := false
	for address, record := range t.records {
		age := now.Sub(record.changedAt)
		switch {
		case record.member.State == wire.MemberStateLeft && age > leftTTL:
			delete(t.records, address)
			changed = true
		case record.member.State == wire.MemberStateSuspected && age > suspectedTTL:
			expired := record.member
			expired.State = wire.MemberStateLeft
			t.merge(expired, "", now)
			changed = true
		}
	}
	return changed
}

// clearSource makes changesAfter also return the changes that the source itself reported.
func (t *memberTable) clearSource(source string) {
	for _, record := range t.records {
		if record.source == source {
			record.source = ""
		}
	}
}

// changesAfter returns the oldest changes after the sequence, except those that the receiver reported, and the sequence
// up to which the receiver is then informed.
func (t *memberTable) changesAfter(sequence uint64, receiver string) ([]wire.Member, uint64) {
	var pending []*memberRecord
	for _, record := range t.records {
		if record.sequence > sequence && record.source != receiver {
			pending = append(pending, record)
		}
	}
	slices.SortFunc(pending, func(a, b *memberRecord) int { return cmp.Compare(a.sequence, b.sequence) })
	upTo := t.sequence
	if len(pending) > maxChangesPerMessage {
		pending = pending[:maxChangesPerMessage]
		upTo = pending[maxChangesPerMessage-1].sequence
	}
	members := make([]wire.Member, 0, len(pending))
	for _, record := range pending {
		members = append(members, record.member)
	}
	return members, upTo
}

// neighbours returns up to MaxNeighbours live addresses: the successor of self on the hash ring, then those with the
// highest rendezvous hash. The ring makes every router a neighbour of at least one other, so that each receives
// changes.
func (t *memberTable) neighbours(self string) []string {
	weights := make(map[string]uint64)
	selfHash := xxhash.Sum64String(self)
	successor, minDistance := "", uint64(0)
	for address, record := range t.records {
		if address == self || record.member.State != wire.MemberStateLive {
			continue
		}
		weights[address] = xxhash.Sum64String(self + "\x00" + address)
		if distance := xxhash.Sum64String(address) - selfHash; successor == "" || distance < minDistance {
			successor, minDistance = address, distance
		}
	}
	if successor != "" {
		weights[successor] = math.MaxUint64
	}
	addresses := slices.SortedFunc(maps.Keys(weights), func(a, b string) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return addresses[:min(len(addresses), MaxNeighbours)]
}

// list returns all members, sorted by address.
func (t *memberTable) list() []wire.Member {
	result := make([]wire.Member, 0, len(t.records))
	for _, address := range slices.Sorted(maps.Keys(t.records)) {
		result = append(result, t.records[address].member)
	}
	return result
}
