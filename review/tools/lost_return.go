package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	tenantCount = 10
	rounds      = 10
	prepaid     = 1_000_000
	roundTokens = 24_000 // Top-up of each round.
	tokensPerID = 3      // Tokens of one event.
	lostShare   = 0.35   // Of the write calls, whose answers are lost.
	lostTime    = 4500 * time.Millisecond
	minLate     = time.Second
	maxLate     = 6 * time.Second
	burnTokens  = 88_000
	bigOutput   = 19_500
	maxTries    = 4 // Of a client that is told when to come back.
	nextPrompt  = 18_000
	// secondClientAt is when the second client comes, after all late writes of the first request are done.
	secondClientAt = 7000 * time.Millisecond
)

// account counts what a tenant got.
type account struct {
	mu       sync.Mutex
	name     string
	key      string
	prepaid  int64
	consumed int64
	requests int
}

// lostReturn lets the answers of a share of the store's writes get lost while tenants use up the last of their prepaid tokens.
func lostReturn(record *Record, trouble bool) int {
	f := NewFleet(record, 2)
	cleanup = f.Close
	defer f.Close()
	for i := range 3 {
		w := &Worker{
			ID: fmt.Sprintf("i-model%d", i), Service: "model", Zone: "z0", Record: record, Store: f.Store,
			Events: func(r *http.Request) (int, time.Duration) {
				if strings.HasPrefix(r.URL.Path, "/note/short") {
					return 3, 2 * time.Millisecond // The answer is much shorter than it may be.
				}
				_, output := usage(r.Header.Get("X-Citronslip-Token-Usage"))
				return int(output / tokensPerID), 2 * time.Millisecond
			},
		}
		w.Start()
	}
	var accounts []*account
	for i := range tenantCount {
		accounts = append(accounts, &account{name: fmt.Sprintf("t%d", i), key: fmt.Sprintf("key-t%d", i), prepaid: prepaid})
	}
	version := 1
	f.Store.Put("op", "config", tenantsConfig(version, accounts))
	losing := lossWindow(f.Store, record)
	for _, r := range f.Routers {
		r.Start()
	}
	for _, r := range f.Routers {
		r.WaitReady()
	}
	time.Sleep(2 * time.Second)

	var group sync.WaitGroup
	for _, a := range accounts {
		group.Go(func() { a.burn(f, record) })
	}
	group.Wait()
	for round := range rounds {
		if round > 0 {
			version++
			for _, a := range accounts {
				a.prepaid += roundTokens
			}
			f.Store.Put("op", "config", tenantsConfig(version, accounts))
			record.Add("operator: version %d, each tenant gets %d tokens more", version, roundTokens)
			time.Sleep(2500 * time.Millisecond)
		}
		for _, a := range accounts {
			group.Go(func() { a.send(f.Routers[0], record, "short", 500, bigOutput) })
		}
		group.Wait()
		losing(trouble)
		timer := time.AfterFunc(lostTime, func() { losing(false) })
		for _, a := range accounts {
			group.Go(func() { a.round(f, record) })
		}
		group.Wait()
		timer.Stop()
		for _, a := range accounts {
			record.Add("tenant %s: consumed %d of %d", a.name, a.consumed, a.prepaid)
			if a.consumed > a.prepaid {
				record.Add("BUDGET: tenant %s got %d tokens more than its prepaid %d", a.name, a.consumed-a.prepaid, a.prepaid)
				return ruleBroken
			}
		}
	}
	for _, a := range accounts {
		if a.requests < 20 {
			record.Add("too few answers")
			return cannotRun
		}
	}
	return ruleHeld
}

// lossWindow makes the store lose the answers of a share of the writes while it is on. They are performed 1 to 6 s later, if their
// conditions hold then.
func lossWindow(s *Store, record *Record) func(on bool) {
	var mu sync.Mutex
	active := false
	writes, lost := 0, 0
	s.Fate = func(caller string, t transaction) fate {
		mu.Lock()
		defer mu.Unlock()
		if !active {
			return fate{}
		}
		writes++
		if rand.Float64() >= lostShare || float64(lost) >= lostShare*float64(writes) { // Never more than that share.
			return fate{}
		}
		lost++
		late := minLate + rand.N(maxLate-minLate)
		for _, p := range t.Puts {
			record.Add("store: answer to a write of %s lost, done %v later: %s/%s/%s %.120s", caller, late.Round(time.Millisecond), p.Table, p.Part, p.Key, p.Value)
		}
		return fate{Lost: true, Delay: late}
	}
	return func(on bool) {
		mu.Lock()
		defer mu.Unlock()
		if active && !on {
			record.Add("store: answers to %d of %d writes were lost", lost, writes)
			writes, lost = 0, 0
		}
		active = on
	}
}

// burn uses the tenant's tokens but those of the first round.
func (a *account) burn(f *Fleet, record *Record) {
	for i := 0; ; i++ {
		left := a.prepaid - a.consumed - roundTokens
		if left <= 10 {
			return
		}
		a.send(f.Routers[i%2], record, "plan", min(burnTokens, left-3), 3)
		if i > 100 {
			fail("tenant %s could not use its tokens", a.name)
		}
	}
}

// round uses what the tenant has left, after a request at one router whose answer was shorter than it might be: soon after it another
// request there uses what it may, and later another client asks the other router for as much.
func (a *account) round(f *Fleet, record *Record) {
	start := time.Now()
	time.Sleep(500 * time.Millisecond)
	for range maxTries {
		served, retryAfter := a.send(f.Routers[0], record, "plan", nextPrompt, 3)
		if served || retryAfter == 0 {
			break
		}
		time.Sleep(retryAfter)
	}
	time.Sleep(time.Until(start.Add(secondClientAt)))
	for range 2 {
		a.send(f.Routers[1], record, "plan", nextPrompt, 3)
		time.Sleep(200 * time.Millisecond)
	}
	for _, size := range []int64{4000, 1000, 500} { // What is left, as far as it can be had.
		a.send(f.Routers[1], record, "plan", size, 3)
	}
}

// send sends a request on a new connection and counts what the tenant got. It reports whether it was answered with success, and else
// when the client may come back.
func (a *account) send(router *Router, record *Record, what string, prompt, output int64) (served bool, retryAfter time.Duration) {
	a.mu.Lock()
	a.requests++
	id := fmt.Sprintf("%s%06x", strings.ReplaceAll(a.name, "t", "a"), a.requests)
	a.mu.Unlock()
	conn, err := Dial(router.Front)
	if err != nil {
		return false, 0
	}
	defer func() { _ = conn.Close() }()
	r := Request{ID: id, Method: http.MethodPost, Path: "/note/" + what, Key: a.key, Deadline: 8 * time.Second, Usage: fmt.Sprintf("%d,%d", prompt, output)}
	result := conn.Do(r)
	got := int64(0)
	if result.Status == http.StatusOK {
		got = prompt + tokensPerID*int64(strings.Count(result.Body, "id: "))
	}
	a.mu.Lock()
	a.consumed += got
	record.Add("client of %s: %s with %d + %d tokens to %s: status %d, %d tokens, consumed %d of %d, after %v", a.name, id, prompt, output,
		router.Name, result.Status, got, a.consumed, a.prepaid, result.Took.Round(time.Millisecond))
	a.mu.Unlock()
	return got > 0, result.Retry
}

// usage returns the tokens of a usage header.
func usage(text string) (prompt, output int64) {
	first, second, _ := strings.Cut(text, ",")
	prompt, _ = strconv.ParseInt(first, 10, 64)
	output, _ = strconv.ParseInt(second, 10, 64)
	return prompt, output
}

// tenantsConfig returns a configuration with the tenants.
func tenantsConfig(version int, accounts []*account) map[string]any {
	c := config(version, 0)
	tenants := []map[string]any{}
	for _, a := range accounts {
		tenants = append(tenants, map[string]any{"name": a.name, "apiKeys": []string{a.key}, "prepaid": a.prepaid})
	}
	c["tenants"] = tenants
	return c
}
