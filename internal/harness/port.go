// Package harness holds what tests that start routers and servers share.
package harness

import (
	"fmt"
	"testing"

	"golang.org/x/sys/unix"
)

// Reserve returns an address whose port nobody else is given until the test ends. A socket that is bound and does not
// listen keeps the port; servers can listen on it because they set SO_REUSEADDR, as net.Listen does.
func Reserve(t testing.TB) string {
	t.Helper()
	port, err := reserve(t)
	if err != nil {
		t.Fatalf("no port on the loopback interface: %v", err)
	}
	return fmt.Sprintf("127.0.0.1:%d", port)
}

func reserve(t testing.TB) (int, error) {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	t.Cleanup(func() { _ = unix.Close(socket) }) // Nothing was sent on it.
	if err := unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return 0, err
	}
	if err := unix.Bind(socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return 0, err
	}
	name, err := unix.Getsockname(socket)
	if err != nil {
		return 0, err
	}
	bound, ok := name.(*unix.SockaddrInet4)
	if !ok {
		return 0, fmt.Errorf("harness: address of type %T", name)
	}
	return bound.Port, nil
}
