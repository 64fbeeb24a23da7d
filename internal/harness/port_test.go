package harness_test

import (
	"net"
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
