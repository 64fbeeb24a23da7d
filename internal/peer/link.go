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
	"citronslip/internal/wire"
)

const (
	// DefaultLimit bounds one message. Larger contents travel in parts.
	DefaultLimit = 1 << 20
	// DefaultCalls bounds the concurrent calls of one connection in each direction.
	DefaultCalls = 256
	// DefaultTimeout bounds a call, a handshake and a write.
	DefaultTimeout = 2 * time.Second
)

var (
	errTooLarge  = errors.New("peer: message too large")
	errMalformed = errors.New("peer: malformed message")
)

type (
	// link is one connection. Both ends may call over it.
	link struct {
		rpc      *jsonrpc2.Conn
		ready    chan struct{} // Closed once rpc is set.
		stream   *stream
		calls    chan struct{} // Slots of outgoing calls.
		handlers chan struct{} // Slots of incoming calls.
		methods  *Methods
		client   *Client // Learns the sender's address of an accepted connection; may be nil.
		timeout  time.Duration
		dialed   bool
		used     atomic.Int64 // Time of the last outgoing call in Unix nanoseconds.
	}

	// stream frames messages by a length of variable size and bounds them.
	stream struct {
		conn     net.Conn
		reader   *bufio.Reader
		limit    int
		timeout  time.Duration
		received atomic.Int64 // Messages read.

		mu sync.Mutex
	}

	// rpcLog turns the library's messages into events.
	rpcLog struct {
		logger *zerolog.Logger
	}
)

// Printf logs one message of the library.
func (l rpcLog) Printf(_ string, args ...any) {
	for _, arg := range args {
		if err, ok := arg.(error); ok {
			rejection(err).Log(l.logger).Err(err).Send()
			return
		}
	}
	event.PeerMessageRejected.Log(l.logger).Send()
}

// rejection tells a connection that ended from one that carried something invalid.
func rejection(err error) event.Event {
	var op *net.OpError
	if errors.As(err, &op) || errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF) {
		return event.PeerDisconnected
	}
	return event.PeerMessageRejected
}

// ReadObject reads one message.
func (s *stream) ReadObject(v any) error {
	data, err := readFrame(s.reader, s.limit)
	if err != nil {
		return err
	}
	s.received.Add(1)
	if err := json.Unmarshal(data, v); err != nil {
		return errMalformed
	}
	return nil
}

// WriteObject writes one message in one write, so that a message that was cut is never decoded at the other end.
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

// readFrame reads one length and as many bytes. Memory grows with the bytes received, not with the length announced.
func readFrame(r *bufio.Reader, limit int) ([]byte, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if size > uint64(limit) {
		return nil, errTooLarge
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return nil, err
	}
	if len(data) < int(size) {
		return nil, io.ErrUnexpectedEOF
	}
	return data, nil
}

// start begins to serve the connection.
func (l *link) start(ctx context.Context, conn net.Conn, limit, calls int, logger *zerolog.Logger) {
	l.stream = &stream{conn: conn, reader: bufio.NewReader(conn), limit: limit, timeout: l.timeout}
	l.calls = make(chan struct{}, calls)
	l.handlers = make(chan struct{}, calls)
	l.touch()
	l.ready = make(chan struct{})
	l.rpc = jsonrpc2.NewConn(ctx, l.stream, l, jsonrpc2.SetLogger(rpcLog{logger}))
	close(l.ready)
}

// Handle answers one incoming call in its own goroutine, up to the bound.
func (l *link) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-l.ready
	if req.Notif {
		return
	}
	select {
	case l.handlers <- struct{}{}:
	default:
		_ = rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: CodeBusy, Message: "too many calls"})
		return
	}
	go func() {
		defer func() { <-l.handlers }()
		l.reply(ctx, rpc, req)
	}()
}

// reply calls the handler and sends its answer. The handler outlives the connection: a caller that went away must not
// leave half of an effect behind.
func (l *link) reply(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	l.learn(req)
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.timeout)
	defer cancel()
	result, err := l.methods.handle(bounded, req.Method, req.Params)
	if err != nil {
		_ = rpc.ReplyWithError(ctx, req.ID, refusal(err))
		return
	}
	err = rpc.Reply(ctx, req.ID, result)
	if errors.Is(err, errTooLarge) {
		_ = rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "answer too large"})
	}
}

// learn offers an accepted connection to the client for calls in the other direction.
func (l *link) learn(req *jsonrpc2.Request) {
	if l.dialed || l.client == nil || req.Method != MethodHello || req.Params == nil {
		return
	}
	var hello wire.Hello
	if err := json.Unmarshal(*req.Params, &hello); err == nil && hello.Sender.Address != "" {
		l.client.adopt(hello.Sender.Address, l)
	}
}

// call sends a request and waits for the answer.
func (l *link) call(ctx context.Context, method string, params, result any) error {
	select {
	case l.calls <- struct{}{}:
	default:
		return trace.Wrap(ErrNotSent, "too many calls wait for this peer")
	}
	l.touch()
	waiter, err := l.rpc.DispatchCall(ctx, method, params)
	if err != nil {
		<-l.calls
		if errors.Is(err, errTooLarge) || errors.Is(err, errMalformed) {
			return trace.Wrap(ErrNotSent, "%v", err)
		}
		return trace.Wrap(ErrUnknown, "write: %v", err)
	}
	err = waiter.Wait(ctx, result)
	if err != nil && ctx.Err() != nil {
		// The slot stays taken until the answer arrives or the connection ends, so that a slow peer is not flooded.
		go func() {
			_ = waiter.Wait(context.Background(), nil)
			<-l.calls
		}()
		return trace.Wrap(ErrUnknown, "no answer: %v", err)
	}
	<-l.calls
	var refused *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused):
		return fromWire(refused)
	default:
		return trace.Wrap(ErrUnknown, "connection ended: %v", err)
	}
}

// closed tells whether the connection has ended.
func (l *link) closed() bool {
	select {
	case <-l.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}

// close ends the connection.
func (l *link) close() {
	_ = l.rpc.Close()
}

// touch notes the time of use.
func (l *link) touch() {
	l.used.Store(time.Now().UnixNano())
}
