package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"citronslip/internal/claim"
	"citronslip/internal/delay"
	"citronslip/internal/engine"
	"citronslip/internal/event"
	"citronslip/internal/memory"
	"citronslip/internal/routing"
)

const (
	// maxCapturedBytes bounds the copy of a stream that is kept for its recorded answer.
	maxCapturedBytes = 4 << 20
	// captureBytes is the initial size of that copy.
	captureBytes = 1 << 10
	// maxResumes bounds how often the stream of one attempt is resumed.
	maxResumes    = 3
	resumeBackoff = 50 * time.Millisecond
)

type (
	// streamCapture collects the events that are sent to the caller.
	streamCapture struct {
		bytes.Buffer
		held       *memory.Hold
		reserved   int64
		overflowed bool // Whether the stream was too long to record, or there was no memory for it.
	}
)

// Write keeps the data unless the capture would exceed maxCapturedBytes.
func (c *streamCapture) Write(data []byte) (int, error) {
	if c.overflowed || c.Len()+len(data) > maxCapturedBytes || !c.grow(len(data)) {
		c.overflowed = true
		return len(data), nil
	}
	return c.Buffer.Write(data)
}

// grow makes room for a number of bytes and reports whether there was memory for that.
func (c *streamCapture) grow(n int) bool {
	if n <= c.Available() {
		return true
	}
	next := 2*c.reserved + int64(n) + captureBytes
	if !c.held.Reserve(next) {
		return false
	}
	c.Grow(int(next) - c.Len())
	c.held.Release(c.reserved)
	c.reserved = next
	return true
}

// relayStream forwards a streamed answer to the caller. If the connection to the backend server breaks, it resumes the
// stream there.
func (c *chatCall) relayStream(ctx context.Context, a *attempt, response *http.Response) attemptResult {
	c.prepareRelay(a)
	defer func() { c.maxTokenGap = max(c.maxTokenGap, c.relay.maxGap) }()
	err := c.relay.copyEvents(response)
	for i := 0; errors.Is(err, errBackendLost) && ctx.Err() == nil && i < maxResumes; i++ {
		resumed := false
		resumed, err = c.resumeStream(ctx, a, err)
		if !resumed {
			break
		}
	}
	switch {
	case err == nil:
		return c.finishStream(ctx, a)
	case errors.Is(err, errCallerLost) || ctx.Err() != nil:
		c.holdAttempt(ctx, a, routing.Cancelled{}, c.abandonedAttempt())
		return c.contextEndResult(ctx, true)
	default:
		c.holdAttempt(ctx, a, routing.Broken{}, HeldAttempt{})
		return c.brokenStreamResult(a)
	}
}

// prepareRelay prepares the relay of an attempt's stream to the caller.
func (c *chatCall) prepareRelay(a *attempt) {
	c.relay = &relay{
		out: c.w, flush: flusher(c.w), forwardUsage: c.chat.Usage, finishWithoutCaller: c.claim != nil, continues: c.headerSent,
		held: c.held,
	}
	if c.priorOutput > 0 {
		c.relay.totalUsage = c.totalUsage
	}
	if c.capture == nil && (c.claim != nil || c.index.Model(c.chat.Model).Migratable) {
		c.capture = &streamCapture{held: c.held}
	}
	if c.capture != nil {
		c.relay.capture = c.capture
	}
	c.relay.onProgress = func() { c.recordProgress(a) }
	c.relay.onFirstEvent = func() {
		a.firstByteAt = time.Now()
		a.choice.FirstByte()
		if c.headerSent {
			return
		}
		c.firstByteAt = a.firstByteAt
		c.headerSent = true
		c.routingRequest.Software = a.process.Software
		c.sendStreamError = func(refusal *Refusal) { c.relay.sendError(refusal, c.requestID) }
		header := c.w.Header()
		header.Set("Content-Type", eventStreamType)
		header.Set("Cache-Control", "no-cache")
		c.w.WriteHeader(http.StatusOK)
	}
}

// resumeStream continues a stream after the events that were relayed. It reports false if the server does not resume it,
// or if the process that does may run another software version than the one that began the stream.
func (c *chatCall) resumeStream(ctx context.Context, a *attempt, cause error) (bool, error) {
	if !delay.Sleep(ctx, resumeBackoff) {
		return false, cause
	}
	response, err := c.front.Engines.Resume(ctx, a.choice.Server.Address, a.name, c.chat.Model, c.relay.contentEvents)
	var refused *engine.RefusedError
	if errors.As(err, &refused) {
		c.recordLoad(a, refused.Header)
	}
	if err != nil {
		return false, cause
	}
	defer response.Body.Close()
	if resumed := c.recordLoad(a, response.Header); !a.process.sameSoftware(resumed) {
		event.SoftwareDiffers.Log(c.front.Logger).Str("request", c.requestID).Str("server", a.choice.Server.Name).
			Str("software", resumed.Software).Str("needed", a.process.Software).Send()
		return false, cause
	}
	event.StreamResumed.Log(c.front.Logger).Str("request", c.requestID).Str("server", a.choice.Server.Name).
		Str("software", a.process.Software).Send()
	c.relay.continues = c.headerSent
	return true, c.relay.copyEvents(response)
}

// finishStream ends an attempt whose stream is complete.
func (c *chatCall) finishStream(ctx context.Context, a *attempt) attemptResult {
	used := c.relay.usage
	if used == nil {
		fetched := c.fetchUsage(ctx, a)
		used = &fetched
	}
	c.settleAttempt(ctx, a, c.finishedOutcome(a, *used), used.Prompt+used.Completion)
	total := c.totalUsage(*used)
	result := answered{inputTokens: total.Prompt, outputTokens: total.Completion}
	switch {
	case c.claim == nil:
	case c.capture.overflowed:
		result.tooLong = true
	default:
		result.answer = claim.Answer{
			Status: http.StatusOK,
			Header: http.Header{"Content-Type": {eventStreamType}},
			Body:   c.capture.Bytes(),
		}
	}
	return result
}

// brokenStreamResult returns the result of an attempt whose stream broke off. If a part was sent to the caller, only a
// continuation may follow.
func (c *chatCall) brokenStreamResult(a *attempt) attemptResult {
	server := a.choice.Server.Name
	event.StreamBroken.Log(c.front.Logger).Str("request", c.requestID).Str("server", server).
		Str("software", a.process.Software).Send()
	message := "the stream from backend server " + server + " broke off"
	refusal := newUnknownRunRefusal(http.StatusBadGateway, CodeBackend, message)
	return failed{outcome: routing.Broken{}, refusal: refusal, final: c.headerSent && !c.prepareContinuation(a)}
}

// parseUsage reads the usage in an answer that is one JSON body.
func parseUsage(body []byte) (tokenUsage, bool) {
	var answer struct {
		Usage *tokenUsage `json:"usage"`
	}
	if json.Unmarshal(body, &answer) != nil || !answer.Usage.valid() {
		return tokenUsage{}, false
	}
	return *answer.Usage, true
}
