package caller

import (
	"context"
	"net/http"

	"citronslip/internal/event"
	"citronslip/internal/routing"
)

// sameSoftware reports whether two processes certainly run the same software version: both name it, or they are one
// process that does not.
func (p ServerProcess) sameSoftware(other ServerProcess) bool {
	if p.Software != "" || other.Software != "" {
		return p.Software == other.Software
	}
	return p.Start != "" && p.Start == other.Start
}

// runsOtherSoftware reports whether the process that answers an attempt must not continue the stream, because it does not
// run the software version that began it. The process may have been replaced since its server was picked.
func (c *chatCall) runsOtherSoftware(a *attempt) bool {
	return c.headerSent && a.process.Software != c.routingRequest.Software
}

// rejectContinuation gives up an attempt whose server runs another software version than the stream needs. No event of
// it was sent to the caller.
func (c *chatCall) rejectContinuation(ctx context.Context, a *attempt) attemptResult {
	server := a.choice.Server.Name
	event.SoftwareDiffers.Log(c.front.Logger).Str("request", c.requestID).Str("server", server).
		Str("software", a.process.Software).Str("needed", c.routingRequest.Software).Send()
	c.holdAttempt(ctx, a, routing.Cancelled{}, HeldAttempt{Cancel: true})
	message := "backend server " + server + " runs another software version than the one that began the stream"
	return failed{outcome: routing.Broken{}, refusal: newUnknownRunRefusal(http.StatusBadGateway, CodeBackend, message)}
}

// noServerRuns reports whether no server that a request may use runs the software version that it needs. A request that
// needs no particular one has an empty version.
func (c *call) noServerRuns(request *routing.Request) bool {
	return request.Software != "" && !c.front.Picker.RunsSoftware(request)
}

func noSoftwareRefusal(software string) *Refusal {
	message := "no backend server runs the software version " + software + " that began the stream"
	return newUnknownRunRefusal(http.StatusBadGateway, CodeBackend, message)
}
