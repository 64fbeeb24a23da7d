package main

import (
	"sync"
	"time"
)

// Balancer stands for the address of the platform: it names the router for a new connection. A router that misses two checks in
// a row gets none until it answers 200 again. If none is in rotation, all are used.
type Balancer struct {
	routers []*Router

	mu     sync.Mutex
	misses map[*Router]int
	stop   chan struct{}
}

// NewBalancer returns a balancer that checks the routers once a second.
func NewBalancer(routers []*Router) *Balancer {
	b := &Balancer{routers: routers, misses: map[*Router]int{}, stop: make(chan struct{})}
	for _, r := range routers {
		go func() {
			for {
				ready := r.IsReady()
				b.mu.Lock()
				if b.misses[r]++; ready {
					b.misses[r] = 0
				}
				b.mu.Unlock()
				select {
				case <-b.stop:
					return
				case <-time.After(time.Second):
				}
			}
		}()
	}
	return b
}

// Router returns the router for the next connection of a client.
func (b *Balancer) Router(client int) *Router {
	b.mu.Lock()
	defer b.mu.Unlock()
	var rotation []*Router
	for _, r := range b.routers {
		if b.misses[r] < 2 {
			rotation = append(rotation, r)
		}
	}
	if len(rotation) == 0 {
		rotation = b.routers
	}
	return rotation[client%len(rotation)]
}
