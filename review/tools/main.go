// Command review plays the cases of an independent review: it starts the project's routers as processes, with stand-ins of
// the platform, the workers and the clients in its own process.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// fail ends a case that can't run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	if cleanup != nil {
		cleanup()
	}
	os.Exit(cannotRun)
}

// cleanup ends the processes that the case has started.
var cleanup func()

func main() {
	if len(os.Args) != 3 {
		fail("usage: review CASE RECORD")
	}
	cases := map[string]func(record *Record, trouble bool) int{
		"second-stop":   secondStop,
		"lost-return":   lostReturn,
		"open-circuits": openCircuits,
	}
	play := cases[os.Args[1]]
	if play == nil {
		fail("unknown case %q", os.Args[1])
	}
	os.Exit(play(NewRecord(os.Args[2]), os.Getenv("TROUBLE") != "0"))
}
