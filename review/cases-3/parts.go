//go:build review3

package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	deadlyPart = "dead07a2"
	sharedPart = "91bd3f06"
	// batchSize is the number of requests with the deadly part in a batch, each with another first part.
	batchSize = 6
)

// firstPart returns the first part of a prompt, of which there are as many as requests in a batch.
func firstPart(i int) string { return fmt.Sprintf("5c1e07%02x:800", i%batchSize) }

// runParts sends batches of requests with a part that crashes workers, while sound requests share their other parts.
func runParts(d *deployment, trouble bool) (bool, error) {
	d.configure()
	workers, err := d.addWorkers(16, llm, "v1")
	if err != nil {
		return false, err
	}
	if trouble {
		for _, w := range workers {
			w.deadly = deadlyPart
		}
	}
	if err := d.addRouters(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var sound sync.WaitGroup
	var mu sync.Mutex
	whole, cut := 0, 0
	end := time.After(20 * time.Second)
	sound.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			sound.Go(func() {
				id := d.nextID()
				requestCtx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				answer := d.send(requestCtx, d.routers[i%3], streamRequest(id, "/stream/", firstPart(i), ""), nil)
				d.log("client gets %d and %d events for sound request %s, error %v", answer.status, answer.events, id, answer.err)
				mu.Lock()
				defer mu.Unlock()
				if answer.err != nil && answer.status == 200 {
					cut++
				} else {
					whole++
				}
			})
			time.Sleep(100 * time.Millisecond)
		}
	})
	time.Sleep(2 * time.Second)
	sent := make(map[string]time.Time)
	var fifth time.Time
	for batch := range 3 {
		var group sync.WaitGroup
		for i := range batchSize {
			id := d.nextID()
			sent[id] = time.Now()
			group.Go(func() {
				requestCtx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				d.log("client sends request %s with the deadly part, batch %d", id, batch+1)
				answer := d.send(requestCtx, d.routers[i%3], streamRequest(id, "/stream/", firstPart(i)+","+deadlyPart+":410", ""), nil)
				d.log("client gets %d and %d events for request %s, error %v", answer.status, answer.events, id, answer.err)
			})
		}
		group.Wait()
		if batch == 0 {
			fifth = time.Now()
		}
		time.Sleep(5 * time.Second)
	}
	<-end
	cancel()
	sound.Wait()
	// Without a crash there is nothing to bound.
	bound := fifth.Add(3 * time.Second)
	late := d.arrivalsOf(func(a arrival) bool { _, ok := sent[a.id]; return ok && a.at.After(bound) })
	crashes := 0
	for _, w := range workers {
		crashes += w.starts - 1
	}
	d.log("%d crashes; %d requests with the part reached workers later than touchMs after the fifth crash; sound streams: %d cut, %d others", crashes, len(late), cut, whole)
	fmt.Println("crashes:", crashes, "late requests with the part:", len(late), "sound streams cut:", cut, "others:", whole)
	return crashes >= 5 && len(late) > 3, nil
}
