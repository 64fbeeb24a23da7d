package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

var (
	errRefusedBefore = errors.New("engine: connection was used for a refused request")
)

type (
	// refusalTransport sends no request on a connection after a response with an error status.
	refusalTransport struct {
		http.RoundTripper
	}

	// refusalConn is a connection of a refusalTransport.
	refusalConn struct {
		net.Conn
		refused atomic.Bool // Whether a request on it was answered with an error status.
	}
)

// NewEngineHTTPClient returns an HTTP client like NewHTTPClient with reuse, which sends no request on a connection on
// which an earlier one was refused: a faulty engine may write a refusal once more, and its responses do not tell to which
// request they belong.
func NewEngineHTTPClient() *http.Client { return NewClient(NewEngineTransport(DialTCP)) }

// NewEngineTransport returns the transport of NewEngineHTTPClient with another function that opens connections.
func NewEngineTransport(dial Dial) http.RoundTripper {
	return refusalTransport{NewTransport(true, func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &refusalConn{Conn: conn}, nil
	})}
}

// RoundTrip implements http.RoundTripper. A response on a connection after a refusal may be a rest in the read buffer of
// net/http that belongs to an earlier request, and is discarded.
func (t refusalTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	for {
		var conn *refusalConn
		refusedBefore := false
		ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
			GotConn: func(info httptrace.GotConnInfo) {
				conn, _ = info.Conn.(*refusalConn)
				refusedBefore = wasRefused(info.Conn)
			},
		})
		response, err := t.RoundTripper.RoundTrip(request.WithContext(ctx))
		if err != nil || !refusedBefore {
			if err == nil && conn != nil && response.StatusCode >= http.StatusBadRequest {
				conn.refused.Store(true)
			}
			return response, err
		}
		_ = response.Body.Close()
		_ = conn.Close()
		if !renewBody(&request) {
			return nil, errRefusedBefore
		}
	}
}

// renewBody replaces a request by one that can be sent again, and reports false if its body cannot be read again.
func renewBody(request **http.Request) bool {
	if (*request).Body == nil || (*request).Body == http.NoBody {
		return true
	}
	if (*request).GetBody == nil {
		return false
	}
	body, err := (*request).GetBody()
	if err != nil {
		return false
	}
	renewed := (*request).Clone((*request).Context())
	renewed.Body = body
	*request = renewed
	return true
}

// Write implements net.Conn. If it fails because of an earlier refusal, no part of the request was sent, and net/http
// sends it on another connection.
func (c *refusalConn) Write(data []byte) (int, error) {
	if c.refused.Load() {
		return 0, errRefusedBefore
	}
	return c.Conn.Write(data)
}

// wasRefused reports whether nothing can be sent on a connection because of an earlier refusal.
func wasRefused(conn net.Conn) bool {
	c, ok := conn.(*refusalConn)
	return ok && c.refused.Load()
}
