package inventory

import "fmt"

type (
	// Finding is one error in an inventory.
	Finding struct {
		Position
		Text     string `json:"text"`  // What is wrong.
		Fix      string `json:"mend"`  // How to fix it.
		Accepted string `json:"range"` // Which values are accepted.
	}
)

// String formats the finding as one line, preceded by its position if that is known.
func (f Finding) String() string {
	text := fmt.Sprintf("%s; %s (accepted: %s)", f.Text, f.Fix, f.Accepted)
	if f.File == "" {
		return text
	}
	return fmt.Sprintf("%s:%d: %s", f.File, f.Line, text)
}
