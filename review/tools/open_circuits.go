package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	deskWorkers = 4
	clients     = 22
	// bookerStep is the number of clients of which one books: with the same pauses, bookings are about a fifth of the requests.
	bookerStep    = 5
	firstLossAt   = 3 * time.Second
	lossTime      = 2500 * time.Millisecond
	lossPause     = 500 * time.Millisecond
	lossWindows   = 4
	answerShare   = 0.4 // Of the answers of a worker that loses some.
	circuitTime   = 100 * time.Second
	lossEnd       = firstLossAt + lossWindows*(lossTime+lossPause)
	starvedFactor = 4
)

// openCircuits lets workers of a service that takes only bookings lose answers for some seconds, and goes on for a minute.
func openCircuits(record *Record, trouble bool) int {
	f := NewFleet(record, 2)
	cleanup = f.Close
	defer f.Close()
	var losing [deskWorkers]atomic.Bool
	for i := range deskWorkers {
		(&Worker{
			ID: fmt.Sprintf("i-book%d", i), Service: "desk", Zone: "z0", Record: record, Store: f.Store,
			Work: func(*http.Request) time.Duration { return time.Duration(10+rand.IntN(10)) * time.Millisecond },
			Lose: func() bool { return losing[i].Load() && rand.Float64() < answerShare },
		}).Start()
		(&Worker{
			ID: fmt.Sprintf("i-model%d", i), Service: "model", Zone: "z0", Record: record, Store: f.Store,
			Events: func(*http.Request) (int, time.Duration) { return 20, 20 * time.Millisecond },
		}).Start()
	}
	f.Store.Put("op", "config", config(1, 1_000_000_000))
	for _, r := range f.Routers {
		r.Start()
	}
	for _, r := range f.Routers {
		r.WaitReady()
	}
	time.Sleep(time.Second)
	balancer := NewBalancer(f.Routers)
	defer close(balancer.stop)

	lose := func(at time.Duration, workers ...int) {
		time.AfterFunc(at, func() {
			for _, i := range workers {
				record.Add("worker i-book%d loses %v of its answers for %v", i, answerShare, lossTime)
				losing[i].Store(true)
			}
		})
		time.AfterFunc(at+lossTime, func() {
			for _, i := range workers {
				losing[i].Store(false)
			}
			record.Add("these workers lose no more answers")
		})
	}
	if trouble {
		for i := range lossWindows { // Half of the workers each time.
			first := 2 * (i % 2)
			lose(firstLossAt+time.Duration(i)*(lossTime+lossPause), first, first+1)
		}
	}
	var mu sync.Mutex
	counts := map[string]map[bool]int{} // By what is asked for, and whether it was served.
	late := map[int]int{}               // Answers to bookings by status, from 5 s after the last loss on.
	var group sync.WaitGroup
	start := time.Now()
	for i := range clients {
		group.Go(func() {
			c := client{number: i, balancer: balancer, record: record}
			defer c.close()
			for n := 0; time.Since(start) < circuitTime; n++ {
				r := Request{ID: fmt.Sprintf("%x%06x", i+16, n), Method: http.MethodPost, Path: "/book/visit", Key: "key-a", Deadline: 1500 * time.Millisecond, Body: "a visit"}
				if i%bookerStep != 0 {
					r.Path, r.Usage, r.Deadline = "/note/plan", "500,60", 8*time.Second
				}
				s := c.send(r)
				mu.Lock()
				if counts[r.Path] == nil {
					counts[r.Path] = map[bool]int{}
				}
				counts[r.Path][s.Whole && s.Status == http.StatusOK]++
				if i%bookerStep == 0 && time.Since(start) > lossEnd+5*time.Second {
					late[s.Status]++
				}
				mu.Unlock()
				time.Sleep(max(s.Retry, time.Duration(100+rand.IntN(100))*time.Millisecond))
			}
		})
	}
	group.Wait()
	book, note := counts["/book/visit"], counts["/note/plan"]
	all := float64(book[true]+note[true]) / float64(book[true]+book[false]+note[true]+note[false])
	share := float64(book[true]) / float64(book[true]+book[false])
	record.Add("bookings served: %d of %d, %.3f; all requests: %.3f; answers to bookings from 5 s after the last loss on, by status: %v",
		book[true], book[true]+book[false], share, all, late)
	if note[true] < 100 {
		return cannotRun
	}
	if share < all/starvedFactor {
		record.Add("STARVED: a kind of request is served less than a quarter as often as all requests")
		return ruleBroken
	}
	return ruleHeld
}
