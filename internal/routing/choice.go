package routing

import (
	"time"

	"citronslip/internal/event"
	"citronslip/pkg/inventory"
)

type (
	// Choice is a picked server for one attempt. Its methods are called in order: Started when the request is sent,
	// First at the first byte of the answer, Progress now and then while a stream runs, and Done exactly once.
	Choice struct {
		Server *inventory.BackendServer
		// Sample says whether the router wants a load report with the response. At high rates it asks for some only.
		Sample bool
		// Expected is what the choice was based on.
		Expected Expectation

		picker  *Picker
		server  *server
		probe   bool
		urgent  bool
		done    bool
		first   bool // Whether the first byte has come.
		prefix  []uint64
		cached  int64   // Prompt tokens expected in the cache.
		pending int64   // Prompt tokens counted as pending at the server.
		batch   float64 // Expected batch when chosen.
		ahead   float64 // Expected prompt tokens up to and including the own ones.
		begin   time.Time
		last    time.Time // Time of the last progress.
		tokens  int64     // Tokens at the last progress.
	}

	// Expectation is what a picker expects of the server that it chose.
	Expectation struct {
		Cached int64         // Prompt tokens in the server's cache.
		Ahead  int64         // Prompt tokens up to and including those of the request.
		Batch  int           // Requests that run there.
		Age    time.Duration // Age of the load report; zero if there is none.
	}
)

// Started notes that the request is being sent.
func (c *Choice) Started() {
	c.picker.mu.Lock()
	defer c.picker.mu.Unlock()
	c.begin = c.picker.now()
}

// First notes the first byte of the answer.
func (c *Choice) First() {
	p := c.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.first || c.done {
		return
	}
	c.first = true
	now := p.now()
	c.last = now
	c.arrive(now)
	work := (baseTokens + c.ahead) * (baseBatch + c.batch) / baseBatch
	p.learn(&c.server.speed.first, &p.fleet.first, now.Sub(c.begin).Seconds(), work, now)
	for _, prefix := range c.prefix[:min(len(c.prefix), longestPrefix)] {
		p.hint(prefix, c.server)
	}
}

// Progress notes that a running stream has so many tokens. Once a second per stream is enough.
func (c *Choice) Progress(tokens int64) {
	p := c.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.first && !c.done {
		c.pace(tokens, p.now())
	}
}

// Done notes the result of the attempt. Calls after the first have no effect.
func (c *Choice) Done(o Outcome) {
	p := c.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.done {
		return
	}
	now := p.now()
	c.settle(o, now)
	c.done = true
	c.arrive(now)
	c.server.own.running--
	c.server.note(now)
}

// settle applies the outcome to the server's state.
func (c *Choice) settle(o Outcome, now time.Time) {
	p, s := c.picker, c.server
	switch o := o.(type) {
	case Finished:
		c.finish(o, now)
		if s.circuit.succeed(c.probe) {
			s.added = now
			p.counters.closed.Inc(1)
			event.CircuitClosed.Log(p.Logger).Str("server", s.conf.Name).Send()
		}
	case Refused:
		c.refuse(o, now)
	case ConnectionRefused:
		c.fail(1, now)
	case Broken:
		threshold := p.Failures
		if o.Reset {
			threshold = 1
		}
		c.fail(threshold, now)
	default:
		s.circuit.abandon(c.probe)
	}
}

// finish learns from a whole answer.
func (c *Choice) finish(o Finished, now time.Time) {
	p, s := c.picker, c.server
	switch {
	case c.first:
		c.pace(o.Output, now)
	case o.First > 0:
		work := (baseTokens + c.ahead) * (baseBatch + c.batch) / baseBatch
		p.learn(&s.speed.first, &p.fleet.first, o.First.Seconds(), work, now)
	}
	if c.cached <= 0 || o.Cached < 0 {
		return
	}
	s.trust += (min(float64(o.Cached)/float64(c.cached), 1) - s.trust) * leastAlpha
}

// pace learns the time between tokens since the last call.
func (c *Choice) pace(tokens int64, now time.Time) {
	p, s := c.picker, c.server
	count := tokens - max(c.tokens, 1)
	if count <= 0 {
		return
	}
	batch, _ := p.expect(s, p.share.scale(), now, false)
	work := float64(count) * (baseBatch + (batch+c.batch)/2)
	p.learn(&s.speed.gap, &p.fleet.gap, now.Sub(c.last).Seconds(), work, now)
	c.last = now
	c.tokens = tokens
	c.batch = batch
}

// refuse applies a refusal before the request ran.
func (c *Choice) refuse(o Refused, now time.Time) {
	s := c.server
	switch o.Reason {
	case Leaving:
		s.circuit.abandon(c.probe)
		c.picker.leave(s, now)
	case NotReady:
		c.fail(1, now)
	default:
		s.circuit.abandon(c.probe)
		c.picker.rested(s, max(o.After, leastRest), now)
	}
}

// fail counts a failure, of which the given number in a row opens the circuit.
func (c *Choice) fail(threshold int, now time.Time) {
	c.picker.fail(c.server, c.probe, threshold, now)
}

func (p *Picker) fail(s *server, probe bool, threshold int, now time.Time) {
	wait := p.Reopen
	wait += time.Duration(p.random() * float64(wait))
	if !s.circuit.fail(probe, threshold, now, wait, p.LongOpen) {
		return
	}
	p.failure = now
	p.counters.opened.Inc(1)
	event.CircuitOpened.Log(p.Logger).Str("server", s.conf.Name).Dur("wait", s.circuit.wait).Send()
}

// arrive takes the prompt out of the pending work.
func (c *Choice) arrive(now time.Time) {
	s := c.server
	s.own.pending[0] -= c.pending
	if c.urgent {
		s.own.pending[1] -= c.pending
	}
	c.pending = 0
	s.note(now)
}

// Leave notes that the server itself said that it is leaving, in a header for example. It gets no new work until the
// host list shows it live at a later time.
func (p *Picker) Leave(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[name]; s != nil {
		p.leave(s, p.now())
	}
}

func (p *Picker) leave(s *server, now time.Time) {
	if s.leaving {
		s.sign = now
		return
	}
	s.leaving = true
	s.sign = now
	event.ServerLeaving.Log(p.Logger).Str("server", s.conf.Name).Send()
}
