package peer_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"citronslip/internal/certificate"
	"citronslip/internal/peer"
	"citronslip/internal/wire"
)

const fleetName = "spiffe://citronslip.example/router"

// newAuthority creates a certificate authority in a temporary directory.
func newAuthority(t testing.TB) *certificate.Authority {
	a := &certificate.Authority{Directory: t.TempDir()}
	if err := a.Create(); err != nil {
		t.Fatal(err)
	}
	return a
}

// lineWriter is a writer that sends each log line to a channel.
type lineWriter chan string

func (l lineWriter) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

// issueTLS issues a certificate with the identity and returns the TLS settings of a router that uses it.
func issueTLS(t testing.TB, a *certificate.Authority, name, identity string, validity time.Duration) *peer.TLS {
	files, err := a.Issue(name, identity, validity)
	if err != nil {
		t.Fatal(err)
	}
	return &peer.TLS{Authority: files.Authority, Certificate: files.Certificate, Key: files.Key, Name: fleetName}
}

// startServer runs a server until the end of the test and returns its address.
func startServer(t testing.TB, s *peer.Server) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.Listener = listener
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// echoState answers each query with the requested identity and the state running.
func echoState(_ context.Context, q wire.RequestQuery) (wire.RequestState, error) {
	return wire.RequestState{Request: q.Request, State: wire.RequestStateStateRunning}, nil
}

func ExampleClient() {
	listener, _ := net.Listen("tcp", "127.0.0.1:0")
	ctx, cancel := context.WithCancel(context.Background())
	server := &peer.Server{Listener: listener, Methods: &peer.Methods{State: echoState}}
	done := make(chan error)
	go func() { done <- server.Run(ctx) }()
	client := &peer.Client{}
	state, err := client.GetRequestState(ctx, listener.Addr().String(), wire.RequestQuery{Request: "a-1"})
	fmt.Println(state.Request, state.State, err)
	cancel()
	<-done
	// Output: a-1 running <nil>
}

// Guards against a warning about invalid messages when another router stops or a connection is reset.
func TestClosedConnectionIsNotLoggedAsInvalidMessage(t *testing.T) {
	is := is.New(t)
	lines := make(lineWriter, 16)
	logger := zerolog.New(lines)
	address := startServer(t, &peer.Server{Logger: &logger, Methods: &peer.Methods{State: echoState}})
	<-lines // The event that the listener is open.
	var raw net.Conn
	client := &peer.Client{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		var err error
		raw, err = (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return raw, err
	}}
	_, err := client.GetRequestState(t.Context(), address, wire.RequestQuery{Request: "a-1"})
	is.NoErr(err)
	is.NoErr(raw.(*net.TCPConn).SetLinger(0))
	is.NoErr(raw.Close())
	is.True(strings.Contains(<-lines, `"event":505`))
}

// Guards against calls between a router of the fleet and one whose certificate does not belong to the fleet, in either
// direction.
func TestOnlyFleetCertificatesAreAccepted(t *testing.T) {
	own, other := newAuthority(t), newAuthority(t)
	good := issueTLS(t, own, "good", fleetName, 0)
	cases := map[string]*peer.TLS{
		"wrong authority": issueTLS(t, other, "foreign", fleetName, 0),
		"wrong name":      issueTLS(t, own, "named", "spiffe://citronslip.example/backend", 0),
		"expired":         issueTLS(t, own, "old", fleetName, -time.Hour),
	}
	cases["wrong authority"].Authority = good.Authority
	var called atomic.Int64
	methods := &peer.Methods{State: func(ctx context.Context, q wire.RequestQuery) (wire.RequestState, error) {
		called.Add(1)
		return echoState(ctx, q)
	}}
	address := startServer(t, &peer.Server{TLS: good, Methods: methods})
	for name, bad := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := (&peer.Client{TLS: bad}).GetRequestState(t.Context(), address, wire.RequestQuery{})
			is.True(errors.Is(err, peer.ErrNotSent))
			badAddress := startServer(t, &peer.Server{TLS: bad, Methods: methods})
			_, err = (&peer.Client{TLS: good}).GetRequestState(t.Context(), badAddress, wire.RequestQuery{})
			is.True(errors.Is(err, peer.ErrNotSent))
			is.Equal(called.Load(), int64(0))
		})
	}
}

// Guards against a listener and against a call outside loopback without TLS.
func TestTLSIsRequiredOutsideLoopback(t *testing.T) {
	is := is.New(t)
	err := (&peer.Server{Address: "0.0.0.0:0"}).Run(t.Context())
	is.True(errors.Is(err, peer.ErrTLSRequired))
	_, err = (&peer.Client{}).GetRequestState(t.Context(), "192.0.2.1:1", wire.RequestQuery{})
	is.True(errors.Is(err, peer.ErrNotSent))
}

// Guards against a rotated certificate that is used only after a restart, and against one that is never used because
// its key was written after it.
func TestRotatedCertificateIsUsedWithoutRestart(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	settings := issueTLS(t, a, "router", fleetName, 0)
	address := startServer(t, &peer.Server{TLS: settings, Methods: &peer.Methods{State: echoState}})
	first := servedSerial(t, address, issueTLS(t, a, "probe", fleetName, 0))
	oldKey, err := os.ReadFile(settings.Key)
	is.NoErr(err)
	issueTLS(t, a, "router", fleetName, 2*time.Hour)
	newKey, err := os.ReadFile(settings.Key)
	is.NoErr(err)
	is.NoErr(os.WriteFile(settings.Key, oldKey, 0o600))
	// The old key does not match the new certificate.
	is.Equal(servedSerial(t, address, issueTLS(t, a, "probe", fleetName, 0)), first)
	is.NoErr(os.WriteFile(settings.Key, newKey, 0o600))
	is.True(servedSerial(t, address, issueTLS(t, a, "probe", fleetName, 0)) != first)
}

// servedSerial returns the serial number of the certificate that the server at the address presents.
func servedSerial(t *testing.T, address string, settings *peer.TLS) string {
	pair, err := tls.LoadX509KeyPair(settings.Certificate, settings.Key)
	if err != nil {
		t.Fatal(err)
	}
	var leaf *x509.Certificate
	conn, err := tls.Dial("tcp", address, &tls.Config{
		Certificates:       []tls.Certificate{pair},
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			leaf = state.PeerCertificates[0]
			return nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return leaf.SerialNumber.String()
}

// Guards against a call with a lost answer that is reported as not sent, against calls that queue up behind a stalled
// peer, and against a stalled connection that is never replaced.
func TestStalledPeer(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}, 8), make(chan struct{})
	stallingHandler := func(ctx context.Context, q wire.RequestQuery) (wire.RequestState, error) {
		if q.Request == "stall" {
			entered <- struct{}{}
			<-release
		}
		return echoState(ctx, q)
	}
	address := startServer(t, &peer.Server{Methods: &peer.Methods{State: stallingHandler}})
	client := &peer.Client{Calls: 1, Timeout: 300 * time.Millisecond}
	lost := make(chan error)
	go func() {
		_, err := client.GetRequestState(t.Context(), address, wire.RequestQuery{Request: "stall"})
		lost <- err
	}()
	<-entered
	_, err := client.GetRequestState(t.Context(), address, wire.RequestQuery{Request: "next"})
	is.True(errors.Is(err, peer.ErrNotSent)) // The only slot is in use.
	is.True(errors.Is(<-lost, peer.ErrOutcomeUnknown))
	close(release)
	state, err := client.GetRequestState(t.Context(), address, wire.RequestQuery{Request: "next"})
	is.NoErr(err)
	is.Equal(state.Request, "next")
}

// Guards against a server that crashes or keeps the connection open after an invalid message or an announced length
// above the limit.
func TestInvalidMessagesEndTheConnection(t *testing.T) {
	address := startServer(t, &peer.Server{Methods: &peer.Methods{State: echoState}, Limit: 1024})
	huge := binary.AppendUvarint(nil, 1<<40)
	for name, message := range map[string][]byte{
		"garbage":   append([]byte{5}, "[1,2}"...),
		"oversized": huge,
		"length":    {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"null":      append([]byte{4}, "null"...),
		"batch":     append([]byte{2}, "[]"...),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer conn.Close()
			is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
			_, err = conn.Write(message)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, bufio.NewReader(conn))
			is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // The server closed it.
		})
	}
	is := is.New(t)
	_, err := (&peer.Client{}).GetRequestState(t.Context(), address, wire.RequestQuery{Request: string(make([]byte, 2048))})
	is.True(err != nil)
	_, err = (&peer.Client{Limit: 1024}).GetRequestState(t.Context(), address, wire.RequestQuery{Request: string(make([]byte, 2048))})
	is.True(errors.Is(err, peer.ErrNotSent))
	state, err := (&peer.Client{}).GetRequestState(t.Context(), address, wire.RequestQuery{Request: "after"})
	is.NoErr(err)
	is.Equal(state.Request, "after")
}

// Guards against input from a peer that makes the decoder panic or hang.
func FuzzServerMessages(f *testing.F) {
	frame := func(s string) []byte { return append(binary.AppendUvarint(nil, uint64(len(s))), s...) }
	f.Add(frame(`{"jsonrpc":"2.0","id":1,"method":"request.state","params":{"request":"a"}}`))
	f.Add(frame(`{"jsonrpc":"2.0","id":1,"method":"peer.ping","params":{"members":[{"incarnation":-1}]}}`))
	f.Add(frame(`{"jsonrpc":"2.0","id":"x","result":null}`))
	f.Add(frame(`{"jsonrpc":"2.0","id":1,"error":{"code":1}}`))
	f.Add(frame(`[{"id":1,"method":"request.state"}]`))
	f.Add([]byte{0x80, 0x80, 0x80, 0x80, 0x10, '{'})
	members := &peer.Membership{Self: wire.Member{Address: "127.0.0.1:1"}, Client: &peer.Client{}}
	methods := &peer.Methods{State: echoState, Hello: members.Hello, Ping: members.Ping}
	f.Fuzz(func(t *testing.T, data []byte) {
		server := &peer.Server{Methods: methods, Limit: 4096}
		near, far := net.Pipe()
		go func() {
			_, _ = near.Write(data)
			_ = near.Close()
		}()
		drained := make(chan struct{})
		go func() {
			_, _ = io.Copy(io.Discard, near)
			close(drained)
		}()
		server.ServeConn(t.Context(), far)
		<-drained
	})
}
