package memory_test

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/memory"
)

const (
	costlyHeadBytes = 14_500
	measuredHeads   = 100
)

// heapInUse returns the bytes of live objects.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC() // Empties pools.
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// costlyHead returns a head filled with header lines and their number.
func costlyHead(line func(i int) string) (string, int64) {
	var head strings.Builder
	head.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
	lines := int64(2)
	for i := 0; head.Len() < costlyHeadBytes; i++ {
		head.WriteString(line(i))
		lines++
	}
	head.WriteString("\r\n")
	return head.String(), lines
}

// Guards against an estimate below what net/http and the copy for an attempt take.
func TestHeadCostIsUpperBound(t *testing.T) {
	is := is.New(t)
	kinds := map[string]func(i int) string{
		"one name":    func(int) string { return "q:\r\n" },
		"many names":  func(i int) string { return fmt.Sprintf("q%x:\r\n", i) },
		"odd values":  func(i int) string { return fmt.Sprintf("q%x:\xff\t\xfe\r\n", i) },
		"line feeds":  func(int) string { return "q:\n" },
		"many values": func(i int) string { return fmt.Sprintf("q%x: %s\r\n", i%50, strings.Repeat("v", 20)) },
		"ordinary":    func(i int) string { return fmt.Sprintf("X-Header-%d: %s\r\n", i, strings.Repeat("v", 340)) },
	}
	for kind, line := range kinds {
		head, lines := costlyHead(line)
		var kept []any
		before := heapInUse()
		for range measuredHeads {
			request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
			is.NoErr(err)
			kept = append(kept, request, request.Header.Clone())
		}
		taken := (heapInUse() - before) / measuredHeads
		runtime.KeepAlive(kept)
		cost := memory.Head{Bytes: int64(len(head)), Lines: lines}.Cost()
		t.Logf("%s: %d lines, %d bytes, live %d bytes, estimate %d", kind, lines, len(head), taken, cost)
		is.True(taken <= cost)
	}
}
