package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"citronslip/internal/sse"
	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

const (
	// maxReportedTokens is the largest usage that is believed, the largest whole number that every JSON parser keeps exact.
	maxReportedTokens = 1 << 53
)

var (
	errCallerLost  = errors.New("caller: connection to the caller lost")
	errBackendLost = errors.New("caller: stream from the backend server broke off")

	doneMarker   = []byte("[DONE]")
	usageKey     = []byte(`"usage"`)
	emptyChoices = []byte(`"choices":[]`)
)

type (
	// tokenUsage is the token count that an engine reports.
	tokenUsage struct {
		Prompt     inventory.Tokens `json:"prompt_tokens"`
		Completion inventory.Tokens `json:"completion_tokens"`
	}

	// relay copies server-sent events from a backend server to a caller.
	relay struct {
		out                 io.Writer
		capture             io.Writer                   // Gets a copy of what goes to out; may be nil.
		finishWithoutCaller bool                        // Whether the copy is completed without the caller.
		totalUsage          func(tokenUsage) tokenUsage // Usage of the whole answer from that of its last part; nil means the same.
		flush               func() error
		forwardUsage        bool   // Whether the caller gets the usage event.
		onFirstEvent        func() // Called once, ahead of the first event.
		contentEvents       int    // Content events that were passed on.
		lastEventAt         time.Time
		maxGap              time.Duration // Longest time between two content events.
		usage               *tokenUsage
		endMarkerSeen       bool // Whether the end marker came.
		callerGone          bool // Whether the caller went away.
	}
)

// copyEvents passes events on until the stream ends. It returns nil only after the end marker. A partial event is dropped: the
// caller sees whole events only.
func (r *relay) copyEvents(body io.Reader) error {
	events := sse.Reader{Source: body}
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

// forward sends an event to the caller.
func (r *relay) forward(event []byte) error {
	data := sse.Data(event)
	if bytes.Equal(data, doneMarker) {
		r.endMarkerSeen = true
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
	if r.onFirstEvent != nil {
		r.onFirstEvent()
		r.onFirstEvent = nil
	}
	if r.capture != nil {
		// A mirror keeps data in memory and does not fail.
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
	// The copy is recorded for a retry, so the stream goes on without its caller.
	r.callerGone = true
	return nil
}

// countEvent counts a content event.
func (r *relay) countEvent() {
	now := time.Now()
	if r.contentEvents > 0 {
		r.maxGap = max(r.maxGap, now.Sub(r.lastEventAt))
	}
	r.contentEvents++
	r.lastEventAt = now
}

// readUsage parses the usage of an event, if it has one. The cheap search keeps token events free of JSON parsing.
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

// valid says whether a usage was reported. Negative or absurd numbers, whose sum could be negative, would give tokens back
// to a budget.
func (u *tokenUsage) valid() bool {
	return u != nil && min(u.Prompt, u.Completion) >= 0 && max(u.Prompt, u.Completion) <= maxReportedTokens
}

// sendError ends a stream that already has a header with an explicit error event.
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
