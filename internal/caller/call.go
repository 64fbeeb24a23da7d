package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"citronslip/internal/admission"
	"citronslip/internal/budget"
	"citronslip/internal/claim"
	"citronslip/internal/crash"
	"citronslip/internal/event"
	"citronslip/internal/explain"
	"citronslip/internal/memory"
	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

type (
	// call is the state of one request from a caller.
	call struct {
		front              *Frontend
		requestID          string
		requestNumber      uint64           // Number of the request at this router process.
		index              *inventory.Index // Configuration that applies to the request.
		account            *inventory.ClientAccount
		ruleDecision       inventory.Decision // What the access rules allow the request.
		budgetKeys         []budget.Key       // Budgets that the request is charged to.
		idempotent         bool               // Whether the request may be run more than once.
		idempotencyKey     string             // Idempotency key that the caller sent; empty if none.
		claim              *claim.Claim       // Claim of the idempotency key; nil if there is none.
		held               *memory.Hold       // Memory of the request's bodies.
		record             *explain.Record    // Record that explains the handling of the request.
		w                  http.ResponseWriter
		r                  *http.Request
		headerSent         bool             // Whether the response header was sent.
		sendStreamError    func(*Refusal)   // Ends a stream by an error event once its header was sent; may be nil.
		fingerprint        string           // Identity of the request's content; empty if the whole body was not read.
		content            crash.Request    // The same with the messages that other requests may share; empty for plain services.
		mayHaveRun         bool             // Whether an attempt may have been run by a backend server.
		earlierRunsUnknown bool             // Whether the claim does not show earlier submissions of the key.
		queue              *admission.Queue // Admission queue of the service.
		admissionSlot      *admission.Slot  // Slot for running the request; nil before admission.
		startDeadline      time.Time        // Time until which the request waits for admission and a backend server.
		attemptCount       int              // Attempts begun.
		firstByteAt        time.Time        // Time of the first byte of the answer; zero if unknown.
		maxTokenGap        time.Duration    // Longest time between two content events of a stream.
		refusalStatus      int              // HTTP status of the refusal; 0 if there is none.
	}
)

// newCall gives a request its identity and looks up the configuration in force and the client account. The returned
// call is valid even if the request is refused.
func (f *Frontend) newCall(w http.ResponseWriter, r *http.Request) (*call, *Refusal) {
	c := &call{front: f, w: w, r: r, requestNumber: f.requestCount.Add(1), idempotent: true, held: &memory.Hold{Budget: f.Memory}}
	c.requestID = f.Instance + "-" + strconv.FormatUint(c.requestNumber, 10)
	c.record = &explain.Record{Request: c.requestID, Router: f.Router, Begin: time.Now()}
	w.Header().Set(HeaderRequestID, c.requestID)
	version := f.Version.Load()
	if version == nil {
		return c, newRetryableRefusal(http.StatusServiceUnavailable, CodeUnavailable, "this router has no configuration yet", time.Second)
	}
	c.index = version.Index
	c.record.Version = version.Number
	c.account = f.authenticate(c.index, r)
	if c.account == nil {
		return c, newRefusal(http.StatusUnauthorized, CodeAPIKey, "the API key is missing or unknown")
	}
	c.record.Account = c.account.Name
	f.inFlight.Add(1)
	return c, nil
}

// endCall records the end of a request that newCall accepted.
func (c *call) endCall() {
	c.front.inFlight.Add(-1)
	c.held.End()
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

// sendRefusal answers with a refusal. If the response header was already sent, the refusal ends the stream as an error
// event, or is only recorded if the response is no stream.
func (c *call) sendRefusal(refusal *Refusal) {
	if c.mayHaveRun || c.mayHaveEarlierRun() {
		// If a later attempt was not run, an earlier one may still have been.
		refusal.Run = wire.RefusalRunUnknown
	}
	c.record.Result = "refused"
	c.record.Code = refusal.Code
	c.record.Message = clip(refusal.Message)
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

// mayHaveEarlierRun reports whether an earlier submission of the same idempotency key may have been run. Only a claim
// that was newly taken proves that none was: a router without a configuration, for example, does not know what other
// routers did with the key. A key that is too long was never accepted.
func (c *call) mayHaveEarlierRun() bool {
	key := c.r.Header.Get(HeaderIdempotencyKey)
	return key != "" && len(key) <= maxIdempotencyKeyBytes && (c.claim == nil || c.earlierRunsUnknown)
}

// readBody returns the request body. It refuses a body that is larger than the limit or cannot be read.
func (c *call) readBody() ([]byte, *Refusal) {
	body, err := c.readAll(http.MaxBytesReader(c.w, c.r.Body, c.front.BodyBytes), c.r.ContentLength)
	if err != nil {
		return nil, c.front.bodyRefusal(err)
	}
	return body, nil
}

// parseOptionHeaders checks the headers with options of a request and reads the idempotency key and whether the request
// is idempotent.
func (c *call) parseOptionHeaders() *Refusal {
	for _, name := range []string{HeaderIdempotencyKey, HeaderIdempotent, HeaderBudget} {
		if len(c.r.Header.Values(name)) > 1 {
			return newRefusal(http.StatusBadRequest, CodeBadRequest, "the header "+name+" is given twice")
		}
	}
	c.idempotencyKey = c.r.Header.Get(HeaderIdempotencyKey)
	if len(c.idempotencyKey) > maxIdempotencyKeyBytes {
		message := fmt.Sprintf("%s is longer than %d bytes", HeaderIdempotencyKey, maxIdempotencyKeyBytes)
		return newRefusal(http.StatusBadRequest, CodeBadRequest, message)
	}
	switch value := c.r.Header.Get(HeaderIdempotent); value {
	case "", "yes":
	case "no":
		c.idempotent = false
	default:
		return newRefusal(http.StatusBadRequest, CodeBadRequest, HeaderIdempotent+" must be yes or no")
	}
	return nil
}

// applyRules decides by the access rules which service, budgets and places the request may use.
func (c *call) applyRules(query inventory.Query) *Refusal {
	query.Account = c.account.Name
	query.Budget = c.r.Header.Get(HeaderBudget)
	decision, err := c.index.Decide(query)
	c.record.Model = clip(query.Model)
	c.record.Service = decision.Service
	c.record.Rule = decision.Rule
	switch {
	case errors.Is(err, inventory.ErrNotFound):
		return newRefusal(http.StatusNotFound, CodeModel, "the model "+query.Model+" is not served")
	case errors.Is(err, inventory.ErrNoSuchBudget):
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

// requestContext returns the request's context with the time limit of the request. A request with an idempotency key
// continues after its caller disconnects, so that a retry gets the recorded answer.
func (c *call) requestContext() (context.Context, context.CancelFunc) {
	end := c.record.Begin.Add(c.front.Duration)
	if c.idempotencyKey != "" {
		return context.WithDeadline(context.WithoutCancel(c.r.Context()), end)
	}
	return context.WithDeadline(c.r.Context(), end)
}

// newBill returns the bill of the request for the given token usage.
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
