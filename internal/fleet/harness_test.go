package fleet_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"citronslip/internal/budget"
	"citronslip/internal/config"
	"citronslip/internal/harness"
	"citronslip/internal/hosts"
	"citronslip/internal/standin"
	"citronslip/internal/table"
	"citronslip/pkg/inventory"
)

const (
	testKey    = "test-key"
	account    = "gardens"
	prepaid    = "prepaid"
	waitMost   = 30 * time.Second
	waitPoll   = 5 * time.Millisecond
	callMost   = 3 * time.Second // A caller's patience.
	scanPage   = 1000
	logKeep    = 20 // Lines of a router's log that a failed test prints.
	credential = "operator-credential"
)

type (
	// fleet is a set of router processes with stand-ins around them in the test's process.
	fleet struct {
		t        *testing.T
		declared *inventory.Inventory
		platform *standin.Platform
		backends *standin.Fleet
		base     string // Address of the platform's stand-in.
		routers  []*process
		versions int
		losing   atomic.Bool // Whether the table loses answers.
		refusing atomic.Bool // Whether the table refuses some calls.
		random   *rand.Rand
		mu       sync.Mutex // Guards random.
		client   *http.Client
	}

	// process is one router process. A replacement keeps the addresses.
	process struct {
		t        *testing.T
		name     string
		listen   string
		peer     string
		admin    string
		seeds    string
		platform *relay
		flight   atomic.Int64 // Calls of the test under way.
		answered atomic.Int64 // Requests of a load that were answered.

		mu    sync.Mutex
		cmd   *exec.Cmd
		stdin io.Closer
		ended chan struct{} // Closed when cmd has ended.
		log   bytes.Buffer  // Last lines of cmd.
	}

	// call is a request of a caller.
	call struct {
		method string
		path   string
		body   string
		header map[string]string
	}

	// answer is a response. Its run is what the router said of a request that it refused.
	answer struct {
		status  int
		request string // Identity of the request.
		run     string
		body    string
	}

	// lines collects a router's log.
	lines struct {
		p *process
	}
)

// start runs the stand-ins and commits the first configuration version. Routers are started by route.
func start(t *testing.T, declared *inventory.Inventory, prepare func(*fleet)) *fleet {
	t.Helper()
	const seed = 1
	f := &fleet{
		t:        t,
		declared: declared,
		platform: &standin.Platform{},
		backends: &standin.Fleet{Inventory: declared},
		random:   rand.New(rand.NewPCG(seed, 0)),
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}},
	}
	f.platform.Table.Inject = f.fault
	if err := f.backends.Start(); err != nil {
		t.Fatal(err)
	}
	if prepare != nil {
		prepare(f)
	}
	platform := httptest.NewServer(f.platform.Handler())
	f.base = strings.TrimPrefix(platform.URL, "http://")
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- f.backends.Run(ctx) }()
	t.Cleanup(func() {
		for _, p := range f.routers {
			p.kill()
		}
		f.client.CloseIdleConnections()
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
		platform.CloseClientConnections()
		platform.Close()
	})
	f.commit(declared)
	return f
}

// fault loses one commit's answer in six and refuses one call in twelve while that is switched on.
func (f *fleet) fault(name string) table.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch n := f.random.IntN(12); {
	case n == 0 && f.refusing.Load():
		return table.FaultRefuse
	case n > 0 && n <= 2 && name == "commit" && f.losing.Load():
		return table.FaultLose
	default:
		return table.FaultNone
	}
}

// commit makes an inventory the next configuration version.
func (f *fleet) commit(declared *inventory.Inventory) {
	f.t.Helper()
	data, err := inventory.Encode(declared)
	if err != nil {
		f.t.Fatal(err)
	}
	store := &config.Store{Table: &f.platform.Table, Objects: &f.platform.Objects}
	change := config.Change{Edited: f.versions, Inventory: data, Identity: fmt.Sprint(f.versions + 1), Author: "test"}
	f.versions++
	if _, err := store.Commit(context.Background(), change); err != nil {
		f.t.Fatal(err)
	}
}

// route adds routers that know each other, and waits until all of them are ready.
func (f *fleet) route(count int) {
	f.t.Helper()
	var group []*process
	var seeds []string
	for range count {
		p := &process{
			t:        f.t,
			name:     fmt.Sprintf("router%d", len(f.routers)+1),
			listen:   harness.Reserve(f.t),
			peer:     harness.Reserve(f.t),
			admin:    harness.Reserve(f.t),
			platform: startRelay(f.t, f.base),
		}
		seeds = append(seeds, p.peer)
		group = append(group, p)
		f.routers = append(f.routers, p)
	}
	f.list()
	for _, p := range group {
		p.seeds = strings.Join(seeds, ",")
		p.start()
	}
	for _, p := range group {
		f.ready(p)
	}
}

// list puts all routers into the host list: a router that is missing there counts as ended after a while.
func (f *fleet) list() {
	var list []hosts.Host
	for _, p := range f.routers {
		list = append(list, hosts.Host{Name: p.name, Address: p.peer, State: hosts.Live, Time: time.Now()})
	}
	f.platform.Hosts.Set(list)
}

func (f *fleet) ready(p *process) {
	f.t.Helper()
	eventually(f.t, p.name+" is ready", func() bool { return f.isReady(p) })
}

func (f *fleet) isReady(p *process) bool {
	f.t.Helper()
	select {
	case <-p.ended:
		f.t.Fatalf("%s ended before it was ready\n%s", p.name, p.logged())
	default:
	}
	got, err := f.do(f.t.Context(), p, call{method: http.MethodGet, path: "/readyz"})
	return err == nil && got.status == http.StatusOK
}

// do makes a call at one router.
func (f *fleet) do(ctx context.Context, p *process, c call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callMost)
	defer cancel()
	p.flight.Add(1)
	defer p.flight.Add(-1)
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+p.listen+c.path, strings.NewReader(c.body))
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{
		status:  response.StatusCode,
		request: response.Header.Get("Citronslip-Request"),
		run:     response.Header.Get("Citronslip-Run"),
		body:    string(body),
	}, err
}

// consumed returns the tokens that all engines prefilled and generated.
func (f *fleet) consumed() inventory.Tokens {
	var sum inventory.Tokens
	for _, engine := range f.backends.Engines {
		sum += inventory.Tokens(engine.Consumed())
	}
	return sum
}

// executions returns how often each booking was run.
func (f *fleet) executions() map[string]int {
	sum := make(map[string]int)
	for _, booking := range f.backends.Bookings {
		for body, count := range booking.Executions() {
			sum[body] += count
		}
	}
	return sum
}

// total returns the table's row of the prepaid budget.
func (f *fleet) total() budget.TotalRow {
	f.t.Helper()
	var row budget.TotalRow
	for _, found := range f.rows(budget.TotalRowKey(budget.Key{Account: account, Budget: prepaid})) {
		if err := json.Unmarshal(found.Value, &row); err != nil {
			f.t.Fatal(err)
		}
	}
	return row
}

// unreliable makes the table lose answers and refuse calls, or work again.
func (f *fleet) unreliable(on bool) {
	f.losing.Store(on)
	f.refusing.Store(on)
}

// rows returns all rows of a prefix. The table's faults are tried again.
func (f *fleet) rows(prefix string) []table.Row {
	f.t.Helper()
	var result []table.Row
	for after := ""; ; {
		page, err := f.platform.Table.Scan(context.Background(), prefix, after, scanPage)
		if errors.Is(err, table.ErrUnavailable) {
			continue
		}
		if err != nil {
			f.t.Fatal(err)
		}
		result = append(result, page...)
		if len(page) < scanPage {
			return result
		}
		after = page[len(page)-1].Key
	}
}

// stopAll performs a planned stop of all routers at once.
func (f *fleet) stopAll() {
	f.t.Helper()
	var group sync.WaitGroup
	for _, p := range f.routers {
		group.Go(p.stop)
	}
	group.Wait()
}

// start starts the process, or its replacement under the same addresses.
func (p *process) start() {
	p.t.Helper()
	cmd := exec.Command(os.Args[0], "route", "-name", p.name, "-place", "catania", "-listen", p.listen, "-peer", p.peer,
		"-admin", p.admin, "-credential", credentialFile(p.t), "-seeds", p.seeds, "-platform", p.platform.url(),
		"-grace", "10s", "-queue", "5s")
	cmd.Env = append(os.Environ(), roleVariable+"="+roleCommand)
	cmd.Stderr = lines{p}
	stdin, err := cmd.StdinPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log.Reset()
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	ended := make(chan struct{})
	p.cmd, p.stdin, p.ended = cmd, stdin, ended
	go func() {
		// The state of the process tells how it ended.
		_ = cmd.Wait()
		close(ended)
	}()
}

// signal sends a signal to the process.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	select {
	case <-p.ended:
	default:
		// The process may end at any moment, which makes the signal needless.
		_ = p.cmd.Process.Signal(signal)
	}
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) resume() { p.signal(syscall.SIGCONT) }

// kill ends the process without any notice and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// replace kills the process and starts another one under the same addresses.
func (p *process) replace() {
	p.kill()
	p.start()
}

// stop performs a planned stop, which must end with status 0.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(waitMost):
		p.t.Errorf("%s: a planned stop took longer than %v", p.name, waitMost)
		return
	}
	if status := p.cmd.ProcessState.ExitCode(); status != 0 {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.t.Errorf("%s: a planned stop ended with status %d\n%s", p.name, status, &p.log)
	}
}

// Write takes log lines of the process.
func (l lines) Write(data []byte) (int, error) {
	l.p.mu.Lock()
	defer l.p.mu.Unlock()
	if os.Getenv("CITRONSLIP_TEST_LOG") != "" {
		os.Stderr.Write(append([]byte(l.p.name+" "), data...))
	}
	l.p.log.Write(data)
	if all := bytes.SplitAfter(l.p.log.Bytes(), []byte("\n")); len(all) > 2*logKeep {
		kept := bytes.Join(all[len(all)-logKeep:], nil)
		l.p.log.Reset()
		l.p.log.Write(kept)
	}
	return len(data), nil
}

// chat returns a request to the model.
func chat(content string, tokens int) call {
	body, err := json.Marshal(map[string]any{
		"model": "planner", "max_tokens": tokens,
		"messages": []any{map[string]any{"role": "user", "content": content}},
	})
	if err != nil {
		panic(err) // Strings and numbers always encode.
	}
	return call{method: http.MethodPost, path: "/v1/chat/completions", body: string(body)}
}

func credentialFile(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "credentials")
	if err := os.WriteFile(file, []byte("operator "+inventory.DigestKey(credential)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	harness.Within(t, waitMost, what, holds)
}
