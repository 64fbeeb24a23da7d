package experiment

import (
	"math/rand/v2"
	"slices"

	"citronslip/internal/routing"
)

type (
	// RoutingPolicy is a policy that chooses the server for each attempt. It is RoutingProduct or one of the baselines
	// RoutingRoundRobin, RoutingLeastOutstanding and RoutingTwoChoices. The baselines have no admission queue. They
	// skip a server for 5 s after an attempt to it failed, and retry within the same retry budget as the product.
	RoutingPolicy interface {
		routingPolicy()
	}

	// RoutingProduct is citronslip's own policy, run with its production code.
	RoutingProduct struct {
		// Hedge states whether a request is sent to a second server when its first token takes longer than the 95th
		// percentile.
		Hedge bool
	}

	// RoutingRoundRobin chooses the servers in turn.
	RoutingRoundRobin struct{}

	// RoutingLeastOutstanding chooses the server with the fewest requests in flight from the same router.
	RoutingLeastOutstanding struct{}

	// RoutingTwoChoices chooses, of two random servers, the one with fewer requests in flight from the same router.
	RoutingTwoChoices struct{}
)

func (RoutingProduct) routingPolicy()          {}
func (RoutingRoundRobin) routingPolicy()       {}
func (RoutingLeastOutstanding) routingPolicy() {}
func (RoutingTwoChoices) routingPolicy()       {}

// RoutingPolicies returns the policies compared by default.
func RoutingPolicies() []RoutingPolicy {
	return []RoutingPolicy{RoutingProduct{}, RoutingRoundRobin{}, RoutingLeastOutstanding{}, RoutingTwoChoices{}}
}

// routingPolicyLabel returns the policy's name in reports.
func routingPolicyLabel(p RoutingPolicy) string {
	switch p := p.(type) {
	case RoutingProduct:
		if p.Hedge {
			return "product, hedged"
		}
		return "product"
	case RoutingRoundRobin:
		return "round robin"
	case RoutingLeastOutstanding:
		return "least outstanding"
	default:
		return "two choices"
	}
}

// pick returns the index of the server for the attempt, or -1 if there is none. The choice is nil for baselines.
func (r *routingRouter) pick(a *routingAttempt) (int, *routing.Choice) {
	switch r.sim.policy.(type) {
	case RoutingProduct:
		choice, err := r.picker.Pick(a.request.pickerRequest(a.triedServers))
		if err != nil {
			return -1, nil
		}
		return r.sim.engineIndex[choice.Server.Name], choice
	case RoutingRoundRobin:
		return r.roundRobin(a), nil
	case RoutingLeastOutstanding:
		return r.leastOutstanding(r.eligible(a)), nil
	default:
		candidates := r.eligible(a)
		if len(candidates) > 2 {
			candidates = routingRandomPair(r.sim.policyRand, candidates)
		}
		return r.leastOutstanding(candidates), nil
	}
}

// roundRobin returns the next eligible server after the last one chosen, or -1 if there is none.
func (r *routingRouter) roundRobin(a *routingAttempt) int {
	for range r.sim.engines {
		r.lastServer = (r.lastServer + 1) % len(r.sim.engines)
		if r.isEligible(a, r.lastServer) {
			return r.lastServer
		}
	}
	return -1
}

// leastOutstanding returns the candidate with the fewest requests in flight from this router, or -1 if there are no
// candidates. Ties are broken at random.
func (r *routingRouter) leastOutstanding(candidates []int) int {
	best, ties := -1, 0
	for _, i := range candidates {
		switch {
		case best < 0 || r.inFlight[i] < r.inFlight[best]:
			best, ties = i, 1
		case r.inFlight[i] == r.inFlight[best]:
			ties++
			if r.sim.policyRand.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// eligible returns the servers that a baseline may choose. The slice is valid until the next call.
func (r *routingRouter) eligible(a *routingAttempt) []int {
	r.eligibleBuffer = r.eligibleBuffer[:0]
	for i := range r.sim.engines {
		if r.isEligible(a, i) {
			r.eligibleBuffer = append(r.eligibleBuffer, i)
		}
	}
	return r.eligibleBuffer
}

// isEligible reports whether a baseline may choose the server: it is listed, not avoided after a failure and not yet
// tried for the request.
func (r *routingRouter) isEligible(a *routingAttempt, server int) bool {
	if r.sim.listedGone[server] || r.avoidUntil[server] > r.sim.now {
		return false
	}
	return !slices.Contains(a.triedServers, r.sim.engines[server].name)
}

// routingRandomPair returns two different random candidates; there must be at least two.
func routingRandomPair(rng *rand.Rand, candidates []int) []int {
	a := rng.IntN(len(candidates))
	b := rng.IntN(len(candidates) - 1)
	if b >= a {
		b++
	}
	return []int{candidates[a], candidates[b]}
}
