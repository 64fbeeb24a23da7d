package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"citronslip/internal/delay"
	"citronslip/internal/event"
	"citronslip/internal/ratelimit"
)

const (
	// maxCarriedWait is the longest time that a request of another router waits for a permit. If it could not wait at all,
	// it would be refused beyond the time of the next permit, over which routers spread their tries.
	maxCarriedWait = 10 * time.Millisecond
)

var (
	// ErrNotCarried is returned when a request of another router may not be sent to its server at present.
	ErrNotCarried = errors.New("dispatch: request of another router not sent")
	// ErrWithheld is returned when a request of another router is not sent since the data centre of its server is evacuated.
	ErrWithheld = errors.New("dispatch: request of another router not sent to an evacuated data centre")
)

type (
	// PauseError is returned when a server wants no requests from this router for a time.
	PauseError struct {
		After time.Duration // Time until it accepts requests again.
	}

	// Carried is the permission to send one request of another router, which keeps all other decisions about it.
	Carried struct {
		dispatcher *Dispatcher
		server     *Server
		permit     permit
		permitted  bool // Whether the other router has a permit, and reports the outcome to its issuer.
	}
)

// Error implements error.
func (e *PauseError) Error() string {
	return fmt.Sprintf("dispatch: the server wants no requests for %v", e.After)
}

// Carry decides whether a request of another router may be sent to the server at an address. What servers ask of a
// router holds for such requests as well: a server sees only from which router they come. Unless the other router has a
// permit, Carry obtains one if the server has a rate limit or is cold. Its error is a *PauseError or wraps ErrNotCarried or
// ErrWithheld.
func (d *Dispatcher) Carry(ctx context.Context, address string, permit bool) (*Carried, error) {
	if d.Behind != nil && d.Behind() {
		return nil, fmt.Errorf("%w: %s", ErrNotCarried, LinkFull)
	}
	server, leaving := d.Pool.at(address)
	if server == nil || leaving {
		return nil, fmt.Errorf("%w: no server at %s, or it is leaving", ErrNotCarried, address)
	}
	d.Standstill.Wait(ctx)
	switch {
	case !d.Pool.knowsEvacuations():
		return nil, fmt.Errorf("%w: %s", ErrNotCarried, NotReady) // Another router may send it.
	case d.Pool.Withholds(address):
		return nil, ErrWithheld
	}
	if wait := d.Pool.Picker.BusyTime(server.Name); wait > 0 {
		return nil, &PauseError{After: wait}
	}
	carried := &Carried{dispatcher: d, server: server, permitted: permit}
	if permit {
		return carried, nil
	}
	var err error
	carried.permit, err = d.acquire(ctx, server, maxCarriedWait)
	var exhausted *ratelimit.ExhaustedError
	switch {
	case errors.As(err, &exhausted):
		return nil, &PauseError{After: exhausted.After}
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrNotCarried, err)
	}
	delay.Sleep(ctx, carried.permit.wait())
	if d.Pool.Withholds(address) {
		return nil, ErrWithheld
	}
	return carried, nil
}

// Observe records what the head of the response says about the server.
func (c *Carried) Observe(outcome Outcome) {
	d := c.dispatcher
	switch o := outcome.(type) {
	case Refused:
		if o.Misdirected {
			return
		}
		c.observe(o.Leaving, o.Limit)
		d.Cold.RecordResponse(c.server.Name, o.Cold)
		d.Pool.ReportLoad(c.server, o.Load)
		d.Pool.BackOff(c.server, o.After)
	case Answered:
		c.observe(o.Leaving, o.Limit)
		d.Cold.RecordResponse(c.server.Name, o.Cold)
		d.Pool.ReportLoad(c.server, o.Load)
		d.Pool.BackOff(c.server, o.Rest)
	case NotSent, NoResponse:
	}
}

func (c *Carried) observe(leaving bool, limit ratelimit.Announcement) {
	if leaving {
		event.ServerLeaving.Log(c.dispatcher.Logger).Str("server", c.server.Name).Int64("born", c.server.Born).Send()
		c.dispatcher.Pool.MarkLeaving(c.server)
	}
	if !c.permitted {
		c.dispatcher.Limits.Observe(c.server.process(), c.permit.limit, limit)
	}
}
