package proxy_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/proxy"
)

// leftoverTransport gives the first request a closed connection and the response that is left in its buffer, as net/http
// does if it reads the buffer before it notices the close. Later requests get a new connection.
type leftoverTransport struct {
	t        *testing.T
	requests int
	bodies   []string
}

// RoundTrip implements http.RoundTripper.
func (l *leftoverTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	near, far := net.Pipe()
	l.t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	l.requests++
	text := "answer"
	if l.requests == 1 {
		_ = near.Close()
		text = "leftover"
	}
	httptrace.ContextClientTrace(request.Context()).GotConn(httptrace.GotConnInfo{Conn: near})
	if l.requests > 1 {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return nil, err
		}
		l.bodies = append(l.bodies, string(body))
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text))}, nil
}

// Guards against a response that an earlier request left on a connection, which was closed before the request got it, being
// taken for that of the request, of which nothing was sent.
func TestResponseOnClosedConnectionIsNotThatOfTheRequest(t *testing.T) {
	is := is.New(t)
	direct := &leftoverTransport{t: t}
	transport := &proxy.Transport{Direct: direct, Paths: &proxy.Paths{}}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://127.0.0.1:1/", nil)
	is.NoErr(err)
	request.Body = proxy.NewBody([]byte("body"))
	response, err := transport.RoundTrip(request)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), "answer")
	is.Equal(direct.bodies, []string{"body"})
}
