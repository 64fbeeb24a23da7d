// Package drain ends HTTP servers without losing requests. An http.Server drops requests that it reads after its
// Shutdown method was called, and the system resets connections that wait to be accepted when a listener is closed.
package drain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

const (
	// acceptWait is how long a stopped listener waits for a connection that the system has already opened.
	acceptWait = 100 * time.Millisecond
	// maxAcceptTime bounds the time in which a stopped listener waits for connections. Those that the system has opened by
	// then are accepted later, too, unless the system still opens new ones.
	maxAcceptTime = 300 * time.Millisecond
	// pollInterval is the time between two looks at the open connections.
	pollInterval = 10 * time.Millisecond

	tcpFlagsOffset = 13 // Offset of the flags in a TCP header.
	tcpFlagSYN     = 0x02
)

type (
	// Listener accepts the connections of HTTP servers and keeps track of them. Set the exported field before use, and the
	// ConnState field of each server to the method of that name.
	Listener struct {
		TCP TCPListener

		stopping atomic.Bool // Whether connections end once they are idle.

		once    sync.Once
		closed  chan struct{} // Closed when no connection is accepted any more.
		mu      sync.Mutex
		stopEnd time.Time // When a stopped listener stops to wait for connections; zero before Stop.
		dropNew bool      // Whether the system ignores requests for new connections.
		conns   map[*conn]struct{}
	}

	// TCPListener is a listener on a TCP socket without multipath TCP.
	TCPListener interface {
		net.Listener
		syscall.Conn
		SetDeadline(deadline time.Time) error
	}
)

// Listen returns a listener on an address.
func Listen(ctx context.Context, address string) (*Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // Such sockets have no packet filters.
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	tcp, ok := listener.(TCPListener)
	if !ok {
		return nil, errors.Join(trace.BadParameter("%s is no TCP address", address), listener.Close())
	}
	return &Listener{TCP: tcp}, nil
}

// Accept returns the next connection. After Stop it returns the connections that were already open, then closes the
// socket and returns net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	l.once.Do(l.init)
	for {
		stopping, err := l.extendDeadline()
		if err != nil {
			return nil, err
		}
		accepted, err := l.TCP.Accept()
		switch {
		case err == nil:
			return l.track(accepted), nil
		case isTimeout(err) && stopping && !l.mustAccept():
			return nil, errors.Join(net.ErrClosed, l.Close())
		case !isTimeout(err):
			return nil, err
		}
	}
}

// Close closes the socket. The system resets the connections that wait to be accepted.
func (l *Listener) Close() error {
	l.once.Do(l.init)
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		return nil
	default:
		close(l.closed)
		return l.TCP.Close()
	}
}

// Addr returns the address of the socket.
func (l *Listener) Addr() net.Addr { return l.TCP.Addr() }

// Stop closes the listener once Accept has returned the connections that were already open. From then on the system
// refuses new ones.
func (l *Listener) Stop(ctx context.Context) error {
	l.once.Do(l.init)
	l.stopping.Store(true)
	// If this fails, only a connection that is opened near the moment of the close is reset.
	dropNew := dropNewConnections(l.TCP) == nil
	if err := l.beginStop(dropNew); err != nil {
		return errors.Join(trace.Wrap(err), l.Close())
	}
	select {
	case <-l.closed:
	case <-ctx.Done():
		return errors.Join(trace.Wrap(ctx.Err()), l.Close())
	}
	return nil
}

// Drain waits until all connections over HTTP/1.1 are closed, or the context ends. Connections with a request stay open
// until it is answered; the server should ask for the close with each answer. Idle ones are closed. Connections over
// HTTP/2 are left to the Shutdown method of their server, which must not be called earlier.
func (l *Listener) Drain(ctx context.Context) error {
	l.once.Do(l.init)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if l.closeIdle() {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-ticker.C:
		}
	}
}

// ConnState records the state of a connection. It is a hook for http.Server.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	if tracked := unwrap(c); tracked != nil {
		tracked.setState(state, usesHTTP2(c))
	}
}

func (l *Listener) init() {
	l.closed = make(chan struct{})
	l.conns = make(map[*conn]struct{})
}

// beginStop ends the call of Accept that waits.
func (l *Listener) beginStop(dropNew bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.stopEnd, l.dropNew = now.Add(maxAcceptTime), dropNew
	return l.TCP.SetDeadline(now)
}

// extendDeadline gives a stopped listener time to accept one more connection. It reports whether the listener is stopped.
func (l *Listener) extendDeadline() (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopEnd.IsZero() {
		return false, nil
	}
	deadline := time.Now().Add(acceptWait)
	if l.stopEnd.Before(deadline) && (!l.dropNew || !hasInput(l.TCP)) {
		deadline = l.stopEnd
	}
	return true, l.TCP.SetDeadline(deadline)
}

// mustAccept reports whether a stopped listener has to accept a connection that the system has opened. The deadline of
// Accept may have passed before the process looked for one.
func (l *Listener) mustAccept() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return (l.dropNew || time.Now().Before(l.stopEnd)) && hasInput(l.TCP)
}

// track returns a connection that is known to the listener until it is closed.
func (l *Listener) track(accepted net.Conn) net.Conn {
	c := &conn{Conn: accepted, listener: l, stateSince: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c
}

func (l *Listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// closeIdle makes the idle connections end. It reports whether no connection over HTTP/1.1 is left.
func (l *Listener) closeIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	none := true
	for c := range l.conns {
		if !c.endIfIdle() {
			none = false
		}
	}
	return none
}

// dropNewConnections makes the system ignore requests for new connections on a socket.
func dropNewConnections(socket syscall.Conn) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return trace.Wrap(err)
	}
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: tcpFlagSYN, Jt: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 1 << 31}, // Accepts the whole packet.
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},       // Drops the packet.
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	var sockoptErr error
	err = raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	return trace.Wrap(errors.Join(err, sockoptErr))
}

// hasInput reports whether a connection waits to be accepted on a socket, or data or its end to be read.
func hasInput(socket syscall.Conn) bool {
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	pollErr := error(unix.EINTR)
	err = raw.Control(func(fd uintptr) {
		for errors.Is(pollErr, unix.EINTR) {
			ready, pollErr = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		}
	})
	return errors.Join(err, pollErr) == nil && ready > 0
}

// isTimeout reports whether an error says that a deadline has passed.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
