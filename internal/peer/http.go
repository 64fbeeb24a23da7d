package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"citronslip/internal/dial"
)

const (
	// secureTimeout limits the TLS handshake of a connection for HTTP requests.
	secureTimeout = 1500 * time.Millisecond
)

type (
	// expiringConn is a connection that is closed when the certificate of the peer expires.
	expiringConn struct {
		net.Conn
		expiry *time.Timer
	}
)

// DialHTTP opens a connection to another router for HTTP requests, with the client's TLS. Its errors are *net.OpError
// of a dial, as no request was sent. Its signature is that of the DialContext field of http.Transport.
func (c *Client) DialHTTP(ctx context.Context, network, address string) (net.Conn, error) {
	if c.TLS == nil && !isLoopback(address) {
		return nil, &net.OpError{Op: "dial", Net: network, Err: ErrTLSRequired}
	}
	raw, err := dial.TCP(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := countTraffic(raw, c.Traffic)
	if c.TLS == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, secureTimeout)
	defer cancel()
	secured, err := c.handshake(ctx, conn)
	if err != nil {
		_ = raw.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	return expire(secured), nil
}

// SecureListener returns a listener that expects the certificate of a router on each connection. The files are read
// again when they change.
func (s *Server) SecureListener(listener net.Listener) net.Listener {
	if s.TLS == nil {
		return listener
	}
	return tls.NewListener(listener, &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.TLS.serverConfig(s.Logger) },
	})
}

// expire returns the connection, which is closed when the certificate of the peer expires.
func expire(conn net.Conn) net.Conn {
	secured, ok := conn.(*tls.Conn)
	if !ok {
		return conn
	}
	remaining := time.Until(secured.ConnectionState().PeerCertificates[0].NotAfter)
	return &expiringConn{Conn: conn, expiry: time.AfterFunc(remaining, func() { _ = conn.Close() })}
}

// Close closes the connection.
func (c *expiringConn) Close() error {
	c.expiry.Stop()
	return c.Conn.Close()
}
