package caller

import "encoding/json"

type (
	// AttemptLabel is sent with each attempt to an inference engine, which returns it with its usage reports. A router
	// that recovers the bills of a failed router reads it.
	AttemptLabel struct {
		Number  uint64   `json:"number,omitempty"` // Number of the request; 0 if it has an idempotency key.
		Account string   `json:"account"`
		Budgets []string `json:"budgets"`
		Model   string   `json:"model"`
		Attempt int      `json:"attempt"`
	}
)

// encodeLabel returns the label of the call as JSON.
func (c *call) encodeLabel() string {
	label := AttemptLabel{Account: c.account.Name, Budgets: c.ruleDecision.Budgets, Model: c.record.Model, Attempt: c.attemptCount}
	if c.claim == nil {
		label.Number = c.requestNumber
	}
	text, err := json.Marshal(label)
	if err != nil {
		// Strings and numbers can always be encoded.
		panic(err)
	}
	return string(text)
}
