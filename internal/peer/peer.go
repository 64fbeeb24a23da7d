// Package peer speaks to other routers: jsonrpc2 over TCP with mutual TLS, and the membership built on it.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync/atomic"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"

	"citronslip/internal/wire"
)

const (
	// MethodHello opens an exchange between two routers.
	MethodHello = "peer.hello"
	// MethodPing exchanges changes of the membership.
	MethodPing = "peer.ping"
	// MethodGet fetches a configuration version.
	MethodGet = "config.get"
	// MethodVersion asks for the version in force.
	MethodVersion = "config.state"
	// MethodReserve reserves tokens at a holder of budgets.
	MethodReserve = "budget.reserve"
	// MethodSettle replaces a reservation by the tokens used.
	MethodSettle = "budget.settle"
	// MethodCancel gives a reservation back unused.
	MethodCancel = "budget.cancel"
	// MethodState asks for the state of a request.
	MethodState = "request.state"
	// MethodExplain asks what happened to a request.
	MethodExplain = "request.explain"
	// MethodReport tells of a crash with a suspect request in flight.
	MethodReport = "quarantine.report"
	// MethodFree asks the home router of a request for its free slot.
	MethodFree = "quarantine.reserve"
	// MethodDone tells the home router that a copy of a request ended.
	MethodDone = "quarantine.done"
	// MethodRelay asks for rows of the store that the sender cannot reach.
	MethodRelay = "store.relay"

	// CodeBusy refuses a call because too many are running. The handler was not called.
	CodeBusy = -32001
	// CodeHello refuses a ping of a sender that has not said hello. Nothing was recorded.
	CodeHello = -32002
	// CodeAbsent says that the receiver does not have what was asked for.
	CodeAbsent = -32003
)

var (
	// ErrNotSent says that the call certainly reached no handler.
	ErrNotSent = errors.New("peer: call not sent")
	// ErrUnknown says that the answer was lost and the call may have taken effect.
	ErrUnknown = errors.New("peer: outcome unknown")
	// ErrInsecure says that an address outside loopback was to be used without TLS.
	ErrInsecure = errors.New("peer: TLS is required outside loopback")
	// ErrCertificate says that certificates cannot be loaded or do not prove a router of the fleet.
	ErrCertificate = errors.New("peer: certificate")
	// ErrClosed says that the listener ended for another reason than a planned stop.
	ErrClosed = errors.New("peer: listener closed")
)

type (
	// Refusal is an error that the handler at the other end answered with. Handlers return it to choose the code.
	Refusal struct {
		Code int64
		Text string
	}

	// Handler answers one method.
	Handler[P, R any] func(ctx context.Context, params P) (R, error)

	// Methods are the handlers of one router. They are set before the first connection; a method without a handler is
	// refused.
	Methods struct {
		Hello   Handler[wire.Hello, wire.Hello]
		Ping    Handler[wire.Ping, wire.Ping]
		Get     Handler[wire.ConfigGet, wire.ConfigPart]
		Version Handler[wire.ConfigQuery, wire.ConfigState]
		Reserve Handler[wire.BudgetReserve, wire.BudgetAnswer]
		Settle  Handler[wire.BudgetSettle, wire.BudgetAnswer]
		Cancel  Handler[wire.BudgetCancel, wire.BudgetAnswer]
		State   Handler[wire.RequestQuery, wire.RequestState]
		Explain Handler[wire.RequestQuery, wire.RequestExplanation]
		Report  Handler[wire.QuarantineReport, wire.QuarantineAnswer]
		Free    Handler[wire.QuarantineReserve, wire.QuarantineGrant]
		Done    Handler[wire.QuarantineDone, wire.QuarantineAnswer]
		Relay   Handler[wire.RelayQuery, wire.RelayAnswer]
	}

	// Traffic counts the bytes on all connections that share it, TLS included.
	Traffic struct {
		Read    atomic.Int64
		Written atomic.Int64
	}

	// countedConn counts the bytes of one connection.
	countedConn struct {
		net.Conn
		traffic *Traffic
	}
)

// Error returns the text of the refusal.
func (r *Refusal) Error() string { return "peer: refused: " + r.Text }

// Read counts the bytes read.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Read.Add(int64(n))
	return n, err
}

// Write counts the bytes written.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Written.Add(int64(n))
	return n, err
}

// count wraps the connection if traffic is counted.
func count(conn net.Conn, traffic *Traffic) net.Conn {
	if traffic == nil {
		return conn
	}
	return &countedConn{Conn: conn, traffic: traffic}
}

// handle calls the handler of the method.
func (m *Methods) handle(ctx context.Context, method string, params *json.RawMessage) (any, error) {
	switch method {
	case MethodHello:
		return answer(ctx, m.Hello, params)
	case MethodPing:
		return answer(ctx, m.Ping, params)
	case MethodGet:
		return answer(ctx, m.Get, params)
	case MethodVersion:
		return answer(ctx, m.Version, params)
	case MethodReserve:
		return answer(ctx, m.Reserve, params)
	case MethodSettle:
		return answer(ctx, m.Settle, params)
	case MethodCancel:
		return answer(ctx, m.Cancel, params)
	case MethodState:
		return answer(ctx, m.State, params)
	case MethodExplain:
		return answer(ctx, m.Explain, params)
	case MethodReport:
		return answer(ctx, m.Report, params)
	case MethodFree:
		return answer(ctx, m.Free, params)
	case MethodDone:
		return answer(ctx, m.Done, params)
	case MethodRelay:
		return answer(ctx, m.Relay, params)
	default:
		return nil, &Refusal{Code: jsonrpc2.CodeMethodNotFound, Text: "no such method"}
	}
}

// answer decodes the parameters and calls the handler.
func answer[P, R any](ctx context.Context, handler Handler[P, R], params *json.RawMessage) (any, error) {
	if handler == nil {
		return nil, &Refusal{Code: jsonrpc2.CodeMethodNotFound, Text: "method not served here"}
	}
	if params == nil {
		return nil, &Refusal{Code: jsonrpc2.CodeInvalidParams, Text: "parameters missing"}
	}
	var value P
	if err := json.Unmarshal(*params, &value); err != nil {
		return nil, &Refusal{Code: jsonrpc2.CodeInvalidParams, Text: "parameters malformed"}
	}
	return handler(ctx, value)
}

// refusal converts a handler's error to the wire.
func refusal(err error) *jsonrpc2.Error {
	var r *Refusal
	if errors.As(err, &r) {
		return &jsonrpc2.Error{Code: r.Code, Message: r.Text}
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

// fromWire converts an error answer. Codes that are sent instead of calling a handler become ErrNotSent.
func fromWire(e *jsonrpc2.Error) error {
	switch e.Code {
	case CodeBusy, jsonrpc2.CodeMethodNotFound, jsonrpc2.CodeInvalidParams:
		return trace.Wrap(ErrNotSent, "refused by the receiver: %s", e.Message)
	default:
		return trace.Wrap(&Refusal{Code: e.Code, Text: e.Message})
	}
}
