// Package explain keeps records of a router's recent requests, from which the router explains how it handled them.
package explain

import (
	"sync"
	"time"

	"citronslip/internal/routing"
)

const (
	// defaultMaxRecords is the number of records kept.
	defaultMaxRecords = 10000
)

type (
	// Record describes how a router handled one request. It holds no prompt, key or answer.
	Record struct {
		Request   string        `json:"request"` // Identifier of the request.
		Router    string        `json:"router"`
		Account   string        `json:"account"`
		Service   string        `json:"service,omitempty"`
		Model     string        `json:"model,omitempty"`
		Rule      string        `json:"rule,omitempty"` // Rule that decided on the request, empty if none did.
		Budgets   []string      `json:"budgets,omitempty"`
		Version   int           `json:"version"` // Version of the configuration that was applied.
		Begin     time.Time     `json:"begin"`
		End       *time.Time    `json:"end,omitempty"`
		QueueTime time.Duration `json:"queued,omitempty"`
		// State of the idempotency key's claim: claimed, replayed, finished, released or lost; empty if there is none.
		Claim    string    `json:"claim,omitempty"`
		Attempts []Attempt `json:"attempts,omitempty"`
		Result   string    `json:"result,omitempty"`  // One of answered, refused and cancelled; empty otherwise.
		Code     string    `json:"code,omitempty"`    // Code of the refusal.
		Message  string    `json:"message,omitempty"` // Message of the refusal.
		Run      string    `json:"run,omitempty"`     // Whether a refused request was run: no or unknown.
		Input    int64     `json:"input,omitempty"`   // Prompt tokens billed.
		Output   int64     `json:"output,omitempty"`  // Generated tokens billed.
	}

	// Attempt describes one attempt to run a request on a backend server.
	Attempt struct {
		Name            string              `json:"name"`
		Server          string              `json:"server"`
		Begin           time.Time           `json:"begin"`
		End             time.Time           `json:"end"`
		ReservedTokens  int64               `json:"bound"`
		ChargedTokens   int64               `json:"used,omitempty"`
		ReservationKept bool                `json:"held,omitempty"` // Whether it is kept, since the outcome is unknown.
		Outcome         string              `json:"outcome,omitempty"`
		Candidates      []routing.Candidate `json:"candidates,omitempty"` // Backend servers that routing compared.
	}

	// RequestLog keeps the most recent records in memory. The zero value is ready for use.
	RequestLog struct {
		Most int // Maximum number of records kept; zero means 10,000.

		mu      sync.Mutex
		records map[string]*Record // By request.
		ring    []string           // Ring buffer of the requests in the order in which they were added.
		oldest  int                // Index of the oldest request in ring once it is full.
	}
)

// Put stores the record of a finished or running request, and replaces an earlier record of the same request. The log
// keeps the pointer, so the record must not be changed afterwards.
func (l *RequestLog) Put(record *Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.records == nil {
		l.records = make(map[string]*Record)
	}
	if _, ok := l.records[record.Request]; ok {
		l.records[record.Request] = record
		return
	}
	l.records[record.Request] = record
	if len(l.ring) < l.maxRecords() {
		l.ring = append(l.ring, record.Request)
		return
	}
	delete(l.records, l.ring[l.oldest])
	l.ring[l.oldest] = record.Request
	l.oldest = (l.oldest + 1) % len(l.ring)
}

// Get returns the record of a request, or nil if there is none.
func (l *RequestLog) Get(request string) *Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records[request]
}

func (l *RequestLog) maxRecords() int {
	if l.Most > 0 {
		return l.Most
	}
	return defaultMaxRecords
}
