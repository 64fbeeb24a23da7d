package main

import (
	"fmt"
	"net/http"
	"time"
)

// casePrefix sends a request whose list of prompt parts names a part with many tokens, and watches the routers' memory.
func casePrefix(folder string) {
	store := newStore()
	tenant := Tenant{"hule930", "n2ctnfzs989anu6wsjnb", 5_000_000}
	writeConfig(store, 7, []Tenant{tenant})
	for i := range 3 {
		(&Worker{ID: fmt.Sprintf("i-model%d", i), Service: "orto-model", Zone: "catania", Slots: 128, Work: 20 * time.Millisecond}).start(store)
	}
	routers := startRouters(folder, store, "catania", "palermo")
	time.Sleep(4 * time.Second)
	tokens := int64(1100)
	if trouble() {
		tokens = 1 << 35 // An integer of 11 digits in one header line. The memory stays far below half of a machine's.
	}
	ask := func(r *Router, parts string) Answer {
		client := connect(r.Front)
		if client == nil {
			record("client: no connection to %s", r.Node)
			return Answer{}
		}
		defer client.close()
		return client.send(http.MethodPost, planPath+"2f", newID("a"), tenant.Key, 5*time.Second, "{}",
			"X-Citronslip-Model", "m", "X-Citronslip-Token-Usage", "1460,30", "X-Citronslip-Prompt-Prefix", parts)
	}
	sound := func() (served int) {
		for i := range 10 {
			if ask(routers[i%2], fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%x:250", 1000+i)).Status == http.StatusOK {
				served++
			}
		}
		return served
	}
	before := sound()
	record("%d of 10 sound requests served, peak memory of the routers %d and %d MB", before, routers[0].peakMemoryMB(), routers[1].peakMemoryMB())
	if before < 10 {
		cannotRun("only %d of 10 sound requests were served before", before)
	}
	record("one request with a part of %d tokens to %s", tokens, routers[0].Node)
	ask(routers[0], fmt.Sprintf("5c1e07a2:%d,91bd3f06:410,e4402b7d:250", tokens))
	time.Sleep(time.Second)
	peak, other := routers[0].peakMemoryMB(), routers[1].peakMemoryMB()
	running := routers[0].running()
	record("peak memory of the routers %d and %d MB, first one runs: %v", peak, other, running)
	if running {
		sound()
	}
	verdict(!running || peak > machineMemoryMB,
		"router process runs: %v; peak memory %d MB of %d MB after one request (the other router: %d MB)", running, peak, machineMemoryMB, other)
}
