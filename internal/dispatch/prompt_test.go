package dispatch_test

import (
	"context"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/dispatch"
)

// Guards against a router that runs out of memory because one request claims a part of very many tokens.
func TestHugePromptPartTakesLittleMemory(t *testing.T) {
	const tokens, maxBytes = 1 << 33, 1 << 20
	is := is.New(t)
	sends := 0
	b := newTestDispatcher(func(context.Context, int, dispatch.Attempt) dispatch.Outcome {
		sends++
		return dispatch.NoResponse{Err: errReset}
	})
	b.Budgets = ampleBudgets{}
	r := request("/stream/1")
	r.Prompt = &dispatch.Prompt{Tokens: 100, Most: 30, Parts: []dispatch.PromptPart{{ID: 1, Tokens: tokens}, {ID: 2, Tokens: 20}}}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.Serve(t.Context(), r, &callerResponse{})
	runtime.ReadMemStats(&after)
	is.True(sends > 0)
	if grown := after.TotalAlloc - before.TotalAlloc; grown > maxBytes {
		t.Errorf("one request allocated %d bytes", grown)
	}
}
