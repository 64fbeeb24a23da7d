package caller

import (
	"context"
	"net/http"
	"time"

	"citronslip/internal/delay"
)

// attemptUntilDone makes attempts until one is answered or no further one may follow. It aborts the response if the caller has
// disconnected. Only a request whose body was kept can be attempted again.
func (c *call) attemptUntilDone(
	ctx context.Context, bodyKept bool, attempt func(context.Context) attemptResult, finish func(context.Context, answered),
) *Refusal {
	c.front.Retrier.CountFirstAttempt()
	for {
		c.attemptCount++
		switch result := attempt(ctx).(type) {
		case answered:
			finish(ctx, result)
			return nil
		case callerGone:
			c.record.Result = "cancelled"
			c.recordOutcomeUnknown(ctx)
			// A caller that has ended only its side of the connection must not take the response for complete.
			panic(http.ErrAbortHandler)
		case failed:
			backoff, retry := c.retryDelay(result, bodyKept)
			if !retry || !delay.Sleep(ctx, backoff) {
				c.endClaim(ctx)
				return result.refusal
			}
		}
	}
}

// retryDelay returns the delay before the next attempt. It reports false if none may follow.
func (c *call) retryDelay(result failed, bodyKept bool) (time.Duration, bool) {
	if result.final || !bodyKept {
		return 0, false
	}
	return c.front.Retrier.Retry(result.outcome, c.idempotent, c.attemptCount)
}
