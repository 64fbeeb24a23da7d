package dial

import (
	"net"
	"net/http"
)

type (
	// lingerer is a connection that can be reset.
	lingerer interface {
		SetLinger(seconds int) error
	}
)

// AbortHTTP10 resets the connection of a request over HTTP/1.0 whose response is cut short, and does nothing for other
// requests. A response over HTTP/1.0 may end with its connection, so that a regular end would make it look complete.
func AbortHTTP10(w http.ResponseWriter, r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	// The close of a TLS connection would send its regular end, so that the connection below it is closed first.
	below := innermost(conn)
	ResetOnClose(below)
	_ = below.Close()
	_ = conn.Close()
}

// innermost returns the connection below all that wrap it.
func innermost(conn net.Conn) net.Conn {
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return conn
		}
		conn = wrapper.NetConn()
	}
}

// ResetOnClose has the close of a connection reset it.
func ResetOnClose(conn net.Conn) {
	if l, ok := conn.(lingerer); ok {
		_ = l.SetLinger(0) // Fails only on a connection that is closed.
	}
}

// SetLinger sets the linger time of the connection below.
func (c *meteredConn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(lingerer); ok {
		return l.SetLinger(seconds)
	}
	return nil
}
