package proxy_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/proxy"
)

// Guards against a path or query that reaches a server changed, such as a path with two leading slashes, which is no host.
func TestTargetOfRequestIsKept(t *testing.T) {
	for _, target := range []string{
		"/", "/a/b", "//a/b", "///a", "/a//b", "/a%2Fb?x=1;y=%20", "/a?", "/a?b=%zz", "/%20/;p=1,2", "/a/../b", "/a:b", "/a%2fb",
	} {
		is := is.New(t)
		received, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n")))
		is.NoErr(err)
		sent, err := http.NewRequest(http.MethodGet, "http://192.0.2.1:80/", nil)
		is.NoErr(err)
		sent.URL = proxy.ServerURL("192.0.2.1:80", received.URL)
		var text strings.Builder
		is.NoErr(sent.Write(&text))
		is.Equal(strings.SplitN(text.String(), " ", 3)[1], target)
		is.Equal(sent.URL.Host, "192.0.2.1:80")
	}
}
