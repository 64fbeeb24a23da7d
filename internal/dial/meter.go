package dial

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// meterTime is the time over which a link's rate is averaged.
	meterTime = time.Second
	// meterStep is the shortest time between two values of the rate.
	meterStep = 100 * time.Millisecond
	// packetBytes is what the headers of one packet take of a link beyond its data, packetData the data in one packet.
	packetBytes = 78
	packetData  = 1448
	// fullShare is the part of a link's bandwidth from which on it counts as full, freeShare the one below which it no
	// longer does.
	fullShare = 0.65
	freeShare = 0.35
	// chokedShare is the part from which on large requests are refused, because they would time out.
	chokedShare = 0.85
	// fullTime is the shortest time for which a link counts as full.
	fullTime = 3 * time.Second
	// filledTime is how long a host whose link was full asks callers to stay with other hosts. The balancer sends a caller
	// to the first host of the caller's own order that is ready, so that a busy caller returns as soon as that one is.
	filledTime = time.Minute
)

type (
	// Meter measures the use of this host's link by the connections that it opens and accepts. Set the fields before
	// first use.
	Meter struct {
		Bandwidth float64 // Bytes a second in one direction; zero if unknown.
		Now       func() time.Time

		received atomic.Int64
		sent     atomic.Int64

		mu     sync.Mutex
		in     flow
		out    flow
		last   time.Time
		full   time.Time // When the link was last found full; zero if it is not.
		filled time.Time // When the link was last found full, also if it no longer is.
	}

	// flow is the rate of one direction.
	flow struct {
		seen int64
		rate float64
	}

	meteredConn struct {
		net.Conn
		meter *Meter
	}

	meteredListener struct {
		net.Listener
		meter *Meter
	}
)

// TCP opens a connection that is measured.
func (m *Meter) TCP(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := TCP(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{conn, m}, nil
}

// Listen accepts connections that are measured.
func (m *Meter) Listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	return &meteredListener{listener, m}, nil
}

// Adjust changes the bandwidth.
func (m *Meter) Adjust(bandwidth float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Bandwidth = bandwidth
}

// Full reports whether the link is so full that requests had better come to another host.
func (m *Meter) Full() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now()
	m.step(now)
	most := max(m.in.rate, m.out.rate)
	switch {
	case m.Bandwidth <= 0:
		return false
	case most > fullShare*m.Bandwidth:
		m.full = now
		m.filled = now
	case !m.full.IsZero() && now.Sub(m.full) > fullTime && most < freeShare*m.Bandwidth:
		m.full = time.Time{}
	}
	return !m.full.IsZero()
}

// Filled reports whether the link is full or was full shortly before, so that callers had better stay with other hosts.
func (m *Meter) Filled() bool {
	if m.Full() {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.filled.IsZero() && m.Now().Sub(m.filled) < filledTime
}

// Choked reports whether the link is so full that a large request would time out on it.
func (m *Meter) Choked() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step(m.Now())
	return m.Bandwidth > 0 && max(m.in.rate, m.out.rate) > chokedShare*m.Bandwidth
}

// Rates returns the bytes a second received and sent.
func (m *Meter) Rates() (in, out float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step(m.Now())
	return m.in.rate, m.out.rate
}

// Count adds bytes that were received and sent.
func (m *Meter) Count(received, sent int) {
	if received > 0 {
		m.received.Add(onLink(received))
	}
	if sent > 0 {
		m.sent.Add(onLink(sent))
	}
}

func (m *Meter) step(now time.Time) {
	passed := now.Sub(m.last)
	if m.last.IsZero() || passed > time.Minute {
		m.last = now
		m.in.seen, m.out.seen = m.received.Load(), m.sent.Load()
		return
	}
	if passed < meterStep {
		return
	}
	m.last = now
	m.in.step(m.received.Load(), passed)
	m.out.step(m.sent.Load(), passed)
}

func (f *flow) step(total int64, passed time.Duration) {
	rate := float64(total-f.seen) / passed.Seconds()
	f.seen = total
	f.rate += (rate - f.rate) * min(1, float64(passed)/float64(meterTime))
}

// onLink returns the bytes that data takes of a link.
func onLink(data int) int64 { return int64(data + (data/packetData+1)*packetBytes) }

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.Count(n, 0)
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.Count(0, n)
	return n, err
}

func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{conn, l.meter}, nil
}
