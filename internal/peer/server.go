package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/event"
	"citronslip/internal/memory"
)

const (
	// DefaultMaxConnections is the default maximum number of connections that a server keeps open at the same time.
	DefaultMaxConnections = 1024
	// acceptByte is the first byte that a server sends once it has accepted the connection.
	acceptByte = 0
)

type (
	// Server accepts the connections of other routers. Fields are set before Run.
	Server struct {
		// Address is the address to listen on if Listener is nil.
		Address string
		// Listener, if set, is used in place of Address.
		Listener net.Listener
		// TLS is required outside loopback, unless Plain is set.
		TLS *TLS
		// Plain allows connections without TLS outside loopback, for networks that admit only routers of the fleet.
		Plain bool
		// Methods holds the handlers of incoming calls.
		Methods *Methods
		// Client, if set, reuses accepted connections for its own calls.
		Client *Client
		// Limit is the maximum size of a message in bytes; 0 means DefaultMaxMessageBytes. Calls is the maximum number
		// of concurrent calls on one connection in each direction; 0 means DefaultMaxCalls. Connections is the maximum
		// number of open connections; 0 means DefaultMaxConnections.
		Limit       int
		Calls       int
		Connections int
		// Memory is the memory for messages while they are read; unlimited if nil.
		Memory *memory.Budget
		// Timeout bounds a handler, a handshake and a write; 0 means DefaultTimeout.
		Timeout time.Duration
		// Traffic, if set, counts the bytes of all connections.
		Traffic *Traffic
		// Logger and Metrics may be nil.
		Logger  *zerolog.Logger
		Metrics tally.Scope
	}
)

// Run accepts connections until the context ends, then returns nil once all of them are closed. It returns
// ErrTLSRequired if TLS is missing and ErrClosed if the listener fails.
func (s *Server) Run(ctx context.Context) error {
	listener, err := s.listen()
	if err != nil {
		return err
	}
	logger := s.Logger
	event.PeerListening.Log(logger).Str("address", listener.Addr().String()).Bool("tls", s.TLS != nil).Send()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	connCtx, cancel := context.WithCancel(ctx)
	slots := make(chan struct{}, cmp.Or(s.Connections, DefaultMaxConnections))
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return trace.Wrap(ErrClosed, "%v", err)
		}
		select {
		case slots <- struct{}{}:
		default:
			event.PeerRefused.Log(logger).Str("peer", conn.RemoteAddr().String()).Str("reason", "too many connections").Send()
			_ = conn.Close()
			continue
		}
		running.Go(func() {
			defer func() { <-slots }()
			s.ServeConn(connCtx, conn)
		})
	}
}

// ServeConn serves one connection until it ends, the context ends or the peer's certificate expires. It closes the
// connection.
func (s *Server) ServeConn(ctx context.Context, raw net.Conn) {
	timeout := cmp.Or(s.Timeout, DefaultTimeout)
	conn := countTraffic(raw, s.Traffic)
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	secured, err := s.handshake(ctx, conn, timeout)
	if err == nil {
		err = sendAccept(secured, timeout)
	}
	if err != nil {
		s.scope().Counter("refused").Inc(1)
		event.PeerRefused.Log(s.Logger).Str("peer", raw.RemoteAddr().String()).Err(err).Send()
		return
	}
	s.scope().Counter("accepted").Inc(1)
	rc := &rpcConn{methods: s.Methods, client: s.Client, timeout: timeout}
	rc.start(ctx, secured, cmp.Or(s.Limit, DefaultMaxMessageBytes), cmp.Or(s.Calls, DefaultMaxCalls), s.Memory, s.Logger)
	expiry := closeAtExpiry(secured, rc)
	defer expiry.Stop()
	<-rc.rpc.DisconnectNotify()
}

// handshake completes the TLS handshake, or returns the connection as it is if TLS is not set.
func (s *Server) handshake(ctx context.Context, conn net.Conn, timeout time.Duration) (net.Conn, error) {
	if s.TLS == nil {
		return conn, nil
	}
	config, err := s.TLS.serverConfig(s.Logger)
	if err != nil {
		return nil, err
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	tlsConn := tls.Server(conn, config)
	if err := tlsConn.HandshakeContext(timeoutCtx); err != nil {
		return nil, trace.Wrap(ErrCertificate, "%v", err)
	}
	return tlsConn, nil
}

func (s *Server) listen() (net.Listener, error) {
	address := s.Address
	if s.Listener != nil {
		address = s.Listener.Addr().String()
	}
	if s.TLS == nil && !s.Plain && !isLoopback(address) {
		return nil, trace.Wrap(ErrTLSRequired, "address %s", address)
	}
	if s.Listener != nil {
		return s.Listener, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(ErrClosed, "%v", err)
	}
	return listener, nil
}

func (s *Server) scope() tally.Scope {
	if s.Metrics == nil {
		return tally.NoopScope
	}
	return s.Metrics
}

// sendAccept writes the accept byte. In TLS 1.3 the dialing side completes the handshake before the server has verified
// its certificate. Without the byte it could not tell a rejected connection, whose calls were not sent, from a lost
// answer.
func sendAccept(conn net.Conn, timeout time.Duration) error {
	_ = conn.SetWriteDeadline(time.Now().Add(timeout))
	if _, err := conn.Write([]byte{acceptByte}); err != nil {
		return trace.Wrap(ErrClosed, "%v", err)
	}
	return nil
}

// awaitAccept reads the accept byte until the deadline of the context.
func awaitAccept(ctx context.Context, conn net.Conn) error {
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetReadDeadline(deadline)
	}
	var first [1]byte
	if _, err := io.ReadFull(conn, first[:]); err != nil {
		return trace.Wrap(ErrCertificate, "not accepted by the peer: %v", err)
	}
	if first[0] != acceptByte {
		return trace.Wrap(ErrClosed, "the address does not belong to a peer listener")
	}
	return conn.SetReadDeadline(time.Time{})
}

// closeAtExpiry closes the connection when the certificate of the peer expires, or after a year without TLS. It returns
// the timer to stop when the connection ends earlier.
func closeAtExpiry(conn net.Conn, rc *rpcConn) *time.Timer {
	remaining := 365 * 24 * time.Hour
	if tlsConn, ok := conn.(*tls.Conn); ok {
		remaining = time.Until(tlsConn.ConnectionState().PeerCertificates[0].NotAfter)
	}
	return time.AfterFunc(remaining, rc.close)
}

// isLoopback reports whether the address, of the form IP:port, is a loopback address.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
