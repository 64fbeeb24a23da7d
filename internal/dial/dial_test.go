package dial_test

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/dial"
)

const (
	// messageBytes exceeds what the buffers of a connection hold.
	messageBytes = 16 << 20
)

// writeToPausingPeer writes a message to a peer that reads nothing for a time, and checks that it receives all of it.
func writeToPausingPeer(t *testing.T, conn, peer net.Conn, pause time.Duration) {
	t.Helper()
	is := is.New(t)
	defer func() { _ = conn.Close() }()
	defer func() { _ = peer.Close() }()
	written := make(chan error, 1)
	go func() {
		_, err := io.Copy(conn, bytes.NewReader(make([]byte, messageBytes)))
		_ = conn.Close()
		written <- err
	}()
	time.Sleep(pause)
	n, err := io.Copy(io.Discard, peer)
	is.NoErr(<-written)
	is.NoErr(err)
	is.Equal(n, int64(messageBytes))
}

// Guards against the loss of a response whose caller reads nothing for a few seconds.
func TestCallerMayPauseReading(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	meter := &dial.LinkMeter{Now: time.Now}
	listener, err := meter.Listen(t.Context(), "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	caller, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	conn, err := listener.Accept()
	is.NoErr(err)
	writeToPausingPeer(t, conn, caller, 4*time.Second)
}

// Guards against the loss of a request whose backend server reads nothing for less than two seconds.
func TestBackendServerMayPauseReading(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	meter := &dial.LinkMeter{Now: time.Now}
	conn, err := meter.TCP(t.Context(), "tcp", listener.Addr().String())
	is.NoErr(err)
	server, err := listener.Accept()
	is.NoErr(err)
	writeToPausingPeer(t, conn, server, 1900*time.Millisecond)
}
