package dial_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/dial"
)

// Guards against a response that looks complete because the write of its request has learned of the reset.
func TestReadReportsResetThatWriteLearnedOf(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	conn, err := dial.TCP(t.Context(), "tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	peer, err := listener.(*net.TCPListener).AcceptTCP()
	is.NoErr(err)
	_, err = io.WriteString(peer, "half")
	is.NoErr(err)
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, messageBytes))
		written <- err
	}()
	time.Sleep(50 * time.Millisecond)
	is.NoErr(peer.SetLinger(0))
	is.NoErr(peer.Close())
	is.True(<-written != nil)
	data, err := io.ReadAll(conn)
	is.Equal(string(data), "half")
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// Guards against the end of a response without a length that is taken for the loss of its connection.
func TestReadReportsEndOfData(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	conn, err := dial.TCP(t.Context(), "tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	peer, err := listener.Accept()
	is.NoErr(err)
	_, err = io.WriteString(peer, "whole")
	is.NoErr(err)
	is.NoErr(peer.Close())
	data, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(string(data), "whole")
}
