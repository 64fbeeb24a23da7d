package hosts_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/hosts"
	"citronslip/internal/platform"
)

// hostEntry returns the entry of a host with an address, a state and further fields.
func hostEntry(address, state, more string) string {
	return fmt.Sprintf(`{"name":"h","address":%q,"state":%q,"time":"2026-12-05T00:00:00Z"%s}`, address, state, more)
}

// readList returns the addresses in a host list as the client reads it.
func readList(t *testing.T, entries ...string) ([]string, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"hosts":[`+strings.Join(entries, ",")+`]}`)
	}))
	defer server.Close()
	list, err := (&hosts.Client{Platform: platform.Client{Base: server.URL}}).Hosts(t.Context())
	var addresses []string
	for _, host := range list {
		addresses = append(addresses, host.Address)
	}
	return addresses, err
}

// Guards against an odd entry that hides the other hosts or is taken for a host.
func TestOddEntriesDoNotHideHosts(t *testing.T) {
	first, second := hostEntry("10.0.0.1:80", "live", ""), hostEntry("10.0.0.2:80", "leaving", `,"more":"[{\"]["`)
	for name, odd := range map[string]string{
		"null":             "null",
		"number too large": "1e999",
		"list":             "[]",
		"other type":       `{"name":7,"address":"10.0.0.3:80","state":"live"}`,
		"no time":          `{"name":"h","address":"10.0.0.3:80","state":"live","time":"soon"}`,
		"port too large":   hostEntry("10.0.0.3:65536", "live", ""),
		"no port":          hostEntry("10.0.0.3", "live", ""),
		"unknown state":    hostEntry("10.0.0.3:80", "dancing", ""),
		"unreadable bytes": "\"\xff\xfe\"",
		"huge text":        `"` + strings.Repeat("x", 1<<20) + `"`,
		"nested":           strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000),
		"nested objects":   strings.Repeat(`{"a":[`, 50_000) + "1,2" + strings.Repeat("]}", 50_000),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addresses, err := readList(t, first, odd, second)
			is.NoErr(err)
			is.Equal(addresses, []string{"10.0.0.1:80", "10.0.0.2:80"})
		})
	}
	is := is.New(t)
	addresses, err := readList(t, first, hostEntry("10.0.0.3:80", "live", `,"more":`+strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)), second)
	is.NoErr(err)
	is.Equal(addresses, []string{"10.0.0.1:80", "10.0.0.3:80", "10.0.0.2:80"}) // A field that is not used may hold anything.
	_, err = readList(t, first, "{")
	is.True(err != nil)
}
