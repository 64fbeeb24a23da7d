package caller_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Guards against a stream that is too long to be recorded and yet is replayed, cut off, as its answer, and against a second
// run of a request that must run once.
func TestCutOffStreamIsNotReplayed(t *testing.T) {
	const events = 5 << 10
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		runs := 0
		f := newTestFrontend(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/chat/completions" {
				runs++
			}
			for range events {
				fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", strings.Repeat("x", 1<<10))
			}
			writeEnd(w)
		}))
		defer f.close()
		client := f.client(false)
		send := func(key, idempotent string) (int, string) {
			request := newChatRequest(context.Background(), chatBody("a"))
			request.Header.Set("Idempotency-Key", key)
			request.Header.Set("Citronslip-Idempotent", idempotent)
			response, err := client.Do(request)
			is.NoErr(err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			return response.StatusCode, string(body)
		}
		_, first := send("may run again", "yes")
		is.True(strings.HasSuffix(first, "data: [DONE]\n\n"))
		status, second := send("may run again", "yes")
		t.Logf("%d bytes, then status %d and %d bytes", len(first), status, len(second))
		is.Equal(status, http.StatusOK)
		is.True(second == first)
		is.Equal(runs, 2)
		_, first = send("must run once", "no")
		is.True(strings.HasSuffix(first, "data: [DONE]\n\n"))
		status, _ = send("must run once", "no")
		is.Equal(status, http.StatusConflict)
		is.Equal(runs, 3)
	})
}
