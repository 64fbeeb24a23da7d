package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"
)

const (
	// minFinalStatus and maxStatus bound the statuses of responses that end a request.
	minFinalStatus = 200
	maxStatus      = 599
)

var (
	errInvalidStatus = errors.New("proxy: response has an invalid status")
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
		var sent upload
		response, err := transport.RoundTrip(request.WithContext(conn.Context(sent.context(ctx))))
		if !conn.onlyClosed || ctx.Err() != nil {
			if err == nil {
				err = checkStatus(response, &conn)
			}
			if err != nil {
				return nil, &conn, err
			}
			sent.guard(request, response)
			return response, &conn, nil
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

// checkStatus returns an error for a response whose status is invalid, and closes its connection.
func checkStatus(response *http.Response, conn *ConnTrace) error {
	err := CheckStatus(response)
	if err != nil {
		_ = response.Body.Close()
		conn.Close()
	}
	return err
}

// CheckStatus returns an error if the status of a response is none of a final HTTP response. net/http accepts all statuses
// of three digits, and 101 although no request asks for another protocol.
func CheckStatus(response *http.Response) error {
	if response.StatusCode < minFinalStatus || response.StatusCode > maxStatus {
		return fmt.Errorf("%w: %03d", errInvalidStatus, response.StatusCode)
	}
	return nil
}
