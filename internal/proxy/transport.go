package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"citronslip/internal/event"
)

const (
	// maxIdleConnsPerRouter limits the idle connections to one router that are kept open.
	maxIdleConnsPerRouter = 64
	// idleConnTimeout is how long an idle connection to a router is kept open. It is shorter than the time after which a
	// Server closes one.
	idleConnTimeout = 10 * time.Second
	// maxResponseHeaderBytes limits the headers of a response.
	maxResponseHeaderBytes = 64 << 10
)

type (
	// Transport sends requests to backend servers directly, or through another router while the way to the server is
	// broken. It implements http.RoundTripper. The host of a request's URL is the address of the server. Set the fields before
	// the first use.
	//
	// Errors wrap ErrNotSent or ErrWithheld if nothing reached the server, a *RefusedError if the other router sent nothing because of the
	// server's wishes, and a *LostError if a response through another router was lost. All others are those of Direct.
	Transport struct {
		Direct  http.RoundTripper // Sends requests to backend servers.
		Routers http.RoundTripper // Sends requests to other routers.
		Secure  bool              // Whether connections to other routers use TLS.
		Paths   *Paths
	}

	// Body is the body of a request that can be sent on several ways. Its type keeps net/http from sending it again on its
	// own, which it does with bodies that it knows.
	Body struct {
		*bytes.Reader
		data []byte
	}

	// watchedBody is the body of a response.
	watchedBody struct {
		io.ReadCloser
		ctx      context.Context // Of the request.
		received func()          // Called when data arrives.
		failed   func()          // Called when the response breaks off.
		closed   func()          // Called when the body is closed.
	}
)

// NewRouterTransport returns the transport for requests to other routers.
func NewRouterTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConnsPerRouter,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// NewBody returns a body with the given contents.
func NewBody(data []byte) *Body { return &Body{bytes.NewReader(data), data} }

// Close does nothing.
func (*Body) Close() error { return nil }

// RoundTrip sends one request and returns the server's response.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	address := request.URL.Host
	var tried attempted
	cause := ErrNotSent
	for {
		var response *http.Response
		var err error
		if t.Paths.withholds(address) {
			return nil, ErrWithheld
		}
		found := t.Paths.find(ctx, address, tried)
		if t.Paths.withholds(address) { // The search for another router may have taken a while.
			return nil, ErrWithheld
		}
		switch w := found.(type) {
		case direct:
			tried.direct = true
			response, err = t.sendDirect(request, address)
		case through:
			tried.routers = append(tried.routers, w.peer)
			response, err = t.sendThrough(request, address, w)
		case closedOff:
			return nil, fmt.Errorf("%w: %v", ErrWithheld, cause)
		case blocked:
			return nil, fmt.Errorf("%w: %v", ErrNotSent, cause)
		}
		if !errors.Is(err, ErrNotSent) || ctx.Err() != nil {
			return response, err
		}
		cause = err
		if request, err = again(request); err != nil {
			return nil, fmt.Errorf("%w: %v", ErrNotSent, err)
		}
	}
}

// sendDirect sends a request to its server.
func (t *Transport) sendDirect(request *http.Request, address string) (*http.Response, error) {
	ctx := request.Context()
	a := newAttempt(ctx)
	done := t.Paths.watch(a, address)
	response, _, err := send(t.Direct, request.WithContext(a.trace()))
	done()
	if err == nil && a.interrupted() { // The body ends with the context of the attempt.
		_ = response.Body.Close()
		err = errInterrupted
	}
	switch {
	case err == nil:
		t.Paths.recordContact(address)
		response.Body = &watchedBody{
			ReadCloser: response.Body,
			ctx:        ctx,
			received:   func() { t.Paths.recordContact(address) },
			failed:     func() { t.Paths.suspect(address) },
			closed:     a.end,
		}
		return response, nil
	case ctx.Err() != nil, errors.Is(err, ErrWithheld):
	case a.interrupted() && !a.connected.Load():
		err = fmt.Errorf("%w: %w", ErrNotSent, errInterrupted)
	case a.interrupted():
		err = &LostError{Path: true, Err: errInterrupted}
	case isDialError(err):
		t.Paths.recordFailure(address)
		err = fmt.Errorf("%w: %w", ErrNotSent, err)
	case a.connected.Load() && t.Paths.Rerouted(address): // The connection was lost with its way.
		err = &LostError{Reset: isReset(err), Path: true, Err: err}
	default:
		t.Paths.suspect(address)
	}
	a.end()
	return nil, err
}

// sendThrough sends a request to its server through another router.
func (t *Transport) sendThrough(request *http.Request, address string, w through) (*http.Response, error) {
	ctx := request.Context()
	t.Paths.counter("sent")
	event.RequestProxied.Log(t.Paths.Logger).Str("request", event.ClipID(callOf(ctx).Request)).Str("peer", w.peer).Str("address", address).Send()
	response, _, err := send(t.Routers, t.proxied(request, address, w))
	if err == nil {
		response, err = decode(response)
	}
	var lost *LostError
	var refused *RefusedError
	switch {
	case err == nil:
		response.Body = &watchedBody{
			ReadCloser: response.Body,
			ctx:        ctx,
			received:   func() {},
			failed:     func() { t.Paths.suspectRouter(w.peer, address) },
			closed:     func() {},
		}
		return response, nil
	case errors.As(err, &lost), errors.As(err, &refused), errors.Is(err, ErrWithheld):
		return nil, err
	case errors.Is(err, ErrNotSent):
		t.logFailure(ctx, address, w, err)
		t.Paths.recordUnsent(w.peer, address)
		return nil, err
	}
	if ctx.Err() == nil {
		t.logFailure(ctx, address, w, err)
		t.Paths.recordRouterFailure(w.peer, address)
	}
	if isDialError(err) {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return nil, &LostError{Path: true, Err: err}
}

// logFailure logs that a router did not send a request, or lost it.
func (t *Transport) logFailure(ctx context.Context, address string, w through, err error) {
	event.ProxyFailed.Log(t.Paths.Logger).Str("request", event.ClipID(callOf(ctx).Request)).Str("peer", w.peer).Str("address", address).Err(err).Send()
	t.Paths.counter("failed")
}

// proxied returns the request to another router.
func (t *Transport) proxied(request *http.Request, address string, w through) *http.Request {
	call := callOf(request.Context())
	result := request.Clone(request.Context())
	result.URL = ServerURL(w.address, request.URL)
	if t.Secure {
		result.URL.Scheme = "https"
	}
	if result.Host == "" {
		result.Host = address
	}
	removeHeaders(result.Header)
	result.Header.Set(headerAddress, address)
	result.Header.Set(headerRequest, call.Request)
	if call.Permit {
		result.Header.Set(headerPermit, "1")
	}
	return result
}

// decode returns the server's response in that of another router.
func decode(response *http.Response) (*http.Response, error) {
	header := response.Header
	after := milliseconds(header.Get(headerAfter))
	unframed := header.Get(headerUnframed) != ""
	withheld := header.Get(headerWithheld) != ""
	result := outcome(header.Get(headerOutcome))
	removeHeaders(header)
	if result != outcomeAnswered {
		_ = response.Body.Close()
	}
	switch result {
	case outcomeAnswered:
		switch {
		case unframed:
			response.TransferEncoding = nil
		case response.ContentLength < 0:
			response.TransferEncoding = []string{"chunked"} // A response to HEAD does not say so between routers.
		}
		return response, nil
	case outcomeUnsent:
		return nil, fmt.Errorf("%w: the other router does not reach the server", ErrNotSent)
	case outcomeRefused:
		if withheld {
			return nil, fmt.Errorf("%w by the other router", ErrWithheld)
		}
		return nil, &RefusedError{After: after}
	}
	return nil, &LostError{Reset: result == outcomeReset, Err: errors.New("proxy: the other router got no response")}
}

// again returns the request for another way. It has a reader of its own: net/http may still read the body for the previous
// way if the other router refused the request before its end.
func again(request *http.Request) (*http.Request, error) {
	result := request.Clone(request.Context())
	switch body := request.Body.(type) {
	case nil:
		return result, nil
	case *Body:
		result.Body = NewBody(body.data)
		return result, nil
	}
	if request.Body == http.NoBody {
		return result, nil
	}
	if request.GetBody == nil {
		return nil, errors.New("proxy: body cannot be sent again")
	}
	body, err := request.GetBody()
	result.Body = body
	return result, err
}

// Read reads from the response, and reports a failure unless the request has ended.
func (b *watchedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if n > 0 {
		b.received()
	}
	if isBreak(err) && b.ctx.Err() == nil {
		b.failed()
	}
	return n, err
}

// Close closes the body.
func (b *watchedBody) Close() error {
	err := b.ReadCloser.Close()
	b.closed()
	return err
}

// isBreak reports whether a response broke off, other than by the close of its body.
func isBreak(err error) bool {
	return err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrBodyReadAfterClose)
}

// removeHeaders removes the headers that are exchanged between routers only.
func removeHeaders(header http.Header) {
	for _, name := range ownHeaders {
		header.Del(name)
	}
}

// isDialError reports whether no connection was opened.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// isReset reports whether a connection was reset.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// milliseconds returns the duration that a header gives, or zero if it gives none.
func milliseconds(text string) time.Duration {
	n, err := strconv.ParseInt(text, 10, 32)
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}
