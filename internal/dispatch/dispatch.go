// Package dispatch forwards the requests of callers to backend servers and returns the responses. It finds the route
// and the client account, reserves tokens of the account's budget, selects a server, retries failed attempts and
// resumes interrupted streams. It knows no protocol: implementations of Response and Backend translate to and from it.
package dispatch

import (
	"context"
	"io"
	"time"

	"citronslip/internal/ratelimit"
	"citronslip/internal/routing"
	"citronslip/pkg/inventory"
)

const (
	// NotReady means that the router has not received a configuration yet.
	NotReady Reason = "not ready"
	// NoRoute means that no route matches the host and path of the request.
	NoRoute Reason = "no such route"
	// NoAccount means that the API key belongs to no client account.
	NoAccount Reason = "unknown key"
	// NoBudget means that the remaining budget of the client account does not cover the request.
	NoBudget Reason = "budget exhausted"
	// BudgetUnreachable means that the tokens that the router holds do not cover the request, and that it cannot obtain
	// more at present.
	BudgetUnreachable Reason = "budget unreachable"
	// NoServerAvailable means that no backend server accepts the request at present.
	NoServerAvailable Reason = "no backend server"
	// ServersFull means that backend servers refused the request before they executed any of it.
	ServersFull Reason = "backend servers full"
	// RateLimited means that all backend servers that could accept the request have reached the request rates that they
	// take.
	RateLimited Reason = "backend servers at their rate limits"
	// DeadlineTooShort means that the request cannot be completed before its deadline.
	DeadlineTooShort Reason = "deadline cannot be met"
	// LinkFull means that the network link of the router's host has no bandwidth left.
	LinkFull Reason = "link of the host full"
	// Stopping means that the router stops before the deadline of the request.
	Stopping Reason = "router stops"
	// StreamUnknown means that the request takes up a stream of which it is not known which software version began it.
	StreamUnknown Reason = "software version of the stream not known"
	// CrashesServers means that requests with the same content, or with a part of it, have crashed backend servers.
	CrashesServers Reason = "request crashes backend servers"
	// Malformed means that the request lacks required data or contains invalid data.
	Malformed Reason = "malformed request"
	// TooLarge means that the body exceeds the size limit.
	TooLarge Reason = "body too large"
	// BodyTooSlow means that the body did not arrive in time.
	BodyTooSlow Reason = "body too slow"
	// OutOfMemory means that the router has no memory left for the body.
	OutOfMemory Reason = "router out of memory"
	// DeadlineExceeded means that the deadline passed. The request may have been executed.
	DeadlineExceeded Reason = "time limit reached"
	// ServerError means that a backend server responded with an error. The request was executed.
	ServerError Reason = "server error"
	// IncompleteResponse means that the connection to a backend server failed before a complete, valid response
	// arrived. The request may have been executed.
	IncompleteResponse Reason = "backend server broke off"
)

type (
	// Reason tells why a request was refused or failed.
	Reason string

	// Request is a request from a caller.
	Request struct {
		ID        string // Request ID chosen by the caller.
		Method    string
		Host      string
		Path      string
		Key       string        // API key.
		Peer      string        // Network address of the caller, for the log.
		Arrived   time.Time     // Estimated time at which the request reached the host.
		Timeout   time.Duration // Timeout of the caller, counted from Arrived; zero if it gave none.
		Prompt    *Prompt       // Nil if the request has no prompt.
		LastEvent string        // ID of the last event that the caller received of a stream that it resumes.
		Resumes   string        // Request ID of the attempt that brought the first event of that stream; empty if unknown.
		Head      any           // Request data of the protocol, for the Backend; not interpreted here.
		Body      []byte
	}

	// Refusal is the router's own answer to a request that it refuses or that failed.
	Refusal struct {
		Reason Reason
		After  time.Duration // Time after which the caller may retry; zero if unknown.
	}

	// Response receives the response to a request. The first call is Refuse, Begin or Abort. After Begin come calls of Write
	// and then one of End and Abort.
	Response interface {
		Refuse(r Refusal)
		// Begin starts the response with the head of Answered. The length is -1 if it is unknown.
		Begin(head any, length int64) error
		Write(data []byte) error
		End() error
		// Abort ends the response so that the caller cannot mistake it for a complete one. Without Begin there is none.
		Abort()
	}

	// Server is a backend server as described by its row in the store.
	Server struct {
		Name     string
		Service  string
		Address  string
		Place    string
		Software string        // Version of its software; empty if unknown.
		Leaving  bool          // Whether it is about to be removed.
		Born     int64         // Start of its process in Unix milliseconds; changes when it restarts under the same name.
		Cold     time.Duration // Remaining time of its cold start when its row was written.
		Row      int64         // Version of its row.
	}

	// Attempt is one transmission of a request to a backend server.
	Attempt struct {
		Request   *Request
		Server    *Server
		Account   string        // Empty on a public route.
		Rank      int           // Priority; 0 is the most urgent.
		Left      time.Duration // Time that remains until the deadline.
		LastEvent string        // ID of the event after which the server is to continue a stream.
		Donor     string        // Address of the server from which this one is to fetch the cached prefix of the prompt; empty if from none.
		Places    []string      // Data centres of the routers that the request may be sent through; all if nil.
		Permitted bool          // Whether a permit was issued for the attempt, as the server has a rate limit or is cold.
		Replace   func() bool   // Reserves an attempt in place of this one, if its way is broken, and reports success; nil if there can be none.
	}

	// Backend sends attempts to backend servers.
	Backend interface {
		Send(ctx context.Context, a Attempt) Outcome
	}

	// Outcome is the result of an attempt. It is one of the four types that follow.
	Outcome interface {
		outcome()
	}

	// Answered is a response of the server whose body has not been read yet.
	Answered struct {
		Success bool
		Head    any   // Status and headers of the protocol, for the Response; not interpreted here.
		Length  int64 // Length of the body in bytes, or -1 if unknown.
		Body    io.ReadCloser
		// OtherContent is whether the response is declared as something else than a stream of events, Unframed whether
		// it ends with its connection, as it has neither a length nor chunks.
		OtherContent, Unframed bool

		Load    *routing.Load          // Nil if the response carried no load report.
		Leaving bool                   // Whether the server announced that it is about to be removed.
		Rest    time.Duration          // How long the server asks this router to send no requests; zero if it did not ask.
		Limit   ratelimit.Announcement // What the response says about the server's rate limit.
		Cold    time.Duration          // Remaining time of the server's cold start; zero if it named none.
	}

	// Refused means that the server did not execute the request and never will.
	Refused struct {
		Reason      routing.RefusalReason
		After       time.Duration // How long the server asks this router to send no requests; zero if it did not ask.
		Load        *routing.Load
		Leaving     bool                   // Whether the server announced that it is about to be removed.
		Misdirected bool                   // Whether another server than the expected one responded.
		Withheld    bool                   // Whether another router refused to send it, so that the server has said nothing.
		Limit       ratelimit.Announcement // What the response says about the server's rate limit.
		Cold        time.Duration          // Remaining time of the server's cold start; zero if it named none.
	}

	// NotSent means that no part of the request was sent.
	NotSent struct {
		// Withheld is whether a router did not send it because the server's data centre is evacuated, or since no router that
		// may receive the request reaches the server. That says nothing about the server.
		Withheld bool
		Err      error
	}

	// NoResponse means that the request may have been executed and no usable response arrived.
	NoResponse struct {
		Reset bool // Whether the connection itself was lost.
		Path  bool // Whether the way to the server failed, which says nothing about the server.
		Err   error
	}

	// ReservationRequest is a request to reserve tokens of an account's budget.
	ReservationRequest struct {
		Request string // Request ID, for the log.
		Account string
		Total   inventory.Tokens // Whole budget, by the configuration version that the request is served with.
		Tokens  inventory.Tokens // Maximum that the request can consume.
	}

	// BudgetReserver reserves tokens before a request is sent. If none are reserved, the Refusal tells why.
	BudgetReserver interface {
		Reserve(ctx context.Context, request ReservationRequest) (Reservation, Refusal)
	}

	// Reservation is a reservation of tokens. Settle ends it and charges the tokens that were used.
	Reservation interface {
		Settle(used inventory.Tokens)
	}
)

func (Answered) outcome()   {}
func (Refused) outcome()    {}
func (NotSent) outcome()    {}
func (NoResponse) outcome() {}

// NotExecuted reports whether the reason guarantees that the request was not executed and will not be.
func (r Reason) NotExecuted() bool {
	return r != DeadlineExceeded && r != IncompleteResponse && r != ServerError
}

// process returns the identity of the server's process.
func (s *Server) process() ratelimit.Process { return ratelimit.Process{Server: s.Name, Born: s.Born} }
