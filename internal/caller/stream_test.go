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

	"citronslip/internal/engine"
)

// chunkText returns a content event of a chat stream.
func chunkText(content string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", content)
}

// breakingEngine returns an engine whose streams break off after two events, and which answers a resumption with a status,
// a content type and a body.
func breakingEngine(status int, contentType, body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engine.HeaderLoad, `{"start":"process","software":"1"}`)
		switch {
		case strings.HasPrefix(r.URL.Path, "/resume/"):
			w.Header().Set("Content-Type", contentType)
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body) // The router may have closed the connection.
		case r.URL.Path == "/v1/chat/completions":
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, chunkText("one")+chunkText("two")+"data: {\"cho")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
}

// receiveStream returns the body of the stream that a caller receives.
func receiveStream(t *testing.T, backend http.Handler) string {
	t.Helper()
	var body string
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFrontend(t, backend)
		defer f.close()
		response, err := f.client(false).Do(newChatRequest(context.Background(), chatBody("x")))
		is.NoErr(err)
		data, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		body = string(data)
	})
	return body
}

// Guards against a stream that goes on with the text of an error, or that looks complete, when the engine answers its
// resumption with anything but the rest of the answer.
func TestStreamGoesOnOnlyWithTheAnswer(t *testing.T) {
	const events = "text/event-stream"
	for name, test := range map[string]struct {
		status            int
		contentType, body string
	}{
		"error":                  {http.StatusInternalServerError, "text/plain", "trouble\n\n"},
		"refusal":                {http.StatusServiceUnavailable, events, "data: trouble\n\n"},
		"page":                   {http.StatusOK, "text/html", "<html>\n\ntrouble\n\ndata: [DONE]\n\n"},
		"no content":             {http.StatusNoContent, events, ""},
		"partial content":        {http.StatusPartialContent, events, chunkText("trouble") + "data: [DONE]\n\n"},
		"page without type":      {http.StatusOK, "", "trouble\n\ndata: [DONE]\n\n"},
		"JSON":                   {http.StatusOK, "application/json", chunkText("trouble") + "data: [DONE]\n\n"},
		"text in the stream":     {http.StatusOK, events, "trouble\n\ndata: [DONE]\n\n"},
		"error event":            {http.StatusOK, events, "event: error\ndata: {\"error\":{\"message\":\"trouble\"}}\n\ndata: [DONE]\n\n"},
		"error data":             {http.StatusOK, events, "data: {\"error\":{\"message\":\"trouble\"}}\n\ndata: [DONE]\n\n"},
		"whole head":             {http.StatusOK, events, "HTTP/1.1 500 trouble\r\nContent-Length: 0\r\n\r\ndata: [DONE]\n\n"},
		"nothing":                {http.StatusOK, events, ""},
		"answer, then a trouble": {http.StatusOK, events, chunkText("three") + "data: trouble\n\ndata: [DONE]\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body := receiveStream(t, breakingEngine(test.status, test.contentType, test.body))
			rest, ok := strings.CutPrefix(body, chunkText("one")+chunkText("two"))
			is.True(ok)
			rest = strings.TrimPrefix(rest, chunkText("three"))
			is.True(strings.HasPrefix(rest, "event: error\ndata: ")) // The router's own.
			is.True(!strings.Contains(rest, "trouble"))
			is.True(!strings.Contains(rest, "[DONE]"))
		})
	}
}

// Guards against a stream that does not go on although the engine resumes it, with comments and the usage.
func TestResumedStreamGoesOn(t *testing.T) {
	is := is.New(t)
	rest := ": wait\n\n" + chunkText("three") + "data: [DONE]\n\n"
	body := receiveStream(t, breakingEngine(http.StatusOK, "text/event-stream; charset=utf-8", rest))
	is.Equal(body, chunkText("one")+chunkText("two")+rest)
}
