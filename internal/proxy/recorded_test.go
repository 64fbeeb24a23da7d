package proxy_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/proxy"
)

// recordedExchanges returns the recorded request and response of each case.
func recordedExchanges(t *testing.T) map[string][2]string {
	t.Helper()
	data, err := os.ReadFile(recordedFile)
	if err != nil {
		t.Fatal(err)
	}
	exchanges := make(map[string][2]string)
	for line := range strings.Lines(string(data)) {
		fields := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
		var exchange [2]string
		for i := range exchange {
			if exchange[i], err = strconv.Unquote(fields[i+1]); err != nil {
				t.Fatal(err)
			}
		}
		exchanges[fields[0]] = exchange
	}
	return exchanges
}

// respond sends a recorded response to a request on a new connection. The names of the headers of the request are sent to the
// channel.
func respond(listener net.Listener, response string, names chan<- []string) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
		names <- slices.Sorted(maps.Keys(request.Header))
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, response) // The test fails if it does not arrive.
	}
}

// replay returns the response and the error that this release decodes from a response of another router.
func replay(t *testing.T, recorded string) (*http.Response, []byte, error) {
	t.Helper()
	return replayTo(t, recorded, make(chan []string, 1))
}

func replayTo(t *testing.T, recorded string, names chan<- []string) (*http.Response, []byte, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go respond(listener, recorded, names)
	c := newChain(t, nil)
	routers := proxy.NewRouterTransport(func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, listener.Addr().String())
	})
	t.Cleanup(routers.CloseIdleConnections)
	c.transport.Routers = routers
	ctx := proxy.WithCall(t.Context(), proxy.Call{Request: "request-1", Permit: true})
	return c.fetch(c.request(ctx, http.MethodPost, "/path", "id-1", []byte("body")))
}

// Guards against a header of a later release in a request to another router: one of an earlier release would send it on to the
// backend server.
func TestRequestsHaveNoHeadersUnknownToEarlierRelease(t *testing.T) {
	is := is.New(t)
	names, exchange := make(chan []string, 1), recordedExchanges(t)["answered"]
	_, _, err := replayTo(t, exchange[1], names)
	is.NoErr(err)
	recorded, err := http.ReadRequest(bufio.NewReader(strings.NewReader(exchange[0])))
	is.NoErr(err)
	is.Equal(<-names, slices.Sorted(maps.Keys(recorded.Header)))
}

// Guards against a request of an earlier release for another router that is not understood, or is sent with headers of its own.
func TestRecordedRequestsAreUnderstood(t *testing.T) {
	is := is.New(t)
	c := newChain(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // The test compares the body.
		for name := range r.Header {
			if strings.HasPrefix(name, "Citronslip-") {
				t.Errorf("header %s reached the server", name)
			}
		}
		_, _ = io.WriteString(w, r.Method+" "+r.Host+r.URL.String()+" "+r.Header.Get("Id")+" "+string(body))
	})
	permitted := false
	c.admit = func(_ context.Context, _ string, permit bool) (proxy.Admission, error) {
		permitted = permit
		return chainAdmission{c}, nil
	}
	conn, err := net.Dial("tcp", c.middle.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	request := recordedExchanges(t)["answered"][0]
	_, err = io.WriteString(conn, strings.ReplaceAll(request, "SERVER", c.server.Listener.Addr().String()))
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), "POST h.example/path?q=1 id-1 body")
	is.True(permitted)
}

// Guards against a response of another router of an earlier release that is taken for another outcome: a request that was not
// sent may be repeated, one that was lost may have run.
func TestRecordedResponsesAreUnderstood(t *testing.T) {
	for name, exchange := range recordedExchanges(t) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			response, body, err := replay(t, exchange[1])
			var lost *proxy.LostError
			var refused *proxy.RefusedError
			switch name {
			case "answered", "unframed":
				is.NoErr(err)
				is.Equal(string(body), "answer")
				is.Equal(len(response.TransferEncoding), 0) // An unframed response ends with its connection, as the server's.
			case "lost", "reset":
				is.True(errors.As(err, &lost))
				is.Equal(lost.Reset, name == "reset")
				is.True(!errors.Is(err, proxy.ErrNotSent))
			case "unsent":
				is.True(errors.Is(err, proxy.ErrNotSent))
			case "refused":
				is.True(errors.As(err, &refused))
				is.Equal(refused.After, refusedAfter)
			default:
				t.Fatalf("unknown case %s", name)
			}
		})
	}
}

// Guards against an outcome or a header of a later release that makes a request count as not sent, as it may have run then, or
// that ends with something else than an error.
func TestUnknownOutcomeCountsAsLost(t *testing.T) {
	recorded := recordedExchanges(t)["unsent"][1]
	for _, change := range []string{"Citronslip-Outcome: future", "Citronslip-Future: 1", "Citronslip-Outcome: unsent2\r\nCitronslip-Withheld: 1"} {
		is := is.New(t)
		_, _, err := replay(t, strings.Replace(recorded, "Citronslip-Outcome: unsent", change, 1))
		var lost *proxy.LostError
		is.True(errors.As(err, &lost))
		is.True(!errors.Is(err, proxy.ErrNotSent))
	}
}

// Guards against a refusal with a header that an earlier release does not know, and that it does not take for a refusal: it reads
// the headers that it recorded.
func TestWithheldRequestIsRefusedForEarlierRelease(t *testing.T) {
	is := is.New(t)
	c := newChain(t, nil)
	c.admit = func(context.Context, string, bool) (proxy.Admission, error) { return nil, proxy.ErrWithheld }
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, c.middle.URL, http.NoBody)
	is.NoErr(err)
	request.Header.Set("Citronslip-Address", c.server.Listener.Addr().String())
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	known := recordedExchanges(t)["refused"][1]
	is.True(strings.Contains(known, "Citronslip-Outcome: "+response.Header.Get("Citronslip-Outcome")+"\r\n"))
	is.Equal(response.Header.Get("Citronslip-After"), "1000")
	names := []string{"Citronslip-Outcome", "Citronslip-After", "Citronslip-Withheld", "Content-Length", "Date"}
	for name := range response.Header {
		is.True(slices.Contains(names, name))
	}
}
