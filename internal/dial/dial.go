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
	// UserTimeout is how long sent data or keep-alive probes may stay unacknowledged before the connection is closed.
	UserTimeout = 1500 * time.Millisecond
	// keepAliveInterval is the interval of keep-alive probes on an idle connection, and the idle time before the first
	// one.
	keepAliveInterval = 500 * time.Millisecond
	// maxUnansweredProbes is the number of unanswered keep-alive probes after which a connection is closed.
	maxUnansweredProbes = 3
	// ConnectTimeout limits the time for opening a connection.
	ConnectTimeout = 700 * time.Millisecond
)

var (
	keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: maxUnansweredProbes}
)

// TCP opens a connection. Its signature is that of the DialContext field of http.Transport.
func TCP(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: ConnectTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return dialer.DialContext(ctx, network, address)
}

// Listen returns a TCP listener on an address, without multipath TCP.
func Listen(ctx context.Context, address string) (*net.TCPListener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
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

// setUserTimeout limits the time for which sent data may stay unacknowledged, by the option TCP_USER_TIMEOUT of the
// socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
