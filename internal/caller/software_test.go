package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"citronslip/internal/engine"
	"citronslip/internal/quarantine"
	"citronslip/internal/sse"
	"citronslip/internal/table"
	"citronslip/pkg/inventory"
)

const (
	// answerEvents is the number of content events of a complete answer.
	answerEvents = 6
	// retriesPerRequest makes retries plentiful, so that the retry budget decides nothing.
	retriesPerRequest = 10
)

type (
	// scriptedEngines simulates the backend servers planner1, planner2 and so on. The text of each event names the
	// software version that wrote it.
	scriptedEngines struct {
		mu         sync.Mutex
		servers    map[string]*scriptedServer
		breaks     []int             // Events after which the next streams break off; negative for a whole answer.
		onBreak    func(name string) // Called when a stream breaks off, with the lock held; may be nil.
		persistent bool              // Whether a server still knows the attempts of the process before.
		attempts   map[string]int    // Number of content events written, by attempt.
	}

	// scriptedServer is the state of one backend server.
	scriptedServer struct {
		software string // Empty if load reports do not tell it.
		process  int    // Number of the process.
		down     bool   // Whether it aborts all requests.
		chats    int    // Chat requests received.
		cancels  int    // Attempts cancelled.
	}

	// streamedAnswer is what a caller received of a streamed answer.
	streamedAnswer struct {
		status   int
		writers  []string // Texts of the content events.
		complete bool     // Whether the end marker came.
		failed   bool     // Whether the stream ended with an error event.
	}
)

func newScriptedEngines(software ...string) *scriptedEngines {
	e := &scriptedEngines{servers: make(map[string]*scriptedServer), attempts: make(map[string]int)}
	for i, version := range software {
		e.servers[fmt.Sprint("planner", i+1)] = &scriptedServer{software: version}
	}
	return e
}

// inventory declares the servers, with streams that another server may continue.
func (e *scriptedEngines) inventory() *inventory.Inventory {
	inv := testInventory()
	inv.Models[0].Migratable = true
	inv.Backends = nil
	for i := range len(e.servers) {
		name := fmt.Sprint("planner", i+1)
		inv.Backends = append(inv.Backends, inventory.BackendServer{
			Name: name, Service: "planning", Address: "http://" + name, Models: []string{"planner"},
		})
	}
	return inv
}

// replace replaces the process of a server by one of a software version.
func (e *scriptedEngines) replace(name, software string) {
	e.servers[name].process++
	e.servers[name].software = software
}

// counts returns the numbers of chat requests and of cancelled attempts of some servers.
func (e *scriptedEngines) counts(names ...string) (chats, cancels int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, name := range names {
		chats += e.servers[name].chats
		cancels += e.servers[name].cancels
	}
	return chats, cancels
}

// load returns the load report of a server. The caller holds the lock.
func (e *scriptedEngines) load(name string) engine.Load {
	server := e.servers[name]
	return engine.Load{Ready: true, Start: fmt.Sprint(name, "-", server.process), Software: server.software}
}

// writer returns the text of the events of a server. A process of unknown software is a writer of its own.
func (e *scriptedEngines) writer(name string) string {
	if software := e.servers[name].software; software != "" {
		return software
	}
	return e.load(name).Start
}

// ServeHTTP implements http.Handler.
func (e *scriptedEngines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	name := r.Host
	if e.servers[name].down {
		panic(http.ErrAbortHandler)
	}
	load, err := json.Marshal(e.load(name))
	if err != nil {
		panic(err)
	}
	w.Header().Set(engine.HeaderLoad, string(load))
	w.Header().Set("Content-Type", "text/event-stream")
	action, attempt, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch action {
	case "v1":
		e.serveChat(w, r.Header.Get(engine.HeaderAttempt), name)
	case "resume":
		e.serveResume(w, r, attempt, name)
	case "load":
		w.Write(load)
	case "cancel":
		e.servers[name].cancels++
		io.WriteString(w, `{"state":"done","prompt":1,"completion":2}`)
	case "usage":
		io.WriteString(w, `{"state":"done","prompt":1,"completion":2}`)
	default:
		http.NotFound(w, r)
	}
}

func (e *scriptedEngines) serveChat(w http.ResponseWriter, attempt, name string) {
	e.servers[name].chats++
	breakAfter := -1
	if len(e.breaks) > 0 {
		breakAfter, e.breaks = e.breaks[0], e.breaks[1:]
	}
	if breakAfter < 0 {
		writeEvents(w, e.writer(name), answerEvents)
		writeEnd(w)
		return
	}
	writeEvents(w, e.writer(name), breakAfter)
	e.attempts[name+attempt] = breakAfter
	if e.onBreak != nil {
		e.onBreak(name)
	}
	panic(http.ErrAbortHandler)
}

func (e *scriptedEngines) serveResume(w http.ResponseWriter, r *http.Request, attempt, name string) {
	_, known := e.attempts[name+attempt]
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || !known || !e.persistent {
		http.NotFound(w, r)
		return
	}
	writeEvents(w, e.writer(name), answerEvents-after)
	writeEnd(w)
}

func writeEvents(w http.ResponseWriter, writer string, count int) {
	if count == 0 {
		return
	}
	for range count {
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", writer)
	}
	http.NewResponseController(w).Flush()
}

func writeEnd(w http.ResponseWriter) {
	io.WriteString(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":6}}\n\ndata: [DONE]\n\n")
}

// distinctWriters returns the writers of the events, each once.
func (a streamedAnswer) distinctWriters() []string {
	return slices.Compact(slices.Sorted(slices.Values(a.writers)))
}

// stream sends a streamed request. The headers are names and values by turns.
func (f *testFrontend) stream(client *http.Client, headers ...string) (streamedAnswer, error) {
	request := newChatRequest(context.Background(), chatBody("a"))
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := client.Do(request)
	if err != nil {
		return streamedAnswer{}, err
	}
	defer response.Body.Close()
	answer := streamedAnswer{status: response.StatusCode}
	if response.StatusCode != http.StatusOK {
		return answer, nil
	}
	events := sse.Reader{Source: response.Body}
	for {
		event, err := events.Next()
		if err == io.EOF {
			return answer, nil
		}
		if err != nil {
			return answer, err
		}
		answer.add(event)
	}
}

// add adds an event that the caller received.
func (a *streamedAnswer) add(event []byte) {
	data := sse.Data(event)
	a.failed = strings.HasPrefix(string(event), "event: error\n")
	a.complete = string(data) == "[DONE]"
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &chunk) == nil && len(chunk.Choices) == 1 {
		a.writers = append(a.writers, chunk.Choices[0].Delta.Content)
	}
}

// poll passes the load reports of all servers to the front end.
func (f *testFrontend) poll(engines *scriptedEngines) {
	engines.mu.Lock()
	defer engines.mu.Unlock()
	for name := range engines.servers {
		f.front.RecordProcess(name, engines.load(name))
	}
}

// runWithScriptedEngines runs a test in a synctest bubble with a front end that has polled the servers.
func runWithScriptedEngines(
	t *testing.T, engines *scriptedEngines, test func(is *is.I, f *testFrontend, stream func(headers ...string) streamedAnswer),
) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFrontendFor(t, engines.inventory(), engines)
		defer f.close()
		f.front.Retrier.Ratio = retriesPerRequest
		f.poll(engines)
		client := f.client(false)
		test(is, f, func(headers ...string) streamedAnswer {
			is.Helper()
			answer, err := f.stream(client, headers...)
			is.NoErr(err)
			t.Logf("%+v", answer)
			return answer
		})
	})
}

// Guards against a stream whose continuation a server of another software version wrote, or one that does not tell its
// version, and against a caller that waits although no server of the version is left.
func TestStreamIsNotContinuedByAnotherSoftwareVersion(t *testing.T) {
	for _, software := range [][]string{{"1", "2"}, {"1", ""}, {"", ""}, {"1", "2", "3", ""}} {
		t.Run(strings.Join(software, ","), func(t *testing.T) {
			engines := newScriptedEngines(software...)
			engines.breaks = []int{2}
			engines.onBreak = func(name string) { engines.replace(name, "4") }
			runWithScriptedEngines(t, engines, func(is *is.I, _ *testFrontend, stream func(...string) streamedAnswer) {
				begin := time.Now()
				answer := stream()
				is.Equal(len(answer.writers), 2)
				is.Equal(len(answer.distinctWriters()), 1)
				is.True(answer.failed)
				is.True(time.Since(begin) < 2*time.Second)
			})
		})
	}
}

// Guards against a caller that waits for the rest of its stream although the quarantine lets it continue only on a server
// of another software version.
func TestStreamThatMayNotContinueEndsAtOnce(t *testing.T) {
	ended, continued := 0, 0
	for _, software := range [][]string{{"2", "1", "1"}, {"1", "2", "1"}, {"1", "1", "2"}} {
		for range 20 { // The choice of the first server is random.
			engines := newScriptedEngines(software...)
			engines.breaks = []int{2}
			engines.onBreak = func(name string) { engines.servers[name].down = true }
			runWithScriptedEngines(t, engines, func(is *is.I, f *testFrontend, stream func(...string) streamedAnswer) {
				f.front.Guard = newTestGuard()
				begin := time.Now()
				answer := stream()
				if answer.writers[0] == "2" {
					return // Its server may come back, so the stream may wait.
				}
				is.True(time.Since(begin) < 3*time.Second)
				is.Equal(len(answer.distinctWriters()), 1)
				if answer.failed {
					ended++
				} else {
					continued++
				}
			})
		}
	}
	t.Logf("%d ended, %d continued", ended, continued)
	is.New(t).True(ended > 0 && continued > 0)
}

// newTestGuard returns a quarantine guard of the only router.
func newTestGuard() *quarantine.Guard {
	logger := zerolog.Nop()
	guard := &quarantine.Guard{
		Table: &table.Memory{}, Instance: "i", Host: "h", Hosts: func() []string { return []string{"h"} }, Fresh: true,
		Tell: func(quarantine.CrashReport) {}, Free: func(string, quarantine.CopyDone) {}, Logger: &logger,
	}
	if err := guard.Sync(context.Background()); err != nil {
		panic(err)
	}
	return guard
}

// Guards against a stream that ends although a server of its software version could continue it.
func TestStreamIsContinuedByItsSoftwareVersion(t *testing.T) {
	for range 20 { // The choice of the first server is random.
		engines := newScriptedEngines("1", "2", "1", "2", "")
		engines.breaks = []int{2}
		engines.onBreak = func(name string) { engines.servers[name].down = true }
		runWithScriptedEngines(t, engines, func(is *is.I, _ *testFrontend, stream func(...string) streamedAnswer) {
			answer := stream()
			is.Equal(len(answer.distinctWriters()), 1)
			if answer.writers[0] == "planner5-0" { // Nothing shows which server runs the same version.
				is.True(answer.failed)
				return
			}
			is.True(answer.complete)
			is.Equal(len(answer.writers), 2+answerEvents)
		})
	}
}

// Guards against a stream that continues on a server whose process was replaced by one of another software version
// after its last load report.
func TestStreamIsNotContinuedByReplacedProcess(t *testing.T) {
	engines := newScriptedEngines("1", "1", "1")
	engines.breaks = []int{2}
	var replaced []string
	engines.onBreak = func(broken string) {
		engines.servers[broken].down = true
		for name := range engines.servers {
			if name != broken {
				engines.replace(name, "2")
				replaced = append(replaced, name)
			}
		}
	}
	runWithScriptedEngines(t, engines, func(is *is.I, f *testFrontend, stream func(...string) streamedAnswer) {
		answer := stream()
		is.Equal(answer.writers, []string{"1", "1"})
		is.True(answer.failed)
		time.Sleep(5 * time.Second) // Virtual time, in which the resolver settles the attempts that were given up.
		chats, cancels := engines.counts(replaced...)
		is.True(chats > 0)
		is.Equal(cancels, chats)
		is.Equal(stream().distinctWriters(), []string{"2"}) // New streams may begin there.
		is.Equal(f.front.InFlight(), int64(0))
	})
}

// Guards against a stream that is resumed on its server by a process of another software version, or by one of which
// nothing shows that it runs the same, and against one that is not resumed by its own version.
func TestStreamIsNotResumedByAnotherSoftwareVersion(t *testing.T) {
	for _, test := range []struct {
		before, after string // Software versions of the processes.
		replaced      bool
		forgets       bool // Whether the server no longer knows the attempt.
		resumed       bool
	}{
		{before: "1", after: "2", replaced: true, forgets: true},
		{before: "1", after: "2", replaced: true},
		{before: "1", after: "", replaced: true},
		{before: "", after: "1", replaced: true},
		{before: "", after: "", replaced: true},
		{before: "", after: "", resumed: true},
		{before: "1", after: "1", replaced: true, resumed: true},
		{before: "1", after: "1", resumed: true},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			engines := newScriptedEngines(test.before)
			engines.breaks = []int{2}
			engines.persistent = !test.forgets
			engines.onBreak = func(name string) {
				if test.replaced {
					engines.replace(name, test.after)
				}
			}
			runWithScriptedEngines(t, engines, func(is *is.I, _ *testFrontend, stream func(...string) streamedAnswer) {
				answer := stream()
				is.Equal(len(answer.distinctWriters()), 1)
				is.Equal(answer.complete, test.resumed)
				is.Equal(answer.failed, !test.resumed)
				chats, _ := engines.counts("planner1")
				is.Equal(chats, 1) // The resume call showed which version the server runs.
			})
		})
	}
}

// Guards against an attempt that broke off before its first event and yet binds the request to its software version.
func TestStreamWithoutEventsMayGoAnywhere(t *testing.T) {
	engines := newScriptedEngines("1", "2")
	engines.onBreak = func(name string) { engines.servers[name].down = true }
	runWithScriptedEngines(t, engines, func(is *is.I, _ *testFrontend, stream func(...string) streamedAnswer) {
		engines.breaks = []int{0}
		answer := stream()
		is.True(answer.complete)
		is.Equal(len(answer.writers), answerEvents)
		is.Equal(len(answer.distinctWriters()), 1)
	})
}
