package fleet_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/budget"
	"citronslip/internal/claim"
	"citronslip/internal/harness"
)

type (
	// answeredRequests records the requests that were answered with status 200.
	answeredRequests struct {
		mu        sync.Mutex      // Guards keyed and unkeyed.
		keyed     map[string]bool // Identities of requests with an idempotency key, as in their bills.
		unkeyed   map[string]bool // Identities of requests without an idempotency key.
		completed atomic.Int64    // Requests that have ended, answered or not.
	}
)

// Guards against a request with an idempotency key being billed twice or not at all when its router is killed between
// the response and the settlement, the caller retries through other routers, and the table service loses responses to
// commits. Also guards against a request without a key being billed twice, or not at all by a router that shuts down
// gracefully.
func TestEachRequestIsBilledOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, answered, killed := runLoadWithKills(t)
	eventually(t, "each answered request with a key has a bill", func() bool {
		counts := f.billCounts()
		for identity := range answered.keyed {
			if counts[identity] == 0 {
				return false
			}
		}
		return true
	})
	f.stopAll()
	counts := f.billCounts()
	unbilled := 0
	for identity := range answered.keyed {
		is.Equal(counts[identity], 1) // Bills of an answered request with a key.
	}
	for identity := range answered.unkeyed {
		if counts[identity] == 0 && killed[instanceOfRequest(identity)] {
			unbilled++
			continue
		}
		is.Equal(counts[identity], 1) // Bills of an answered request without a key.
	}
	for identity, count := range counts {
		if count > 1 {
			t.Errorf("request %s is billed %d times", identity, count)
		}
	}
	t.Logf("answered %d requests with a key and %d without; %d without a key, answered by killed routers, have no bill",
		len(answered.keyed), len(answered.unkeyed), unbilled)
}

// Guards against a request without an idempotency key never being billed because its router is killed right after the
// response.
func TestRequestsOfKilledRouterAreBilled(t *testing.T) {
	t.Parallel()
	f, answered, killed := runLoadWithKills(t)
	eventually(t, "each answered request of a killed router has a bill", func() bool {
		counts := f.billCounts()
		missing := 0
		for identity := range answered.unkeyed {
			if killed[instanceOfRequest(identity)] && counts[identity] == 0 {
				missing++
			}
		}
		return missing == 0
	})
}

// runLoadWithKills sends requests with and without an idempotency key while two of three routers are killed and
// restarted, one after the other. It returns the requests that were answered and the instances that were killed.
func runLoadWithKills(t *testing.T) (*fleet, *answeredRequests, map[string]bool) {
	t.Helper()
	f := startFleet(t, harness.NewInventory(testKey, 2, ampleTokens), nil)
	f.startRouters(3)
	f.loseCommitResponses.Store(true)
	answered := &answeredRequests{keyed: make(map[string]bool), unkeyed: make(map[string]bool)}
	done := make(chan struct{})
	var callers sync.WaitGroup
	for caller := range callerCount {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
					answered.send(f, caller, n)
				}
			}
		})
	}
	waitForMore := func() {
		target := answered.completed.Load() + 5*callerCount
		eventually(t, "requests complete", func() bool { return answered.completed.Load() >= target })
	}
	killed := make(map[string]bool)
	for _, router := range f.routers[:2] {
		waitForMore()
		eventually(t, "requests are in flight", func() bool { return router.inFlight.Load() > 0 })
		router.kill()
		killed[f.registeredInstance(router)] = true
		router.start()
		f.waitReady(router)
	}
	waitForMore()
	close(done)
	callers.Wait()
	f.loseCommitResponses.Store(false)
	return f, answered, killed
}

// send sends a chat request, without an idempotency key if the caller's number is odd. A request with a key is retried
// at the next router until it is answered or maxAttempts is reached.
func (a *answeredRequests) send(f *fleet, caller, n int) {
	defer a.completed.Add(1)
	req := chatRequest(fmt.Sprintf("plan path %d of caller %d", n, caller), 8)
	if caller%2 == 1 {
		response, err := f.send(f.t.Context(), f.routers[(caller+n)%len(f.routers)], req)
		if err == nil && response.status == http.StatusOK {
			a.record(a.unkeyed, response.requestID)
		}
		return
	}
	key := fmt.Sprintf("path %d of caller %d", n, caller)
	req.header = map[string]string{"Idempotency-Key": key}
	for attempt := range maxAttempts {
		response, err := f.send(f.t.Context(), f.routers[(caller+n+attempt)%len(f.routers)], req)
		if err == nil && response.status == http.StatusOK {
			a.record(a.keyed, claim.Identity(testAccount, key, claim.Hash([]byte(req.body))))
			return
		}
		pause(f.t, time.Duration(attempt+1)*retryBackoff)
	}
}

func (a *answeredRequests) record(set map[string]bool, identity string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	set[identity] = true
}

// billCounts returns the number of bills that the table holds for each request, by the identity of the idempotency key,
// or by the identity of the request if it has no key.
func (f *fleet) billCounts() map[string]int {
	f.t.Helper()
	counts := make(map[string]int)
	for _, row := range f.scanRows("bill/") {
		var batch claim.Batch
		if err := json.Unmarshal(row.Value, &batch); err != nil {
			f.t.Fatal(err)
		}
		instance := strings.TrimPrefix(row.Key[:strings.LastIndex(row.Key, "/")], "bill/")
		for _, bill := range batch.Bills {
			if bill.Key != "" {
				counts[bill.Key]++
				continue
			}
			counts[fmt.Sprintf("%s-%d", instance, bill.Number)]++
		}
		for _, numbers := range batch.Numbers {
			for number := numbers.First; number <= numbers.Last; number++ {
				counts[fmt.Sprintf("%s-%d", instance, number)]++
			}
		}
	}
	return counts
}

// instanceOfRequest returns the router instance that accepted a request; it is a part of the request's identity.
func instanceOfRequest(request string) string { return request[:strings.LastIndex(request, "-")] }

// registeredInstance returns the instance that is registered in the table under the peer address of a router.
func (f *fleet) registeredInstance(p *routerProcess) string {
	f.t.Helper()
	var row budget.InstanceRow
	rows := f.scanRows(budget.InstanceRowKey(p.peerAddress))
	if len(rows) != 1 {
		f.t.Fatalf("table has %d instances for peer address %s, expected 1", len(rows), p.peerAddress)
	}
	if err := json.Unmarshal(rows[0].Value, &row); err != nil {
		f.t.Fatal(err)
	}
	return row.Instance
}
