package dispatch

import (
	"context"
	"errors"
	"time"

	"citronslip/internal/ratelimit"
	"citronslip/internal/routing"
)

const (
	// OtherHostRetryAfter is the retry delay given to callers that should use another host.
	OtherHostRetryAfter = 50 * time.Millisecond
	// defaultRetryAfter is the retry delay in refusals for which no better estimate is known.
	defaultRetryAfter = 300 * time.Millisecond
)

// fail ends a request that got no successful response.
func (c *call) fail(ctx context.Context, reason Reason) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		c.response.Abort() // The caller may have ended only its side of the connection.
		c.setResult("caller left", "")
	case c.responseStarted:
		c.response.Abort()
		c.setResult("aborted", reason)
	case c.errorResponse != nil:
		c.sendErrorResponse()
	case c.mayHaveRun && reason.NotExecuted():
		c.refuse(IncompleteResponse, 0)
	case !c.mayHaveRun && !reason.NotExecuted():
		c.refuse(DeadlineTooShort, defaultRetryAfter)
	default:
		c.refuse(reason, c.retryAfter)
	}
}

// retryAfterOf returns the time until a server accepts requests again if err says that the servers asked for a pause or
// are at their rate limits, and zero otherwise.
func retryAfterOf(err error) time.Duration {
	var busyErr *routing.BusyError
	var exhaustedErr *ratelimit.ExhaustedError
	switch {
	case errors.As(err, &busyErr):
		return busyErr.After
	case errors.As(err, &exhaustedErr):
		return exhaustedErr.After
	}
	return 0
}

// pickFailureReason returns why no server was selected.
func pickFailureReason(err error) Reason {
	var exhausted *ratelimit.ExhaustedError
	switch {
	case !errors.As(err, &exhausted):
		return NoServerAvailable
	case exhausted.Full:
		return ServersFull
	default:
		return RateLimited
	}
}

func (c *call) refuse(reason Reason, retryAfter time.Duration) {
	switch {
	case retryAfter > 0:
	case reason == LinkFull, reason == Stopping:
		retryAfter = OtherHostRetryAfter
	default:
		retryAfter = defaultRetryAfter
	}
	c.response.Refuse(Refusal{Reason: reason, After: retryAfter})
	c.setResult("refused", reason)
}
