package dispatch

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/event"
	"citronslip/internal/routing"
)

const (
	// mostReasons is the number of servers of which a log line tells why they do not take a request.
	mostReasons = 8
	// firstLatency is the upper bound of the first bucket of the latency histograms, which double up to about 16 s.
	firstLatency   = 4 * time.Millisecond
	latencyBuckets = 13
)

var (
	latencies = tally.MustMakeExponentialDurationBuckets(firstLatency, 2, latencyBuckets)
)

// end notes the result of the call.
func (c *call) end(result string, reason Reason) {
	c.result, c.reason = result, reason
}

// line starts a log line about the request.
func (c *call) line(e event.Event) *zerolog.Event {
	return e.Log(c.Logger).Str("request", c.request.ID)
}

// sent logs the choice of a server and what decided it.
func (c *call) sent(server *Server, choice *routing.Choice) {
	x := choice.Expected
	c.line(event.AttemptSent).Str("server", server.Name).Int64("cached", x.Cached).Int64("ahead", x.Ahead).
		Int("batch", x.Batch).Dur("load_age", x.Age).Dur("left", time.Until(c.limit())).Send()
}

// unplaced logs why no server takes the request.
func (c *call) unplaced() {
	want := c.want()
	want.Explain = &routing.Explanation{}
	if _, choice, err := c.Pool.Pick(want); err == nil {
		choice.Done(routing.Cancelled{}) // A server has come back just now; the request has its answer already.
	}
	reasons := zerolog.Arr()
	for i, candidate := range want.Explain.Candidates {
		if i == mostReasons {
			break
		}
		reasons.Str(candidate.Server + ": " + candidate.Out)
	}
	c.line(event.RequestUnplaced).Str("service", c.service).Int("candidates", len(want.Explain.Candidates)).
		Array("reasons", reasons).Send()
}

// unreached logs a send of which nothing reached the server.
func (c *call) unreached(server *Server, err error) {
	c.line(event.AttemptLost).Str("server", server.Name).Str("address", server.Address).Bool("sent", false).Err(err).Send()
}

// lost logs a send that may have run without a usable answer.
func (c *call) lost(server *Server, reset bool, err error) {
	c.line(event.AttemptLost).Str("server", server.Name).Str("address", server.Address).Bool("sent", true).Bool("reset", reset).
		Int64("events", c.events).Err(err).Send()
}

// log writes the line of the request's end.
func (c *call) log() {
	line := c.line(event.RequestEnded).Str("result", c.result).Str("code", string(c.reason)).
		Strs("servers", c.tried).Dur("took", time.Since(c.request.Arrived))
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
		line.Int64("input", p.Tokens).Int64("most", p.Most).Int64("events", c.events)
	}
	if c.began {
		line.Dur("first", c.first)
	}
	line.Send()
	c.count()
}

// count adds the request to the metrics.
func (c *call) count() {
	scope := c.Metrics.Tagged(map[string]string{"result": c.result, "reason": string(c.reason)})
	scope.Counter("requests").Inc(1)
	scope.Histogram("took", latencies).RecordDuration(time.Since(c.request.Arrived))
	if c.began {
		scope.Histogram("first", latencies).RecordDuration(c.first)
	}
}
