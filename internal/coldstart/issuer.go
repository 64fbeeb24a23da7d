package coldstart

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"citronslip/internal/rendezvous"
	"citronslip/internal/wire"
)

const (
	// Lease is the time without an answer of the store after which a router no longer issues permits at the full rate,
	// as others may no longer count it as running.
	Lease = 10 * time.Second
	// minSettleTime and settleTimePerRouter give the time for which a router must have been listed, and the first by
	// rendezvous hashing, before it issues permits at the full rate. It covers the time in which all routers read a change
	// of the membership view, which is read less often in a large fleet.
	minSettleTime       = 15 * time.Second
	settleTimePerRouter = 90 * time.Millisecond
	// viewTTL is the time for which the view is not looked at again.
	viewTTL = 100 * time.Millisecond
	// standInShare is the share of the rate at which a router issues permits while another one may issue some as well.
	// At most maxStandIns routers do at the same time: the second of an unchanged view, the first of a changed one, and
	// one that is no longer listed.
	standInShare = 1.0 / 3
	maxStandIns  = 3
	// minRate is the lowest rate that Terms.Limit chooses, rateStep its factor from one attempt to the next.
	minRate  = 0.01
	rateStep = 0.95
	// maxSpread is the longest time over which refused routers spread their next tries.
	maxSpread = 3 * time.Second
	// issuerCount is the number of routers that may issue permits for a server: the first and the second by rendezvous
	// hashing.
	issuerCount = 2
)

type (
	// schedule spaces the permits of one issuer evenly. Unused permits do not accumulate.
	schedule struct {
		next    time.Time // When the next permit is free.
		usedAt  time.Time // When this router was last asked.
		refused int       // Number of refusals since the last permit.
	}
)

// Take issues a permit if this router is one of the issuers of the server. The error is that of the context.
func (l *Limiter) Take(ctx context.Context, ask wire.ColdstartTake) (wire.ColdstartAnswer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	share := l.share(ask.Server, now)
	if share == 0 || !(ask.Rate > 0) || math.IsInf(ask.Rate, 0) {
		return wire.ColdstartAnswer{}, ctx.Err()
	}
	rate := ask.Rate
	if s := l.servers[ask.Server]; s != nil {
		if t := l.terms(s); t.Rate > 0 {
			rate = min(rate, t.Rate)
		}
	}
	if l.schedules == nil {
		l.schedules = make(map[string]*schedule)
	}
	s := l.schedules[ask.Server]
	if s == nil {
		s = &schedule{}
		l.schedules[ask.Server] = s
	}
	interval := time.Duration(float64(time.Second) / (share * rate))
	wait, ok := s.take(now, time.Duration(ask.Patience)*time.Microsecond, interval)
	answer := wire.ColdstartAnswer{Issuer: true, Granted: ok, Wait: int(wait.Microseconds())}
	if ok {
		l.Metrics.Counter("issued").Inc(1)
		return answer, ctx.Err()
	}
	answer.Spread = int(min(time.Duration(s.refused-1)*interval, maxSpread).Microseconds())
	return answer, ctx.Err()
}

// take takes the next permit and returns the time until it may be used. If that exceeds maxWait, it takes none.
func (s *schedule) take(now time.Time, maxWait, interval time.Duration) (wait time.Duration, ok bool) {
	s.usedAt = now
	wait = max(s.next.Sub(now), 0)
	if wait > maxWait {
		s.refused++
		return wait, false
	}
	s.next = now.Add(wait + interval)
	s.refused = 0
	return wait, true
}

// share returns the share of the rate at which this router issues permits for a server, zero if it issues none. Routers
// may disagree about the view, so only one that has been the first for the whole settling time has all of it. The caller
// holds the lock.
func (l *Limiter) share(name string, now time.Time) float64 {
	others := l.followView(now)
	if l.listedSince.IsZero() {
		return 0
	}
	own := l.weight(l.Address, name)
	isHigher := func(address string) bool { return l.weight(address, name) > own }
	isFirst := !slices.ContainsFunc(others, isHigher)
	if now.Sub(l.listedSince) >= settleTime(len(others)+1) {
		higher := 0
		for address := range l.seen {
			if isHigher(address) {
				higher++
			}
		}
		switch {
		case higher == 0:
			return 1
		case higher < issuerCount:
			return standInShare
		}
	}
	if isFirst {
		return standInShare
	}
	return 0
}

// followView records the running routers and returns the others. After Lease without an answer of the store this router counts
// as newly listed. The caller holds the lock.
func (l *Limiter) followView(now time.Time) []string {
	if age := now.Sub(l.refreshedAt); age >= 0 && age < viewTTL {
		return l.others
	}
	others, listed := l.View()
	if l.seen == nil {
		l.seen = make(map[string]time.Time)
	}
	settle := settleTime(len(others) + 1)
	for _, address := range others {
		l.seen[address] = now
	}
	maps.DeleteFunc(l.seen, func(_ string, at time.Time) bool { return now.Sub(at) > settle })
	switch {
	case !listed:
		l.listedSince = time.Time{}
	case l.listedSince.IsZero(), l.NewsAge() > Lease, now.Sub(l.refreshedAt) > Lease:
		l.listedSince = now
	}
	l.refreshedAt, l.others = now, others
	return others
}

// settleTime returns the time after which all routers of a fleet have read a change of the membership view.
func settleTime(routers int) time.Duration {
	return max(minSettleTime, time.Duration(routers)*settleTimePerRouter)
}

// issuers returns the addresses of the routers that may issue permits for a server and that are not known to be
// unreachable or of an earlier release, the first by rendezvous hashing first. The caller holds the lock.
func (l *Limiter) issuers(name string, now time.Time) []string {
	return slices.DeleteFunc(l.ranked(name, now), func(address string) bool {
		failedAt, ok := l.unreachable[address]
		unsupportedAt, unsupported := l.unsupported[address]
		return ok && now.Sub(failedAt) < unreachableTTL || unsupported && now.Sub(unsupportedAt) < unsupportedTTL
	})
}

// ranked returns the addresses of the routers that may issue permits for a server, the first by rendezvous hashing first.
// The caller holds the lock.
func (l *Limiter) ranked(name string, now time.Time) []string {
	addresses := l.followView(now)
	if !l.listedSince.IsZero() {
		addresses = append(slices.Clip(addresses), l.Address)
	}
	ranked := rendezvous.Rank(addresses, func(address string) uint64 { return l.weight(address, name) })
	return ranked[:min(len(ranked), issuerCount)]
}

func (l *Limiter) weight(address, name string) uint64 { return rendezvous.Hash(address, "cold", name) }
