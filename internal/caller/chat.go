// Package caller implements the HTTP interface for callers: the chat-completions protocol, and plain HTTP for other
// services.
package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"unicode/utf8"

	"citronslip/pkg/inventory"
)

const (
	maxChoices = 16
	// addedFieldsBytes is room for the fields that the router adds to a request body.
	addedFieldsBytes = 128
)

var (
	// chatKeys, messageKeys and partKeys are the JSON keys that the router acts on. Some JSON parsers ignore the case
	// of keys, so an inference engine could take another spelling of one of them for the key itself.
	chatKeys = []string{
		"model", "stream", "stream_options", "max_tokens", "max_completion_tokens", "n", "messages", "priority",
	}
	messageKeys = []string{"role", "content"}
	partKeys    = []string{"type", "text"}
)

type (
	// BadRequestError reports a fault in a request that the caller can correct.
	BadRequestError struct {
		Field   string
		Message string
	}

	// ChatRequest is a validated chat-completions request.
	ChatRequest struct {
		Model    string
		Stream   bool
		Usage    bool             // Whether the caller asked for a usage event in the stream.
		Tokens   inventory.Tokens // Requested output limit of one choice; 0 if none.
		Choices  int              // Number of answers to generate.
		Messages []byte           // Messages as raw JSON, by which prompts with a common prefix are recognised.
		Size     int              // Size of the request body in bytes.

		fields jsonObject
	}

	streamOptions struct {
		Usage bool `json:"include_usage"`
	}

	// jsonObject is a JSON object whose keys are case-sensitive. Struct fields would match keys of any case.
	jsonObject map[string]json.RawMessage
)

// Error names the field and what is wrong with it.
func (e *BadRequestError) Error() string {
	if e.Field == "" {
		return e.Message
	}
	return e.Field + ": " + e.Message
}

// ParseChat parses and checks the body of a chat-completions request. The error is a *BadRequestError.
func ParseChat(body []byte) (*ChatRequest, error) {
	if !utf8.Valid(body) {
		return nil, &BadRequestError{Message: "the body is not valid UTF-8"}
	}
	chat := &ChatRequest{Choices: 1, Size: len(body)}
	if err := json.Unmarshal(body, &chat.fields); err != nil {
		return nil, &BadRequestError{Message: "the body is not a JSON object: " + err.Error()}
	}
	if name := chat.fields.wrongCaseKey(chatKeys); name != "" {
		return nil, &BadRequestError{Field: name, Message: "is written in another case than the format's key"}
	}
	parsers := []func() error{
		func() error { return chat.decodeField("model", "a string", &chat.Model) },
		func() error { return chat.decodeField("stream", "true or false", &chat.Stream) },
		chat.parseStreamOptions,
		chat.parseOutputLimit,
		chat.parseChoices,
		chat.parseMessages,
	}
	for _, parse := range parsers {
		if err := parse(); err != nil {
			return nil, err
		}
	}
	if chat.Model == "" {
		return nil, &BadRequestError{Field: "model", Message: "is missing"}
	}
	return chat, nil
}

// PromptBound returns an upper bound of the prompt tokens: a token covers at least one byte of the request body, and
// the model's chat template adds at most overhead tokens. Every choice may prefill the prompt again.
func (c *ChatRequest) PromptBound(overhead inventory.Tokens) inventory.Tokens {
	return (inventory.Tokens(c.Size) + overhead) * inventory.Tokens(c.Choices)
}

// OutputBound returns an upper bound of the output tokens of all choices, given the output limit of one choice.
func (c *ChatRequest) OutputBound(limit inventory.Tokens) inventory.Tokens {
	return limit * inventory.Tokens(c.Choices)
}

// OutputLimit returns the output limit of one choice in tokens: the requested limit, or else maximum. A requested limit
// above maximum is refused, since an answer shorter than requested could pass for a complete one.
func (c *ChatRequest) OutputLimit(maximum inventory.Tokens) (inventory.Tokens, error) {
	if c.Tokens > maximum {
		message := fmt.Sprintf("%d is over the limit; accepted are 1 to %d", c.Tokens, maximum)
		return 0, &BadRequestError{Field: "max_tokens", Message: message}
	}
	if c.Tokens > 0 {
		return c.Tokens, nil
	}
	return maximum, nil
}

// Encode returns the request body for an inference engine, with the output limit and the priority set and usage
// reporting enabled.
func (c *ChatRequest) Encode(limit inventory.Tokens, priority int) []byte {
	fields := make(jsonObject, len(c.fields)+3)
	for name, value := range c.fields {
		fields[name] = value
	}
	delete(fields, "max_completion_tokens")
	fields["max_tokens"] = json.RawMessage(fmt.Sprint(int64(limit)))
	fields["priority"] = json.RawMessage(fmt.Sprint(priority))
	if c.Stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	return fields.encode(c.Size)
}

// encode joins keys and values in the order of the keys. The values come from parsed JSON, so they are not checked
// again.
func (o jsonObject) encode(size int) []byte {
	body := make([]byte, 0, size+addedFieldsBytes)
	separator := byte('{')
	for _, key := range slices.Sorted(maps.Keys(o)) {
		name, err := json.Marshal(key)
		if err != nil {
			panic(err) // Strings can always be encoded.
		}
		body = append(body, separator)
		body = append(body, name...)
		body = append(body, ':')
		body = append(body, o[key]...)
		separator = ','
	}
	return append(body, '}')
}

func (c *ChatRequest) decodeField(name, accepted string, target any) error {
	value, ok := c.fields[name]
	if !ok || bytes.Equal(value, []byte("null")) {
		return nil
	}
	if err := json.Unmarshal(value, target); err != nil {
		return &BadRequestError{Field: name, Message: "must be " + accepted}
	}
	return nil
}

func (c *ChatRequest) parseStreamOptions() error {
	var options streamOptions
	if err := c.decodeField("stream_options", "an object", &options); err != nil {
		return err
	}
	c.Usage = options.Usage
	return nil
}

func (c *ChatRequest) parseOutputLimit() error {
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		raw, ok := c.fields[name]
		if !ok || bytes.Equal(raw, []byte("null")) {
			continue
		}
		var tokens int64
		if json.Unmarshal(raw, &tokens) != nil || tokens < 1 {
			return &BadRequestError{Field: name, Message: "must be a whole number from 1"}
		}
		c.Tokens = max(c.Tokens, inventory.Tokens(tokens))
	}
	return nil
}

func (c *ChatRequest) parseChoices() error {
	if err := c.decodeField("n", fmt.Sprintf("a whole number from 1 to %d", maxChoices), &c.Choices); err != nil {
		return err
	}
	if c.Choices < 1 || c.Choices > maxChoices {
		return &BadRequestError{Field: "n", Message: fmt.Sprintf("must be a whole number from 1 to %d", maxChoices)}
	}
	return nil
}

func (c *ChatRequest) parseMessages() error {
	var messages []jsonObject
	if err := c.decodeField("messages", "a list of messages", &messages); err != nil {
		return err
	}
	if len(messages) == 0 {
		return &BadRequestError{Field: "messages", Message: "must hold at least one message"}
	}
	for i, message := range messages {
		if err := checkMessage(message); err != nil {
			return &BadRequestError{Field: fmt.Sprintf("messages[%d]", i), Message: err.Error()}
		}
	}
	c.Messages = c.fields["messages"]
	return nil
}

// checkMessage accepts only text: the length of a reference to an image or sound does not bound its tokens. The values
// are known to be valid JSON, so their first byte shows their type.
func checkMessage(message jsonObject) error {
	if !isText(message["role"]) {
		return errors.New("must be an object with a role and content")
	}
	if name := message.wrongCaseKey(messageKeys); name != "" {
		return fmt.Errorf("the key %q is written in another case than the format's key", name)
	}
	content := message["content"]
	switch {
	case len(content) == 0 || content[0] == 'n' || isText(content):
		// Messages that only call tools have no content.
		return nil
	case content[0] != '[':
		return errors.New("content must be text or a list of parts")
	}
	var parts []jsonObject
	if json.Unmarshal(content, &parts) != nil {
		return errors.New("content must be text or a list of parts")
	}
	for _, part := range parts {
		if err := checkPart(part); err != nil {
			return err
		}
	}
	return nil
}

func checkPart(part jsonObject) error {
	if name := part.wrongCaseKey(partKeys); name != "" {
		return fmt.Errorf("the key %q is written in another case than the format's key", name)
	}
	var partType string
	if json.Unmarshal(part["type"], &partType) != nil || partType != "text" {
		return fmt.Errorf("content of type %q is not supported; accepted is text", partType)
	}
	return nil
}

// isText reports whether a valid JSON value is a string.
func isText(value json.RawMessage) bool { return len(value) > 0 && value[0] == '"' }

// wrongCaseKey returns a key that differs from one of the names only in case, or "" if there is none.
func (o jsonObject) wrongCaseKey(names []string) string {
	for key := range o {
		for _, name := range names {
			if key != name && strings.EqualFold(key, name) {
				return key
			}
		}
	}
	return ""
}
