package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"citronslip/internal/wire"
)

const (
	// HeaderRequest carries the identity of a request.
	HeaderRequest = "Citronslip-Request"
	// HeaderRun says whether a refused request was run.
	HeaderRun = "Citronslip-Run"
	// HeaderBudget names the budget that a request is debited to.
	HeaderBudget = "Citronslip-Budget"
	// HeaderIdempotent marks a call as non-idempotent with the value "no".
	HeaderIdempotent = "Citronslip-Idempotent"
	// HeaderKey identifies a call across its retries.
	HeaderKey = "Idempotency-Key"

	// CodeRequest is a malformed request.
	CodeRequest = "request"
	// CodeKey is a missing or unknown API key.
	CodeKey = "key"
	// CodeRule is a request that the rules deny.
	CodeRule = "rule"
	// CodeModel is an unknown model.
	CodeModel = "model"
	// CodePath is a path that no service serves.
	CodePath = "path"
	// CodeSize is a body over the limit.
	CodeSize = "size"
	// CodeBudget is an exhausted budget.
	CodeBudget = "budget"
	// CodeCapacity is a lack of backend servers or of time before the deadline.
	CodeCapacity = "capacity"
	// CodeClaim is a claim that conflicts or cannot be written.
	CodeClaim = "claim"
	// CodeQuarantine is a request that crashed backend servers before.
	CodeQuarantine = "quarantine"
	// CodeBackend is a failure of a backend server.
	CodeBackend = "backend"
	// CodeDeadline is a request that ran out of time.
	CodeDeadline = "deadline"
	// CodeStop is a router that is stopping or not ready.
	CodeStop = "stop"
)

type (
	// Refusal is why a request has no answer.
	Refusal struct {
		Status  int
		Code    string
		Message string
		Run     wire.RefusalRun
		Retry   time.Duration // Zero means that a retry does not help.
	}
)

// newRefusal returns a refusal of a request that was certainly not run.
func newRefusal(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Message: message, Run: wire.RefusalRunNo}
}

// newRetryableRefusal returns a refusal of a request that was certainly not run, with a time after which a retry can help.
func newRetryableRefusal(status int, code, message string, retry time.Duration) *Refusal {
	refusal := newRefusal(status, code, message)
	refusal.Retry = max(retry, time.Second)
	return refusal
}

// newUnknownRunRefusal returns a refusal of a request that may have been run.
func newUnknownRunRefusal(status int, code, message string) *Refusal {
	refusal := newRefusal(status, code, message)
	refusal.Run = wire.RefusalRunUnknown
	return refusal
}

// bodyRefusal returns the refusal of a request whose body could not be read.
func (f *Front) bodyRefusal(err error) *Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		message := fmt.Sprintf("the body is larger than %d bytes", f.BodyBytes)
		return newRefusal(http.StatusRequestEntityTooLarge, CodeSize, message)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newRefusal(http.StatusRequestTimeout, CodeDeadline, "the body did not come in time")
	default:
		return newRefusal(http.StatusBadRequest, CodeRequest, "the body could not be read: "+err.Error())
	}
}

// Error returns the message.
func (r *Refusal) Error() string { return r.Code + ": " + r.Message }

// Wire returns the refusal's wire form.
func (r *Refusal) Wire(requestID string) wire.Refusal {
	body := wire.Refusal{Code: r.Code, Message: r.Message, Run: r.Run}
	if requestID != "" {
		body.Request = &requestID
	}
	if r.Retry > 0 {
		seconds := ceilSeconds(r.Retry)
		body.Retry = &seconds
	}
	return body
}

// write sends the refusal as a response whose header was not sent yet.
func (r *Refusal) write(w http.ResponseWriter, requestID string) {
	header := w.Header()
	header.Del("Content-Length")
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRun, string(r.Run))
	if r.Retry > 0 {
		header.Set("Retry-After", strconv.Itoa(ceilSeconds(r.Retry)))
	}
	w.WriteHeader(r.Status)
	json.NewEncoder(w).Encode(map[string]wire.Refusal{"error": r.Wire(requestID)})
}

// ceilSeconds rounds up, so that a retry is not told to come too early.
func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
