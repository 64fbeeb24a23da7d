//go:build review3

package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// upgradeGap is the time between the restarts of two workers.
	upgradeGap = 740 * time.Millisecond
)

// runUpgrade restarts workers one after the other with another software version, each under the ID that it had, while the store is
// down. Streams that break off at a restart go on at other workers.
func runUpgrade(d *deployment, trouble bool) (bool, error) {
	d.configure()
	workers, err := d.addWorkers(18, llm, "v1")
	if err != nil {
		return false, err
	}
	for _, w := range workers {
		w.events, w.gap, w.down, w.keepsID = 60, 100*time.Millisecond, 100*time.Millisecond, true
	}
	if err := d.addRouters(6); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	var mu sync.Mutex
	mixed, whole, cut := 0, 0, 0
	var group sync.WaitGroup
	end := time.Now().Add(10 * time.Second)
	group.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			group.Go(func() {
				id := d.nextID()
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				answer := d.send(ctx, d.routers[i%len(d.routers)], streamRequest(id, "/resume/", fmt.Sprintf("5c1e07%02x:800", i), ""), nil)
				first, second := strings.Count(answer.body, "data: v1"), strings.Count(answer.body, "data: v2")
				d.log("client gets %d for request %s: %d events of v1, %d of v2, error %v", answer.status, id, first, second, answer.err)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case first > 0 && second > 0:
					mixed++
				case answer.err == nil && answer.status == 200:
					whole++
				default:
					cut++
				}
			})
			time.Sleep(35 * time.Millisecond)
		}
	})
	time.Sleep(4 * time.Second)
	if trouble {
		d.log("the store is down")
		d.store.setDown(true)
	}
	time.Sleep(300 * time.Millisecond)
	for _, w := range workers[:8] {
		w.upgrade("v2")
		time.Sleep(upgradeGap)
	}
	if trouble {
		d.log("the store is back")
		d.store.setDown(false)
	}
	group.Wait()
	d.log("%d streams with events of two software versions, %d whole others, %d refused or broken off", mixed, whole, cut)
	fmt.Println("mixed:", mixed, "whole:", whole, "refused or broken off:", cut)
	return mixed > 2, nil
}
