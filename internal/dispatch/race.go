package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"citronslip/internal/event"
	"citronslip/internal/hedge"
	"citronslip/internal/routing"
	"citronslip/pkg/inventory"
)

type (
	// leg is one of the at most two attempts of a race for the first usable response.
	leg struct {
		server   *Server
		choice   *routing.Choice
		permit   permit
		ctx      context.Context
		cancel   context.CancelFunc
		endWatch func()
		next     *replacement
		begin    time.Time

		// The following fields are set before the leg is sent to the channel of the race.
		outcome Outcome
		usable  bool // Whether the response is complete, or a first part of it that may be forwarded.

		mu        sync.Mutex
		ended     bool
		abandoned bool // Whether the response must reach nobody.
	}

	// race is a first attempt and its hedge, if there is one.
	race struct {
		call     *call
		ended    chan *leg // Has room for both, as nobody receives an abandoned one.
		first    *leg
		second   *leg // Hedge; nil if none was sent.
		pending  int  // Number of legs in progress.
		timer    *time.Timer
		due      time.Time // When the timer was to fire; zero if it is not set.
		late     bool      // Whether the check for a hedge was late once.
		withheld bool      // Whether a hedge was withheld, which is logged once.
	}
)

// mayHedge reports whether a hedge may be sent for the next attempt: the first one of a request that may
// run more than once.
func (c *call) mayHedge() bool {
	if c.Hedges == nil || c.Hedges.Share <= 0 || c.raced || c.responseStarted || c.trial || len(c.triedServers) > 0 || c.route.Attempts < 2 {
		return false
	}
	return c.route.Repeat == inventory.Idempotent || c.route.Repeat == inventory.Resumable
}

// attemptRace sends the request to a server, and to a second one if the first takes long, and forwards the first usable
// response. Its results are those of attempt.
func (c *call) attemptRace(ctx context.Context, server *Server, choice *routing.Choice) (retry bool, reason Reason) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.raced = true
	c.forgetAnswer()
	c.Hedges.CountRequest()
	r := &race{call: c, ended: make(chan *leg, 2)}
	r.first = r.start(ctx, server, choice, true)
	r.timer = time.NewTimer(0)
	defer r.timer.Stop()
	if wait, ok := c.Hedges.Delay(c.route.Name, choice.Expected.First); ok {
		r.checkAfter(wait)
	} else {
		r.timer.Stop()
	}
	winner := r.await(ctx)
	r.recordTime(ctx, winner)
	if r.second != nil {
		r.endHedge(winner)
	}
	c.permit, c.endWatch = winner.permit, winner.endWatch
	defer winner.cancel()
	defer winner.endWatch()
	return c.conclude(winner.ctx, winner.server, winner.choice, winner.outcome, winner.next.end(winner.ctx, winner.outcome))
}

// start sends the request to a server. replaceable is whether another attempt may take the place of one on a broken way.
func (r *race) start(ctx context.Context, server *Server, choice *routing.Choice, replaceable bool) *leg {
	c := r.call
	l := &leg{server: server, choice: choice, permit: c.permit, next: &replacement{}, begin: time.Now()}
	l.ctx, l.cancel = context.WithCancel(ctx)
	l.endWatch = c.Crashes.Watch(c.content, func() { c.withdraw(server, l.cancel) })
	choice.Started()
	attempt := c.newAttempt(l.ctx, server, choice, l.next)
	if !replaceable {
		attempt.Replace = nil
	}
	backend, route, timeout := c.Backend, c.route, c.stallTimeout()
	r.pending++
	go func() {
		l.outcome = backend.Send(l.ctx, attempt)
		if o, ok := l.outcome.(Answered); ok {
			var body *prefetchedBody
			if o.Success && route.Stream {
				body, l.usable = prefetchEvent(route, o, timeout)
			} else {
				body, l.usable = prefetchPlain(o)
				l.usable = l.usable && o.Success
			}
			o.Body = body
			l.outcome = o
		}
		l.end()
		r.ended <- l
	}()
	return l
}

// await returns the leg whose outcome is that of the attempt: the first usable one, or the last that ended.
func (r *race) await(ctx context.Context) *leg {
	for {
		select {
		case l := <-r.ended:
			r.pending--
			if l.usable || r.pending == 0 {
				return l
			}
			r.call.recordFailedLeg(l)
		case <-r.timer.C:
			r.check(ctx)
		}
	}
}

// checkAfter schedules the next check for a hedge.
func (r *race) checkAfter(wait time.Duration) {
	r.due = time.Now().Add(wait)
	r.timer.Reset(wait)
}

// check sends a hedge or schedules the next check.
func (r *race) check(ctx context.Context) {
	if r.due.IsZero() || ctx.Err() != nil {
		return
	}
	if !r.late && time.Since(r.due) > maxTimerDelay {
		r.late = true
		r.checkAfter(recheckDelay)
		return
	}
	reason := r.hedge(ctx)
	if reason == "" {
		return
	}
	if !r.withheld {
		r.withheld = true
		r.call.Metrics.Tagged(map[string]string{"reason": string(reason)}).Counter("hedges_withheld").Inc(1)
	}
	r.checkAfter(hedge.RecheckInterval)
}

// hedge sends a hedge, or returns why it does not.
func (r *race) hedge(ctx context.Context) hedge.Reason {
	c := r.call
	attempt := hedge.Attempt{Route: c.route.Name, Service: c.service, Age: time.Since(r.first.begin), Left: time.Until(c.deadline())}
	if reason := c.checkHedge(attempt); reason != "" {
		return reason
	}
	server, choice, reason := c.pickHedge(r.first.server)
	if reason != "" {
		return reason
	}
	expected := choice.Expected
	reason = c.Hedges.Compare(attempt, hedge.Candidate{LoadAge: expected.Age, Free: expected.Free, Expected: expected.First})
	switch {
	case reason != "":
	case !c.Repeats.AllowSpare(c.service, hedge.MaxRetryUse):
		reason = hedge.Retries
	case !c.Hedges.Take():
		reason = hedge.Share
	case !r.first.next.close():
		reason = hedge.NoServer // Another attempt is about to take the place of the first one.
	}
	if reason != "" {
		choice.Done(routing.Cancelled{})
		return reason
	}
	c.Metrics.Counter("hedges_sent").Inc(1)
	c.logEvent(event.HedgeSent).Str("first", r.first.server.Name).Str("server", server.Name).Dur("age", attempt.Age).
		Dur("expected", expected.First).Int("free", expected.Free).Send()
	c.permit = permit{}
	r.second = r.start(ctx, server, choice, false)
	return ""
}

// checkHedge returns why no hedge may be sent to any server.
func (c *call) checkHedge(attempt hedge.Attempt) hedge.Reason {
	switch {
	case attempt.Left < minAttemptTimeout:
		return hedge.Deadline
	case c.Closing != nil && !c.Closing().IsZero():
		return hedge.Stopping
	case c.Behind != nil && c.Behind():
		return hedge.Link
	case c.Standstill.Waiting():
		return hedge.News
	case c.Crashes.Suspected(c.content):
		return hedge.Content
	}
	return c.Hedges.Check(attempt)
}

// pickHedge picks a server for a hedge. Servers that need permits are left out.
func (c *call) pickHedge(first *Server) (*Server, *routing.Choice, hedge.Reason) {
	limited, brittle := c.Limits.LimitedServers(c.service)
	if brittle {
		return nil, nil, hedge.NoServer
	}
	request := c.routingRequest()
	request.Tried = append(request.Tried, first.Name)
	request.Exclude = append(append(limited, c.Cold.ColdServers()...), c.Pool.SilentServers()...)
	request.Spare = hedge.MaxLoadAge
	server, choice, err := c.Pool.Pick(request)
	if err != nil {
		return nil, nil, hedge.NoServer
	}
	if c.Pool.evacuations().Contains(server.Place) {
		choice.Done(routing.Cancelled{})
		return nil, nil, hedge.NoServer
	}
	return server, choice, ""
}

// recordTime records how long the first attempt took, or for how long it was awaited.
func (r *race) recordTime(ctx context.Context, winner *leg) {
	took := time.Since(r.first.begin)
	switch {
	case winner == r.first && winner.usable:
		r.call.Hedges.RecordTime(r.call.route.Name, took)
	case ctx.Err() != nil || r.pending > 0:
		r.call.Hedges.RecordCut(r.call.route.Name, took)
	}
}

// endHedge gives up the leg that has not won, unless it has failed before.
func (r *race) endHedge(winner *leg) {
	c := r.call
	won := winner == r.second && winner.usable
	if won {
		c.Metrics.Counter("hedges_won").Inc(1)
	}
	c.logEvent(event.HedgeEnded).Str("winner", winner.server.Name).Bool("won", won).Bool("usable", winner.usable).Send()
	if r.pending == 0 {
		return
	}
	loser := r.second
	if loser == winner {
		loser = r.first
	}
	loser.abandon()
	if won {
		loser.choice.Done(routing.Outpaced{})
	} else {
		loser.choice.Done(routing.Cancelled{})
	}
	c.triedServers = append(c.triedServers, loser.server.Name)
	c.mayHaveRun = true
}

// recordFailedLeg records a leg without a usable response while the other one is in progress.
func (c *call) recordFailedLeg(l *leg) {
	defer l.abandon()
	c.permit = l.permit
	switch o := l.outcome.(type) {
	case NotSent:
		c.recordNotSent(l.ctx, l.server, l.choice, o)
	case Refused:
		c.recordRefused(l.server, l.choice, o)
	case NoResponse:
		c.triedServers = append(c.triedServers, l.server.Name)
		c.mayHaveRun = true
		c.recordNoResponse(l.ctx, l.server, l.choice, o)
	case Answered:
		c.recordHead(l.server, o)
		body, err := readStart(o.Body, o.bufferLimit())
		if err == nil && !o.Success && len(body) < o.bufferLimit() {
			l.choice.Done(routing.Broken{})
			c.errorResponse = &errorResponse{head: o.Head, body: body}
			return
		}
		l.choice.Done(c.outcomeOrCancelled(l.ctx, routing.Broken{Reset: c.route.Stream}))
		if !errors.Is(err, errStalled) {
			c.recordSuspect(l.ctx, l.server)
		}
		c.logNoResponse(l.server, c.route.Stream, err)
	}
}

// end records that the leg has an outcome, which is discarded if it was abandoned before.
func (l *leg) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	l.discard()
}

// abandon cancels the leg at its server. No part of its response is used.
func (l *leg) abandon() {
	l.cancel()
	l.endWatch()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abandoned = true
	l.discard()
}

// discard closes the response of an abandoned leg that has ended. The caller holds the lock.
func (l *leg) discard() {
	if !l.ended || !l.abandoned {
		return
	}
	if o, ok := l.outcome.(Answered); ok {
		_ = o.Body.Close()
	}
}
