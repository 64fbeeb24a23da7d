// Package engine is the HTTP client for model engines: chat completions with server-sent events, usage, cancellation,
// resumption, load reports, state and commands.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"citronslip/internal/dial"
	"citronslip/internal/platform"
	"citronslip/internal/proxy"
)

const (
	// HeaderAttempt is the request header with the identity of an attempt.
	HeaderAttempt = "Citronslip-Attempt"
	// HeaderLabel is the request header with a text that the engine returns in its usage reports.
	HeaderLabel = "Citronslip-Label"
	// HeaderLoad is the response header with the load report of the engine, as JSON. Responses to Chat and Resume have
	// it.
	HeaderLoad = "Citronslip-Load"

	// UsageRunning is the state of an attempt that has not ended.
	UsageRunning = "running"
	// UsageDone is the state of an attempt that ended.
	UsageDone = "done"
	// UsageUnknown is the state of an attempt that the engine does not know.
	UsageUnknown = "unknown"

	maxIdleConnsPerServer = 256
	dialTimeout           = 2 * time.Second
	idleConnTimeout       = 90 * time.Second
	// maxResponseHeaderBytes is the maximum size of a response's header.
	maxResponseHeaderBytes = 32 << 10
	// maxErrorBodyBytes is the number of bytes that are read from the body of a refusal.
	maxErrorBodyBytes = 4 << 10
)

var (
	// ErrNotSent is returned when the request certainly did not reach the backend server.
	ErrNotSent = errors.New("engine: request not sent")
	// ErrConnectionLost is returned when a call fails after its request may have reached the backend server.
	ErrConnectionLost = errors.New("engine: connection lost")
	// ErrPathLost is returned together with ErrConnectionLost when the way to the backend server failed, such as another
	// router that ended, which says nothing about the server.
	ErrPathLost = errors.New("engine: way to the server failed")
	// ErrUnknownAttempt is returned when the engine does not know the attempt.
	ErrUnknownAttempt = errors.New("engine: no such attempt")
)

type (
	// RefusedError is returned when a backend server responds with an error status. Errors of Chat and Resume hold the
	// header and the start of the body of the response. In errors of the other methods Header is nil and Body is an
	// error message.
	RefusedError struct {
		Status int
		Header http.Header
		Body   []byte
	}

	// Load is a backend server's load report.
	Load struct {
		Running int  `json:"running"` // Requests being processed.
		Waiting int  `json:"waiting"` // Requests in the queue.
		Slots   int  `json:"slots"`   // Maximum number of running requests.
		Ready   bool `json:"ready"`
		Leaving bool `json:"leaving"` // Whether the server is about to be shut down.
		// Start identifies the process: it changes when the server restarts after a crash.
		Start string `json:"start"`
		// Software is the software version of the engine, empty if it does not tell. Only processes of the same version
		// can continue each other's streams.
		Software string `json:"software,omitempty"`
		// Models lists the loaded models. It is empty in the reports on responses.
		Models []LoadedModel `json:"models,omitempty"`
	}

	// Usage is the state and the usage of a single attempt, in tokens.
	Usage struct {
		State      string `json:"state"` // UsageRunning, UsageDone or UsageUnknown.
		Prompt     int64  `json:"prompt"`
		Completion int64  `json:"completion"`
	}

	// AttemptUsage is the usage of one attempt in the list for a router instance, in tokens.
	AttemptUsage struct {
		Attempt    string `json:"attempt"`
		Label      string `json:"label"` // Text sent in HeaderLabel.
		Prompt     int64  `json:"prompt"`
		Completion int64  `json:"completion"`
		Sent       bool   `json:"sent"` // Whether the whole answer was sent.
	}

	// LoadedModel is a model version that an engine has loaded.
	LoadedModel struct {
		Name     string   `json:"name"`
		Version  string   `json:"version"`
		Adapters []string `json:"adapters,omitempty"`
	}

	// State is the configuration that an engine runs. As a command it is the complete desired state.
	State struct {
		Fence  uint64        `json:"fence"` // Fencing number of the command.
		Role   string        `json:"role"`
		Models []LoadedModel `json:"models"`
		Ready  bool          `json:"ready"`
	}

	// Dial opens a connection to a backend server. An error that wraps a *net.OpError of a dial means that none was opened.
	Dial = func(ctx context.Context, network, address string) (net.Conn, error)

	// Client calls model engines and other backend servers. The parameter base of its methods is the URL of the server,
	// without a path.
	Client struct {
		HTTP *http.Client // For example the client that NewHTTPClient returns.
	}
)

// NewHTTPClient returns an HTTP client for backend servers, which follows no redirects. Without reuse each call opens a
// new connection, on which the transport never repeats a request by itself.
func NewHTTPClient(reuse bool) *http.Client { return NewClient(NewTransport(reuse, DialTCP)) }

// DialTCP opens a connection to a backend server.
func DialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return dial.WithLossDetection(conn), nil
}

// NewClient returns an HTTP client that sends requests with a transport and follows no redirects.
func NewClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// NewTransport returns the transport of NewHTTPClient with another function that opens connections.
func NewTransport(reuse bool, open Dial) *http.Transport {
	return &http.Transport{
		DialContext:         open,
		DisableKeepAlives:   !reuse,
		DisableCompression:  true,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: maxIdleConnsPerServer,
		IdleConnTimeout:     idleConnTimeout,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine: refused with status %d", e.Status)
}

// Chat sends a chat-completions request. The caller closes the body of the response. Its errors are ErrNotSent,
// ErrConnectionLost or a *RefusedError.
func (c *Client) Chat(ctx context.Context, base, attempt, label string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(ErrNotSent, "%v", err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderAttempt, attempt)
	request.Header.Set(HeaderLabel, label)
	return c.doOK(request)
}

// Resume continues the stream of an attempt after the given number of output tokens. The caller closes the body of the
// response. Its errors are those of Chat.
func (c *Client) Resume(ctx context.Context, base, attempt, model string, after int) (*http.Response, error) {
	query := url.Values{"after": {strconv.Itoa(after)}, "model": {model}}
	address := base + "/resume/" + url.PathEscape(attempt) + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, trace.Wrap(ErrNotSent, "%v", err)
	}
	return c.doOK(request)
}

// Do sends a request. Its errors are ErrNotSent if no connection to the backend server was obtained, so that it cannot
// have received the request, a *RefusedError if another router was not to send it, and otherwise ErrConnectionLost.
func (c *Client) Do(request *http.Request) (*http.Response, error) {
	var sent atomic.Bool
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if !wasRefused(info.Conn) {
				sent.Store(true)
			}
		},
	})
	ctx = proxy.WithCall(ctx, proxy.Call{Request: request.Header.Get(HeaderAttempt), Permit: true})
	response, err := c.HTTP.Do(request.WithContext(ctx))
	if err == nil {
		if err = proxy.CheckStatus(response); err != nil {
			_ = response.Body.Close()
		}
	}
	var refused *proxy.RefusedError
	var lost *proxy.LostError
	switch {
	case err == nil:
		return response, nil
	case errors.Is(err, proxy.ErrNotSent):
		return nil, trace.Wrap(ErrNotSent, "%v", err) // A connection to another router may have been obtained.
	case errors.As(err, &refused):
		return nil, &RefusedError{Status: http.StatusTooManyRequests}
	case errors.As(err, &lost) && lost.Path:
		return nil, fmt.Errorf("%w: %w: %v", ErrConnectionLost, ErrPathLost, err)
	case sent.Load():
		return nil, trace.Wrap(ErrConnectionLost, "%v", err)
	default:
		return nil, trace.Wrap(ErrNotSent, "%v", err)
	}
}

// Usage asks an engine for the usage of an attempt.
func (c *Client) Usage(ctx context.Context, base, attempt string) (Usage, error) {
	var usage Usage
	err := c.call(ctx, http.MethodGet, base, "/usage/"+url.PathEscape(attempt), nil, &usage)
	return usage, err
}

// AttemptUsages asks an engine for the usage of all attempts of a router instance that it knows.
func (c *Client) AttemptUsages(ctx context.Context, base, instance string) ([]AttemptUsage, error) {
	var answer struct {
		Reports []AttemptUsage `json:"reports"`
	}
	query := url.Values{"instance": {instance}}
	err := c.call(ctx, http.MethodGet, base, "/usage?"+query.Encode(), nil, &answer)
	return answer.Reports, err
}

// Cancel ends an attempt and returns its usage. It returns ErrUnknownAttempt if the engine does not know the attempt.
func (c *Client) Cancel(ctx context.Context, base, attempt string) (Usage, error) {
	var usage Usage
	err := c.call(ctx, http.MethodPost, base, "/cancel/"+url.PathEscape(attempt), nil, &usage)
	return usage, err
}

// CountTokens asks an engine for the number of tokens of a prompt.
func (c *Client) CountTokens(ctx context.Context, base string, body []byte) (int64, error) {
	var answer struct {
		Count int64 `json:"count"`
	}
	err := c.call(ctx, http.MethodPost, base, "/tokenize", body, &answer)
	return answer.Count, err
}

// Load asks a backend server for a load report.
func (c *Client) Load(ctx context.Context, base string) (Load, error) {
	var load Load
	err := c.call(ctx, http.MethodGet, base, "/load", nil, &load)
	return load, err
}

// State asks for the configuration that an engine runs.
func (c *Client) State(ctx context.Context, base string) (State, error) {
	var state State
	err := c.call(ctx, http.MethodGet, base, "/state", nil, &state)
	return state, err
}

// Command sends an engine the complete desired state. A *RefusedError with status 409 means that the fencing number is
// older than that of the last command.
func (c *Client) Command(ctx context.Context, base string, desired State) (State, error) {
	var state State
	err := c.call(ctx, http.MethodPost, base, "/command", desired, &state)
	return state, err
}

// ParseLoad decodes the load report in the header of a response. It reports false if there is no valid one.
func ParseLoad(header http.Header) (Load, bool) {
	var load Load
	text := header.Get(HeaderLoad)
	if text == "" || json.Unmarshal([]byte(text), &load) != nil {
		return Load{}, false
	}
	return load, true
}

// doOK sends a request. It returns a *RefusedError for a response with a status other than 200.
func (c *Client) doOK(request *http.Request) (*http.Response, error) {
	response, err := c.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	return nil, &RefusedError{Status: response.StatusCode, Header: response.Header, Body: body}
}

// call makes a call with JSON bodies. Its errors are ErrNotSent, ErrConnectionLost, ErrUnknownAttempt for the status
// 404, or a *RefusedError for any other error status.
func (c *Client) call(ctx context.Context, method, base, path string, body, result any) error {
	client := platform.Client{Base: base, HTTP: c.HTTP}
	err := client.Call(ctx, method, path, body, result)
	switch status := platform.StatusCode(err); {
	case err == nil:
		return nil
	case status == http.StatusNotFound:
		return trace.Wrap(ErrUnknownAttempt)
	case status != 0:
		return &RefusedError{Status: status, Body: []byte(err.Error())}
	case errors.Is(err, platform.ErrNotSent):
		return trace.Wrap(ErrNotSent, "%v", err)
	default:
		return trace.Wrap(ErrConnectionLost, "%v", err)
	}
}
