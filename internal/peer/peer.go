// Package peer connects the routers of a fleet: JSON-RPC 2.0 over TCP with mutual TLS, and the membership protocol on
// top of it.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync/atomic"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"

	"citronslip/internal/wire"
)

const (
	// MethodHello opens an exchange of membership changes between two routers, or compares their member tables.
	MethodHello = "peer.hello"
	// MethodPing exchanges changes of the membership.
	MethodPing = "peer.ping"
	// MethodConfigGet fetches a part of a configuration version.
	MethodConfigGet = "config.get"
	// MethodConfigState asks for the number of the active configuration version and of the highest one held.
	MethodConfigState = "config.state"
	// MethodBudgetReserve reserves tokens at a router that holds budgets.
	MethodBudgetReserve = "budget.reserve"
	// MethodBudgetSettle replaces a reservation by the tokens used.
	MethodBudgetSettle = "budget.settle"
	// MethodBudgetCancel releases an unused reservation.
	MethodBudgetCancel = "budget.cancel"
	// MethodBudgetKnown tells a router of a budget row in the store.
	MethodBudgetKnown = "budget.known"
	// MethodBudgetWrite sends a write of budget rows to the store for a router that cannot reach it.
	MethodBudgetWrite = "budget.write"
	// MethodRequestState asks for the state of a request.
	MethodRequestState = "request.state"
	// MethodRequestExplain asks what happened to a request.
	MethodRequestExplain = "request.explain"
	// MethodQuarantineReport reports a crash of a backend server with a suspect request in flight. Package quarantine
	// explains suspects, home routers and free slots.
	MethodQuarantineReport = "quarantine.report"
	// MethodQuarantineReserve asks the home router of a request for its free slot.
	MethodQuarantineReserve = "quarantine.reserve"
	// MethodQuarantineDone reports to the home router that a copy of a request ended.
	MethodQuarantineDone = "quarantine.done"
	// MethodStoreRelay asks for rows of the store while the sender cannot reach it.
	MethodStoreRelay = "store.relay"
	// MethodRatelimitTake asks for a permit to send one request to a backend server with a rate limit.
	MethodRatelimitTake = "ratelimit.take"
	// MethodRatelimitReport reports what a backend server said about its rate limit.
	MethodRatelimitReport = "ratelimit.report"
	// MethodColdstartTake asks for a permit to send one request to a cold backend server.
	MethodColdstartTake = "coldstart.take"
	// MethodResumeKeep hands records of streams to another router.
	MethodResumeKeep = "resume.keep"
	// MethodResumeFind asks which software version began a stream.
	MethodResumeFind = "resume.find"
	// MethodProxyReach asks which backend servers a router reaches.
	MethodProxyReach = "proxy.reach"

	// CodeBusy is returned when the connection has too many running calls. The handler was not called.
	CodeBusy = -32001
	// CodeHelloRequired is returned for a ping whose sender has no established exchange. Its changes were not recorded;
	// the sender sends a hello first.
	CodeHelloRequired = -32002
	// CodeNotFound is returned when the receiver does not have the requested data.
	CodeNotFound = -32003
)

var (
	// ErrNotSent is returned when a call certainly reached no handler.
	ErrNotSent = errors.New("peer: call not sent")
	// ErrUnsupported is returned when the receiver does not know the method, as a router of an earlier release. It wraps
	// ErrNotSent. The connection stays open.
	ErrUnsupported = fmt.Errorf("%w: method unknown to the receiver", ErrNotSent)
	// ErrOutcomeUnknown is returned when no answer arrived and the call may have taken effect.
	ErrOutcomeUnknown = errors.New("peer: outcome unknown")
	// ErrTLSRequired is returned when an address outside loopback is used without TLS.
	ErrTLSRequired = errors.New("peer: TLS is required outside loopback")
	// ErrCertificate is returned when certificates cannot be loaded, or when the peer's certificate does not identify a
	// router of the fleet.
	ErrCertificate = errors.New("peer: certificate check failed")
	// ErrClosed is returned when the listener fails, or when a new connection fails before it is in use.
	ErrClosed = errors.New("peer: listener closed")
)

type (
	// RPCError is an error answer of the peer's handler. A handler returns it to choose the JSON-RPC error code.
	RPCError struct {
		Code int64  // JSON-RPC error code.
		Text string // Message sent with the code.
	}

	// Handler handles the calls of one method.
	Handler[P, R any] func(ctx context.Context, params P) (R, error)

	// Methods holds the handlers of one router. They are set before the first connection. Calls of a method without a
	// handler are refused. The comment of a field names its method.
	Methods struct {
		Hello   Handler[wire.Hello, wire.Hello]                       // MethodHello.
		Ping    Handler[wire.Ping, wire.Ping]                         // MethodPing.
		Get     Handler[wire.ConfigGet, wire.ConfigPart]              // MethodConfigGet.
		Version Handler[wire.ConfigQuery, wire.ConfigState]           // MethodConfigState.
		Reserve Handler[wire.BudgetReserve, wire.BudgetAnswer]        // MethodBudgetReserve.
		Settle  Handler[wire.BudgetSettle, wire.BudgetAnswer]         // MethodBudgetSettle.
		Cancel  Handler[wire.BudgetCancel, wire.BudgetAnswer]         // MethodBudgetCancel.
		Known   Handler[wire.PrepaidKnown, wire.BudgetAnswer]         // MethodBudgetKnown.
		Write   Handler[wire.PrepaidWrite, wire.PrepaidWritten]       // MethodBudgetWrite.
		State   Handler[wire.RequestQuery, wire.RequestState]         // MethodRequestState.
		Explain Handler[wire.RequestQuery, wire.RequestExplanation]   // MethodRequestExplain.
		Report  Handler[wire.QuarantineReport, wire.QuarantineAnswer] // MethodQuarantineReport.
		Free    Handler[wire.QuarantineReserve, wire.QuarantineGrant] // MethodQuarantineReserve.
		Done    Handler[wire.QuarantineDone, wire.QuarantineAnswer]   // MethodQuarantineDone.
		Relay   Handler[wire.RelayQuery, wire.RelayAnswer]            // MethodStoreRelay.
		Take    Handler[wire.RatelimitTake, wire.RatelimitAnswer]     // MethodRatelimitTake.
		Limit   Handler[wire.RatelimitReport, wire.RatelimitAnswer]   // MethodRatelimitReport.
		Cold    Handler[wire.ColdstartTake, wire.ColdstartAnswer]     // MethodColdstartTake.
		Keep    Handler[wire.ResumeRecords, wire.ResumeAck]           // MethodResumeKeep.
		Find    Handler[wire.ResumeQuery, wire.ResumeAnswer]          // MethodResumeFind.
		Reach   Handler[wire.ProxyQuery, wire.ProxyAnswer]            // MethodProxyReach.
	}

	// Traffic counts the bytes of all connections that share it, including those of TLS.
	Traffic struct {
		Read    atomic.Int64 // Bytes read.
		Written atomic.Int64 // Bytes written.
	}

	// countedConn adds the bytes of one connection to the traffic.
	countedConn struct {
		net.Conn
		traffic *Traffic
	}
)

// Error implements error.
func (r *RPCError) Error() string { return "peer: refused: " + r.Text }

// Read implements net.Conn and counts the bytes read.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Read.Add(int64(n))
	return n, err
}

// Write implements net.Conn and counts the bytes written.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Written.Add(int64(n))
	return n, err
}

// countTraffic wraps the connection so that its bytes are counted. A nil traffic leaves the connection as it is.
func countTraffic(conn net.Conn, traffic *Traffic) net.Conn {
	if traffic == nil {
		return conn
	}
	return &countedConn{Conn: conn, traffic: traffic}
}

// dispatch calls the handler of the named method.
func (m *Methods) dispatch(ctx context.Context, method string, params *json.RawMessage) (any, error) {
	switch method {
	case MethodHello:
		return invoke(ctx, m.Hello, params)
	case MethodPing:
		return invoke(ctx, m.Ping, params)
	case MethodConfigGet:
		return invoke(ctx, m.Get, params)
	case MethodConfigState:
		return invoke(ctx, m.Version, params)
	case MethodBudgetReserve:
		return invoke(ctx, m.Reserve, params)
	case MethodBudgetSettle:
		return invoke(ctx, m.Settle, params)
	case MethodBudgetCancel:
		return invoke(ctx, m.Cancel, params)
	case MethodBudgetKnown:
		return invoke(ctx, m.Known, params)
	case MethodBudgetWrite:
		return invoke(ctx, m.Write, params)
	case MethodRequestState:
		return invoke(ctx, m.State, params)
	case MethodRequestExplain:
		return invoke(ctx, m.Explain, params)
	case MethodQuarantineReport:
		return invoke(ctx, m.Report, params)
	case MethodQuarantineReserve:
		return invoke(ctx, m.Free, params)
	case MethodQuarantineDone:
		return invoke(ctx, m.Done, params)
	case MethodStoreRelay:
		return invoke(ctx, m.Relay, params)
	case MethodRatelimitTake:
		return invoke(ctx, m.Take, params)
	case MethodRatelimitReport:
		return invoke(ctx, m.Limit, params)
	case MethodColdstartTake:
		return invoke(ctx, m.Cold, params)
	case MethodResumeKeep:
		return invoke(ctx, m.Keep, params)
	case MethodResumeFind:
		return invoke(ctx, m.Find, params)
	case MethodProxyReach:
		return invoke(ctx, m.Reach, params)
	default:
		return nil, &RPCError{Code: jsonrpc2.CodeMethodNotFound, Text: "no such method"}
	}
}

// invoke decodes the parameters and calls the handler. Its own errors are *RPCError.
func invoke[P, R any](ctx context.Context, handler Handler[P, R], params *json.RawMessage) (any, error) {
	if handler == nil {
		return nil, &RPCError{Code: jsonrpc2.CodeMethodNotFound, Text: "method not served here"}
	}
	if params == nil {
		return nil, &RPCError{Code: jsonrpc2.CodeInvalidParams, Text: "parameters missing"}
	}
	var value P
	if err := json.Unmarshal(*params, &value); err != nil {
		return nil, &RPCError{Code: jsonrpc2.CodeInvalidParams, Text: "parameters malformed"}
	}
	return handler(ctx, value)
}

// toWire converts the error of a handler to a JSON-RPC error.
func toWire(err error) *jsonrpc2.Error {
	var r *RPCError
	if errors.As(err, &r) {
		return &jsonrpc2.Error{Code: r.Code, Message: r.Text}
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

// fromWire converts a JSON-RPC error to an error of this package, which wraps an *RPCError. Codes sent without a call of the
// handler also wrap ErrNotSent, that of an unknown method ErrUnsupported.
func fromWire(e *jsonrpc2.Error) error {
	refusal := &RPCError{Code: e.Code, Text: e.Message}
	switch e.Code {
	case jsonrpc2.CodeMethodNotFound:
		return trace.Wrap(fmt.Errorf("%w: %w", ErrUnsupported, refusal))
	case CodeBusy, jsonrpc2.CodeInvalidParams:
		return trace.Wrap(fmt.Errorf("%w: %w", ErrNotSent, refusal))
	default:
		return trace.Wrap(refusal)
	}
}
