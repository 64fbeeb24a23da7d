package command_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/certificate"
	"citronslip/internal/command"
)

// routeErrors runs the route command with the settings file and an invalid -grace, so that no router starts, and
// returns the lines of its errors without the program name.
func routeErrors(t *testing.T, path string, args ...string) []string {
	t.Helper()
	status, _, stderr := runCommand(append([]string{"route", "-grace", "1ns", "-config", path}, args...)...)
	if status != command.ExitUsage {
		t.Fatalf("status %d: %s", status, stderr)
	}
	// An error in the file also prints the help, before the error.
	var lines []string
	for line := range strings.Lines(stderr) {
		if text, ok := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "citronslip: "); ok {
			lines = append(lines, text)
		}
	}
	return lines
}

// Guards against an error about a settings file that does not give file, line, key and the accepted values on one line.
func TestSettingsFaultsNameFileLineAndKey(t *testing.T) {
	authority := &certificate.Authority{Directory: t.TempDir()}
	if err := authority.Create(); err != nil {
		t.Fatal(err)
	}
	files, err := authority.Issue("r", "r", 0)
	if err != nil {
		t.Fatal(err)
	}
	textPath := filepath.Join(t.TempDir(), "text")
	if err := os.WriteFile(textPath, []byte("no certificate"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ setting, key, expected string }{
		{`lisen = "x"`, "lisen", "unknown key; accepted are admin, authority, body,"},
		{`config = "x"`, "config", "unknown key; accepted are"},
		{`"a\nb" = 1`, `"a\nb"`, "unknown key; accepted are"},
		{"[listen]", "listen", "accepted are keys with values"},
		{`body = "4096"`, "body", "wrong type; accepted is a whole number"},
		{`body = 4096.5`, "body", "wrong type; accepted is a whole number"},
		{`body = 99999999999999999999`, "body", "wrong type; accepted is a whole number"},
		{`body = ["4096"]`, "body", "wrong type; accepted is a whole number"},
		{`name = true`, "name", "wrong type; accepted is a string"},
		{`seeds = ["127.0.0.1:1", 2]`, "seeds", "wrong type; accepted is a string, or a list of strings"},
		{`idle = 5`, "idle", `wrong type; accepted is a string with a duration, such as "30s"`},
		{`idle = "5"`, "idle", "wrong type; accepted is a string with a duration"},
		{`body = 1023`, "body", "accepted are 1024 to 1073741824 bytes"},
		{`header = 1073741825`, "header", "accepted are 1024 to 1073741824 bytes"},
		{`duration = "25h"`, "duration", "accepted are 1s to 24h0m0s"},
		{`idle = "0s"`, "idle", "accepted are 1s to 24h0m0s"},
		{`queue = "-1s"`, "queue", "accepted are 1s to 24h0m0s"},
		{`log = "loud"`, "log", "accepted are debug, info, warn and error"},
		{`retention = "59m"`, "retention", "accepted are 1h to 2160h0m0s"},
		{`listen = "localhost:80"`, "listen", "accepted is an IP address with a port"},
		{`peer = "127.0.0.1"`, "peer", "accepted is an IP address with a port"},
		{`peer = "192.0.2.1:7080"`, "-authority", "is missing; without it the peer address must be a loopback address"},
		{`proxy = "127.0.0.1"`, "proxy", "accepted is an IP address with a port"},
		{`proxy = "192.0.2.1:7081"`, "-authority", "is missing; without it the proxy address must be a loopback address"},
		{`admin = ":8082"`, "admin", "accepted is an IP address with a port"},
		{`admin = "192.0.2.1:80"`, "-credential", "is missing; without it the admin address must be a loopback address"},
		{`seeds = ["127.0.0.1:1", "x"]`, "seeds", `"x" cannot be parsed; accepted is an IP address with a port`},
		{`platform = "ftp://x"`, "platform", "accepted is http:// or https:// with a host"},
		{`credential = "missing\nfile"`, "credential", "accepted is a readable file"},
		{`certificate = "` + files.Certificate + `"`, "-key", "is missing; accepted is a PEM file, since certificate is set"},
		{`key = "` + files.Key + `"`, "-certificate", "is missing; accepted is a PEM file, since key is set"},
		{"key = \"" + files.Key + "\"\ncertificate = \"missing\"", "certificate", "no such file or directory; accepted is a PEM certificate"},
		{`authority = "missing"`, "authority", "no such file or directory; accepted is a PEM file"},
		{`authority = "` + textPath + `"`, "authority", "holds no certificate; accepted is a PEM file"},
		{`authority = "` + files.Authority + `"`, "-identity", "is missing; accepted is a PEM file, since authority is set"},
		{`secret = "` + files.Key + `"`, "-authority", "is missing; accepted is a PEM file, since identity or secret is set"},
		{"listen = \"127.0.0.1:1\"\nlisten = \"127.0.0.1:2\"", "", "key listen is already defined"},
		{`body = `, "", "at start of value"},
	} {
		path := writeFile(t, "router.toml", "# A comment.\n"+test.setting+"\n")
		line := 2 + strings.Count(test.setting, "\n")
		prefix := fmt.Sprintf("%s:%d: %s: ", path, line, test.key)
		switch {
		case test.key == "":
			prefix = fmt.Sprintf("%s:%d:", path, line) // Followed by the column; a syntax error may not name the key.
		case strings.HasPrefix(test.key, "-"):
			prefix = test.key + ": " // A missing setting has no line.
		}
		found := false
		for _, got := range routeErrors(t, path) {
			found = found || strings.HasPrefix(got, prefix) && strings.Contains(got, test.expected)
		}
		if !found {
			t.Errorf("%s: expected %s... %s, got %q", test.setting, prefix, test.expected, routeErrors(t, path))
		}
	}
}

// Guards against settings that are not taken from flags, environment and file in this order of precedence, and against
// an error that names the wrong source.
func TestFlagsPrecedeEnvironmentAndFile(t *testing.T) {
	is := is.New(t)
	path := writeFile(t, "router.toml", "body = 1\n")
	reportsOutOfRange := func(args []string, expected string) bool {
		return strings.Contains(strings.Join(routeErrors(t, path, args...), "\n"), expected+" is out of range")
	}
	is.True(reportsOutOfRange(nil, path+":1: body: 1"))
	t.Setenv("CITRONSLIP_BODY", "2")
	is.True(reportsOutOfRange(nil, "CITRONSLIP_BODY: 2"))
	is.True(reportsOutOfRange([]string{"-body", "3"}, "-body: 3"))
	is.True(!strings.Contains(strings.Join(routeErrors(t, path, "-body", "4096"), "\n"), "body: "))
	t.Setenv("CITRONSLIP_BODY", "x")
	is.True(strings.Contains(strings.Join(routeErrors(t, path), "\n"), "CITRONSLIP_BODY"))
}

// Guards against settings files that crash the program, and against errors that name neither the line nor the flag.
func FuzzSettingsFile(f *testing.F) {
	for _, seed := range []string{
		"listen = \"127.0.0.1:1\"\nbody = 5\n", "a.b = 1", "\"a\\nb\" = 1", "[x]\n[[y]]\n", "seeds = [\"a\", 'b',]", "body = 0x10\n",
		"name = \"\"\"a\nb\"\"\"\nbad = {x = 1}", "credential = \"a\\nb\"", "\xff", "body = 1\nbody = 2", "= 1", "x", "body = [[1]]",
	} {
		f.Add([]byte(seed))
	}
	location := regexp.MustCompile(`^(-[a-z]+: |.*/router\.toml:[0-9]+:)`)
	f.Fuzz(func(t *testing.T, data []byte) {
		path := filepath.Join(t.TempDir(), "router.toml")
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		lines := routeErrors(t, path)
		if len(lines) == 0 {
			t.Fatal("no error")
		}
		for _, line := range lines {
			if !location.MatchString(line) {
				t.Fatalf("%q names neither a line nor a flag", line)
			}
		}
	})
}
