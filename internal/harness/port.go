// Package harness provides helpers for tests that start routers and servers.
package harness

import (
	"fmt"
	"testing"

	"golang.org/x/sys/unix"
)

// ReservePort returns a loopback address whose port the system assigns to nobody else until the test ends. The port is
// held by a socket that is bound but does not listen. A server can listen on it all the same if it sets SO_REUSEADDR,
// as net.Listen does.
func ReservePort(t testing.TB) string {
	t.Helper()
	port, err := bindPort(t)
	if err != nil {
		t.Fatalf("cannot reserve a port on the loopback interface: %v", err)
	}
	return fmt.Sprintf("127.0.0.1:%d", port)
}

// bindPort binds a socket to a free loopback port until the test ends and returns the port.
func bindPort(t testing.TB) (int, error) {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	t.Cleanup(func() { _ = unix.Close(socket) }) // Nothing was written to it, so that an error loses no data.
	if err := unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return 0, err
	}
	if err := unix.Bind(socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return 0, err
	}
	sockaddr, err := unix.Getsockname(socket)
	if err != nil {
		return 0, err
	}
	bound, ok := sockaddr.(*unix.SockaddrInet4)
	if !ok {
		return 0, fmt.Errorf("harness: bound socket has an address of type %T, not IPv4", sockaddr)
	}
	return bound.Port, nil
}
