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
	tightTokens inventory.Tokens = 10000
	topupTokens inventory.Tokens = 5000
	// askTokens is the output limit of a request. With the prompt it bounds an attempt at about three times its use.
	askTokens = 64
)

// Guards against overspend of a tight prepaid budget in two groups of routers that do not know each other, while the
// table loses answers and goes away, a router is frozen with requests in flight and resumed when all tokens are gone,
// another is killed and replaced, and a top-up is committed during a cut. The groups join in the end.
func TestBudgetIsNeverExceeded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := start(t, harness.Declared(testKey, 2, tightTokens), nil)
	f.route(2)
	f.route(2)
	load := f.load(24)
	f.unreliable(true)
	load.more(t, 100)
	// The router to kill is the one that spent most, so that the way in which its grant is closed matters.
	killed, cut, frozen := f.roles()
	eventually(t, "requests are in flight at the router to freeze", func() bool { return frozen.flight.Load() > 2 })
	frozen.freeze()
	f.platform.SetDown(true)
	load.more(t, 30)
	f.platform.SetDown(false)
	cut.platform.cut()
	load.more(t, 50)
	topped := *f.declared
	topped.Budgets = []inventory.Budget{f.declared.Budgets[0]}
	topped.Budgets[0].Topups = []inventory.Topup{{Name: "more", Tokens: topupTokens}}
	for _, p := range f.routers {
		topped.Hosts = append(topped.Hosts, inventory.Host{Name: p.name, Place: "catania", Address: p.peer})
	}
	f.unreliable(false)
	f.commit(&topped)
	f.unreliable(true)
	load.more(t, 50)
	dead := url.PathEscape(f.instance(killed))
	killed.replace()
	f.ready(killed)
	load.more(t, 50)
	cut.platform.heal()
	eventually(t, "a budget that is used up refuses requests", func() bool { return load.exhausted.Load() > 20 })
	frozen.resume()
	load.more(t, 50)
	f.platform.SetDown(true)
	load.more(t, 20)
	f.platform.SetDown(false)
	load.stop()
	f.unreliable(false)
	eventually(t, "the grant of the killed router is reclaimed", func() bool { return len(f.rows("holding/"+dead)) == 0 })
	f.stopAll()
	row := f.total()
	t.Logf("answered %d, refused %d (%d for good), other %d; consumed %d, closed %d, granted %d of %d",
		load.answered.Load(), load.refused.Load(), load.exhausted.Load(), load.other.Load(), f.consumed(), row.Closed, row.Granted, row.Total)
	for _, grant := range f.rows("grant/") {
		t.Errorf("%s is left: %s", grant.Key, grant.Value)
		for _, p := range f.routers {
			if strings.HasSuffix(grant.Key, url.PathEscape("@"+p.peer)) {
				t.Logf("last log lines of %s:\n%s", p.name, p.logged())
			}
		}
	}
	is.True(f.consumed() > row.Total/4) // enough was spent for the run to tell something
	is.Equal(row.Total, tightTokens+topupTokens)
	is.True(f.consumed() <= row.Total)           // what the engines did
	is.True(row.Closed+row.Granted <= row.Total) // what the table promises
	is.True(f.consumed() <= row.Closed)          // all consumption is charged
	is.Equal(row.Granted, inventory.Tokens(0))   // planned stops leave no grant
}

// Guards against a second process at the address of a router that is only frozen. Its registration would count as
// evidence that the frozen one can spend no more, which may dispatch requests once it is resumed.
func TestSecondProcessDoesNotRegister(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := start(t, harness.Declared(testKey, 1, ampleTokens), nil)
	f.route(1)
	p := f.routers[0]
	got, err := f.do(t.Context(), p, chat("plan a hedge", askTokens))
	is.NoErr(err)
	is.Equal(got.status, http.StatusOK)
	before := f.rows("instance/")
	is.Equal(len(before), 1)
	p.freeze()
	second := &process{t: t, name: "second", listen: harness.Reserve(t), peer: p.peer, admin: harness.Reserve(t),
		seeds: p.peer, platform: startRelay(t, f.base)}
	second.start()
	select {
	case <-second.ended:
	case <-time.After(waitMost):
		second.kill()
		t.Error("a second process at the address of another one goes on")
	}
	is.True(second.cmd.ProcessState.ExitCode() != 0)
	is.Equal(f.rows("instance/"), before)
	p.resume()
	p.stop()
}

// roles returns the router that answered most, the other one of its group, and one of the other group.
func (f *fleet) roles() (most, same, other *process) {
	best := 0
	for i, p := range f.routers {
		if p.answered.Load() > f.routers[best].answered.Load() {
			best = i
		}
	}
	return f.routers[best], f.routers[best^1], f.routers[best^2]
}

type (
	// load is a steady load of model requests at all routers.
	load struct {
		f         *fleet
		done      chan struct{}
		group     sync.WaitGroup
		answered  atomic.Int64
		refused   atomic.Int64 // Refusals because of the budget.
		exhausted atomic.Int64 // Refusals that no retry can help.
		other     atomic.Int64
		// interrupted counts requests that were sent and got no whole answer, among them those of killed routers.
		interrupted atomic.Int64
	}
)

// load starts callers that send one request after another, each to all routers in turn.
func (f *fleet) load(callers int) *load {
	l := &load{f: f, done: make(chan struct{})}
	for caller := range callers {
		l.group.Go(func() {
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
	return l
}

func (l *load) send(caller, n int) {
	c := chat(fmt.Sprintf("plan bed %d of caller %d", n, caller), askTokens)
	p := l.f.routers[(caller+n)%len(l.f.routers)]
	got, err := l.f.do(l.f.t.Context(), p, c)
	switch {
	case err == nil && got.status == http.StatusOK:
		p.answered.Add(1)
		l.answered.Add(1)
	case err == nil && strings.Contains(got.body, `"code":"budget"`):
		l.refused.Add(1)
		if got.status == http.StatusPaymentRequired {
			l.exhausted.Add(1)
		}
	default:
		if err != nil && !refusedDial(err) {
			l.interrupted.Add(1)
		}
		l.other.Add(1)
		pause(l.f.t, waitPoll)
	}
}

// more waits until some more requests have ended.
func (l *load) more(t *testing.T, count int64) {
	t.Helper()
	ended := func() int64 { return l.answered.Load() + l.refused.Load() + l.other.Load() }
	target := ended() + count
	eventually(t, "requests go on", func() bool { return ended() >= target })
}

// stop ends the load once the requests under way have ended.
func (l *load) stop() {
	close(l.done)
	l.group.Wait()
}
