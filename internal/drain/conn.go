package drain

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// minIdleTime is how long a connection must have been idle before it is closed.
	minIdleTime = 250 * time.Millisecond
	// maxUnusedTime is how long a new connection may stay open without a request. A request that comes later may not be
	// answered within the grace period.
	maxUnusedTime = 250 * time.Millisecond
	// finalReadTime is how long an idle connection waits for data before it ends. It is shorter than a caller takes to send its
	// next request: one that is taken late may not be answered within the grace period.
	finalReadTime = 2 * time.Millisecond
)

var (
	// http2Preface is the start of the first data on a connection over HTTP/2.
	http2Preface = []byte("PRI ")
)

type (
	// conn is a connection that ends as soon as it is idle once endIfIdle was called: the next read finds either data
	// or the end of the connection. So no request is lost that has arrived before.
	conn struct {
		net.Conn
		listener *Listener

		mu         sync.Mutex
		state      http.ConnState
		stateSince time.Time
		received   bool      // Whether data came since the connection was new or idle.
		used       bool      // Whether data came at all.
		http2      bool      // Whether the protocol is HTTP/2.
		deadline   time.Time // Read deadline that the server has set.
		ending     bool      // Whether the connection ends if no data has arrived.
		deadlines  int       // Number of read deadlines set since the connection is idle.
	}

	// writeCloser is a connection that can be closed in one direction.
	writeCloser interface {
		CloseWrite() error
	}
)

// Read reads data. While the connection ends, it returns io.EOF if none has arrived.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n == 0 && isTimeout(err) && c.isEnding() {
		n, err = c.readFinally(data)
	}
	if n > 0 {
		c.recordData(data[:n])
	}
	return n, err
}

// readFinally reads data that has arrived, or returns io.EOF.
func (c *conn) readFinally(data []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(finalReadTime)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(data)
	if !isTimeout(err) {
		return n, err
	}
	// The deadline may have passed before the process looked for data.
	if socket, ok := c.Conn.(syscall.Conn); !ok || !hasInput(socket) {
		return 0, io.EOF
	}
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	return c.Conn.Read(data)
}

// SetReadDeadline sets the read deadline, which takes effect only if the connection does not end.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	if c.state == http.StateIdle {
		// net/http sets one deadline when the connection becomes idle and the next when it has a request, which may have
		// come together with the one before. It reports the state of such a request only if it reads more data.
		if c.deadlines++; c.deadlines > 1 {
			c.received, c.ending = true, false
		}
	}
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// CloseWrite closes the sending direction if the connection supports that.
func (c *conn) CloseWrite() error {
	if writer, ok := c.Conn.(writeCloser); ok {
		return writer.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *conn) Close() error {
	c.listener.forget(c)
	return c.Conn.Close()
}

func (c *conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// recordData records that data has arrived, so that the connection is not idle.
func (c *conn) recordData(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.used && bytes.HasPrefix(data, http2Preface) {
		c.http2 = true
	}
	c.received, c.used = true, true
	if c.ending {
		c.ending = false
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

func (c *conn) setState(state http.ConnState, http2 bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.stateSince = state, time.Now()
	c.http2 = c.http2 || http2
	if state != http.StateIdle {
		return
	}
	c.received, c.deadlines = false, 0
	if c.listener.stopping.Load() && !c.http2 {
		// The response may have begun before the stop, so that it did not ask for the close.
		c.end()
	}
}

// end makes the connection end. The caller holds the lock.
func (c *conn) end() {
	c.ending = true
	_ = c.Conn.SetReadDeadline(time.Now())
}

// endIfIdle makes the connection end if it is idle. It reports whether the connection uses HTTP/2.
func (c *conn) endIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.http2 {
		return true
	}
	age := time.Since(c.stateSince)
	idle := c.state == http.StateIdle && age >= minIdleTime || c.state == http.StateNew && age >= maxUnusedTime
	if idle && !c.received && !c.ending {
		c.end()
	}
	return false
}

// unwrap returns the connection below TLS and other layers that tell theirs, or nil if no Listener has accepted it.
func unwrap(c net.Conn) *conn {
	for c != nil {
		if tracked, ok := c.(*conn); ok {
			return tracked
		}
		layer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = layer.NetConn()
	}
	return nil
}

// usesHTTP2 reports whether HTTP/2 was agreed on in the TLS handshake.
func usesHTTP2(c net.Conn) bool {
	encrypted, ok := c.(*tls.Conn)
	return ok && encrypted.ConnectionState().NegotiatedProtocol == "h2"
}

// SetLinger sets the linger time if the connection supports that.
func (c *conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}
