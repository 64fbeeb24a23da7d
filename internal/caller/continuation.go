package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"

	"citronslip/internal/event"
	"citronslip/internal/sse"
	"citronslip/pkg/inventory"
)

// prepareContinuation prepares another attempt that continues a stream after the text that was sent to the caller. It
// reports false if the model's configuration or the stream does not allow that, or if the software version that began
// the stream is unknown.
func (c *chatCall) prepareContinuation(a *attempt) bool {
	if c.routingRequest.Software == "" {
		return false
	}
	model := c.index.Model(c.chat.Model)
	if model == nil || !model.Migratable || c.chat.Choices != 1 || c.capture == nil || c.capture.overflowed {
		return false
	}
	text, ok := streamedText(c.capture.Bytes())
	tokens := inventory.Tokens(c.relay.contentEvents)
	if !ok || c.outputLimit-tokens < 1 {
		return false
	}
	c.priorOutput += tokens
	c.outputLimit -= tokens
	c.tokenBound = c.chat.PromptBound(model.TemplateOverhead) + inventory.Tokens(len(text)) + c.outputLimit
	c.engineBody = c.chat.EncodeContinuation(text, c.outputLimit, c.account.Priority)
	event.StreamMoved.Log(c.front.Logger).Str("request", c.requestID).Str("server", a.choice.Server.Name).
		Str("software", a.process.Software).Int64("tokens", int64(c.priorOutput)).Send()
	return true
}

// EncodeContinuation returns the request body with which an inference engine continues the given text of an answer.
func (c *ChatRequest) EncodeContinuation(text string, limit inventory.Tokens, priority int) []byte {
	continuation := *c
	continuation.fields = maps.Clone(c.fields)
	assistantMessage, err := json.Marshal(map[string]string{"role": "assistant", "content": text})
	if err != nil {
		// A string can always be encoded.
		panic(err)
	}
	messages := bytes.TrimSuffix(bytes.TrimSpace(c.Messages), []byte("]"))
	continuation.fields["messages"] = json.RawMessage(fmt.Sprintf("%s,%s]", messages, assistantMessage))
	continuation.fields["continue_final_message"] = json.RawMessage("true")
	continuation.fields["add_generation_prompt"] = json.RawMessage("false")
	return continuation.Encode(limit, priority)
}

// streamedText joins the text of the events that were sent to the caller. It reports false if they held anything else,
// such as a tool call, which cannot be continued as text.
func streamedText(events []byte) (string, bool) {
	var text bytes.Buffer
	reader := sse.Reader{Source: bytes.NewReader(events)}
	for {
		sseEvent, err := reader.Next()
		if err != nil {
			return text.String(), true
		}
		content, ok := deltaText(sse.Data(sseEvent))
		if !ok {
			return "", false
		}
		text.WriteString(content)
	}
}

func deltaText(data []byte) (string, bool) {
	if data == nil {
		return "", true
	}
	var chunk struct {
		Choices []struct {
			Delta map[string]json.RawMessage `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &chunk) != nil || len(chunk.Choices) != 1 {
		return "", false
	}
	var text string
	for name, value := range chunk.Choices[0].Delta {
		switch {
		case name == "role" || string(value) == "null":
		case name == "content" && json.Unmarshal(value, &text) == nil:
		default:
			return "", false
		}
	}
	return text, true
}

// totalUsage returns the token usage of the whole answer. The last engine counted the output of earlier attempts as
// part of its prompt.
func (c *chatCall) totalUsage(used tokenUsage) tokenUsage {
	return tokenUsage{Prompt: max(0, used.Prompt-c.priorOutput), Completion: used.Completion + c.priorOutput}
}

// replaceUsage returns a usage event with its usage replaced.
func replaceUsage(data []byte, used tokenUsage) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, err
	}
	encodedUsage, err := json.Marshal(map[string]inventory.Tokens{
		"prompt_tokens":     used.Prompt,
		"completion_tokens": used.Completion,
		"total_tokens":      used.Prompt + used.Completion,
	})
	if err != nil {
		return nil, err
	}
	fields["usage"] = encodedUsage
	body, err := json.Marshal(fields)
	return fmt.Appendf(nil, "data: %s\n\n", body), err
}
