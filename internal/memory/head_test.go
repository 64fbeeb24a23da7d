package memory_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"citronslip/internal/memory"
)

const (
	// maxDrawnHeadBytes is the size up to which heads are filled.
	maxDrawnHeadBytes = 16_000
	// keptHeads is how many copies of a head are kept to measure what one takes.
	keptHeads = 8
	// nameCharacters are those that may stand in the name of a header line.
	nameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_|~"
)

var (
	// listNames are names of header lines whose values net/http, or the router, takes for lists.
	listNames = []string{"Trailer", "trailer", "Connection", "Te", "Transfer-Encoding", "Expect", "Cookie", "Pragma", "X-Citronslip-Prompt-Prefix"}
	separator = rapid.SampledFrom([]string{",", ", ", ",\t", ",,", ";", "; ", " "})
	lineEnd   = rapid.SampledFrom([]string{"\r\n", "\n", "\r\n ", "\n\t"}) // Two of them fold the line.
)

type (
	// headConn is a connection from which a head is read.
	headConn struct {
		net.Conn
		head *strings.Reader
	}

	// headShape tells how the lines of a head are drawn.
	headShape struct {
		names     int // Number of different names, and of different entries of lists.
		nameBytes int
		entries   int // Entries of a value that is a list.
		separator string
		end       string
		value     string
		list      string // Name of each line; empty for drawn names.
	}
)

func (c *headConn) Read(p []byte) (int, error) { return c.head.Read(p) }

// word returns the name or entry with a number.
func (s headShape) word(i int) string {
	i %= s.names
	text := []byte{'q'}
	for ; i > 0 || len(text) < s.nameBytes; i /= len(nameCharacters) {
		text = append(text, nameCharacters[i%len(nameCharacters)])
	}
	return string(text)
}

// line returns the header line with a number, of at most the given number of bytes.
func (s headShape) line(i, room int) string {
	name := s.list
	if name == "" {
		name = s.word(i)
	}
	var line strings.Builder
	line.WriteString(name + ":" + s.value)
	for n := range s.entries {
		entry := s.word(i*s.entries+n) + s.separator
		if line.Len()+len(entry)+len("\r\n") > room {
			break
		}
		line.WriteString(entry)
	}
	text := strings.TrimRight(line.String(), " \t")
	if strings.TrimRight(s.end, " \t") == s.end {
		return text + s.end
	}
	return text + s.end + "x\r\n"
}

// drawShape draws the shape of a group of lines.
func drawShape(t *rapid.T) headShape {
	shape := headShape{
		names:     rapid.SampledFrom([]int{1, 2, 50, 2000, 100_000}).Draw(t, "names"),
		nameBytes: rapid.SampledFrom([]int{1, 1, 2, 8, 40, 3000}).Draw(t, "name bytes"),
		entries:   rapid.SampledFrom([]int{0, 0, 1, 7, 100, 100_000}).Draw(t, "entries"),
		separator: separator.Draw(t, "separator"),
		end:       lineEnd.Draw(t, "end"),
		value:     rapid.SampledFrom([]string{"", " ", "v", "\xff\t\xfe", "8:1,"}).Draw(t, "value"),
	}
	if rapid.Bool().Draw(t, "list") {
		shape.list = rapid.SampledFrom(listNames).Draw(t, "name")
	}
	return shape
}

// drawHead draws a head of up to maxDrawnHeadBytes.
func drawHead(t *rapid.T) string {
	var head strings.Builder
	target := rapid.SampledFrom([]string{"/", "/%41", "/?", "/?a=b&", "/a/../", "http://h/%2f"}).Draw(t, "target")
	head.WriteString("POST " + target)
	head.WriteString(strings.Repeat("%41", rapid.SampledFrom([]int{0, 0, 0, 2000}).Draw(t, "escapes")))
	head.WriteString(" HTTP/1.1\r\nHost: h\r\n")
	if rapid.Bool().Draw(t, "chunked") {
		head.WriteString("Transfer-Encoding: chunked\r\n")
	}
	for range rapid.IntRange(1, 4).Draw(t, "groups") {
		shape := drawShape(t)
		lines := rapid.SampledFrom([]int{1, 10, 100_000}).Draw(t, "lines")
		for i := range lines {
			room := maxDrawnHeadBytes - head.Len()
			line := shape.line(i, room)
			if len(line) > room {
				break
			}
			head.WriteString(line)
		}
	}
	return head.String() + "\r\n"
}

// decode reads a head as the server does, and makes the copy for an attempt. It returns what was kept and reserved.
func decode(head string) (kept any, reserved int64, err error) {
	guard := &memory.Guard{Name: "test", Budget: &memory.Budget{}}
	conn := guard.Admit(&headConn{head: strings.NewReader(head)})
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return nil, 0, err
	}
	return []any{conn, request, request.Header.Clone()}, guard.Budget.Used(), nil
}

// Guards against heads that take more memory than the guard reserves for them, once decoded or while they are decoded: a
// crowd with one of them would exceed the memory of the machine.
func TestReservedMemoryCoversAnyHead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		head := drawHead(t)
		if _, _, err := decode(head); err != nil {
			return // net/http refuses it.
		}
		kept := make([]any, keptHeads)
		before := heapInUse()
		var start, end runtime.MemStats
		runtime.ReadMemStats(&start)
		var reserved int64
		for i := range kept {
			kept[i], reserved, _ = decode(head)
		}
		runtime.ReadMemStats(&end)
		live := (heapInUse() - before) / keptHeads
		allocated := int64(end.TotalAlloc-start.TotalAlloc) / keptHeads
		runtime.KeepAlive(kept)
		description := fmt.Sprintf("%d bytes beginning %.300q", len(head), head)
		if live > reserved {
			t.Fatalf("%s: %d bytes live, %d reserved", description, live, reserved)
		}
		if allocated > reserved {
			t.Fatalf("%s: %d bytes allocated while decoding, %d reserved", description, allocated, reserved)
		}
	})
}
