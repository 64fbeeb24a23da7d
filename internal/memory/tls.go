package memory

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"citronslip/internal/delay"
)

const (
	// handshakeTimeout limits the time of a TLS handshake.
	handshakeTimeout = 10 * time.Second
	// acceptRetryDelay is the wait after a temporary error of the listener below, such as a lack of file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
)

type (
	// TLSListener accepts connections with TLS. Those over HTTP/1.1 are scanned, those over HTTP/2 are returned as *tls.Conn,
	// as net/http expects them. Set the exported fields before first use.
	TLSListener struct {
		net.Listener // Returns connections of Guard.
		Guard        *Guard
		Config       *tls.Config

		once       sync.Once
		accepted   chan net.Conn
		ended      chan struct{} // Closed when no connection follows.
		err        error         // Set before ended is closed.
		handshakes sync.WaitGroup
	}
)

// Accept returns the next connection whose handshake is complete.
func (l *TLSListener) Accept() (net.Conn, error) {
	l.once.Do(func() {
		l.accepted, l.ended = make(chan net.Conn), make(chan struct{})
		go l.acceptAll()
	})
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.ended:
		return nil, l.err
	}
}

// acceptAll accepts connections until the listener is closed.
func (l *TLSListener) acceptAll() {
	for {
		conn, err := l.Listener.Accept()
		if isTemporary(err) {
			delay.Sleep(context.Background(), acceptRetryDelay)
			continue
		}
		if err != nil {
			l.handshakes.Wait()
			l.err = err
			close(l.ended)
			return
		}
		l.handshakes.Go(func() {
			if secured := l.handshake(conn); secured != nil {
				l.accepted <- secured
			}
		})
	}
}

// isTemporary reports whether net/http would call Accept again after the error.
func isTemporary(err error) bool {
	var temporary interface{ Temporary() bool }
	return errors.As(err, &temporary) && temporary.Temporary()
}

// handshake returns the connection for net/http, or nil if the handshake failed.
func (l *TLSListener) handshake(conn net.Conn) net.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	secured := tls.Server(conn, l.Config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close() // Nothing was sent that a caller needs.
		return nil
	}
	below, _ := conn.(*Conn)
	if secured.ConnectionState().NegotiatedProtocol != "h2" {
		above := &Conn{Conn: secured, guard: l.Guard, below: below, lastRead: time.Now()}
		if below != nil {
			below.mu.Lock()
			defer below.mu.Unlock()
			below.above = above
		}
		return above
	}
	if below != nil && !below.reserveHTTP2() {
		_ = conn.Close() // No request was received.
		return nil
	}
	return secured
}

// reserveHTTP2 reserves the memory of a connection over HTTP/2.
func (c *Conn) reserveHTTP2() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && c.reserveExtra(http2ConnBytes)
}
