package command_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/command"
	"citronslip/internal/event"
	"citronslip/internal/harness"
)

// argumentsVariable is set in processes that run a command line in place of the tests.
const argumentsVariable = "CITRONSLIP_TEST_ARGUMENTS"

func TestMain(m *testing.M) {
	if arguments := os.Getenv(argumentsVariable); arguments != "" {
		os.Exit(command.Main(strings.Fields(arguments), os.Stdin, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// startPlatformRouter starts a router on the users' platform without a store as a process of its own, and returns it once
// it accepts callers.
func startPlatformRouter(t *testing.T) *exec.Cmd {
	t.Helper()
	settings := writeFile(t, "settings.toml", fmt.Sprintf(
		"node=\"n\"\nzone=\"z\"\nip=\"127.0.0.1\"\n[listen]\nfront=%q\nready=%q\ncontrol=%q\n[limits]\nmemoryMb=200\n[bounds]\ngraceS=4\n[platform]\naddress=\"127.0.0.1:1\"\n",
		harness.ReservePort(t), harness.ReservePort(t), harness.ReservePort(t)))
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), argumentsVariable+"=route", "CITRONSLIP_CONFIG="+settings)
	output, err := process.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = process.Process.Kill() })
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		if strings.Contains(lines.Text(), event.RouterStarted.Text) {
			break
		}
	}
	go func() { _, _ = io.Copy(io.Discard, output) }() // A full pipe would hold the router up.
	time.Sleep(300 * time.Millisecond)                 // Until it accepts callers.
	return process
}

// sendSignals sends signals to a process, 200 ms apart.
func sendSignals(t *testing.T, process *exec.Cmd, signals ...syscall.Signal) {
	t.Helper()
	for _, s := range signals {
		if err := process.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// Guards against a graceful shutdown that a second SIGTERM, or SIGHUP, cuts short: requests in flight would get no answer.
func TestRepeatedSignalsDoNotCutGracefulShutdownShort(t *testing.T) {
	process := startPlatformRouter(t)
	begin := time.Now()
	sendSignals(t, process, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	if err := process.Wait(); err != nil {
		t.Fatalf("the router ended after %v: %v", time.Since(begin), err)
	}
	if took := time.Since(begin); took < 2*time.Second {
		t.Errorf("the shutdown took %v, less than it takes connections", took)
	}
}

// Guards against a router that a person at a terminal cannot end at once.
func TestSecondInterruptEndsProcess(t *testing.T) {
	is := is.New(t)
	process := startPlatformRouter(t)
	sendSignals(t, process, syscall.SIGINT, syscall.SIGINT)
	var exit *exec.ExitError
	is.True(errors.As(process.Wait(), &exit))
	status, ok := exit.Sys().(syscall.WaitStatus)
	is.True(ok && status.Signaled() && status.Signal() == syscall.SIGINT)
}
