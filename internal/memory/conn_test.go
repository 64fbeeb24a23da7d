package memory_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"citronslip/internal/memory"
)

const (
	budgetBytes = 4 << 20
)

type (
	// parts is a connection that returns given parts of data, one a read.
	parts struct {
		net.Conn
		data    [][]byte
		written bytes.Buffer
		closed  chan struct{} // Closed with the connection; optional.
	}
)

func (p *parts) Read(b []byte) (int, error) {
	if len(p.data) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.data[0])
	if p.data[0] = p.data[0][n:]; len(p.data[0]) == 0 {
		p.data = p.data[1:]
	}
	return n, nil
}

func (p *parts) Close() error {
	if p.closed != nil {
		close(p.closed)
	}
	return nil
}

func (p *parts) Write(b []byte) (int, error)      { return p.written.Write(b) }
func (p *parts) SetReadDeadline(time.Time) error  { return nil }
func (p *parts) SetWriteDeadline(time.Time) error { return nil }

// newServer starts a server whose requests a guard admits. It answers with the length of the body.
func newServer(t testing.TB, guard *memory.Guard) *httptest.Server {
	server := httptest.NewUnstartedServer(guard.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "%s %d %d", r.URL.Path, n, len(r.Trailer))
	})))
	server.Listener = guard.Listener(server.Listener)
	server.Config.ConnContext = memory.ConnContext
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

func awaitReleased(t *testing.T, budget *memory.Budget) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); budget.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still reserved", budget.Used())
		}
	}
}

// Guards against a scan that takes a byte of one request for one of another, whatever the framing of the bodies and the
// sizes of the reads: net/http must get what the caller sent, and all memory must be released in the end.
func TestScanFollowsFraming(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		budget := &memory.Budget{Limit: budgetBytes}
		guard := &memory.Guard{Budget: budget}
		conn := &parts{}
		var stream, want strings.Builder
		for i := range rapid.IntRange(1, 5).Draw(rt, "requests") {
			body := rapid.StringN(0, 300, 600).Draw(rt, "body")
			trailers := rapid.IntRange(0, 3).Draw(rt, "trailers")
			fmt.Fprintf(&stream, "POST /%d HTTP/1.1\r\nHost: h\r\n%s", i, strings.Repeat("a:\n", rapid.IntRange(0, 30).Draw(rt, "lines")))
			switch {
			case len(body) > 0 && rapid.Bool().Draw(rt, "chunked"):
				half := len(body) / 2
				fmt.Fprintf(&stream, "Transfer-Encoding: chunked\r\n\r\n")
				for _, chunk := range []string{body[:half], body[half:]} {
					if chunk != "" {
						fmt.Fprintf(&stream, "%X;x=\"1\"\r\n%s\r\n", len(chunk), chunk)
					}
				}
				fmt.Fprintf(&stream, "0\r\n%s\r\n", strings.Repeat("t: 1\r\n", trailers))
			default:
				fmt.Fprintf(&stream, "Content-Length: %d\r\n\r\n%s", len(body), body)
			}
			fmt.Fprintf(&want, "/%d %d\n", i, len(body))
		}
		rest := []byte(stream.String())
		for len(rest) > 0 {
			n := rapid.IntRange(1, min(len(rest), 700)).Draw(rt, "part")
			conn.data = append(conn.data, rest[:n])
			rest = rest[n:]
		}
		guarded := guard.Admit(conn)
		reader := bufio.NewReader(guarded)
		var got strings.Builder
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				is.Equal(err, io.EOF) // Every request is read to its end.
				break
			}
			is.Equal(reader.Buffered(), 0) // No byte after the head was passed on.
			guarded.Begin(request)
			n, err := io.Copy(io.Discard, request.Body)
			is.NoErr(err)
			is.Equal(reader.Buffered(), 0)
			guarded.End()
			fmt.Fprintf(&got, "%s %d\n", request.URL.Path, n)
		}
		is.Equal(got.String(), want.String())
		is.NoErr(guarded.Close())
		is.Equal(budget.Used(), int64(0))
	})
}

// Guards against the loss of pipelined requests, whose first byte net/http reads while the one before is served.
func TestPipelinedRequestsAreServed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	budget := &memory.Budget{Limit: budgetBytes}
	server := newServer(t, &memory.Guard{Budget: budget})
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nPOST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nabGET /3 HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	for _, want := range []string{"/1 0 0", "/2 2 0", "/3 0 0"} {
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(body), want)
	}
	is.NoErr(conn.Close())
	awaitReleased(t, budget)
}

// Guards against heads that are decoded although they do not fit. One that can never fit gets another status.
func TestHeadThatDoesNotFitIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	budget := &memory.Budget{Limit: budgetBytes}
	server := newServer(t, &memory.Guard{Budget: budget})
	ask := func(lines int) int {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", lines)+"\r\n")
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		return response.StatusCode
	}
	is.Equal(ask(3000), http.StatusOK)
	awaitReleased(t, budget)
	is.Equal(ask(budgetBytes/400), http.StatusRequestHeaderFieldsTooLarge)
	awaitReleased(t, budget)
	is.True(budget.Reserve(budgetBytes - 200<<10))
	is.Equal(ask(3000), http.StatusServiceUnavailable)
	is.Equal(ask(10), http.StatusOK)
}

// Guards against the end of requests in progress in place of idle connections, and against connections beyond the limit.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	guard := &memory.Guard{Budget: &memory.Budget{}, MaxConns: 2}
	first, begun, third := &parts{data: [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n")}}, &parts{data: [][]byte{[]byte("G")}}, &parts{}
	busy := guard.Admit(first)
	request, err := http.ReadRequest(bufio.NewReader(busy))
	is.NoErr(err)
	busy.Begin(request)
	_, err = guard.Admit(begun).Read(make([]byte, 10))
	is.NoErr(err)
	idle := guard.Admit(third) // Takes the place of the one whose head is incomplete.
	is.True(idle != nil)
	is.Equal(guard.Open(), 2)
	idle.Begin(request)
	refused := &parts{data: [][]byte{[]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")}, closed: make(chan struct{})}
	is.True(guard.Admit(refused) == nil) // Both have a request in progress.
	<-refused.closed
	is.True(strings.HasPrefix(refused.written.String(), "HTTP/1.1 503 "))
	is.True(strings.Contains(refused.written.String(), "Retry-After: 1\r\n"))
	busy.End()
	is.True(guard.Admit(&parts{}) != nil)
	is.Equal(guard.Open(), 2)
}

// Guards against connections that announce a body, send none of it and keep their places.
func TestStalledBodyMakesRoom(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		guard := &memory.Guard{Budget: &memory.Budget{}, MaxConns: 1}
		conn := guard.Admit(&parts{data: [][]byte{[]byte("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n"), []byte("abcde")}})
		reader := bufio.NewReader(conn)
		request, err := http.ReadRequest(reader)
		is.NoErr(err)
		conn.Begin(request)
		is.True(guard.Admit(&parts{}) == nil) // The body may follow at once.
		_, err = io.Copy(io.Discard, request.Body)
		is.NoErr(err)
		time.Sleep(time.Minute)
		is.True(guard.Admit(&parts{}) == nil) // The body is complete.
		conn.End()
		conn = guard.Admit(&parts{data: [][]byte{[]byte("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n")}})
		request, err = http.ReadRequest(bufio.NewReader(conn))
		is.NoErr(err)
		conn.Begin(request)
		time.Sleep(time.Minute)
		is.True(guard.Admit(&parts{}) != nil)
	})
}

// Guards against connections over HTTP/2 that are taken for HTTP/1.1, and against a head that only begins like theirs and
// so is not counted.
func TestOnlyHTTP2IsNotScanned(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	budget := &memory.Budget{Limit: budgetBytes}
	guard := &memory.Guard{Budget: budget}
	frames := strings.Repeat("\n:", 2<<20)
	conn := guard.Admit(&parts{data: [][]byte{[]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), []byte(frames)}})
	data, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(len(data), len(frames)+24)
	is.NoErr(conn.Close())
	is.Equal(budget.Used(), int64(0))
	conn = guard.Admit(&parts{data: [][]byte{[]byte("PRI * HTTP/2.0\r\n"), []byte(frames)}})
	data, err = io.ReadAll(conn)
	is.NoErr(err)
	is.True(len(data) < 1<<20) // The rest did not fit into the budget.
}

// Guards against bodies that are never complete and keep the memory from others.
func TestStalledBodyGivesMemoryBack(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		budget := &memory.Budget{Limit: budgetBytes}
		closed := make(chan struct{})
		conn := (&memory.Guard{Budget: budget}).Admit(&parts{data: [][]byte{[]byte("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n")}, closed: closed})
		request, err := http.ReadRequest(bufio.NewReader(conn))
		is.NoErr(err)
		conn.Begin(request)
		is.True(!budget.Reserve(budgetBytes))
		time.Sleep(time.Minute)
		select {
		case <-closed:
			t.Fatal("closed before it had stalled")
		default:
		}
		is.True(!budget.Reserve(budgetBytes))
		<-closed
	})
}

// Guards against heads over HTTP/2, which are not scanned, that are not counted at all.
func TestHTTP2HeadsAreCounted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	budget := &memory.Budget{Limit: budgetBytes}
	server := newServer(t, &memory.Guard{Budget: budget})
	transport := &http.Transport{Protocols: &http.Protocols{}}
	transport.Protocols.SetUnencryptedHTTP2(true)
	ask := func() int {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, http.NoBody)
		is.NoErr(err)
		request.Header["A"] = make([]string, 1000)
		response, err := (&http.Client{Transport: transport}).Do(request)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		return response.StatusCode
	}
	is.Equal(ask(), http.StatusOK)
	others := int64(0)
	for ; budget.Used() < budgetBytes-200<<10; others++ {
		is.True(budget.Reserve(100 << 10))
	}
	is.Equal(ask(), http.StatusServiceUnavailable)
	for range others {
		budget.Release(100 << 10)
	}
	is.Equal(ask(), http.StatusOK)
	transport.CloseIdleConnections()
	awaitReleased(t, budget)
}

// BenchmarkScan measures what the scan adds to a request with 40 header lines.
func BenchmarkScan(b *testing.B) {
	var head strings.Builder
	head.WriteString("GET /path HTTP/1.1\r\nHost: h\r\n")
	for i := range 40 {
		fmt.Fprintf(&head, "X-Header-%d: some value of forty bytes, more or less\r\n", i)
	}
	head.WriteString("\r\n")
	for _, guarded := range []bool{false, true} {
		b.Run(fmt.Sprintf("guarded=%t", guarded), func(b *testing.B) {
			b.ReportAllocs()
			raw := &parts{}
			conn := (&memory.Guard{Budget: &memory.Budget{Limit: 1 << 30}}).Admit(raw)
			var source net.Conn = raw
			if guarded {
				source = conn
			}
			reader := bufio.NewReader(source)
			data := []byte(head.String())
			for b.Loop() {
				raw.data = append(raw.data[:0], data)
				request, err := http.ReadRequest(reader)
				if err != nil {
					b.Fatal(err)
				}
				if guarded {
					conn.Begin(request)
					conn.End()
				}
			}
		})
	}
}
