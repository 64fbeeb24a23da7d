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
	// clearLineSequence moves the cursor to the start of the line and clears the line.
	clearLineSequence = "\r\x1b[K"
)

type (
	// colorSequence is an ANSI escape sequence that sets the text colour.
	colorSequence string
)

// isTerminal reports whether the writer is a terminal.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	return ok && term.IsTerminal(int(file.Fd()))
}

// colored returns the text in the colour if the writer is a terminal and NO_COLOR is not set, otherwise unchanged.
func colored(w io.Writer, color colorSequence, text string) string {
	if os.Getenv("NO_COLOR") != "" || !isTerminal(w) {
		return text
	}
	return string(color) + text + resetSequence
}

// showProgress replaces the progress line on a terminal. Elsewhere it prints nothing.
func showProgress(w io.Writer, format string, args ...any) {
	if isTerminal(w) {
		fmt.Fprintf(w, clearLineSequence+format, args...)
	}
}

// clearProgress removes the progress line from a terminal.
func clearProgress(w io.Writer) {
	if isTerminal(w) {
		fmt.Fprint(w, clearLineSequence)
	}
}
