// Package proxy sends requests to backend servers through another router while this router does not reach the servers
// itself, and sends the requests of other routers. The router that received a request from its caller keeps all decisions
// about it: budget, permit, choice of the server, deadline, retries and cancellation. The other router only sends it.
package proxy

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// headerAddress is the address of the backend server to which a request is to be sent.
	headerAddress = "Citronslip-Address"
	// headerRequest is the ID of the request, for the log.
	headerRequest = "Citronslip-Proxy-Request"
	// headerPermit is set if the sender has a permit for the request or knows of no rate limit of the server.
	headerPermit = "Citronslip-Permit"
	// headerOutcome is the outcome of a request, see the constants of type outcome.
	headerOutcome = "Citronslip-Outcome"
	// headerAfter is the time in milliseconds for which a server wants no requests, with outcomeRefused.
	headerAfter = "Citronslip-After"
	// headerUnframed is set if the server's response has neither a length nor chunks and ends with its connection.
	headerUnframed = "Citronslip-Unframed"
	// headerWithheld is set if the router withholds all requests from the server, with outcomeRefused. Routers that do not know
	// it send nothing to the server for the time of headerAfter.
	headerWithheld = "Citronslip-Withheld"
	// withheldPause is the value of headerAfter in these answers.
	withheldPause = time.Second

	// outcomeAnswered means that the response is that of the backend server.
	outcomeAnswered outcome = "answered"
	// outcomeUnsent means that nothing was sent to the backend server.
	outcomeUnsent outcome = "unsent"
	// outcomeRefused means that nothing was sent since the backend server wants no requests from the router.
	outcomeRefused outcome = "refused"
	// outcomeLost means that the server may have executed the request and sent no usable response.
	outcomeLost outcome = "lost"
	// outcomeReset is outcomeLost with a connection that was reset.
	outcomeReset outcome = "reset"
)

var (
	// ErrNotSent is returned when no part of a request reached a backend server.
	ErrNotSent = errors.New("proxy: request not sent")
	// ErrWithheld is returned when nothing was sent because a router withholds all requests from the server, or since no
	// router in the data centres that the request allows reaches it. That says nothing about the server.
	ErrWithheld = errors.New("proxy: request withheld from the backend server")

	// ownHeaders are exchanged between routers only.
	ownHeaders = []string{headerAddress, headerRequest, headerPermit, headerOutcome, headerAfter, headerUnframed, headerWithheld}
)

type (
	// outcome is the value of headerOutcome.
	outcome string

	// LostError is returned when a backend server may have executed a request and no usable response arrived, either through
	// another router or because the direct way broke.
	LostError struct {
		Reset bool // Whether the server's connection was reset.
		Path  bool // Whether the way to the server failed, which says nothing about the server.
		Err   error
	}

	// RefusedError is returned when the other router sent nothing because the backend server wants no requests from it.
	RefusedError struct {
		After time.Duration // How long the server wants none; zero if unknown.
	}

	// Call describes a request to Transport.
	Call struct {
		Request string // Request ID, for the log.
		Permit  bool   // Whether the request has a permit if its server has a rate limit that this router knows.
		// Places lists the data centres of the routers through which the request may be sent; all if nil.
		Places []string
		// Replace reserves an attempt that takes the place of this one, and reports whether there is one. It is called from another
		// goroutine while the request waits for its response on a broken way, again and again until it succeeds, and may ask
		// other routers. Once it has succeeded, the request ends with a *LostError unless its response has come meanwhile. It
		// is nil if the request may not be executed more than once, or no further attempt is allowed.
		Replace func() bool
	}

	// Server is a backend server.
	Server struct {
		Name    string
		Service string
		Address string
	}

	callKey struct{}
)

// Error implements error.
func (e *LostError) Error() string { return fmt.Sprintf("proxy: response lost: %v", e.Err) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("proxy: backend server wants no requests from the other router for %v", e.After)
}

// WithCall returns a context with the description of a request.
func WithCall(ctx context.Context, call Call) context.Context {
	return context.WithValue(ctx, callKey{}, call)
}

func callOf(ctx context.Context) Call {
	call, _ := ctx.Value(callKey{}).(Call) // Requests without a description have no permit and no ID.
	return call
}
