package harness_test

import (
	"net"
	"os"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/harness"
)

// Guards against a reserved port that the system assigns to another test or to an outgoing connection before the server
// listens on it, and against one on which the server cannot listen, or cannot listen again after a restart.
func TestReservedPort(t *testing.T) {
	const others = 2000
	is := is.New(t)
	address := harness.ReservePort(t)
	seen := map[string]bool{address: true}
	for range others {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		is.True(!seen[listener.Addr().String()])
		_ = listener.Close()
	}
	for range 2 {
		listener, err := net.Listen("tcp", address)
		is.NoErr(err)
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		_ = conn.Close()
		_ = listener.Close()
	}
}

// Guards against a pair whose second port is reserved already, or on which a server cannot listen.
func TestReservedPortPair(t *testing.T) {
	const pairs = 300
	is := is.New(t)
	seen := make(map[int]bool)
	for range pairs {
		first := harness.ReservePortPair(t)
		for _, port := range []int{first, first + 1} {
			is.True(!seen[port])
			seen[port] = true
			listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
			is.NoErr(err)
			_ = listener.Close()
		}
	}
}

// Guards against pairs that keep ports reserved which they do not return, until none is left on a machine on which the
// second port is often taken.
func TestReservedPortPairHoldsTwoPorts(t *testing.T) {
	const (
		conns = 400 // They take ports that would be the second ones.
		pairs = 300
	)
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	for range conns {
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { conn.Close() })
		accepted, err := listener.Accept()
		is.NoErr(err)
		t.Cleanup(func() { accepted.Close() })
	}
	before := openFiles(t)
	for range pairs {
		harness.ReservePortPair(t)
	}
	is.Equal(openFiles(t)-before, 2*pairs)
}

// openFiles returns the number of open files of the process.
func openFiles(t *testing.T) int {
	t.Helper()
	files, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(files)
}
