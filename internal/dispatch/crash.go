package dispatch

import (
	"context"
	"time"

	"citronslip/internal/crash"
	"citronslip/internal/event"
)

// isBlocked reports whether the request may not be sent because its content crashes servers.
func (c *call) isBlocked() bool {
	if c.trial {
		return false
	}
	switch decision := c.Crashes.Check(c.content).(type) {
	case crash.Blocked:
		c.retryAfter = decision.After
		return true
	case crash.Trial:
		c.trial = true
	}
	return false
}

// recordSuspect records that the request may have crashed the server.
func (c *call) recordSuspect(ctx context.Context, server *Server) {
	if ctx.Err() == nil {
		process := crash.Process{Server: server.Name, ID: server.process().String(), Address: server.Address}
		c.Crashes.AddSuspect(c.content, process, c.progressed)
		c.trial = false // Another attempt would crash another server.
	}
}

// recordAnswerBegun records that the server of the current attempt has begun to answer, or goes on with the answer.
func (c *call) recordAnswerBegun() {
	switch {
	case !c.answerBegun:
		c.answerBegun, c.answerBegunAt = true, time.Now()
		c.endWatch()
	case !c.progressed && time.Since(c.answerBegunAt) >= crash.MinProgress:
		c.recordProgress()
	}
}

// recordProgress records that the server of the current attempt survives its answer.
func (c *call) recordProgress() {
	c.progressed = true
	c.Crashes.RecordProgress(c.content)
}

// forgetAnswer prepares for the answer to another attempt.
func (c *call) forgetAnswer() { c.answerBegun, c.progressed = false, false }

// withdraw ends the current attempt because the content of the request crashes servers.
func (c *call) withdraw(server *Server, cancel context.CancelFunc) {
	event.RequestWithdrawn.Log(c.Logger).Str("request", event.ClipID(c.request.ID)).Str("server", server.Name).Strs("parts", c.content.Parts).Send()
	cancel()
}
