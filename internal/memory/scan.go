package memory

import (
	"bytes"
)

const (
	// maxChunkDigits is the number of digits of a chunk size beyond which net/http refuses the body.
	maxChunkDigits = 16
)

var (
	// http2Preface is the first head of a connection over HTTP/2.
	http2Preface = []byte("PRI * HTTP/2.0\r\n\r\n")
	// listSeparator separates the entries of a value that is a list.
	listSeparator = []byte(",")
)

// scan returns how many bytes of data belong to the current phase and those that net/http reads together with it. The
// caller holds the lock.
func (c *Conn) scan(data []byte) int {
	n := 0
	for n < len(data) {
		rest := data[n:]
		switch c.phase {
		case opaque:
			return len(data)
		case headEnded:
			if n > 0 {
				return n
			}
			c.phase = inHead
		case inHead:
			if c.inProgress > 0 {
				rest = rest[:1] // net/http looks at one byte to notice the end of the connection.
			}
			used, ended := c.scanLines(rest)
			n += used
			if ended {
				c.phase = headEnded
			}
			c.detectHTTP2(rest[:used])
			if ended || c.inProgress > 0 {
				return n
			}
		case inBody:
			used := min(int64(len(rest)), c.remaining)
			c.remaining -= used
			n += int(used)
			if c.remaining == 0 {
				c.phase = headEnded
				return n
			}
		case inTrailer:
			used, ended := c.scanLines(rest)
			n += used
			if ended {
				c.starved = !c.chargeTrailer()
				c.phase, c.reading, c.head = headEnded, 0, Head{}
				return n
			}
		default:
			n += c.scanChunk(rest)
		}
	}
	return n
}

// detectHTTP2 stops the scan if the first head of the connection is that of HTTP/2. The caller holds the lock.
func (c *Conn) detectHTTP2(part []byte) {
	if c.scanned {
		return
	}
	c.first = append(c.first, part...)
	if bytes.Equal(c.first, http2Preface) {
		c.phase, c.head = opaque, Head{}
		c.guard.Budget.Release(c.reading)
		c.reading = 0
		c.starved = !c.reserveExtra(http2ConnBytes)
	}
	if !bytes.HasPrefix(http2Preface, c.first) || c.phase != inHead {
		c.first, c.scanned = nil, true
	}
}

// scanLines scans lines of a head or a trailer up to the empty line that ends it.
func (c *Conn) scanLines(data []byte) (used int, ended bool) {
	for used < len(data) {
		line := data[used:]
		end := bytes.IndexByte(line, '\n')
		if end < 0 {
			c.addToLine(line)
			return len(data), false
		}
		c.addToLine(line[:end])
		used += end + 1
		c.head.Bytes++
		empty := c.lineBytes == 0 || c.lineEmpty
		c.lineBytes, c.lineEmpty = 0, false
		if empty {
			return used, true
		}
		c.head.Lines++
	}
	return used, false
}

func (c *Conn) addToLine(part []byte) {
	if len(part) == 0 {
		return
	}
	c.lineEmpty = c.lineBytes == 0 && len(part) == 1 && part[0] == '\r'
	c.lineBytes += len(part)
	c.head.Bytes += int64(len(part))
	c.head.Separators += int64(bytes.Count(part, listSeparator))
}

// scanChunk scans the first bytes of data within the chunks of a body and returns how many it has scanned. What it takes
// for malformed net/http refuses.
func (c *Conn) scanChunk(data []byte) int {
	switch c.phase {
	case inChunkSize:
		if digit, ok := hexDigit(data[0]); ok && c.digits < maxChunkDigits {
			c.remaining = c.remaining<<4 | digit
			c.digits++
			return 1
		}
		c.phase = inChunkSizeRest
		return 0
	case inChunkData:
		used := min(int64(len(data)), c.remaining)
		c.remaining -= used
		if c.remaining == 0 {
			c.phase = inChunkEnd
		}
		return int(max(used, 0))
	}
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		return len(data)
	}
	switch {
	case c.phase == inChunkEnd:
		c.phase, c.remaining, c.digits = inChunkSize, 0, 0
	case c.remaining <= 0:
		c.phase = inTrailer
	default:
		c.phase = inChunkData
	}
	return end + 1
}

func hexDigit(b byte) (int64, bool) {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b|0x20 && b|0x20 <= 'f':
		return int64(b|0x20-'a') + 10, true
	}
	return 0, false
}
