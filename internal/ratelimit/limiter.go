package ratelimit

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/event"
	"citronslip/internal/rendezvous"
	"citronslip/internal/store"
	"citronslip/internal/wire"
)

const (
	// askTimeout is the timeout of a call to the issuer, relayTimeout that of such a call for another router.
	askTimeout   = 200 * time.Millisecond
	relayTimeout = 80 * time.Millisecond
	// unreachableTTL is how long a router that failed to answer is not asked again.
	unreachableTTL = 2 * time.Second
	// retryInterval is the time between two tries to write a row, askBackoff the time until the next call after one that
	// failed.
	retryInterval = 300 * time.Millisecond
	askBackoff    = 100 * time.Millisecond
	// recheckInterval is how long the issuer's answer that no permit is free is relied on. The limit may have risen or
	// ended meanwhile.
	recheckInterval = 5 * time.Second
	// reportThreshold is the relative change of a limit from which on it is reported without a request for a permit.
	reportThreshold = 0.1
)

type (
	// PeerClient is a client for calls to other routers.
	PeerClient interface {
		// Take asks for a permit.
		Take(ctx context.Context, address string, ask wire.RatelimitTake) (wire.RatelimitAnswer, error)
		// Report tells what a server's response said about its limit.
		Report(ctx context.Context, address string, report wire.RatelimitReport) (wire.RatelimitAnswer, error)
	}

	// Limiter holds the rate limits that this router knows and issues permits for some of them. Set the exported fields
	// before the first use.
	Limiter struct {
		Instance string // Identity of this process.
		Address  string // At which other routers reach it.
		Store    store.Store
		Peers    PeerClient           // The other routers.
		Members  func() []string      // Addresses of the running routers.
		Running  func(p Process) bool // Whether the process is a registered server.
		// Service returns the service of a registered server, of which all processes are brittle together. It is optional.
		Service func(server string) string
		NewsAge func() time.Duration // Time since the last answer of the store to the follower of Table.
		Now     func() time.Time
		Logger  *zerolog.Logger
		Metrics tally.Scope

		mu          sync.Mutex
		limits      map[Process]*limit
		era         int64                // Era of the store to which the versions of the rows belong.
		unreachable map[string]time.Time // When routers last failed to answer, by address.
		sound       map[Process]bool     // Processes that no longer say that they are brittle, or never have.
	}

	// limit is the state of one server process that has named a limit.
	limit struct {
		terms
		service      string               // Service of a brittle process.
		named        wire.RatelimitPermit // Latest permit whose response named the rate.
		row          issuerRow
		rowLost      bool      // Whether the store has forgotten the row, so that another router may still issue permits.
		missingSince time.Time // When the process was first found not to be registered; zero if it is.

		// The following fields are those of the issuer.
		schedule   schedule
		exposure   exposure
		issued     wire.RatelimitPermit // Latest permit that this router issued.
		fullRateAt time.Time            // When the previous issuer has certainly noticed that it was replaced.
		writing    bool                 // Whether a write of the row is in progress.
		wroteAt    time.Time            // When the last write ended.
		offline    bool                 // Whether it failed because the store did not answer.
		ended      bool                 // Whether the server no longer names a limit. The row is being removed.
		removing   bool                 // Whether a removal of the row got no answer and may still be applied.

		// The following fields are those of a router that asks for permits.
		freeAt    time.Time // Time before which no permit is free, as the issuer said.
		full      bool      // Whether that is because the process has no room.
		recheckAt time.Time // Time until which that is relied on.
		retryAt   time.Time // Time before which this router asks only for requests that can wait.
	}

	// issuerRow is the row of a limit as this router knows it.
	issuerRow struct {
		wire.RatelimitRow
		version int64 // Zero if there is no row.
	}
)

// Acquire returns a permit to send one request to the process, which may be used within maxWait. Otherwise the error is
// an *ExhaustedError.
func (l *Limiter) Acquire(ctx context.Context, p Process, maxWait time.Duration) (Permit, error) {
	l.mu.Lock()
	known := l.limits[p]
	if known == nil {
		known = l.inherit(p)
	}
	if known == nil || known.ended {
		l.mu.Unlock()
		return Permit{}, nil
	}
	now := l.Now()
	if wait := known.knownWait(now, maxWait); wait > maxWait {
		full := known.full
		l.mu.Unlock()
		l.Metrics.Counter("refused").Inc(1)
		return Permit{}, &ExhaustedError{After: wait, Full: full}
	}
	ask := wire.RatelimitTake{
		Server: p.Server, Born: int(p.Born), Rate: float64(known.rate), Brittle: float64(known.brittle), Named: known.named,
		Patience: int(maxWait.Microseconds()),
	}
	address := l.issuerAddress(p, known)
	l.mu.Unlock()
	return l.ask(ctx, p, address, ask)
}

// ask asks a router, which may be this one, for a permit and records the answer.
func (l *Limiter) ask(ctx context.Context, p Process, address string, ask wire.RatelimitTake) (Permit, error) {
	answer, err := l.take(ctx, address, ask, askTimeout)
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[p]
	switch {
	case known == nil || known.ended:
		return Permit{}, nil
	case err != nil:
		l.Metrics.Counter("failed").Inc(1)
		event.RatePermitFailed.Log(l.Logger).Str("process", p.String()).Str("peer", address).Err(err).Send()
		known.recordRefusal(l.Now(), askBackoff, 0)
		return Permit{}, &ExhaustedError{After: askBackoff}
	case answer.Ended:
		l.forget(p, "issuer")
		return Permit{}, nil
	}
	wait := time.Duration(answer.Wait) * time.Microsecond
	if answer.Granted {
		l.Metrics.Counter("granted").Inc(1)
		return Permit{id: answer.Permit, Wait: wait}, nil
	}
	l.Metrics.Counter("refused").Inc(1)
	now := l.Now()
	known.recordRefusal(now, wait, time.Duration(answer.Spread)*time.Microsecond)
	if answer.Full {
		known.full, known.freeAt, known.recheckAt = true, known.retryAt, known.retryAt
		wait = known.retryAt.Sub(now)
	}
	return Permit{}, &ExhaustedError{After: wait, Full: answer.Full}
}

// recordRefusal records that no permit is free for the given time, and when to ask again.
func (e *limit) recordRefusal(now time.Time, wait, spread time.Duration) {
	e.freeAt, e.full = now.Add(wait), false
	e.recheckAt = now.Add(min(wait, recheckInterval))
	e.retryAt = e.recheckAt
	if spread > 0 {
		e.retryAt = e.retryAt.Add(rand.N(spread))
	}
}

// take asks a router for a permit. It records whether that router answers.
func (l *Limiter) take(ctx context.Context, address string, ask wire.RatelimitTake, timeout time.Duration) (wire.RatelimitAnswer, error) {
	if address == l.Address {
		return l.Take(ctx, ask)
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := l.Peers.Take(callCtx, address, ask)
	l.recordCall(ctx, address, err)
	return answer, err
}

// recordCall records whether a router answered, unless the caller gave up first.
func (l *Limiter) recordCall(ctx context.Context, address string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		delete(l.unreachable, address)
		return
	}
	if ctx.Err() != nil {
		return
	}
	if l.unreachable == nil {
		l.unreachable = make(map[string]time.Time)
	}
	l.unreachable[address] = l.Now()
}

// knownWait returns the time until a permit can be free according to an earlier answer, or zero if the issuer has to be
// asked. The issuer hands permits out in order, so that none is free before the time that it named.
func (e *limit) knownWait(now time.Time, maxWait time.Duration) time.Duration {
	if now.Before(e.recheckAt) || maxWait == 0 && now.Before(e.retryAt) {
		return max(e.freeAt.Sub(now), 1)
	}
	return 0
}

// ExhaustedServers returns the names of the servers for which this router knows that no permit is free at present.
func (l *Limiter) ExhaustedServers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	now := l.Now()
	for p, known := range l.limits {
		if !known.ended && known.retryAt.After(now) {
			names = append(names, p.Server)
		}
	}
	return names
}

// LimitedServers returns the names of the servers that need permits, and whether the service has a brittle one, so that others
// of it may need permits as well.
func (l *Limiter) LimitedServers(service string) (names []string, brittle bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p, known := range l.limits {
		if known.ended {
			continue
		}
		names = append(names, p.Server)
		brittle = brittle || known.brittle > 0 && known.service == service
	}
	return names, brittle
}

// inherit returns the limit of a process of which nothing is known, if another process of its service is brittle. A
// process that starts while the others are brittle would else get the requests of all routers before its first response.
// The caller holds the lock.
func (l *Limiter) inherit(p Process) *limit {
	if l.Service == nil || len(l.limits) == 0 || l.sound[p] {
		return nil
	}
	service := l.Service(p.Server)
	for _, other := range l.limits {
		if other.brittle > 0 && !other.ended && other.service == service && service != "" {
			return l.learn(p, wire.RatelimitPermit{}, terms{Unlimited, other.brittle}, "service")
		}
	}
	return nil
}

// Observe records what a response says about the limits of the process. The permit is that of the request.
func (l *Limiter) Observe(p Process, permit Permit, a Announcement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.Err != nil {
		l.Metrics.Counter("invalid").Inc(1)
		event.RateLimitInvalid.Log(l.Logger).Str("process", p.String()).Err(a.Err).Send()
	}
	report := wire.RatelimitReport{
		Server: p.Server, Born: int(p.Born), Named: a.Named, Rate: float64(a.Rate), Brittle: float64(a.Brittle), Permit: permit.id,
		Rejected: a.Rejected,
	}
	isNews := false
	if a.Named {
		l.Metrics.Counter("named").Inc(1)
		isNews = l.observeNamed(p, permit.id, terms{a.Rate, a.Brittle})
	}
	known := l.limits[p]
	switch {
	case known == nil || !a.Named && a.Err != nil:
	case isNews, known.brittle > 0 && !known.ended:
		l.report(p, report)
	case !a.Named && permit.id.Number > 0 && isLater(permit.id, known.named):
		// The permit was issued after the latest response that named the limit, so this response is newer. Without a
		// permit it may be older.
		l.report(p, report)
	}
}

// observeNamed records that a response named a limit, and reports whether it is new or has changed considerably. The
// caller holds the lock.
func (l *Limiter) observeNamed(p Process, permit wire.RatelimitPermit, named terms) bool {
	known := l.limits[p]
	if known == nil && permit.Number > 0 {
		return false // The limit has ended since the permit was issued.
	}
	if known != nil && isLater(known.named, permit) && !known.ended {
		return false // A later response has named a limit already.
	}
	var before terms
	if known != nil {
		before = known.terms
	}
	known = l.learn(p, permit, named, "response")
	known.ended = known.ended && permit.Number > 0
	return known.row.version == 0 && before.rate == 0 || named.differ(before)
}

// learn sets the limit of a process, which may be new, and returns its state. The caller holds the lock.
func (l *Limiter) learn(p Process, permit wire.RatelimitPermit, named terms, source string) *limit {
	known := l.limits[p]
	if known == nil {
		if l.limits == nil {
			l.limits = make(map[Process]*limit)
		}
		known = &limit{terms: terms{rate: Unlimited}}
		l.limits[p] = known
		delete(l.sound, p)
	}
	if known.rate != named.rate {
		e := event.RateLimitNamed.Log(l.Logger).Str("process", p.String()).Float64("rate", float64(named.rate)).Str("source", source)
		if known.rate != Unlimited {
			e = e.Float64("before", float64(known.rate))
		}
		e.Send()
	}
	if known.brittle != named.brittle {
		event.ServerBrittle.Log(l.Logger).Str("process", p.String()).Float64("rejections", float64(named.brittle)).
			Float64("before", float64(known.brittle)).Str("source", source).Send()
	}
	if named.brittle > 0 && known.service == "" && l.Service != nil {
		known.service = l.Service(p.Server)
	}
	known.terms = named
	if isLater(permit, known.named) {
		known.named = permit
	}
	return known
}

// forget removes a limit. The caller holds the lock.
func (l *Limiter) forget(p Process, source string) {
	if known := l.limits[p]; known != nil {
		event.RateLimitEnded.Log(l.Logger).Str("process", p.String()).Float64("before", float64(known.rate)).
			Float64("rejections", float64(known.brittle)).Str("source", source).Send()
		delete(l.limits, p)
		if known.brittle > 0 {
			l.markSound(p)
		}
	}
}

// markSound records that a process is not brittle, until it says so. The caller holds the lock.
func (l *Limiter) markSound(p Process) {
	if l.sound == nil {
		l.sound = make(map[Process]bool)
	}
	l.sound[p] = true
}

// report tells the issuer what a response said, in the background. The caller holds the lock.
func (l *Limiter) report(p Process, report wire.RatelimitReport) {
	address := l.issuerAddress(p, l.limits[p])
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		answer, err := l.sendReport(ctx, address, report)
		l.mu.Lock()
		defer l.mu.Unlock()
		switch {
		case err != nil:
			event.RatePermitFailed.Log(l.Logger).Str("process", p.String()).Str("peer", address).Err(err).Send()
		case answer.Ended && address != l.Address:
			l.forget(p, "issuer")
		}
	}()
}

// sendReport sends a report to a router, which may be this one.
func (l *Limiter) sendReport(ctx context.Context, address string, report wire.RatelimitReport) (wire.RatelimitAnswer, error) {
	if address == l.Address {
		return l.Report(ctx, report)
	}
	answer, err := l.Peers.Report(ctx, address, report)
	l.recordCall(context.Background(), address, err)
	return answer, err
}

// issuerAddress returns the address of the router to ask: the issuer by the row, or if there is none or it does not
// answer, the running router with the highest rendezvous hash, which is the same for all routers that know the same
// ones. The caller holds the lock.
func (l *Limiter) issuerAddress(p Process, known *limit) string {
	if known.row.version != 0 && !l.isUnreachable(known.row.Address) {
		return known.row.Address
	}
	name := p.String()
	addresses := slices.DeleteFunc(append(l.Members(), l.Address), l.isUnreachable)
	return rendezvous.Highest(addresses, func(address string) uint64 { return rendezvous.Hash(address, name) })
}

// isUnreachable reports whether a router failed to answer within unreachableTTL. The caller holds the lock.
func (l *Limiter) isUnreachable(address string) bool {
	failedAt, ok := l.unreachable[address]
	return ok && l.Now().Sub(failedAt) < unreachableTTL
}
