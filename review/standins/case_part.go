package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// harmfulPart is the part of a prompt on which workers crash, soundPart the one in its place in sound requests.
	harmfulPart = "bad0bad7"
	soundPart   = "91bd3f06"
	// soundClients is the number of clients that send sound requests, soundInterval and harmfulInterval the mean times between two
	// requests.
	soundClients    = 4
	soundInterval   = 200 * time.Millisecond
	harmfulInterval = 1500 * time.Millisecond
	// calmTime is the time before the first request with the harmful part, harmfulTime the one in which such requests come.
	calmTime    = 10 * time.Second
	harmfulTime = 45 * time.Second
	// touch is touchMs of the settings.
	touch = 3 * time.Second
)

// casePart sends requests with a part on which each worker crashes that begins to write an answer, after its first event.
func casePart(folder string) {
	store := newStore()
	tenant := Tenant{"hule930", "n2ctnfzs989anu6wsjnb", 500_000_000}
	writeConfig(store, 7, []Tenant{tenant})
	var workers []*Worker
	for i := range 8 {
		w := &Worker{
			ID: fmt.Sprintf("i-model%d", i), Service: "orto-model", Zone: "catania", Slots: 128, Work: 150 * time.Millisecond,
			Interval: 20 * time.Millisecond,
			Crashes: func(r *http.Request) (bool, int) {
				return trouble() && strings.Contains(r.Header.Get("X-Citronslip-Prompt-Prefix"), harmfulPart+":"), 1
			},
		}
		w.start(store)
		workers = append(workers, w)
	}
	routers := startRouters(folder, store, "catania", "palermo")
	time.Sleep(4 * time.Second) // All machines are in touch.
	begin := time.Now()
	end := begin.Add(calmTime + harmfulTime)
	var mu sync.Mutex
	var calm, harmful [2]int // Sound requests, and those of them that were served, before and from 2 x touchMs after the fifth crash.
	fifth := func() (at time.Time) {
		if list := crashTimes(workers); len(list) >= 5 {
			at = list[4]
		}
		return at
	}
	send := func(prefix, part string) {
		client := connect(routers[rand.IntN(len(routers))].Front)
		if client == nil {
			return
		}
		defer client.close()
		at, id := time.Now(), newID(prefix)
		a := client.send(http.MethodPost, planPath+"2f", id, tenant.Key, 8*time.Second, fmt.Sprintf(`{"prompt":"%s of %s"}`, part, id),
			"X-Citronslip-Model", "m", "X-Citronslip-Token-Usage", "1460,90",
			"X-Citronslip-Prompt-Prefix", fmt.Sprintf("5c1e07a2:800,%s:410,%x:250", part, rand.Uint32()))
		crash := fifth()
		mu.Lock()
		defer mu.Unlock()
		count := &calm
		if prefix != "g" || at.After(begin.Add(calmTime)) {
			count = &harmful
		}
		if prefix == "g" && (count == &calm || !crash.IsZero() && at.After(crash.Add(2*touch))) {
			count[0]++
			if a.Status == http.StatusOK {
				count[1]++
			}
		}
	}
	var group sync.WaitGroup
	run := func(prefix, part string, interval time.Duration) {
		group.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(interval)))
				group.Go(func() { send(prefix, part) })
			}
		})
	}
	for range soundClients {
		run("g", soundPart, soundInterval)
	}
	time.Sleep(calmTime)
	run("h", harmfulPart, harmfulInterval)
	group.Wait()
	late, arrived := 0, 0
	for _, w := range workers {
		for _, a := range w.Arrivals() {
			if strings.HasPrefix(a.ID, "h") {
				arrived++
				if crash := fifth(); !crash.IsZero() && a.At.After(crash.Add(touch)) {
					late++
				}
			}
		}
	}
	verdict(late > 3, "%d requests with the part reached workers later than touchMs after the fifth crash (rule: at most 3), %d in all, %d crashes; "+
		"sound requests served: %d of %d before, %d of %d from 2 x touchMs after the fifth crash",
		late, arrived, len(crashTimes(workers)), calm[1], calm[0], harmful[1], harmful[0])
}

// crashTimes returns when workers crashed, in order.
func crashTimes(workers []*Worker) []time.Time {
	var times []time.Time
	for _, w := range workers {
		w.mu.Lock()
		times = append(times, w.crashes...)
		w.mu.Unlock()
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}
