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
	testKey            = "test-key"
	testAccount        = "gardens" // Client account of harness.NewInventory.
	testBudget         = "prepaid" // Prepaid budget of testAccount.
	maxWait            = 30 * time.Second
	retryBackoff       = 5 * time.Millisecond
	callTimeout        = 3 * time.Second // Longest wait of a caller for a response, unless a test sets another.
	scanPageSize       = 1000
	keptLogLines       = 20 // Log lines kept for failure messages when older ones are dropped.
	operatorCredential = "operator-credential"
)

type (
	// fleet is a set of router processes. The platform services and the backend servers are simulated in the test's
	// process.
	fleet struct {
		t                   *testing.T
		inventory           *inventory.Inventory
		platform            *standin.Platform
		backends            *standin.Fleet
		platformAddress     string // Host and port of the simulated platform services.
		routers             []*routerProcess
		lastVersion         int         // Number of the newest committed configuration version.
		loseCommitResponses atomic.Bool // Whether the table service applies some commits and loses the response.
		refuseCalls         atomic.Bool // Whether the table service refuses some calls.
		rng                 *rand.Rand
		mu                  sync.Mutex // Guards rng.
		client              *http.Client
		callTimeout         time.Duration // Longest wait of a caller for a response.
	}

	// routerProcess is a router that runs as a process of its own. It keeps its addresses when it is restarted.
	routerProcess struct {
		t             *testing.T
		name          string
		listenAddress string
		peerAddress   string
		adminAddress  string
		seeds         string // Peer addresses of its group, separated by commas.
		platformProxy *tcpProxy
		inFlight      atomic.Int64 // Requests of the test in flight.
		answered      atomic.Int64 // Requests of a steadyLoad that were answered.

		mu      sync.Mutex
		cmd     *exec.Cmd
		stdin   io.Closer     // Stays open as long as the test runs; see TestMain.
		exited  chan struct{} // Closed when cmd has exited.
		logTail bytes.Buffer  // Last lines that cmd logged.
	}

	// apiRequest is an HTTP request of a caller.
	apiRequest struct {
		method string
		path   string
		body   string
		header map[string]string
	}

	// apiResponse is a router's response to an apiRequest.
	apiResponse struct {
		status    int
		requestID string // Identity that the router assigned to the request.
		runHeader string // For a refusal, whether the request was executed: "no" or "unknown".
		body      string
	}

	// logWriter keeps the last lines of a router's log.
	logWriter struct {
		p *routerProcess
	}
)

// startFleet starts the simulated services and commits the first configuration version. It starts no routers; see
// startRouters. The function configure, if not nil, may change the simulated services before they accept calls.
func startFleet(t *testing.T, inv *inventory.Inventory, configure func(*fleet)) *fleet {
	t.Helper()
	const seed = 1
	f := &fleet{
		t:         t,
		inventory: inv,
		platform:  &standin.Platform{},
		backends:  &standin.Fleet{Inventory: inv},
		rng:       rand.New(rand.NewPCG(seed, 0)),
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}},

		callTimeout: callTimeout,
	}
	f.platform.Table.Inject = f.injectFault
	if err := f.backends.Start(); err != nil {
		t.Fatal(err)
	}
	if configure != nil {
		configure(f)
	}
	platformServer := httptest.NewServer(f.platform.Handler())
	f.platformAddress = strings.TrimPrefix(platformServer.URL, "http://")
	ctx, cancel := context.WithCancel(context.Background())
	backendsDone := make(chan error, 1)
	go func() { backendsDone <- f.backends.Run(ctx) }()
	t.Cleanup(func() {
		for _, p := range f.routers {
			p.kill()
		}
		f.client.CloseIdleConnections()
		cancel()
		if err := <-backendsDone; err != nil {
			t.Error(err)
		}
		platformServer.CloseClientConnections()
		platformServer.Close()
	})
	f.commitInventory(inv)
	return f
}

// injectFault makes the table service lose the response to one commit in six and refuse one call in twelve while these
// faults are enabled.
func (f *fleet) injectFault(operation string) table.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch n := f.rng.IntN(12); {
	case n == 0 && f.refuseCalls.Load():
		return table.FaultRefuse
	case n > 0 && n <= 2 && operation == "commit" && f.loseCommitResponses.Load():
		return table.FaultLose
	default:
		return table.FaultNone
	}
}

// commitInventory commits an inventory as the next configuration version.
func (f *fleet) commitInventory(inv *inventory.Inventory) {
	f.t.Helper()
	data, err := inventory.Encode(inv)
	if err != nil {
		f.t.Fatal(err)
	}
	store := &config.Store{Table: &f.platform.Table, Objects: &f.platform.Objects}
	change := config.Change{Edited: f.lastVersion, Inventory: data, Identity: fmt.Sprint(f.lastVersion + 1), Author: "test"}
	f.lastVersion++
	if _, err := store.Commit(context.Background(), change); err != nil {
		f.t.Fatal(err)
	}
}

// startRouters starts a group of routers that have each other as seeds, and waits until all of them are ready. Groups
// do not know each other until the configuration lists the hosts of both.
func (f *fleet) startRouters(count int) {
	f.t.Helper()
	var started []*routerProcess
	var seeds []string
	for range count {
		p := &routerProcess{
			t:             f.t,
			name:          fmt.Sprintf("router%d", len(f.routers)+1),
			listenAddress: harness.ReservePort(f.t),
			peerAddress:   harness.ReservePort(f.t),
			adminAddress:  harness.ReservePort(f.t),
			platformProxy: startProxy(f.t, f.platformAddress),
		}
		seeds = append(seeds, p.peerAddress)
		started = append(started, p)
		f.routers = append(f.routers, p)
	}
	f.publishHosts()
	for _, p := range started {
		p.seeds = strings.Join(seeds, ",")
		p.start()
	}
	for _, p := range started {
		f.waitReady(p)
	}
}

// publishHosts writes all routers into the platform's host list. A router that is missing there is taken for stopped
// after some time.
func (f *fleet) publishHosts() {
	var entries []hosts.Host
	for _, p := range f.routers {
		entries = append(entries, hosts.Host{Name: p.name, Address: p.peerAddress, State: hosts.StateLive, Time: time.Now()})
	}
	f.platform.Hosts.Set(entries)
}

func (f *fleet) waitReady(p *routerProcess) {
	f.t.Helper()
	eventually(f.t, p.name+" is ready", func() bool { return f.isReady(p) })
}

func (f *fleet) isReady(p *routerProcess) bool {
	f.t.Helper()
	select {
	case <-p.exited:
		f.t.Fatalf("%s exited before it was ready\n%s", p.name, p.logText())
	default:
	}
	response, err := f.send(f.t.Context(), p, apiRequest{method: http.MethodGet, path: "/readyz"})
	return err == nil && response.status == http.StatusOK
}

// send sends a request to one router, within the callTimeout of the fleet.
func (f *fleet) send(ctx context.Context, p *routerProcess, req apiRequest) (apiResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, f.callTimeout)
	defer cancel()
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	httpRequest, err := http.NewRequestWithContext(ctx, req.method, "http://"+p.listenAddress+req.path,
		strings.NewReader(req.body))
	if err != nil {
		return apiResponse{}, err
	}
	httpRequest.Header.Set("Authorization", "Bearer "+testKey)
	for name, value := range req.header {
		httpRequest.Header.Set(name, value)
	}
	httpResponse, err := f.client.Do(httpRequest)
	if err != nil {
		return apiResponse{}, err
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(httpResponse.Body)
	return apiResponse{
		status:    httpResponse.StatusCode,
		requestID: httpResponse.Header.Get("Citronslip-Request"),
		runHeader: httpResponse.Header.Get("Citronslip-Run"),
		body:      string(body),
	}, err
}

// consumedTokens returns the number of tokens that all engines together prefilled and generated.
func (f *fleet) consumedTokens() inventory.Tokens {
	var total inventory.Tokens
	for _, engine := range f.backends.Engines {
		total += inventory.Tokens(engine.Consumed())
	}
	return total
}

// executions returns how often each booking was executed, by its request body.
func (f *fleet) executions() map[string]int {
	counts := make(map[string]int)
	for _, booking := range f.backends.Bookings {
		for body, count := range booking.Executions() {
			counts[body] += count
		}
	}
	return counts
}

// budgetTotal returns the table row with the totals of the prepaid budget.
func (f *fleet) budgetTotal() budget.Row {
	f.t.Helper()
	var row budget.Row
	for _, found := range f.scanRows(budget.RowKey(budget.Key{Account: testAccount, Budget: testBudget})) {
		if err := json.Unmarshal(found.Value, &row); err != nil {
			f.t.Fatal(err)
		}
	}
	return row
}

// setTableFaults switches both faults of the table service on or off: lost responses to commits and refused calls.
func (f *fleet) setTableFaults(enabled bool) {
	f.loseCommitResponses.Store(enabled)
	f.refuseCalls.Store(enabled)
}

// scanRows returns all table rows whose keys have a prefix. It retries calls that the table service refuses.
func (f *fleet) scanRows(prefix string) []table.Row {
	f.t.Helper()
	var rows []table.Row
	for after := ""; ; {
		found, err := f.platform.Table.Scan(context.Background(), prefix, after, scanPageSize)
		if errors.Is(err, table.ErrUnavailable) {
			continue
		}
		if err != nil {
			f.t.Fatal(err)
		}
		rows = append(rows, found...)
		if len(found) < scanPageSize {
			return rows
		}
		after = found[len(found)-1].Key
	}
}

// stopAll shuts down all routers gracefully, at the same time.
func (f *fleet) stopAll() {
	f.t.Helper()
	var stops sync.WaitGroup
	for _, p := range f.routers {
		stops.Go(p.stop)
	}
	stops.Wait()
}

// start starts the process, or starts it again under the same addresses.
func (p *routerProcess) start() {
	p.t.Helper()
	cmd := exec.Command(os.Args[0], "route", "-name", p.name, "-place", "catania", "-listen", p.listenAddress,
		"-peer", p.peerAddress,
		"-admin", p.adminAddress, "-credential", writeCredentialFile(p.t), "-seeds", p.seeds, "-platform", p.platformProxy.url(),
		"-grace", "10s", "-queue", "5s")
	cmd.Env = append(os.Environ(), roleEnvVar+"="+roleCommand)
	cmd.Stderr = logWriter{p}
	stdin, err := cmd.StdinPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logTail.Reset()
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	exited := make(chan struct{})
	p.cmd, p.stdin, p.exited = cmd, stdin, exited
	go func() {
		// The error is not needed: ProcessState has the exit status.
		_ = cmd.Wait()
		close(exited)
	}()
}

// signal sends a signal to the process if it runs.
func (p *routerProcess) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	select {
	case <-p.exited:
	default:
		// The error is ignored: the process may have exited in the meantime.
		_ = p.cmd.Process.Signal(sig)
	}
}

func (p *routerProcess) suspend() { p.signal(syscall.SIGSTOP) }

func (p *routerProcess) resume() { p.signal(syscall.SIGCONT) }

// kill kills the process with SIGKILL and waits until it has exited.
func (p *routerProcess) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// restart kills the process and starts it again under the same addresses.
func (p *routerProcess) restart() {
	p.kill()
	p.start()
}

// stop shuts the process down gracefully and fails the test unless it exits with status 0 within maxWait.
func (p *routerProcess) stop() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(maxWait):
		p.t.Errorf("%s: graceful shutdown took longer than %v", p.name, maxWait)
		return
	}
	if status := p.cmd.ProcessState.ExitCode(); status != 0 {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.t.Errorf("%s: graceful shutdown ended with exit status %d\n%s", p.name, status, &p.logTail)
	}
}

// Write appends output of the process and drops the oldest lines. With CITRONSLIP_TEST_LOG set, it also prints them.
func (l logWriter) Write(data []byte) (int, error) {
	l.p.mu.Lock()
	defer l.p.mu.Unlock()
	if os.Getenv("CITRONSLIP_TEST_LOG") != "" {
		os.Stderr.Write(append([]byte(l.p.name+" "), data...))
	}
	l.p.logTail.Write(data)
	if logLines := bytes.SplitAfter(l.p.logTail.Bytes(), []byte("\n")); len(logLines) > 2*keptLogLines {
		kept := bytes.Join(logLines[len(logLines)-keptLogLines:], nil)
		l.p.logTail.Reset()
		l.p.logTail.Write(kept)
	}
	return len(data), nil
}

// chatRequest returns a chat completion request with one user message and a limit of maxTokens output tokens.
func chatRequest(content string, maxTokens int) apiRequest {
	body, err := json.Marshal(map[string]any{
		"model": "planner", "max_tokens": maxTokens,
		"messages": []any{map[string]any{"role": "user", "content": content}},
	})
	if err != nil {
		panic(err) // Strings and numbers can always be encoded.
	}
	return apiRequest{method: http.MethodPost, path: "/v1/chat/completions", body: string(body)}
}

// writeCredentialFile writes a file with the operator's credential and returns its path.
func writeCredentialFile(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "credentials")
	if err := os.WriteFile(file, []byte("operator "+inventory.DigestKey(operatorCredential)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// eventually waits until holds returns true, and fails the test if this takes longer than maxWait.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	harness.Eventually(t, maxWait, condition, holds)
}
