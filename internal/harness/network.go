package harness

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// NoCut leaves all connections as they are.
	NoCut CutMode = iota
	// HangCut loses all data of open connections, and new ones are not opened.
	HangCut
	// ResetCut resets open connections and refuses new ones.
	ResetCut
	// RefuseCut refuses new connections; open ones live on.
	RefuseCut
	// PauseCut does not open new connections, and holds the data of open ones back until its end, as the kernel sends
	// again what was lost in a short partition.
	PauseCut

	// pausePollInterval is the time between two looks at whether PauseCut has ended.
	pausePollInterval = 5 * time.Millisecond
	// silentPeerTimeout is how long the kernel keeps a connection whose peer does not respond.
	silentPeerTimeout = 2 * time.Second
	// hangTimeout is how long the opening of a connection takes to fail during HangCut.
	hangTimeout = 700 * time.Millisecond
)

type (
	// CutMode is how a Network is cut.
	CutMode int

	// Network is the network between one router and the backend servers, which can be cut. The zero value is ready for use.
	Network struct {
		mu     sync.Mutex
		mode   CutMode
		conns  map[*cutConn]struct{}
		opened int // Connections opened.
	}

	// cutConn is a connection to a backend server.
	cutConn struct {
		net.Conn
		network *Network
	}
)

// Cut begins a cut, or ends it with NoCut.
func (n *Network) Cut(mode CutMode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mode = mode
	if mode != ResetCut && mode != HangCut {
		return
	}
	for conn := range n.conns {
		if mode == ResetCut {
			_ = conn.Conn.Close() // Its error changes nothing for the test.
			continue
		}
		time.AfterFunc(silentPeerTimeout, func() { _ = conn.Conn.Close() })
	}
	n.conns = nil
}

// Open opens a connection unless the network is cut. Its signature is that of the DialContext field of http.Transport.
func (n *Network) Open(ctx context.Context, network, address string) (net.Conn, error) {
	switch n.current() {
	case HangCut, PauseCut:
		ctx, cancel := context.WithTimeout(ctx, hangTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ETIMEDOUT}
	case ResetCut, RefuseCut:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case NoCut:
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = make(map[*cutConn]struct{})
	}
	result := &cutConn{conn, n}
	n.conns[result] = struct{}{}
	n.opened++
	return result, nil
}

// Opened returns the number of connections that were opened.
func (n *Network) Opened() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.opened
}

func (n *Network) current() CutMode {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mode
}

// Read reads from the connection. It returns no data after a cut that the connection does not outlive.
func (c *cutConn) Read(data []byte) (int, error) {
	for {
		read, err := c.Conn.Read(data)
		c.awaitResumption()
		if !c.lost() {
			return read, err
		}
		if err != nil {
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
		}
	}
}

// Write writes to the connection. Data that is written during HangCut is lost.
func (c *cutConn) Write(data []byte) (int, error) {
	c.awaitResumption()
	if !c.lost() {
		return c.Conn.Write(data)
	}
	if c.network.current() == HangCut {
		return len(data), nil
	}
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
}

// Close closes the connection.
func (c *cutConn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
	return c.Conn.Close()
}

// awaitResumption waits until the end of PauseCut or of the connection.
func (c *cutConn) awaitResumption() {
	for c.network.current() == PauseCut && !c.lost() {
		time.Sleep(pausePollInterval)
	}
}

// lost reports whether a cut ended the connection.
func (c *cutConn) lost() bool {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	_, live := c.network.conns[c]
	return !live
}
