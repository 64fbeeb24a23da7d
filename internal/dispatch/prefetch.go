package dispatch

import (
	"errors"
	"io"
	"time"

	"citronslip/internal/sse"
	"citronslip/pkg/inventory"
)

type (
	// prefetchedBody is a body of which a part was read in advance.
	prefetchedBody struct {
		data   []byte // Read and not returned yet.
		err    error  // Error that follows the data; nil if the rest is still to be read.
		source io.ReadCloser
	}

	// recordingReader keeps what it reads.
	recordingReader struct {
		source io.Reader
		data   []byte
		err    error
	}
)

// Read returns the data read in advance, and then the rest.
func (b *prefetchedBody) Read(p []byte) (int, error) {
	if len(b.data) > 0 {
		n := copy(p, b.data)
		b.data = b.data[n:]
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.source.Read(p)
}

// Close closes the source.
func (b *prefetchedBody) Close() error { return b.source.Close() }

// take returns all data read in advance and the error that follows it, nil at the end of the body.
func (b *prefetchedBody) take() ([]byte, error) {
	data := b.data
	b.data = nil
	if errors.Is(b.err, io.EOF) {
		return data, nil
	}
	return data, b.err
}

// Read reads from the source.
func (r *recordingReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.data = append(r.data, p[:n]...)
	r.err = err
	return n, err
}

// prefetchEvent reads the first event of a stream in advance, within the time for which its caller waits. It returns the body to
// forward, and whether it holds an event or a complete response without any.
func prefetchEvent(route *inventory.Route, o Answered, timeout time.Duration) (body *prefetchedBody, usable bool) {
	timer := time.AfterFunc(timeout, func() { _ = o.Body.Close() })
	recorder := &recordingReader{source: o.Body}
	_, err := (&sse.Reader{Source: recorder, Most: maxEventBytes}).Next()
	expired := !timer.Stop()
	body = &prefetchedBody{data: recorder.data, err: recorder.err, source: o.Body}
	switch {
	case expired:
		body.data, body.err = nil, errStalled
		return body, false
	case err == nil:
		return body, true
	default:
		return body, errors.Is(err, io.EOF) && !(o.Unframed && route.Repeat == inventory.Resumable)
	}
}

// prefetchPlain reads the start of another response in advance, as much as forwardPlain buffers. It returns the body to forward
// and whether that start is complete.
func prefetchPlain(o Answered) (body *prefetchedBody, complete bool) {
	limit := o.bufferLimit()
	data, err := io.ReadAll(io.LimitReader(o.Body, int64(limit)))
	body = &prefetchedBody{data: data, err: err, source: o.Body}
	if err == nil && len(data) < limit {
		body.err = io.EOF
	}
	return body, err == nil
}

// bufferLimit returns the number of bytes that are buffered before the first one is forwarded.
func (o Answered) bufferLimit() int {
	if o.Length < 0 {
		return maxBufferedUnsizedBytes
	}
	return maxBufferedBytes
}

// readStart reads the start of a body, at most limit bytes.
func readStart(body io.Reader, limit int) ([]byte, error) {
	if b, ok := body.(*prefetchedBody); ok {
		return b.take()
	}
	return io.ReadAll(io.LimitReader(body, int64(limit)))
}
