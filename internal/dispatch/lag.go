package dispatch

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"citronslip/internal/event"
)

const (
	// heldPart is the part of the drain time that known delays may take. The rest is for what comes in the way of the next
	// news and requests.
	heldPart = 0.5
	// largeBody is the size in bytes from which on a body is too large for a link without room.
	largeBody = 4 << 10
)

type (
	// Lag judges how late this host sees and sends while its link is full, since packets queue on the link then. Set the
	// fields before first use.
	Lag struct {
		Drain  func() time.Duration // From the news that a server leaves to the last request that may reach it; zero if unlimited.
		Full   func() bool          // Whether the link is full.
		Choked func() bool          // Whether large requests would time out on it.
		Age    func() time.Duration // Time since the store last answered or turned a call away at once.
		Trip   func() time.Duration // How long the last heartbeat to the store took.
		News   func() time.Duration // Time since the last answer of the store about the servers.
		Now    func() time.Time
		Logger *zerolog.Logger

		mu     sync.Mutex
		late   time.Time // When news and sends last took too long.
		behind bool      // As last logged.
	}
)

// Arrival returns how long requests wait on the link before they are read.
func (l *Lag) Arrival() time.Duration {
	if !l.Full() {
		return 0
	}
	return l.Trip()
}

// Rejects reports whether a body of a length, or of none that is known, is to be left unread because it would time out.
func (l *Lag) Rejects(length int64) bool {
	return (length > largeBody || length < 0) && l.Choked()
}

// Behind reports whether the news of a leaving server and a request to it could take longer than the drain time together,
// so that sends have to be held back. They go on once there is news of the servers from after that.
func (l *Lag) Behind() bool {
	age, trip, news, drain, full := l.Age(), l.Trip(), l.News(), l.Drain(), l.Full()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if age+trip > time.Duration(heldPart*float64(drain)) {
		l.late = now
	}
	behind := drain > 0 && full && !l.late.IsZero() && !now.Add(-news).After(l.late)
	if l.behind != behind {
		l.behind = behind
		event.SendsHeld.Log(l.Logger).Bool("held", behind).Dur("store_age", age).Dur("trip", trip).Dur("news_age", news).
			Dur("drain", drain).Send()
	}
	return behind
}
