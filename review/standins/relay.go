package main

import (
	"bytes"
	"io"
	"net"
	"sync"
)

// Relay passes connections on to a target. It can reset them, or let some of them go silent for good.
type Relay struct {
	Address string

	target string
	mu     sync.Mutex
	conns  map[*relayed]bool
}

// relayed is a connection that is passed on.
type relayed struct {
	client, server net.Conn

	mu     sync.Mutex
	last   []byte // Start of the latest bytes of the client.
	silent bool
}

func newRelay(target string) *Relay {
	r := &Relay{target: target, conns: map[*relayed]bool{}}
	listener := listen("127.0.0.1:0")
	r.Address = listener.Addr().String()
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(client)
		}
	}()
	return r
}

func (r *Relay) serve(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &relayed{client: client, server: server}
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	go c.copy(client, server, false)
	c.copy(server, client, true)
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// copy passes bytes on, or drops them once the connection is silent.
func (c *relayed) copy(to, from net.Conn, requests bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		silent := c.silent
		if requests && n > 0 {
			c.last = bytes.Clone(buffer[:min(n, 200)])
		}
		c.mu.Unlock()
		if silent && err == nil {
			continue
		}
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			if !silent && err == io.EOF {
				_ = to.(*net.TCPConn).CloseWrite()
			} else if !silent {
				_ = to.Close()
			}
			return
		}
	}
}

// silence drops all that is sent from now on over the connections on which a request with the given part is in progress. Both
// ends stay open, and new connections work. It returns their number.
func (r *Relay) silence(part string) (count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.mu.Lock()
		if !c.silent && bytes.Contains(c.last, []byte(part)) {
			c.silent = true
			count++
		}
		c.mu.Unlock()
	}
	return count
}

// reset resets all connections of clients.
func (r *Relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.client.(*net.TCPConn).SetLinger(0)
		_ = c.client.Close()
		_ = c.server.Close()
	}
}
