package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"citronslip/internal/admission"
	"citronslip/internal/claim"
	"citronslip/internal/engine"
	"citronslip/internal/quarantine"
	"citronslip/internal/routing"
	"citronslip/pkg/inventory"
)

const (
	// maxRetryBodyBytes limits the bodies that are buffered for further attempts. A body of this size or larger is
	// streamed and sent only once.
	maxRetryBodyBytes = 64 << 10
	copyBufferBytes   = 32 << 10
)

var (
	// hopByHopHeaders apply to a single connection and are not forwarded.
	hopByHopHeaders = []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade",
	}
)

type (
	// plainCall is the state of one request to a plain HTTP service.
	plainCall struct {
		*call
		service        *inventory.Service
		body           []byte         // Start of the request body, or all of it.
		remainder      *bodyRemainder // Part that follows body; nil if body is all of it.
		routingRequest routing.Request
	}
)

// handlePlain serves a request to a plain HTTP service.
func (f *Frontend) handlePlain(w http.ResponseWriter, r *http.Request) {
	c, refusal := f.newCall(w, r)
	if refusal != nil {
		c.sendRefusal(refusal)
		return
	}
	defer c.endCall()
	if refusal := f.servePlain(c); refusal != nil {
		c.sendRefusal(refusal)
	}
}

func (f *Frontend) servePlain(c *call) *Refusal {
	if refusal := c.parseOptionHeaders(); refusal != nil {
		return refusal
	}
	p, refusal := c.newPlainCall()
	if refusal != nil {
		return refusal
	}
	if refusal := p.bufferBody(); refusal != nil {
		return refusal
	}
	ctx, cancel := c.requestContext()
	defer cancel()
	proceed, refusal := c.claimKey(ctx, p.claimedContent())
	if !proceed {
		return refusal
	}
	if refusal := c.awaitAdmission(ctx, 1); refusal != nil {
		c.endClaim(ctx)
		return refusal
	}
	defer c.releaseAdmissionSlot()
	return c.attemptUntilDone(ctx, p.remainder == nil, p.runAttempt, p.completeRequest)
}

// newPlainCall finds the service of the request's path and applies the access rules.
func (c *call) newPlainCall() (*plainCall, *Refusal) {
	path := c.r.URL.Path
	service := c.serviceForPath(path)
	if service == nil {
		return nil, newRefusal(http.StatusNotFound, CodePath, c.r.Method+" "+path+" is not served")
	}
	if refusal := c.applyRules(inventory.Query{Service: service.Name}); refusal != nil {
		return nil, refusal
	}
	c.idempotent = c.idempotent && c.mayRepeat(service)
	p := &plainCall{call: c, service: service}
	p.routingRequest = routing.Request{
		Service:    service.Name,
		Places:     c.ruleDecision.Places,
		Priority:   c.account.Priority,
		Idempotent: c.idempotent,
	}
	return p, nil
}

// mayRepeat reports whether the request may be sent more than once. The inventory must declare that, and since POST and
// PATCH are not idempotent in HTTP, the caller must confirm it for these.
func (c *call) mayRepeat(service *inventory.Service) bool {
	if !service.Repeatable(c.r.Method, c.r.URL.Path) {
		return false
	}
	if c.r.Method == http.MethodPost || c.r.Method == http.MethodPatch {
		return c.r.Header.Get(HeaderIdempotent) == "yes"
	}
	return true
}

// serviceForPath returns the plain service with the longest prefix of the path, or nil if there is none.
func (c *call) serviceForPath(path string) *inventory.Service {
	var longest *inventory.Service
	for i := range c.index.Inventory.Services {
		service := &c.index.Inventory.Services[i]
		if service.Kind != inventory.KindPlain || !hasPathPrefix(path, service.Prefix) {
			continue
		}
		if longest == nil || len(service.Prefix) > len(longest.Prefix) {
			longest = service
		}
	}
	return longest
}

// bufferBody reads the start of the body, or all of it if the request has an idempotency key, whose claim covers the
// whole body.
func (p *plainCall) bufferBody() *Refusal {
	if p.idempotencyKey != "" {
		body, refusal := p.readBody()
		p.body = body
		p.fingerprint = quarantine.Fingerprint(p.account.Name, p.service.Name, p.claimedContent())
		return refusal
	}
	limited := http.MaxBytesReader(p.w, p.r.Body, p.front.BodyBytes)
	body, err := p.readAll(io.LimitReader(limited, maxRetryBodyBytes), min(p.r.ContentLength, maxRetryBodyBytes))
	if err != nil {
		return p.front.bodyRefusal(err)
	}
	p.body = body
	if len(body) == maxRetryBodyBytes {
		p.remainder = &bodyRemainder{Reader: limited}
		return nil
	}
	p.fingerprint = quarantine.Fingerprint(p.account.Name, p.service.Name, p.claimedContent())
	return nil
}

// claimedContent returns what the idempotency key of a request stands for: method, path, query and body.
func (p *plainCall) claimedContent() []byte {
	return append([]byte(p.r.Method+" "+p.r.URL.RequestURI()+"\n"), p.body...)
}

// completeRequest records and bills a complete answer, and sends it to the caller unless it was streamed.
func (p *plainCall) completeRequest(ctx context.Context, result answered) {
	p.record.Result = "answered"
	bill := p.newBill(0, result.outputTokens)
	p.record.Output = bill.Output
	if p.claim != nil {
		p.record.Claim = "finished"
		// The answer may be sent even after an error, since the controller of the claims repeats the write.
		_ = p.front.Claims.Finish(context.WithoutCancel(ctx), p.claim, result.answer, bill)
		p.writeAnswer(result.answer)
	}
	p.front.Biller.Add(bill)
}

func (p *plainCall) runAttempt(ctx context.Context) attemptResult {
	a, failure := p.openAttempt(ctx, &p.routingRequest, p.ruleDecision.Cost, nil)
	if failure != nil {
		return *failure
	}
	p.routingRequest.Tried = append(p.routingRequest.Tried, a.choice.Server.Name)
	backendRequest, err := p.newBackendRequest(ctx, a)
	if err != nil {
		p.settleAttempt(ctx, a, routing.Cancelled{}, 0)
		return failed{outcome: routing.Cancelled{}, refusal: newRefusal(http.StatusBadRequest, CodeBadRequest, err.Error()), final: true}
	}
	a.choice.Started()
	client := p.front.Engines
	if !p.idempotent {
		client = p.front.Once
	}
	response, err := client.Do(backendRequest)
	if err != nil {
		return p.handleLostConnection(ctx, a, err)
	}
	defer response.Body.Close()
	p.recordLoad(a, response.Header)
	a.firstByteAt = time.Now()
	a.choice.FirstByte()
	p.queue.Observe(admission.Sample{First: a.firstByteAt.Sub(a.startedAt)})
	if response.StatusCode == http.StatusServiceUnavailable && p.idempotent {
		return p.handleErrorStatus(ctx, a, &engine.RefusedError{Status: response.StatusCode, Header: response.Header})
	}
	return p.forwardResponse(ctx, a, response)
}

// handleLostConnection ends an attempt without a complete response. A plain service reports no usage, so the request's
// cost is charged if it may have run.
func (p *plainCall) handleLostConnection(ctx context.Context, a *attempt, err error) attemptResult {
	var refused *engine.RefusedError
	if errors.Is(err, engine.ErrNotSent) || errors.As(err, &refused) {
		return p.handleRequestError(ctx, a, err)
	}
	p.mayHaveRun = true
	a.pathLost = errors.Is(err, engine.ErrPathLost)
	if ctx.Err() != nil {
		p.settleAttempt(ctx, a, routing.Cancelled{}, p.ruleDecision.Cost)
		return p.contextEndResult(ctx, true)
	}
	if p.remainder != nil && p.remainder.readFailed.Load() {
		p.settleAttempt(ctx, a, routing.Cancelled{}, p.ruleDecision.Cost)
		refusal := newUnknownRunRefusal(http.StatusBadRequest, CodeBadRequest, "the body did not come whole or in time, or is too large")
		return failed{outcome: routing.Cancelled{}, refusal: refusal, final: true}
	}
	p.settleAttempt(ctx, a, routing.Broken{}, p.ruleDecision.Cost)
	message := "the connection to backend server " + a.choice.Server.Name + " broke off"
	return failed{outcome: routing.Broken{}, refusal: newUnknownRunRefusal(http.StatusBadGateway, CodeBackend, message)}
}

// newBackendRequest returns the request for the backend server. It has the caller's method, path, query and body, and
// those of its headers that may be forwarded.
func (p *plainCall) newBackendRequest(ctx context.Context, a *attempt) (*http.Request, error) {
	var body io.Reader = bytes.NewReader(p.body)
	length := int64(len(p.body))
	if p.remainder != nil {
		body = io.MultiReader(body, p.remainder)
		length = p.r.ContentLength
	}
	backendRequest, err := http.NewRequestWithContext(ctx, p.r.Method, a.choice.Server.Address+p.r.URL.RequestURI(), body)
	if err != nil {
		return nil, err
	}
	backendRequest.ContentLength = length
	backendRequest.Header = p.r.Header.Clone()
	removeHopByHopHeaders(backendRequest.Header)
	// The API key is meant for the router and must not reach a backend server.
	backendRequest.Header.Del("Authorization")
	backendRequest.Header.Set(HeaderRequestID, p.requestID)
	backendRequest.Header.Set(engine.HeaderAttempt, a.name)
	return backendRequest, nil
}

// forwardResponse copies the response to the caller, or buffers it if it is to be recorded under a claim.
func (p *plainCall) forwardResponse(ctx context.Context, a *attempt, response *http.Response) attemptResult {
	removeHopByHopHeaders(response.Header)
	response.Header.Del(engine.HeaderLoad)
	if p.claim != nil {
		return p.bufferResponse(ctx, a, response)
	}
	p.headerSent = true
	header := p.w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	p.w.WriteHeader(response.StatusCode)
	if err := p.copyBody(response.Body); err != nil {
		p.settleAttempt(ctx, a, copyErrorOutcome(ctx, err), p.ruleDecision.Cost)
		// The header was already sent, so only an aborted connection tells the caller that the answer is incomplete.
		panic(http.ErrAbortHandler)
	}
	p.settleAttempt(ctx, a, p.finishedOutcome(a), p.ruleDecision.Cost)
	return answered{outputTokens: p.ruleDecision.Cost}
}

// copyErrorOutcome returns the outcome of an answer that ended early. A caller that disconnects is no failure of the
// backend server.
func copyErrorOutcome(ctx context.Context, err error) routing.Outcome {
	if errors.Is(err, errCallerLost) || ctx.Err() != nil {
		return routing.Cancelled{}
	}
	return routing.Broken{}
}

// bufferResponse reads the whole response.
func (p *plainCall) bufferResponse(ctx context.Context, a *attempt, response *http.Response) attemptResult {
	body, err := p.readAnswerBody(ctx, response)
	if err != nil || len(body) > maxAnswerBytes {
		return p.handleLostConnection(ctx, a, fmt.Errorf("%w: %v", engine.ErrConnectionLost, err))
	}
	p.settleAttempt(ctx, a, p.finishedOutcome(a), p.ruleDecision.Cost)
	answer := claim.Answer{Status: response.StatusCode, Header: response.Header, Body: body}
	return answered{answer: answer, outputTokens: p.ruleDecision.Cost}
}

// copyBody forwards data as it arrives.
func (p *plainCall) copyBody(body io.Reader) error {
	buffer := make([]byte, copyBufferBytes)
	flush := flusher(p.w)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := p.w.Write(buffer[:n]); err != nil {
				return errCallerLost
			}
			if err := flush(); err != nil {
				return errCallerLost
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errBackendLost
		}
	}
}

func (p *plainCall) finishedOutcome(a *attempt) routing.Finished {
	return routing.Finished{Cached: -1, First: a.firstByteAt.Sub(a.startedAt), Duration: time.Since(a.startedAt)}
}

// hasPathPrefix reports whether a path is the prefix or lies below it.
func hasPathPrefix(path, prefix string) bool {
	remainder, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (remainder == "" || remainder[0] == '/')
}

// removeHopByHopHeaders removes the headers that apply to a single connection, including those that the Connection
// header names.
func removeHopByHopHeaders(header http.Header) {
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
