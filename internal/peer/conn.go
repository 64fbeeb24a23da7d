package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"citronslip/internal/event"
	"citronslip/internal/memory"
	"citronslip/internal/wire"
)

const (
	// DefaultMaxMessageBytes is the default maximum size of a message in bytes. Larger contents are sent in parts.
	DefaultMaxMessageBytes = 1 << 20
	// DefaultMaxCalls is the default maximum number of concurrent calls on one connection in each direction.
	DefaultMaxCalls = 256
	// DefaultTimeout is the default timeout of a call, a handshake and a write.
	DefaultTimeout = 2 * time.Second
	// messageTimeout limits the time for reading a message whose length has arrived.
	messageTimeout = 10 * time.Second
	// unknownLength makes memory.ReadAll begin with a small buffer.
	unknownLength = -1
	// unreservedBytes is the part of a message for which no memory is reserved.
	unreservedBytes = 16 << 10
)

var (
	// errTooLarge is returned for a message larger than the limit.
	errTooLarge = errors.New("peer: message too large")
	// errMalformed is returned for a message that cannot be encoded or decoded as JSON.
	errMalformed = errors.New("peer: malformed message")
)

type (
	// rpcConn is one JSON-RPC connection. Both ends may make calls over it.
	rpcConn struct {
		rpc          *jsonrpc2.Conn
		ready        chan struct{} // Closed once rpc is set.
		stream       *stream
		callSlots    chan struct{} // Holds one element for each outgoing call.
		handlerSlots chan struct{} // Holds one element for each running incoming call.
		methods      *Methods
		client       *Client       // Client that may reuse an accepted connection; may be nil.
		timeout      time.Duration // Bounds a handler and a write.
		dialed       bool          // Whether this router opened the connection.
		lastCall     atomic.Int64  // Time of the last outgoing call in Unix nanoseconds.
	}

	// stream implements jsonrpc2.ObjectStream. Each message is preceded by its length in bytes as an unsigned varint
	// and is no larger than limit.
	stream struct {
		conn     net.Conn
		reader   *bufio.Reader
		limit    int            // Maximum size of a message in bytes.
		timeout  time.Duration  // Bounds a write.
		memory   *memory.Budget // Memory for messages that are read; unlimited if nil.
		received atomic.Int64   // Number of messages read.

		mu sync.Mutex // Serializes writes.
	}

	// rpcLogger logs the messages of the jsonrpc2 library as events.
	rpcLogger struct {
		logger *zerolog.Logger
	}
)

// Printf implements jsonrpc2.Logger. It logs the first error among the arguments.
func (l rpcLogger) Printf(_ string, args ...any) {
	for _, arg := range args {
		if err, ok := arg.(error); ok {
			connEndEvent(err).Log(l.logger).Err(err).Send()
			return
		}
	}
	event.PeerMessageRejected.Log(l.logger).Send()
}

// connEndEvent returns PeerDisconnected for the error of a connection that ended, and PeerMessageRejected for an
// invalid message.
func connEndEvent(err error) event.Event {
	var op *net.OpError
	if errors.As(err, &op) || errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF) {
		return event.PeerDisconnected
	}
	return event.PeerMessageRejected
}

// ReadObject implements jsonrpc2.ObjectStream. It returns errTooLarge or errMalformed for an invalid message.
func (s *stream) ReadObject(v any) error {
	held := &memory.Hold{Budget: s.memory}
	defer held.End()
	data, err := s.readFrame(held)
	if err != nil {
		return err
	}
	s.received.Add(1)
	if err := json.Unmarshal(data, v); err != nil {
		return errMalformed
	}
	return nil
}

// WriteObject implements jsonrpc2.ObjectStream. Length and message go out in one write, and the connection is closed
// after a failed one, so that the receiver never decodes a truncated message. It returns errTooLarge or errMalformed if
// nothing was written.
func (s *stream) WriteObject(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errMalformed
	}
	if len(data) > s.limit {
		return errTooLarge
	}
	frame := binary.AppendUvarint(make([]byte, 0, len(data)+binary.MaxVarintLen32), uint64(len(data)))
	frame = append(frame, data...)
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.conn.SetWriteDeadline(time.Now().Add(s.timeout))
	_, err = s.conn.Write(frame)
	if err != nil {
		_ = s.conn.Close()
	}
	return err
}

// Close closes the connection.
func (s *stream) Close() error {
	return s.conn.Close()
}

// readFrame reads one length and a message of that length. Memory grows with the bytes received rather than with the
// announced length, so that a false length does not exhaust it, and is reserved before.
func (s *stream) readFrame(held *memory.Hold) ([]byte, error) {
	size, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return nil, err
	}
	if size > uint64(s.limit) {
		return nil, errTooLarge
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(messageTimeout)); err != nil {
		return nil, err
	}
	reserve := func(n int64) bool { return n <= unreservedBytes || held.Reserve(n) }
	release := func(n int64) {
		if n > unreservedBytes {
			held.Release(n)
		}
	}
	data, err := memory.ReadAll(io.LimitReader(s.reader, int64(size)), unknownLength, reserve, release)
	if err != nil {
		return nil, err
	}
	if len(data) < int(size) {
		return nil, io.ErrUnexpectedEOF
	}
	return data, s.conn.SetReadDeadline(time.Time{})
}

// start begins to handle incoming calls on the connection.
func (c *rpcConn) start(ctx context.Context, conn net.Conn, limit, calls int, budget *memory.Budget, logger *zerolog.Logger) {
	c.stream = &stream{conn: conn, reader: bufio.NewReader(conn), limit: limit, timeout: c.timeout, memory: budget}
	c.callSlots = make(chan struct{}, calls)
	c.handlerSlots = make(chan struct{}, calls)
	c.markUsed()
	c.ready = make(chan struct{})
	c.rpc = jsonrpc2.NewConn(ctx, c.stream, c, jsonrpc2.SetLogger(rpcLogger{logger}))
	close(c.ready)
}

// Handle implements jsonrpc2.Handler. It handles each call in its own goroutine and answers with CodeBusy if too many
// are running. Notifications are ignored.
func (c *rpcConn) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-c.ready
	if req.Notif {
		return
	}
	select {
	case c.handlerSlots <- struct{}{}:
	default:
		_ = rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: CodeBusy, Message: "too many calls"})
		return
	}
	go func() {
		defer func() { <-c.handlerSlots }()
		c.serveCall(ctx, rpc, req)
	}()
}

// serveCall calls the handler and sends its answer. The handler keeps running when the connection ends, so that a peer
// that disconnects does not leave a half-done operation behind.
func (c *rpcConn) serveCall(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	c.offerToClient(req)
	timeoutCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.timeout)
	defer cancel()
	result, err := c.methods.dispatch(timeoutCtx, req.Method, req.Params)
	if err != nil {
		_ = rpc.ReplyWithError(ctx, req.ID, toWire(err))
		return
	}
	err = rpc.Reply(ctx, req.ID, result)
	if errors.Is(err, errTooLarge) {
		_ = rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "answer too large"})
	}
}

// offerToClient offers an accepted connection, whose peer sends a hello, to the client for calls in the other
// direction.
func (c *rpcConn) offerToClient(req *jsonrpc2.Request) {
	if c.dialed || c.client == nil || req.Method != MethodHello || req.Params == nil {
		return
	}
	var hello wire.Hello
	if err := json.Unmarshal(*req.Params, &hello); err == nil && hello.Sender.Address != "" {
		c.client.adopt(hello.Sender.Address, c)
	}
}

// call sends a request and waits for the answer. Its errors wrap ErrNotSent, ErrOutcomeUnknown or an *RPCError.
func (c *rpcConn) call(ctx context.Context, method string, params, result any) error {
	select {
	case c.callSlots <- struct{}{}:
	default:
		return trace.Wrap(ErrNotSent, "too many calls wait for this peer")
	}
	c.markUsed()
	waiter, err := c.rpc.DispatchCall(ctx, method, params)
	if err != nil {
		<-c.callSlots
		if errors.Is(err, errTooLarge) || errors.Is(err, errMalformed) {
			return trace.Wrap(ErrNotSent, "%v", err)
		}
		return trace.Wrap(ErrOutcomeUnknown, "write: %v", err)
	}
	err = waiter.Wait(ctx, result)
	if err != nil && ctx.Err() != nil {
		// The slot stays in use until the answer arrives or the connection ends, so that a slow peer is not overloaded.
		go func() {
			_ = waiter.Wait(context.Background(), nil)
			<-c.callSlots
		}()
		return trace.Wrap(ErrOutcomeUnknown, "no answer: %v", err)
	}
	<-c.callSlots
	var refused *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused):
		return fromWire(refused)
	default:
		return trace.Wrap(ErrOutcomeUnknown, "connection ended: %v", err)
	}
}

// isClosed reports whether the connection has ended.
func (c *rpcConn) isClosed() bool {
	select {
	case <-c.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}

// close closes the connection.
func (c *rpcConn) close() {
	_ = c.rpc.Close()
}

// markUsed records the current time as that of the last call.
func (c *rpcConn) markUsed() {
	c.lastCall.Store(time.Now().UnixNano())
}
