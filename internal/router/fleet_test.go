package router_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"citronslip/internal/certificate"
	"citronslip/internal/config"
	"citronslip/internal/harness"
	"citronslip/internal/router"
	"citronslip/internal/standin"
	"citronslip/internal/table"
	"citronslip/pkg/inventory"
)

const (
	testKey = "test-key"
	maxWait = 60 * time.Second
)

type (
	// fleet is a set of routers in the test's process, with stand-ins for the platform and the backend servers.
	fleet struct {
		t         *testing.T
		platform  *standin.Platform
		standins  *standin.Fleet
		addresses []string
		peers     []string
		stops     []func()
		versions  int                                           // Number of committed configuration versions.
		authority *certificate.Authority                        // Issues router certificates; nil means plain TCP.
		grace     time.Duration                                 // Time limit of a graceful shutdown.
		faults    atomic.Pointer[func(call string) table.Fault] // Faults of the table; nil means none.
		client    *http.Client
		networks  []*harness.Network // Between each router and the backend servers; nil means a TCP dialer.
		proxies   []string           // Setting Proxy of each router; nil means the default.
		logs      *zerolog.Logger    // Logger of the routers; nil means none.
	}

	chatAnswer struct {
		status int
		header http.Header
		body   string
	}

	refusalBody struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
			Run     string `json:"run"`
			Retry   int    `json:"retry"`
		} `json:"error"`
	}
)

// start runs a number of routers with an inventory and waits until they are ready. All of it ends with the test.
func start(t *testing.T, declared *inventory.Inventory, routers int) *fleet {
	t.Helper()
	return startWith(t, declared, routers, nil)
}

// startWith is like start, with certificates of an authority for the connections between the routers; nil means plain
// TCP. It applies changes to the fleet first.
func startWith(t *testing.T, declared *inventory.Inventory, routers int, authority *certificate.Authority, changes ...func(*fleet)) *fleet {
	t.Helper()
	f := &fleet{authority: authority, grace: maxWait}
	for _, change := range changes {
		change(f)
	}
	f.start(t, declared, routers)
	return f
}

// start runs a number of routers with an inventory and waits until they are ready.
func (f *fleet) start(t *testing.T, declared *inventory.Inventory, routers int) {
	t.Helper()
	f.t = t
	f.platform = &standin.Platform{}
	f.standins = &standin.Fleet{Inventory: declared}
	f.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	f.platform.Table.Inject = func(call string) table.Fault {
		if faults := f.faults.Load(); faults != nil {
			return (*faults)(call)
		}
		return table.FaultNone
	}
	if err := f.standins.Start(); err != nil {
		t.Fatal(err)
	}
	platform := httptest.NewServer(f.platform.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- f.standins.Run(ctx) }()
	t.Cleanup(func() {
		// A graceful shutdown waits for connections that were opened and not used yet.
		f.client.CloseIdleConnections()
		var group sync.WaitGroup
		for _, stop := range f.stops {
			group.Go(stop)
		}
		group.Wait()
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
		platform.CloseClientConnections()
		platform.Close()
	})
	for i := range routers {
		f.peers = append(f.peers, harness.ReservePort(t))
		declared.Hosts = append(declared.Hosts, inventory.Host{
			Name: fmt.Sprintf("router%d", i+1), Place: declared.Places[0].Name, Address: f.peers[i],
		})
	}
	f.commit(declared)
	for i := range routers {
		f.startRouter(platform.URL, i)
	}
	for i := range routers {
		eventually(t, "router is ready", func() bool {
			got, err := f.send(t.Context(), http.MethodGet, f.url(i, "/readyz"), "")
			return err == nil && got.status == http.StatusOK
		})
	}
}

// commit commits an inventory as the next configuration version.
func (f *fleet) commit(declared *inventory.Inventory) {
	f.t.Helper()
	data, err := inventory.Encode(declared)
	if err != nil {
		f.t.Fatal(err)
	}
	store := &config.Store{Table: &f.platform.Table, Objects: &f.platform.Objects}
	f.versions++
	change := config.Change{Edited: f.versions - 1, Inventory: data, Identity: fmt.Sprint(f.versions), Author: "test"}
	if _, err := store.Commit(context.Background(), change); err != nil {
		f.t.Fatal(err)
	}
}

// startRouter runs router i and waits until it listens.
func (f *fleet) startRouter(platform string, i int) {
	var settings router.Settings
	settings.Register(flag.NewFlagSet("test", flag.ContinueOnError))
	settings.Name = fmt.Sprintf("router%d", i+1)
	settings.Listen = "127.0.0.1:0"
	settings.Peer = f.peers[i]
	settings.Seeds = strings.Join(f.peers, ",")
	settings.Platform = platform
	settings.Grace = f.grace
	settings.Body = 1 << 20
	if f.authority != nil {
		files, err := f.authority.Issue(settings.Name, "urn:citronslip:router", 0)
		if err != nil {
			f.t.Fatal(err)
		}
		settings.Authority = files.Authority
		settings.Identity = files.Certificate
		settings.Secret = files.Key
	}
	listening := make(chan string, 1)
	process := &router.Router{Settings: settings, Listening: listening, Logger: f.logs}
	if f.proxies != nil {
		process.Settings.Proxy = f.proxies[i]
	}
	if f.networks != nil {
		process.Dial = f.networks[i].Open
	}
	if os.Getenv("CITRONSLIP_TEST_LOG") != "" {
		logger := zerolog.New(os.Stderr).With().Timestamp().Str("router", settings.Name).Logger()
		process.Logger = &logger
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- process.Run(ctx) }()
	select {
	case address := <-listening:
		f.addresses = append(f.addresses, address)
	case err := <-ended:
		f.t.Fatal(err)
	}
	stopped := false
	f.stops = append(f.stops, func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		if err := <-ended; err != nil {
			f.t.Error(err)
		}
	})
}

func (f *fleet) url(router int, path string) string {
	return "http://" + f.addresses[router%len(f.addresses)] + path
}

// send makes a request with the test's API key. The headers are names and values by turns.
func (f *fleet) send(ctx context.Context, method, url, body string, headers ...string) (chatAnswer, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewBufferString(body))
	if err != nil {
		return chatAnswer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := f.client.Do(request)
	if err != nil {
		return chatAnswer{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return chatAnswer{status: response.StatusCode, header: response.Header, body: string(data)}, err
}

func (f *fleet) chat(router int, body string, headers ...string) (chatAnswer, error) {
	return f.send(f.t.Context(), http.MethodPost, f.url(router, "/v1/chat/completions"), body, headers...)
}

// text returns the text of an answer that was not streamed.
func (a chatAnswer) text() (string, error) {
	var completion struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(a.body), &completion); err != nil {
		return "", err
	}
	if len(completion.Choices) != 1 {
		return "", errors.New("answer does not have exactly one choice")
	}
	return completion.Choices[0].Message.Content, nil
}

func (a chatAnswer) refusal() refusalBody {
	var r refusalBody
	// For any other body the code stays empty, and the tests check the code.
	_ = json.Unmarshal([]byte(a.body), &r)
	return r
}

func chatBody(content string, tokens int, stream bool) string {
	body, err := json.Marshal(map[string]any{
		"model": "planner", "max_tokens": tokens, "stream": stream,
		"messages": []any{map[string]any{"role": "user", "content": content}},
	})
	if err != nil {
		panic(err)
	}
	return string(body)
}

// documentBody returns the body of a chat about a document that other requests may share.
func documentBody(document, question string) string {
	body, err := json.Marshal(map[string]any{
		"model": "planner", "max_tokens": 3,
		"messages": []any{map[string]any{"role": "system", "content": document}, map[string]any{"role": "user", "content": question}},
	})
	if err != nil {
		panic(err)
	}
	return string(body)
}

// eventually waits until a condition holds, and fails the test after maxWait.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	harness.Eventually(t, maxWait, what, holds)
}
