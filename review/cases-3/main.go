//go:build review3

// Command review3 runs the scripts of the third review: review3 CASE RECORD. It exits with 1 if the rule was broken, 0 if it held, and
// 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	// maxTime limits a case, which has 120 s.
	maxTime = 112 * time.Second
)

var (
	// cases are the cases by name. They report whether the rule was broken.
	cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){
		"parts":   runParts,
		"paths":   runPaths,
		"resume":  runResume,
		"budget":  runBudget,
		"upgrade": runUpgrade,
	}
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE RECORD")
		return 2
	}
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(folder) }()
	d, err := newDeployment(folder, args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.close()
	trouble := os.Getenv("TROUBLE") != "0"
	d.log("case %s, with the disruption: %v", args[0], trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	type outcome struct {
		broken bool
		err    error
	}
	outcomes := make(chan outcome, 1)
	go func() {
		broken, err := cases[args[0]](d, trouble)
		outcomes <- outcome{broken, err}
	}()
	var o outcome
	select {
	case o = <-outcomes:
	case <-signals:
		o.err = errors.New("interrupted")
	case <-time.After(maxTime):
		o.err = errors.New("the case takes too long")
	}
	switch {
	case o.err != nil:
		d.log("the case could not run: %v", o.err)
		fmt.Fprintln(os.Stderr, o.err)
		return 2
	case o.broken:
		d.log("the rule was broken")
		return 1
	}
	d.log("the rule held")
	return 0
}
