package caller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"citronslip/internal/caller"
	"citronslip/internal/sse"
	"citronslip/pkg/inventory"
)

func ExampleParseChat() {
	body := ` { "model" : "m" , "messages" : [ { "role" : "user" , "content" : [ { "type" : "text", "text" : "a" } ] } , { "role" : "user" , "content" : "b" } ] } `
	chat, err := caller.ParseChat([]byte(body))
	fmt.Println(chat.Model, err)
	_, err = caller.ParseChat([]byte(`{"model":"m","messages":[{"role":"user","content":"a"}],"Max_Tokens":5}`))
	fmt.Println(err)
	// Output:
	// m <nil>
	// Max_Tokens: is written in another case than the format's key
}

// Guards against requests that crash the parser, that reach an inference engine with another output limit than the
// reserved one, or whose prompt has more tokens than the bound.
func FuzzParseChat(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"a b\u0020c"}],"max_tokens":5,"stream":true,"n":2}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a b"}]}],"max_completion_tokens":5}`,
		`{"model":"m","messages":[{"role":"user","content":"a"}],"Max_Tokens":99999999}`,
		`{"model":"m","messages":[{"role":"user","content":"a"}],"max_to\u212aens":99999999,"\u017ftream":1}`,
		`{"model":"m","messages":[{"role":"user","content":"a"}],"max\u005ftokens":7,"max_tokens":8}`,
		`{"model":"m","messages":[{"role":"user","Content":[{"type":"image_url"}],"content":"a"}],"stream_options":null}`,
		`{"model":"m","messages":[{"role":"user","content":[{"Type":"text","type":"image_url"}]}]}`,
	} {
		f.Add([]byte(seed))
	}
	const limit = 4096
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, err := caller.ParseChat(body)
		if err != nil {
			return
		}
		tokens, err := chat.OutputLimit(limit)
		if err != nil {
			return
		}
		encoded := chat.Encode(tokens, 3)
		if got := outputLimits(t, encoded); len(got) != 1 || got[0] != int64(tokens) {
			t.Fatalf("limits %v in %s, expected %d", got, encoded, tokens)
		}
		if words := countWords(t, encoded); inventory.Tokens(words) > chat.PromptBound(0) {
			t.Fatalf("%d words, bound %d", words, chat.PromptBound(0))
		}
	})
}

// outputLimits returns the values of all keys of the outermost object that an engine could take for the output limit.
func outputLimits(t *testing.T, body []byte) (values []int64) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		t.Fatalf("%s is no object", body)
	}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			t.Fatal(err)
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			t.Fatal(err)
		}
		for _, name := range []string{"max_tokens", "max_completion_tokens"} {
			var number int64
			if strings.EqualFold(key.(string), name) && string(value) != "null" {
				if err := json.Unmarshal(value, &number); err != nil {
					t.Fatal(err)
				}
				values = append(values, number)
			}
		}
	}
	return values
}

// countWords counts the words of all message contents as the stand-in engine does.
func countWords(t *testing.T, body []byte) int {
	var request struct {
		Messages []map[string]any `json:"messages"`
	}
	if err := json.Unmarshal(body, &request); err != nil {
		t.Fatal(err)
	}
	words := 0
	for _, message := range request.Messages {
		switch content := message["content"].(type) {
		case string:
			words += len(strings.Fields(content))
		case []any:
			for _, part := range content {
				part := part.(map[string]any)
				if part["type"] != "text" {
					t.Fatalf("accepted a part of type %v", part["type"])
				}
				if text, ok := part["text"].(string); ok {
					words += len(strings.Fields(text))
				}
			}
		}
	}
	return words
}

// Guards against a stream that crashes the relay, of which the caller receives incomplete events, or that counts as
// complete without its end marker.
func FuzzRelay(f *testing.F) {
	const chunk = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
	const report = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":2}}\n\n"
	for _, seed := range []string{
		chunk + report + "data: [DONE]\n\n", chunk + "data: [DONE]\n", chunk + "data: {", "", "data: [DONE]\n\nmore",
		strings.ReplaceAll(chunk+report+"data: [DONE]\n\n", "\n", "\r\n"), "data: [DONE]\r\rdata: x\n\n", ": ping\n\n\n\ndata: [DONE]\n\n",
		// A line as long as a read buffer of 64 KiB: a reader that splits it there could take its line break for a
		// blank line.
		"data: " + strings.Repeat("x", 64<<10-6) + "\ndata: y\n", "data: x\ndata: [DONE]\n\n", "data: {\"usage\":{\"prompt_tokens\":-9e99}}\n\ndata: [DONE]\n\n",
	} {
		f.Add([]byte(seed), uint16(7))
	}
	f.Fuzz(func(t *testing.T, data []byte, split uint16) {
		synctest.Test(t, func(t *testing.T) {
			status, got := relayThroughFrontend(t, data, int(split)+1)
			expected, whole := expectedEvents(data)
			switch {
			case status != http.StatusOK:
				if expected != "" {
					t.Fatalf("status %d for %q", status, data)
				}
			case whole && got != expected:
				t.Fatalf("got %q, expected %q", got, expected)
			case !whole && !strings.HasPrefix(got, expected+"event: error\ndata: {"):
				t.Fatalf("got %q, expected %q and an error", got, expected)
			}
		})
	})
}

// expectedEvents returns the events of a stream that the caller is to receive, and whether the end marker came.
func expectedEvents(data []byte) (string, bool) {
	var out strings.Builder
	reader := &sse.Reader{Source: bytes.NewReader(data)}
	for {
		event, err := reader.Next()
		if err != nil {
			return out.String(), false
		}
		var chunk struct{ Usage *struct{} }
		if json.Unmarshal(sse.Data(event), &chunk) == nil && chunk.Usage != nil && bytes.Contains(event, []byte(`"choices":[]`)) {
			continue
		}
		out.Write(event)
		if string(sse.Data(event)) == "[DONE]" {
			return out.String(), true
		}
	}
}

// relayThroughFrontend sends a request through a front end whose backend server answers with data in chunks. It returns
// the status and body that the caller receives.
func relayThroughFrontend(t *testing.T, data []byte, chunkBytes int) (int, string) {
	f := newTestFrontend(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/v1/chat/completions":
			for rest := data; len(rest) > 0; rest = rest[min(chunkBytes, len(rest)):] {
				w.Write(rest[:min(chunkBytes, len(rest))])
				http.NewResponseController(w).Flush()
			}
		case strings.HasPrefix(r.URL.Path, "/usage/"), strings.HasPrefix(r.URL.Path, "/cancel/"):
			io.WriteString(w, `{"state":"done","prompt":1,"completion":2}`)
		default:
			http.Error(w, "no such attempt", http.StatusNotFound)
		}
	}))
	defer f.close()
	client := f.client(false)
	response, err := client.Do(newChatRequest(context.Background(), chatBody("a")))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}
