package routing

import (
	"time"

	"citronslip/internal/event"
	"citronslip/pkg/inventory"
)

type (
	// Choice is the server picked for one attempt. Its methods are called in this order: Started when the request is
	// sent, FirstByte at the first byte of the response, Progress about once a second while a stream runs, and Done
	// exactly once.
	Choice struct {
		Server *inventory.BackendServer
		// Sample reports whether the request should ask the server for a load report. At high request rates only some
		// requests do.
		Sample bool
		// Donor is the server from which the picked one should fetch the cached prefix of the prompt; nil if from none.
		Donor *inventory.BackendServer
		// Expected holds the estimates that the choice was based on.
		Expected Expectation

		picker        *Picker
		server        *server
		probe         bool // Whether the request probes a server whose circuit is not closed.
		trial         bool // Whether the probe may run only once.
		started       bool // Whether the request was sent.
		urgent        bool // Whether the request's priority is above zero.
		done          bool
		firstByte     bool      // Whether the first byte of the response has arrived.
		prefixHashes  []uint64  // Request.Prefix.
		cachedTokens  int64     // Prompt tokens expected in the server's prefix cache.
		pendingTokens int64     // Prompt tokens that are still counted as pending at the server.
		batchSize     float64   // Batch size expected at the time of the choice, then at each progress.
		tokensAhead   float64   // Prompt tokens expected to be processed first, including those of this request.
		sentAt        time.Time // Time of the choice, then of Started.
		lastProgress  time.Time // Time of the first byte, then of the last progress.
		outputTokens  int64     // Generated tokens at the last progress.
		transferable  bool      // Whether the request counts toward the limit of transfers.
		donor         *server   // Server of Donor.
	}

	// Expectation is the picker's estimate of the state of the server that it picked.
	Expectation struct {
		Cached int64         // Prompt tokens in the server's prefix cache.
		Ahead  int64         // Prompt tokens to be processed until the first token, including those of the request.
		Batch  int           // Requests that run at the server, including this one.
		Age    time.Duration // Age of the load report; zero if there is none.
		// WorkTime is the relative work time that the estimates count with; one if the server reports none.
		WorkTime float64
		Fetched  int64         // Part of Cached that is to be fetched from Choice.Donor.
		First    time.Duration // Time until the first byte.
		Free     int           // Free slots before this request; zero if the server has not reported its slots.
	}
)

// Started records that the request is being sent.
func (c *Choice) Started() {
	c.picker.mu.Lock()
	defer c.picker.mu.Unlock()
	c.sentAt = c.picker.now()
	if !c.started {
		c.earnTransferCredit()
	}
	c.started = true
	if c.trial {
		c.picker.logTrial(c.server)
	}
}

// FirstByte records the first byte of the response, and that the server now holds the prompt's prefix.
func (c *Choice) FirstByte() {
	p := c.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.firstByte || c.done {
		return
	}
	c.firstByte = true
	now := p.now()
	c.lastProgress = now
	c.clearPending(now)
	c.learnFirstToken(now.Sub(c.sentAt), now)
	for _, prefix := range c.prefixHashes[:min(len(c.prefixHashes), maxPrefixBlocks)] {
		p.addPrefix(prefix, c.server)
	}
}

// Progress records how many tokens a running stream has generated so far. One call per second and stream is enough.
func (c *Choice) Progress(tokens int64) {
	p := c.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.firstByte && !c.done {
		c.learnTokenGap(tokens, p.now())
	}
}

// Done records the outcome of the attempt. Calls after the first have no effect.
func (c *Choice) Done(o Outcome) {
	p := c.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.done {
		return
	}
	now := p.now()
	c.applyOutcome(o, now)
	c.done = true
	c.returnTransferCredit()
	c.clearPending(now)
	c.server.ownWork.running--
	c.server.recordOwnWork(now)
}

// applyOutcome applies the outcome to the server's state.
func (c *Choice) applyOutcome(o Outcome, now time.Time) {
	p, s := c.picker, c.server
	switch o := o.(type) {
	case Finished:
		c.recordFinished(o, now)
		if s.circuit.recordSuccess(c.probe) {
			s.slowStartBegin = now
			p.counters.closed.Inc(1)
			event.CircuitClosed.Log(p.Logger).Str("server", s.config.Name).Send()
		}
	case Refused:
		c.recordRefusal(o, now)
	case ConnectionRefused:
		c.recordFailure(1, now)
	case Broken:
		threshold := p.Failures
		if o.Reset {
			threshold = 1
		}
		c.recordFailure(threshold, now)
	case Outpaced:
		c.learnLeast(now)
		s.circuit.releaseProbe(c.probe)
	default:
		if c.trial && c.started {
			// A server that answers nothing until callers give up must not get one request after the other.
			c.recordFailure(1, now)
			return
		}
		s.circuit.releaseProbe(c.probe)
	}
}

// learnLeast learns the server's speed from an attempt that would have taken longer than it has so far, unless the server was
// expected to take that long anyway.
func (c *Choice) learnLeast(now time.Time) {
	took := now.Sub(c.sentAt)
	if c.firstByte || took <= c.Expected.First {
		return
	}
	s := c.server
	work := (fixedTokens + c.tokensAhead) * (doublingBatch + c.batchSize) / doublingBatch
	s.speed.firstToken.add(took.Seconds()/s.workTime.factor(now)/work, now)
}

// recordFinished learns the server's speed and cache hit ratio from a complete response.
func (c *Choice) recordFinished(o Finished, now time.Time) {
	s := c.server
	switch {
	case c.firstByte:
		c.learnTokenGap(o.Output, now)
	case o.First > 0:
		c.learnFirstToken(o.First, now)
	}
	if c.cachedTokens <= 0 || o.Cached < 0 {
		return
	}
	if c.donor != nil {
		s = c.donor // It did not have what it was expected to have.
	}
	s.cacheHitRatio += (min(float64(o.Cached)/float64(c.cachedTokens), 1) - s.cacheHitRatio) * minAlpha
}

// learnFirstToken learns the server's prefill speed from the time to the first token. A request with a transfer teaches
// none: it is not known how much of its time was the transfer, or whether the donor still had the prefix.
func (c *Choice) learnFirstToken(took time.Duration, now time.Time) {
	if c.donor != nil {
		return
	}
	p, s := c.picker, c.server
	work := (fixedTokens + c.tokensAhead) * (doublingBatch + c.batchSize) / doublingBatch
	p.learnFrom(s, &s.speed.firstToken, &p.fleetSpeed.firstToken, took.Seconds(), work, now)
}

// learnTokenGap learns the mean time between tokens since the previous call.
func (c *Choice) learnTokenGap(tokens int64, now time.Time) {
	p, s := c.picker, c.server
	newTokens := tokens - max(c.outputTokens, 1)
	if newTokens <= 0 {
		return
	}
	batchSize, _ := p.expectedWork(s, p.workShare.scale(), now, false)
	work := float64(newTokens) * (doublingBatch + (batchSize+c.batchSize)/2)
	p.learnFrom(s, &s.speed.tokenGap, &p.fleetSpeed.tokenGap, now.Sub(c.lastProgress).Seconds(), work, now)
	c.lastProgress = now
	c.outputTokens = tokens
	c.batchSize = batchSize
}

// recordRefusal applies a refusal by the server to the server's state.
func (c *Choice) recordRefusal(o Refused, now time.Time) {
	s := c.server
	switch o.Reason {
	case ReasonLeaving:
		s.circuit.releaseProbe(c.probe)
		c.picker.setLeaving(s, now)
	case ReasonNotReady:
		c.recordFailure(1, now)
	default:
		s.circuit.releaseProbe(c.probe)
		c.picker.setBusy(s, max(o.After, minBusyTime), now)
	}
}

// recordFailure counts a failure. The circuit opens after threshold failures in a row.
func (c *Choice) recordFailure(threshold int, now time.Time) {
	c.picker.recordFailure(c.server, c.probe, threshold, now)
}

// recordFailure counts a failure of the server, and logs it if the circuit opens. The jitter of the backoff keeps many
// routers from probing the server at the same moment.
func (p *Picker) recordFailure(s *server, probe bool, threshold int, now time.Time) {
	backoff := p.Reopen
	backoff += time.Duration(p.random() * float64(backoff))
	if !s.circuit.recordFailure(probe, threshold, now, backoff, p.LongOpen) {
		return
	}
	p.scheduleProbes(&s.circuit, now)
	p.lastOpened = now
	p.counters.opened.Inc(1)
	event.CircuitOpened.Log(p.Logger).Str("server", s.config.Name).Dur("wait", s.circuit.backoff).Send()
}

// clearPending removes the prompt from the server's pending work.
func (c *Choice) clearPending(now time.Time) {
	s := c.server
	s.ownWork.pendingTokens[0] -= c.pendingTokens
	if c.urgent {
		s.ownWork.pendingTokens[1] -= c.pendingTokens
	}
	c.pendingTokens = 0
	s.recordOwnWork(now)
}

// MarkLeaving records that the server itself announced that it is leaving, for example in a response header. The server
// gets no new work until a later observation of the host list shows it live.
func (p *Picker) MarkLeaving(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[name]; s != nil {
		p.setLeaving(s, p.now())
	}
}

// setLeaving excludes the server from new work and logs it the first time.
func (p *Picker) setLeaving(s *server, now time.Time) {
	if s.leaving {
		s.leavingAt = now
		return
	}
	s.leaving = true
	s.leavingAt = now
	event.ServerLeaving.Log(p.Logger).Str("server", s.config.Name).Send()
}
