package routing

import "time"

const (
	// ReasonBusy is the reason when the server's queue is full.
	ReasonBusy RefusalReason = iota
	// ReasonNotReady is the reason when the server is up but cannot serve requests yet.
	ReasonNotReady
	// ReasonLeaving is the reason when the server is about to be removed.
	ReasonLeaving
)

type (
	// Outcome is the result of one attempt: Finished, Refused, ConnectionRefused, Broken, Cancelled or Outpaced.
	Outcome interface {
		outcome()
	}

	// RefusalReason is why a server refused a request before it ran.
	RefusalReason int

	// Finished is an attempt whose response was received completely.
	Finished struct {
		Prompt   int64         // Prompt tokens.
		Cached   int64         // Prompt tokens found in the prefix cache; negative if unknown.
		Output   int64         // Generated tokens. Zero for plain services.
		First    time.Duration // From dispatch to the first byte of the response; zero if unknown.
		Duration time.Duration // From dispatch to the end of the response.
	}

	// Refused is an attempt that the server refused without running it.
	Refused struct {
		Reason RefusalReason
		After  time.Duration // Time until the server may accept work again, if it said so; otherwise zero.
	}

	// ConnectionRefused is an attempt that never reached the server.
	ConnectionRefused struct{}

	// Broken is an attempt that failed after part of the request may have been sent.
	Broken struct {
		// Reset reports whether the connection itself was lost, which usually means that the server crashed. It opens
		// the circuit at once; other failures count towards Picker.Failures.
		Reset bool
	}

	// Cancelled is an attempt that the router gave up.
	Cancelled struct{}

	// Outpaced is an attempt that the router gave up because another server answered first. It is no failure, but the server is
	// at least as slow as the time until then says.
	Outpaced struct{}
)

func (Finished) outcome()          {}
func (Refused) outcome()           {}
func (ConnectionRefused) outcome() {}
func (Broken) outcome()            {}
func (Cancelled) outcome()         {}
func (Outpaced) outcome()          {}

// NotRun reports whether the attempt certainly did not run at a server.
func NotRun(o Outcome) bool {
	switch o.(type) {
	case Refused, ConnectionRefused:
		return true
	default:
		return false
	}
}
