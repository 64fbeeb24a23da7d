package caller_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Guards against a connection that ends without a response, or a response with an invalid status, because a backend server
// answered with one.
func TestInvalidStatusReachesNoCaller(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999", "1000"} {
		for _, path := range []string{"/v1/chat/completions", "/booking/1"} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newTestFrontend(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					conn, _, err := http.NewResponseController(w).Hijack()
					is.NoErr(err)
					_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}")
					_ = conn.Close()
				}))
				defer f.close()
				r := newChatRequest(context.Background(), chatBody("a b"))
				r.URL.Path = path
				response, err := f.client(false).Do(r)
				is.NoErr(err)
				defer response.Body.Close()
				body, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusBadGateway)
				is.Equal(response.Header.Get("Citronslip-Run"), "unknown")
				is.True(strings.Contains(string(body), "backend"))
			})
		}
	}
}
