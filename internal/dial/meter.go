package dial

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// averagingWindow is the time constant of the moving average of a link's rate.
	averagingWindow = time.Second
	// minSampleInterval is the minimum time between two samples of the rate.
	minSampleInterval = 100 * time.Millisecond
	// packetHeaderBytes is the overhead of one packet on the link, packetPayloadBytes the maximum data in one packet.
	packetHeaderBytes  = 78
	packetPayloadBytes = 1448
	// congestedShare is the utilization of the bandwidth above which a link counts as congested. It counts as
	// uncongested again below uncongestedShare. The gap between the two prevents flapping.
	congestedShare   = 0.65
	uncongestedShare = 0.35
	// saturatedShare is the utilization above which large requests are refused, because they would time out.
	saturatedShare = 0.85
	// minCongestedTime is the minimum time for which a link counts as congested after its rate exceeded the threshold.
	minCongestedTime = 3 * time.Second
	// congestionCooldown is how long callers are asked to use other hosts after a link was congested. The load balancer
	// sends a caller to the first ready host in the caller's own order, so a busy caller would otherwise return as soon
	// as this host is ready, and congest it again.
	congestionCooldown = time.Minute
)

type (
	// LinkMeter measures the utilization of the host's link by the connections that it opens and accepts. Set the
	// fields before first use.
	LinkMeter struct {
		Bandwidth float64 // Bytes per second in each direction. Zero means unknown, and never congested.
		Now       func() time.Time
		// Open, if set, opens the connections to backend servers in place of a TCP dialer.
		Open func(ctx context.Context, network, address string) (net.Conn, error)

		received atomic.Int64 // Bytes, with packet headers.
		sent     atomic.Int64 // Bytes, with packet headers.

		mu            sync.Mutex
		in            rateEstimate
		out           rateEstimate
		lastSample    time.Time // Time of the last sample.
		congestedAt   time.Time // When the rate last exceeded congestedShare; zero if the link is not congested.
		lastCongested time.Time // When the rate last exceeded congestedShare; not reset when the congestion ends.
	}

	// rateEstimate is a moving average of the rate in one direction.
	rateEstimate struct {
		lastTotal int64   // Total bytes at the last sample.
		rate      float64 // Bytes per second.
	}

	// meteredConn is a connection whose traffic is measured.
	meteredConn struct {
		net.Conn
		meter *LinkMeter
	}

	// MeteredListener accepts connections whose traffic is measured.
	MeteredListener struct {
		*net.TCPListener
		meter *LinkMeter
	}
)

// TCP opens a connection to a backend server whose traffic is measured.
func (m *LinkMeter) TCP(ctx context.Context, network, address string) (net.Conn, error) {
	open := m.Open
	if open == nil {
		open = backendLimits.dial
	}
	conn, err := open(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{conn, m}, nil
}

// Listen returns a TCP listener on an address for connections of callers. The traffic of its connections is measured.
func (m *LinkMeter) Listen(ctx context.Context, address string) (*MeteredListener, error) {
	listener, err := callerLimits.listen(ctx, address)
	if err != nil {
		return nil, err
	}
	return &MeteredListener{listener, m}, nil
}

// SetBandwidth sets the bandwidth in bytes per second.
func (m *LinkMeter) SetBandwidth(bandwidth float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Bandwidth = bandwidth
}

// Congested reports whether the link is congested, so that new requests should go to other hosts.
func (m *LinkMeter) Congested() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now()
	m.sample(now)
	rate := max(m.in.rate, m.out.rate)
	switch {
	case m.Bandwidth <= 0:
		return false
	case rate > congestedShare*m.Bandwidth:
		m.congestedAt = now
		m.lastCongested = now
	case !m.congestedAt.IsZero() && now.Sub(m.congestedAt) > minCongestedTime && rate < uncongestedShare*m.Bandwidth:
		m.congestedAt = time.Time{}
	}
	return !m.congestedAt.IsZero()
}

// RecentlyCongested reports whether the link is congested or was within congestionCooldown, so that callers should use
// other hosts.
func (m *LinkMeter) RecentlyCongested() bool {
	if m.Congested() {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.lastCongested.IsZero() && m.Now().Sub(m.lastCongested) < congestionCooldown
}

// Saturated reports whether the link is saturated, so that a large request would time out.
func (m *LinkMeter) Saturated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sample(m.Now())
	return m.Bandwidth > 0 && max(m.in.rate, m.out.rate) > saturatedShare*m.Bandwidth
}

// Rates returns the average rates of received and sent data in bytes per second, with packet headers.
func (m *LinkMeter) Rates() (in, out float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sample(m.Now())
	return m.in.rate, m.out.rate
}

// AddBytes adds bytes of payload that were received and sent.
func (m *LinkMeter) AddBytes(received, sent int) {
	if received > 0 {
		m.received.Add(linkBytes(received))
	}
	if sent > 0 {
		m.sent.Add(linkBytes(sent))
	}
}

// sample updates the rates, at most once per minSampleInterval. The first call, and a call after more than a minute
// without one, only records the totals and leaves the rates as they were.
func (m *LinkMeter) sample(now time.Time) {
	elapsed := now.Sub(m.lastSample)
	if m.lastSample.IsZero() || elapsed > time.Minute {
		m.lastSample = now
		m.in.lastTotal, m.out.lastTotal = m.received.Load(), m.sent.Load()
		return
	}
	if elapsed < minSampleInterval {
		return
	}
	m.lastSample = now
	m.in.update(m.received.Load(), elapsed)
	m.out.update(m.sent.Load(), elapsed)
}

// update takes a new sample into the moving average.
func (e *rateEstimate) update(total int64, elapsed time.Duration) {
	rate := float64(total-e.lastTotal) / elapsed.Seconds()
	e.lastTotal = total
	e.rate += (rate - e.rate) * min(1, float64(elapsed)/float64(averagingWindow))
}

// linkBytes returns the bytes that a payload takes on the link, including packet headers.
func linkBytes(payload int) int64 {
	return int64(payload + (payload/packetPayloadBytes+1)*packetHeaderBytes)
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.AddBytes(n, 0)
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.AddBytes(0, n)
	return n, err
}

// SyscallConn returns the socket of the connection. Its error is errors.ErrUnsupported if the connection has none.
func (c *meteredConn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// Accept returns the next connection.
func (l *MeteredListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{conn, l.meter}, nil
}
