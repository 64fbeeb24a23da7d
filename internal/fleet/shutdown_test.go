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
	// leavingTimeout is the time after which a backend server that is leaving gets no new requests.
	leavingTimeout = 3 * time.Second
)

// Guards against a backend server still getting requests 3 s after it is leaving, by its own response header or by the
// host list, and against a graceful shutdown of a router that interrupts requests, keeps grants or takes too long.
func TestLeavingAndPlannedStops(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, harness.NewInventory(testKey, 3, ampleTokens), nil)
	f.startRouters(3)
	load := f.startLoad(12)
	load.waitForMore(t, 50)
	f.backends.Engines["planner1"].SetLeaving(true)
	address, err := url.Parse(f.inventory.Backends[1].Address)
	is.NoErr(err)
	hostList, err := f.platform.Hosts.Hosts(t.Context())
	is.NoErr(err)
	f.platform.Hosts.Set(append(hostList, hosts.Host{Name: "planner2", Address: address.Host,
		State: hosts.StateLeaving, Time: time.Now()}))
	// The requirement is a time limit, so the test waits for that time and not for an event.
	pause(t, leavingTimeout)
	planner1Count, _, _ := f.backends.Engines["planner1"].Counts()
	planner2Count, _, _ := f.backends.Engines["planner2"].Counts()
	load.waitForMore(t, 200)
	after, _, _ := f.backends.Engines["planner1"].Counts()
	is.Equal(after, planner1Count) // Generations of the server that reports itself as leaving.
	after, _, _ = f.backends.Engines["planner2"].Counts()
	is.Equal(after, planner2Count) // Generations of the server that the host list reports as leaving.
	is.Equal(load.failed.Load(), int64(0))
	stopping := f.routers[0]
	instance := f.registeredInstance(stopping)
	eventually(t, "requests are in flight at the router to stop", func() bool { return stopping.inFlight.Load() > 0 })
	stopping.stop()
	for _, row := range f.scanRows("grant/") {
		is.True(!strings.Contains(row.Key, url.PathEscape(instance))) // No grant is left after a graceful shutdown.
	}
	load.waitForMore(t, 50)
	is.Equal(load.interrupted.Load(), int64(0)) // Requests interrupted by the graceful shutdown.
	load.stop()
	f.stopAll()
	is.Equal(f.budgetTotal().Granted, inventory.Tokens(0))
	is.Equal(load.interrupted.Load(), int64(0))
	response, err := f.send(t.Context(), stopping, apiRequest{method: http.MethodGet, path: "/readyz"})
	is.True(dialFailed(err))
	is.Equal(response.status, 0)
}
