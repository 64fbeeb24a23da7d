package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"citronslip/internal/claim"
	"citronslip/internal/delay"
)

const (
	maxIdempotencyKeyBytes = 256
	// maxClaimTries bounds how often a request tries to claim its key. It tries again if the request that held the
	// claim was not run.
	maxClaimTries      = 5
	claimRetryInterval = 100 * time.Millisecond
)

// claimKey claims the idempotency key of a request, if it has one. It reports whether to run the request. Otherwise the
// request was answered if the refusal is nil, and is refused if not.
func (c *call) claimKey(ctx context.Context, body []byte) (bool, *Refusal) {
	if c.idempotencyKey == "" {
		return true, nil
	}
	if c.front.Biller.Full() {
		return false, newRetryableRefusal(http.StatusServiceUnavailable, CodeClaim, "too many bills wait for the table", time.Second)
	}
	bodyHash := claim.Hash(body)
	for range maxClaimTries {
		claimResult, err := c.front.Claims.Begin(ctx, c.account.Name, c.idempotencyKey, bodyHash)
		if err != nil {
			claimResult = c.resultWithoutClaim(bodyHash)
		}
		retryClaim, proceed, refusal := c.handleClaimResult(ctx, claimResult, bodyHash)
		if !retryClaim {
			return proceed, refusal
		}
		if !delay.Sleep(ctx, claimRetryInterval) {
			break
		}
	}
	return false, c.claimConflictRefusal("an earlier request with the same key has not ended", time.Second)
}

// resultWithoutClaim decides whether a request may run although its claim could not be written. A nil result refuses
// it.
func (c *call) resultWithoutClaim(bodyHash string) claim.Result {
	if !c.idempotent {
		return nil
	}
	c.earlierRunsUnknown = true
	return c.front.Claims.BeginUnclaimed(c.account.Name, c.idempotencyKey, bodyHash)
}

// handleClaimResult acts on the state of an idempotency key. It reports whether to claim the key again and, if not,
// whether to run the request.
func (c *call) handleClaimResult(
	ctx context.Context, found claim.Result, bodyHash string,
) (retryClaim, proceed bool, refusal *Refusal) {
	switch found := found.(type) {
	case claim.Claimed:
		c.claim = found.Claim
		c.record.Claim = "claimed"
		return false, true, nil
	case claim.Recorded:
		c.replayAnswer(found.Answer)
		return false, false, nil
	case claim.Joined:
		return c.awaitLocalRun(ctx, found)
	case claim.Running:
		return c.askOtherRouter(ctx, found)
	case claim.OutcomeUnknown:
		return c.takeOverClaim(ctx, found, bodyHash)
	case claim.BodyMismatch:
		message := "the key was used before with another body"
		return false, false, newRefusal(http.StatusUnprocessableEntity, CodeClaim, message)
	default:
		// An earlier submission of the key may have been run, so the refusal must not say that the request was not run.
		message := "this submission was not run: its key could not be claimed; an earlier one may have been"
		return false, false, c.claimConflictRefusal(message, time.Second)
	}
}

// awaitLocalRun waits for the same request, which this router is running, unless the router stops before the wait has to end.
func (c *call) awaitLocalRun(ctx context.Context, joined claim.Joined) (retryClaim, proceed bool, refusal *Refusal) {
	if refusal := c.front.stopRefusal(ctx); refusal != nil {
		return false, false, refusal
	}
	answer, err := joined.Wait(ctx)
	switch {
	case err == nil:
		c.replayAnswer(answer)
		return false, false, nil
	case errors.Is(err, claim.ErrReleased):
		return true, false, nil
	default:
		return false, false, c.claimConflictRefusal("the outcome of the same request is unknown", 0)
	}
}

// askOtherRouter waits for the same request, which another router is running, unless this router stops before the wait has to
// end.
func (c *call) askOtherRouter(ctx context.Context, running claim.Running) (retryClaim, proceed bool, refusal *Refusal) {
	if c.front.Ask == nil {
		return false, false, c.claimConflictRefusal("the same request runs in another router", time.Second)
	}
	if refusal := c.front.stopRefusal(ctx); refusal != nil {
		return false, false, refusal
	}
	report, err := c.front.Ask(ctx, running.Instance, c.account.Name, c.idempotencyKey, running.Nonce)
	switch {
	case err == nil && report.State == claim.ReportDone && report.Answer != nil:
		c.replayAnswer(*report.Answer)
		return false, false, nil
	case err == nil && report.State == claim.ReportReleased:
		return true, false, nil
	default:
		return false, false, c.claimConflictRefusal("the same request runs in another router", time.Second)
	}
}

// takeOverClaim runs a request again whose earlier outcome is unknown, if the request is idempotent.
func (c *call) takeOverClaim(
	ctx context.Context, unknown claim.OutcomeUnknown, bodyHash string,
) (retryClaim, proceed bool, refusal *Refusal) {
	if !c.idempotent {
		return false, false, c.claimConflictRefusal("the outcome of an earlier request with the same key is unknown", 0)
	}
	claimResult, err := c.front.Claims.Takeover(ctx, unknown, c.account.Name, c.idempotencyKey, bodyHash)
	if err != nil {
		claimResult = c.resultWithoutClaim(bodyHash)
	}
	switch claimResult.(type) {
	case claim.OutcomeUnknown:
		return true, false, nil
	case claim.Claimed:
		// The outcome of the earlier submission stays unknown, however this one ends.
		c.mayHaveRun = true
	}
	return c.handleClaimResult(ctx, claimResult, bodyHash)
}

// replayAnswer sends the recorded answer of an earlier submission.
func (c *call) replayAnswer(answer claim.Answer) {
	c.record.Result = "answered"
	c.record.Claim = "replayed"
	c.writeAnswer(answer)
}

// endClaim ends the claim of a request that got no answer. If the request certainly was not run, the claim is released;
// otherwise its outcome is recorded as unknown.
func (c *call) endClaim(ctx context.Context) {
	if c.claim == nil {
		return
	}
	if c.mayHaveRun {
		c.recordOutcomeUnknown(ctx)
		return
	}
	c.record.Claim = "released"
	_ = c.front.Claims.Release(context.WithoutCancel(ctx), c.claim)
}

// recordOutcomeUnknown ends the claim of a request whose outcome is unknown.
func (c *call) recordOutcomeUnknown(ctx context.Context) {
	if c.claim == nil {
		return
	}
	c.record.Claim = "lost"
	_ = c.front.Claims.RecordOutcomeUnknown(context.WithoutCancel(ctx), c.claim)
}

func (c *call) claimConflictRefusal(message string, retry time.Duration) *Refusal {
	refusal := newUnknownRunRefusal(http.StatusConflict, CodeClaim, message)
	refusal.Retry = retry
	return refusal
}
