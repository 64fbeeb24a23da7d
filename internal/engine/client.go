// Package engine speaks to model engines: chat completions with server-sent events, usage, cancel, resume, load, state
// and commands.
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

	"citronslip/internal/platform"
)

const (
	// HeaderAttempt carries the identity of an attempt to an engine.
	HeaderAttempt = "Citronslip-Attempt"
	// HeaderLabel carries text that an engine returns with its usage reports.
	HeaderLabel = "Citronslip-Label"
	// HeaderLoad carries an engine's load report on its responses.
	HeaderLoad = "Citronslip-Load"

	// UsageRunning is the state of an attempt that goes on.
	UsageRunning = "running"
	// UsageDone is the state of an attempt that ended.
	UsageDone = "done"
	// UsageUnknown is the state of an attempt that the engine does not know.
	UsageUnknown = "unknown"

	idleConnections = 256
	dialTimeout     = 2 * time.Second
	idleTimeout     = 90 * time.Second
	// headBytes bounds the head of an answer.
	headBytes    = 32 << 10
	refusalBytes = 4 << 10
)

var (
	// ErrNotSent says that the request never reached the backend server.
	ErrNotSent = errors.New("engine: request not sent")
	// ErrLost says that the connection broke after the request may have reached the backend server.
	ErrLost = errors.New("engine: connection lost")
	// ErrGone says that the engine does not know the attempt.
	ErrGone = errors.New("engine: no such attempt")
)

type (
	// RefusedError is a status with which a backend server refused to run a request.
	RefusedError struct {
		Status int
		Header http.Header
		Body   []byte
	}

	// Load is a backend server's load report.
	Load struct {
		Running int  `json:"running"`
		Waiting int  `json:"waiting"`
		Slots   int  `json:"slots"`
		Ready   bool `json:"ready"`
		Leaving bool `json:"leaving"`
		// Start identifies the process; a crashed server comes back with another one.
		Start string `json:"start"`
		// Models are what the engine holds; reports on responses leave them out.
		Models []Loaded `json:"models,omitempty"`
	}

	// Usage is what an engine reports of an attempt.
	Usage struct {
		State      string `json:"state"` // running, done or unknown
		Prompt     int64  `json:"prompt"`
		Completion int64  `json:"completion"`
	}

	// Report is what an engine reports of one attempt of an instance.
	Report struct {
		Attempt    string `json:"attempt"`
		Label      string `json:"label"`
		Prompt     int64  `json:"prompt"`
		Completion int64  `json:"completion"`
		Sent       bool   `json:"sent"` // Whether the whole answer was sent.
	}

	// Loaded is a model version that an engine holds.
	Loaded struct {
		Name     string   `json:"name"`
		Version  string   `json:"version"`
		Adapters []string `json:"adapters,omitempty"`
	}

	// State is what an engine runs; sent as a command it is the whole state wanted.
	State struct {
		Fence  uint64   `json:"fence"`
		Role   string   `json:"role"`
		Models []Loaded `json:"models"`
		Ready  bool     `json:"ready"`
	}

	// Client speaks to all backend servers of a fleet.
	Client struct {
		HTTP *http.Client // Set by NewHTTP or the caller.
	}
)

// NewHTTP returns an HTTP client for backend servers. Without reuse every call takes a new connection, on which the
// transport never repeats a request by itself.
func NewHTTP(reuse bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableKeepAlives:   !reuse,
			DisableCompression:  true,
			MaxIdleConns:        0,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,

			MaxResponseHeaderBytes: headBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Error describes the refusal.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine: refused with status %d", e.Status)
}

// Chat sends a chat-completions request. The caller closes the body of the response. An error is ErrNotSent, ErrLost or
// a *RefusedError.
func (c *Client) Chat(ctx context.Context, base, attempt, label string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(ErrNotSent, "%v", err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderAttempt, attempt)
	request.Header.Set(HeaderLabel, label)
	return c.accept(request)
}

// Resume continues the stream of an attempt behind the given number of tokens.
func (c *Client) Resume(ctx context.Context, base, attempt, model string, after int) (*http.Response, error) {
	query := url.Values{"after": {strconv.Itoa(after)}, "model": {model}}
	address := base + "/resume/" + url.PathEscape(attempt) + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, trace.Wrap(ErrNotSent, "%v", err)
	}
	return c.accept(request)
}

// Do sends a request and says whether an error happened before the backend server could have seen it.
func (c *Client) Do(request *http.Request) (*http.Response, error) {
	var sent atomic.Bool
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	response, err := c.HTTP.Do(request.WithContext(ctx))
	switch {
	case err == nil:
		return response, nil
	case sent.Load():
		return nil, trace.Wrap(ErrLost, "%v", err)
	default:
		return nil, trace.Wrap(ErrNotSent, "%v", err)
	}
}

// Usage asks what an engine knows of an attempt.
func (c *Client) Usage(ctx context.Context, base, attempt string) (Usage, error) {
	var usage Usage
	err := c.call(ctx, http.MethodGet, base, "/usage/"+url.PathEscape(attempt), nil, &usage)
	return usage, err
}

// Reports returns what an engine knows of the attempts of a router instance.
func (c *Client) Reports(ctx context.Context, base, instance string) ([]Report, error) {
	var answer struct {
		Reports []Report `json:"reports"`
	}
	query := url.Values{"instance": {instance}}
	err := c.call(ctx, http.MethodGet, base, "/usage?"+query.Encode(), nil, &answer)
	return answer.Reports, err
}

// Cancel ends an attempt and returns its usage.
func (c *Client) Cancel(ctx context.Context, base, attempt string) (Usage, error) {
	var usage Usage
	err := c.call(ctx, http.MethodPost, base, "/cancel/"+url.PathEscape(attempt), nil, &usage)
	return usage, err
}

// Count asks an engine for the number of tokens of a prompt.
func (c *Client) Count(ctx context.Context, base string, body []byte) (int64, error) {
	var answer struct {
		Count int64 `json:"count"`
	}
	err := c.call(ctx, http.MethodPost, base, "/tokenize", body, &answer)
	return answer.Count, err
}

// Load asks for a load report.
func (c *Client) Load(ctx context.Context, base string) (Load, error) {
	var load Load
	err := c.call(ctx, http.MethodGet, base, "/load", nil, &load)
	return load, err
}

// State asks what an engine runs.
func (c *Client) State(ctx context.Context, base string) (State, error) {
	var state State
	err := c.call(ctx, http.MethodGet, base, "/state", nil, &state)
	return state, err
}

// Command sends the whole state wanted. A *RefusedError with status 409 says that the fencing number is old.
func (c *Client) Command(ctx context.Context, base string, wanted State) (State, error) {
	var state State
	err := c.call(ctx, http.MethodPost, base, "/command", wanted, &state)
	return state, err
}

// ParseLoad reads a load report from a response. It reports false if there is none.
func ParseLoad(header http.Header) (Load, bool) {
	var load Load
	text := header.Get(HeaderLoad)
	if text == "" || json.Unmarshal([]byte(text), &load) != nil {
		return Load{}, false
	}
	return load, true
}

func (c *Client) accept(request *http.Request) (*http.Response, error) {
	response, err := c.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(response.Body, refusalBytes))
	return nil, &RefusedError{Status: response.StatusCode, Header: response.Header, Body: body}
}

func (c *Client) call(ctx context.Context, method, base, path string, body, result any) error {
	client := platform.Client{Base: base, HTTP: c.HTTP}
	err := client.Call(ctx, method, path, body, result)
	switch status := platform.Status(err); {
	case err == nil:
		return nil
	case status == http.StatusNotFound:
		return trace.Wrap(ErrGone)
	case status != 0:
		return &RefusedError{Status: status, Body: []byte(err.Error())}
	case errors.Is(err, platform.ErrNotSent):
		return trace.Wrap(ErrNotSent, "%v", err)
	default:
		return trace.Wrap(ErrLost, "%v", err)
	}
}
