//go:build review3

package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// patience is the time without an event after which clients give a stream up: four times the objective of 800 ms, which is as long as
	// eight times the longest pause of 400 ms.
	patience = 3200 * time.Millisecond
	// darkTime is how long a host without power is dark.
	darkTime = 3500 * time.Millisecond
)

// interrupted is a stream that a client takes up.
type interrupted struct{ id, last string }

// runResume lets the host of a router lose its power while streams run, and the first worker of another software version join 1.5 s
// later. Clients give the silent streams up and take them up at the other routers. Without the disruption the clients close the
// connections themselves at the same moment.
func runResume(d *deployment, trouble bool) (bool, error) {
	d.configure()
	workers, err := d.addWorkers(4, llm, "v1")
	if err != nil {
		return false, err
	}
	for _, w := range workers {
		w.events, w.gap = 80, 100*time.Millisecond
	}
	if err := d.addRouters(3); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	leave, cancel := context.WithCancel(context.Background())
	defer cancel()
	open := make(chan []interrupted)
	go func() { open <- d.runStreams(leave, 24) }()
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		if err := d.routers[0].goDark(d); err != nil {
			return false, err
		}
	}
	time.Sleep(1500 * time.Millisecond)
	d.log("the first worker of version v2 joins")
	if _, err := d.addWorkers(1, llm, "v2"); err != nil {
		return false, err
	}
	if !trouble {
		time.Sleep(patience - 1500*time.Millisecond)
		cancel()
	}
	taken := <-open
	goOn, begin := d.takeUp(taken)
	d.log("%d streams were taken up, %d of them go on; %d of %d new streams begin", len(taken), goOn, begin, len(taken))
	fmt.Println("taken up:", len(taken), "go on:", goOn, "new streams that begin:", begin)
	// The share that goes on must not be under half of that of new streams.
	return len(taken) >= 12 && 2*goOn < begin, nil
}

// runStreams begins streams at the first router and returns those that broke off after their first event.
func (d *deployment) runStreams(leave context.Context, count int) []interrupted {
	var mu sync.Mutex
	var open []interrupted
	var group sync.WaitGroup
	for range count {
		group.Go(func() {
			id, seen := d.nextID(), 0
			ctx, cancel := context.WithCancel(leave)
			defer cancel()
			timer := time.AfterFunc(patience, cancel)
			answer := d.send(ctx, d.routers[0], streamRequest(id, "/resume/", sharedPart+":800", ""), func(n int) {
				seen = n
				timer.Reset(patience)
			})
			d.log("client gets %d and %d events for request %s, error %v", answer.status, answer.events, id, answer.err)
			if answer.err != nil && seen > 0 {
				mu.Lock()
				defer mu.Unlock()
				open = append(open, interrupted{id, fmt.Sprint(seen)})
			}
		})
	}
	group.Wait()
	return open
}

// takeUp takes streams up at the other routers, and begins as many new ones there. It returns how many of them go on or begin. A client
// that is refused comes back once, after the time that it was told.
func (d *deployment) takeUp(open []interrupted) (goOn, begin int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	try := func(i int, more string, count *int) {
		for attempt := range 2 {
			id := d.nextID()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			answer := d.send(ctx, d.routers[1+(i+attempt)%2], streamRequest(id, "/resume/", sharedPart+":800", more), nil)
			cancel()
			d.log("client gets %d and %d events for request %s (%.60q), error %v, told to come back after %v", answer.status, answer.events, id, more, answer.err, answer.after)
			if answer.events > 0 {
				mu.Lock()
				defer mu.Unlock()
				*count++
				return
			}
			time.Sleep(answer.after)
		}
	}
	for i, s := range open {
		group.Go(func() { try(i, "Last-Event-Id: "+s.last+"\r\nResumes: "+s.id+"\r\n", &goOn) })
		group.Go(func() { try(i, "", &begin) })
	}
	group.Wait()
	return goOn, begin
}
