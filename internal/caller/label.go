package caller

import "encoding/json"

type (
	// Label goes with each attempt to an engine, which returns it with its usage reports. A router that recovers the
	// bills of a dead one reads it.
	Label struct {
		Number  uint64   `json:"number,omitempty"` // Counter of the request at its router; 0 for a keyed request.
		Account string   `json:"account"`
		Budgets []string `json:"budgets"`
		Model   string   `json:"model"`
		Attempt int      `json:"attempt"`
	}
)

// encodeLabel returns the text of the call's encodeLabel.
func (c *call) encodeLabel() string {
	label := Label{Account: c.account.Name, Budgets: c.ruleDecision.Budgets, Model: c.record.Model, Attempt: c.attemptCount}
	if c.claim == nil {
		label.Number = c.requestNumber
	}
	text, err := json.Marshal(label)
	if err != nil {
		// Strings and numbers always encode.
		panic(err)
	}
	return string(text)
}
