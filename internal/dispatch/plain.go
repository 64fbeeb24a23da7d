package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"citronslip/internal/routing"
)

const (
	// wholeBytes is the longest body of a plain answer that is read whole before it is passed on. A shorter answer that
	// breaks off is never shown to the caller in part.
	wholeBytes = 256 << 10
	// unsizedBytes is the same for an answer that tells no length, of which a faulty server may send without end.
	unsizedBytes = 64 << 10
	// mostUnsized is the longest body without a length that is passed on.
	mostUnsized = 8 << 20
	// copyBytes is the buffer for the rest of a longer body.
	copyBytes = 32 << 10
)

var (
	errEndless = errors.New("dispatch: body without a length exceeds the limit")
)

type (
	// spare is a whole answer in which a server reports an error of its own.
	spare struct {
		head any
		body []byte
	}
)

// plain passes on an answer that is no stream of events.
func (c *call) plain(ctx context.Context, server *Server, choice *routing.Choice, o Answered) (bool, Reason) {
	first := wholeBytes
	if o.Length < 0 {
		first = unsizedBytes
	}
	whole, err := io.ReadAll(io.LimitReader(o.Body, int64(first)))
	if err != nil {
		choice.Done(c.broken(ctx, routing.Broken{}))
		c.suspect(ctx, server)
		c.lost(server, false, err)
		return c.again(ctx)
	}
	if !o.Success && len(whole) < first {
		if again, _ := c.again(ctx); again {
			choice.Done(routing.Broken{})
			c.spare = &spare{head: o.Head, body: whole}
			return true, ServerError
		}
	}
	choice.First()
	c.first = time.Since(c.request.Arrived)
	c.began = true
	if err := c.response.Begin(o.Head, o.Length); err != nil {
		choice.Done(routing.Cancelled{})
		c.end("caller left", "")
		return false, ""
	}
	if err := c.copy(whole, first, o); err != nil {
		choice.Done(c.broken(ctx, routing.Broken{}))
		if errors.Is(err, errEndless) {
			c.lost(server, false, err)
		}
		c.response.Abort()
		c.end("aborted", Broken)
		return false, ""
	}
	choice.Done(routing.Finished{Cached: -1})
	c.finish(o.Success)
	return false, ""
}

// copy passes on the part of a body that was read, of at most first bytes, and the rest.
func (c *call) copy(whole []byte, first int, o Answered) error {
	if err := c.response.Write(whole); err != nil {
		return err
	}
	if len(whole) < first {
		return nil
	}
	buffer := make([]byte, copyBytes)
	passed := len(whole)
	for {
		n, err := o.Body.Read(buffer)
		if passed += n; o.Length < 0 && passed > mostUnsized {
			return errEndless
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

// finish ends an answer that is complete.
func (c *call) finish(success bool) {
	if err := c.response.End(); err != nil {
		c.end("caller left", "")
		return
	}
	if success {
		c.end("answered", "")
		return
	}
	c.end("server error", "")
}

// deliver passes on the answer of a server that was to be replaced by a better one.
func (c *call) deliver() {
	err := c.response.Begin(c.spare.head, int64(len(c.spare.body)))
	if err == nil {
		err = c.response.Write(c.spare.body)
	}
	if err != nil {
		c.response.Abort()
		c.end("caller left", "")
		return
	}
	c.finish(false)
}
