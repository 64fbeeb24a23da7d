package fleet_test

import (
	"net"
	"sync"
	"testing"
)

type (
	// tcpProxy forwards TCP connections to a target. While it is partitioned, it delays all data and delivers it after
	// the partition has healed, as a network does that loses a route for some time.
	tcpProxy struct {
		listener net.Listener
		target   string // Host and port that connections are forwarded to.

		mu        sync.Mutex            // Guards the fields below.
		unblocked chan struct{}         // Closed while data is forwarded, open during a partition.
		conns     map[net.Conn]struct{} // Open connections of both sides.
		closed    bool                  // Set by shutdown: new connections are closed at once.
	}
)

// startProxy runs a proxy until the test ends.
func startProxy(t *testing.T, target string) *tcpProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxy := &tcpProxy{listener: listener, target: target, unblocked: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	close(proxy.unblocked)
	go proxy.accept()
	t.Cleanup(proxy.shutdown)
	return proxy
}

// url returns the base URL of the proxy.
func (p *tcpProxy) url() string { return "http://" + p.listener.Addr().String() }

// partition delays all data until heal is called.
func (p *tcpProxy) partition() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unblocked = make(chan struct{})
}

// heal ends a partition. Delayed data is delivered first.
func (p *tcpProxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.unblocked)
}

func (p *tcpProxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

func (p *tcpProxy) forward(conn net.Conn) {
	targetConn, err := net.Dial("tcp", p.target)
	if err != nil {
		conn.Close()
		return
	}
	if !p.track(conn, targetConn) {
		return
	}
	go p.copyOneWay(conn, targetConn)
	p.copyOneWay(targetConn, conn)
}

// copyOneWay copies data in one direction until one connection ends, and then closes both.
func (p *tcpProxy) copyOneWay(from, to net.Conn) {
	defer p.closeConns(from, to)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.waitUnblocked()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *tcpProxy) waitUnblocked() {
	p.mu.Lock()
	unblocked := p.unblocked
	p.mu.Unlock()
	<-unblocked
}

func (p *tcpProxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		if p.closed {
			conn.Close()
			continue
		}
		p.conns[conn] = struct{}{}
	}
	return !p.closed
}

func (p *tcpProxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
		delete(p.conns, conn)
	}
}

func (p *tcpProxy) shutdown() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for conn := range p.conns {
		conn.Close()
	}
	select {
	case <-p.unblocked:
	default:
		close(p.unblocked)
	}
}
