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
	// inForce is the time within which an accepted version is in force on all routers.
	inForce = 4 * time.Second
)

// Guards against two operators who both win, against an accepted version that is not in force everywhere within 4 s,
// against a router that goes back to an older version when it is restarted during an outage of the table, and against
// one that serves without any version.
func TestAcceptedVersionStays(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := start(t, harness.Declared(testKey, 1, ampleTokens), nil)
	f.route(3)
	for _, p := range f.routers {
		f.declared.Hosts = append(f.declared.Hosts, inventory.Host{Name: p.name, Place: "catania", Address: p.peer})
	}
	f.losing.Store(true)
	begin := time.Now()
	errs := f.applyBoth(1)
	f.losing.Store(false)
	is.True((errs[0] == nil) != (errs[1] == nil)) // one operator wins
	for i, p := range f.routers {
		harness.Within(t, inForce-time.Since(begin), p.name+" has the accepted version", func() bool { return f.version(i) == 2 })
	}
	f.platform.SetDown(true)
	restarted := f.routers[2]
	restarted.replace()
	f.ready(restarted)
	is.Equal(f.version(2), 2) // version of a router that was restarted during an outage
	f.routers[0].kill()
	f.routers[1].kill()
	restarted.replace()
	eventually(t, "a router without table and peers says why it is not ready", func() bool {
		return strings.Contains(restarted.logged(), "router not ready")
	})
	got, err := f.do(t.Context(), restarted, call{method: http.MethodGet, path: "/readyz"})
	is.NoErr(err)
	is.Equal(got.status, http.StatusServiceUnavailable)
	got, err = f.do(t.Context(), restarted, chat("plan a hedge", askTokens))
	is.NoErr(err)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.run, "no")
	f.platform.SetDown(false)
	f.ready(restarted)
	is.Equal(f.version(2), 2) // version after the outage
}

// applyBoth lets two operators change the same version at once, each through another router.
func (f *fleet) applyBoth(base int) [2]error {
	f.t.Helper()
	var errs [2]error
	var group sync.WaitGroup
	for i := range errs {
		changed := *f.declared
		changed.Budgets = []inventory.Budget{f.declared.Budgets[0]}
		changed.Budgets[0].Tokens += inventory.Tokens(i + 1)
		text, err := toml.Marshal(&changed)
		if err != nil {
			f.t.Fatal(err)
		}
		change := wire.Apply{Base: base, Change: f.routers[i].name, Files: []wire.InventoryFile{{Name: "all.toml", Text: string(text)}}}
		group.Go(func() { _, errs[i] = f.operator(i).Apply(f.t.Context(), change) })
	}
	group.Wait()
	f.t.Logf("first operator: %v; second operator: %v", errs[0], errs[1])
	return errs
}

func (f *fleet) operator(router int) *operator.Client {
	return &operator.Client{Addresses: []string{"http://" + f.routers[router].admin}, Credential: credential}
}

// version returns the number of the version in force on a router, 0 if it does not answer.
func (f *fleet) version(router int) int {
	ctx, cancel := context.WithTimeout(f.t.Context(), callMost)
	defer cancel()
	status, err := f.operator(router).Status(ctx)
	if err != nil {
		return 0
	}
	return status.Version
}

// logged returns the last lines of the router's log.
func (p *process) logged() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}
