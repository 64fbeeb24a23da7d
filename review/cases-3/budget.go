//go:build review3

package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	// promptTokens and tokensPerEvent are the tokens of a request that count.
	promptTokens   = 1460
	tokensPerEvent = 4
)

// spend sends requests of the tenant, in parallel, for a time or until a number of tokens is consumed, and returns the tokens of
// the answers.
func (d *deployment) spend(length time.Duration, most int64) int64 {
	var mu sync.Mutex
	var used int64
	statuses := make(map[int]int)
	var group sync.WaitGroup
	end := time.Now().Add(length)
	for client := range 8 {
		group.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				mu.Lock()
				done := used >= most
				mu.Unlock()
				if done {
					return
				}
				id := d.nextID()
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				answer := d.send(ctx, d.routers[(client+i)%len(d.routers)], streamRequest(id, "/stream/", firstPart(client), ""), nil)
				cancel()
				tokens := int64(0)
				if answer.events > 0 {
					tokens = promptTokens + int64(answer.events)*tokensPerEvent
				}
				mu.Lock()
				used += tokens
				statuses[answer.status]++
				d.log("client %d gets %d and %d events for request %s: %d tokens, %d in all, error %v", client, answer.status, answer.events, id, tokens, used, answer.err)
				mu.Unlock()
				if answer.status != 200 {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	group.Wait()
	d.log("%d tokens consumed, answers by status %v", used, statuses)
	return used
}

// runBudget kills all routers while the store comes back from a copy that is some seconds old.
func runBudget(d *deployment, trouble bool) (bool, error) {
	d.prepaid = 400_000
	d.configure()
	workers, err := d.addWorkers(6, llm, "v1")
	if err != nil {
		return false, err
	}
	for _, w := range workers {
		w.events, w.gap = 20, 10*time.Millisecond
	}
	if err := d.addRouters(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	copied := d.store.copy()
	at := time.Now()
	used := d.spend(8*time.Second, d.prepaid*6/10)
	d.log("%d of %d tokens consumed; the copy is %v old", used, d.prepaid, time.Since(at))
	only := os.Getenv("ONLY") // One of the two disruptions alone; both if empty.
	if trouble && only != "restore" {
		d.killRouters()
	}
	if trouble && only != "kill" {
		d.log("the store is away for a second and comes back from the copy")
		d.store.restore(copied, time.Second)
	}
	if trouble && only != "restore" {
		if err := d.restartRouters(); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	used += d.spend(25*time.Second, 3*d.prepaid)
	d.log("%d of %d tokens consumed", used, d.prepaid)
	fmt.Println("tokens consumed:", used, "prepaid:", d.prepaid)
	return used > d.prepaid, nil
}
