package budget

import (
	"math"
	"time"

	"citronslip/pkg/inventory"
)

const (
	// DefaultHorizon is the time for which a grant of a budget that is not low covers the demand without the table.
	DefaultHorizon = time.Hour
	// horizonMargin is the factor by which a grant exceeds the demand over the horizon, so that a grant that is about
	// to grow still covers the horizon.
	horizonMargin = 1.5
	// demandDeviations is the number of standard deviations of the demand that a grant covers above the mean.
	demandDeviations = 4
	// minGrantRequests is the number of requests with the largest bound that even the smallest grant of a budget that is not
	// low covers.
	minGrantRequests = 8
	// normalShareFraction, refusalShareFraction and overspendShareFraction are the fractions of its fair share that a
	// holder takes of a low budget, by the error that the account weighs more. The rest stays in the table for the
	// first holder that needs it.
	normalShareFraction    = 0.95
	refusalShareFraction   = 0.97
	overspendShareFraction = 0.85
)

type (
	// Policy decides the sizes of grants. It is one of DemandPolicy, FixedSplit and FixedSize.
	Policy interface {
		policy()
	}

	// DemandPolicy grants the measured demand over the horizon, limited by the holder's fair share of the tokens left.
	DemandPolicy struct {
		Horizon time.Duration // DefaultHorizon if 0.
	}

	// FixedSplit grants each holder the same part of the total, once.
	FixedSplit struct {
		Holders int // Number of parts.
	}

	// FixedSize adds the same number of tokens to a grant whenever less than a quarter of that number is left, or less
	// than a refused request needs.
	FixedSize struct {
		Tokens inventory.Tokens // Tokens added at a time.
	}

	// policyInput is the state of a grant and its budget that a policy decides on.
	policyInput struct {
		counters
		demandRate    float64          // Demand of this router in tokens per second.
		window        time.Duration    // Time for which the normal limit covers the demand.
		chargedBefore inventory.Tokens // Tokens charged for earlier grants of the instance.
		grantRow      GrantRow         // Grant row, zero if there is none.
		budgetRow     Row              // Budget row; zero for lowWatermark.
		worseOutcome  inventory.WorseOutcome
	}

	// grantTarget is the size that a policy decides on.
	grantTarget struct {
		headroom inventory.Tokens // Tokens to hold in addition to the tokens in use.
		low      bool             // Whether the tokens left in the budget limit the grant, and not the demand.
	}
)

func (DemandPolicy) policy() {}
func (FixedSplit) policy()   {}
func (FixedSize) policy()    {}

// targetOf returns the size that the policy sets for a grant.
func targetOf(policy Policy, in policyInput) grantTarget {
	var result grantTarget
	switch p := policy.(type) {
	case FixedSplit:
		result.headroom = max(0, in.budgetRow.Total/inventory.Tokens(max(1, p.Holders))-in.chargedBefore-in.used())
	case FixedSize:
		result.headroom = max(0, in.granted-in.used())
		if result.headroom < p.Tokens/4 || result.headroom < in.largestRefused {
			result.headroom += p.Tokens
		}
	case DemandPolicy:
		result = p.target(in)
	}
	return result
}

// lowWatermark returns the number of unused tokens below which a grant is to grow.
func lowWatermark(policy Policy, in policyInput) inventory.Tokens {
	switch p := policy.(type) {
	case FixedSize:
		return p.Tokens / 4
	case DemandPolicy:
		return inventory.Tokens(float64(p.requiredTokens(in)) / horizonMargin)
	default:
		return 0
	}
}

// target returns the tokens that cover the demand, or the holder's fair share of the budget if that is less. The tokens
// left are derived from the reported consumption of all holders, corrected for this one's latest usage.
func (p DemandPolicy) target(in policyInput) grantTarget {
	required := p.requiredTokens(in)
	remaining := max(0, in.budgetRow.Total-in.budgetRow.Closed-in.budgetRow.Spent+in.grantRow.Reported-in.spent)
	fairShare := inventory.Tokens(in.demandShare() * float64(remaining) * shareFraction(in.worseOutcome))
	if required <= fairShare {
		return grantTarget{headroom: required}
	}
	return grantTarget{headroom: in.lowHeadroom(fairShare), low: true}
}

// lowHeadroom returns the tokens to hold of a low budget. Tokens too few for a request are of no use to a holder,
// so they return to the table, and each request fetches exactly its bound from there. A bound that exceeds what the
// holder and the table have together fetches nothing.
func (in policyInput) lowHeadroom(fairShare inventory.Tokens) inventory.Tokens {
	ownLeft := max(0, in.grantRow.Amount-in.used())
	tooSmall := fairShare < in.largestBound || ownLeft < in.largestBound && in.budgetRow.Free() < in.largestBound
	switch {
	case tooSmall && in.largestRefused > ownLeft+in.budgetRow.Free():
		return 0
	case tooSmall:
		return in.largestRefused
	default:
		return max(fairShare, in.largestRefused)
	}
}

// requiredTokens returns the tokens that cover the demand over the horizon, or over the window of the normal limit if
// that is longer.
func (p DemandPolicy) requiredTokens(in policyInput) inventory.Tokens {
	horizon := p.Horizon
	if horizon == 0 {
		horizon = DefaultHorizon
	}
	demand := in.demandRate * max(horizon, in.window).Seconds()
	deviation := demandDeviations * math.Sqrt(demand*float64(in.largestBound))
	return inventory.Tokens(demand*horizonMargin+deviation) + minGrantRequests*in.largestBound
}

// demandShare returns the fraction of the demand of all holders that is this holder's; without demand, an equal part.
func (in policyInput) demandShare() float64 {
	ownRate := perHour(in.demandRate)
	otherRates := max(0, in.budgetRow.Rate-in.grantRow.Rate)
	holders := in.budgetRow.Holders
	if in.grantRow.Sequence == 0 {
		holders++
	}
	if ownRate+otherRates == 0 {
		return 1 / float64(max(1, holders))
	}
	return float64(ownRate) / float64(ownRate+otherRates)
}

// shareFraction returns the fraction of the fair share that a holder takes of a low budget.
func shareFraction(worseOutcome inventory.WorseOutcome) float64 {
	switch worseOutcome {
	case inventory.WorseFalseRefusal:
		return refusalShareFraction
	case inventory.WorseOverspend:
		return overspendShareFraction
	default:
		return normalShareFraction
	}
}

// perHour converts a rate in tokens per second to tokens per hour.
func perHour(rate float64) inventory.Tokens {
	return inventory.Tokens(math.Round(rate * time.Hour.Seconds()))
}
