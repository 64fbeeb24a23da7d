package caller_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"citronslip/internal/caller"
	"citronslip/internal/engine"
)

const (
	streamChunk = "data: {\"id\":\"chatcmpl-1\",\"object\":\"chat.completion.chunk\",\"model\":\"planner\"," +
		"\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"},\"finish_reason\":null}]}\n\n"
	streamEnd = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":2}}\n\ndata: [DONE]\n\n"
)

type (
	// streamTransport answers each request with a stream of the given number of events, without an allocation for each
	// event.
	streamTransport struct{ events int }

	// streamBody is the body of such an answer; each read returns one event.
	streamBody struct {
		remaining int
		tail      io.Reader
	}

	// countingWriter is a response writer that counts bytes and flushes and discards the data.
	countingWriter struct {
		header  http.Header
		bytes   int
		flushes int
	}
)

func (t *streamTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body := &streamBody{remaining: t.events, tail: bytes.NewReader([]byte(streamEnd))}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: body, Request: r}, nil
}

func (b *streamBody) Read(data []byte) (int, error) {
	if b.remaining == 0 {
		return b.tail.Read(data)
	}
	if len(data) < len(streamChunk) {
		return 0, nil // The reader makes room in its buffer and reads again.
	}
	b.remaining--
	return copy(data, streamChunk), nil
}

func (b *streamBody) Close() error { return nil }

func (w *countingWriter) Header() http.Header { return w.header }
func (w *countingWriter) WriteHeader(int)     {}
func (w *countingWriter) FlushError() error   { w.flushes++; return nil }

func (w *countingWriter) Write(data []byte) (int, error) {
	w.bytes += len(data)
	return len(data), nil
}

// newStreamer returns a function that sends a stream of count events through a front end, without the network.
func newStreamer(tb testing.TB) func(count int) *countingWriter {
	f := &testFrontend{}
	transport := &streamTransport{}
	f.build(tb, testInventory(), &engine.Client{HTTP: &http.Client{Transport: transport}})
	handler := f.front.Handler()
	return func(count int) *countingWriter {
		transport.events = count
		out := &countingWriter{header: http.Header{}}
		handler.ServeHTTP(out, newChatRequest(tb.Context(), chatBody("a b c")))
		if out.flushes != count+1 {
			tb.Fatalf("%d flushes of %d events", out.flushes, count+1)
		}
		return out
	}
}

// Guards against allocations for each event, whose number would grow with the length of a stream.
func TestStreamEventsDoNotAllocate(t *testing.T) {
	stream := newStreamer(t)
	short := testing.AllocsPerRun(5, func() { stream(1000) })
	long := testing.AllocsPerRun(5, func() { stream(50_000) })
	if perEvent := (long - short) / 49_000; perEvent > 0.001 {
		t.Errorf("%.4f allocations for an event: %.0f for 1,000 events, %.0f for 50,000", perEvent, short, long)
	}
}

// BenchmarkStreamEvent measures the router's share of the cost of forwarding one event.
func BenchmarkStreamEvent(b *testing.B) {
	stream := newStreamer(b)
	b.ReportAllocs()
	b.ResetTimer()
	stream(b.N)
}

// BenchmarkParseChat measures parsing and encoding of a request with 20 messages.
func BenchmarkParseChat(b *testing.B) {
	messages := strings.Repeat(`{"role":"user","content":"`+strings.Repeat("word ", 40)+`"},`, 20)
	body := []byte(`{"model":"planner","stream":true,"max_tokens":64,"messages":[` + strings.TrimSuffix(messages, ",") + `]}`)
	b.ReportAllocs()
	for b.Loop() {
		chat, err := caller.ParseChat(body)
		if err != nil {
			b.Fatal(err)
		}
		chat.Encode(64, 0)
	}
}
