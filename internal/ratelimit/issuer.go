package ratelimit

import (
	"context"
	"time"

	"citronslip/internal/wire"
)

const (
	// Lease is the time after which a router that no longer receives changes of Table counts itself as replaced. Until
	// then it issues permits at the full rate.
	Lease = 10 * time.Second
	// unconfirmedShare is the share of the limit at which a router issues permits while another one may issue some as
	// well: an issuer after its lease, its successor during that time, and the home router of a process if it cannot
	// write the row. Together with the full rate of one issuer it stays well below one and a half times the limit.
	unconfirmedShare = 1.0 / 3
	// isolatedShare is the share of the limit that all routers together have which reach neither an issuer nor the home
	// router of a process.
	isolatedShare = 0.1
	// rowWait is the time until the next try that a router is told while the row of the issuer is being written.
	rowWait = 20 * time.Millisecond
)

// Take issues a permit, asks the issuer for one, or becomes the issuer if there is none that answers. The error is that
// of the context.
func (l *Limiter) Take(ctx context.Context, ask wire.RatelimitTake) (wire.RatelimitAnswer, error) {
	p := Process{Server: ask.Server, Born: int64(ask.Born)}
	l.mu.Lock()
	if l.limits[p] == nil && l.sound[p] && ask.Brittle > 0 && ask.Named.Number == 0 {
		l.mu.Unlock()
		return wire.RatelimitAnswer{Ended: true}, ctx.Err()
	}
	known := l.learnAsked(p, ask)
	if !ask.Relayed && l.hasOtherIssuer(known) {
		address := known.row.Address
		l.mu.Unlock()
		ask.Relayed = true
		if answer, err := l.take(ctx, address, ask, relayTimeout); err == nil {
			return answer, nil
		}
		l.mu.Lock()
		known = l.learnAsked(p, ask)
	}
	defer l.mu.Unlock()
	return l.issue(p, known, time.Duration(ask.Patience)*time.Microsecond), ctx.Err()
}

// hasOtherIssuer reports whether another router is the issuer and may answer. The caller holds the lock.
func (l *Limiter) hasOtherIssuer(known *limit) bool {
	return known.row.version != 0 && known.row.Address != l.Address && !l.isUnreachable(known.row.Address)
}

// learnAsked returns the state of a limit that another router asks about. The caller holds the lock.
func (l *Limiter) learnAsked(p Process, ask wire.RatelimitTake) *limit {
	known := l.limits[p]
	if known != nil && isLater(known.named, ask.Named) {
		return known
	}
	return l.learn(p, ask.Named, terms{Rate(ask.Rate), Rate(ask.Brittle)}, "router")
}

// issue issues a permit if this router is the issuer or has to stand in for it. Otherwise it starts to become the
// issuer. The caller holds the lock.
func (l *Limiter) issue(p Process, known *limit, maxWait time.Duration) wire.RatelimitAnswer {
	if known.ended {
		return wire.RatelimitAnswer{Ended: true}
	}
	if known.row.Issuer != l.Instance {
		if l.hasOtherIssuer(known) {
			return refusal(rowWait, rowWait)
		}
		l.claim(p, known)
		if !known.offline {
			return refusal(rowWait, rowWait)
		}
	}
	now := l.Now()
	rejections := brittleShare * l.share(p, known, now) * known.brittle
	if known.brittle > 0 {
		if wait, full := known.exposure.take(now, rejections); wait > 0 {
			l.Metrics.Counter("withheld").Inc(1)
			return fullRefusal(wait, known.exposure.spread(rejections), full)
		}
		if _, isPaced := known.exposure.rate(now, known.brittle); isPaced {
			maxWait = 0
		}
	}
	interval := l.interval(p, known, now)
	wait, ok := known.schedule.take(now, maxWait, interval)
	if !ok {
		return fullRefusal(wait, known.schedule.spread(interval), known.brittle > 0)
	}
	known.issued = known.nextPermit(known.row.Issuer == l.Instance)
	if known.brittle > 0 {
		known.exposure.add(known.issued, now.Add(wait))
	}
	return wire.RatelimitAnswer{Granted: true, Permit: known.issued, Wait: int(wait.Microseconds())}
}

// nextPermit returns a permit that is later than all that are known.
func (e *limit) nextPermit(isIssuer bool) wire.RatelimitPermit {
	last := e.issued
	if isLater(e.named, last) {
		last = e.named
	}
	if isIssuer && int(e.row.version) > last.Epoch {
		last = wire.RatelimitPermit{Epoch: int(e.row.version)}
	}
	last.Number++
	return last
}

// refusal returns the answer that no permit is free for the given time.
func refusal(wait, spread time.Duration) wire.RatelimitAnswer {
	return wire.RatelimitAnswer{Wait: int(wait.Microseconds()), Spread: int(spread.Microseconds())}
}

// fullRefusal returns the answer that no permit is free for the given time, and whether the process has no room.
func fullRefusal(wait, spread time.Duration, isFull bool) wire.RatelimitAnswer {
	if isFull {
		wait = max(wait, minFullWait)
	}
	answer := refusal(wait, spread)
	answer.Full = isFull
	return answer
}

// interval returns the time between two permits of this router. The caller holds the lock.
func (l *Limiter) interval(p Process, known *limit, now time.Time) time.Duration {
	rate := known.rate
	if known.brittle > 0 {
		pace, _ := known.exposure.rate(now, known.brittle)
		rate = min(rate, pace)
	}
	share := l.share(p, known, now)
	if known.brittle > 0 && share < unconfirmedShare {
		rate = min(rate, known.brittle) // The isolated routers do not know of each other's rejections.
	}
	return (share * rate).Interval()
}

// share returns the share of the limit that this router has. The caller holds the lock.
func (l *Limiter) share(p Process, known *limit, now time.Time) Rate {
	switch {
	case known.row.Issuer != l.Instance:
		return l.standInShare(p)
	case now.Before(known.fullRateAt), l.NewsAge() > Lease, known.removing:
		return unconfirmedShare
	default:
		return 1
	}
}

// standInShare returns the share of the limit that this router has while it is not the issuer and reaches none. The
// caller holds the lock.
func (l *Limiter) standInShare(p Process) Rate {
	members := append(l.Members(), l.Address)
	if l.isHome(p, members) {
		return unconfirmedShare
	}
	return isolatedShare / Rate(len(members))
}

// Report records what another router learned from a response. The answer says whether the limit has ended.
func (l *Limiter) Report(ctx context.Context, report wire.RatelimitReport) (wire.RatelimitAnswer, error) {
	p := Process{Server: report.Server, Born: int64(report.Born)}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[p]
	isNew := report.Named && report.Permit.Number == 0
	if known != nil && known.brittle > 0 {
		if report.Rejected {
			l.Metrics.Counter("rejected").Inc(1)
		}
		known.exposure.settle(report.Permit, report.Rejected, l.Now(), known.brittle)
	}
	switch {
	case known == nil && !isNew:
		return wire.RatelimitAnswer{Ended: true}, ctx.Err()
	case report.Named:
		l.recordNamed(p, report, isNew)
		return wire.RatelimitAnswer{Ended: l.limits[p].ended}, ctx.Err()
	case !isLater(report.Permit, known.named):
	case known.row.version == 0:
		l.forget(p, "router")
		return wire.RatelimitAnswer{Ended: true}, ctx.Err()
	case known.row.Issuer == l.Instance:
		known.ended = true
		l.remove(p, known)
	}
	return wire.RatelimitAnswer{Ended: known.ended}, ctx.Err()
}

// recordNamed records that a response named a limit, which isNew if the request was sent without a permit. The caller
// holds the lock.
func (l *Limiter) recordNamed(p Process, report wire.RatelimitReport, isNew bool) {
	if known := l.limits[p]; known != nil && isLater(known.named, report.Permit) && !known.ended {
		return
	}
	known := l.learn(p, report.Permit, terms{Rate(report.Rate), Rate(report.Brittle)}, "router")
	known.ended = known.ended && !isNew
	l.keepRow(p, known)
	if known.row.version == 0 && l.isHome(p, append(l.Members(), l.Address)) {
		l.claim(p, known)
	}
}
