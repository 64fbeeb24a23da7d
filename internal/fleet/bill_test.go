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
	// answers are the requests that were answered.
	answers struct {
		mu     sync.Mutex
		keyed  map[string]bool // Identities for bills.
		single map[string]bool // Identities of requests without key.
		ended  atomic.Int64
	}
)

// Guards against keyed requests that are billed twice or not at all when a router dies between answer and settlement,
// callers retry through other routers, and the table loses answers. Also guards against double bills of requests without
// key, and against missing ones of routers that end by a planned stop.
func TestEachRequestIsBilledOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, got, killed := answeredUnderKills(t)
	eventually(t, "each answered keyed request has a bill", func() bool {
		counts := f.bills()
		for identity := range got.keyed {
			if counts[identity] == 0 {
				return false
			}
		}
		return true
	})
	f.stopAll()
	counts := f.bills()
	lost := 0
	for identity := range got.keyed {
		is.Equal(counts[identity], 1) // bills of an answered keyed request
	}
	for identity := range got.single {
		if counts[identity] == 0 && killed[instanceOf(identity)] {
			lost++
			continue
		}
		is.Equal(counts[identity], 1) // bills of an answered request without key
	}
	for identity, count := range counts {
		if count > 1 {
			t.Errorf("request %s is billed %d times", identity, count)
		}
	}
	t.Logf("answered %d keyed and %d other requests; %d others of killed routers have no bill",
		len(got.keyed), len(got.single), lost)
}

// Guards against requests without key that a router answered just before it was killed and that are never billed.
func TestRequestsOfKilledRouterAreBilled(t *testing.T) {
	t.Parallel()
	f, got, killed := answeredUnderKills(t)
	eventually(t, "each answered request of a killed router has a bill", func() bool {
		counts := f.bills()
		missing := 0
		for identity := range got.single {
			if killed[instanceOf(identity)] && counts[identity] == 0 {
				missing++
			}
		}
		return missing == 0
	})
}

// answeredUnderKills runs a load of keyed and other requests during which two of three routers are killed and replaced. It returns what
// was answered and the instances that were killed.
func answeredUnderKills(t *testing.T) (*fleet, *answers, map[string]bool) {
	t.Helper()
	f := start(t, harness.Declared(testKey, 2, ampleTokens), nil)
	f.route(3)
	f.losing.Store(true)
	got := &answers{keyed: make(map[string]bool), single: make(map[string]bool)}
	done := make(chan struct{})
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
					got.ask(f, caller, n)
				}
			}
		})
	}
	more := func() {
		target := got.ended.Load() + 5*callers
		eventually(t, "requests go on", func() bool { return got.ended.Load() >= target })
	}
	killed := make(map[string]bool)
	for _, victim := range f.routers[:2] {
		more()
		eventually(t, "requests are in flight", func() bool { return victim.flight.Load() > 0 })
		victim.kill()
		killed[f.instance(victim)] = true
		victim.start()
		f.ready(victim)
	}
	more()
	close(done)
	group.Wait()
	f.losing.Store(false)
	return f, got, killed
}

// ask sends a request. One with a key is sent again to other routers until it is answered.
func (a *answers) ask(f *fleet, caller, n int) {
	defer a.ended.Add(1)
	c := chat(fmt.Sprintf("plan path %d of caller %d", n, caller), 8)
	if caller%2 == 1 {
		got, err := f.do(f.t.Context(), f.routers[(caller+n)%len(f.routers)], c)
		if err == nil && got.status == http.StatusOK {
			a.add(a.single, got.request)
		}
		return
	}
	key := fmt.Sprintf("path %d of caller %d", n, caller)
	c.header = map[string]string{"Idempotency-Key": key}
	for turn := range turnsMost {
		got, err := f.do(f.t.Context(), f.routers[(caller+n+turn)%len(f.routers)], c)
		if err == nil && got.status == http.StatusOK {
			a.add(a.keyed, claim.Identity(account, key, claim.Body([]byte(c.body))))
			return
		}
		pause(f.t, time.Duration(turn+1)*waitPoll)
	}
}

func (a *answers) add(set map[string]bool, identity string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	set[identity] = true
}

// bills returns how many bills the table has of each request, by the key's identity or else by the request's.
func (f *fleet) bills() map[string]int {
	f.t.Helper()
	counts := make(map[string]int)
	for _, row := range f.rows("bill/") {
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
		for _, r := range batch.Numbers {
			for number := r.First; number <= r.Last; number++ {
				counts[fmt.Sprintf("%s-%d", instance, number)]++
			}
		}
	}
	return counts
}

// instanceOf returns the instance that took a request.
func instanceOf(request string) string { return request[:strings.LastIndex(request, "-")] }

// instance returns the instance that is registered under the address of a router.
func (f *fleet) instance(p *process) string {
	f.t.Helper()
	var registered budget.InstanceRow
	rows := f.rows(budget.InstanceRowKey(p.peer))
	if len(rows) != 1 {
		f.t.Fatalf("%d instances are registered under %s", len(rows), p.peer)
	}
	if err := json.Unmarshal(rows[0].Value, &registered); err != nil {
		f.t.Fatal(err)
	}
	return registered.Instance
}
