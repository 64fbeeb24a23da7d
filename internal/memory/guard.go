package memory

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/event"
)

const (
	// connBytes is the memory of an idle connection: buffers of 4 KiB, stacks and bookkeeping.
	connBytes = 16 << 10
	// http2ConnBytes is what a connection over HTTP/2 takes in addition: its goroutines, tables and frames, and
	// HTTP2ReceiveBytes.
	http2ConnBytes = 64<<10 + HTTP2ReceiveBytes
	// HTTP2ReceiveBytes is the limit of the data of a connection over HTTP/2 that its requests have not read.
	HTTP2ReceiveBytes = 256 << 10
	// encryptedConnBytes is what a connection with TLS takes in addition.
	encryptedConnBytes = 40 << 10
	// maxRefusing limits the connections without a place whose first request is read to be refused, and the requests over
	// HTTP/2 whose refusal is not written yet.
	maxRefusing = 32
	// refusalReadTimeout limits the time for that, and refusalBufferBytes is the buffer.
	refusalReadTimeout = time.Second
	refusalBufferBytes = 2 << 10
	// reportInterval is the least time between two log lines about refusals.
	reportInterval = time.Second
)

type (
	// Guard admits the connections of one listener. Set the exported fields before first use.
	Guard struct {
		Name     string // Name of the listener, for the log.
		Budget   *Budget
		MaxConns int    // Limit of the open connections; zero means none but memory.
		Opaque   bool   // Whether connections are encrypted, so that they are not scanned.
		Refusal  []byte // Response to a request that does not fit now; a status 503 with Retry-After if nil.
		TooLarge []byte // Response to a request that can never fit; a status 431 if nil.
		Logger   *zerolog.Logger
		Metrics  tally.Scope // Optional.

		refusing atomic.Int32 // Connections without a place whose first request is read, and refusals over HTTP/2 not yet written.
		waiting  atomic.Int32 // Connections whose head waits for memory.

		mu     sync.Mutex
		conns  map[*Conn]struct{}
		report report
	}

	// report is what happened since the last log line.
	report struct {
		logged  time.Time
		heads   int // Requests refused.
		evicted int // Connections closed to make room.
		refused int // Connections refused.
	}

	// guardedListener is a listener whose connections a Guard admits.
	guardedListener struct {
		net.Listener
		guard *Guard
	}

	// connKey is the context key of the connection of a request.
	connKey struct{}
)

var (
	unavailableResponse = newResponse(http.StatusServiceUnavailable, "Retry-After: 1\r\n", "out of memory")
	tooLargeResponse    = newResponse(http.StatusRequestHeaderFieldsTooLarge, "", "request header too large")
)

// newResponse returns a response that ends its connection.
func newResponse(status int, lines, text string) []byte {
	text = "citronslip: " + text + "\n"
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), lines, len(text), text)
}

// Listener returns a listener that admits the connections of another one.
func (g *Guard) Listener(listener net.Listener) net.Listener { return &guardedListener{listener, g} }

// Accept returns the next admitted connection.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.guard.Admit(accepted); conn != nil {
			return conn, nil
		}
	}
}

// evictStalled closes the connections whose request or response makes no progress, or only those of costly requests.
func (g *Guard) evictStalled(onlyCostly bool) {
	for _, c := range g.openConns() {
		if c.evictStalled(onlyCostly) {
			g.count(func(r *report) { r.evicted++ }, "connections_evicted")
		}
	}
}

func (g *Guard) openConns() []*Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Keys(g.conns))
}

// Admit returns the guarded connection, or nil if there is no room for it and it was closed. To make room, it closes
// connections without a request in progress: idle ones first, then the one that has sent nothing for longest.
func (g *Guard) Admit(accepted net.Conn) *Conn {
	c := &Conn{Conn: accepted, guard: g, lastRead: time.Now()}
	if g.Opaque {
		c.phase = opaque
	}
	for !g.add(c) {
		victim := g.victim()
		if victim == nil {
			g.count(func(r *report) { r.refused++ }, "connections_refused")
			g.turnAway(c)
			return nil
		}
		if victim.evict() {
			g.count(func(r *report) { r.evicted++ }, "connections_evicted")
		}
	}
	return c
}

// turnAway answers the first request of a connection without a place and closes it. If there are many such connections, or
// the request cannot be read, it only closes them.
func (g *Guard) turnAway(c *Conn) {
	if g.Opaque || g.refusing.Add(1) > maxRefusing {
		if !g.Opaque {
			g.refusing.Add(-1)
		}
		_ = c.Conn.Close() // No request was read.
		return
	}
	go func() {
		defer g.refusing.Add(-1)
		defer func() { _ = c.Conn.Close() }() // The answer was written, or cannot be.
		if c.Conn.SetReadDeadline(time.Now().Add(refusalReadTimeout)) != nil {
			return
		}
		buffer := make([]byte, refusalBufferBytes)
		for read, ended := 0, false; !ended; {
			n, err := c.Conn.Read(buffer)
			if read += n; err != nil || read > lingerBytes {
				return
			}
			_, ended = c.scanLines(buffer[:n])
		}
		c.answer(g.unavailable(), buffer)
	}()
}

// add adds a connection if there is room for it.
func (g *Guard) add(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.MaxConns > 0 && len(g.conns) >= g.MaxConns || !g.Budget.Reserve(connBytes) {
		return false
	}
	if g.Opaque && !c.reserveExtra(encryptedConnBytes) {
		g.Budget.Release(connBytes)
		return false
	}
	if g.conns == nil {
		g.conns = make(map[*Conn]struct{})
		g.Budget.register(g)
	}
	g.conns[c] = struct{}{}
	return true
}

// victim returns the connection to be closed first, or nil if all have a request in progress.
func (g *Guard) victim() *Conn {
	var oldest *Conn
	var oldestSince time.Time
	oldestBegun := false
	for _, c := range g.openConns() {
		since, begun, closable := c.idleSince()
		if !closable {
			continue
		}
		if oldest == nil || oldestBegun && !begun || oldestBegun == begun && since.Before(oldestSince) {
			oldest, oldestSince, oldestBegun = c, since, begun
		}
	}
	return oldest
}

func (g *Guard) forget(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// Open returns the number of open connections.
func (g *Guard) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// ConnContext adds a connection to the context of its requests. It is a hook for http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Handler returns a handler that tells the connections of its requests when these begin and end. The server must have
// ConnContext as its hook. Heads that were not scanned, such as those of HTTP/2, are counted here, after decoding.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(net.Conn)
		c := Unwrap(conn)
		if c != nil && c.scans() {
			c.Begin(r)
			defer c.End()
			next.ServeHTTP(w, r)
			return
		}
		if c != nil {
			c.addInProgress(1)
			defer c.addInProgress(-1)
		}
		need := decodedHead(r).Cost()
		if !g.Budget.Reserve(need) {
			g.refuseDecoded(w, r, c)
			return
		}
		defer g.Budget.Release(need)
		next.ServeHTTP(w, r)
	})
}

// refuseDecoded answers a request whose head was decoded and does not fit into the budget. If many such answers are not
// read, it closes the connection, since they keep what was decoded.
func (g *Guard) refuseDecoded(w http.ResponseWriter, r *http.Request, c *Conn) {
	g.countHead()
	defer g.refusing.Add(-1)
	if g.refusing.Add(1) > maxRefusing && c != nil {
		_ = c.Close() // The request has not run; its caller may not read that.
		panic(http.ErrAbortHandler)
	}
	r.Header, r.Trailer = nil, nil // The answer may wait long for its caller.
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}

// Unwrap returns the guarded connection in or below another one, or nil if there is none.
func Unwrap(conn net.Conn) *Conn {
	for conn != nil {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		below, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = below.NetConn()
	}
	return nil
}

func (g *Guard) unavailable() []byte {
	if g.Refusal != nil {
		return g.Refusal
	}
	return unavailableResponse
}

func (g *Guard) tooLarge() []byte {
	if g.TooLarge != nil {
		return g.TooLarge
	}
	return tooLargeResponse
}

func (g *Guard) countHead() { g.count(func(r *report) { r.heads++ }, "heads_refused") }

// count counts a refusal, and logs what was counted if the last log line is old enough.
func (g *Guard) count(add func(r *report), metric string) {
	if g.Metrics != nil {
		g.Metrics.Tagged(map[string]string{"listener": g.Name}).Counter(metric).Inc(1)
	}
	g.mu.Lock()
	add(&g.report)
	now := time.Now()
	counted := g.report
	due := now.Sub(counted.logged) >= reportInterval
	if due {
		g.report = report{logged: now}
	}
	open := len(g.conns)
	g.mu.Unlock()
	if due {
		event.MemoryLimited.Log(g.Logger).Str("listener", g.Name).Int("requests", counted.heads).Int("evicted", counted.evicted).
			Int("refused", counted.refused).Int("open", open).Int64("used", g.Budget.Used()).Int64("limit", g.Budget.Limit).Send()
	}
}
