package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
)

const (
	// tokensPerMessage is the number of tokens that the chat template adds to each message. The prefill takes them for
	// each message, while the prompt tokens of usage reports include them only once.
	tokensPerMessage = 4
)

type (
	// chatRequest is the part of a chat-completions request that the stand-in uses.
	chatRequest struct {
		Model    string `json:"model"`
		Messages []struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		} `json:"messages"`
		Stream    bool `json:"stream"`
		MaxTokens int  `json:"max_tokens"`
		Priority  int  `json:"priority"`
	}

	// chatUsage is the usage in a chat-completions answer, in tokens.
	chatUsage struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Total      int `json:"total_tokens"`
	}

	// attemptUsage is the usage of one attempt in the list for a router instance, in tokens.
	attemptUsage struct {
		Attempt    string `json:"attempt"`
		Label      string `json:"label"`
		Prompt     int    `json:"prompt"`
		Completion int    `json:"completion"`
		Sent       bool   `json:"sent"` // Whether the whole answer was sent.
	}

	// usageAnswer is the state and the usage of a single attempt, in tokens.
	usageAnswer struct {
		State      string `json:"state"` // "running", "done" or "unknown".
		Prompt     int    `json:"prompt"`
		Completion int    `json:"completion"`
	}
)

// Handler returns the engine's HTTP handler. Answers make progress only while Run is running.
func (e *Engine) Handler() http.Handler {
	e.init()
	router := mux.NewRouter()
	router.HandleFunc("/v1/chat/completions", e.handleChat).Methods(http.MethodPost)
	router.HandleFunc("/tokenize", e.handleTokenize).Methods(http.MethodPost)
	router.HandleFunc("/usage/{attempt}", e.handleUsage).Methods(http.MethodGet)
	router.HandleFunc("/usage", e.handleAttempts).Methods(http.MethodGet)
	router.HandleFunc("/cancel/{attempt}", e.handleCancel).Methods(http.MethodPost)
	router.HandleFunc("/resume/{attempt}", e.handleResume).Methods(http.MethodGet)
	router.HandleFunc("/load", e.handleLoad).Methods(http.MethodGet)
	router.HandleFunc("/state", e.handleState).Methods(http.MethodGet)
	router.HandleFunc("/command", e.handleCommand).Methods(http.MethodPost)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.isDown() {
			panic(http.ErrAbortHandler)
		}
		router.ServeHTTP(w, r)
	})
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	request, ok := decodeChat(w, r)
	if !ok {
		return
	}
	process := e.currentProcess()
	e.setLoadHeader(w)
	if !e.hasModel(request.Model) {
		http.Error(w, "model "+request.Model+" is not loaded", http.StatusNotFound)
		return
	}
	s := newSequence(request, r.Header.Get("Citronslip-Attempt"))
	s.label = r.Header.Get("Citronslip-Label")
	if e.Poison != "" && strings.Contains(strings.Join(s.prompt, " "), e.Poison) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	s.process = process
	if s = e.submit(s); s == nil {
		panic(http.ErrAbortHandler)
	}
	if request.Stream {
		e.writeStream(w, r, s, request.Model, 0)
		return
	}
	e.writeCompletion(w, r, s, request.Model)
}

// setLoadHeader adds the load report to the header of a response.
func (e *Engine) setLoadHeader(w http.ResponseWriter) {
	load := e.delayedLoad()
	load.Models = nil
	loadJSON, _ := json.Marshal(load)
	w.Header().Set("Citronslip-Load", string(loadJSON))
}

func (e *Engine) hasModel(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, loaded := range e.state.Models {
		if loaded.Name == model {
			return true
		}
	}
	return false
}

// writeCompletion waits for the end of a generation and writes it as one JSON body. It aborts the connection if the
// engine crashes.
func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, s *sequence, model string) {
	tokens, finishReason, ok := e.waitForEnd(r, s)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{
		"id":     "chatcmpl-" + s.attempt,
		"object": "chat.completion",
		"model":  model,
		"choices": []any{map[string]any{
			"index":         0,
			"finish_reason": finishReason,
			"message":       map[string]any{"role": "assistant", "content": strings.Join(tokens, "")},
		}},
		"usage": newUsage(s, len(tokens)),
	})
	e.markSent(s)
}

// markSent records that the whole answer was written.
func (e *Engine) markSent(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.sent = true
}

// waitForEnd waits for the end of a generation and returns its tokens and the finish reason. It reports false if the
// engine crashed or the caller disconnected.
func (e *Engine) waitForEnd(r *http.Request, s *sequence) ([]string, string, bool) {
	for {
		tokens, finishReason, done, changed := e.outputFrom(s, 0)
		if done {
			return tokens, finishReason, finishReason != "crash"
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return nil, "", false
		}
	}
}

// writeStream writes a generation as server-sent events, from the given token index on. It aborts the connection if the
// engine crashes.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *sequence, model string, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for {
		tokens, finishReason, done, changed := e.outputFrom(s, from)
		for _, token := range tokens {
			writeChunk(w, s, model, token)
		}
		from += len(tokens)
		if done {
			if finishReason == "crash" {
				panic(http.ErrAbortHandler)
			}
			writeEnd(w, s, model, finishReason, from)
			if controller.Flush() == nil {
				e.markSent(s)
			}
			return
		}
		if err := controller.Flush(); err != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) handleTokenize(w http.ResponseWriter, r *http.Request) {
	request, ok := decodeChat(w, r)
	if !ok {
		return
	}
	s := newSequence(request, "")
	writeReply(w, map[string]int{"count": s.promptTokens()}, nil)
}

func (e *Engine) handleUsage(w http.ResponseWriter, r *http.Request) {
	s, ok := e.find(mux.Vars(r)["attempt"])
	if !ok {
		writeReply(w, usageAnswer{State: "unknown"}, nil)
		return
	}
	tokens, _, done, _ := e.outputFrom(s, 0)
	answer := usageAnswer{State: "running", Prompt: s.promptTokens(), Completion: len(tokens)}
	if done {
		answer.State = "done"
	}
	writeReply(w, answer, nil)
}

// handleAttempts lists the usage of all known attempts of a router instance.
func (e *Engine) handleAttempts(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("instance") + "-"
	e.mu.Lock()
	defer e.mu.Unlock()
	attempts := []attemptUsage{}
	for _, attempt := range e.attempts {
		s := e.sequences[attempt]
		if s == nil || !strings.HasPrefix(attempt, prefix) {
			continue
		}
		attempts = append(attempts, attemptUsage{
			Attempt: attempt, Label: s.label, Prompt: s.promptTokens(), Completion: len(s.output), Sent: s.sent,
		})
	}
	writeReply(w, map[string]any{"reports": attempts}, nil)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	if !e.cancel(mux.Vars(r)["attempt"]) {
		http.Error(w, "no such attempt", http.StatusNotFound)
		return
	}
	e.handleUsage(w, r)
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	e.setLoadHeader(w)
	s, ok := e.find(mux.Vars(r)["attempt"])
	if !ok {
		http.Error(w, "no such attempt", http.StatusNotFound)
		return
	}
	offset, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || offset < 0 {
		http.Error(w, "after: a token index is needed", http.StatusBadRequest)
		return
	}
	e.writeStream(w, r, s, r.URL.Query().Get("model"), offset)
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	writeReply(w, e.delayedLoad(), nil)
}

func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeReply(w, e.state, nil)
}

// handleCommand replaces the state of the engine. The body is the complete desired state, so that a command can be
// repeated.
func (e *Engine) handleCommand(w http.ResponseWriter, r *http.Request) {
	var desired EngineState
	if err := json.NewDecoder(r.Body).Decode(&desired); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Fences && desired.Fence < e.state.Fence {
		http.Error(w, fmt.Sprintf("fencing number %d is older than %d", desired.Fence, e.state.Fence), http.StatusConflict)
		return
	}
	desired.Ready = true
	e.state = desired
	writeReply(w, e.state, nil)
}

func decodeChat(w http.ResponseWriter, r *http.Request) (chatRequest, bool) {
	var request chatRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return request, false
	}
	return request, true
}

func newSequence(request chatRequest, attempt string) *sequence {
	if attempt == "" {
		attempt = uuid.NewString()
	}
	s := &sequence{attempt: attempt, priority: request.Priority, changed: make(chan struct{})}
	messages := request.Messages
	if last := len(messages) - 1; last > 0 && messages[last].Role == "assistant" {
		// The last message is the start of an answer that this sequence continues.
		s.priorOutput = len(strings.Fields(messages[last].Content))
		s.prefillLeft += s.priorOutput
		messages = messages[:last]
	}
	for _, message := range messages {
		s.prompt = append(s.prompt, strings.Fields(message.Content)...)
		s.prefillLeft += tokensPerMessage
	}
	if len(request.Messages) > 0 {
		s.prefix = request.Model + "\x00" + request.Messages[0].Content
	}
	s.prefillLeft += len(s.prompt)
	hash := fnv.New32a()
	hash.Write([]byte(strings.Join(s.prompt, " ")))
	s.maxOutput = max(1, minOutputTokens+int(hash.Sum32()%outputTokenRange)-s.priorOutput)
	if request.MaxTokens > 0 {
		s.maxOutput = min(s.maxOutput, request.MaxTokens)
	}
	return s
}

func (s *sequence) promptTokens() int {
	return len(s.prompt) + s.priorOutput + tokensPerMessage
}

func newUsage(s *sequence, completionTokens int) chatUsage {
	promptTokens := s.promptTokens()
	return chatUsage{Prompt: promptTokens, Completion: completionTokens, Total: promptTokens + completionTokens}
}

func writeChunk(w http.ResponseWriter, s *sequence, model, token string) {
	content, _ := json.Marshal(token)
	fmt.Fprintf(w, "data: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\",\"model\":%q,"+
		"\"system_fingerprint\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%s},\"finish_reason\":null}]}\n\n",
		s.attempt, model, s.software, content)
}

func writeEnd(w http.ResponseWriter, s *sequence, model, finishReason string, completionTokens int) {
	usage, _ := json.Marshal(newUsage(s, completionTokens))
	fmt.Fprintf(w, "data: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\",\"model\":%q,"+
		"\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":%q}]}\n\n", s.attempt, model, finishReason)
	fmt.Fprintf(w, "data: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\",\"model\":%q,"+
		"\"choices\":[],\"usage\":%s}\n\ndata: [DONE]\n\n", s.attempt, model, usage)
}
