package peer_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/peer"
	"citronslip/internal/wire"
)

// Guards against a method that a router of an earlier release does not know and that counts as a failed connection, or ends it.
func TestUnknownMethodIsToldApart(t *testing.T) {
	is := is.New(t)
	address := startServer(t, &peer.Server{Methods: &peer.Methods{State: echoState}})
	dials := 0
	client := &peer.Client{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		dials++
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}}
	_, err := client.TakeColdPermit(t.Context(), address, wire.ColdstartTake{Server: "i-0"})
	is.True(errors.Is(err, peer.ErrUnsupported))
	is.True(errors.Is(err, peer.ErrNotSent))
	_, err = client.GetRequestState(t.Context(), address, wire.RequestQuery{Request: "a-1"})
	is.NoErr(err)
	is.Equal(dials, 1)
}

// Guards against a router that refuses a call because it has too many and then counts as one that does not answer.
func TestBusyRouterIsToldApart(t *testing.T) {
	is := is.New(t)
	blocked, release := make(chan struct{}), make(chan struct{})
	methods := &peer.Methods{State: func(ctx context.Context, q wire.RequestQuery) (wire.RequestState, error) {
		close(blocked)
		<-release
		return echoState(ctx, q)
	}}
	address := startServer(t, &peer.Server{Calls: 1, Methods: methods, Timeout: time.Minute})
	client := &peer.Client{Timeout: time.Minute}
	done := make(chan error, 1)
	go func() {
		_, err := client.GetRequestState(t.Context(), address, wire.RequestQuery{Request: "a-1"})
		done <- err
	}()
	<-blocked
	_, err := client.GetRequestState(t.Context(), address, wire.RequestQuery{Request: "a-2"})
	var refused *peer.RPCError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code, int64(peer.CodeBusy))
	is.True(errors.Is(err, peer.ErrNotSent))
	close(release)
	is.NoErr(<-done)
}
