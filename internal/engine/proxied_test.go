package engine_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/engine"
	"citronslip/internal/proxy"
)

type (
	// failingTransport obtains a connection to another router and fails.
	failingTransport struct {
		err error
	}
)

// RoundTrip implements http.RoundTripper.
func (f failingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	httptrace.ContextClientTrace(request.Context()).GotConn(httptrace.GotConnInfo{})
	return nil, f.err
}

// Guards against a request that another router did not send being taken for one that may have run, and against the
// reverse.
func TestErrorsOfRequestsThroughAnotherRouter(t *testing.T) {
	is := is.New(t)
	chat := func(err error) error {
		client := &engine.Client{HTTP: engine.NewClient(failingTransport{err})}
		_, err = client.Chat(t.Context(), "http://127.0.0.1:1", "a", "", []byte("{}"))
		return err
	}
	is.True(errors.Is(chat(fmt.Errorf("%w: refused", proxy.ErrNotSent)), engine.ErrNotSent))
	is.True(errors.Is(chat(&proxy.LostError{Err: errors.New("ended")}), engine.ErrConnectionLost))
	is.True(!errors.Is(chat(&proxy.LostError{Err: errors.New("ended")}), engine.ErrPathLost))
	ended := chat(&proxy.LostError{Path: true, Err: errors.New("router ended")})
	is.True(errors.Is(ended, engine.ErrConnectionLost) && errors.Is(ended, engine.ErrPathLost))
	var refused *engine.RefusedError
	is.True(errors.As(chat(&proxy.RefusedError{After: time.Second}), &refused))
	is.Equal(refused.Status, http.StatusTooManyRequests)
}
