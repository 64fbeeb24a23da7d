package routing_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"citronslip/internal/routing"
)

// Guards against retry storms, and against repeating a call that is not idempotent and may have run.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var r routing.Retrier
		outcomes := []routing.Outcome{
			routing.Finished{}, routing.Refused{}, routing.ConnectionRefused{}, routing.Broken{}, routing.Cancelled{},
		}
		firstAttempts, retries := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"first": func(t *rapid.T) {
				for range rapid.IntRange(1, 50).Draw(t, "count") {
					r.CountFirstAttempt()
					firstAttempts++
				}
			},
			"retry": func(t *rapid.T) {
				o := rapid.SampledFrom(outcomes).Draw(t, "outcome")
				idempotent := rapid.Bool().Draw(t, "idempotent")
				wait, ok := r.Retry(o, idempotent, rapid.IntRange(1, 4).Draw(t, "attempts"))
				if !ok {
					return
				}
				retries++
				is.True(wait > 0)
				is.True(routing.NotRun(o) || idempotent)
				is.True(10*retries <= firstAttempts)
			},
		})
	})
}
