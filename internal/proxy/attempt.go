package proxy

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"citronslip/internal/delay"
)

const (
	// silenceTimeout is the time without data from a server after which the way to it is tested while a request waits for
	// its response. A partition shows in nothing else until the kernel gives the connection up.
	silenceTimeout = 400 * time.Millisecond
	// replaceInterval is the time between two tries to reserve another attempt for one on a broken way.
	replaceInterval = 100 * time.Millisecond
)

var (
	errInterrupted = errors.New("proxy: connections to the server cannot be opened, another router reaches it")
)

type (
	// attempt is a request that was sent directly and has no response yet.
	attempt struct {
		ctx       context.Context
		cancel    context.CancelCauseFunc
		replace   func() bool // Call.Replace.
		connected atomic.Bool // Whether a connection was obtained, so that the request may have been sent.
		replacing bool        // Whether replaceAttempt runs; protected by the lock of the Paths.
	}
)

func newAttempt(ctx context.Context) *attempt {
	a := &attempt{replace: callOf(ctx).Replace}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a
}

// trace returns the context with which the request is sent.
func (a *attempt) trace() context.Context {
	return httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) }})
}

// interrupted reports whether the attempt was ended so that the request goes another way.
func (a *attempt) interrupted() bool { return errors.Is(context.Cause(a.ctx), errInterrupted) }

// end releases the resources of the attempt.
func (a *attempt) end() { a.cancel(nil) }

// interrupt ends an attempt on a broken way if nothing of it was sent, or once another attempt can take its place. A
// request that was sent can still be answered: its connection may live on, or the partition end. The caller holds the lock.
func (p *Paths) interrupt(path *serverPath, a *attempt) {
	switch {
	case !a.connected.Load():
		a.cancel(errInterrupted)
	case a.replace != nil && !a.replacing:
		a.replacing = true
		go p.replaceAttempt(path, a)
	}
}

// replaceAttempt reserves an attempt that takes the place of one on a broken way, and ends the latter. It tries again while the
// way is broken and the attempt waits for its response.
func (p *Paths) replaceAttempt(path *serverPath, a *attempt) {
	for p.needsReplacement(path, a) {
		if a.replace() {
			p.endReplaced(path, a)
			return
		}
		delay.Sleep(a.ctx, replaceInterval)
	}
}

// needsReplacement reports whether an attempt waits for its response on a broken way. Otherwise its replacement ends.
func (p *Paths) needsReplacement(path *serverPath, a *attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, waits := path.attempts[a]
	a.replacing = waits && path.broken && path.confirmed && a.ctx.Err() == nil
	return a.replacing
}

// endReplaced ends an attempt that another one replaces, unless it has a response meanwhile.
func (p *Paths) endReplaced(path *serverPath, a *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, waits := path.attempts[a]; waits {
		a.cancel(errInterrupted)
	}
}

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
