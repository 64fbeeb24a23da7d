package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/command"
	"citronslip/internal/operator"
	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

const (
	examplesPath = "../../examples/"
	operatorKey  = "open sesame"
)

// runCommand runs a command line without standard input and returns its exit status, output and error output.
func runCommand(args ...string) (status int, output, errorOutput string) {
	var stdout, stderr bytes.Buffer
	status = command.Main(args, strings.NewReader(""), &stdout, &stderr)
	return status, stdout.String(), stderr.String()
}

// writeFile writes a file into a new temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against exit statuses that do not tell scripts whether the command line was invalid or the command failed, and
// against a credential that is given on the command line instead of in a file.
func TestExitStatusTellsUsageErrorsFromFailures(t *testing.T) {
	credential := writeFile(t, "credential", operatorKey)
	cases := []struct {
		expected int
		args     string
	}{
		{command.ExitSuccess, "version"},
		{command.ExitSuccess, "check -h"},
		{command.ExitSuccess, "check " + examplesPath + "cooperative"},
		{command.ExitSuccess, "events -format json"},
		{command.ExitUsage, ""},
		{command.ExitUsage, "unknown"},
		{command.ExitUsage, "check"},
		{command.ExitUsage, "check -wrong"},
		{command.ExitUsage, "check -format xml " + examplesPath + "cooperative"},
		{command.ExitUsage, "check missing.toml"},
		{command.ExitUsage, "diff " + examplesPath + "cooperative"},
		{command.ExitUsage, "status"},
		{command.ExitUsage, "status -address http://127.0.0.1:1 -credential missing"},
		{command.ExitUsage, "apply -address http://127.0.0.1:1 -credential " + credential + " " + examplesPath + "cooperative"},
		{command.ExitUsage, "history -address http://127.0.0.1:1 -credential " + credential + " x"},
		{command.ExitUsage, "load -model m http://192.0.2.1"},
		{command.ExitUsage, "burn missing.json"},
		{command.ExitUsage, "man extra"},
		{command.ExitFailure, "status -address http://127.0.0.1:1 -credential " + credential},
		{command.ExitFailure, "explain -address http://127.0.0.1:1 -credential " + credential + " r"},
	}
	for _, test := range cases {
		status, _, stderr := runCommand(strings.Fields(test.args)...)
		if status != test.expected {
			t.Errorf("citronslip %s: status %d, expected %d\n%s", test.args, status, test.expected, stderr)
		}
	}
}

// Guards against sample inventories that have findings or whose API keys do not belong to their accounts.
func TestExamplesPassCheck(t *testing.T) {
	for _, name := range []string{"cooperative", "wreaths"} {
		is := is.New(t)
		status, out, stderr := runCommand("check", examplesPath+name)
		is.Equal(stderr, "")
		is.Equal(status, command.ExitSuccess)
		is.True(strings.HasPrefix(out, "no findings: 4 places, 6 hosts, 2 services"))
		doc, err := inventory.Load(examplesPath + name)
		is.NoErr(err)
		keys, err := os.ReadFile(examplesPath + name + "/keys.txt")
		is.NoErr(err)
		index := inventory.NewIndex(&doc.Inventory)
		for i, key := range strings.Fields(string(keys)) {
			is.Equal(index.Authenticate(key).Name, doc.Inventory.Accounts[i].Name)
		}
	}
}

// Guards against a page docs/EVENTS.md that differs from the events that the program logs.
func TestEventsPageMatchesCatalogue(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/EVENTS.md")
	is.NoErr(err)
	_, out, _ := runCommand("events")
	is.Equal(string(page), out)
}

// Guards against findings that are missing from the text or the JSON output.
func TestCheckPrintsAllFindings(t *testing.T) {
	is := is.New(t)
	path := writeFile(t, "a.toml", "[[place]]\nnam = 1\n[[rule]]\nname = \"r\"\naccount = \"x\"\n")
	status, _, stderr := runCommand("check", path)
	is.Equal(status, command.ExitUsage)
	is.True(strings.Contains(stderr, path+":2: unknown key") && strings.Contains(stderr, path+":5: the account"))
	is.True(!strings.Contains(stderr, "\x1b"))
	status, out, _ := runCommand("check", "-format", "json", path)
	is.Equal(status, command.ExitUsage)
	var result struct{ Findings []inventory.Finding }
	is.NoErr(json.Unmarshal([]byte(out), &result))
	is.Equal(len(result.Findings), 3)
}

// startOperatorServer starts an operator interface that keeps its configuration in memory, with one router that reports
// the newest version and one that stays at version 1. It returns the flags that reach it.
func startOperatorServer(t *testing.T) (flags []string) {
	var versions []wire.ConfigVersion
	var inventories []*inventory.Inventory
	server := &operator.Server{Credentials: []operator.Credential{{Name: "ana", Key: inventory.DigestKey(operatorKey)}}}
	server.Apply = func(_ context.Context, c operator.Change) (wire.ConfigVersion, error) {
		if c.Base != len(versions) {
			return wire.ConfigVersion{}, operator.ErrConflict
		}
		versions = append(versions, wire.ConfigVersion{Number: c.Base + 1, Change: c.ID, Author: c.Author})
		inventories = append(inventories, c.Inventory)
		return versions[c.Base], nil
	}
	server.History = func(context.Context, int) ([]wire.ConfigVersion, error) { return versions, nil }
	server.Config = func(_ context.Context, n int) (wire.ConfigVersion, *inventory.Inventory, error) {
		if n == 0 {
			n = len(versions)
		}
		if n > len(versions) {
			return wire.ConfigVersion{}, nil, operator.ErrNotFound
		}
		return versions[n-1], inventories[n-1], nil
	}
	server.Status = func(context.Context) (*wire.FleetStatus, error) {
		routers := []wire.RouterStatus{{Address: "r1", Host: "h1", State: "live", Version: len(versions)}, {Address: "r2", Host: "h2", State: "live", Version: 1}}
		return &wire.FleetStatus{Router: "r1", Ready: true, Version: len(versions), Routers: routers}, nil
	}
	server.Burn = func(context.Context) (*wire.Burn, error) {
		return &wire.Burn{Time: time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)}, nil
	}
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(listener.Close)
	return []string{"-address", listener.URL, "-credential", writeFile(t, "credential", operatorKey)}
}

// Guards against an apply that overwrites another operator's change, that does not name the routers that lack the
// version, or that commits in a dry run.
func TestApply(t *testing.T) {
	is := is.New(t)
	flags := startOperatorServer(t)
	apply := func(args ...string) (int, string, string) {
		return runCommand(append(append([]string{"apply"}, flags...), args...)...)
	}
	northPath := writeFile(t, "one.toml", "[[place]]\nname = \"north\"\n")
	southPath := writeFile(t, "two.toml", "[[place]]\nname = \"south\"\n")
	status, out, _ := apply("-base", "0", "-dry", northPath)
	is.Equal(status, command.ExitSuccess)
	is.Equal(out, "+ place north\n")
	status, out, stderr := apply("-base", "0", northPath)
	is.Equal(stderr, "")
	is.Equal(status, command.ExitSuccess)
	is.True(strings.Contains(out, "version 1 is in force on 2 of 2 routers"))
	status, out, stderr = apply("-base", "1", "-wait", "1ms", southPath)
	is.Equal(status, command.ExitFailure)
	is.True(strings.Contains(out, "router r2 on host h2") && strings.Contains(stderr, "version 2 is committed, but 1 router did not"))
	status, _, stderr = apply("-base", "1", northPath)
	is.Equal(status, command.ExitFailure)
	is.True(strings.Contains(stderr, "- place north\n+ place south\n") && strings.Contains(stderr, "-base 2"))
	status, out, _ = runCommand(append(append([]string{"history"}, flags...), "2")...)
	is.Equal(status, command.ExitSuccess)
	is.Equal(out, "- place north\n+ place south\n")
	status, out, _ = runCommand(append([]string{"status"}, flags...)...)
	is.Equal(status, command.ExitSuccess)
	is.True(strings.HasPrefix(out, "router r1 is ready, version 2"))
}

// Guards against result files that a later run cannot be compared with, and against mixes of the examples that cannot
// be read.
func TestLoadComparesWithEarlierRun(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer k1" {
			w.WriteHeader(http.StatusUnauthorized)
		}
	}))
	defer server.Close()
	keysPath, resultPath := writeFile(t, "keys", "k1\n"), filepath.Join(t.TempDir(), "result.json")
	args := []string{"load", "-path", "/x", "-keys", keysPath, "-rate", "2000", "-count", "20", "-result", resultPath}
	status, _, stderr := runCommand(append(args, server.URL)...)
	is.Equal(stderr, "")
	is.Equal(status, command.ExitSuccess)
	status, out, _ := runCommand(append(args, "-earlier", resultPath, server.URL)...)
	is.Equal(status, command.ExitSuccess)
	is.True(strings.Contains(strings.Join(strings.Fields(out), " "), "answered 20 20 0 lost 0 0 0"))
	for _, name := range []string{"cooperative", "wreaths"} {
		mixPath := examplesPath + name + "/load/mix.toml"
		status, out, _ = runCommand("load", "-mix", mixPath, "-rate", "2000", "-count", "20", "-format", "json", server.URL)
		is.Equal(status, command.ExitSuccess)
		is.True(strings.Contains(out, `"none": 20`))
	}
}

// Guards against report files that cannot be merged, and against a router that does not answer and makes the whole
// report fail or is left out silently.
func TestBurnMergesReports(t *testing.T) {
	is := is.New(t)
	report := `{"time":"2026-03-01T00:00:00Z","levels":[],"budgets":[],"accounts":[{"account":"acme","weigh":"refusal","requests":%d}]}`
	firstPath, secondPath := writeFile(t, "one.json", fmt.Sprintf(report, 3)), writeFile(t, "two.json", fmt.Sprintf(report, 4))
	pagePath := filepath.Join(t.TempDir(), "burn.html")
	status, out, stderr := runCommand("burn", "-page", pagePath, firstPath, secondPath)
	is.Equal(stderr, "")
	is.Equal(status, command.ExitSuccess)
	is.True(strings.Contains(out, "acme     refusal  7"))
	flags := startOperatorServer(t)
	flags[1] += ",http://127.0.0.1:1"
	status, out, stderr = runCommand(append([]string{"burn"}, flags...)...)
	is.Equal(status, command.ExitSuccess)
	is.True(strings.Contains(stderr, "left out: no answer from http://127.0.0.1:1/burn") && strings.Contains(out, "2026-03-01"))
	page, err := os.ReadFile(pagePath)
	is.NoErr(err)
	is.True(strings.Contains(string(page), "<td>acme</td>"))
}

// Guards against a completion script that bash rejects, and against commands that the manual page or the help leaves
// out or describes without examples.
func TestCommandsAreDocumented(t *testing.T) {
	is := is.New(t)
	_, script, _ := runCommand("completion")
	bash := exec.Command("bash", "-c", script+`COMP_WORDS=(citronslip burn -pa); COMP_CWORD=2; _citronslip; echo "${COMPREPLY[@]}"`)
	out, err := bash.CombinedOutput()
	is.NoErr(err)
	is.Equal(string(out), "-page\n")
	_, manual, _ := runCommand("man")
	for _, name := range []string{"check", "diff", "apply", "history", "status", "explain", "burn", "load", "events", "completion", "man"} {
		is.True(strings.Contains(manual, ".SS "+name+"\n"))
		_, _, help := runCommand(name, "-h")
		is.True(strings.Contains(help, "EXAMPLES"))
	}
	for _, line := range strings.Split(manual, "\n") {
		is.True(!strings.HasPrefix(line, "'"))
	}
}
