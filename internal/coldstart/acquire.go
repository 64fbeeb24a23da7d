package coldstart

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"citronslip/internal/event"
	"citronslip/internal/ratelimit"
	"citronslip/internal/wire"
)

const (
	// askTimeout is the timeout of a call to an issuer.
	askTimeout = 100 * time.Millisecond
	// unreachableTTL is how long a router that failed to answer is not asked again.
	unreachableTTL = 2 * time.Second
	// unsupportedTTL is how long a router of an earlier release is not asked again. Its process may be replaced meanwhile.
	unsupportedTTL = 5 * time.Second
	// permitTTL is how long after its time a permit may be used.
	permitTTL = 250 * time.Millisecond
	// askBackoff is the time until the next call after no issuer answered.
	askBackoff = 200 * time.Millisecond
)

type (
	// Permit allows one request to a server. The zero value is that of a server that is not cold.
	Permit struct {
		Issued bool
		Wait   time.Duration // Time after which the request may be sent.
		end    time.Time     // When it may no longer be used.
	}
)

// Expired reports whether the permit may no longer be used. A router that was frozen with several permits would else use
// them together with those that were issued since.
func (p Permit) Expired(now time.Time) bool { return p.Issued && now.After(p.end) }

// Acquire returns a permit to send one request to the server, which may be used within maxWait. Otherwise the error is a
// *ratelimit.ExhaustedError.
func (l *Limiter) Acquire(ctx context.Context, name string, maxWait time.Duration) (Permit, error) {
	if l == nil {
		return Permit{}, nil
	}
	l.mu.Lock()
	s := l.suspects[name]
	now := l.Now()
	if s == nil || !l.coldUntil(s).After(now) {
		l.mu.Unlock()
		return Permit{}, nil
	}
	until := l.coldUntil(s)
	l.beginSlowStart(s, now, until)
	left := until.Sub(now)
	if wait := s.knownWait(now, maxWait); wait > maxWait {
		l.mu.Unlock()
		l.Metrics.Counter("refused").Inc(1)
		return Permit{}, &ratelimit.ExhaustedError{After: min(wait, left)}
	}
	ask := wire.ColdstartTake{Server: name, Rate: l.terms(s).Rate, Patience: int(min(maxWait, left).Microseconds())}
	addresses := l.issuers(name, now)
	l.mu.Unlock()
	for _, address := range addresses {
		answer, err := l.take(ctx, address, ask)
		if err != nil {
			event.ColdPermitFailed.Log(l.Logger).Str("server", name).Str("peer", address).Err(err).Send()
			continue
		}
		if !answer.Issuer {
			continue
		}
		wait := min(time.Duration(answer.Wait)*time.Microsecond, left)
		if answer.Granted {
			l.Metrics.Counter("granted").Inc(1)
			return Permit{Issued: true, Wait: wait, end: now.Add(wait + permitTTL)}, nil
		}
		l.Metrics.Counter("refused").Inc(1)
		l.recordRefusal(s, wait, time.Duration(answer.Spread)*time.Microsecond)
		return Permit{}, &ratelimit.ExhaustedError{After: max(wait, 1)}
	}
	if wait, ok, applies := l.takeAlone(s, ask, now, maxWait); applies {
		if ok {
			l.Metrics.Counter("granted").Inc(1)
			return Permit{Issued: true, Wait: min(wait, left), end: now.Add(wait + permitTTL)}, nil
		}
		l.Metrics.Counter("refused").Inc(1)
		l.recordRefusal(s, min(wait, left), 0)
		return Permit{}, &ratelimit.ExhaustedError{After: max(min(wait, left), 1)}
	}
	l.Metrics.Counter("failed").Inc(1)
	wait := min(askBackoff, left)
	l.recordRefusal(s, wait, wait)
	return Permit{}, &ratelimit.ExhaustedError{After: wait}
}

// knownWait returns the time until a permit can be free according to an earlier answer, or zero if an issuer has to be
// asked.
func (s *server) knownWait(now time.Time, maxWait time.Duration) time.Duration {
	if now.Before(s.freeAt) || maxWait == 0 && now.Before(s.retryAt) {
		return max(s.freeAt.Sub(now), 1)
	}
	return 0
}

// recordRefusal records that no permit is free for the given time, and when to ask again.
func (l *Limiter) recordRefusal(s *server, wait, spread time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.freeAt = l.Now().Add(wait)
	s.retryAt = s.freeAt
	if spread > 0 {
		s.retryAt = s.retryAt.Add(rand.N(spread))
	}
}

// take asks a router, which may be this one, for a permit. It records whether that router answers.
func (l *Limiter) take(ctx context.Context, address string, ask wire.ColdstartTake) (wire.ColdstartAnswer, error) {
	if address == l.Address {
		return l.Take(ctx, ask)
	}
	callCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := l.Peers.Take(callCtx, address, ask)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		delete(l.unreachable, address)
		delete(l.unsupported, address)
	case errors.Is(err, ErrUnsupported):
		if l.unsupported == nil {
			l.unsupported = make(map[string]time.Time)
		}
		l.unsupported[address] = l.Now()
	case ctx.Err() == nil:
		if l.unreachable == nil {
			l.unreachable = make(map[string]time.Time)
		}
		l.unreachable[address] = l.Now()
	}
	return answer, err
}

// takeAlone takes a permit that this router issues to itself, as all issuers of the server are routers of an earlier release,
// which know no permits. It returns the time until the permit may be used, whether it took one, and whether that applies.
//
// All routers together issue at most standInShare of the rate in this way. That takes the place of the issuers' permits in the
// bound, and leaves room for routers that draw their permits at the same moment, as each has a schedule of its own.
func (l *Limiter) takeAlone(s *server, ask wire.ColdstartTake, now time.Time, maxWait time.Duration) (wait time.Duration, ok, applies bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ranked := l.ranked(s.Name, now)
	for _, address := range ranked {
		if at, found := l.unsupported[address]; !found || now.Sub(at) >= unsupportedTTL {
			return 0, false, false
		}
	}
	if len(ranked) == 0 || !(ask.Rate > 0) {
		return 0, false, false
	}
	interval := time.Duration(float64(len(l.others)+1) / (standInShare * ask.Rate) * float64(time.Second))
	if s.alone == nil {
		s.alone = &schedule{next: now.Add(rand.N(interval))} // Routers that start together do not send together.
	}
	wait, ok = s.alone.take(now, maxWait, interval)
	return wait, ok, true
}
