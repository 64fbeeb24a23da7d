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
)

const (
	// DefaultConnections bounds the connections a server accepts at the same time.
	DefaultConnections = 1024
	// accepted is the first byte from a server that has accepted the connection.
	accepted = 0
)

type (
	// Server accepts the connections of other routers.
	Server struct {
		// Address is where the server listens if Listener is nil.
		Address string
		// Listener takes the place of Address.
		Listener net.Listener
		// TLS is required outside loopback.
		TLS *TLS
		// Plain allows connections without TLS outside loopback, where the network itself keeps others out.
		Plain bool
		// Methods are the handlers.
		Methods *Methods
		// Client, if set, reuses accepted connections for its own calls.
		Client *Client
		// Limit bounds one message, Calls the concurrent calls of one connection, Connections the connections.
		Limit       int
		Calls       int
		Connections int
		// Timeout bounds a handler, a handshake and a write.
		Timeout time.Duration
		// Traffic, if set, counts bytes.
		Traffic *Traffic
		// Logger and Metrics may be nil.
		Logger  *zerolog.Logger
		Metrics tally.Scope
	}
)

// Run accepts connections until the context ends.
func (s *Server) Run(ctx context.Context) error {
	listener, err := s.listen()
	if err != nil {
		return err
	}
	logger := s.Logger
	event.PeerListening.Log(logger).Str("address", listener.Addr().String()).Bool("tls", s.TLS != nil).Send()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	serving, cancel := context.WithCancel(ctx)
	slots := make(chan struct{}, cmp.Or(s.Connections, DefaultConnections))
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
			s.ServeConn(serving, conn)
		})
	}
}

// ServeConn serves one connection until it ends.
func (s *Server) ServeConn(ctx context.Context, raw net.Conn) {
	timeout := cmp.Or(s.Timeout, DefaultTimeout)
	conn := count(raw, s.Traffic)
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	secured, err := s.secure(ctx, conn, timeout)
	if err == nil {
		err = welcome(secured, timeout)
	}
	if err != nil {
		s.scope().Counter("refused").Inc(1)
		event.PeerRefused.Log(s.Logger).Str("peer", raw.RemoteAddr().String()).Err(err).Send()
		return
	}
	s.scope().Counter("accepted").Inc(1)
	l := &link{methods: s.Methods, client: s.Client, timeout: timeout}
	l.start(ctx, secured, cmp.Or(s.Limit, DefaultLimit), cmp.Or(s.Calls, DefaultCalls), s.Logger)
	expiry := expire(secured, l)
	defer expiry.Stop()
	<-l.rpc.DisconnectNotify()
}

// secure shakes hands if TLS is set.
func (s *Server) secure(ctx context.Context, conn net.Conn, timeout time.Duration) (net.Conn, error) {
	if s.TLS == nil {
		return conn, nil
	}
	config, err := s.TLS.server(s.Logger)
	if err != nil {
		return nil, err
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	secured := tls.Server(conn, config)
	if err := secured.HandshakeContext(bounded); err != nil {
		return nil, trace.Wrap(ErrCertificate, "%v", err)
	}
	return secured, nil
}

func (s *Server) listen() (net.Listener, error) {
	address := s.Address
	if s.Listener != nil {
		address = s.Listener.Addr().String()
	}
	if s.TLS == nil && !s.Plain && !loopback(address) {
		return nil, trace.Wrap(ErrInsecure, "address %s", address)
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

// welcome writes one byte that tells the other end that it was accepted. In TLS 1.3 the end that dials finishes the
// handshake before its certificate is checked, and could not tell a refused call from one with a lost answer.
func welcome(conn net.Conn, timeout time.Duration) error {
	_ = conn.SetWriteDeadline(time.Now().Add(timeout))
	if _, err := conn.Write([]byte{accepted}); err != nil {
		return trace.Wrap(ErrClosed, "%v", err)
	}
	return nil
}

// awaitWelcome reads the byte that welcome writes.
func awaitWelcome(ctx context.Context, conn net.Conn) error {
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetReadDeadline(deadline)
	}
	var first [1]byte
	if _, err := io.ReadFull(conn, first[:]); err != nil {
		return trace.Wrap(ErrCertificate, "not accepted by the peer: %v", err)
	}
	if first[0] != accepted {
		return trace.Wrap(ErrClosed, "the address is no peer listener")
	}
	return conn.SetReadDeadline(time.Time{})
}

// expire closes the link when the certificate of the other end ends.
func expire(conn net.Conn, l *link) *time.Timer {
	left := 365 * 24 * time.Hour
	if secured, ok := conn.(*tls.Conn); ok {
		left = time.Until(secured.ConnectionState().PeerCertificates[0].NotAfter)
	}
	return time.AfterFunc(left, l.close)
}

// loopback tells whether the address is an IP address of the loopback interface.
func loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
