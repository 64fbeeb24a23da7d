package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// streamEnd is the data of the event that ends a complete stream.
	streamEnd = "[DONE]"
	// unspecified is the reported code or run value of a refusal that does not state one.
	unspecified = "none"
)

type (
	// outcome is the result of one request: one of the five types below.
	outcome interface{ outcome() }

	// answered is a complete response. trailingData reports whether events followed the end of the stream.
	answered struct{ trailingData bool }

	// refused is a response with a status of 300 or above, or a stream that ended with an error event. run tells
	// whether the target executed the request.
	refused struct{ code, run string }

	// truncated is a response that ended early without an error event.
	truncated struct{}

	// unanswered is a request that got no response.
	unanswered struct{}

	// interrupted is a request that was in flight when the run was cancelled.
	interrupted struct{}

	// refusalBody holds the fields of a refusal by which it is counted. They may stand at the top level or in an
	// error object.
	refusalBody struct {
		Code  string          `json:"code"`
		Run   string          `json:"run"`
		Error json.RawMessage `json:"error"`
	}
)

func (answered) outcome()    {}
func (refused) outcome()     {}
func (truncated) outcome()   {}
func (unanswered) outcome()  {}
func (interrupted) outcome() {}

// send sends one request and records its outcome.
func (g *Generator) send(ctx context.Context, a arrival, c *collector) {
	requestCtx, cancel := context.WithDeadline(ctx, a.start.Add(g.Timeout))
	defer cancel()
	var result outcome = unanswered{}
	request, err := g.request(requestCtx, a)
	if err == nil {
		var response *http.Response
		response, err = g.client.Do(request)
		if err == nil {
			result = readResponse(a, response, c)
			response.Body.Close()
			c.recordRequestID(a, response.Header.Get("Citronslip-Request"))
		}
	}
	if _, complete := result.(answered); !complete && ctx.Err() != nil {
		result = interrupted{}
	}
	c.recordOutcome(a, result)
}

// request builds the HTTP request of an arrival.
func (g *Generator) request(ctx context.Context, a arrival) (*http.Request, error) {
	method, path, body := a.kind.Method, a.kind.Path, []byte(a.kind.Body)
	if a.kind.Model != "" {
		method, path, body = http.MethodPost, "/v1/chat/completions", a.chatBody()
	}
	if method == "" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(g.Target, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if a.key != "" {
		request.Header.Set("Authorization", "Bearer "+a.key)
	}
	if a.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", a.idempotencyKey)
	}
	if a.kind.Budget != "" {
		request.Header.Set("Citronslip-Budget", a.kind.Budget)
	}
	return request, nil
}

// chatBody returns the body of a chat completion. Each prompt contains the request's number, so that no two requests of
// a run are equal.
func (a arrival) chatBody() []byte {
	size, maxTokens := a.kind.PromptBytes, a.kind.MaxTokens
	if size <= 0 {
		size = 200
	}
	if maxTokens <= 0 {
		maxTokens = 64
	}
	prompt := fmt.Sprintf("Request %d. ", a.number)
	prompt += strings.Repeat("word ", max(0, size-len(prompt))/5)
	body, _ := json.Marshal(map[string]any{
		"model":      a.kind.Model,
		"stream":     a.kind.Stream,
		"max_tokens": maxTokens,
		"messages":   []map[string]string{{"role": "user", "content": prompt}},
	})
	return body
}

// readResponse reads a response to its end and returns its outcome.
func readResponse(a arrival, response *http.Response, c *collector) outcome {
	if response.StatusCode >= 300 {
		body, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
		if err != nil {
			return truncated{}
		}
		return parseRefusal(body, response.Header.Get("Citronslip-Run"))
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(a, response.Body, c)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return truncated{}
	}
	return answered{}
}

// parseRefusal reads the code and the run value from a refusal's body; run is the value of the header, used if the body
// has none.
func parseRefusal(body []byte, run string) refused {
	var r refusalBody
	if json.Unmarshal(body, &r) == nil && len(r.Error) > 0 && r.Code == "" {
		json.Unmarshal(r.Error, &r)
	}
	if r.Code == "" {
		r.Code = unspecified
	}
	if r.Run == "" {
		r.Run = run
	}
	if r.Run == "" {
		r.Run = unspecified
	}
	return refused{code: r.Code, run: r.Run}
}

// readStream reads server-sent events to the end of the stream and records the time to the first event and the gaps
// between events.
func readStream(a arrival, body io.Reader, c *collector) outcome {
	reader := bufio.NewReaderSize(body, 16<<10)
	var last time.Time
	var result outcome = truncated{}
	errorEvent := false
	for {
		line, err := readLine(reader)
		if err != nil {
			if _, complete := result.(answered); !complete && err != io.EOF {
				return truncated{}
			}
			return result
		}
		event, isEvent := bytes.CutPrefix(line, []byte("event:"))
		if isEvent {
			errorEvent = string(bytes.TrimSpace(event)) == "error"
		}
		data, isData := bytes.CutPrefix(line, []byte("data:"))
		if !isData {
			continue
		}
		data = bytes.TrimSpace(data)
		if _, complete := result.(answered); complete {
			result = answered{trailingData: true}
			continue
		}
		switch {
		case string(data) == streamEnd:
			result = answered{}
		case errorEvent || isErrorObject(data):
			return parseRefusal(data, "")
		default:
			now := time.Now()
			c.recordEvent(a, last, now)
			last = now
		}
	}
}

// isErrorObject reports whether the data starts like an error object. It checks only the first bytes, so that not every
// event has to be decoded.
func isErrorObject(data []byte) bool {
	head := data[:min(len(data), 64)]
	return bytes.HasPrefix(head, []byte(`{"error"`)) || bytes.HasPrefix(head, []byte(`{"code"`))
}

// readLine returns the next line. A line that exceeds the buffer is truncated, since only its start is needed.
func readLine(reader *bufio.Reader) ([]byte, error) {
	line, isPrefix, err := reader.ReadLine()
	for isPrefix && err == nil {
		line = bytes.Clone(line)
		_, isPrefix, err = reader.ReadLine()
	}
	return line, err
}

// newIdempotencyKey returns a key that is unique to the request and the run.
func newIdempotencyKey(seed uint64, runStart time.Time, number int) string {
	return fmt.Sprintf("load-%d-%d-%d", seed, runStart.UnixNano(), number)
}
