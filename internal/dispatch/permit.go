package dispatch

import (
	"context"
	"errors"
	"time"

	"citronslip/internal/coldstart"
	"citronslip/internal/delay"
	"citronslip/internal/ratelimit"
	"citronslip/internal/routing"
)

const (
	// maxPermitWait is the longest time that a request waits for a permit, permitWaitShare its largest share of the time
	// that is left until the deadline.
	maxPermitWait   = time.Second
	permitWaitShare = 0.25
	// maxPermitPicks is the maximum number of servers at their rate limits that are considered for one attempt.
	maxPermitPicks = 32
	// maxColdPicks is the maximum number of cold servers that are asked for without a wait before the others are
	// considered. All servers of a place may be cold at once, and look idle.
	maxColdPicks = 3
)

type (
	// permit allows one attempt at a server. The zero value is that of a server that needs none.
	permit struct {
		limit ratelimit.Permit // Of a server with a rate limit.
		cold  coldstart.Permit // Of a cold server.
	}
)

// issued reports whether the server needs a permit.
func (p permit) issued() bool { return p.limit.Issued() || p.cold.Issued }

// wait returns the time after which the request may be sent.
func (p permit) wait() time.Duration { return max(p.limit.Wait, p.cold.Wait) }

// acquire obtains the permits that a server needs. That of a cold server comes first, as one that is not used then only
// costs a part of its rate.
func (d *Dispatcher) acquire(ctx context.Context, server *Server, maxWait time.Duration) (permit, error) {
	cold, err := d.Cold.Acquire(ctx, server.Name, maxWait)
	if err != nil {
		return permit{}, err
	}
	limit, err := d.Limits.Acquire(ctx, server.process(), maxWait)
	return permit{limit, cold}, err
}

// exhaustedServers returns the names of the servers for which no permit is free at present.
func (d *Dispatcher) exhaustedServers() []string {
	return append(d.Limits.ExhaustedServers(), d.Cold.ExhaustedServers()...)
}

// pick selects a server and obtains a permit if the server has a rate limit or is cold. Only if all servers that could accept the
// request are at their limits, it waits for a permit. Its errors are those of Pool.Pick and *ratelimit.ExhaustedError.
func (c *call) pick(ctx context.Context) (*Server, *routing.Choice, error) {
	request := c.routingRequest()
	request.Exclude = c.exhaustedServers()
	server, choice, err := c.pickWithin(ctx, request, 0)
	if err == nil || len(request.Exclude) == 0 {
		return server, choice, err
	}
	server, choice, err = c.pickWaiting(ctx, request)
	if err != nil || c.permit.wait() == 0 {
		return server, choice, err
	}
	// The server may have become unavailable during the wait, so that it is picked anew.
	choice.Done(routing.Cancelled{})
	delay.Sleep(ctx, c.permit.wait())
	request.Exclude, request.Only = nil, server.Name
	return c.Pool.Pick(request)
}

// pickWaiting selects a server for which a permit is free within the time that the request can wait. While routers do
// not know which of them issues the permits, it tries again.
func (c *call) pickWaiting(ctx context.Context, request *routing.Request) (*Server, *routing.Choice, error) {
	maxWait := min(maxPermitWait, time.Duration(permitWaitShare*float64(time.Until(c.deadline()))))
	end := time.Now().Add(maxWait) // The answers of the routers that issue permits take a part of the time.
	for {
		request.Exclude = nil
		server, choice, err := c.pickWithin(ctx, request, max(time.Until(end), 0))
		var exhausted *ratelimit.ExhaustedError
		if !errors.As(err, &exhausted) || exhausted.Full || exhausted.After >= time.Until(end) || !delay.Sleep(ctx, exhausted.After) {
			return server, choice, err
		}
	}
}

// pickWithin selects a server for which a permit is free within maxWait. It adds servers that it passes over for lack of
// a permit to request.Exclude. If none is left, the error is an *ratelimit.ExhaustedError with the shortest of their times,
// unless another server accepts requests sooner.
func (c *call) pickWithin(ctx context.Context, request *routing.Request, maxWait time.Duration) (*Server, *routing.Choice, error) {
	var shortest *ratelimit.ExhaustedError
	coldPicks := 0
	for range maxPermitPicks {
		server, choice, err := c.Pool.Pick(request)
		if err != nil {
			return nil, nil, soonest(shortest, err)
		}
		permit, err := c.acquire(ctx, server, maxWait)
		if err == nil {
			c.permit = permit
			return server, choice, nil
		}
		choice.Done(routing.Cancelled{})
		request.Exclude = append(request.Exclude, server.Name)
		var exhausted *ratelimit.ExhaustedError
		if errors.As(err, &exhausted) && (shortest == nil || exhausted.After < shortest.After) {
			shortest = exhausted
		}
		if maxWait == 0 && c.Cold.IsCold(server.Name) {
			if coldPicks++; coldPicks == maxColdPicks {
				request.Exclude = append(request.Exclude, c.Cold.ColdServers()...)
			}
		}
	}
	return nil, nil, shortest
}

// soonest returns the error that names the earlier time at which a server accepts requests again: shortest, which may be
// nil, or that of the pick.
func soonest(shortest *ratelimit.ExhaustedError, err error) error {
	after := retryAfterOf(err)
	if shortest == nil || after > 0 && after < shortest.After {
		return err
	}
	return shortest
}
