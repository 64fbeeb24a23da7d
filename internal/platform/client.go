// Package platform implements the HTTP client that is shared by the clients of the platform's services (table, object
// store, host list, model weights) and of model engines. Request bodies are JSON, or the bytes that the caller passes.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

const (
	maxResponseBytes = 64 << 20 // Longer response bodies are truncated.
)

var (
	// ErrNotSent is returned when a call fails before a connection was obtained, so that no part of the request was
	// sent.
	ErrNotSent = errors.New("platform: call not sent")
	// ErrResponseLost is returned when the request may have been sent and no complete, well-formed response was
	// received. The service may have executed the call.
	ErrResponseLost = errors.New("platform: answer lost")
)

type (
	// StatusError is the error for a response with a status other than 200.
	StatusError struct {
		Status int    // HTTP status code.
		Body   string // First bytes of the response body, at most 200.
	}

	// Client calls the HTTP endpoints of one service or engine. Its fields are set before the first call.
	Client struct {
		Base    string        // Base URL of the service; request paths are appended to it.
		HTTP    *http.Client  // nil means http.DefaultClient.
		Timeout time.Duration // Timeout of one call with its response; zero means that only the context limits it.
	}
)

// Error returns the status and the start of the response body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform: status %d: %s", e.Status, e.Body)
}

// Call sends one request and decodes the JSON response into result, unless result is nil. The error wraps ErrNotSent,
// ErrResponseLost or a *StatusError; a response that is not valid JSON counts as lost.
func (c *Client) Call(ctx context.Context, method, path string, body, result any) error {
	raw, err := c.Do(ctx, method, path, body)
	if err != nil || result == nil {
		return err
	}
	if err := json.Unmarshal(raw, result); err != nil {
		return trace.Wrap(ErrResponseLost, "malformed answer: %v", err)
	}
	return nil
}

// Do sends one request and returns the response body. A body of type []byte is sent as it is, any other body except nil
// as JSON. The error wraps ErrNotSent, ErrResponseLost or a *StatusError.
func (c *Client) Do(ctx context.Context, method, path string, body any) ([]byte, error) {
	if c.Timeout > 0 {
		withTimeout, cancel := context.WithTimeout(ctx, c.Timeout)
		defer cancel()
		ctx = withTimeout
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	reader, err := encodeBody(body)
	if err != nil {
		return nil, trace.Wrap(ErrNotSent, "%v", err)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.Base+path, reader)
	if err != nil {
		return nil, trace.Wrap(ErrNotSent, "%v", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.httpClient().Do(request)
	if err != nil {
		if connected.Load() {
			return nil, trace.Wrap(ErrResponseLost, "%v", err)
		}
		return nil, trace.Wrap(ErrNotSent, "%v", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, trace.Wrap(ErrResponseLost, "%v", err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: response.StatusCode, Body: string(data[:min(len(data), 200)])}
	}
	return data, nil
}

// StatusCode returns the HTTP status code of the *StatusError in the chain of err, or 0 if there is none.
func StatusCode(err error) int {
	var statusErr *StatusError
	if errors.As(err, &statusErr) {
		return statusErr.Status
	}
	return 0
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

func encodeBody(body any) (io.Reader, error) {
	switch body := body.(type) {
	case nil:
		return http.NoBody, nil
	case []byte:
		return bytes.NewReader(body), nil
	default:
		data, err := json.Marshal(body)
		return bytes.NewReader(data), err
	}
}
