// Package operator implements the interface for operators: Server is the HTTP API of a router, Client is the one that
// the commands use. Both exchange JSON bodies and authenticate operators by a bearer credential.
package operator

import (
	"errors"
	"fmt"
	"regexp"
	"strings"

	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

const (
	// CodeFindings is returned when the inventory of a change has errors, which are listed as findings.
	CodeFindings = "findings"
	// CodeConflict is returned when another change was committed since the version that was edited.
	CodeConflict = "conflict"
	// CodeOutcomeUnknown is returned when a change may or may not have taken effect. A retry with the same change
	// identity is safe and returns the outcome.
	CodeOutcomeUnknown = "unknown"
	// CodeUnavailable is returned when a service that the router depends on is unavailable. Nothing was changed.
	CodeUnavailable = "unavailable"
	// CodeBadCredential is returned when the credential is missing or unknown.
	CodeBadCredential = "credential"
	// CodeNotFound is returned when the request or version that was asked for is unknown.
	CodeNotFound = "missing"
	// CodeBadRequest is returned when the call is malformed.
	CodeBadRequest = "request"
	// CodeInternal is returned when the call failed for any other reason.
	CodeInternal = "failed"
)

var (
	// ErrConflict is returned by Server.Apply when the newest version is not the one that was edited.
	ErrConflict = errors.New("operator: another change was applied first")
	// ErrOutcomeUnknown is returned when a change may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("operator: outcome of the change unknown")
	// ErrUnavailable is returned when a service that the router depends on is unavailable. Nothing was changed.
	ErrUnavailable = errors.New("operator: not available")
	// ErrNotFound is returned when a request or a configuration version is unknown.
	ErrNotFound = errors.New("operator: not found")

	// wrappedError matches the line break and indentation before a wrapped error.
	wrappedError = regexp.MustCompile(`\n\t+`)
)

type (
	// Change is a checked change of the inventory, the argument of Server.Apply.
	Change struct {
		ID        string               // Unique identity of the change, which makes retries idempotent.
		Base      int                  // Number of the version that was edited.
		Author    string               // Name of the operator whose credential was used.
		Inventory *inventory.Inventory // Whole inventory after the change.
	}

	// RefusalError is the error of a client call that a router answered with a failure.
	RefusalError struct {
		Status int // HTTP status.
		wire.Failure
	}
)

// ErrorText returns the text of an error on one line. Package trace writes each wrapped error on a separate line.
func ErrorText(err error) string {
	return wrappedError.ReplaceAllString(err.Error(), ": ")
}

// Error returns the message of the router and, on further lines, the findings.
func (r *RefusalError) Error() string {
	if len(r.Findings) == 0 {
		return r.Message
	}
	lines := []string{r.Message}
	for _, f := range r.Findings {
		lines = append(lines, fromWire(f).String())
	}
	return strings.Join(lines, "\n")
}

// newRefusal returns the error for a response status and its decoded body.
func newRefusal(status int, failure wire.Failure) *RefusalError {
	if failure.Message == "" {
		failure.Message = fmt.Sprintf("the router answered with status %d", status)
	}
	return &RefusalError{Status: status, Failure: failure}
}

func fromWire(f wire.Finding) inventory.Finding {
	at := inventory.Position{File: f.File, Line: f.Line}
	return inventory.Finding{Position: at, Text: f.Text, Fix: f.Mend, Accepted: f.Range}
}

func toWire(findings []inventory.Finding) []wire.Finding {
	result := make([]wire.Finding, len(findings))
	for i, f := range findings {
		result[i] = wire.Finding{File: f.File, Line: f.Line, Text: f.Text, Mend: f.Fix, Range: f.Accepted}
	}
	return result
}
