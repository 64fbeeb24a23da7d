package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"citronslip/internal/event"
)

const (
	// writeTimeout limits one write to a router that does not read.
	writeTimeout = 10 * time.Second
	// bodyTimeout limits the time for reading the body of a request of another router.
	bodyTimeout = time.Minute
	// copyBufferBytes is the size of the buffer for a response.
	copyBufferBytes = 16 << 10
)

var (
	// hopByHopHeaders apply to a single connection and are not forwarded.
	hopByHopHeaders = []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
	}
	// UnsentResponse answers a request of another router that was not decoded for lack of memory.
	UnsentResponse = []byte("HTTP/1.1 502 Bad Gateway\r\n" + headerOutcome + ": " + string(outcomeUnsent) + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")

	// repeatedMethods and idempotencyHeaders make net/http repeat a request without a body on its own.
	repeatedMethods    = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace}
	idempotencyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}
)

type (
	// Handler sends the requests of other routers to backend servers. It implements http.Handler. Set the exported fields
	// before the first use.
	Handler struct {
		Direct http.RoundTripper // Sends requests to backend servers.
		Paths  *Paths
		// Admit decides whether a request may be sent to the server at an address. Without a permit, it obtains one if the
		// server has a rate limit. Its error is a *RefusedError or wraps ErrNotSent.
		Admit func(ctx context.Context, address string, permit bool) (Admission, error)
		// ReadBody reads the body of a request, whose length is -1 if it is unknown. It returns a function that releases its
		// memory, and false if it cannot be read.
		ReadBody func(body io.Reader, length int64) ([]byte, func(), bool)

		inFlight atomic.Int64
	}

	// Admission is the permission to send a request.
	Admission interface {
		// Observe is called with the head of the response to the request with the given ID. It returns an error if the
		// response belongs to another request, so that the connection must not be used again.
		Observe(request *http.Request, response *http.Response) error
	}

	// deadlineWriter limits the time of each write of a response.
	deadlineWriter struct {
		writer     io.Writer
		controller *http.ResponseController
	}

	// flushWriter flushes after each write.
	flushWriter struct {
		out *deadlineWriter
	}
)

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// ServeHTTP sends a request to the backend server that it names and returns the response.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	address := r.Header.Get(headerAddress)
	if h.Paths.Closed != nil && h.Paths.Closed() || h.Paths.isBroken(address) {
		h.refuse(w, r, ErrNotSent)
		return
	}
	controller := http.NewResponseController(w)
	if r.ContentLength != 0 {
		_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout)) // Without it, the read fails as well.
	}
	body, release, ok := h.ReadBody(r.Body, r.ContentLength)
	if !ok {
		h.refuse(w, r, ErrNotSent)
		return
	}
	defer release()
	if r.ContentLength != 0 {
		_ = controller.SetReadDeadline(time.Time{}) // A connection that fails ends the request.
	}
	admission, err := h.Admit(r.Context(), address, r.Header.Get(headerPermit) != "")
	if err != nil {
		h.refuse(w, r, err)
		return
	}
	h.forward(w, r, admission, body)
}

// forward sends an admitted request and returns the response.
func (h *Handler) forward(w http.ResponseWriter, r *http.Request, admission Admission, body []byte) {
	address := r.Header.Get(headerAddress)
	response, conn, err := send(h.Direct, outgoing(r, address, body))
	if err != nil {
		h.lose(w, r, address, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	h.Paths.recordContact(address)
	if admission.Observe(r, response) != nil {
		defer conn.Close()
	}
	writeHead(w, response)
	h.log(r, outcomeAnswered, response.StatusCode, nil)
	if err := copyBody(w, response); err != nil {
		if r.Context().Err() == nil {
			h.Paths.suspect(address)
		}
		// Without the head, the other router would take the failure of the server for one of this router.
		_ = http.NewResponseController(w).Flush() // A router that is gone does not matter.
		panic(http.ErrAbortHandler)
	}
}

// refuse answers a request of which nothing was sent.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, err error) {
	result := outcomeUnsent
	var refused *RefusedError
	if errors.Is(err, ErrWithheld) {
		w.Header().Set(headerWithheld, "1")
		refused = &RefusedError{After: withheldPause}
	}
	if refused != nil || errors.As(err, &refused) {
		result = outcomeRefused
		w.Header().Set(headerAfter, strconv.FormatInt((refused.After+time.Millisecond-1).Milliseconds(), 10))
	}
	h.fail(w, r, result, err)
}

// lose answers a request without a response of the server.
func (h *Handler) lose(w http.ResponseWriter, r *http.Request, address string, err error) {
	switch {
	case r.Context().Err() != nil:
		panic(http.ErrAbortHandler) // The other router has given the request up.
	case errors.Is(err, ErrWithheld):
		h.refuse(w, r, err)
	case isDialError(err):
		h.Paths.recordFailure(address)
		h.fail(w, r, outcomeUnsent, err)
	case isReset(err):
		h.Paths.suspect(address)
		h.fail(w, r, outcomeReset, err)
	default:
		h.Paths.suspect(address)
		h.fail(w, r, outcomeLost, err)
	}
}

func (h *Handler) fail(w http.ResponseWriter, r *http.Request, result outcome, err error) {
	h.log(r, result, http.StatusBadGateway, err)
	w.Header().Set(headerOutcome, string(result))
	w.WriteHeader(http.StatusBadGateway)
}

func (h *Handler) log(r *http.Request, result outcome, status int, err error) {
	event.RequestCarried.Log(h.Paths.Logger).Str("request", event.ClipID(r.Header.Get(headerRequest))).Str("peer", r.RemoteAddr).
		Str("address", r.Header.Get(headerAddress)).Str("outcome", string(result)).Int("status", status).Err(err).Send()
	h.Paths.counter("carried")
}

// outgoing returns the request to the server. It prevents net/http from sending the request again on its own after a lost
// connection: only the router of the caller may decide that.
func outgoing(r *http.Request, address string, body []byte) *http.Request {
	header := r.Header.Clone()
	for name := range strings.SplitSeq(r.Header.Get("Connection"), ",") {
		header.Del(strings.TrimSpace(name))
	}
	for _, name := range slices.Concat(hopByHopHeaders, ownHeaders) {
		header.Del(name)
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // Prevents net/http from adding its own.
	}
	request := (&http.Request{
		Method:        r.Method,
		URL:           ServerURL(address, r.URL),
		Host:          r.Host,
		Header:        header,
		Body:          http.NoBody,
		ContentLength: int64(len(body)),
	}).WithContext(r.Context())
	PreventRepeat(request, body)
	return request
}

// ServerURL returns the URL at an address of a request that was received, with the same path and query.
func ServerURL(address string, received *url.URL) *url.URL {
	return &url.URL{
		Scheme: "http", Host: address, Path: received.Path, RawPath: received.RawPath,
		RawQuery: received.RawQuery, ForceQuery: received.ForceQuery,
	}
}

// PreventRepeat sets the body of a request so that net/http does not send the request again on its own: it takes requests
// without a body for repeatable if their method is idempotent or they have one of idempotencyHeaders.
func PreventRepeat(request *http.Request, body []byte) {
	if len(body) > 0 || slices.Contains(repeatedMethods, request.Method) {
		request.Body = NewBody(body)
	}
	for _, name := range idempotencyHeaders {
		if values, ok := request.Header[name]; ok {
			delete(request.Header, name)
			request.Header[strings.ToLower(name)] = values // Names are not case-sensitive, but net/http looks for this case.
		}
	}
}

// writeHead writes the head of the server's response.
func writeHead(w http.ResponseWriter, response *http.Response) {
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	for _, name := range slices.Concat(hopByHopHeaders, ownHeaders) {
		header.Del(name)
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := header[name]; !ok {
			header[name] = nil // Prevents net/http from adding its own.
		}
	}
	header.Set(headerOutcome, string(outcomeAnswered))
	switch {
	case response.ContentLength >= 0:
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	case len(response.TransferEncoding) == 0:
		header.Set(headerUnframed, "1")
	}
	w.WriteHeader(response.StatusCode)
}

// copyBody copies the body of a response. The parts of a body of unknown length, which may be a stream, and its head are
// flushed as they come.
func copyBody(w http.ResponseWriter, response *http.Response) error {
	out := &deadlineWriter{w, http.NewResponseController(w)}
	if response.ContentLength >= 0 {
		_, err := io.CopyBuffer(out, response.Body, make([]byte, copyBufferBytes))
		return err
	}
	if err := out.controller.Flush(); err != nil {
		return err
	}
	_, err := io.CopyBuffer(flushWriter{out}, response.Body, make([]byte, copyBufferBytes))
	return err
}

// Write writes within writeTimeout.
func (d *deadlineWriter) Write(data []byte) (int, error) {
	if err := d.controller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return d.writer.Write(data)
}

// Write writes and flushes.
func (f flushWriter) Write(data []byte) (int, error) {
	n, err := f.out.Write(data)
	if err != nil {
		return n, err
	}
	return n, f.out.controller.Flush()
}
