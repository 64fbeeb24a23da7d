// Command standins plays the cases of the review: a store, workers, an operator and clients on loopback addresses around
// processes of the project. It exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// endless is the time after which a case ends by itself.
const endless = 115 * time.Second

var (
	output  *os.File
	started = time.Now()
	mu      sync.Mutex
	ends    []func()
)

// record writes a line to record.txt.
func record(format string, args ...any) {
	mu.Lock()
	defer mu.Unlock()
	if output != nil {
		_, _ = fmt.Fprintf(output, "%8.3f  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
	}
}

// atEnd has a function called when the case ends.
func atEnd(end func()) {
	mu.Lock()
	defer mu.Unlock()
	ends = append(ends, end)
}

// finish ends all processes that the case has started, and then this one.
func finish(code int) {
	mu.Lock()
	list := ends
	ends = nil
	mu.Unlock()
	for _, end := range list {
		end()
	}
	record("exit %d", code)
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	record("cannot run: "+format, args...)
	finish(2)
}

// trouble reports whether the disruption is to be played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// verdict ends the case.
func verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if broken {
		record("BROKEN: %s", text)
		fmt.Println("broken:", text)
		finish(1)
	}
	record("held: %s", text)
	fmt.Println("held:", text)
	finish(0)
}

func main() {
	cases := map[string]func(folder string){
		"prefix": casePrefix, "versions": caseVersions, "topup": caseTopup, "part": casePart, "gone": caseGone,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(2)
	}
	var err error
	if output, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun("%v", err)
	}
	if os.Getenv("KEEP") == "" {
		atEnd(func() { _ = os.RemoveAll(folder) })
	} else {
		fmt.Println(folder)
	}
	record("trouble: %v", trouble())
	time.AfterFunc(endless, func() { cannotRun("not ended after %v", endless) })
	cases[os.Args[1]](folder)
}
