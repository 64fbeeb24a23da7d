package prepaid

import (
	"math"
	"time"
)

const (
	// reserveTime is the demand that a grant covers while the store is away.
	reserveTime = 16 * time.Second
	// openTime is the demand that is opened ahead while a budget is ample. More than AutonomyDelay is left of it when more
	// is opened.
	openTime = 5 * time.Second
	// scarceOpenTime is the demand that is opened ahead when a budget is no longer ample and what a killed router has opened
	// is missed. It covers nearly AutonomyDelay, so that few requests are refused at the begin of an outage.
	scarceOpenTime = 1400 * time.Millisecond
	// openShare and reserveShare bound what a router has opened and reserved, as parts of what is left. Shares are not
	// equal: the balancer may send most of an account's requests to one router.
	openShare    = 0.06
	reserveShare = 0.45
	// leastDemand is the demand in tokens a second below which a router holds nothing of an account.
	leastDemand = 1
	// firstShare is the part of what is left that all routers with any demand reserve together.
	firstShare = 0.35
	// scarceShare is the part of the total below which nothing is reserved, so that the rest can be used to the end.
	scarceShare = 0.03
	// ampleShare is the part of the total above which more is opened than the demand, because a killed router's loss is
	// not missed then.
	ampleShare = 0.35
	// leastOpened is the smallest amount that is worth opening ahead, in tokens.
	leastOpened = 3000
	// demandTime is the time over which demand is averaged.
	demandTime = 5 * time.Second
	// leastDemandTime is the shortest time from which demand is worked out.
	leastDemandTime = 2 * time.Second
)

type (
	// Need is what the size of a grant depends on.
	Need struct {
		Demand  float64 // Tokens a second that this router spends.
		Rest    int64   // Tokens of the budget that nobody has spent or reserved, own grant included.
		Total   int64
		Routers int
	}

	// Size is how far a grant goes beyond what is spent and reserved.
	Size struct {
		Open    int64 // Opened ahead of demand. What a killed router has opened counts as spent.
		Reserve int64 // Granted beyond that, for the time in which the store is away.
	}

	// meter averages a rate.
	meter struct {
		sum   float64 // Tokens, older ones in smaller parts.
		first time.Time
		last  time.Time
	}
)

// Size returns the size of a grant. Ample budgets go on for reserveTime without the store. As a budget runs out, grants
// shrink until each request is written on its own and nothing is left in a router that does not need it.
func (n Need) Size() Size {
	if n.Demand < leastDemand || float64(n.Rest) < scarceShare*float64(n.Total) {
		return Size{}
	}
	rest := float64(n.Rest)
	span := scarceOpenTime
	if rest > ampleShare*float64(n.Total) {
		span = openTime
	}
	open := min(n.Demand*span.Seconds(), openShare*rest)
	ample := openShare * (rest - ampleShare*float64(n.Total)) / float64(max(n.Routers, 1))
	open = max(open, ample)
	if open < leastOpened {
		open = 0
	}
	first := firstShare * rest / float64(max(n.Routers, 1))
	reserve := min(max(n.Demand*reserveTime.Seconds(), first), reserveShare*rest)
	return Size{Open: int64(open), Reserve: int64(reserve)}
}

// Growth returns how much of what is free a grant with an unspent part may take beyond the requests that wait. Half as much
// as the router holds stays free for the others.
func Growth(free, unspent int64) int64 {
	return max(0, (2*free-unspent)/3)
}

// add counts tokens at a time.
func (m *meter) add(tokens float64, now time.Time) {
	m.decay(now)
	m.sum += tokens
}

// at returns the rate at a time.
func (m *meter) at(now time.Time) float64 {
	if m.first.IsZero() {
		return 0
	}
	m.decay(now)
	// A young meter has seen less than the whole of its mean.
	age := max(now.Sub(m.first), leastDemandTime)
	span := demandTime.Seconds() * (1 - math.Exp(-float64(age)/float64(demandTime)))
	return max(m.sum/span, 0)
}

func (m *meter) decay(now time.Time) {
	if m.first.IsZero() {
		m.first = now
	}
	if passed := now.Sub(m.last); passed > 0 && !m.last.IsZero() {
		m.sum *= float64(demandTime) / float64(demandTime+passed)
	}
	m.last = now
}
