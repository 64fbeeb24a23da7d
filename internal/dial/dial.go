// Package dial opens and accepts TCP connections that detect an unresponsive peer, and measures the use of the host's
// link.
package dial

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// ConnectTimeout limits the time for opening a connection.
	ConnectTimeout = 700 * time.Millisecond
)

var (
	// internalLimits apply to connections with other routers and the store. These may go silent for good, and another
	// one can be used instead.
	internalLimits = peerLimits{
		unacknowledged: 1500 * time.Millisecond,
		keepAlive:      net.KeepAliveConfig{Enable: true, Idle: 500 * time.Millisecond, Interval: 500 * time.Millisecond, Count: 3},
	}
	// backendLimits apply to connections to backend servers. A sound server may be silent for more than a second.
	backendLimits = peerLimits{
		unacknowledged: 2 * time.Second,
		keepAlive:      net.KeepAliveConfig{Enable: true, Idle: 500 * time.Millisecond, Interval: 500 * time.Millisecond, Count: 4},
	}
	// callerLimits apply to connections of callers. A caller may read slowly or use a slow link, and its request has no
	// other connection.
	callerLimits = peerLimits{
		unacknowledged: 12 * time.Second,
		keepAlive:      net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: 3 * time.Second, Count: 3},
	}
)

type (
	// peerLimits are the times after which the kernel closes a connection whose peer does not respond.
	peerLimits struct {
		// unacknowledged is how long sent data may stay unacknowledged, data to be sent may wait for a peer that does not
		// read, and keep-alive probes may stay unanswered.
		unacknowledged time.Duration
		keepAlive      net.KeepAliveConfig
	}
)

// TCP opens a connection to another router or the store. Its signature is that of the DialContext field of
// http.Transport.
func TCP(ctx context.Context, network, address string) (net.Conn, error) {
	return internalLimits.dial(ctx, network, address)
}

// Backend opens a connection to a backend server. Its signature is that of the DialContext field of http.Transport.
func Backend(ctx context.Context, network, address string) (net.Conn, error) {
	return backendLimits.dial(ctx, network, address)
}

// Listen returns a TCP listener on an address for connections of other routers and of the host's platform.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	return internalLimits.listen(ctx, address)
}

func (l *peerLimits) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: ConnectTimeout, KeepAliveConfig: l.keepAlive, Control: l.control}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return WithLossDetection(conn), nil
}

// listen returns a TCP listener on an address, without multipath TCP.
func (l *peerLimits) listen(ctx context.Context, address string) (*net.TCPListener, error) {
	config := net.ListenConfig{KeepAliveConfig: l.keepAlive, Control: l.control}
	config.SetMultipathTCP(false) // Such sockets have no packet filters.
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, errors.Join(net.InvalidAddrError(address), listener.Close())
	}
	return tcp, nil
}

// control sets the option TCP_USER_TIMEOUT of a socket.
func (l *peerLimits) control(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
