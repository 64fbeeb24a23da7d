// Package dial opens and accepts TCP connections that notice a silent peer.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Silence is how long a peer may leave sent bytes or probes unacknowledged before the connection is given up.
	Silence = 1500 * time.Millisecond
	// probe is the time between two probes of an idle connection.
	probe = 500 * time.Millisecond
	// probes is the number of unanswered probes that end a connection.
	probes = 3
	// Timeout bounds the opening of a connection.
	Timeout = 700 * time.Millisecond
)

var (
	keepAlive = net.KeepAliveConfig{Enable: true, Idle: probe, Interval: probe, Count: probes}
)

// TCP opens a connection.
func TCP(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: Timeout, KeepAliveConfig: keepAlive, Control: control}
	return dialer.DialContext(ctx, network, address)
}

// Listen accepts connections on an address.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: control}
	return config.Listen(ctx, "tcp", address)
}

// control bounds the time for which sent bytes may stay unacknowledged.
func control(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(Silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
