package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"citronslip/internal/admission"
	"citronslip/internal/budget"
	"citronslip/internal/claim"
	"citronslip/internal/event"
	"citronslip/internal/explain"
	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

type (
	// call is one request of a caller.
	call struct {
		front              *Front
		requestID          string
		requestNumber      uint64
		index              *inventory.Index
		account            *inventory.ClientAccount
		ruleDecision       inventory.Decision
		budgetKeys         []budget.Key
		idempotent         bool
		idempotencyKey     string // Idempotency key of the caller.
		claim              *claim.Claim
		record             *explain.Record
		w                  http.ResponseWriter
		r                  *http.Request
		headerSent         bool           // Whether the response header was sent.
		sendStreamError    func(*Refusal) // Ends a stream whose header was sent with an error event; may be nil.
		fingerprint        string         // Identity of the content; empty if it is not at hand.
		mayHaveRun         bool           // Whether an attempt may have been run.
		earlierRunsUnknown bool           // Whether the claim could not tell of earlier submissions of the key.
		queue              *admission.Queue
		admissionSlot      *admission.Slot
		startDeadline      time.Time // Latest start of the first attempt.
		attemptCount       int
		firstByteAt        time.Time     // Time of the first byte of the answer.
		maxTokenGap        time.Duration // Longest time between two events of a stream.
		refusalStatus      int           // Status of the refusal.
	}
)

// newCall starts a request: identity, configuration and account. The call is valid even with a refusal.
func (f *Front) newCall(w http.ResponseWriter, r *http.Request) (*call, *Refusal) {
	c := &call{front: f, w: w, r: r, requestNumber: f.requestCount.Add(1), idempotent: true}
	c.requestID = f.Instance + "-" + strconv.FormatUint(c.requestNumber, 10)
	c.record = &explain.Record{Request: c.requestID, Router: f.Router, Begin: time.Now()}
	w.Header().Set(HeaderRequest, c.requestID)
	version := f.Version.Load()
	if version == nil {
		return c, newRetryableRefusal(http.StatusServiceUnavailable, CodeStop, "this router has no configuration yet", time.Second)
	}
	c.index = version.Index
	c.record.Version = version.Number
	c.account = f.authenticate(c.index, r)
	if c.account == nil {
		return c, newRefusal(http.StatusUnauthorized, CodeKey, "the API key is missing or unknown")
	}
	c.record.Account = c.account.Name
	f.inFlight.Add(1)
	return c, nil
}

// endCall finishes a request that begin accepted.
func (c *call) endCall() {
	c.front.inFlight.Add(-1)
	now := time.Now()
	c.record.End = &now
	c.front.Explain.Put(c.record)
	c.recordMetrics(now)
	event.RequestEnded.Log(c.front.Logger).
		Str("request", c.requestID).
		Str("account", c.record.Account).
		Str("service", c.record.Service).
		Str("model", c.record.Model).
		Str("result", c.record.Result).
		Str("code", c.record.Code).
		Int("attempts", c.attemptCount).
		Int64("input", c.record.Input).
		Int64("output", c.record.Output).
		Dur("took", now.Sub(c.record.Begin)).
		Send()
}

// sendRefusal answers with a refusal, if the response header was not sent yet.
func (c *call) sendRefusal(refusal *Refusal) {
	if c.mayHaveRun || c.mayHaveEarlierRun() {
		// A later attempt that was not run does not undo an earlier one that may have been.
		refusal.Run = wire.RefusalRunUnknown
	}
	c.record.Result = "refused"
	c.record.Code = refusal.Code
	c.record.Message = refusal.Message
	c.record.Run = string(refusal.Run)
	c.refusalStatus = refusal.Status
	if c.headerSent {
		if c.sendStreamError != nil {
			c.sendStreamError(refusal)
		}
		return
	}
	c.headerSent = true
	refusal.write(c.w, c.requestID)
}

// mayHaveEarlierRun says whether an earlier submission of the same key may have been run. Only a claim that was taken anew
// proves that none was: a router that has no configuration yet, say, knows nothing of what others did with the key. A key
// that is too long was never accepted.
func (c *call) mayHaveEarlierRun() bool {
	key := c.r.Header.Get(HeaderKey)
	return key != "" && len(key) <= maxIdempotencyKeyBytes && (c.claim == nil || c.earlierRunsUnknown)
}

// readBody returns the body, which may not be larger than the limit.
func (c *call) readBody() ([]byte, *Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, c.front.BodyBytes))
	if err != nil {
		return nil, c.front.bodyRefusal(err)
	}
	return body, nil
}

// parseOptionHeaders reads the headers that mark the call.
func (c *call) parseOptionHeaders() *Refusal {
	for _, name := range []string{HeaderKey, HeaderIdempotent, HeaderBudget} {
		if len(c.r.Header.Values(name)) > 1 {
			return newRefusal(http.StatusBadRequest, CodeRequest, "the header "+name+" is given twice")
		}
	}
	c.idempotencyKey = c.r.Header.Get(HeaderKey)
	if len(c.idempotencyKey) > maxIdempotencyKeyBytes {
		message := fmt.Sprintf("%s is longer than %d bytes", HeaderKey, maxIdempotencyKeyBytes)
		return newRefusal(http.StatusBadRequest, CodeRequest, message)
	}
	switch value := c.r.Header.Get(HeaderIdempotent); value {
	case "", "yes":
	case "no":
		c.idempotent = false
	default:
		return newRefusal(http.StatusBadRequest, CodeRequest, HeaderIdempotent+" must be yes or no")
	}
	return nil
}

// applyRules applies the rules.
func (c *call) applyRules(query inventory.Query) *Refusal {
	query.Account = c.account.Name
	query.Budget = c.r.Header.Get(HeaderBudget)
	decision, err := c.index.Decide(query)
	c.record.Model = query.Model
	c.record.Service = decision.Service
	c.record.Rule = decision.Rule
	switch {
	case errors.Is(err, inventory.ErrNotFound):
		return newRefusal(http.StatusNotFound, CodeModel, "the model "+query.Model+" is not served")
	case errors.Is(err, inventory.ErrBudget):
		return newRefusal(http.StatusForbidden, CodeBudget, "the account has no budget of that name")
	case err != nil:
		return newRefusal(http.StatusForbidden, CodeRule, "rule "+decision.Rule+" denies the request")
	}
	c.ruleDecision = decision
	c.record.Budgets = decision.Budgets
	for _, name := range decision.Budgets {
		c.budgetKeys = append(c.budgetKeys, budget.Key{Account: c.account.Name, Budget: name})
	}
	return nil
}

// requestContext returns the request's requestContext with its time limit. A keyed request goes on without its caller, so that a
// retry gets the recorded answer.
func (c *call) requestContext() (context.Context, context.CancelFunc) {
	end := c.record.Begin.Add(c.front.Duration)
	if c.idempotencyKey != "" {
		return context.WithDeadline(context.WithoutCancel(c.r.Context()), end)
	}
	return context.WithDeadline(c.r.Context(), end)
}

// newBill returns the newBill for a usage.
func (c *call) newBill(input, output inventory.Tokens) claim.Bill {
	bill := claim.Bill{
		Number:  c.requestNumber,
		Account: c.account.Name,
		Budgets: c.ruleDecision.Budgets,
		Model:   c.record.Model,
		Input:   int64(input),
		Output:  int64(output),
		Attempt: c.attemptCount,
	}
	if c.claim != nil {
		bill.Number = 0
		bill.Key = c.claim.Identity
	}
	return bill
}
