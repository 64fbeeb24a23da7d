// Package event is the catalogue of numbered log events.
package event

import (
	"slices"

	"github.com/rs/zerolog"
)

var (
	catalogue []Event
)

type (
	// Event is one kind of log line. Its number never changes its meaning.
	Event struct {
		Number int
		Level  zerolog.Level
		Text   string // Message of the line; variable parts are fields.
		Action string // What an operator should do, for the catalogue.
	}
)

// Log starts a line for the event. The caller adds fields and calls Send. Without a logger nothing is written.
func (e Event) Log(logger *zerolog.Logger) *zerolog.Event {
	if logger == nil {
		return nil
	}
	return logger.WithLevel(e.Level).Int("event", e.Number).Str(zerolog.MessageFieldName, e.Text)
}

// Catalogue returns all events by number.
func Catalogue() []Event {
	result := slices.Clone(catalogue)
	slices.SortFunc(result, func(a, b Event) int { return a.Number - b.Number })
	return result
}

// register adds an event to the catalogue.
func register(number int, level zerolog.Level, text, action string) Event {
	e := Event{Number: number, Level: level, Text: text, Action: action}
	catalogue = append(catalogue, e)
	return e
}
