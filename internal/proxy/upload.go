package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	// uploadEndTimeout limits the wait until net/http notices that the connection of an unfinished request has ended.
	uploadEndTimeout = time.Second
)

var (
	errEndedDuringUpload = errors.New("proxy: response without a length ended before the request was sent")
)

type (
	// upload is the transmission of a request on the last of its connections.
	upload struct {
		mu   sync.Mutex
		done chan struct{} // Closed at its end; nil as long as there is no connection.
		err  error         // Valid once done is closed.
	}

	// unframedBody is the body of a response that ends with its connection. A server that fails while it still receives the
	// request may end the connection regularly and reset it only when more of the request arrives, so that the end says
	// nothing until the request has been sent.
	unframedBody struct {
		io.ReadCloser
		ctx    context.Context // Of the request.
		upload *upload
	}
)

// context returns a context with which a request records its transmission.
func (u *upload) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { u.begin() },
		WroteRequest: func(info httptrace.WroteRequestInfo) { u.end(info.Err) },
	})
}

// begin records that the request is sent on another connection.
func (u *upload) begin() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.done, u.err = make(chan struct{}), nil
}

// end records the end of the transmission.
func (u *upload) end(err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.done == nil {
		return
	}
	select {
	case <-u.done:
	default:
		u.err = err
		close(u.done)
	}
}

// complete reports whether the whole request was sent. net/http ends the transmission when the connection ends.
func (u *upload) complete(ctx context.Context) bool {
	u.mu.Lock()
	done := u.done
	u.mu.Unlock()
	if done == nil {
		return true
	}
	timer := time.NewTimer(uploadEndTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err == nil
}

// guard makes the end of a response without a length an error if the request, which has a body, was not sent completely.
func (u *upload) guard(request *http.Request, response *http.Response) {
	if request.ContentLength == 0 || response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody {
		return
	}
	response.Body = &unframedBody{response.Body, request.Context(), u}
}

// Read reads from the response.
func (b *unframedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) && !b.upload.complete(b.ctx) {
		err = fmt.Errorf("%w: %w", errEndedDuringUpload, io.ErrUnexpectedEOF)
	}
	return n, err
}
