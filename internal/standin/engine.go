package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"citronslip/internal/delay"
)

const (
	defaultStep           = 5 * time.Millisecond
	defaultSlots          = 32
	defaultPrefillTokens  = 512
	defaultCachedPrefixes = 64
	defaultVersion        = "1"
	defaultSoftware       = "1"
	maxKnownAttempts      = 4096 // Sequences kept for usage reports and resumption, finished ones included.
	minOutputTokens       = 24   // Output tokens of the shortest answer that is not cut by max_tokens.
	outputTokenRange      = 40   // Answers have fewer than minOutputTokens + outputTokenRange output tokens.
)

type (
	// LoadedModel is a model version that an engine has loaded.
	LoadedModel struct {
		Name     string   `json:"name"`
		Version  string   `json:"version"`
		Adapters []string `json:"adapters,omitempty"`
	}

	// EngineState is the configuration that an engine runs. As a command it is the complete desired state.
	EngineState struct {
		Fence  uint64        `json:"fence"` // Fencing number of the command.
		Role   string        `json:"role"`
		Models []LoadedModel `json:"models"`
		Ready  bool          `json:"ready"`
	}

	// EngineLoad is an engine's load report.
	EngineLoad struct {
		Running int    `json:"running"` // Sequences in the batch.
		Waiting int    `json:"waiting"` // Sequences in the queue.
		Slots   int    `json:"slots"`   // Maximum number of running sequences.
		Ready   bool   `json:"ready"`
		Leaving bool   `json:"leaving"` // Whether the engine is about to be shut down.
		Start   string `json:"start"`   // Identity of the process, which changes with each crash.
		// Software version; empty if the engine does not tell.
		Software string        `json:"software,omitempty"`
		Models   []LoadedModel `json:"models,omitempty"`
	}

	// Engine is a stand-in for a model engine with continuous batching. Fields are set before Run.
	Engine struct {
		Name    string
		Step    time.Duration // Duration of one decode step of the whole batch; 0 means defaultStep.
		Slots   int           // Maximum number of running sequences; 0 means defaultSlots.
		Prefill int           // Prompt tokens that one step prefills for one sequence; 0 means defaultPrefillTokens.
		Cache   int           // Number of prompt prefixes kept in the cache; 0 means defaultCachedPrefixes.
		Lag     time.Duration // Age of load reports.
		Fences  bool          // Whether commands with an old fencing number are refused.
		Models  []LoadedModel // Models loaded at the start.
		// Software version of the engine until Upgrade sets another; empty means that load reports do not tell it.
		Software string
		Poison   string        // Prompt text that crashes the engine; empty means none.
		Down     time.Duration // Time after a crash during which the engine aborts all requests.

		mu               sync.Mutex
		state            EngineState
		leaving          bool
		downUntil        time.Time            // End of the downtime after the last crash.
		waiting          []*sequence          // In the order of arrival.
		running          []*sequence          // The batch.
		sequences        map[string]*sequence // By attempt.
		attempts         []string             // Keys of sequences, oldest first.
		cachedPrefixes   []string             // Least recently used first.
		loadHistory      []loadSample         // Oldest first; the first one is reported.
		crashes          int
		processes        int // Restarts, by crashes and upgrades.
		startedSequences int
		cacheHits        int // Sequences started with a cached prefix.
		consumedTokens   int // Tokens prefilled and generated for all sequences.
	}

	// sequence is one waiting, running or finished generation. Its tokens are words.
	sequence struct {
		attempt      string // Identity of the attempt.
		process      int    // Number of the process that received the request.
		software     string // Software version of the process.
		label        string // Text of the router that usage reports return.
		sent         bool   // Whether the whole answer was sent.
		priority     int    // Higher priorities start first.
		prompt       []string
		prefix       string        // Key of the prefix cache: model and first message.
		prefillLeft  int           // Prompt tokens still to prefill.
		priorOutput  int           // Tokens of the answer that the prompt already contains, as its last message.
		maxOutput    int           // Number of output tokens after which the generation ends.
		output       []string      // Generated tokens.
		done         bool          // Whether the generation has ended.
		finishReason string        // Why the generation ended: stop, cancel or crash.
		changed      chan struct{} // Closed and replaced at each change.
	}

	// loadSample is the load at a point in time.
	loadSample struct {
		at   time.Time
		load EngineLoad
	}
)

// Run generates tokens until the context ends. It always returns nil.
func (e *Engine) Run(ctx context.Context) error {
	e.init()
	delay.Repeat(ctx, e.Step, e.step)
	return nil
}

// SetLeaving sets whether load reports announce that the engine is about to be shut down.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Counts returns the number of started generations, of those with a cached prefix, and of crashes.
func (e *Engine) Counts() (started, hits, crashes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startedSequences, e.cacheHits, e.crashes
}

// Consumed returns the number of tokens prefilled and generated for all attempts, including those that were cancelled
// or crashed. All tokens of a prompt are counted at the start of its prefill, as in usage reports.
func (e *Engine) Consumed() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.consumedTokens
}

// State returns the configuration that the engine runs.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// Crash ends all generations and makes the engine abort all requests for the time Down.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// Upgrade restarts the engine with another software version. It ends all generations and aborts all requests for the
// time Down, like a crash, but is not counted as one.
func (e *Engine) Upgrade(software string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Software = software
	e.restart()
}

// init sets default values. Calls after the first one do nothing.
func (e *Engine) init() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sequences != nil {
		return
	}
	e.sequences = make(map[string]*sequence)
	if e.Step == 0 {
		e.Step = defaultStep
	}
	if e.Slots == 0 {
		e.Slots = defaultSlots
	}
	if e.Prefill == 0 {
		e.Prefill = defaultPrefillTokens
	}
	if e.Cache == 0 {
		e.Cache = defaultCachedPrefixes
	}
	e.state = EngineState{Role: "serve", Models: e.Models, Ready: true}
}

// crash ends all generations. The caller holds the lock.
func (e *Engine) crash() {
	if time.Now().Before(e.downUntil) {
		// Several requests with the poison text that arrive together cause one crash.
		return
	}
	e.crashes++
	e.restart()
}

// restart ends all generations and the process. The caller holds the lock.
func (e *Engine) restart() {
	e.processes++
	e.downUntil = time.Now().Add(e.Down)
	for _, s := range append(e.running, e.waiting...) {
		s.end("crash")
	}
	e.running = nil
	e.waiting = nil
	e.sequences = make(map[string]*sequence)
	e.attempts = nil
	e.cachedPrefixes = nil
}

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.downUntil)
}

// step starts waiting sequences in free slots, highest priority first, and then advances each running sequence by a
// single decode step.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.running) < e.Slots && len(e.waiting) > 0 {
		e.running = append(e.running, e.popWaiting())
	}
	unfinished := e.running[:0]
	for _, s := range e.running {
		before := len(s.output)
		s.advance(e.Prefill)
		e.consumedTokens += len(s.output) - before
		if !s.done {
			unfinished = append(unfinished, s)
		}
	}
	e.running = unfinished
	e.recordLoad()
}

// popWaiting removes and returns the oldest waiting sequence of the highest priority, and counts it as started.
func (e *Engine) popWaiting() *sequence {
	highest := 0
	for i, s := range e.waiting {
		if s.priority > e.waiting[highest].priority {
			highest = i
		}
	}
	s := e.waiting[highest]
	e.waiting = append(e.waiting[:highest], e.waiting[highest+1:]...)
	e.startedSequences++
	e.consumedTokens += s.promptTokens()
	if e.usePrefix(s.prefix) {
		e.cacheHits++
		s.prefillLeft = 1
	}
	return s
}

// usePrefix makes a prefix the most recently used one in the cache and reports whether it was cached.
func (e *Engine) usePrefix(prefix string) bool {
	for i, cached := range e.cachedPrefixes {
		if cached == prefix {
			e.cachedPrefixes = append(append(e.cachedPrefixes[:i], e.cachedPrefixes[i+1:]...), prefix)
			return true
		}
	}
	e.cachedPrefixes = append(e.cachedPrefixes, prefix)
	if len(e.cachedPrefixes) > e.Cache {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	return false
}

// recordLoad adds the current load to the history and drops samples that are no longer reported.
func (e *Engine) recordLoad() {
	now := time.Now()
	e.loadHistory = append(e.loadHistory, loadSample{at: now, load: e.currentLoad()})
	for len(e.loadHistory) > 1 && now.Sub(e.loadHistory[1].at) >= e.Lag {
		e.loadHistory = e.loadHistory[1:]
	}
}

func (e *Engine) currentLoad() EngineLoad {
	return EngineLoad{
		Running:  len(e.running),
		Waiting:  len(e.waiting),
		Slots:    e.Slots,
		Ready:    e.state.Ready,
		Leaving:  e.leaving,
		Start:    fmt.Sprint(e.Name, "-", e.processes),
		Software: e.Software,
	}
}

// delayedLoad returns the load report as it was at the time Lag ago, with the current Leaving, Start, Software and
// Models. Before the first decode step it returns the current load without Models.
func (e *Engine) delayedLoad() EngineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.loadHistory) == 0 {
		return e.currentLoad()
	}
	load := e.loadHistory[0].load
	load.Leaving = e.leaving
	current := e.currentLoad()
	load.Start, load.Software = current.Start, current.Software
	load.Models = e.state.Models
	return load
}

// currentProcess returns the number of the current process.
func (e *Engine) currentProcess() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.processes
}

// submit queues a generation. For a repeated attempt it returns the existing sequence. If the process that received the
// request has ended since, it returns nil.
func (e *Engine) submit(s *sequence) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.process != e.processes {
		return nil
	}
	s.software = e.Software
	if existing, ok := e.sequences[s.attempt]; ok {
		return existing
	}
	e.sequences[s.attempt] = s
	e.attempts = append(e.attempts, s.attempt)
	if len(e.attempts) > maxKnownAttempts {
		delete(e.sequences, e.attempts[0])
		e.attempts = e.attempts[1:]
	}
	e.waiting = append(e.waiting, s)
	return s
}

func (e *Engine) find(attempt string) (*sequence, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.sequences[attempt]
	return s, ok
}

// cancel ends a generation. It reports false if the attempt is unknown.
func (e *Engine) cancel(attempt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.sequences[attempt]
	if !ok {
		return false
	}
	s.end("cancel")
	for i, other := range e.waiting {
		if other == s {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			break
		}
	}
	return true
}

// outputFrom returns the output tokens from an index on, why and whether the generation ended, and a channel that is
// closed at the next change.
func (e *Engine) outputFrom(s *sequence, from int) (tokens []string, finishReason string, done bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if from < len(s.output) {
		tokens = append(tokens, s.output[from:]...)
	}
	return tokens, s.finishReason, s.done, s.changed
}

// advance prefills the given number of tokens and, once the prompt is prefilled, generates one token.
func (s *sequence) advance(prefillTokens int) {
	if s.done {
		return
	}
	if s.prefillLeft > 0 {
		s.prefillLeft -= prefillTokens
		if s.prefillLeft > 0 {
			return
		}
	}
	s.output = append(s.output, s.tokenAt(len(s.output)))
	if len(s.output) >= s.maxOutput {
		s.end("stop")
		return
	}
	s.notify()
}

// tokenAt returns the output token of an index. Answers repeat the prompt, so that a caller can recognize its own
// answer.
func (s *sequence) tokenAt(i int) string {
	if len(s.prompt) == 0 {
		return "ok "
	}
	return s.prompt[(s.priorOutput+i)%len(s.prompt)] + " "
}

func (s *sequence) end(reason string) {
	if s.done {
		return
	}
	s.done = true
	s.finishReason = reason
	s.notify()
}

func (s *sequence) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
