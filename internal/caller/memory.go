package caller

import (
	"context"
	"io"
	"net/http"
	"time"

	"citronslip/internal/memory"
)

const (
	// parsedCopies is how many copies of a chat request's body are there while it is parsed and sent, beside the body.
	parsedCopies = 3
	// objectBytes and valueBytes are what an object and another value of its JSON take beyond their text.
	objectBytes = 450
	valueBytes  = 120
	// answerWait is how long an answer waits for memory. Meanwhile it stays with the backend server and in the kernel.
	answerWait = 5 * time.Second
	// maxRecordedBytes limits each text of a caller in the explanation of a request.
	maxRecordedBytes = 512
)

// refuseMemory returns the refusal of a request for which the router has no memory.
func refuseMemory() *Refusal {
	return newRetryableRefusal(http.StatusServiceUnavailable, CodeUnavailable, "this router has no memory left for the request", time.Second)
}

// readAll reads a body of a caller.
func (c *call) readAll(body io.Reader, length int64) ([]byte, error) {
	return memory.ReadAll(body, length, c.held.Reserve, c.held.Release)
}

// readAnswerBody reads an answer of a backend server, up to one byte more than maxAnswerBytes. It waits for memory, since
// the request was run.
func (c *call) readAnswerBody(ctx context.Context, response *http.Response) ([]byte, error) {
	wait := func(n int64) bool { return c.held.Wait(ctx, n, answerWait) }
	return memory.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1), min(response.ContentLength, maxAnswerBytes), wait, c.held.Release)
}

// reserveParsing reserves the memory for parsing the body of a chat request and for sending it.
func (c *call) reserveParsing(body []byte) *Refusal {
	need := parsingCost(body)
	switch {
	case c.held.Reserve(need):
		return nil
	case !c.front.Memory.CanFit(need):
		return newRefusal(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body has more values than this router has memory for")
	}
	return refuseMemory()
}

// parsingCost returns an upper estimate of the memory for parsing a body. Only values outside strings count, so that a long
// text costs little more than its bytes.
func parsingCost(body []byte) int64 {
	cost := int64(parsedCopies * len(body))
	inString := false
	for i := 0; i < len(body); i++ {
		switch b := body[i]; {
		case b == '"':
			inString = !inString
		case inString && b == '\\':
			i++
		case inString:
		case b == '{':
			cost += objectBytes
		case b == ',' || b == '[':
			cost += valueBytes
		}
	}
	return cost
}

// clip returns a text of a caller for the explanation of its request.
func clip(text string) string { return text[:min(len(text), maxRecordedBytes)] }
