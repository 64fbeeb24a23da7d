package routing

import "time"

const (
	stateClosed circuitState = iota
	stateOpen
	stateHalfOpen
)

type (
	circuitState int

	// circuit is the circuit breaker of one server. An open circuit becomes half-open after a successful poll, or by a
	// request some time after the backoff if no poll probes it. A half-open circuit lets one request through at a time;
	// its success closes the circuit, its failure opens it with twice the backoff. Requests that may run only once probe
	// as well, if Picker.Trials is set, after a successful health check or after trialAt.
	circuit struct {
		state           circuitState
		failures        int           // Consecutive failures.
		backoff         time.Duration // Current backoff before the next probe.
		probeAt         time.Time     // Earliest time of the next probe.
		requestInFlight bool          // Whether a request is probing the half-open circuit.
		pollInFlight    bool          // Whether a poll is probing the open circuit.
		failedProbes    int           // Failed requests that probed since the circuit opened.
		trialAt         time.Time     // Earliest time of a trial without a successful health check.
		health          healthState
	}
)

// String returns the state as text for explanations.
func (s circuitState) String() string {
	switch s {
	case stateOpen:
		return "circuit open"
	case stateHalfOpen:
		return "circuit half-open, probe in flight"
	default:
		return "circuit closed"
	}
}

// allows reports whether a request may be sent to the server. Idempotent requests may probe, and trials if the server
// seems healthy or enough time has passed; other requests may not.
func (c *circuit) allows(now time.Time, idempotent, trial bool, probeGrace time.Duration) bool {
	trial = trial && !c.requestInFlight && (c.health.healthy || !now.Before(c.trialAt))
	switch c.state {
	case stateClosed:
		return true
	case stateOpen:
		return idempotent && !now.Before(c.probeAt.Add(probeGrace)) || trial
	default:
		return idempotent && !c.requestInFlight || trial
	}
}

// beginRequest records that a request is sent to the server and reports whether it is a probe.
func (c *circuit) beginRequest() bool {
	if c.state == stateClosed {
		return false
	}
	c.state = stateHalfOpen
	c.requestInFlight = true
	return true
}

// beginPoll reports whether a poll should probe the server now, and if so records that it is in flight.
func (c *circuit) beginPoll(now time.Time) bool {
	if c.state != stateOpen || c.pollInFlight || now.Before(c.probeAt) {
		return false
	}
	c.pollInFlight = true
	return true
}

// endPoll records the result of a poll. It has no effect if the poll was not a probe.
func (c *circuit) endPoll(ok bool, now time.Time, maxBackoff time.Duration) {
	if !c.pollInFlight {
		return
	}
	c.pollInFlight = false
	if c.state != stateOpen {
		return
	}
	if ok {
		c.state = stateHalfOpen
		c.requestInFlight = false
		return
	}
	c.backoff = min(2*c.backoff, maxBackoff)
	c.probeAt = now.Add(c.backoff)
}

// recordSuccess records a successful request and reports whether the circuit closed. A request that was sent before the
// circuit opened is no evidence of recovery.
func (c *circuit) recordSuccess(probe bool) bool {
	if c.state == stateClosed {
		c.failures = 0
		return false
	}
	if !probe {
		return false
	}
	*c = circuit{}
	return true
}

// recordFailure counts a failure and reports whether the circuit opened, which it does after threshold failures in a
// row or after a failed probe.
func (c *circuit) recordFailure(probe bool, threshold int, now time.Time, initialBackoff, maxBackoff time.Duration) bool {
	c.failures++
	switch {
	case c.state == stateClosed && c.failures < threshold:
		return false
	case c.state == stateClosed:
		c.backoff = initialBackoff
	case probe:
		c.backoff = min(2*c.backoff, maxBackoff)
		c.failedProbes++
	default:
		return false
	}
	c.state = stateOpen
	c.requestInFlight = false
	c.probeAt = now.Add(c.backoff)
	return true
}

// releaseProbe ends a probe without a result. Another request may probe at once.
func (c *circuit) releaseProbe(probe bool) {
	if probe && c.state == stateHalfOpen {
		c.requestInFlight = false
	}
}
