package memory

import (
	"net/http"
	"strings"
)

const (
	// requestBytes is the memory of a request in progress beyond its headers: stacks of its goroutines, the connection to the
	// backend server and copy buffers.
	requestBytes = 48 << 10
	// headByteFactor is how many copies of the bytes of a head are there while it is served.
	headByteFactor = 4
	// headLineBytes is what a header line takes beyond its bytes: an entry of net/http's map, which has up to twice the
	// room while it grows, one of the copy for an attempt, and one of the list that net/http sorts when it sends them.
	headLineBytes = 400
	// listEntryBytes is what an entry of a list in a value takes. net/http splits the header Trailer into a map with all its
	// names; a name of a single byte is an entry of that map.
	listEntryBytes = 240
)

type (
	// Head is the size of the head of a request, or of a trailer.
	Head struct {
		Bytes      int64
		Lines      int64
		Separators int64 // Commas, which separate the entries of lists.
	}
)

// Cost returns an upper estimate of the memory in bytes of a request with such a head until its end, without its body.
// docs/design/memory-limits.md has the measurements.
func (h Head) Cost() int64 { return requestBytes + h.decodedBytes() }

// decodedBytes returns an upper estimate of the memory of the decoded lines.
func (h Head) decodedBytes() int64 {
	return h.Bytes*headByteFactor + h.Lines*headLineBytes + h.Separators*listEntryBytes
}

// decodedHead returns the size of a head that was not scanned.
func decodedHead(r *http.Request) Head {
	head := Head{Bytes: int64(len(r.RequestURI)), Lines: 1, Separators: int64(len(r.Trailer))}
	for name, values := range r.Header {
		for _, value := range values {
			head.Bytes += int64(len(name) + len(value))
			head.Lines++
			head.Separators += int64(strings.Count(value, string(listSeparator)))
		}
	}
	for name := range r.Trailer {
		head.Bytes += int64(len(name))
	}
	return head
}
