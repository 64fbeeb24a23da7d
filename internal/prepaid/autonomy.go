package prepaid

import (
	"math"
	"time"
)

const (
	// AutonomyDelay is how long a router must be without an answer of the store before it may spend tokens beyond the
	// opened part of a grant. It exceeds the usual restart time of a killed process, so that a quick restart proves
	// that the killed process had spent none of them.
	AutonomyDelay = 1500 * time.Millisecond
	// AutonomyRampTime is the time after AutonomyDelay over which the spendable tokens rise from the opened part to the
	// whole grant. A restart that takes longer than AutonomyDelay thus costs a part of the earlier process's grant, not
	// all of it. The rise is quadratic: the opened part lasts for the first seconds, in which most hosts that lost
	// power are back.
	AutonomyRampTime = 7 * time.Second
)

// Spendable returns how many tokens of a grant its holder may spend after it has had no answer of the store for the
// time silence.
func Spendable(opened, amount int64, silence time.Duration) int64 {
	if silence <= AutonomyDelay || amount <= opened {
		return opened
	}
	fraction := min(1, float64(silence-AutonomyDelay)/float64(AutonomyRampTime))
	return opened + int64(fraction*fraction*float64(amount-opened))
}

// SpendableAfter returns how long a holder must be without an answer of the store before it may spend the given number
// of tokens. It is the inverse of Spendable. The grant's amount must cover the tokens.
func SpendableAfter(opened, amount, tokens int64) time.Duration {
	if tokens <= opened || amount <= opened {
		return 0
	}
	fraction := math.Sqrt(float64(tokens-opened) / float64(amount-opened))
	return AutonomyDelay + time.Duration(fraction*float64(AutonomyRampTime))
}
