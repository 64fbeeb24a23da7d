package dispatch

import (
	"time"

	"github.com/rs/zerolog"

	"citronslip/internal/event"
)

// end notes the result of the call.
func (c *call) end(result string, reason Reason) {
	c.result, c.reason = result, reason
}

// line starts a log line about the request.
func (c *call) line(e event.Event) *zerolog.Event {
	return e.Log(c.Logger).Str("request", c.request.ID)
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
	c.Metrics.Tagged(map[string]string{"result": c.result}).Counter("requests").Inc(1)
}
