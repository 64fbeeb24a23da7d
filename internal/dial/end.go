package dial

import (
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

type (
	// endConn is a connection whose Read tells the end of the peer's data from the loss of the connection.
	endConn struct {
		net.Conn
		raw syscall.RawConn
	}
)

// WithLossDetection returns the connection with a Read that returns io.EOF only if the peer has ended its data. The system
// reports the loss of a connection once: after a Write has learned of it, a Read would return io.EOF.
func WithLossDetection(conn net.Conn) net.Conn {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return conn
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return conn
	}
	return &endConn{conn, raw}
}

// Read reads data.
func (c *endConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err == io.EOF && c.lost() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// lost reports whether the connection was reset, has timed out, or was closed on this side during the read. While only the
// peer has ended its data, its state is another.
func (c *endConn) lost() bool {
	lost := false
	err := c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		lost = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return lost || err != nil
}
