package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/load"
)

// startServer starts a server that responds by budget header and path. Every response has a unique request ID, except
// that of /same.
func startServer(t *testing.T) string {
	var responseCount atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Citronslip-Request", fmt.Sprint(responseCount.Add(1)))
		var body struct{ Stream bool }
		json.NewDecoder(r.Body).Decode(&body)
		if body.Stream {
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "data: {\"choices\":[]}\n\ndata: {\"choices\":[]}\n\n")
			w.(http.Flusher).Flush()
		}
		switch r.Header.Get("Citronslip-Budget") + r.URL.Path {
		case "broken/v1/chat/completions":
			panic(http.ErrAbortHandler)
		case "ended/v1/chat/completions":
		case "error/v1/chat/completions":
			fmt.Fprint(w, "event: error\ndata: {\"code\":\"server\",\"message\":\"m\",\"run\":\"unknown\"}\n\n")
		case "more/v1/chat/completions":
			fmt.Fprint(w, "data: [DONE]\n\ndata: {}\n\n")
		case "/v1/chat/completions":
			fmt.Fprint(w, "data: [DONE]\n\n")
		case "/same":
			w.Header().Set("Citronslip-Request", "same")
		case "/refused":
			w.WriteHeader(http.StatusTooManyRequests)
			fmt.Fprint(w, `{"code":"budget","message":"m","run":"no"}`)
		case "/moved":
			http.Redirect(w, r, "http://192.0.2.1/", http.StatusTemporaryRedirect)
		case "/lost":
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func run(t *testing.T, g *load.Generator) *load.Result {
	t.Helper()
	g.Rate, g.Time, g.Timeout = 5000, time.Minute, 20*time.Second
	r, err := g.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against an outcome that is counted as another one. The figures in expected are the counts of answered,
// unanswered, truncated, duplicated and refused requests.
func TestOutcomesAreDistinguished(t *testing.T) {
	streamed := func(budget string) load.RequestKind {
		return load.RequestKind{Name: "c", Model: "m", Stream: true, Budget: budget}
	}
	plain := func(path string) load.RequestKind { return load.RequestKind{Name: "c", Path: path} }
	cases := []struct {
		call     load.RequestKind
		expected string
	}{
		{streamed(""), "20 0 0 0 map[]"},
		{streamed("broken"), "0 0 20 0 map[]"},
		{streamed("ended"), "0 0 20 0 map[]"},
		{streamed("error"), "0 0 0 0 map[server:map[unknown:20]]"},
		{streamed("more"), "20 0 0 20 map[]"},
		{plain("/plain"), "20 0 0 0 map[]"},
		{plain("/same"), "20 0 0 19 map[]"},
		{plain("/refused"), "0 0 0 0 map[budget:map[no:20]]"},
		{plain("/moved"), "0 0 0 0 map[none:map[none:20]]"},
		{plain("/lost"), "0 20 0 0 map[]"},
	}
	target := startServer(t)
	for _, c := range cases {
		is := is.New(t)
		r := run(t, &load.Generator{Target: target, Mix: []load.RequestKind{c.call}, Count: 20})
		counts := r.Total
		is.Equal(fmt.Sprint(counts.Answered, counts.Unanswered, counts.Truncated, counts.Duplicated, counts.Refused), c.expected)
		is.Equal(counts.Sent, 20)
		if c.call.Stream {
			is.Equal(counts.FirstToken.Count, int64(20))
			is.Equal(counts.TokenGap.Count, int64(20))
		}
	}
}

// Guards against coordinated omission: the latency of a request that could not start because all slots were taken
// during a stall must include the time it waited.
func TestLatencyCountsFromIntendedStart(t *testing.T) {
	is := is.New(t)
	const stall = 300 * time.Millisecond
	var once atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if once.CompareAndSwap(false, true) {
			<-time.After(stall)
		}
	}))
	defer server.Close()
	g := &load.Generator{Target: server.URL, Mix: []load.RequestKind{{Name: "c", Path: "/"}}, Count: 100, Open: 1}
	g.Rate, g.Time = 1000, time.Minute
	r, err := g.Run(t.Context())
	is.NoErr(err)
	is.Equal(r.Total.Answered, 100)
	is.True(r.Total.Latency.P50 > 100) // Measured from the actual start, only one request would be slow.
	is.True(r.MaxLagMs > 100)
}

// Guards against runs against remote targets that were not allowed, and against unbounded runs.
func TestInvalidSettingsAreRejected(t *testing.T) {
	is := is.New(t)
	valid := load.Generator{Target: "http://127.0.0.1:1", Rate: 1, Time: time.Second, Count: 1, Mix: []load.RequestKind{{Name: "c", Path: "/"}}}
	for _, invalidate := range []func(*load.Generator){
		func(g *load.Generator) { g.Target = "http://192.0.2.1:80" },
		func(g *load.Generator) { g.Target = "127.0.0.1:80" },
		func(g *load.Generator) { g.Rate = 0 },
		func(g *load.Generator) { g.Count = 0 },
		func(g *load.Generator) { g.Count = load.MaxRequests + 1 },
		func(g *load.Generator) { g.Time = 0 },
		func(g *load.Generator) { g.Mix = nil },
		func(g *load.Generator) { g.Mix = []load.RequestKind{{Name: "c"}} },
	} {
		g := valid
		invalidate(&g)
		_, err := g.Run(t.Context())
		is.True(errors.Is(err, load.ErrInvalidSettings))
	}
}

// Guards against a run that does not end when its context is cancelled, or that counts the interrupted requests as
// unanswered.
func TestInterruptedRequestsAreNotLost(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{}, 10)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	g := &load.Generator{Target: server.URL, Rate: 1000, Time: time.Minute, Count: 5, Mix: []load.RequestKind{{Name: "c", Path: "/"}}}
	r, err := g.Run(ctx)
	is.NoErr(err)
	is.Equal(r.Total.Unanswered, 0)
	is.Equal(r.Total.Interrupted, r.Total.Sent)
}

// Guards against a comparison that drops a metric of either run.
func TestCompareKeepsMetricsOfBothRuns(t *testing.T) {
	is := is.New(t)
	target := startServer(t)
	earlier := run(t, &load.Generator{Target: target, Mix: []load.RequestKind{{Name: "c", Path: "/refused"}}, Count: 3})
	current := run(t, &load.Generator{Target: target, Mix: []load.RequestKind{{Name: "c", Path: "/plain"}}, Count: 4})
	var out bytes.Buffer
	is.NoErr(current.Print(&out, earlier))
	is.True(strings.Contains(out.String(), "refused budget run no"))
	rows := load.Compare(earlier, current)
	is.Equal(rows[0], load.MetricComparison{Name: "sent", Old: 3, New: 4})
}
