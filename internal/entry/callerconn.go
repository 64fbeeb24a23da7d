package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"

	"github.com/rs/zerolog"

	"citronslip/internal/dial"
	"citronslip/internal/event"
	"citronslip/internal/memory"
)

type (
	// callerConn is a connection of a caller that logs why it ended while a request was being served.
	callerConn struct {
		net.Conn
		logger  *zerolog.Logger
		serving atomic.Bool // Whether a handler is serving a request.
		failed  atomic.Bool // Whether the end of the connection has been logged.
	}

	// callerConnKey is the key of the connection in the context of a request.
	callerConnKey struct{}
)

func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	// net/http interrupts its pending read by a read deadline when a response is complete.
	if err != nil && c.serving.Load() && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.logEnd("read", err)
	}
	return n, err
}

func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.logEnd("write", err)
	}
	return n, err
}

// logEnd logs the first error of the connection. A connection that the router itself has closed is no error.
func (c *callerConn) logEnd(operation string, err error) {
	if errors.Is(err, net.ErrClosed) || c.failed.Swap(true) {
		return
	}
	event.CallerDisconnected.Log(c.logger).Str("peer", c.RemoteAddr().String()).Str("operation", operation).
		Bool("closed", errors.Is(err, io.EOF)).Err(err).Send()
}

// NetConn returns the connection below.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// withCallerConn adds the connection to the context of its requests.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(memory.ConnContext(ctx, conn), callerConnKey{}, conn)
}

// logPanics serves a request and logs a panic of the handler, which ends the connection without a response.
func logPanics(logger *zerolog.Logger, handler http.Handler, w http.ResponseWriter, r *http.Request) {
	if conn, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok {
		conn.serving.Store(true)
		defer conn.serving.Store(false)
	}
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		if value != http.ErrAbortHandler {
			event.CallerHandlerPanicked.Log(logger).Str("peer", r.RemoteAddr).Any("cause", value).Bytes("stack", debug.Stack()).Send()
		}
		dial.AbortHTTP10(w, r)
		panic(http.ErrAbortHandler)
	}()
	handler.ServeHTTP(w, r)
}
