package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"citronslip/internal/delay"
)

const (
	defaultStep     = 5 * time.Millisecond
	defaultSlots    = 32
	defaultPrefill  = 512
	defaultCache    = 64
	defaultVersion  = "1"
	keepFinished    = 4096 // Finished sequences kept for usage reports and resume.
	shortestNatural = 24   // Output tokens of the shortest answer that ends by itself.
	naturalSpread   = 40
)

type (
	// Loaded is a model version that an engine holds.
	Loaded struct {
		Name     string   `json:"name"`
		Version  string   `json:"version"`
		Adapters []string `json:"adapters,omitempty"`
	}

	// EngineState is what an engine runs.
	EngineState struct {
		Fence  uint64   `json:"fence"`
		Role   string   `json:"role"`
		Models []Loaded `json:"models"`
		Ready  bool     `json:"ready"`
	}

	// EngineLoad is an engine's load report.
	EngineLoad struct {
		Running int      `json:"running"`
		Waiting int      `json:"waiting"`
		Slots   int      `json:"slots"`
		Ready   bool     `json:"ready"`
		Leaving bool     `json:"leaving"`
		Start   string   `json:"start"` // Identity of the process.
		Models  []Loaded `json:"models,omitempty"`
	}

	// Engine is a stand-in for a model engine with continuous batching. Fields are set before Run.
	Engine struct {
		Name    string
		Step    time.Duration // Time of one decode step of the whole batch.
		Slots   int           // Sequences that run at once.
		Prefill int           // Prompt tokens that one step prefills for one sequence.
		Cache   int           // Prompt prefixes kept in the cache.
		Lag     time.Duration // Age of load reports.
		Fences  bool          // Whether commands with an old fencing number are refused.
		Models  []Loaded      // Models held at the start.
		Poison  string        // Prompt text that crashes the engine; empty means none.
		Down    time.Duration // Time that the engine refuses connections after a crash.

		mu       sync.Mutex
		state    EngineState
		leaving  bool
		down     time.Time
		waiting  []*sequence
		running  []*sequence
		known    map[string]*sequence
		order    []string // Attempts in known, oldest first.
		prefixes []string // Cached prefixes, least recently used first.
		reports  []timedLoad
		crashes  int
		started  int
		hits     int
		consumed int // Tokens prefilled and generated for all sequences.
	}

	// sequence is one running or finished generation.
	sequence struct {
		attempt  string
		label    string // Text that goes with usage reports.
		sent     bool   // Whether the whole answer was sent.
		priority int
		prompt   []string
		prefix   string
		prefill  int // Prompt tokens still to prefill.
		offset   int // Words of the answer that the prompt holds already.
		limit    int
		output   []string
		done     bool
		finish   string
		changed  chan struct{}
	}

	timedLoad struct {
		at   time.Time
		load EngineLoad
	}
)

// Run generates tokens until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	e.init()
	delay.Repeat(ctx, e.Step, e.step)
	return nil
}

// SetLeaving announces that the engine is about to be taken away.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Counts returns how many generations were started, how many found their prefix cached, and how often the engine crashed.
func (e *Engine) Counts() (started, hits, crashes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started, e.hits, e.crashes
}

// Consumed returns the tokens that were prefilled and generated for all attempts, those cut short included. A prompt
// counts whole from the start of its prefill, as in usage reports.
func (e *Engine) Consumed() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.consumed
}

// State returns what the engine runs.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// Crash ends all generations and makes the engine refuse calls for a while.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) init() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known != nil {
		return
	}
	e.known = make(map[string]*sequence)
	if e.Step == 0 {
		e.Step = defaultStep
	}
	if e.Slots == 0 {
		e.Slots = defaultSlots
	}
	if e.Prefill == 0 {
		e.Prefill = defaultPrefill
	}
	if e.Cache == 0 {
		e.Cache = defaultCache
	}
	e.state = EngineState{Role: "serve", Models: e.Models, Ready: true}
}

func (e *Engine) crash() {
	if time.Now().Before(e.down) {
		// Requests that arrive together crash the engine once.
		return
	}
	e.crashes++
	e.down = time.Now().Add(e.Down)
	for _, s := range append(e.running, e.waiting...) {
		s.end("crash")
	}
	e.running = nil
	e.waiting = nil
	e.known = make(map[string]*sequence)
	e.order = nil
	e.prefixes = nil
}

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.down)
}

// step admits waiting sequences by priority and advances every running one by one decode step.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.running) < e.Slots && len(e.waiting) > 0 {
		e.running = append(e.running, e.next())
	}
	kept := e.running[:0]
	for _, s := range e.running {
		before := len(s.output)
		s.advance(e.Prefill)
		e.consumed += len(s.output) - before
		if !s.done {
			kept = append(kept, s)
		}
	}
	e.running = kept
	e.report()
}

// next removes the oldest waiting sequence of the highest priority.
func (e *Engine) next() *sequence {
	best := 0
	for i, s := range e.waiting {
		if s.priority > e.waiting[best].priority {
			best = i
		}
	}
	s := e.waiting[best]
	e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
	e.started++
	e.consumed += s.promptTokens()
	if e.touch(s.prefix) {
		e.hits++
		s.prefill = 1
	}
	return s
}

// touch marks a prefix as used and says whether it was cached.
func (e *Engine) touch(prefix string) bool {
	for i, cached := range e.prefixes {
		if cached == prefix {
			e.prefixes = append(append(e.prefixes[:i], e.prefixes[i+1:]...), prefix)
			return true
		}
	}
	e.prefixes = append(e.prefixes, prefix)
	if len(e.prefixes) > e.Cache {
		e.prefixes = e.prefixes[1:]
	}
	return false
}

func (e *Engine) report() {
	now := time.Now()
	e.reports = append(e.reports, timedLoad{at: now, load: e.load()})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.Lag {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) load() EngineLoad {
	return EngineLoad{
		Running: len(e.running),
		Waiting: len(e.waiting),
		Slots:   e.Slots,
		Ready:   e.state.Ready,
		Leaving: e.leaving,
		Start:   fmt.Sprint(e.Name, "-", e.crashes),
	}
}

// lagged returns the load as it was Lag ago.
func (e *Engine) lagged() EngineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.reports) == 0 {
		return e.load()
	}
	load := e.reports[0].load
	load.Leaving = e.leaving
	load.Start = e.load().Start
	load.Models = e.state.Models
	return load
}

// submit queues a generation. A repeated attempt returns the sequence that exists.
func (e *Engine) submit(s *sequence) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known, ok := e.known[s.attempt]; ok {
		return known
	}
	e.known[s.attempt] = s
	e.order = append(e.order, s.attempt)
	if len(e.order) > keepFinished {
		delete(e.known, e.order[0])
		e.order = e.order[1:]
	}
	e.waiting = append(e.waiting, s)
	return s
}

func (e *Engine) find(attempt string) (*sequence, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.known[attempt]
	return s, ok
}

// cancel ends a generation.
func (e *Engine) cancel(attempt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.known[attempt]
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

// view returns the tokens from an index on, whether the generation ended and why, and a channel closed at the next change.
func (e *Engine) view(s *sequence, from int) (tokens []string, finish string, done bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if from < len(s.output) {
		tokens = append(tokens, s.output[from:]...)
	}
	return tokens, s.finish, s.done, s.changed
}

func (s *sequence) advance(prefill int) {
	if s.done {
		return
	}
	if s.prefill > 0 {
		s.prefill -= prefill
		if s.prefill > 0 {
			return
		}
	}
	s.output = append(s.output, s.word(len(s.output)))
	if len(s.output) >= s.limit {
		s.end("stop")
		return
	}
	s.notify()
}

// word makes the answer repeat the prompt, so that a caller can tell its own answer from another's.
func (s *sequence) word(i int) string {
	if len(s.prompt) == 0 {
		return "ok "
	}
	return s.prompt[(s.offset+i)%len(s.prompt)] + " "
}

func (s *sequence) end(reason string) {
	if s.done {
		return
	}
	s.done = true
	s.finish = reason
	s.notify()
}

func (s *sequence) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
