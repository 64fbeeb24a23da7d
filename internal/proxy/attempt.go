package proxy

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	// silenceTimeout is the time without data from a server after which the way to it is tested while a request waits for
	// its response. A partition shows in nothing else until the kernel gives the connection up.
	silenceTimeout = 400 * time.Millisecond
)

var (
	errInterrupted = errors.New("proxy: connections to the server cannot be opened, another router reaches it")
)

type (
	// attempt is a request that was sent directly and has no response yet.
	attempt struct {
		ctx       context.Context
		cancel    context.CancelCauseFunc
		repeat    bool        // Whether the request may be executed more than once.
		connected atomic.Bool // Whether a connection was obtained, so that the request may have been sent.
	}
)

func newAttempt(ctx context.Context) *attempt {
	a := &attempt{repeat: callOf(ctx).Repeat}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a
}

// trace returns the context with which the request is sent.
func (a *attempt) trace() context.Context {
	return httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) }})
}

// interrupt ends the attempt if another router may send the request: if nothing was sent, or it may be repeated.
func (a *attempt) interrupt() {
	if a.repeat || !a.connected.Load() {
		a.cancel(errInterrupted)
	}
}

// interrupted reports whether interrupt ended the attempt.
func (a *attempt) interrupted() bool { return errors.Is(context.Cause(a.ctx), errInterrupted) }

// end releases the resources of the attempt.
func (a *attempt) end() { a.cancel(nil) }

// watch has the way to a server tested if nothing arrives from it while the attempt waits for a response, and interrupts the
// attempt if the way is broken and another router reaches the server. The result ends the watch.
func (p *Paths) watch(a *attempt, address string) (done func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.servers[address]
	if path == nil {
		return func() {}
	}
	if path.attempts == nil {
		path.attempts = make(map[*attempt]struct{})
	}
	path.attempts[a] = struct{}{}
	// The tests of a large fleet are spread, since a server that ended is silent for all routers at the same moment.
	wait := silenceTimeout + p.spread()
	timer := time.AfterFunc(wait, func() { p.suspectSilent(address) })
	return func() {
		timer.Stop()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(path.attempts, a)
	}
}

// suspectSilent has the way to a server tested if nothing has arrived from it for silenceTimeout.
func (p *Paths) suspectSilent(address string) {
	p.mu.Lock()
	path := p.servers[address]
	silent := path != nil && p.Now().Sub(path.contactAt) >= silenceTimeout
	p.mu.Unlock()
	if silent {
		p.suspect(address)
	}
}
