package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/board"
	"citronslip/internal/coldstart"
	"citronslip/internal/crash"
	"citronslip/internal/evacuation"
	"citronslip/internal/event"
	"citronslip/internal/hedge"
	"citronslip/internal/memory"
	"citronslip/internal/ratelimit"
	"citronslip/internal/resume"
	"citronslip/internal/routing"
	"citronslip/pkg/inventory"
)

const (
	// minAttemptTimeout is the remaining time below which no further attempt is sent.
	minAttemptTimeout = 20 * time.Millisecond
)

var (
	errEvacuated  = errors.New("dispatch: data centre of the backend server is evacuated")
	errNotResumed = errors.New("dispatch: backend server answered the resumption of a stream with something else")
)

type (
	// Dispatcher serves requests. Set the fields before the first call of Serve.
	Dispatcher struct {
		Directory *board.Cell[inventory.Directory]
		Pool      *Pool
		Backend   Backend
		Budgets   BudgetReserver
		Repeats   *RetryBudget
		Crashes   *crash.Tracker
		Limits    *ratelimit.Limiter
		Cold      *coldstart.Limiter // Nil if no server is ever cold.
		Streams   *resume.Tracker
		// Behind reports whether updates of the backend servers, and the requests sent to them, are delayed so much
		// that a server that is about to be removed would still get requests. It is optional.
		Behind func() bool
		// Closing returns when a stopping router closes the connections of its callers, once it takes no more requests that
		// may last longer, and the zero time before. It is optional.
		Closing func() time.Time
		// Regions returns the region of each data centre. Nil if the configuration's home regions do not apply.
		Regions func() map[string]string
		// Standstill makes attempts wait for the evacuations after the process has stood still; nil if none are evacuated.
		Standstill *evacuation.Standstill
		Hedges     *hedge.Policy  // Decides about second attempts while first ones wait; nil if there are none.
		Memory     *memory.Budget // Memory for responses; unlimited if nil.
		Logger     *zerolog.Logger
		Metrics    tally.Scope
	}

	// call is the state of a request in progress.
	call struct {
		*Dispatcher
		request         *Request
		response        Response
		held            *memory.Hold // Memory of the events of a stream.
		heldStart       *memory.Hold // Memory of the buffered start of another response.
		directory       *inventory.Directory
		route           *inventory.Route
		account         *inventory.ClientAccount
		service         string
		content         crash.Request // Identity of the request's content.
		trial           bool          // Whether the request is sent only to learn whether its content crashes servers.
		endWatch        func()        // Ends the watch of the current attempt.
		raced           bool          // Whether an attempt was made that could be hedged.
		answerBegun     bool          // Whether the server of the current attempt has begun to answer.
		answerBegunAt   time.Time     // When it began.
		progressed      bool          // Whether it has gone on with the answer, which proves the request harmless.
		reservation     Reservation
		places          []string   // Data centres in the home regions of the request; nil if it has none.
		triedServers    []string   // Names of the servers that received the request.
		withheldServers []string   // Names of servers to which the request was not sent, see NotSent.Withheld.
		responseStarted bool       // Whether the caller has received a part of the response.
		mayHaveRun      bool       // Whether a server may have started to execute the request.
		permit          permit     // Permit of the current attempt.
		target          *selection // Server reserved for the next attempt; nil if it is still to be picked.
		lastEvent       string
		software        string         // Software version at which the stream goes on; empty before its first event.
		brokenAt        time.Time      // When the stream last broke off and could continue at another server.
		resuming        bool           // Whether the server of the current attempt has sent no event yet that continues a stream.
		skipsIDs        bool           // Whether the IDs of the stream's events have skipped numbers.
		otherContent    bool           // Whether the response that has begun is not a stream of events.
		errorResponse   *errorResponse // Error of a server, returned if no retry succeeds.
		events          int64          // Number of events forwarded to the caller.
		timeToFirstByte time.Duration  // Measured from the arrival of the request.
		result          string
		reason          Reason
		retryAfter      time.Duration // Time until a server accepts requests again; zero if unknown.
	}
)

// Serve serves one request. It returns when the response has ended.
func (d *Dispatcher) Serve(ctx context.Context, request *Request, response Response) {
	c := &call{Dispatcher: d, request: request, response: response, directory: d.Directory.Load()}
	c.held = &memory.Hold{Budget: d.Memory}
	defer c.held.End()
	// A caller that does not read keeps the buffer from others, and the response can be forwarded with less of it.
	c.heldStart = &memory.Hold{Budget: d.Memory, Costly: true}
	defer c.heldStart.End()
	defer c.logRequest()
	if reason := c.resolve(); reason != "" {
		c.refuse(reason, c.retryAfter)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline())
	defer cancel()
	if reason := c.takeUp(ctx); reason != "" {
		c.refuse(reason, 0)
		return
	}
	if refusal := c.reserve(ctx); refusal.Reason != "" {
		c.refuse(refusal.Reason, refusal.After)
		return
	}
	defer c.settle()
	c.Repeats.CountRequest(c.service)
	c.run(ctx)
}

// resolve finds the route, the client account and the service of the request. It returns an empty reason on success.
func (c *call) resolve() Reason {
	if c.directory == nil || !c.Pool.knowsEvacuations() {
		return NotReady
	}
	c.route = c.directory.Route(c.request.Host, c.request.Path)
	if c.route == nil {
		return NoRoute
	}
	if !c.route.Public {
		c.account = c.directory.Account(c.request.Key)
		if c.account == nil {
			return NoAccount
		}
	}
	if c.route.Model && c.request.Prompt == nil {
		return Malformed
	}
	c.content = crash.Request{Fingerprint: c.request.fingerprint(), Parts: c.request.Prompt.sharedParts()}
	if c.isBlocked() {
		return CrashesServers
	}
	c.service = c.route.ChooseService(rand.Float64())
	if !c.findHomes() {
		return NoServerAvailable
	}
	return ""
}

// findHomes finds the data centres in the home regions of the route and the account. It returns false if they have home
// regions and there is none.
func (c *call) findHomes() bool {
	if c.Regions == nil {
		return true
	}
	var homes inventory.HomeRegions
	if c.account != nil {
		homes = c.account.Homes
	}
	c.places = inventory.HomePlaces(c.Regions(), c.route.Homes, homes)
	return c.places == nil || len(c.places) > 0
}

// deadline returns the time at which the router gives the request up.
func (c *call) deadline() time.Time {
	timeout := c.route.Timeout
	if c.request.Timeout > 0 {
		timeout = min(timeout, c.request.Timeout)
	}
	return c.request.Arrived.Add(timeout)
}

func (c *call) reserve(ctx context.Context) Refusal {
	if !c.route.Model || c.account == nil {
		return Refusal{}
	}
	total, limited := c.directory.Budget(c.account.Name)
	if !limited {
		return Refusal{}
	}
	reservation, refusal := c.Budgets.Reserve(ctx, ReservationRequest{
		Request: c.request.ID, Account: c.account.Name, Total: total, Tokens: c.request.Prompt.MaxTokens(),
	})
	c.reservation = reservation
	return refusal
}

// settle charges the prompt tokens and the output tokens that the caller received. A request of which no response
// reached the caller consumes nothing of a prepaid budget.
func (c *call) settle() {
	if c.reservation == nil {
		return
	}
	var used int64
	if c.responseStarted {
		used = c.request.Prompt.Tokens + min(c.events*c.tokensPerEvent(), c.request.Prompt.Most)
	}
	c.reservation.Settle(inventory.Tokens(used))
}

func (c *call) tokensPerEvent() int64 {
	service := c.directory.Service(c.service)
	if service == nil || service.Engine == nil {
		return 1
	}
	return int64(service.Engine.Stride)
}

// run makes attempts until the request has a response or cannot get one.
func (c *call) run(ctx context.Context) {
	c.lastEvent = c.request.LastEvent
	for {
		if c.outlastsRouter() {
			c.fail(ctx, Stopping)
			return
		}
		if c.target == nil && c.Behind != nil && c.Behind() {
			if c.waitToContinue(ctx) {
				continue
			}
			c.fail(ctx, LinkFull)
			return
		}
		c.Standstill.Wait(ctx)
		evacuations := c.Pool.evacuations()
		server, choice, err := c.selectServer(ctx)
		if err == nil && c.Pool.evacuations().Contains(server.Place) {
			choice.Done(routing.Cancelled{})
			c.logWithheld(server, errEvacuated)
			continue
		}
		if err != nil {
			if c.Pool.evacuations() != evacuations {
				continue // The server that was picked may have been evacuated while the request waited for its permit.
			}
			if c.waitToContinue(ctx) {
				continue
			}
			c.logNoServerAvailable()
			c.retryAfter = retryAfterOf(err)
			c.fail(ctx, pickFailureReason(err))
			return
		}
		if time.Until(c.deadline()) < minAttemptTimeout {
			choice.Done(routing.Cancelled{})
			c.fail(ctx, DeadlineExceeded)
			return
		}
		if c.isBlocked() {
			choice.Done(routing.Cancelled{})
			c.fail(ctx, CrashesServers)
			return
		}
		if c.permit.cold.Expired(time.Now()) {
			choice.Done(routing.Cancelled{})
			continue
		}
		retry, reason := c.attempt(ctx, server, choice)
		if reason == "" {
			return
		}
		if !retry {
			c.fail(ctx, reason)
			return
		}
		c.logEvent(event.AttemptRetried).Str("server", server.Name).Str("reason", string(reason)).Int("attempts", len(c.triedServers)).Send()
	}
}

// outlastsRouter reports whether a request that no server has run may last longer than a router that stops.
func (c *call) outlastsRouter() bool {
	if c.Closing == nil || c.mayHaveRun {
		return false
	}
	closing := c.Closing()
	return !closing.IsZero() && c.deadline().After(closing)
}

// selectServer returns the server that was reserved for the next attempt, or picks one.
func (c *call) selectServer(ctx context.Context) (*Server, *routing.Choice, error) {
	target := c.target
	if target == nil {
		return c.pick(ctx)
	}
	c.target = nil
	c.permit, c.trial = target.permit, target.trial
	return target.server, target.choice, nil
}

// routingRequest describes the request to the picker.
func (c *call) routingRequest() *routing.Request {
	r := &routing.Request{
		Service:    c.service,
		Tried:      slices.Concat(c.triedServers, c.withheldServers),
		Places:     c.places,
		Idempotent: c.route.Repeat != inventory.AtMostOnce,
		Software:   c.software,
	}
	if p := c.request.Prompt; p != nil {
		r.Prompt = p.Tokens
		r.Prefix = p.prefixHashes()
		if len(r.Prefix) > 0 {
			// Many prompts start with the same few parts. Using the last shared part spreads them over the servers.
			r.Home = r.Prefix[len(r.Prefix)-1]
		}
		if len(c.triedServers) == 0 && c.lastEvent == "" {
			r.TransferTime = c.transferTime()
		}
	}
	return r
}

// transferTime returns how long the transfer of a cached token between two servers of the request's service takes; zero if they
// cannot transfer any.
func (c *call) transferTime() time.Duration {
	service := c.directory.Service(c.service)
	if service == nil {
		return 0
	}
	return service.Engine.TransferTime()
}

// attempt sends the request to a server and forwards the response. The reason is empty if the caller's response has
// ended. Otherwise it tells why the attempt failed, and retry reports whether the request may be sent to another
// server.
func (c *call) attempt(ctx context.Context, server *Server, choice *routing.Choice) (retry bool, reason Reason) {
	if c.mayHedge() {
		return c.attemptRace(ctx, server, choice)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.forgetAnswer()
	c.endWatch = c.Crashes.Watch(c.content, func() { c.withdraw(server, cancel) })
	defer c.endWatch()
	choice.Started()
	next := &replacement{}
	attempt := c.newAttempt(ctx, server, choice, next)
	outcome := c.Backend.Send(ctx, attempt)
	return c.conclude(ctx, server, choice, outcome, next.end(ctx, outcome))
}

// conclude records the outcome of an attempt and forwards its response. target is the server of a replacement; nil if there
// is none. The results are those of attempt.
func (c *call) conclude(ctx context.Context, server *Server, choice *routing.Choice, outcome Outcome, target *selection) (retry bool, reason Reason) {
	switch o := outcome.(type) {
	case NotSent:
		c.recordNotSent(ctx, server, choice, o)
		return ctx.Err() == nil && (o.Withheld || c.Repeats.Allow(c.service)), NoServerAvailable
	case Refused:
		c.recordRefused(server, choice, o)
		return c.attemptsLeft() && c.Repeats.Allow(c.service), ServersFull
	case NoResponse:
		c.triedServers = append(c.triedServers, server.Name)
		c.mayHaveRun = true
		c.recordNoResponse(ctx, server, choice, o)
		if target != nil {
			c.target = target
			c.logStreamMoved()
			return true, IncompleteResponse
		}
		return c.allowRetry(ctx)
	case Answered:
		defer func() { _ = o.Body.Close() }()
		c.recordHead(server, o)
		switch {
		case o.Success && c.route.Stream && !(c.responseStarted && o.OtherContent):
			return c.forwardStream(ctx, server, choice, o)
		case c.responseStarted:
			// The caller has received a part of a stream, to which another response cannot be appended.
			choice.Done(c.outcomeOrCancelled(ctx, routing.Broken{}))
			c.logNoResponse(server, false, errNotResumed)
			return c.allowRetry(ctx)
		default:
			return c.forwardPlain(ctx, server, choice, o)
		}
	}
	return false, IncompleteResponse
}

// recordNotSent records an attempt of which nothing was sent.
func (c *call) recordNotSent(ctx context.Context, server *Server, choice *routing.Choice, o NotSent) {
	if o.Withheld {
		choice.Done(routing.Cancelled{})
		c.logWithheld(server, o.Err)
		c.withheldServers = append(c.withheldServers, server.Name)
		return
	}
	choice.Done(c.outcomeOrCancelled(ctx, routing.ConnectionRefused{}))
	c.logNotSent(server, o.Err)
	if ctx.Err() == nil {
		c.Crashes.RecordServerDown(server.Name)
	}
}

// recordRefused records an attempt that was not executed.
func (c *call) recordRefused(server *Server, choice *routing.Choice, o Refused) {
	c.triedServers = append(c.triedServers, server.Name)
	c.Pool.ReportLoad(server, o.Load)
	c.markLeaving(server, o.Leaving)
	if !o.Misdirected && !o.Withheld {
		c.Limits.Observe(server.process(), c.permit.limit, o.Limit)
		c.Cold.RecordResponse(server.Name, o.Cold)
		c.recordRejection()
	}
	choice.Done(routing.Refused{Reason: o.Reason, After: o.After})
	c.logEvent(event.AttemptRefused).Str("server", server.Name).Int("reason", int(o.Reason)).Send()
}

// recordHead records what the head of a response says about its server, which has executed the request.
func (c *call) recordHead(server *Server, o Answered) {
	c.triedServers = append(c.triedServers, server.Name)
	c.mayHaveRun = true
	c.Pool.ReportLoad(server, o.Load)
	c.markLeaving(server, o.Leaving)
	c.Pool.BackOff(server, o.Rest)
	c.Limits.Observe(server.process(), c.permit.limit, o.Limit)
	c.Cold.RecordResponse(server.Name, o.Cold)
	if o.Rest > 0 {
		c.recordRejection()
	}
}

// recordRejection records that a server of the service has no room, so that no request to it is hedged for a while.
func (c *call) recordRejection() {
	if c.Hedges != nil {
		c.Hedges.RecordRejection(c.service)
	}
}

// recordNoResponse records an attempt without a usable response. Failures of the way to a server do not count as its own.
func (c *call) recordNoResponse(ctx context.Context, server *Server, choice *routing.Choice, o NoResponse) {
	c.logNoResponse(server, o.Reset, o.Err)
	if o.Path {
		choice.Done(routing.Cancelled{})
		return
	}
	choice.Done(c.outcomeOrCancelled(ctx, routing.Broken{Reset: o.Reset}))
	c.recordSuspect(ctx, server)
}

// markLeaving stops the use of a server that announced that it is about to be removed.
func (c *call) markLeaving(server *Server, leaving bool) {
	if leaving {
		c.logEvent(event.ServerLeaving).Str("server", server.Name).Int64("born", server.Born).Send()
		c.Pool.MarkLeaving(server)
	}
}

// newAttempt returns the attempt at the picked server, and logs it.
func (c *call) newAttempt(ctx context.Context, server *Server, choice *routing.Choice, next *replacement) Attempt {
	a := Attempt{
		Request: c.request, Server: server, Left: time.Until(c.deadline()), Rank: c.route.Priority, LastEvent: c.lastEvent,
		Places: c.places, Permitted: c.permit.issued(), Replace: c.replacer(ctx, server, next),
	}
	if c.account != nil {
		a.Account = c.account.Name
		if c.account.Rank != nil {
			a.Rank = *c.account.Rank
		}
	}
	donor := choice.Donor
	if donor != nil && c.Pool.evacuations().Contains(donor.Place) {
		donor = nil // The evacuation began after the choice.
	}
	if donor != nil {
		a.Donor = donor.Address
	}
	c.logSent(server, donor, choice)
	return a
}

// attemptsLeft reports whether the route allows one more attempt.
func (c *call) attemptsLeft() bool { return len(c.triedServers) < max(c.route.Attempts, 1) }

// allowRetry reports whether a request that may have been executed may be sent again, and takes the retry out of the
// retry budget. It also returns the reason for the failure of the attempt.
func (c *call) allowRetry(ctx context.Context) (bool, Reason) {
	if c.responseStarted && !c.resumable() {
		return false, c.failureReason(ctx)
	}
	if ctx.Err() != nil || !c.attemptsLeft() || c.route.Repeat == inventory.AtMostOnce || !c.Repeats.Allow(c.service) {
		return false, c.failureReason(ctx)
	}
	c.logStreamMoved()
	return true, IncompleteResponse
}

// failureReason returns why an attempt failed: the deadline passed, or no complete response arrived.
func (c *call) failureReason(ctx context.Context) Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return DeadlineExceeded
	}
	return IncompleteResponse
}

// outcomeOrCancelled returns the outcome to report to the picker. A failure after the caller disconnected or after the
// deadline says nothing about the server.
func (c *call) outcomeOrCancelled(ctx context.Context, o routing.Outcome) routing.Outcome {
	if ctx.Err() != nil {
		return routing.Cancelled{}
	}
	return o
}
