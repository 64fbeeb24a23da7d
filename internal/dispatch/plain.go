package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"citronslip/internal/routing"
)

const (
	// maxBufferedBytes is the number of bytes of a response that are buffered before the first one is forwarded. No
	// part of a shorter response that breaks off reaches the caller.
	maxBufferedBytes = 256 << 10
	// maxBufferedUnsizedBytes is the same for a response without a declared length, which a faulty server may send
	// without end.
	maxBufferedUnsizedBytes = 64 << 10
	// maxUnsizedBytes is the size limit of a response body without a declared length.
	maxUnsizedBytes = 8 << 20
	// unreservedBytes is the part of it that needs no reservation, and all that is buffered if the router has no memory.
	// The cost of a head (memory.Head.Cost) contains it.
	unreservedBytes = 16 << 10
	// memoryWait is how long a response waits for memory before only unreservedBytes of it are buffered.
	memoryWait = time.Second
	// copyBufferBytes is the size of the buffer for the rest of a longer body.
	copyBufferBytes = 32 << 10
)

var (
	errBodyTooLong = errors.New("dispatch: response body without a declared length exceeds the size limit")
)

type (
	// errorResponse is a complete response in which a server reports an error.
	errorResponse struct {
		head any
		body []byte
	}
)

// forwardPlain forwards a response that is not a stream of events.
func (c *call) forwardPlain(ctx context.Context, server *Server, choice *routing.Choice, o Answered) (bool, Reason) {
	buffered, maxBuffered, err := c.readStart(ctx, o, o.bufferLimit())
	if err != nil {
		choice.Done(c.outcomeOrCancelled(ctx, routing.Broken{}))
		c.recordSuspect(ctx, server)
		c.logNoResponse(server, false, err)
		return c.allowRetry(ctx)
	}
	if !o.Success {
		if retry, _ := c.allowRetry(ctx); retry {
			choice.Done(routing.Broken{})
			c.holdBack(buffered, maxBuffered, o)
			return true, ServerError
		}
	}
	choice.FirstByte()
	c.recordAnswerBegun()
	c.timeToFirstByte = time.Since(c.request.Arrived)
	c.responseStarted = true
	if err := c.response.Begin(o.Head, o.Length); err != nil {
		choice.Done(routing.Cancelled{})
		c.response.Abort()
		c.setResult("caller left", "")
		return false, ""
	}
	if err := c.forwardBody(buffered, maxBuffered, o); err != nil {
		choice.Done(c.outcomeOrCancelled(ctx, routing.Broken{}))
		if errors.Is(err, errBodyTooLong) {
			c.logNoResponse(server, false, err)
		}
		c.response.Abort()
		c.setResult("aborted", IncompleteResponse)
		return false, ""
	}
	choice.Done(routing.Finished{Cached: -1})
	c.finishResponse(o.Success)
	return false, ""
}

// holdBack keeps an error response while the request is retried, unless it is too long.
func (c *call) holdBack(buffered []byte, maxBuffered int, o Answered) {
	if len(buffered) < maxBuffered {
		c.errorResponse = &errorResponse{head: o.Head, body: buffered}
		return
	}
	c.releaseStart(buffered)
}

// releaseStart releases the memory of the buffered start of a response.
func (c *call) releaseStart(buffered []byte) {
	if cap(buffered) > unreservedBytes {
		c.heldStart.Release(int64(cap(buffered)))
	}
}

// readStart reads the start of a response of at most the given number of bytes. It returns that number, or a smaller one if
// the router has no memory for more. The response is shorter if the start has fewer bytes.
func (c *call) readStart(ctx context.Context, o Answered, most int) ([]byte, int, error) {
	size := min(initialBufferBytes, most)
	if o.Length >= 0 {
		size = int(min(o.Length+1, int64(most), unreservedBytes)) // One more, to see the end.
	}
	data := make([]byte, 0, size)
	for {
		n, err := o.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, most, nil
		case err != nil:
			c.releaseStart(data)
			return nil, most, err
		case len(data) < cap(data):
			continue
		case len(data) >= most:
			return data, most, nil
		}
		next := min(2*cap(data), most)
		if next > unreservedBytes && !c.heldStart.Wait(ctx, int64(next), memoryWait) {
			return data, len(data), nil
		}
		c.releaseStart(data)
		data = append(make([]byte, 0, next), data...)
	}
}

// forwardBody forwards the buffered start of a body, of at most maxBuffered bytes, and the rest.
func (c *call) forwardBody(buffered []byte, maxBuffered int, o Answered) error {
	if err := c.response.Write(buffered); err != nil {
		return err
	}
	if len(buffered) < maxBuffered {
		return nil
	}
	c.releaseStart(buffered)
	buffer := make([]byte, copyBufferBytes)
	total := len(buffered)
	for {
		n, err := o.Body.Read(buffer)
		if total += n; o.Length < 0 && total > maxUnsizedBytes {
			return errBodyTooLong
		}
		if n > 0 {
			if err := c.response.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// finishResponse ends a complete response. An error of a server does not prove that it would survive an answer.
func (c *call) finishResponse(success bool) {
	if success {
		c.recordProgress()
	}
	c.Crashes.RecordFinished(c.content)
	if err := c.response.End(); err != nil {
		c.setResult("caller left", "")
		return
	}
	if success {
		c.setResult("answered", "")
		return
	}
	c.setResult("server error", "")
}

// sendErrorResponse forwards the error response of a server that was held back while the request was retried.
func (c *call) sendErrorResponse() {
	err := c.response.Begin(c.errorResponse.head, int64(len(c.errorResponse.body)))
	if err == nil {
		err = c.response.Write(c.errorResponse.body)
	}
	if err != nil {
		c.response.Abort()
		c.setResult("caller left", "")
		return
	}
	c.finishResponse(false)
}
