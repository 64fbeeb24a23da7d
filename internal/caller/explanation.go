package caller

import (
	"fmt"
	"time"

	"citronslip/internal/explain"
	"citronslip/internal/routing"
	"citronslip/internal/wire"
)

// Explanation returns the wire form of a request's record.
func Explanation(record *explain.Record) wire.Explanation {
	result := wire.Explanation{
		Request:  record.Request,
		Account:  record.Account,
		Subject:  record.Model,
		Rule:     record.Rule,
		Budgets:  append([]string{}, record.Budgets...),
		Begin:    record.Begin,
		Outcome:  record.Result,
		Code:     record.Code,
		Run:      record.Run,
		Tokens:   int(record.Input + record.Output),
		Attempts: []wire.ExplanationAttempt{},
		Steps:    explanationSteps(record),
	}
	if result.Subject == "" {
		result.Subject = record.Service
	}
	if record.End != nil {
		result.End = *record.End
	}
	for i, attempt := range record.Attempts {
		result.Attempts = append(result.Attempts, wire.ExplanationAttempt{
			Number:   i + 1,
			Backend:  attempt.Server,
			Begin:    attempt.Begin,
			End:      attempt.End,
			Outcome:  attempt.Outcome,
			Reason:   choiceReason(attempt),
			Reserved: int(attempt.ReservedTokens),
			Tokens:   int(attempt.ChargedTokens),
		})
	}
	return result
}

func explanationSteps(record *explain.Record) []wire.ExplanationStep {
	result := []wire.ExplanationStep{}
	addStep := func(at time.Time, format string, args ...any) {
		result = append(result, wire.ExplanationStep{Time: at, Text: fmt.Sprintf(format, args...)})
	}
	addStep(record.Begin, "received by router %s under configuration version %d", record.Router, record.Version)
	if record.Claim != "" {
		addStep(record.Begin, "claim of the idempotency key: %s", record.Claim)
	}
	if record.QueueTime > 0 {
		addStep(record.Begin.Add(record.QueueTime), "admitted after %v in the queue", record.QueueTime)
	}
	for _, attempt := range record.Attempts {
		for _, candidate := range attempt.Candidates {
			addStep(attempt.Begin, "%s: %s", attempt.Server, describeCandidate(candidate))
		}
		if attempt.ReservationKept {
			addStep(attempt.End, "attempt %s: outcome unknown, its reservation stays at %d tokens until the backend server reports", attempt.Name, attempt.ReservedTokens)
		}
	}
	if record.Message != "" && record.End != nil {
		addStep(*record.End, "%s", record.Message)
	}
	return result
}

// choiceReason returns why a backend server was chosen over the others.
func choiceReason(attempt explain.Attempt) string {
	for _, candidate := range attempt.Candidates {
		if candidate.Server == attempt.Server {
			return fmt.Sprintf("lowest estimate of %d: %s", len(attempt.Candidates), describeCandidate(candidate))
		}
	}
	return "lowest estimate among the candidates"
}

func describeCandidate(c routing.Candidate) string {
	if c.ExclusionReason != "" {
		return fmt.Sprintf("candidate %s is out: %s", c.Server, c.ExclusionReason)
	}
	return fmt.Sprintf("candidate %s: first token in %v, gap %v, %d prompt tokens cached, %d running",
		c.Server, c.TimeToFirstToken.Round(time.Millisecond), c.TokenGap.Round(time.Millisecond), c.CachedTokens, c.Running)
}
