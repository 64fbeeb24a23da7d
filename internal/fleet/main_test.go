// Package fleet_test runs several routers as separate processes and checks the invariants of the fleet while routers
// are killed, suspended and partitioned, and while the platform services fail.
package fleet_test

import (
	"io"
	"os"
	"testing"

	"citronslip/internal/command"
)

const (
	// roleEnvVar is the environment variable that makes the test binary run as the citronslip command.
	roleEnvVar = "FLEET_TEST_ROLE"
	// roleCommand is the value of roleEnvVar that does this.
	roleCommand = "command"
	// exitOrphaned is the exit status of a router whose test process has ended.
	exitOrphaned = 3
)

// TestMain runs the tests, or the citronslip command in a process that a test started as a router.
func TestMain(m *testing.M) {
	if os.Getenv(roleEnvVar) != roleCommand {
		os.Exit(m.Run())
	}
	go func() {
		// Standard input reaches its end when the test process exits for any reason, so no router outlives its test.
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(exitOrphaned)
	}()
	os.Exit(command.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
