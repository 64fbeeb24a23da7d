package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"
)

type (
	// ConnTrace records the connections that net/http uses for one request. net/http may give a request a connection that
	// its peer has closed already, so that nothing can have been sent on it.
	ConnTrace struct {
		conn       net.Conn // The last one.
		onlyClosed bool     // Whether all of them were closed before.
	}
)

// Context returns a context with which a request records its connections.
func (t *ConnTrace) Context(ctx context.Context) context.Context {
	first := true
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		t.conn = info.Conn
		closed := info.Conn.SetWriteDeadline(time.Time{}) != nil
		t.onlyClosed = closed && (first || t.onlyClosed)
		first = false
	}})
}

// Close closes the connection on which the response arrived. net/http may already have made it available for other
// requests.
func (t *ConnTrace) Close() {
	if t.conn != nil {
		_ = t.conn.Close()
	}
}

// send sends a request, again as long as it gets only connections that were closed before. A response on such a connection
// is a rest in the read buffer of net/http, which belongs to an earlier request.
func send(transport http.RoundTripper, request *http.Request) (*http.Response, *ConnTrace, error) {
	ctx := request.Context()
	for {
		var conn ConnTrace
		response, err := transport.RoundTrip(request.WithContext(conn.Context(ctx)))
		if !conn.onlyClosed || ctx.Err() != nil {
			return response, &conn, err
		}
		if err == nil {
			_ = response.Body.Close()
			err = fmt.Errorf("%w: connection was closed before", ErrNotSent)
		}
		repeated, bodyErr := again(request)
		if bodyErr != nil {
			return nil, &conn, err
		}
		request = repeated
	}
}
