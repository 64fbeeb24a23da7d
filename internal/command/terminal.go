package command

import (
	"fmt"
	"io"
	"os"

	"golang.org/x/term"
)

const (
	red           colorSequence = "\x1b[31m"
	green         colorSequence = "\x1b[32m"
	yellow        colorSequence = "\x1b[33m"
	resetSequence               = "\x1b[0m"
	// clearLineSequence returns to the start of the line and clears it.
	clearLineSequence = "\r\x1b[K"
)

type (
	// colorSequence is an escape sequence for a colour.
	colorSequence string
)

// isTerminal says whether a stream is a isTerminal.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	return ok && term.IsTerminal(int(file.Fd()))
}

// colored returns the text in a colour if the stream is a terminal and NO_COLOR is not set.
func colored(w io.Writer, color colorSequence, text string) string {
	if os.Getenv("NO_COLOR") != "" || !isTerminal(w) {
		return text
	}
	return string(color) + text + resetSequence
}

// showProgress shows a line that the next one replaces, on a terminal only.
func showProgress(w io.Writer, format string, args ...any) {
	if isTerminal(w) {
		fmt.Fprintf(w, clearLineSequence+format, args...)
	}
}

// clearProgress clears the line of progress.
func clearProgress(w io.Writer) {
	if isTerminal(w) {
		fmt.Fprint(w, clearLineSequence)
	}
}
