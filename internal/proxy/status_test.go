package proxy_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/proxy"
)

// Guards against a status that is none of a final HTTP response, which net/http partly accepts, reaching a caller or ending
// the connection between two routers, which would count as a failure of the way and not of the server.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	var status string
	c := newChain(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Length: 6\r\n\r\nanswer")
		_ = conn.Close()
	})
	for _, through := range []bool{true, false} {
		if !through {
			c.awaitDirect()
		}
		for _, status = range []string{"000", "099", "101", "600", "999", "1000"} {
			t.Run(fmt.Sprintf("%s, through another router: %t", status, through), func(t *testing.T) {
				is := is.New(t)
				id := fmt.Sprint(status, through)
				_, _, err := c.fetch(c.request(t.Context(), "POST", "/", id, []byte("x")))
				is.True(err != nil && !errors.Is(err, proxy.ErrNotSent))
				is.Equal(c.arrived(id), int64(1))
				var lost *proxy.LostError
				is.Equal(errors.As(err, &lost), through)
				is.True(!through || !lost.Path)
			})
		}
	}
}
