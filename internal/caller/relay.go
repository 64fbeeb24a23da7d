package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"citronslip/internal/crash"
	"citronslip/internal/memory"
	"citronslip/internal/sse"
	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

const (
	// maxReportedTokens is the largest accepted token count, which is the largest integer that every JSON parser
	// represents exactly.
	maxReportedTokens = 1 << 53
	// eventStreamType is the media type of a stream of events.
	eventStreamType = "text/event-stream"
)

var (
	errCallerLost  = errors.New("caller: connection to the caller lost")
	errBackendLost = errors.New("caller: response from the backend server ended early")
	// errNotContinued is returned for a response that does not continue the stream whose start the caller received.
	errNotContinued = errors.New("caller: response from the backend server does not continue the stream")

	doneMarker   = []byte("[DONE]")
	usageKey     = []byte(`"usage"`)
	emptyChoices = []byte(`"choices":[]`)
	choicesKey   = []byte(`"choices"`)
	commentField = []byte(":")
)

type (
	// tokenUsage is the token usage that an inference engine reports.
	tokenUsage struct {
		Prompt     inventory.Tokens `json:"prompt_tokens"`
		Completion inventory.Tokens `json:"completion_tokens"`
	}

	// relay copies server-sent events from a backend server to a caller.
	relay struct {
		out                 io.Writer
		capture             io.Writer                   // Receives a copy of the events; may be nil.
		held                *memory.Hold                // Memory of long events.
		finishWithoutCaller bool                        // Whether to complete capture after the caller disconnects.
		totalUsage          func(tokenUsage) tokenUsage // Adds the usage of earlier attempts; nil if none.
		flush               func() error
		forwardUsage        bool          // Whether the caller receives the usage event.
		continues           bool          // Whether the caller received the start of the stream from an earlier response.
		onFirstEvent        func()        // Called once, before the first event.
		onProgress          func()        // Called once, when events still come crash.MinProgress after the first one, or at the end marker.
		firstEventAt        time.Time     // Time of the first event.
		contentEvents       int           // Number of content events relayed.
		lastEventAt         time.Time     // Time of the latest content event.
		maxGap              time.Duration // Longest time between two content events.
		usage               *tokenUsage   // Usage that the backend server reported; nil if none.
		endMarkerSeen       bool          // Whether the end marker was received.
		callerGone          bool          // Whether the caller disconnected.
	}
)

// copyEvents forwards events until the stream ends. It returns nil only after the end marker. A partial event is
// dropped, so that the caller sees only complete events. Nothing else than events of an answer is appended to a stream
// whose start the caller received.
func (r *relay) copyEvents(response *http.Response) error {
	if r.continues && !isEventStream(response.Header) {
		return errNotContinued
	}
	events := sse.Reader{Source: response.Body, Memory: r.held}
	for {
		event, err := events.Next()
		if err != nil {
			return errBackendLost
		}
		if err := r.forward(event); err != nil {
			return err
		}
		if r.endMarkerSeen {
			return nil
		}
	}
}

// reportProgress calls the functions that wait for the first event and for an answer that goes on.
func (r *relay) reportProgress() {
	if r.onFirstEvent != nil {
		r.onFirstEvent()
		r.onFirstEvent = nil
		r.firstEventAt = time.Now()
	}
	if r.onProgress != nil && (r.endMarkerSeen || time.Since(r.firstEventAt) >= crash.MinProgress) {
		r.onProgress()
		r.onProgress = nil
	}
}

// forward sends an event to the caller.
func (r *relay) forward(event []byte) error {
	data := sse.Data(event)
	if bytes.Equal(data, doneMarker) {
		r.endMarkerSeen = true
	}
	if r.continues && !r.endMarkerSeen && !isAnswerEvent(event, data) {
		return errNotContinued
	}
	reported := r.readUsage(data)
	if reported && !r.forwardUsage && bytes.Contains(data, emptyChoices) {
		return nil
	}
	if data != nil && !r.endMarkerSeen && !reported {
		r.countEvent()
	}
	if reported && r.totalUsage != nil {
		var err error
		if event, err = replaceUsage(data, r.totalUsage(*r.usage)); err != nil {
			return errBackendLost
		}
	}
	r.reportProgress()
	if r.capture != nil {
		// A capture keeps data in memory and does not fail.
		_, _ = r.capture.Write(event)
	}
	if r.callerGone {
		return nil
	}
	_, err := r.out.Write(event)
	if err == nil {
		err = r.flush()
	}
	if err == nil {
		return nil
	}
	if !r.finishWithoutCaller {
		return errCallerLost
	}
	// The capture is recorded for a retry, so the stream continues without the caller.
	r.callerGone = true
	return nil
}

// isEventStream reports whether the header of a response declares a stream of events.
func isEventStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == eventStreamType
}

// isAnswerEvent reports whether an event, with the given data, is a part of an answer or a comment.
func isAnswerEvent(event, data []byte) bool {
	if data == nil {
		return bytes.HasPrefix(event, commentField) || len(bytes.TrimSpace(event)) == 0
	}
	return bytes.Contains(data, choicesKey) || bytes.Contains(data, usageKey)
}

// countEvent counts a content event and updates the longest gap between two of them.
func (r *relay) countEvent() {
	now := time.Now()
	if r.contentEvents > 0 {
		r.maxGap = max(r.maxGap, now.Sub(r.lastEventAt))
	}
	r.contentEvents++
	r.lastEventAt = now
}

// readUsage parses the usage in an event, if it has one. The cheap byte search spares token events from JSON parsing.
func (r *relay) readUsage(data []byte) bool {
	if !bytes.Contains(data, usageKey) {
		return false
	}
	var chunk struct {
		Usage *tokenUsage `json:"usage"`
	}
	if json.Unmarshal(data, &chunk) != nil || !chunk.Usage.valid() {
		return false
	}
	r.usage = chunk.Usage
	return true
}

// valid reports whether a usage was reported and is plausible. Negative or huge numbers, whose sum could be negative,
// would add tokens to a budget.
func (u *tokenUsage) valid() bool {
	return u != nil && min(u.Prompt, u.Completion) >= 0 && max(u.Prompt, u.Completion) <= maxReportedTokens
}

// sendError sends an error event, which ends a stream whose header was already sent.
func (r *relay) sendError(refusal *Refusal, requestID string) {
	body, err := json.Marshal(map[string]wire.Refusal{"error": refusal.Wire(requestID)})
	if err != nil {
		return
	}
	r.out.Write(append(append([]byte("event: error\ndata: "), body...), '\n', '\n'))
	r.flush()
}

// flusher returns the flush function of a response.
func flusher(w http.ResponseWriter) func() error {
	controller := http.NewResponseController(w)
	return controller.Flush
}
