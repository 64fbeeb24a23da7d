package fleet_test

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/harness"
	"citronslip/pkg/inventory"
)

const (
	// tightTokens is a prepaid budget that the requests of a test use up.
	tightTokens inventory.Tokens = 10000
	topupTokens inventory.Tokens = 5000
	// maxOutputTokens is the output limit of a request. With the prompt, the upper bound reserved for an attempt is
	// about three times the tokens that it uses.
	maxOutputTokens = 64
	// refusalTimeout is longer than a router waits for tokens before it refuses a request: 1 s for its grant and 3.15 s for
	// reservations to be settled.
	refusalTimeout = 6 * time.Second
)

// Guards against overspending a tight prepaid budget that two groups of routers use, which do not know each other at
// first and join later. The table service loses responses and goes down, one router is suspended with requests in
// flight and resumed after the budget is exhausted, another is killed and restarted, and a top-up is committed while a
// third is partitioned from the platform.
func TestBudgetIsNeverExceeded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, harness.NewInventory(testKey, 2, tightTokens), nil)
	f.callTimeout = refusalTimeout
	f.startRouters(2)
	f.startRouters(2)
	load := f.startLoad(24)
	t.Cleanup(func() {
		if t.Failed() {
			f.logState(load)
		}
	})
	f.setTableFaults(true)
	load.waitForMore(t, 100)
	// Kill the router that answered most requests: its grant is the most used one, so an error in closing it shows.
	killed, partitioned, suspended := f.pickRouters()
	eventually(t, "requests are in flight at the router to suspend", func() bool { return suspended.inFlight.Load() > 2 })
	suspended.suspend()
	f.platform.SetDown(true)
	load.waitForMore(t, 30)
	f.platform.SetDown(false)
	partitioned.platformProxy.partition()
	load.waitForMore(t, 50)
	toppedUp := *f.inventory
	toppedUp.Budgets = []inventory.Budget{f.inventory.Budgets[0]}
	toppedUp.Budgets[0].TopUps = []inventory.TopUp{{Name: "more", Tokens: topupTokens}}
	for _, p := range f.routers {
		toppedUp.Hosts = append(toppedUp.Hosts, inventory.Host{Name: p.name, Place: "catania", Address: p.peerAddress})
	}
	f.setTableFaults(false)
	f.commitInventory(&toppedUp)
	f.setTableFaults(true)
	load.waitForMore(t, 50)
	killedInstance := url.PathEscape(f.registeredInstance(killed))
	killed.restart()
	f.waitReady(killed)
	load.waitForMore(t, 50)
	refused := load.budgetExhausted.Load()
	partitioned.platformProxy.heal()
	eventually(t, "requests are refused because the budget is exhausted", func() bool {
		return load.budgetExhausted.Load()-refused > 20
	})
	suspended.resume()
	load.waitForMore(t, 50)
	f.platform.SetDown(true)
	load.waitForMore(t, 20)
	f.platform.SetDown(false)
	load.stop()
	f.setTableFaults(false)
	eventually(t, "the grant of the killed router is reclaimed", func() bool {
		return len(f.scanRows("holding/"+killedInstance)) == 0
	})
	f.stopAll()
	total := f.budgetTotal()
	t.Logf("answered %d, refused %d because of the budget (%d permanently), failed %d; "+
		"consumed %d tokens, closed %d, granted %d of %d",
		load.answered.Load(), load.budgetRefused.Load(), load.budgetExhausted.Load(), load.failed.Load(),
		f.consumedTokens(), total.Closed, total.Granted, total.Total)
	for _, grant := range f.scanRows("grant/") {
		t.Errorf("row %s is left after shutdown: %s", grant.Key, grant.Value)
		for _, p := range f.routers {
			if strings.HasSuffix(grant.Key, url.PathEscape("@"+p.peerAddress)) {
				t.Logf("last log lines of %s:\n%s", p.name, p.logText())
			}
		}
	}
	is.True(f.consumedTokens() > total.Total/4) // Enough is spent for the checks below to be meaningful.
	is.Equal(total.Total, tightTokens+topupTokens)
	is.True(f.consumedTokens() <= total.Total)         // Consumption of the engines.
	is.True(total.Closed+total.Granted <= total.Total) // Commitments in the table.
	is.True(f.consumedTokens() <= total.Closed)        // All consumption is charged.
	is.Equal(total.Granted, inventory.Tokens(0))       // A graceful shutdown returns the grants.
}

// Guards against a second process registering under the peer address of a router that is only suspended. The other
// routers would take the registration as proof that the suspended process has ended and can spend nothing more, while
// it can still dispatch requests when it is resumed.
func TestSecondProcessDoesNotRegister(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, harness.NewInventory(testKey, 1, ampleTokens), nil)
	f.startRouters(1)
	first := f.routers[0]
	response, err := f.send(t.Context(), first, chatRequest("plan a hedge", maxOutputTokens))
	is.NoErr(err)
	is.Equal(response.status, http.StatusOK)
	before := f.scanRows("instance/")
	is.Equal(len(before), 1)
	first.suspend()
	second := &routerProcess{t: t, name: "second", listenAddress: harness.ReservePort(t), peerAddress: first.peerAddress,
		adminAddress: harness.ReservePort(t), seeds: first.peerAddress, platformProxy: startProxy(t, f.platformAddress)}
	second.start()
	select {
	case <-second.exited:
	case <-time.After(maxWait):
		second.kill()
		t.Error("second process at a peer address that is in use did not exit")
	}
	is.True(second.cmd.ProcessState.ExitCode() != 0)
	is.Equal(f.scanRows("instance/"), before)
	first.resume()
	first.stop()
}

// pickRouters returns the router that answered most requests, the other router of its group, and one of the other
// group. Routers 0 and 1 are one group, 2 and 3 the other.
func (f *fleet) pickRouters() (busiest, sameGroup, otherGroup *routerProcess) {
	busiestIndex := 0
	for i, p := range f.routers {
		if p.answered.Load() > f.routers[busiestIndex].answered.Load() {
			busiestIndex = i
		}
	}
	return f.routers[busiestIndex], f.routers[busiestIndex^1], f.routers[busiestIndex^2]
}

type (
	// steadyLoad is a constant load of chat requests on all routers.
	steadyLoad struct {
		fleet           *fleet
		done            chan struct{}
		end             sync.Once
		callers         sync.WaitGroup
		answered        atomic.Int64
		budgetRefused   atomic.Int64 // Requests refused because of the budget.
		budgetExhausted atomic.Int64 // Those of budgetRefused for which a retry cannot succeed (status 402).
		failed          atomic.Int64 // Requests refused for other reasons or without a complete response.
		// interrupted counts requests that were sent and got no complete response, including those to killed routers.
		interrupted atomic.Int64
	}
)

// startLoad starts callers, each of which sends one request after another to all routers in turn, at the latest until the
// test ends.
func (f *fleet) startLoad(callers int) *steadyLoad {
	l := &steadyLoad{fleet: f, done: make(chan struct{})}
	for caller := range callers {
		l.callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-l.done:
					return
				default:
					l.send(caller, n)
				}
			}
		})
	}
	f.t.Cleanup(l.stop)
	return l
}

func (l *steadyLoad) send(caller, n int) {
	req := chatRequest(fmt.Sprintf("plan bed %d of caller %d", n, caller), maxOutputTokens)
	p := l.fleet.routers[(caller+n)%len(l.fleet.routers)]
	response, err := l.fleet.send(l.fleet.t.Context(), p, req)
	switch {
	case err == nil && response.status == http.StatusOK:
		p.answered.Add(1)
		l.answered.Add(1)
	case err == nil && strings.Contains(response.body, `"code":"budget"`):
		l.budgetRefused.Add(1)
		if response.status == http.StatusPaymentRequired {
			l.budgetExhausted.Add(1)
		}
	default:
		if err != nil && !dialFailed(err) {
			l.interrupted.Add(1)
			l.fleet.t.Logf("request to %s got no complete response: status %d, %v", p.name, response.status, err)
		}
		l.failed.Add(1)
		pause(l.fleet.t, retryBackoff)
	}
}

// logState logs the results of the load, the budget's row and the last log lines of all routers.
func (f *fleet) logState(load *steadyLoad) {
	f.t.Logf("answered %d, refused %d because of the budget (%d permanently), failed %d; budget %+v",
		load.answered.Load(), load.budgetRefused.Load(), load.budgetExhausted.Load(), load.failed.Load(), f.budgetTotal())
	for _, p := range f.routers {
		f.t.Logf("last log lines of %s:\n%s", p.name, p.logText())
	}
}

// waitForMore waits until count more requests have completed.
func (l *steadyLoad) waitForMore(t *testing.T, count int64) {
	t.Helper()
	completed := func() int64 { return l.answered.Load() + l.budgetRefused.Load() + l.failed.Load() }
	target := completed() + count
	eventually(t, "requests complete", func() bool { return completed() >= target })
}

// stop ends the load and waits for the requests in flight.
func (l *steadyLoad) stop() {
	l.end.Do(func() { close(l.done) })
	l.callers.Wait()
}
