package dispatch

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/event"
	"citronslip/internal/routing"
	"citronslip/pkg/inventory"
)

const (
	// maxLoggedReasons is the number of servers for which a log line tells why they do not accept a request.
	maxLoggedReasons = 8
	// firstLatencyBound is the upper bound of the first bucket of the latency histograms. The bounds double up to about
	// 16 s.
	firstLatencyBound  = 4 * time.Millisecond
	latencyBucketCount = 13
)

var (
	latencyBuckets = tally.MustMakeExponentialDurationBuckets(firstLatencyBound, 2, latencyBucketCount)
)

// setResult records the result of the request.
func (c *call) setResult(result string, reason Reason) {
	c.result, c.reason = result, reason
}

// logEvent starts a log line about the request.
func (c *call) logEvent(e event.Event) *zerolog.Event {
	return e.Log(c.Logger).Str("request", event.ClipID(c.request.ID))
}

// logSent logs the selected server and the estimates that led to the selection.
func (c *call) logSent(server *Server, donor *inventory.BackendServer, choice *routing.Choice) {
	estimate := choice.Expected
	line := c.logEvent(event.AttemptSent)
	if donor != nil {
		line.Str("donor", donor.Name).Int64("fetched", estimate.Fetched)
	}
	line.Str("server", server.Name).Str("software", server.Software).Int64("cached", estimate.Cached).Int64("ahead", estimate.Ahead).
		Int("batch", estimate.Batch).Dur("load_age", estimate.Age).Float64("work", estimate.WorkTime).Dur("left", time.Until(c.deadline())).Send()
}

// logNoServerAvailable logs why no server accepts the request.
func (c *call) logNoServerAvailable() {
	request := c.routingRequest()
	request.Exclude = c.exhaustedServers()
	request.Explain = &routing.Explanation{}
	if _, choice, err := c.Pool.Pick(request); err == nil {
		// A server has become available meanwhile, but the request is already being refused.
		choice.Done(routing.Cancelled{})
	}
	reasons := zerolog.Arr()
	for i, candidate := range request.Explain.Candidates {
		if i == maxLoggedReasons {
			break
		}
		reasons.Str(candidate.Server + ": " + candidate.ExclusionReason)
	}
	c.logEvent(event.NoServerAvailable).Str("service", c.service).Int("candidates", len(request.Explain.Candidates)).
		Array("reasons", reasons).Send()
}

// logNotSent logs an attempt of which nothing reached the server.
func (c *call) logNotSent(server *Server, err error) {
	c.logEvent(event.AttemptLost).Str("server", server.Name).Str("address", server.Address).Bool("sent", false).Err(err).Send()
}

// logWithheld logs that the request was not sent to a server, see NotSent.Withheld, so that another one is picked.
func (c *call) logWithheld(server *Server, err error) {
	c.Metrics.Counter("withheld").Inc(1)
	c.logEvent(event.AttemptWithheld).Str("server", server.Name).Str("place", server.Place).Err(err).Send()
}

// logNoResponse logs an attempt that may have been executed and got no usable response.
func (c *call) logNoResponse(server *Server, reset bool, err error) {
	c.logEvent(event.AttemptLost).Str("server", server.Name).Str("address", server.Address).Bool("sent", true).Bool("reset", reset).
		Int64("events", c.events).Strs("parts", c.request.Prompt.sharedParts()).Err(err).Send()
}

// logRequest logs the end of the request and records its metrics.
func (c *call) logRequest() {
	line := c.logEvent(event.RequestEnded).Str("result", c.result).Str("code", string(c.reason)).
		Strs("servers", c.triedServers).Dur("took", time.Since(c.request.Arrived))
	if c.result == "caller left" || c.result == "aborted" {
		line.Str("peer", c.request.Peer)
	}
	if c.directory != nil {
		line.Int64("version", c.directory.Version)
	}
	if c.route != nil {
		line.Str("route", c.route.Name).Str("service", c.service)
	}
	if c.account != nil {
		line.Str("account", c.account.Name)
	}
	if p := c.request.Prompt; p != nil {
		line.Int64("input", p.Tokens).Int64("most", p.Most).Int64("events", c.events).Strs("parts", p.sharedParts())
	}
	if c.responseStarted {
		line.Dur("first", c.timeToFirstByte)
	}
	if c.request.LastEvent != "" {
		line.Str("resumes", c.request.Resumes).Str("last", c.request.LastEvent)
	}
	line.Send()
	c.recordMetrics()
}

// recordMetrics adds the request to the metrics.
func (c *call) recordMetrics() {
	scope := c.Metrics.Tagged(map[string]string{"result": c.result, "reason": string(c.reason)})
	scope.Counter("requests").Inc(1)
	scope.Histogram("took", latencyBuckets).RecordDuration(time.Since(c.request.Arrived))
	if c.responseStarted {
		scope.Histogram("first", latencyBuckets).RecordDuration(c.timeToFirstByte)
	}
}
