package dispatch

import (
	"context"
	"errors"
	"time"

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
)

// pick selects a server and obtains a permit if the server has a rate limit. Only if all servers that could accept the
// request are at their limits, it waits for a permit. Its errors are those of Pool.Pick and *ratelimit.ExhaustedError.
func (c *call) pick(ctx context.Context) (*Server, *routing.Choice, error) {
	request := c.routingRequest()
	request.Exclude = c.Limits.ExhaustedServers()
	server, choice, err := c.pickWithin(ctx, request, 0)
	if err == nil || len(request.Exclude) == 0 {
		return server, choice, err
	}
	server, choice, err = c.pickWaiting(ctx, request)
	if err != nil || c.permit.Wait == 0 {
		return server, choice, err
	}
	// The server may have become unavailable during the wait, so that it is picked anew.
	choice.Done(routing.Cancelled{})
	delay.Sleep(ctx, c.permit.Wait)
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
	for range maxPermitPicks {
		server, choice, err := c.Pool.Pick(request)
		if err != nil {
			return nil, nil, soonest(shortest, err)
		}
		permit, err := c.Limits.Acquire(ctx, server.process(), maxWait)
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
