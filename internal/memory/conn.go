package memory

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// The phases of a connection over HTTP/1.1, by what the next byte belongs to.
	inHead    phase = iota
	headEnded       // The head is complete; net/http has not told yet whether a body follows.
	inBody
	inChunkSize
	inChunkSizeRest
	inChunkData
	inChunkEnd
	inTrailer
	opaque // The bytes are not scanned: they are encrypted, or those of HTTP/2.

	// refusalWriteTimeout limits the time for writing a refusal, which the socket's buffer takes at once.
	refusalWriteTimeout = 100 * time.Millisecond
	// lingerTime is how long a refused connection is read from, so that the end of the connection does not overtake the
	// refusal. lingerBytes limits what is read.
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 64 << 10
	// stalledTime is how long nothing has to arrive of a request, or to be read of a response, or how old a request has to be
	// that arrives at less than minRate, before its connection may be closed to make room. It would otherwise keep its place.
	stalledTime = 3 * time.Second
	minRate     = 32 << 10 // In bytes per second.
	// headWait is how long the complete head of an ordinary request waits for memory. maxHeadWaits limits how many do.
	headWait     = 250 * time.Millisecond
	maxHeadWaits = 64
)

type (
	phase int

	// Conn is a connection whose heads are scanned as they arrive. What a head takes once decoded is reserved before
	// net/http sees it. A read returns bytes of one phase only, so that no byte of a following head is passed on before it
	// is counted.
	Conn struct {
		net.Conn
		guard *Guard
		above *Conn // Connection that this one carries encrypted; nil if there is none.
		below *Conn // Connection that carries this one encrypted, and counts as the open one; nil if there is none.

		mu         sync.Mutex
		phase      phase
		lineBytes  int   // Bytes of the current line so far.
		lineEmpty  bool  // Whether they are at most one carriage return.
		remaining  int64 // Bytes of the body or the chunk that are still to come.
		digits     int   // Digits of the chunk size so far.
		head       Head  // Size of the current head or trailer.
		reading    int64 // Bytes reserved for the head that is being read,
		ready      int64 // for the one that net/http decodes,
		serving    int64 // and for the one whose request is served.
		inProgress int   // Requests that are served.
		pending    []byte
		lastRead   time.Time // When the last bytes arrived or the last request ended.
		begun      time.Time // When the first bytes of the current request were passed on.
		received   int64     // Bytes of it that were passed on.
		writing    time.Time // When the write in progress began; zero if there is none.
		starved    bool      // Whether the memory for a trailer, or for HTTP/2, was not there.
		extra      int64     // Bytes reserved for the connection beyond connBytes.
		first      []byte    // Start of the connection, as long as it may be that of HTTP/2.
		scanned    bool      // Whether that is decided.
		closed     bool
	}

	// closeWriter is a connection that can be closed in one direction.
	closeWriter interface {
		CloseWrite() error
	}
)

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read reads bytes that net/http may decode.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, refused := c.readPending(p)
	var err error
	if n == 0 && !refused {
		if n, err = c.Conn.Read(p); n > 0 {
			n, refused = c.admit(p[:n], true)
		}
	}
	if refused && !c.awaitRoom() {
		c.refuse(p)
		return 0, io.EOF
	}
	return n, err
}

// Write writes to the connection, and records how long that takes.
func (c *Conn) Write(p []byte) (int, error) {
	c.setWriting(time.Now())
	defer c.setWriting(time.Time{})
	return c.Conn.Write(p)
}

func (c *Conn) setWriting(begin time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = begin
}

// readPending reads bytes that arrived together with those of another phase.
func (c *Conn) readPending(p []byte) (n int, refused bool) {
	c.mu.Lock()
	n = copy(p, c.pending)
	c.mu.Unlock()
	if n == 0 {
		return 0, false
	}
	return c.admit(p[:n], false)
}

// admit scans data and reserves what decoding it takes. It returns how much of it may be passed on now, and keeps the rest.
func (c *Conn) admit(data []byte, arrived bool) (n int, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if arrived {
		c.lastRead = now
	}
	if c.betweenRequests() {
		c.begun, c.received = now, 0
	}
	n = c.scan(data)
	c.received += int64(n)
	switch {
	case !arrived:
		c.pending = c.pending[n:]
		if len(c.pending) == 0 {
			c.pending = nil
		}
	case n < len(data):
		c.pending = bytes.Clone(data[n:])
	}
	return n, !c.charge()
}

// betweenRequests reports whether the next byte begins a request. The caller holds the lock.
func (c *Conn) betweenRequests() bool {
	return (c.phase == inHead || c.phase == headEnded) && c.head.Bytes == 0
}

// charge reserves the memory for what was scanned. The caller holds the lock.
func (c *Conn) charge() bool {
	switch {
	case c.closed, c.starved:
		return false
	case c.phase == inTrailer:
		return c.chargeTrailer()
	case c.phase != inHead && c.phase != headEnded || c.inProgress > 0 || c.head.Bytes == 0:
		// A byte of the next head that arrives while a request is served is counted with those that follow.
		return true
	}
	need := c.head.decodedBytes()
	if c.phase == headEnded {
		need = c.head.Cost()
	}
	if !c.guard.Budget.Resize(c.reading, need) {
		return false
	}
	c.reading = need
	if c.phase == headEnded {
		c.completeHead()
	}
	return true
}

// completeHead keeps the memory for a complete head until it is decoded. The caller holds the lock.
func (c *Conn) completeHead() {
	c.guard.Budget.Release(c.ready) // Of a head that net/http has answered without a handler.
	c.ready, c.reading, c.head = c.reading, 0, Head{}
}

// awaitRoom waits for the memory for a head that was not admitted, and reports whether there was room in the end. Only
// complete heads of ordinary requests wait: incomplete ones would wait for each other.
func (c *Conn) awaitRoom() bool {
	c.mu.Lock()
	held, need := c.reading, c.head.Cost()
	waits := !c.closed && !c.starved && c.phase == headEnded && need <= ordinaryBytes
	c.mu.Unlock()
	if !waits {
		return false
	}
	defer c.guard.waiting.Add(-1)
	if c.guard.waiting.Add(1) > maxHeadWaits {
		return false
	}
	if !c.guard.Budget.WaitResize(context.Background(), held, need, headWait) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		c.guard.Budget.Resize(need, held) // What was held has been released.
		return false
	}
	c.reading = need
	c.completeHead()
	return true
}

// chargeTrailer reserves the memory for the lines after a body. The caller holds the lock.
func (c *Conn) chargeTrailer() bool {
	if c.closed {
		return false
	}
	need := c.head.decodedBytes()
	grown := c.serving + need - c.reading
	if !c.guard.Budget.Resize(c.serving, grown) {
		return false
	}
	c.serving, c.reading = grown, need
	return true
}

// Begin tells that net/http has decoded a head, and whether a body follows.
func (c *Conn) Begin(r *http.Request) {
	if c.below != nil {
		c.below.addInProgress(1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inProgress++
	c.guard.Budget.Release(c.serving) // Of a trailer that net/http has discarded after the previous request.
	c.serving, c.ready = c.ready, 0
	switch {
	case r.ContentLength < 0:
		c.phase, c.remaining, c.digits = inChunkSize, 0, 0
	case r.ContentLength > 0:
		c.phase, c.remaining = inBody, r.ContentLength
	}
}

// End tells that the request has been served.
func (c *Conn) End() {
	if c.below != nil {
		c.below.addInProgress(-1)
	}
	c.addInProgress(-1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard.Budget.Release(c.serving)
	c.serving = 0
}

// addInProgress counts the requests that are served.
func (c *Conn) addInProgress(delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inProgress += delta
	c.lastRead = time.Now()
	if c.inProgress == 0 {
		c.begun, c.received = c.lastRead, 0 // A byte of the next request may have arrived long before.
	}
}

// scans reports whether the heads of the connection are scanned.
func (c *Conn) scans() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase != opaque
}

// reserveExtra reserves memory for the connection itself.
func (c *Conn) reserveExtra(n int64) bool {
	if !c.guard.Budget.Resize(c.extra, c.extra+n) {
		return false
	}
	c.extra += n
	return true
}

// Close closes the connection and releases its memory.
func (c *Conn) Close() error {
	c.release()
	return c.Conn.Close()
}

// CloseWrite closes the sending direction if the connection supports that.
func (c *Conn) CloseWrite() error {
	if writer, ok := c.Conn.(closeWriter); ok {
		return writer.CloseWrite()
	}
	return nil
}

// release releases the memory of the connection, but not that of a request that is still served.
func (c *Conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	c.guard.Budget.Release(c.ready)
	c.guard.Budget.Release(c.extra)
	if c.phase != inTrailer {
		c.guard.Budget.Release(c.reading)
	}
	if c.inProgress == 0 {
		c.guard.Budget.Release(c.serving) // As in Begin.
		c.serving = 0
	}
	c.reading, c.ready, c.pending = 0, 0, nil
	if c.below == nil {
		c.guard.Budget.Release(connBytes)
		c.guard.forget(c)
	}
}

// refuse answers a request whose head does not fit into the budget, and ends the connection. The request has not been
// decoded, so that it does not run.
func (c *Conn) refuse(buffer []byte) {
	c.mu.Lock()
	closed, answers := c.closed, c.inProgress == 0
	response := c.guard.unavailable()
	if !c.guard.Budget.CanFit(connBytes + c.head.Cost()) {
		response = c.guard.tooLarge()
	}
	c.mu.Unlock()
	if closed {
		return
	}
	c.guard.countHead()
	if answers {
		c.answer(response, buffer)
	}
}

// answer writes a response and reads for a moment what the other end still sends.
func (c *Conn) answer(response, buffer []byte) {
	if c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) != nil {
		return
	}
	if _, err := c.Conn.Write(response); err != nil || c.CloseWrite() != nil {
		return
	}
	if c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	for read := 0; read < lingerBytes; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		read += n
	}
}

// evict closes the connection unless a request is served on it, and reports whether it did.
func (c *Conn) evict() bool { return c.closeIf(c.closable) }

// evictStalled closes the connection if its request or response makes no progress, and is costly where that is asked for. It
// reports whether it did.
func (c *Conn) evictStalled(onlyCostly bool) bool {
	return c.closeIf(func() bool { return c.stalled() && (!onlyCostly || c.costly()) })
}

// closeIf closes the connection if the condition holds, and reports whether it did.
func (c *Conn) closeIf(condition func() bool) bool {
	c.mu.Lock()
	closes := !c.closed && condition()
	c.mu.Unlock()
	if closes {
		_ = c.Close() // Its caller sends or reads nothing.
	}
	return closes
}

// closable reports whether the connection may be closed to make room. The caller holds the lock.
func (c *Conn) closable() bool {
	if c.above != nil {
		c.above.mu.Lock()
		defer c.above.mu.Unlock()
		return !c.closed && c.above.closable()
	}
	return !c.closed && (c.inProgress == 0 || c.stalled())
}

// stalled reports whether the connection has an incomplete request of which nothing has arrived for stalledTime, or that
// arrives too slowly, or a response of which nothing has been read for so long. The caller holds the lock.
func (c *Conn) stalled() bool {
	if !c.writing.IsZero() && time.Since(c.writing) >= stalledTime {
		return true
	}
	if c.above != nil {
		c.above.mu.Lock()
		defer c.above.mu.Unlock()
		return c.above.stalled()
	}
	incomplete := c.phase >= inBody && c.phase <= inTrailer || c.phase == inHead && c.head.Bytes > 0 && c.inProgress == 0
	if !incomplete {
		return false
	}
	now := time.Now()
	age := now.Sub(c.begun)
	return now.Sub(c.lastRead) >= stalledTime || age >= stalledTime && float64(c.received) < minRate*age.Seconds()
}

// costly reports whether the head or the body of the request takes more than an ordinary request, or its response waits to be
// read, which may be long. The caller holds the lock.
func (c *Conn) costly() bool {
	if !c.writing.IsZero() || max(c.reading, c.ready, c.serving, c.received) > ordinaryBytes {
		return true
	}
	if c.above == nil {
		return false
	}
	c.above.mu.Lock()
	defer c.above.mu.Unlock()
	return c.above.costly()
}

// idleSince returns since when nothing has arrived, whether a request has been begun, and whether the connection may be
// closed.
func (c *Conn) idleSince() (since time.Time, begun, closable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.above != nil {
		c.above.mu.Lock()
		begun = c.above.head.Bytes > 0 || c.above.ready > 0 || c.above.inProgress > 0
		c.above.mu.Unlock()
		return c.lastRead, begun, c.closable()
	}
	return c.lastRead, c.head.Bytes > 0 || c.ready > 0 || c.inProgress > 0, c.closable()
}
