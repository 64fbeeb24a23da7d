package fleet_test

import (
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/harness"
	"citronslip/internal/hosts"
	"citronslip/pkg/inventory"
)

const (
	// leaveMost is the time after which a leaving backend server gets no new work.
	leaveMost = 3 * time.Second
)

// Guards against work for a leaving backend server after 3 s, by its own header or by the host list, and against planned
// stops that interrupt requests, keep grants or take longer than their limit.
func TestLeavingAndPlannedStops(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := start(t, harness.Declared(testKey, 3, ampleTokens), nil)
	f.route(3)
	load := f.load(12)
	load.more(t, 50)
	f.backends.Engines["planner1"].SetLeaving(true)
	address, err := url.Parse(f.declared.Backends[1].Address)
	is.NoErr(err)
	listed, err := f.platform.Hosts.Hosts(t.Context())
	is.NoErr(err)
	f.platform.Hosts.Set(append(listed, hosts.Host{Name: "planner2", Address: address.Host, State: hosts.Leaving, Time: time.Now()}))
	// The requirement is a time, so that the test waits for it and not for an event.
	pause(t, leaveMost)
	first, _, _ := f.backends.Engines["planner1"].Counts()
	second, _, _ := f.backends.Engines["planner2"].Counts()
	load.more(t, 200)
	after, _, _ := f.backends.Engines["planner1"].Counts()
	is.Equal(after, first) // generations at a server that says itself that it leaves
	after, _, _ = f.backends.Engines["planner2"].Counts()
	is.Equal(after, second) // generations at a server that the host list says leaves
	is.Equal(load.other.Load(), int64(0))
	stopping := f.routers[0]
	instance := f.instance(stopping)
	eventually(t, "requests are in flight at the router to stop", func() bool { return stopping.flight.Load() > 0 })
	stopping.stop()
	for _, row := range f.rows("grant/") {
		is.True(!strings.Contains(row.Key, url.PathEscape(instance))) // grant of a router after its planned stop
	}
	load.more(t, 50)
	is.Equal(load.interrupted.Load(), int64(0)) // requests that a planned stop interrupted
	load.stop()
	f.stopAll()
	is.Equal(f.total().Granted, inventory.Tokens(0))
	is.Equal(load.interrupted.Load(), int64(0))
	got, err := f.do(t.Context(), stopping, call{method: http.MethodGet, path: "/readyz"})
	is.True(refusedDial(err))
	is.Equal(got.status, 0)
}
