// Package event defines all log events, each with a number, a level, a message and advice for operators.
package event

import (
	"slices"

	"github.com/rs/zerolog"
)

const (
	// maxIDBytes limits the ID of a request in a log line. Callers choose IDs as long as a header, and an escaped byte takes
	// up to six.
	maxIDBytes = 256
)

var (
	catalogue []Event
)

type (
	// Event is one kind of log line. The meaning of its number never changes.
	Event struct {
		Number int
		Level  zerolog.Level
		Text   string // Message of the line. Variable parts are logged as fields.
		Action string // Advice for operators, printed in the catalogue.
	}
)

// Log starts a log line for the event. The caller adds fields and calls Send. If logger is nil nothing is logged.
func (e Event) Log(logger *zerolog.Logger) *zerolog.Event {
	if logger == nil {
		return nil
	}
	return logger.WithLevel(e.Level).Int("event", e.Number).Str(zerolog.MessageFieldName, e.Text)
}

// ClipID returns the start of the ID of a request, as long as log lines show it.
func ClipID(id string) string { return id[:min(len(id), maxIDBytes)] }

// Catalogue returns all events, sorted by number.
func Catalogue() []Event {
	events := slices.Clone(catalogue)
	slices.SortFunc(events, func(a, b Event) int { return a.Number - b.Number })
	return events
}

// register adds an event to the catalogue and returns it.
func register(number int, level zerolog.Level, text, action string) Event {
	e := Event{Number: number, Level: level, Text: text, Action: action}
	catalogue = append(catalogue, e)
	return e
}
