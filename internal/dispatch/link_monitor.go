package dispatch

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"citronslip/internal/event"
)

const (
	// maxDelayShare is the share of the drain time that the measured delays may take. The rest is for delays of the
	// next updates and requests.
	maxDelayShare = 0.5
	// maxSmallBodyBytes is the size above which a body counts as large on a full link.
	maxSmallBodyBytes = 4 << 10
	// maxUncountedDelay is the part of a heartbeat's duration that does not count as a delay of requests on a full link. The
	// store and the way back take a part of the heartbeat, and answers to requests that count as older than they are would
	// be cut early. A request may be answered half a second behind its time limit.
	maxUncountedDelay = 400 * time.Millisecond
)

type (
	// LinkMonitor detects whether updates of the backend servers and requests to them are late because the network link
	// of the host is full and packets queue on it. Set the fields before first use.
	LinkMonitor struct {
		// Drain returns the limit from the announcement that a server is leaving to its last request; zero if
		// unlimited.
		Drain  func() time.Duration
		Full   func() bool          // Whether the link is full.
		Choked func() bool          // Whether large requests would time out on it.
		Age    func() time.Duration // Time since the store last answered a call or rejected it at once.
		Trip   func() time.Duration // Duration of the last heartbeat to the store.
		News   func() time.Duration // Time since the last answer of the store about the servers.
		Now    func() time.Time
		Logger *zerolog.Logger

		mu           sync.Mutex
		lastDelayed  time.Time // When the delays last exceeded the limit.
		loggedPaused bool      // State that was last logged.
	}
)

// ArrivalDelay returns the time that requests wait on the link before they are read, by a low estimate.
func (l *LinkMonitor) ArrivalDelay() time.Duration {
	if !l.Full() {
		return 0
	}
	return max(l.Trip()-maxUncountedDelay, 0)
}

// RejectsBody reports whether a body must not be read because it would time out. The length is negative if it is
// unknown.
func (l *LinkMonitor) RejectsBody(length int64) bool {
	return (length > maxSmallBodyBytes || length < 0) && l.Choked()
}

// ShouldHoldSends reports whether sends must be held back because the announcement that a server is leaving and a
// request to that server could together take longer than the drain time. Sends resume after an answer of the store
// about the servers that is newer than the last such delay.
func (l *LinkMonitor) ShouldHoldSends() bool {
	age, trip, news, drain, full := l.Age(), l.Trip(), l.News(), l.Drain(), l.Full()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if age+trip > time.Duration(maxDelayShare*float64(drain)) {
		l.lastDelayed = now
	}
	paused := drain > 0 && full && !l.lastDelayed.IsZero() && !now.Add(-news).After(l.lastDelayed)
	if l.loggedPaused != paused {
		l.loggedPaused = paused
		event.SendsDelayed.Log(l.Logger).Bool("held", paused).Dur("store_age", age).Dur("trip", trip).Dur("news_age", news).
			Dur("drain", drain).Send()
	}
	return paused
}
