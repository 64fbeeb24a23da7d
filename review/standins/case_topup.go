package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// tenantCount is the number of tenants, and tenantRate the requests a second of each of them at each machine.
	tenantCount = 10
	tenantRate  = 10
	// requestTokens is the most that one request can use, and does use.
	requestTokens = 1000 + 30
	// firstRequests is the number of requests that the first amount covers, raiseRequests those that each raise adds.
	firstRequests = 120
	raiseRequests = 180
	// raises is the number of raises, raiseInterval the time between them.
	raises        = 3
	raiseInterval = 13 * time.Second
	// configApply is configApplyMs of the settings.
	configApply = 2 * time.Second
	// owedShare is the share of an amount into which a request has to fit to be owed.
	owedShare = 0.97
)

// usage is what a tenant has used, by the answers that its clients have got.
type usage struct {
	mu      sync.Mutex
	covered int64 // Tokens of its prepaid amount by the configuration in force.
	used    int64 // At their most, those of requests in progress too.
	sent    int
	refused int // Answered 402.
	wrong   int // Answered 402 although the amount that is in force covers the request.
}

// caseTopup raises the prepaid amount of tenants that have used theirs, and counts the requests that are refused although the new
// amount covers them.
func caseTopup(folder string) {
	store := newStore()
	amount := int64(firstRequests * requestTokens)
	if !trouble() {
		amount = 100 * (firstRequests + raises*raiseRequests) * requestTokens // No tenant uses up its amount.
	}
	var tenants []Tenant
	for i := range tenantCount {
		tenants = append(tenants, Tenant{fmt.Sprintf("tenant%d", i), fmt.Sprintf("key%dn2ctnfzs989anu6", i), amount})
	}
	version := 7
	writeConfig(store, version, tenants)
	for i := range 3 {
		(&Worker{ID: fmt.Sprintf("i-model%d", i), Service: "orto-model", Zone: "catania", Slots: 128, Work: 20 * time.Millisecond}).start(store)
	}
	routers := startRouters(folder, store, "catania", "palermo")
	time.Sleep(4 * time.Second) // All machines are in touch.
	begin := time.Now()
	end := begin.Add((raises + 1) * raiseInterval)
	usages := make([]usage, tenantCount)
	var group sync.WaitGroup
	for i := range tenants {
		for _, router := range routers {
			for range 4 { // Clients, so that a slow answer does not hold up the next request.
				group.Go(func() {
					for time.Now().Before(end) {
						time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(4*time.Second/tenantRate)))
						usages[i].request(router, tenants[i].Key)
					}
				})
			}
		}
	}
	for range raises {
		time.Sleep(raiseInterval)
		for i := range tenants {
			usages[i].report(tenants[i].Name)
			tenants[i].Prepaid += raiseRequests * requestTokens
		}
		version += 4
		writeConfig(store, version, tenants)
		time.AfterFunc(configApply, func() {
			for i := range usages {
				usages[i].cover(tenants[i].Prepaid)
			}
		})
	}
	group.Wait()
	total, refused, wrong := 0, 0, 0
	for i := range usages {
		usages[i].report(tenants[i].Name)
		total, refused, wrong = total+usages[i].sent, refused+usages[i].refused, wrong+usages[i].wrong
	}
	limit := 5 + total/500
	verdict(wrong > limit, "%d of %d requests were answered 402 although the amount in force, acknowledged over 2 s before, covers them (rule: at most %d); 402 in all: %d",
		wrong, total, limit, refused)
}

// request sends a request on a new connection and counts its answer.
func (u *usage) request(router *Router, key string) {
	client := connect(router.Front)
	if client == nil {
		return
	}
	defer client.close()
	u.mu.Lock()
	u.sent++
	u.used += requestTokens
	covered := u.used <= u.covered // When it is sent.
	u.mu.Unlock()
	a := client.send(http.MethodPost, planPath+"2f", newID("t"), key, 5*time.Second, "{}",
		"X-Citronslip-Model", "m", "X-Citronslip-Token-Usage", "1000,30", "X-Citronslip-Prompt-Prefix", "5c1e07a2:800,e4402b7d:200")
	u.mu.Lock()
	defer u.mu.Unlock()
	if a.Status == http.StatusOK {
		return
	}
	if a.Status != 0 {
		u.used -= requestTokens // Refused: nothing was used.
	}
	if a.Status == http.StatusPaymentRequired {
		u.refused++
		if covered {
			u.wrong++
		}
	}
}

// cover sets the amount that is in force.
func (u *usage) cover(amount int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.covered = int64(owedShare * float64(amount))
}

func (u *usage) report(name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	record("%s: %d requests sent, %d answered 402, %d of them wrongly; %d tokens used, %d covered", name, u.sent, u.refused, u.wrong, u.used, u.covered)
}
