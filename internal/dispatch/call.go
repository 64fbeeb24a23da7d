package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/board"
	"citronslip/internal/crash"
	"citronslip/internal/event"
	"citronslip/internal/routing"
	"citronslip/pkg/inventory"
)

const (
	// leastLeft is the shortest time for which an attempt is worth sending.
	leastLeft = 20 * time.Millisecond
	// ElsewhereAfter is the time told to a caller who is to try another host.
	ElsewhereAfter = 50 * time.Millisecond
	// retryAfter is the time told with a refusal whose cause gives no better one.
	retryAfter = 300 * time.Millisecond
)

var (
	errNoStream = errors.New("dispatch: the server does not continue the stream")
)

type (
	// Dispatcher serves requests. Set the fields before the first call of Serve.
	Dispatcher struct {
		Directory *board.Cell[inventory.Directory]
		Pool      *Pool
		Backend   Backend
		Budgets   Budgets
		Repeats   *Repeats
		Crashes   *crash.List
		// Behind reports whether what is known of the servers, and what is sent to them, is so late that a server that
		// leaves would get requests. It is optional.
		Behind  func() bool
		Logger  *zerolog.Logger
		Metrics tally.Scope
	}

	// call is a request in progress.
	call struct {
		*Dispatcher
		request   *Request
		response  Response
		directory *inventory.Directory
		route     *inventory.Route
		account   *inventory.ClientAccount
		service   string
		print     string // Fingerprint of the request.
		hold      Hold
		tried     []string // Servers that the request was sent to.
		began     bool     // Whether the caller has a part of the answer.
		ran       bool     // Whether a server may have begun to work on it.
		lastEvent string
		spare     *spare // Answer that is passed on if no better one comes.
		events    int64
		first     time.Duration // From arrival to the first byte of the answer.
		result    string
		reason    Reason
		after     time.Duration // Until a server takes requests again; zero if that is not known.
	}
)

// Serve answers one request. It returns when the answer has ended.
func (d *Dispatcher) Serve(ctx context.Context, request *Request, response Response) {
	c := &call{Dispatcher: d, request: request, response: response, directory: d.Directory.Load()}
	defer c.log()
	if reason := c.admit(); reason != "" {
		c.refuse(reason, 0)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, c.limit())
	defer cancel()
	if refusal := c.reserve(ctx); refusal.Reason != "" {
		c.refuse(refusal.Reason, refusal.After)
		return
	}
	defer c.settle()
	c.Repeats.First(c.service)
	c.run(ctx)
}

// admit finds route, account and service, or returns why there is none.
func (c *call) admit() Reason {
	if c.directory == nil {
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
	c.print = c.request.fingerprint()
	if c.Crashes.Blocked(c.print) {
		return Crashing
	}
	c.service = c.route.Choose(rand.Float64())
	return ""
}

// limit returns the time at which the request is given up.
func (c *call) limit() time.Time {
	patience := c.route.Timeout
	if c.request.Patience > 0 {
		patience = min(patience, c.request.Patience)
	}
	return c.request.Arrived.Add(patience)
}

func (c *call) reserve(ctx context.Context) Refusal {
	if !c.route.Model || c.account == nil {
		return Refusal{}
	}
	total, limited := c.directory.Budget(c.account.Name)
	if !limited {
		return Refusal{}
	}
	hold, refusal := c.Budgets.Reserve(ctx, Claim{
		Request: c.request.ID, Account: c.account.Name, Total: total, Tokens: c.request.Prompt.Size(),
	})
	c.hold = hold
	return refusal
}

// settle charges the prompt and the output tokens that the caller got. An answer of which nothing was passed on consumes
// nothing of a prepaid budget.
func (c *call) settle() {
	if c.hold == nil {
		return
	}
	var used int64
	if c.began {
		used = c.request.Prompt.Tokens + min(c.events*c.stride(), c.request.Prompt.Most)
	}
	c.hold.Settle(inventory.Tokens(used))
}

func (c *call) stride() int64 {
	service := c.directory.Service(c.service)
	if service == nil || service.Engine == nil {
		return 1
	}
	return int64(service.Engine.Stride)
}

// run makes attempts until the request has an answer.
func (c *call) run(ctx context.Context) {
	c.lastEvent = c.request.LastEvent
	for {
		if c.Behind != nil && c.Behind() {
			c.fail(ctx, LinkFull)
			return
		}
		server, choice, err := c.Pool.Pick(c.want())
		if err != nil {
			c.unplaced()
			c.after = restOf(err)
			c.fail(ctx, NoServer)
			return
		}
		if time.Until(c.limit()) < leastLeft {
			choice.Done(routing.Cancelled{})
			c.fail(ctx, Late)
			return
		}
		again, reason := c.attempt(ctx, server, choice)
		if reason == "" {
			return
		}
		if !again {
			c.fail(ctx, reason)
			return
		}
		c.line(event.AttemptRepeated).Str("server", server.Name).Str("reason", string(reason)).Int("attempts", len(c.tried)).Send()
	}
}

// want describes the request to the picker.
func (c *call) want() *routing.Request {
	r := &routing.Request{
		Service:    c.service,
		Tried:      c.tried,
		Idempotent: c.route.Repeat != inventory.RunOnce,
	}
	if p := c.request.Prompt; p != nil {
		r.Prompt = p.Tokens
		r.Prefix = p.prefix()
		if len(r.Prefix) > 0 {
			// Many prompts begin with the same few parts; the last shared part spreads them over the servers.
			r.Home = r.Prefix[len(r.Prefix)-1]
		}
	}
	return r
}

// attempt sends the request to a server and passes the answer on. It returns why the request has no answer yet, and
// whether another server may get it.
func (c *call) attempt(ctx context.Context, server *Server, choice *routing.Choice) (again bool, reason Reason) {
	choice.Started()
	c.sent(server, choice)
	outcome := c.Backend.Send(ctx, c.describe(server))
	switch o := outcome.(type) {
	case Unreached:
		choice.Done(c.broken(ctx, routing.ConnectionRefused{}))
		c.unreached(server, o.Err)
		if ctx.Err() == nil {
			c.Crashes.Down(context.WithoutCancel(ctx), server.Name)
		}
		return ctx.Err() == nil && c.Repeats.Again(c.service), NoServer
	case Refused:
		c.tried = append(c.tried, server.Name)
		c.Pool.Report(server, o.Load)
		c.depart(server, o.Leaving)
		choice.Done(routing.Refused{Reason: o.Reason, After: o.After})
		c.line(event.AttemptRefused).Str("server", server.Name).Int("reason", int(o.Reason)).Send()
		return c.more() && c.Repeats.Again(c.service), Busy
	case Lost:
		c.tried = append(c.tried, server.Name)
		c.ran = true
		choice.Done(c.broken(ctx, routing.Broken{Reset: o.Reset}))
		c.suspect(ctx, server)
		c.lost(server, o.Reset, o.Err)
		return c.again(ctx)
	case Answered:
		c.tried = append(c.tried, server.Name)
		c.ran = true
		defer func() { _ = o.Body.Close() }()
		c.Pool.Report(server, o.Load)
		c.depart(server, o.Leaving)
		c.Pool.Rest(server, o.Rest)
		switch {
		case o.Success && c.route.Stream:
			return c.stream(ctx, server, choice, o)
		case c.began:
			// The caller has a part of a stream, behind which an error of the server has no place.
			choice.Done(c.broken(ctx, routing.Broken{}))
			c.lost(server, false, errNoStream)
			return c.again(ctx)
		default:
			return c.plain(ctx, server, choice, o)
		}
	}
	return false, Broken
}

// depart takes a server that says that it is leaving out of use.
func (c *call) depart(server *Server, leaving bool) {
	if leaving {
		c.line(event.ServerLeaving).Str("server", server.Name).Int64("born", server.Born).Send()
		c.Pool.Leave(server)
	}
}

func (c *call) describe(server *Server) Attempt {
	a := Attempt{Request: c.request, Server: server, Left: time.Until(c.limit()), Rank: c.route.Priority, LastEvent: c.lastEvent}
	if c.account != nil {
		a.Account = c.account.Name
		if c.account.Rank != nil {
			a.Rank = *c.account.Rank
		}
	}
	return a
}

// more reports whether the route allows another server.
func (c *call) more() bool { return len(c.tried) < max(c.route.Attempts, 1) }

// again returns whether a request that may have run may be sent once more, and takes it out of the allowance.
func (c *call) again(ctx context.Context) (bool, Reason) {
	if ctx.Err() != nil || !c.more() || c.route.Repeat == inventory.RunOnce || !c.Repeats.Again(c.service) {
		return false, c.late(ctx)
	}
	if c.began {
		c.line(event.StreamMoved).Str("last", c.lastEvent).Int64("events", c.events).Send()
	}
	return true, Broken
}

// late returns the reason of a failure: the time limit if it has passed.
func (c *call) late(ctx context.Context) Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Late
	}
	return Broken
}

// broken returns the outcome for the picker. A failure after the caller left or the time limit says nothing of the server.
func (c *call) broken(ctx context.Context, o routing.Outcome) routing.Outcome {
	if ctx.Err() != nil {
		return routing.Cancelled{}
	}
	return o
}

// suspect notes that the request may have brought the server down.
func (c *call) suspect(ctx context.Context, server *Server) {
	if ctx.Err() == nil {
		c.Crashes.Suspect(c.print, server.Name, server.process())
	}
}

// fail ends a request without an answer of a server.
func (c *call) fail(ctx context.Context, reason Reason) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		if c.began {
			c.response.Abort()
		}
		c.end("caller left", "")
	case c.began:
		c.response.Abort()
		c.end("aborted", reason)
	case c.spare != nil:
		c.deliver()
	case c.ran && reason.NotRun():
		c.refuse(Broken, 0)
	case !c.ran && !reason.NotRun():
		c.refuse(Overload, retryAfter)
	default:
		c.refuse(reason, c.after)
	}
}

// restOf returns when a server takes requests again, if that is why none was found.
func restOf(err error) time.Duration {
	var resting *routing.RestError
	if errors.As(err, &resting) {
		return resting.After
	}
	return 0
}

func (c *call) refuse(reason Reason, after time.Duration) {
	switch {
	case after > 0:
	case reason == LinkFull:
		after = ElsewhereAfter
	default:
		after = retryAfter
	}
	c.response.Refuse(Refusal{Reason: reason, After: after})
	c.end("refused", reason)
}
