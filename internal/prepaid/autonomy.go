package prepaid

import (
	"math"
	"time"
)

const (
	// AutonomyDelay is how long a router goes without an answer of the store before it may spend what it has not opened.
	// It exceeds the time in which a killed process is started again, which proves that it had not begun to.
	AutonomyDelay = 1500 * time.Millisecond
	// AutonomyRise is the time from then on over which it may spend more and more of that, up to its whole grant. A process
	// that was dead for longer than AutonomyDelay so loses a part of the grant of the one before it, and not all. The part
	// grows with the square of the time: what was opened ahead lasts for the first seconds, in which most hosts that lost
	// power are back.
	AutonomyRise = 7 * time.Second
)

// Spendable returns how much of a grant its holder may have spent after a time without an answer of the store.
func Spendable(opened, amount int64, silence time.Duration) int64 {
	if silence <= AutonomyDelay || amount <= opened {
		return opened
	}
	risen := min(1, float64(silence-AutonomyDelay)/float64(AutonomyRise))
	return opened + int64(risen*risen*float64(amount-opened))
}

// Opens returns the time without an answer of the store after which a holder may spend a number of tokens of its grant,
// which covers them.
func Opens(opened, amount, tokens int64) time.Duration {
	if tokens <= opened || amount <= opened {
		return 0
	}
	risen := math.Sqrt(float64(tokens-opened) / float64(amount-opened))
	return AutonomyDelay + time.Duration(risen*float64(AutonomyRise))
}
