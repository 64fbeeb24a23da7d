package fleet_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"

	"citronslip/internal/harness"
	"citronslip/internal/operator"
	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

const (
	// activationTimeout is the time within which all routers must activate an accepted configuration version.
	activationTimeout = 4 * time.Second
)

// Guards against two conflicting changes both being accepted, against an accepted configuration version that is not
// active on all routers within 4 s, against a router that reverts to an older version when it is restarted while the
// table service is down, and against a router that serves requests without any version.
func TestAcceptedVersionStays(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, harness.NewInventory(testKey, 1, ampleTokens), nil)
	f.startRouters(3)
	for _, p := range f.routers {
		f.inventory.Hosts = append(f.inventory.Hosts, inventory.Host{Name: p.name, Place: "catania", Address: p.peerAddress})
	}
	f.loseCommitResponses.Store(true)
	applied := time.Now()
	errs := f.applyConcurrently(1)
	f.loseCommitResponses.Store(false)
	is.True((errs[0] == nil) != (errs[1] == nil)) // Exactly one change is accepted.
	for i, p := range f.routers {
		harness.Eventually(t, activationTimeout-time.Since(applied), p.name+" activates the accepted version", func() bool {
			return f.activeVersion(i) == 2
		})
	}
	f.platform.SetDown(true)
	restarted := f.routers[2]
	restarted.restart()
	f.waitReady(restarted)
	is.Equal(f.activeVersion(2), 2) // Version after a restart while the table service is down.
	f.routers[0].kill()
	f.routers[1].kill()
	restarted.restart()
	eventually(t, "a router without table service and peers logs why it is not ready", func() bool {
		return strings.Contains(restarted.logText(), "router not ready")
	})
	response, err := f.send(t.Context(), restarted, apiRequest{method: http.MethodGet, path: "/readyz"})
	is.NoErr(err)
	is.Equal(response.status, http.StatusServiceUnavailable)
	response, err = f.send(t.Context(), restarted, chatRequest("plan a hedge", maxOutputTokens))
	is.NoErr(err)
	is.Equal(response.status, http.StatusServiceUnavailable)
	is.Equal(response.runHeader, "no")
	f.platform.SetDown(false)
	f.waitReady(restarted)
	is.Equal(f.activeVersion(2), 2) // Version after the table service is up again.
}

// applyConcurrently applies two different changes of the version base at the same time, each through another router,
// and returns their errors.
func (f *fleet) applyConcurrently(base int) [2]error {
	f.t.Helper()
	var errs [2]error
	var operators sync.WaitGroup
	for i := range errs {
		changed := *f.inventory
		changed.Budgets = []inventory.Budget{f.inventory.Budgets[0]}
		changed.Budgets[0].Tokens += inventory.Tokens(i + 1)
		text, err := toml.Marshal(&changed)
		if err != nil {
			f.t.Fatal(err)
		}
		change := wire.Apply{Base: base, Change: f.routers[i].name,
			Files: []wire.InventoryFile{{Name: "all.toml", Text: string(text)}}}
		operators.Go(func() { _, errs[i] = f.operatorClient(i).Apply(f.t.Context(), change) })
	}
	operators.Wait()
	f.t.Logf("first operator: %v; second operator: %v", errs[0], errs[1])
	return errs
}

func (f *fleet) operatorClient(router int) *operator.Client {
	return &operator.Client{Addresses: []string{"http://" + f.routers[router].adminAddress}, Credential: operatorCredential}
}

// activeVersion returns the number of the configuration version that is active on a router, 0 if the router does not
// respond.
func (f *fleet) activeVersion(router int) int {
	ctx, cancel := context.WithTimeout(f.t.Context(), callTimeout)
	defer cancel()
	status, err := f.operatorClient(router).Status(ctx)
	if err != nil {
		return 0
	}
	return status.Version
}

// logText returns the last lines of the router's log, for failure messages.
func (p *routerProcess) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.logTail.String()
}
