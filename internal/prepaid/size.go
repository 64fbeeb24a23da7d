package prepaid

import (
	"math"
	"time"
)

const (
	// reserveWindow is how long the reserve of a grant covers the demand while the store is unreachable.
	reserveWindow = 16 * time.Second
	// normalOpenWindow is how long the opened part covers the demand while a budget is not low. More than AutonomyDelay of
	// it is left when more is opened.
	normalOpenWindow = 5 * time.Second
	// lowOpenWindow is how long the opened part covers the demand when a budget has just become low. It covers nearly
	// AutonomyDelay, so that few requests are refused at the start of an outage. Below that it falls in proportion to the
	// remaining tokens, so that the opened tokens of killed routers stay a small part of them.
	lowOpenWindow = 1400 * time.Millisecond
	// maxOpenShare and maxReserveShare are the maximum fractions of the remaining tokens that one router opens and
	// reserves. They do not divide the tokens equally, as the balancer may send most of an account's requests to one
	// router.
	maxOpenShare    = 0.06
	maxReserveShare = 0.45
	// maxOpenTotalShare and maxOpenRestShare are the maximum fractions of the total and of the remaining tokens of a low budget that
	// all routers together open, divided by their parts of the granted tokens. What they have opened is lost to the account if
	// all are killed, and at most 3 % of a budget may be lost, of which the requests that run then need some.
	maxOpenTotalShare = 0.026
	maxOpenRestShare  = 0.035
	// maxOpenRouterShare is the fraction of the total that any router may open for the demand of minOpenWindow, whatever its part.
	// A router that has just begun to serve an account has a small part of the granted tokens.
	maxOpenRouterShare = 0.0035
	minOpenWindow      = 2800 * time.Millisecond
	// minDemand is the demand in tokens a second below which a router holds no grant of an account.
	minDemand = 1
	// initialReserveShare is the fraction of the remaining tokens that all routers with any demand reserve together.
	initialReserveShare = 0.35
	// minRemainingShare is the fraction of the total below which nothing is reserved, so that the remaining tokens can
	// be used up.
	minRemainingShare = 0.03
	// lowShare is the fraction of the total below which a budget is low. Above it more is opened than the demand requires,
	// because the opened tokens of a killed router are not missed.
	lowShare = 0.35
	// minOpened is the smallest number of tokens that is worth opening ahead of demand.
	minOpened = 3000
	// demandWindow is the time constant over which demand is averaged.
	demandWindow = 5 * time.Second
	// minDemandWindow is the minimum time over which the demand of a new rateMeter is averaged.
	minDemandWindow = 2 * time.Second
)

type (
	// GrantSizeInput holds the values that determine the size of a grant.
	GrantSizeInput struct {
		Demand  float64 // Tokens a second that this router spends.
		Rest    int64   // Tokens that are neither granted nor spent, and the unused ones of this router's grant.
		Total   int64   // Tokens of the whole budget.
		Routers int     // Number of routers that hold grants of the account.
		Share   float64 // Part of all granted tokens that this router's grant has; that of one of Routers if zero.
	}

	// GrantSize is the number of tokens of a grant beyond those spent and reserved by requests.
	GrantSize struct {
		Open    int64 // Opened ahead of demand. The opened tokens of a killed router count as spent.
		Reserve int64 // Granted beyond the opened ones, for the time in which the store is unreachable.
	}

	// rateMeter is a decaying average of a rate in tokens a second.
	rateMeter struct {
		weightedTokens float64   // Tokens, weighted less the older they are.
		firstAt        time.Time // First use.
		lastAt         time.Time // Last decay.
	}
)

// Size returns the target size of a grant. While a budget is not low, its grants cover reserveWindow without the store.
// As the budget runs out, grants shrink until each request needs a store write of its own and no router holds tokens
// that it does not need.
func (n GrantSizeInput) Size() GrantSize {
	if n.Demand < minDemand || float64(n.Rest) < minRemainingShare*float64(n.Total) {
		return GrantSize{}
	}
	remaining := float64(n.Rest)
	low := lowShare * float64(n.Total)
	spareOpen := maxOpenShare * (remaining - low) / float64(max(n.Routers, 1))
	open := max(min(n.Demand*normalOpenWindow.Seconds(), maxOpenShare*remaining), spareOpen)
	if remaining <= low {
		open = min(n.Demand*lowOpenWindow.Seconds()*remaining/low, maxOpenShare*remaining, n.maxOpen())
	}
	if open < minOpened {
		open = 0
	}
	initialReserve := initialReserveShare * remaining / float64(max(n.Routers, 1))
	reserve := min(max(n.Demand*reserveWindow.Seconds(), initialReserve), maxReserveShare*remaining)
	return GrantSize{Open: int64(open), Reserve: int64(reserve)}
}

// maxOpen returns the maximum number of tokens that the router opens ahead of demand.
func (n GrantSizeInput) maxOpen() float64 {
	total, remaining, share := float64(n.Total), float64(n.Rest), n.Share
	if share == 0 {
		share = 1 / float64(max(n.Routers, 1))
	}
	return max(share*min(maxOpenTotalShare*total, maxOpenRestShare*remaining),
		min(n.Demand*minOpenWindow.Seconds(), maxOpenRouterShare*total))
}

// MaxGrowth returns how many of the free tokens a grant with the given number of unspent tokens may take beyond the
// waiting requests. Half as many as the router then holds unspent stay free for the others.
func MaxGrowth(free, unspent int64) int64 {
	return max(0, (2*free-unspent)/3)
}

// add records tokens at the time now; negative ones take back earlier tokens.
func (m *rateMeter) add(tokens float64, now time.Time) {
	m.decay(now)
	m.weightedTokens += tokens
}

// rate returns the rate in tokens a second at the time now.
func (m *rateMeter) rate(now time.Time) float64 {
	if m.firstAt.IsZero() {
		return 0
	}
	m.decay(now)
	// A new meter has not covered the whole averaging window yet.
	age := max(now.Sub(m.firstAt), minDemandWindow)
	effectiveWindow := demandWindow.Seconds() * (1 - math.Exp(-float64(age)/float64(demandWindow)))
	return max(m.weightedTokens/effectiveWindow, 0)
}

// decay reduces the weight of earlier tokens by the time since the last call.
func (m *rateMeter) decay(now time.Time) {
	if m.firstAt.IsZero() {
		m.firstAt = now
	}
	if elapsed := now.Sub(m.lastAt); elapsed > 0 && !m.lastAt.IsZero() {
		m.weightedTokens *= float64(demandWindow) / float64(demandWindow+elapsed)
	}
	m.lastAt = now
}
