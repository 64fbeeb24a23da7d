package prepaid

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"citronslip/internal/budget"
)

const (
	// fewRouters is the number of routers up to which each of them holds grants of its own. Many that write the row of one
	// account keep each other from it.
	fewRouters = 8
	// mostHolders is the number of routers of a larger fleet that hold grants of one account. The others borrow from them.
	mostHolders = 4
	// busyDemand is the demand in tokens a second of its own callers from which on a router holds grants of an account in
	// any case. Few routers of a fleet have so much of one account.
	busyDemand = 40_000
	// avoidTime is how long a router that did not answer is asked after the others.
	avoidTime = 2 * time.Second
)

type (
	// ranking is the order in which the routers stand for an account. It is the same on each router that knows the same
	// others.
	ranking struct {
		generation int // Of the members that it was made from.
		addresses  []string
		place      int // Of this router.
	}
)

// few reports whether each router holds grants of its own.
func (m *members) few() bool { return !m.whole || m.count() <= fewRouters }

// holders returns the number of routers that hold grants of one account.
func (m *members) holders() int {
	if m.few() {
		return m.count()
	}
	return mostHolders
}

// holds reports whether this router holds grants of an account beyond what its requests need at once.
func (l *Ledger) holds(a *account) bool {
	return l.members.few() || l.rank(a).place < mostHolders || a.asked.at(l.Now()) > busyDemand
}

// rank returns the order of the routers for an account, by rendezvous hashing.
func (l *Ledger) rank(a *account) *ranking {
	if a.ranking != nil && a.ranking.generation == l.members.generation {
		return a.ranking
	}
	nodes := []string{l.Node}
	for node := range l.members.addresses {
		if node != l.Node {
			nodes = append(nodes, node)
		}
	}
	nodes = budget.HomesOf(nodes, budget.Key{Account: a.name}, len(nodes))
	a.ranking = &ranking{generation: l.members.generation, place: slices.Index(nodes, l.Node)}
	for _, node := range nodes {
		if node != l.Node {
			a.ranking.addresses = append(a.ranking.addresses, l.members.addresses[node])
		}
	}
	return a.ranking
}

// lenders returns the addresses of the routers to be asked for tokens of an account, in this order: those that hold
// grants of it, so that these share the load, then the others; last those that did not answer shortly before.
func (l *Ledger) lenders(a *account) []string {
	var result []string
	first := 0
	if l.members.few() {
		result = l.addresses()
		first = len(result)
	} else {
		ranking := l.rank(a)
		result = slices.Clone(ranking.addresses)
		first = mostHolders
		if ranking.place < mostHolders {
			first-- // This router is one of them.
		}
	}
	first = min(first, len(result))
	rand.Shuffle(first, func(i, j int) { result[i], result[j] = result[j], result[i] })
	slices.SortStableFunc(result, func(x, y string) int { return cmp.Compare(l.silent(x), l.silent(y)) })
	return result
}

// silent returns 1 for a router that did not answer shortly before, or else 0.
func (l *Ledger) silent(address string) int {
	if when, ok := l.remote.failed[address]; ok && l.Now().Sub(when) < avoidTime {
		return 1
	}
	return 0
}

// answered notes whether a router answered a question.
func (h *remoteHolds) answered(address string, now time.Time, err error) {
	if err == nil {
		delete(h.failed, address)
		return
	}
	if h.failed == nil {
		h.failed = make(map[string]time.Time)
	}
	h.failed[address] = now
}
