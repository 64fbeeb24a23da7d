package prepaid

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"citronslip/internal/budget"
)

const (
	// maxSmallFleet is the maximum size of a fleet in which every router holds grants of its own. With more of them,
	// their writes of one budget row would conflict too often.
	maxSmallFleet = 8
	// largeFleetHolders is the number of routers in a larger fleet that hold grants of one account. The others borrow
	// from them.
	largeFleetHolders = 4
	// holderDemand is the demand of its own callers, in tokens a second, above which a router holds grants of an
	// account in any case. Few routers of a fleet have such a demand for one account.
	holderDemand = 40_000
	// peerCooldown is how long a router that did not answer is asked only after the others.
	peerCooldown = 2 * time.Second
)

type (
	// ranking is the order of the routers for an account; the first largeFleetHolders of them hold its grants. All
	// routers with the same membership have the same order.
	ranking struct {
		generation int      // Generation of the membership from which it was computed.
		addresses  []string // Of the other routers, in order.
		position   int      // Index of this router among all.
	}
)

// isSmallFleet reports whether every router holds grants of its own: the fleet is small, or its size is not known yet.
func (m *membership) isSmallFleet() bool { return !m.known || m.count() <= maxSmallFleet }

// holdersPerAccount returns the number of routers that hold grants of one account.
func (m *membership) holdersPerAccount() int {
	if m.isSmallFleet() {
		return m.count()
	}
	return largeFleetHolders
}

// isHolder reports whether this router holds a grant of an account beyond the immediate need of its requests.
func (l *Ledger) isHolder(a *account) bool {
	return l.membership.isSmallFleet() || l.rankingOf(a).position < largeFleetHolders ||
		a.callerDemand.rate(l.Now()) > holderDemand
}

// rankingOf returns the order of the routers for an account, by rendezvous hashing. It is cached until the membership
// changes.
func (l *Ledger) rankingOf(a *account) *ranking {
	if a.ranking != nil && a.ranking.generation == l.membership.generation {
		return a.ranking
	}
	nodes := []string{l.Node}
	for node := range l.membership.addresses {
		if node != l.Node {
			nodes = append(nodes, node)
		}
	}
	nodes = budget.HomesOf(nodes, budget.Key{Account: a.name}, len(nodes))
	a.ranking = &ranking{generation: l.membership.generation, position: slices.Index(nodes, l.Node)}
	for _, node := range nodes {
		if node != l.Node {
			a.ranking.addresses = append(a.ranking.addresses, l.membership.addresses[node])
		}
	}
	return a.ranking
}

// lenderAddresses returns the addresses of the routers to ask for tokens of an account, in this order: first the
// holders of its grants, shuffled to share the load, then the others, and last those that failed to answer within
// peerCooldown.
func (l *Ledger) lenderAddresses(a *account) []string {
	var result []string
	holders := 0
	if l.membership.isSmallFleet() {
		result = l.addresses()
		holders = len(result)
	} else {
		ranking := l.rankingOf(a)
		result = slices.Clone(ranking.addresses)
		holders = largeFleetHolders
		if ranking.position < largeFleetHolders {
			holders-- // This router is one of the holders and not in the list.
		}
	}
	holders = min(holders, len(result))
	rand.Shuffle(holders, func(i, j int) { result[i], result[j] = result[j], result[i] })
	slices.SortStableFunc(result, func(x, y string) int { return cmp.Compare(l.failureOrder(x), l.failureOrder(y)) })
	return result
}

// failureOrder is a sort key: 1 for a router that failed to answer within peerCooldown, or else 0.
func (l *Ledger) failureOrder(address string) int {
	if failedAt, ok := l.peerState.failedAt[address]; ok && l.Now().Sub(failedAt) < peerCooldown {
		return 1
	}
	return 0
}

// recordResult records whether a call to a router failed.
func (p *peerState) recordResult(address string, now time.Time, err error) {
	if err == nil {
		delete(p.failedAt, address)
		return
	}
	if p.failedAt == nil {
		p.failedAt = make(map[string]time.Time)
	}
	p.failedAt[address] = now
}
