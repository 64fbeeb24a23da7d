package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// goneTenants is the number of tenants, goneClients that of the clients of each, and clientRate how many requests a second each of
	// them sends.
	goneTenants = 4
	goneClients = 8
	clientRate  = 2.0
	// goneRequests is the number of requests that the prepaid amount of a tenant covers.
	goneRequests = 800
)

// caseGone removes one of six machines for good, and counts the requests that the others refuse although the prepaid amounts cover
// them.
func caseGone(folder string) {
	store := newStore()
	amount := int64(goneRequests * requestTokens)
	var tenants []Tenant
	for i := range goneTenants {
		tenants = append(tenants, Tenant{fmt.Sprintf("tenant%d", i), fmt.Sprintf("key%dn2ctnfzs989anu6", i), amount})
	}
	writeConfig(store, 7, tenants)
	for i := range 3 {
		(&Worker{ID: fmt.Sprintf("i-model%d", i), Service: "orto-model", Zone: "catania", Slots: 128, Work: 20 * time.Millisecond}).start(store)
	}
	routers := startRouters(folder, store, "catania", "palermo", "siracusa", "agrigento", "messina", "trapani")
	time.Sleep(4 * time.Second) // All machines are in touch.
	end := time.Now().Add(70 * time.Second)
	usages := make([]usage, len(tenants))
	var gone atomic.Bool
	var group sync.WaitGroup
	for i := range tenants {
		for range goneClients {
			group.Go(func() {
				for time.Now().Before(end) {
					time.Sleep(time.Duration((0.5 + rand.Float64()) / clientRate * float64(time.Second)))
					serving := routers
					if gone.Load() {
						serving = routers[1:] // The platform sends no new connections to a machine that does not answer.
					}
					usages[i].request(serving[rand.IntN(len(serving))], tenants[i].Key)
				}
			})
		}
	}
	time.Sleep(15 * time.Second)
	if trouble() {
		gone.Store(true)
		routers[0].kill()
		record("%s is removed for good", routers[0].Node)
	}
	time.Sleep(15 * time.Second) // The other machines are in touch, and know that it is gone.
	for i := range tenants {
		usages[i].report(tenants[i].Name)
		usages[i].cover(tenants[i].Prepaid)
	}
	group.Wait()
	total, refused, wrong := 0, 0, 0
	for i := range usages {
		usages[i].report(tenants[i].Name)
		total, refused, wrong = total+usages[i].sent, refused+usages[i].refused, wrong+usages[i].wrong
	}
	limit := 5 + total/500
	verdict(wrong > limit, "%d of %d requests were answered 402 although the amount in force covers them (rule: at most %d); 402 in all: %d", wrong, total, limit, refused)
}
