package proxy_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/proxy"
)

// pipeListener accepts connections within the process, whose time limits are those of a bubble.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	conn, other := net.Pipe()
	l.conns <- other
	return conn, nil
}

// Guards against the time limit of the last write to a router that ends the next response on the connection.
func TestSlowResponseOnAKeptConnection(t *testing.T) {
	for name, text := range map[string]string{"stream": "event", "empty": ""} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 2, 1)
				f.set(cutOff(0, refusing))
				f.routers[1].respond = func() (io.Reader, error) { return strings.NewReader("event"), nil }
				listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				server := &http.Server{Handler: f.routers[1].handler}
				go func() { _ = server.Serve(listener) }() // Returns after Close.
				routers := proxy.NewRouterTransport(listener.dial)
				defer func() {
					routers.CloseIdleConnections()
					_ = server.Close()
				}()
				f.routers[0].transport.Routers = routers
				is.NoErr(f.routers[0].send(0))
				time.Sleep(9 * time.Second)
				f.routers[1].handler.Direct = slowLink{text}
				request, err := http.NewRequest(http.MethodPost, "http://server-0/a", proxy.NewBody([]byte("x")))
				is.NoErr(err)
				response, err := f.routers[0].transport.RoundTrip(request)
				is.NoErr(err)
				body, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				is.Equal(string(body), text)
			})
		})
	}
}

// slowLink answers after some seconds.
type slowLink struct{ text string }

func (l slowLink) RoundTrip(request *http.Request) (*http.Response, error) {
	time.Sleep(3 * time.Second)
	length := int64(len(l.text))
	if length > 0 {
		length = -1
	}
	return &http.Response{
		StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{},
		Body: io.NopCloser(strings.NewReader(l.text)), ContentLength: length, TransferEncoding: []string{"chunked"}, Request: request,
	}, nil
}
