package caller

import (
	"context"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"citronslip/internal/claim"
	"citronslip/internal/crash"
	"citronslip/internal/quarantine"
	"citronslip/internal/routing"
	"citronslip/pkg/inventory"
)

const (
	// bytesPerToken is the typical length of a token. It serves for load estimates only; budgets use an upper bound.
	bytesPerToken = 4
	// prefixBlockBytes is the length of the prompt blocks that are hashed to find a cached prefix.
	prefixBlockBytes = 256 * bytesPerToken
	// maxPrefixBlocks bounds the number of blocks of one prompt that are hashed.
	maxPrefixBlocks = 64
)

type (
	// chatCall is the state of one chat-completions request.
	chatCall struct {
		*call
		chat           *ChatRequest
		outputLimit    inventory.Tokens // Output limit of one choice in tokens.
		tokenBound     inventory.Tokens // Upper bound of the tokens of one attempt.
		engineBody     []byte           // Request body for inference engines.
		routingRequest routing.Request
		relay          *relay           // Stream of the current attempt to the caller.
		capture        *streamCapture   // Copy of a stream, for the recorded answer or a continuation; may be nil.
		priorOutput    inventory.Tokens // Output tokens that earlier attempts sent to the caller.
	}
)

// handleChat serves a chat-completions request.
func (f *Frontend) handleChat(w http.ResponseWriter, r *http.Request) {
	c, refusal := f.newCall(w, r)
	if refusal != nil {
		c.sendRefusal(refusal)
		return
	}
	defer c.endCall()
	if refusal := f.serveChat(c); refusal != nil {
		c.sendRefusal(refusal)
	}
}

func (f *Frontend) serveChat(c *call) *Refusal {
	body, refusal := c.readBody()
	if refusal != nil {
		return refusal
	}
	if refusal := c.reserveParsing(body); refusal != nil {
		return refusal
	}
	chat, refusal := c.newChatCall(body)
	if refusal != nil {
		return refusal
	}
	ctx, cancel := c.requestContext()
	defer cancel()
	proceed, refusal := c.claimKey(ctx, body)
	if !proceed {
		return refusal
	}
	if refusal := c.awaitAdmission(ctx, chat.routingRequest.Prompt+int64(chat.outputLimit)); refusal != nil {
		c.endClaim(ctx)
		return refusal
	}
	defer c.releaseAdmissionSlot()
	return c.attemptUntilDone(ctx, true, chat.runAttempt, chat.completeRequest)
}

// newChatCall parses a chat-completions request and checks it against the configuration.
func (c *call) newChatCall(body []byte) (*chatCall, *Refusal) {
	if refusal := c.parseOptionHeaders(); refusal != nil {
		return nil, refusal
	}
	chat, err := ParseChat(body)
	if err != nil {
		return nil, newRefusal(http.StatusBadRequest, CodeBadRequest, err.Error())
	}
	if refusal := c.applyRules(inventory.Query{Model: chat.Model}); refusal != nil {
		return nil, refusal
	}
	limit, err := chat.OutputLimit(c.ruleDecision.Most)
	if err != nil {
		return nil, newRefusal(http.StatusBadRequest, CodeBadRequest, err.Error())
	}
	model := c.index.Model(chat.Model)
	result := &chatCall{call: c, chat: chat, outputLimit: limit}
	result.tokenBound = chat.PromptBound(model.TemplateOverhead) + chat.OutputBound(limit)
	c.fingerprint = quarantine.Fingerprint(c.account.Name, chat.Model, chat.Messages)
	c.content = crash.Request{Fingerprint: c.fingerprint, Parts: messageParts(chat.Messages)}
	result.engineBody = chat.Encode(limit, c.account.Priority)
	result.routingRequest = routing.Request{
		Service:    c.ruleDecision.Service,
		Model:      chat.Model,
		Version:    model.Version,
		Places:     c.ruleDecision.Places,
		Priority:   c.account.Priority,
		Prompt:     int64(len(body) / bytesPerToken),
		Prefix:     prefixHashes(chat.Messages),
		Idempotent: c.idempotent,
	}
	return result, nil
}

// completeRequest records and bills a complete answer, and sends it to the caller unless it was streamed.
func (c *chatCall) completeRequest(ctx context.Context, result answered) {
	c.record.Result = "answered"
	bill := c.newBill(result.inputTokens, result.outputTokens)
	c.record.Input = bill.Input
	c.record.Output = bill.Output
	switch {
	case c.claim == nil:
	case result.tooLong:
		c.recordOutcomeUnknown(ctx)
	default:
		c.record.Claim = "finished"
		// The answer may be sent even after an error, since the controller of the claims repeats the write.
		_ = c.front.Claims.Finish(context.WithoutCancel(ctx), c.claim, result.answer, bill)
	}
	c.front.Biller.Add(bill)
	if !c.chat.Stream {
		c.writeAnswer(result.answer)
	}
}

// writeAnswer sends a complete answer to the caller.
func (c *call) writeAnswer(answer claim.Answer) {
	c.headerSent = true
	header := c.w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	c.w.WriteHeader(answer.Status)
	c.w.Write(answer.Body)
}

// prefixHashes returns cumulative hashes of the prompt's blocks. Routers and cache events identify prefixes by these
// hashes.
func prefixHashes(messages []byte) []uint64 {
	count := min(len(messages)/prefixBlockBytes, maxPrefixBlocks)
	hashes := make([]uint64, 0, count)
	var digest xxhash.Digest
	digest.Reset()
	for i := range count {
		digest.Write(messages[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
