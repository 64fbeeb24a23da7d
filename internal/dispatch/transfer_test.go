package dispatch_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/dispatch"
	"citronslip/internal/routing"
	"citronslip/pkg/inventory"
)

// Guards against a retry that is told to fetch a prefix as its first attempt was, which may have failed because of that, and
// against donors while the engine cannot transfer.
func TestOnlyFirstAttemptsFetchPrefixes(t *testing.T) {
	for name, test := range map[string]struct {
		engine inventory.Engine
		wanted bool
	}{
		"can":    {engine: inventory.Engine{Stride: 3, Moves: true, TokenBytes: 18_432, LinkMbps: 180_000}, wanted: true},
		"cannot": {engine: inventory.Engine{Stride: 3, TokenBytes: 18_432, LinkMbps: 180_000}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var b *testDispatcher
			serve := func() {
				r := request("/stream/1")
				r.Prompt = &dispatch.Prompt{Tokens: 17_020, Most: 30, Parts: []dispatch.PromptPart{{ID: 1, Tokens: 13_300}, {ID: 2, Tokens: 3_720}}}
				b.Serve(t.Context(), r, &callerResponse{})
			}
			fetches, retries := 0, 0
			b = newPlacesDispatcher(func(_ context.Context, number int, a dispatch.Attempt) dispatch.Outcome {
				previous := b.sends[max(number-2, 0)]
				if previous.Donor != "" && previous.Request == a.Request {
					retries++
					is.Equal(a.Donor, "")
				}
				if a.Donor != "" {
					fetches++
					is.True(a.Donor != a.Server.Address)
					return dispatch.Refused{Reason: routing.ReasonBusy}
				}
				if number < 30 {
					serve() // This attempt is in flight meanwhile, so that its server is busy.
				}
				return completeAnswer(eventText(1, 2))
			})
			b.Pool.Picker.Transfers = 1
			b.Pool.Picker.Block = dispatch.PrefixBlockTokens
			b.evacuate()
			directory := *b.Directory.Load()
			directory.Services[0].Engine = &test.engine
			directory.Prepare()
			b.Directory.Store(&directory)
			serve()
			is.Equal(fetches > 0, test.wanted)
			is.Equal(retries > 0, test.wanted)
			is.True(len(b.sends) >= 30)
		})
	}
}
