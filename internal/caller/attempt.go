package caller

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"citronslip/internal/admission"
	"citronslip/internal/claim"
	"citronslip/internal/engine"
	"citronslip/internal/event"
	"citronslip/internal/explain"
	"citronslip/internal/quarantine"
	"citronslip/internal/routing"
	"citronslip/pkg/inventory"
)

const (
	maxAnswerBytes    = 64 << 20
	usageTimeout      = 2 * time.Second
	pickRetryInterval = 50 * time.Millisecond
	// maxRecordedCandidates bounds the memory of the record of an attempt.
	maxRecordedCandidates = 5
)

type (
	// attemptResult is the result of one attempt: answered, failed or callerGone.
	attemptResult interface{ isAttemptResult() }

	// answered is a complete answer. A streamed answer has already been sent to the caller.
	answered struct {
		answer                    claim.Answer
		tooLong                   bool // Whether the answer is too long to be recorded; answer is empty then.
		inputTokens, outputTokens inventory.Tokens
	}

	// failed is the result of an attempt without a complete answer.
	failed struct {
		outcome routing.Outcome
		refusal *Refusal
		final   bool // Whether no further attempt may follow.
	}

	// callerGone is the result of an attempt whose caller disconnected.
	callerGone struct{}

	// attempt is one attempt to run a request on a backend server.
	attempt struct {
		name          string
		choice        *routing.Choice
		reservation   reservation
		admittedCopy  quarantine.AdmittedCopy // Permission of the quarantine guard to run the request on the server.
		serverProcess string                  // Process of the backend server before the attempt; empty if unknown.
		process       ServerProcess           // Process that answers; the zero value until its load report came.
		record        *explain.Attempt
		rerouted      bool // Whether requests to the server went through another router at its begin.
		pathLost      bool // Whether it broke off because another router ended.
		startedAt     time.Time
		firstByteAt   time.Time // Time of the first byte; zero if none came or a chat answer is not streamed.
		progressed    bool      // Whether the server has gone on with its answer.
	}
)

func (answered) isAttemptResult()   {}
func (failed) isAttemptResult()     {}
func (callerGone) isAttemptResult() {}

// openAttempt reserves bound tokens and picks a backend server. If the bound does not fit, reduce may lower it.
func (c *call) openAttempt(
	ctx context.Context, request *routing.Request, bound inventory.Tokens, reduce boundReducer,
) (*attempt, *failed) {
	if refused := c.crashRefusal(); refused != nil {
		return nil, refused
	}
	name := fmt.Sprintf("%s-%d", c.requestID, c.attemptCount)
	reservation, refusal := c.reserveTokens(ctx, name, bound, reduce)
	if refusal != nil {
		return nil, &failed{outcome: routing.Cancelled{}, refusal: refusal, final: true}
	}
	choice, admitted, refusal := c.pickServer(ctx, request)
	if refusal != nil {
		c.front.settleReservation(reservation, 0)
		return nil, &failed{outcome: routing.Refused{Reason: routing.ReasonNotReady}, refusal: refusal, final: true}
	}
	a := &attempt{
		name:          name,
		choice:        choice,
		reservation:   reservation,
		admittedCopy:  admitted,
		serverProcess: c.front.Starts.Latest(choice.Server.Name).Start,
		rerouted:      c.front.isRerouted(choice.Server.Address),
		startedAt:     time.Now(),
	}
	c.record.Attempts = append(c.record.Attempts, explain.Attempt{
		Name:           a.name,
		Server:         choice.Server.Name,
		Begin:          a.startedAt,
		ReservedTokens: int64(reservedBound(reservation)),
		Candidates:     bestCandidates(request),
	})
	a.record = &c.record.Attempts[len(c.record.Attempts)-1]
	return a, nil
}

// bestCandidates returns the best candidates of the last choice of a backend server, for the explanation of the
// request.
func bestCandidates(request *routing.Request) []routing.Candidate {
	if request.Explain == nil {
		return nil
	}
	list := request.Explain.Candidates
	slices.SortFunc(list, func(a, b routing.Candidate) int {
		if (a.ExclusionReason == "") != (b.ExclusionReason == "") {
			return cmp.Compare(len(a.ExclusionReason), len(b.ExclusionReason))
		}
		return cmp.Compare(a.Score, b.Score)
	})
	return slices.Clone(list[:min(len(list), maxRecordedCandidates)])
}

// settleAttempt ends an attempt whose token usage is known.
func (c *call) settleAttempt(ctx context.Context, a *attempt, outcome routing.Outcome, used inventory.Tokens) {
	c.front.settleReservation(a.reservation, used)
	c.mayHaveRun = c.mayHaveRun || !routing.NotRun(outcome) && used > 0
	switch outcome.(type) {
	case routing.Finished:
		c.finishExecution(ctx, a.admittedCopy)
	case routing.Broken:
		c.handleBrokenExecution(ctx, a)
	default:
		c.cancelExecution(ctx, a.admittedCopy)
	}
	a.choice.Done(c.serverOutcome(a, outcome))
	a.record.End = time.Now()
	a.record.ChargedTokens = int64(used)
	a.record.Outcome = outcomeName(outcome)
}

// holdAttempt ends an attempt whose token usage is not known. Its reservation stays at the bound until the
// AttemptResolver settles the attempt.
func (c *call) holdAttempt(ctx context.Context, a *attempt, outcome routing.Outcome, held HeldAttempt) {
	a.choice.Done(c.serverOutcome(a, outcome))
	c.mayHaveRun = true
	a.record.End = time.Now()
	a.record.ReservationKept = true
	a.record.Outcome = outcomeName(outcome)
	held.Attempt = a.name
	held.Server = a.choice.Server.Name
	held.Address = a.choice.Server.Address
	held.Bound = reservedBound(a.reservation)
	_, cancelled := outcome.(routing.Cancelled)
	if !cancelled {
		c.handleBrokenExecution(ctx, a)
	}
	held.Release = func(used inventory.Tokens) {
		c.front.settleReservation(a.reservation, used)
		if cancelled {
			// The cancelled attempt may have been running until now.
			c.cancelExecution(ctx, a.admittedCopy)
		}
	}
	event.AttemptHeld.Log(c.front.Logger).Str("request", c.requestID).Str("attempt", a.name).Str("server", held.Server).Send()
	c.front.Resolver.Add(held)
}

// serverOutcome returns the outcome of an attempt for the choice of servers. An attempt that broke off because the way to
// its server broke says nothing about the server.
func (c *call) serverOutcome(a *attempt, outcome routing.Outcome) routing.Outcome {
	if _, broken := outcome.(routing.Broken); !broken {
		return outcome
	}
	if a.pathLost || !a.rerouted && c.front.isRerouted(a.choice.Server.Address) {
		return routing.Cancelled{}
	}
	return outcome
}

// runAttempt makes one attempt to have a backend server generate the answer.
func (c *chatCall) runAttempt(ctx context.Context) attemptResult {
	c.routingRequest.Idempotent = c.idempotent
	a, failure := c.openAttempt(ctx, &c.routingRequest, c.tokenBound, c.reduceBound)
	if failure != nil {
		return *failure
	}
	c.routingRequest.Tried = append(c.routingRequest.Tried, a.choice.Server.Name)
	if c.admissionExpired(a) {
		c.settleAttempt(ctx, a, routing.Cancelled{}, 0)
		return c.runAttempt(ctx)
	}
	a.choice.Started()
	response, err := c.front.Engines.Chat(ctx, a.choice.Server.Address, a.name, c.encodeLabel(), c.engineBody)
	if err != nil {
		return c.handleRequestError(ctx, a, err)
	}
	defer response.Body.Close()
	a.process = c.recordLoad(a, response.Header)
	if c.runsOtherSoftware(a) {
		return c.rejectContinuation(ctx, a)
	}
	if c.chat.Stream {
		return c.relayStream(ctx, a, response)
	}
	return c.readAnswer(ctx, a, response)
}

// recordLoad records the load report in the header of a response, and returns the process that sent it. Without a report
// the process is the zero value.
func (c *call) recordLoad(a *attempt, header http.Header) ServerProcess {
	load, ok := engine.ParseLoad(header)
	if !ok {
		return ServerProcess{}
	}
	c.front.RecordProcess(a.choice.Server.Name, load)
	c.front.Picker.RecordLoad(a.choice.Server.Name, routing.Load{Running: load.Running, Waiting: load.Waiting})
	if load.Leaving {
		c.front.Picker.MarkLeaving(a.choice.Server.Name)
	}
	return newServerProcess(load)
}

// handleRequestError ends an attempt that got no response, or only a part of it.
func (c *call) handleRequestError(ctx context.Context, a *attempt, err error) attemptResult {
	server := a.choice.Server.Name
	a.pathLost = errors.Is(err, engine.ErrPathLost)
	var statusErr *engine.RefusedError
	switch {
	case errors.As(err, &statusErr):
		return c.handleErrorStatus(ctx, a, statusErr)
	case errors.Is(err, engine.ErrNotSent):
		if ctx.Err() != nil {
			c.settleAttempt(ctx, a, routing.Cancelled{}, 0)
			return c.contextEndResult(ctx, false)
		}
		c.settleAttempt(ctx, a, routing.ConnectionRefused{}, 0)
		message := "backend server " + server + " could not be reached"
		refusal := newRetryableRefusal(http.StatusBadGateway, CodeBackend, message, time.Second)
		return failed{outcome: routing.ConnectionRefused{}, refusal: refusal}
	case ctx.Err() != nil:
		c.holdAttempt(ctx, a, routing.Cancelled{}, c.abandonedAttempt())
		return c.contextEndResult(ctx, true)
	default:
		c.holdAttempt(ctx, a, routing.Broken{}, HeldAttempt{})
		message := "the connection to backend server " + server + " broke off"
		return failed{outcome: routing.Broken{}, refusal: newUnknownRunRefusal(http.StatusBadGateway, CodeBackend, message)}
	}
}

// handleErrorStatus ends an attempt that the backend server answered with an error status.
func (c *call) handleErrorStatus(ctx context.Context, a *attempt, statusErr *engine.RefusedError) attemptResult {
	server := a.choice.Server.Name
	c.recordLoad(a, statusErr.Header)
	if statusErr.Status == http.StatusTooManyRequests {
		c.queue.Observe(admission.Sample{Busy: true})
	}
	switch statusErr.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusNotFound:
		outcome := routing.Refused{Reason: routing.ReasonBusy}
		if statusErr.Status != http.StatusTooManyRequests {
			outcome.Reason = routing.ReasonNotReady
		}
		c.settleAttempt(ctx, a, outcome, 0)
		message := "backend server " + server + " takes no work now"
		return failed{outcome: outcome, refusal: newRetryableRefusal(http.StatusServiceUnavailable, CodeCapacity, message, time.Second)}
	case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusRequestEntityTooLarge:
		c.settleAttempt(ctx, a, routing.Cancelled{}, 0)
		message := "the backend server rejects the request: " + string(statusErr.Body)
		return failed{outcome: routing.Cancelled{}, refusal: newRefusal(statusErr.Status, CodeBadRequest, message), final: true}
	default:
		c.holdAttempt(ctx, a, routing.Broken{}, HeldAttempt{})
		message := fmt.Sprintf("backend server %s failed with status %d", server, statusErr.Status)
		return failed{outcome: routing.Broken{}, refusal: newUnknownRunRefusal(http.StatusBadGateway, CodeBackend, message)}
	}
}

// contextEndResult returns the result of an attempt whose context ended because the caller disconnected or the time
// limit was reached. If the request was sent, the backend server may have run it.
func (c *call) contextEndResult(ctx context.Context, sent bool) attemptResult {
	if errors.Is(c.r.Context().Err(), context.Canceled) {
		return callerGone{}
	}
	message := fmt.Sprintf("the request took longer than %v", c.front.Duration)
	refusal := newRefusal(http.StatusGatewayTimeout, CodeDeadline, message)
	if sent {
		refusal = newUnknownRunRefusal(http.StatusGatewayTimeout, CodeDeadline, message)
	}
	return failed{outcome: routing.Cancelled{}, refusal: refusal, final: true}
}

// abandonedAttempt describes an attempt that is cancelled because the caller disconnected or the time limit was
// reached. Its usage is billed once it is known, after the record of the request was handed over.
func (c *call) abandonedAttempt() HeldAttempt {
	// The record is not changed, since by then the call has ended and other goroutines may read it.
	bill := c.newBill(0, 0)
	return HeldAttempt{Cancel: true, Done: func(input, output inventory.Tokens) {
		bill.Input, bill.Output = int64(input), int64(output)
		c.front.Biller.Add(bill)
	}}
}

// readAnswer reads an answer that is one JSON body.
func (c *chatCall) readAnswer(ctx context.Context, a *attempt, response *http.Response) attemptResult {
	body, err := c.readAnswerBody(ctx, response)
	if err == nil && isUnframed(response) && !json.Valid(body) {
		err = errBackendLost
	}
	if err != nil || len(body) > maxAnswerBytes {
		return c.handleRequestError(ctx, a, fmt.Errorf("%w: %v", engine.ErrConnectionLost, err))
	}
	c.recordProgress(a)
	used, ok := parseUsage(body)
	if !ok {
		used = c.fetchUsage(ctx, a)
	}
	c.settleAttempt(ctx, a, c.finishedOutcome(a, used), used.Prompt+used.Completion)
	return answered{
		answer: claim.Answer{
			Status: response.StatusCode,
			Header: http.Header{"Content-Type": {response.Header.Get("Content-Type")}},
			Body:   body,
		},
		inputTokens:  used.Prompt,
		outputTokens: used.Completion,
	}
}

// isUnframed reports whether a response has neither a length nor chunks. It ends with its connection, also if the backend server
// crashes.
func isUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// fetchUsage queries the backend server for the usage of an attempt whose answer reported none. Without a report the
// whole bound counts as used.
func (c *chatCall) fetchUsage(ctx context.Context, a *attempt) tokenUsage {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), usageTimeout)
	defer cancel()
	report, err := c.front.Engines.Usage(ctx, a.choice.Server.Address, a.name)
	if err != nil || report.State != engine.UsageDone {
		outputBound := c.chat.OutputBound(c.outputLimit)
		return tokenUsage{Prompt: c.tokenBound - outputBound, Completion: outputBound}
	}
	return tokenUsage{Prompt: inventory.Tokens(report.Prompt), Completion: inventory.Tokens(report.Completion)}
}

// finishedOutcome returns the outcome of a finished attempt and reports its latencies to the admission queue.
func (c *chatCall) finishedOutcome(a *attempt, used tokenUsage) routing.Finished {
	c.queue.Observe(latencySample(a, used))
	outcome := routing.Finished{
		Prompt:   int64(used.Prompt),
		Cached:   -1,
		Output:   int64(used.Completion),
		Duration: time.Since(a.startedAt),
	}
	if !a.firstByteAt.IsZero() {
		outcome.First = a.firstByteAt.Sub(a.startedAt)
	}
	return outcome
}

// latencySample returns the latencies of a finished attempt. The time to the first token of an answer that is not
// streamed is unknown.
func latencySample(a *attempt, used tokenUsage) admission.Sample {
	tokens := time.Duration(max(used.Completion, 1))
	if a.firstByteAt.IsZero() {
		return admission.Sample{Gap: time.Since(a.startedAt) / tokens}
	}
	return admission.Sample{First: a.firstByteAt.Sub(a.startedAt), Gap: time.Since(a.firstByteAt) / tokens}
}

func noServerRefusal(err error) *Refusal {
	message := "no backend server that may serve the request takes work now"
	if errors.Is(err, routing.ErrNoServer) {
		message = "no backend server holds what the request needs in the allowed places"
	}
	return newRetryableRefusal(http.StatusServiceUnavailable, CodeCapacity, message, time.Second)
}

func outcomeName(outcome routing.Outcome) string {
	switch outcome.(type) {
	case routing.Finished:
		return "finished"
	case routing.Refused:
		return "refused"
	case routing.ConnectionRefused:
		return "not reached"
	case routing.Broken:
		return "broken"
	default:
		return "cancelled"
	}
}
