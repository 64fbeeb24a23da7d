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

// Guards against an answer that is recorded and looks whole although its backend server crashed while it sent the answer without
// a length.
func TestUnframedAnswerCutShortIsNotComplete(t *testing.T) {
	const answer = `{"choices":[{"message":{"content":"a b"}}],"usage":{"prompt_tokens":3,"completion_tokens":2}}`
	for _, length := range []int{0, 1, len(answer) / 2, len(answer) - 1, len(answer)} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newTestFrontend(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				conn, _, err := http.NewResponseController(w).Hijack()
				is.NoErr(err)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"+answer[:length])
				_ = conn.Close()
			}))
			defer f.close()
			body := strings.Replace(chatBody("a b"), `"stream":true`, `"stream":false`, 1)
			response, err := f.client(false).Do(newChatRequest(context.Background(), body))
			is.NoErr(err)
			data, err := io.ReadAll(response.Body)
			is.NoErr(err)
			response.Body.Close()
			if length == len(answer) {
				is.Equal(response.StatusCode, http.StatusOK)
				is.Equal(string(data), answer)
				return
			}
			is.Equal(response.StatusCode, http.StatusBadGateway)
			is.Equal(response.Header.Get("Citronslip-Run"), "unknown")
		})
	}
}
