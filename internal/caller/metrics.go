package caller

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"citronslip/internal/burn"
)

var (
	// firstByteBuckets are the histogram buckets of the time to the first byte of an answer.
	firstByteBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)
)

// recordMetrics counts a finished request in the burn report and in the metrics.
func (c *call) recordMetrics(end time.Time) {
	firstByteAt := c.firstByteAt
	if firstByteAt.IsZero() {
		firstByteAt = end
	}
	c.front.Burn.Observe(burn.Sample{
		Service: c.record.Service,
		Model:   c.record.Model,
		Account: c.record.Account,
		Outcome: c.serviceLevelOutcome(),
		First:   firstByteAt.Sub(c.record.Begin),
		Gap:     c.maxTokenGap,
	})
	scope := c.front.Scope
	if scope == nil {
		return
	}
	scope.Tagged(map[string]string{"result": c.record.Result, "code": c.record.Code}).Counter("requests").Inc(1)
	if c.record.Result == "answered" {
		scope.Histogram("first", firstByteBuckets).RecordDuration(firstByteAt.Sub(c.record.Begin))
	}
}

// serviceLevelOutcome classifies a request for the burn report. A refusal for lack of capacity counts against the
// service level; one for a reason that the caller can see does not.
func (c *call) serviceLevelOutcome() burn.Outcome {
	switch {
	case c.record.Result == "answered":
		return burn.Answered
	case c.record.Result == "cancelled":
		return burn.NotCounted
	case c.record.Code == CodeBudget && c.refusalStatus == http.StatusTooManyRequests:
		// Other routers have tokens of the budget, or tokens will become free soon.
		return burn.FalselyRefused
	}
	switch c.record.Code {
	case CodeCapacity, CodeBackend, CodeDeadline, CodeUnavailable, CodeClaim:
		return burn.Failed
	default:
		return burn.NotCounted
	}
}
