package dial_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/dial"
)

// Guards against a host that keeps accepting connections while its link is congested, and against flapping between
// accepting and refusing them.
func TestCongestedLink(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	m := &dial.LinkMeter{Bandwidth: 1_250_000, Now: func() time.Time { return now }}
	transfer := func(rate int, duration time.Duration) (congested bool) {
		for range int(duration / (100 * time.Millisecond)) {
			m.AddBytes(rate/10, rate/50)
			now = now.Add(100 * time.Millisecond)
			congested = m.Congested()
		}
		return congested
	}
	is.True(!transfer(500_000, 5*time.Second))
	is.True(!m.Saturated())
	is.True(transfer(1_200_000, 3*time.Second))
	is.True(m.Saturated())
	is.True(transfer(700_000, 10*time.Second)) // Not below the lower threshold yet.
	is.True(!transfer(200_000, 6*time.Second))
}

// Guards against a busy caller that returns to a host whose link it has congested as soon as that host is ready again.
func TestRecentlyCongestedLinkIsAvoided(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	m := &dial.LinkMeter{Bandwidth: 1_250_000, Now: func() time.Time { return now }}
	transfer := func(rate int, duration time.Duration) (congested bool) {
		for range int(duration / (100 * time.Millisecond)) {
			m.AddBytes(rate/10, rate/50)
			now = now.Add(100 * time.Millisecond)
			congested = m.RecentlyCongested()
		}
		return congested
	}
	is.True(!transfer(500_000, 5*time.Second))
	is.True(transfer(1_200_000, 3*time.Second))
	is.True(transfer(100_000, 50*time.Second))
	is.True(!m.Congested()) // Requests to backend servers are not delayed any more.
	is.True(!transfer(100_000, 15*time.Second))
}

// Guards against a link of unknown bandwidth that counts as congested.
func TestUnknownBandwidthIsNeverCongested(t *testing.T) {
	is := is.New(t)
	m := &dial.LinkMeter{Now: time.Now}
	m.AddBytes(1<<30, 1<<30)
	is.True(!m.Congested())
}

// Guards against connections of callers whose socket cannot be asked for data that has arrived, so that a planned stop of a
// process that gets no processor time ends them with an unread request.
func TestMeteredConnectionGivesItsSocket(t *testing.T) {
	is := is.New(t)
	meter := &dial.LinkMeter{Now: time.Now}
	listener, err := meter.Listen(t.Context(), "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	conn, err := listener.Accept()
	is.NoErr(err)
	defer conn.Close()
	socket, ok := conn.(syscall.Conn)
	is.True(ok)
	raw, err := socket.SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(uintptr) {}))
}
