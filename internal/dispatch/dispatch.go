// Package dispatch takes a request from a caller to a backend server and its answer back: route, account, budget, choice
// of the server, retries and resumed streams. It knows no protocol; fronts and backends translate at its interfaces.
package dispatch

import (
	"context"
	"io"
	"strconv"
	"time"

	"citronslip/internal/routing"
	"citronslip/pkg/inventory"
)

const (
	// NotReady says that the router has no configuration yet.
	NotReady Reason = "not ready"
	// NoRoute says that no route matches.
	NoRoute Reason = "no such route"
	// NoAccount says that no client account holds the API key.
	NoAccount Reason = "unknown key"
	// NoBudget says that what is left of the budget does not cover the request.
	NoBudget Reason = "budget exhausted"
	// BudgetUnknown says that the router holds too little of the budget and cannot ask for more now.
	BudgetUnknown Reason = "budget unreachable"
	// NoServer says that no backend server takes the request now.
	NoServer Reason = "no backend server"
	// Busy says that backend servers refused the request before it ran.
	Busy Reason = "backend servers full"
	// Overload says that the request would not be served in time.
	Overload Reason = "deadline cannot be met"
	// LinkFull says that the router's host has no bandwidth left.
	LinkFull Reason = "link of the host full"
	// Crashing says that the same request has crashed backend servers.
	Crashing Reason = "request crashes backend servers"
	// Malformed says that the request lacks what it needs, or holds what it must not.
	Malformed Reason = "malformed request"
	// TooLarge says that the body is longer than the limit.
	TooLarge Reason = "body too large"
	// Memory says that the router has no memory left for the body.
	Memory Reason = "router out of memory"
	// Late says that the time limit was reached. The request may have run.
	Late Reason = "time limit reached"
	// ServerError says that a backend server answered with an error of its own. The request has run.
	ServerError Reason = "server error"
	// Broken says that a backend server broke off. The request may have run.
	Broken Reason = "backend server broke off"
)

type (
	// Reason is why a request was refused or failed.
	Reason string

	// Request is one call of a caller.
	Request struct {
		ID        string // Identity that the caller gave.
		Method    string
		Host      string
		Path      string
		Key       string        // API key.
		Arrived   time.Time     // When the router began to read it.
		Patience  time.Duration // How long the caller waits from then on; zero if it did not say.
		Prompt    *Prompt       // Nil if the call carries no prompt.
		LastEvent string        // Identity of the last event that the caller has of a stream it resumes.
		Head      any           // What the backend needs besides, opaque here.
		Body      []byte
	}

	// Refusal is an answer of the router itself.
	Refusal struct {
		Reason Reason
		After  time.Duration // Time after which to try again; zero if unknown.
	}

	// Response receives the answer. Exactly one of Refuse and Begin is called first, at most once; after Begin come
	// Writes and one of End and Abort.
	Response interface {
		Refuse(r Refusal)
		Begin(head any, length int64) error
		Write(data []byte) error
		End() error
		// Abort ends an answer so that the caller cannot take it as complete.
		Abort()
	}

	// Server is a backend server as its entry describes it.
	Server struct {
		Name    string
		Service string
		Address string
		Place   string
		Leaving bool
		Born    int64 // Start of its process; changes when it starts again under the same name.
	}

	// Attempt is one send of a request to a backend server.
	Attempt struct {
		Request   *Request
		Server    *Server
		Account   string        // Empty on a public route.
		Rank      int           // 0 is the most urgent.
		Left      time.Duration // Time that the server may use.
		LastEvent string
	}

	// Backend sends attempts to backend servers.
	Backend interface {
		Send(ctx context.Context, a Attempt) Outcome
	}

	// Outcome is the result of a send. It is one of Answered, Refused, Unreached and Lost.
	Outcome interface {
		outcome()
	}

	// Answered is an answer of the server, whose body is still to be read.
	Answered struct {
		Success bool
		Head    any // For the front, opaque here.
		Length  int64
		Body    io.ReadCloser
		Load    *routing.Load // Nil if the answer did not tell.
		Leaving bool          // Whether the server says that it is about to be taken away.
		Rest    time.Duration // How long the server wants no requests from this router; zero if it did not say.
	}

	// Refused says that the server did not run the request and never will.
	Refused struct {
		Reason  routing.Reason
		After   time.Duration // How long the server wants no requests from this router; zero if it did not say.
		Load    *routing.Load
		Leaving bool // Whether the server says that it is about to be taken away.
	}

	// Unreached says that nothing of the request was sent.
	Unreached struct {
		Err error
	}

	// Lost says that the request may have run and there is no usable answer.
	Lost struct {
		Reset bool // Whether the connection itself was lost.
		Err   error
	}

	// Claim is what a request may consume of its account's budget.
	Claim struct {
		Request string // Identity of the request, for the log.
		Account string
		Total   inventory.Tokens // Of the budget, by the configuration that the request is served with.
		Tokens  inventory.Tokens
	}

	// Budgets reserves tokens before a request is sent. Without a hold the refusal tells why.
	Budgets interface {
		Reserve(ctx context.Context, c Claim) (Hold, Refusal)
	}

	// Hold is a reservation. Settle ends it with what was used.
	Hold interface {
		Settle(used inventory.Tokens)
	}
)

func (Answered) outcome()  {}
func (Refused) outcome()   {}
func (Unreached) outcome() {}
func (Lost) outcome()      {}

// NotRun reports whether a refusal for the reason promises that the request has not run and will not run.
func (r Reason) NotRun() bool { return r != Late && r != Broken && r != ServerError }

// process names one process of the server.
func (s *Server) process() string { return s.Name + "/" + strconv.FormatInt(s.Born, 10) }
