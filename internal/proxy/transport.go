package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
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
	// Errors wrap ErrNotSent if nothing reached the server, a *RefusedError if the other router sent nothing because of the
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
	}

	// watchedBody is the body of a response whose failure is reported.
	watchedBody struct {
		io.ReadCloser
		ctx    context.Context
		failed func()
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
func NewBody(data []byte) *Body { return &Body{bytes.NewReader(data)} }

// Close does nothing.
func (*Body) Close() error { return nil }

// RoundTrip sends one request and returns the server's response.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	address := request.URL.Host
	var tried []string
	cause := ErrNotSent
	for {
		var response *http.Response
		var err error
		switch w := t.Paths.find(ctx, address, tried).(type) {
		case direct:
			response, err = t.sendDirect(request, address)
		case through:
			tried = append(tried, w.peer)
			response, err = t.sendThrough(request, address, w)
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
	response, err := t.Direct.RoundTrip(request)
	switch {
	case err == nil:
		t.Paths.recordContact(address)
		response.Body = &watchedBody{response.Body, ctx, func() { t.Paths.suspect(address) }}
		return response, nil
	case isDialError(err):
		if ctx.Err() == nil {
			t.Paths.recordFailure(address)
		}
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	case ctx.Err() == nil:
		t.Paths.suspect(address)
	}
	return nil, err
}

// sendThrough sends a request to its server through another router.
func (t *Transport) sendThrough(request *http.Request, address string, w through) (*http.Response, error) {
	ctx := request.Context()
	t.Paths.counter("sent")
	event.RequestProxied.Log(t.Paths.Logger).Str("request", callOf(ctx).Request).Str("peer", w.peer).Str("address", address).Send()
	response, err := t.Routers.RoundTrip(t.proxied(request, address, w))
	if err == nil {
		response, err = decode(response)
	}
	var lost *LostError
	var refused *RefusedError
	switch {
	case err == nil:
		response.Body = &watchedBody{response.Body, ctx, func() { t.Paths.suspectRouter(w.peer, address) }}
		return response, nil
	case errors.As(err, &lost), errors.As(err, &refused):
		return nil, err
	case isDialError(err), errors.Is(err, ErrNotSent):
		if ctx.Err() == nil {
			t.recordFailure(ctx, address, w, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if ctx.Err() == nil {
		t.recordFailure(ctx, address, w, err)
	}
	return nil, &LostError{Path: true, Err: err}
}

// recordFailure records that a router did not send a request, or lost it.
func (t *Transport) recordFailure(ctx context.Context, address string, w through, err error) {
	event.ProxyFailed.Log(t.Paths.Logger).Str("request", callOf(ctx).Request).Str("peer", w.peer).Str("address", address).Err(err).Send()
	t.Paths.counter("failed")
	t.Paths.recordRouterFailure(w.peer, address)
}

// proxied returns the request to another router.
func (t *Transport) proxied(request *http.Request, address string, w through) *http.Request {
	call := callOf(request.Context())
	result := request.Clone(request.Context())
	target := *request.URL
	target.Scheme, target.Host = "http", w.address
	if t.Secure {
		target.Scheme = "https"
	}
	if target.Opaque == "" {
		target = url.URL{Scheme: target.Scheme, Host: w.address, Opaque: request.URL.EscapedPath(), RawQuery: request.URL.RawQuery}
	}
	result.URL = &target
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
	result := outcome(header.Get(headerOutcome))
	removeHeaders(header)
	if result != outcomeAnswered {
		_ = response.Body.Close()
	}
	switch result {
	case outcomeAnswered:
		if unframed {
			response.TransferEncoding = nil
		}
		return response, nil
	case outcomeUnsent:
		return nil, fmt.Errorf("%w: the other router does not reach the server", ErrNotSent)
	case outcomeRefused:
		return nil, &RefusedError{After: after}
	}
	return nil, &LostError{Reset: result == outcomeReset, Err: errors.New("proxy: the other router got no response")}
}

// again returns the request for another way.
func again(request *http.Request) (*http.Request, error) {
	result := request.Clone(request.Context())
	switch body := request.Body.(type) {
	case nil:
		return result, nil
	case *Body:
		_, err := body.Seek(0, io.SeekStart)
		return result, err
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
	if err != nil && !errors.Is(err, io.EOF) && b.ctx.Err() == nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrBodyReadAfterClose) {
		b.failed()
	}
	return n, err
}

// suspectRouter has a router asked again, because a response through it was lost.
func (p *Paths) suspectRouter(peer, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.servers[address]
	if path == nil || !path.broken {
		return
	}
	// The router may have ended, or the server may have. Only the former says nothing about the server.
	go p.recheck(peer, address)
}

// recheck asks a router whether it still reaches a server. If it does not answer, another router is searched for.
func (p *Paths) recheck(peer, address string) {
	before := p.failureOf(peer)
	p.ask(peer, []string{address})
	if after := p.failureOf(peer); after.After(before) {
		p.recordRouterFailure(peer, address)
	}
}

// failureOf returns when a router last failed.
func (p *Paths) failureOf(peer string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.routers[peer]; r != nil {
		return r.failedAt
	}
	return time.Time{}
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
