package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	bookers       = 16
	streamers     = 10
	firstStopAt   = 3 * time.Second
	secondStopGap = time.Second
	playTime      = 9 * time.Second
	grace         = 8 * time.Second
)

// sentRequest is a request of a client, with what became of it.
type sentRequest struct {
	Request
	Result
	router *Router
	sentAt time.Time
}

// secondStop sends SIGTERM to a router that serves bookings and streams, and, as the trouble, once more a second later.
func secondStop(record *Record, trouble bool) int {
	f := NewFleet(record, 2)
	cleanup = f.Close
	defer f.Close()
	workers := []*Worker{}
	for i := range 3 {
		workers = append(workers, &Worker{
			ID: fmt.Sprintf("i-book%d", i), Service: "desk", Zone: "z0", Record: record, Store: f.Store,
			Work: func(*http.Request) time.Duration { return time.Duration(30+rand.IntN(60)) * time.Millisecond },
		}, &Worker{
			ID: fmt.Sprintf("i-model%d", i), Service: "model", Zone: "z0", Record: record, Store: f.Store,
			Events: func(*http.Request) (int, time.Duration) { return 40, 50 * time.Millisecond },
		})
	}
	for _, w := range workers {
		w.Start()
	}
	f.Store.Put("op", "config", config(1, 100_000_000))
	for _, r := range f.Routers {
		r.Start()
	}
	for _, r := range f.Routers {
		r.WaitReady()
	}
	time.Sleep(time.Second)
	balancer := NewBalancer(f.Routers)
	defer close(balancer.stop)

	var mu sync.Mutex
	var sent []sentRequest
	var group sync.WaitGroup
	end := time.Now().Add(playTime)
	for i := range bookers + streamers {
		group.Go(func() {
			c := client{number: i, balancer: balancer, record: record}
			defer c.close()
			for n := 0; time.Now().Before(end); n++ {
				r := Request{ID: fmt.Sprintf("%x%06x", i+16, n), Method: http.MethodPost, Path: "/book/visit", Key: "key-a", Deadline: 1500 * time.Millisecond, Body: "a visit"}
				if i >= bookers {
					r.Path, r.Usage, r.Deadline = "/note/plan", "500,160", 8*time.Second
				}
				s := c.send(r)
				mu.Lock()
				sent = append(sent, s)
				mu.Unlock()
				time.Sleep(time.Duration(5+rand.IntN(20)) * time.Millisecond)
			}
		})
	}
	stopped := f.Routers[0]
	time.Sleep(firstStopAt)
	stoppedAt := time.Now()
	stopped.Signal(syscall.SIGTERM)
	if trouble {
		time.Sleep(secondStopGap)
		stopped.Signal(syscall.SIGTERM)
	}
	select {
	case <-stopped.Ended():
	case <-time.After(time.Until(stoppedAt.Add(grace))):
		stopped.Signal(syscall.SIGKILL)
	}
	group.Wait()

	cut, answered := 0, 0
	for _, s := range sent {
		if s.router != stopped || s.sentAt.Add(s.Took).Before(stoppedAt) {
			continue
		}
		if s.Whole {
			answered++
			continue
		}
		ran, brokeOff := 0, false
		for _, w := range workers {
			if w.Runs(s.ID) > 0 {
				ran++
			}
		}
		if s.Sent && ran > 0 && !s.Timeout && !brokeOff {
			cut++
			record.Add("LOST: %s %s was sent to %s, ran at a worker, and its connection ended without a complete answer after %v: status %d, %v",
				s.Path, s.ID, s.router.Name, s.Took.Round(time.Millisecond), s.Status, s.Err)
		}
	}
	record.Add("%d requests were sent; of those at %s after its first SIGTERM %d were answered and %d were cut though a worker ran them",
		len(sent), stopped.Name, answered, cut)
	if answered == 0 || len(sent) < 200 {
		record.Add("too little traffic")
		return cannotRun
	}
	if cut > 0 {
		return ruleBroken
	}
	return ruleHeld
}

// client is a client with one connection at a time.
type client struct {
	number   int
	balancer *Balancer
	record   *Record
	conn     *Conn
	router   *Router
}

// send sends a request on the open connection, or on a new one.
func (c *client) send(r Request) sentRequest {
	s := sentRequest{Request: r, sentAt: time.Now()}
	if c.conn == nil {
		c.router = c.balancer.Router(c.number)
		conn, err := Dial(c.router.Front)
		if err != nil {
			s.Err, s.router = err, c.router
			c.record.Add("client: no connection for %s to %s: %v", r.ID, c.router.Name, err)
			return s
		}
		c.conn = conn
	}
	s.router = c.router
	s.Result = c.conn.Do(r)
	c.record.Add("client: %s to %s: sent %v, status %d, whole %v, after %v, error %v", r.ID, c.router.Name, s.Sent, s.Status, s.Whole,
		s.Took.Round(time.Millisecond), s.Err)
	if s.Close {
		c.close()
	}
	return s
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// config returns a configuration.
func config(version int, prepaid int64) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "book", "host": host, "prefix": "/book/", "kind": "unsafe", "timeoutMs": 1500, "latencyGoalMs": 100, "priority": 2, "attempts": 1, "service": "desk"},
			{"name": "note", "host": host, "prefix": "/note/", "kind": "streaming", "timeoutMs": 8000, "latencyGoalMs": 800, "priority": 1, "attempts": 1,
				"service": "model", "sticky": true, "targetGapMs": 300},
		},
		"services": []map[string]any{
			{"name": "desk", "healthPath": "/health"},
			{"name": "model", "healthPath": "/health", "engine": map[string]any{"slots": 128, "stride": 3}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "a", "apiKeys": []string{"key-a"}, "prepaid": prepaid}},
	}
}
