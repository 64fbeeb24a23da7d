package caller_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/memory"
)

// Guards against a body whose values take many times its bytes once they are parsed, and against memory that a refused or
// an answered request keeps.
func TestBodyWithManyValuesIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newTestFrontend(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":1}}`)
	}))
	defer f.close()
	budget := &memory.Budget{Limit: 1 << 20}
	f.front.Memory = budget
	client := f.client(false)
	send := func(messages string) int {
		response, err := client.Do(newChatRequest(t.Context(), `{"model":"planner","max_tokens":1,"messages":[`+messages+`]}`))
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		return response.StatusCode
	}
	message := `{"role":"user","content":"{,{,{,\"{,"}`
	is.Equal(send(message), http.StatusOK)
	is.Equal(send(message+strings.Repeat(","+message, 100)), http.StatusOK)
	is.Equal(send(message+strings.Repeat(",{}", 5000)), http.StatusRequestEntityTooLarge)
	is.True(budget.Reserve(1<<20 - 60<<10))
	is.Equal(send(message+strings.Repeat(","+message, 100)), http.StatusServiceUnavailable)
	is.Equal(send(message), http.StatusOK)
}
