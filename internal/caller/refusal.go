package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"citronslip/internal/memory"
	"citronslip/internal/wire"
)

const (
	// HeaderRequestID carries the ID of a request.
	HeaderRequestID = "Citronslip-Request"
	// HeaderRun states whether a refused request was run.
	HeaderRun = "Citronslip-Run"
	// HeaderBudget names the budget that a request is charged to.
	HeaderBudget = "Citronslip-Budget"
	// HeaderIdempotent marks a request as idempotent ("yes") or not ("no").
	HeaderIdempotent = "Citronslip-Idempotent"
	// HeaderIdempotencyKey carries the idempotency key, which identifies a request across its retries.
	HeaderIdempotencyKey = "Idempotency-Key"

	// CodeBadRequest is the code of a malformed request.
	CodeBadRequest = "request"
	// CodeAPIKey is the code of a missing or unknown API key.
	CodeAPIKey = "key"
	// CodeRule is the code of a request that the access rules deny.
	CodeRule = "rule"
	// CodeModel is the code of an unknown model.
	CodeModel = "model"
	// CodePath is the code of a path that no service serves.
	CodePath = "path"
	// CodeBodyTooLarge is the code of a body over the size limit.
	CodeBodyTooLarge = "size"
	// CodeBudget is the code of an exhausted, missing or unknown budget.
	CodeBudget = "budget"
	// CodeCapacity is the code of a lack of backend servers or of time before the deadline.
	CodeCapacity = "capacity"
	// CodeClaim is the code of a claim that conflicts or cannot be written.
	CodeClaim = "claim"
	// CodeQuarantine is the code of a request that crashed backend servers before.
	CodeQuarantine = "quarantine"
	// CodeBackend is the code of a failure of a backend server.
	CodeBackend = "backend"
	// CodeDeadline is the code of a request that exceeded its time limit.
	CodeDeadline = "deadline"
	// CodeUnavailable is the code of a router that is stopping or not ready.
	CodeUnavailable = "stop"
)

type (
	// Refusal states why a request has no answer.
	Refusal struct {
		Status  int // HTTP status.
		Code    string
		Message string
		Run     wire.RefusalRun // Whether the request was run.
		Retry   time.Duration   // Time after which a retry can help; 0 if none can.
	}
)

// newRefusal returns the refusal of a request that was certainly not run.
func newRefusal(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Message: message, Run: wire.RefusalRunNo}
}

// newRetryableRefusal returns the refusal of a request that was certainly not run, with a time of at least one second
// after which a retry can help.
func newRetryableRefusal(status int, code, message string, retry time.Duration) *Refusal {
	refusal := newRefusal(status, code, message)
	refusal.Retry = max(retry, time.Second)
	return refusal
}

// newUnknownRunRefusal returns the refusal of a request that may have been run.
func newUnknownRunRefusal(status int, code, message string) *Refusal {
	refusal := newRefusal(status, code, message)
	refusal.Run = wire.RefusalRunUnknown
	return refusal
}

// bodyRefusal returns the refusal of a request whose body could not be read.
func (f *Frontend) bodyRefusal(err error) *Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, memory.ErrNoMemory):
		return refuseMemory()
	case errors.As(err, &tooLarge):
		message := fmt.Sprintf("the body is larger than %d bytes", f.BodyBytes)
		return newRefusal(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, message)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newRefusal(http.StatusRequestTimeout, CodeDeadline, "the body did not come in time")
	default:
		return newRefusal(http.StatusBadRequest, CodeBadRequest, "the body could not be read: "+err.Error())
	}
}

// Error returns the code and the message.
func (r *Refusal) Error() string { return r.Code + ": " + r.Message }

// Wire returns the wire form of the refusal for the request with the given ID.
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

// write sends the refusal as a response. The response header must not have been sent.
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

// ceilSeconds rounds up to whole seconds, so that a retry does not come too early.
func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
