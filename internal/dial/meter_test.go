package dial_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/dial"
)

// Guards against a host that keeps taking connections while its link is full, and against one that turns away and takes
// them by turns.
func TestFullLink(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	m := &dial.Meter{Bandwidth: 1_250_000, Now: func() time.Time { return now }}
	play := func(rate int, span time.Duration) (full bool) {
		for range int(span / (100 * time.Millisecond)) {
			m.Count(rate/10, rate/50)
			now = now.Add(100 * time.Millisecond)
			full = m.Full()
		}
		return full
	}
	is.True(!play(500_000, 5*time.Second))
	is.True(!m.Choked())
	is.True(play(1_200_000, 3*time.Second))
	is.True(m.Choked())
	is.True(play(700_000, 10*time.Second)) // Not yet free.
	is.True(!play(200_000, 6*time.Second))
}

// Guards against a busy caller that returns to a host which it has filled before as soon as that host is ready again.
func TestFilledLinkStaysOut(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	m := &dial.Meter{Bandwidth: 1_250_000, Now: func() time.Time { return now }}
	play := func(rate int, span time.Duration) (filled bool) {
		for range int(span / (100 * time.Millisecond)) {
			m.Count(rate/10, rate/50)
			now = now.Add(100 * time.Millisecond)
			filled = m.Filled()
		}
		return filled
	}
	is.True(!play(500_000, 5*time.Second))
	is.True(play(1_200_000, 3*time.Second))
	is.True(play(100_000, 50*time.Second))
	is.True(!m.Full()) // Sends need not be held back any more.
	is.True(!play(100_000, 15*time.Second))
}

// Guards against a link of unknown bandwidth that counts as full.
func TestUnknownLinkIsNeverFull(t *testing.T) {
	is := is.New(t)
	m := &dial.Meter{Now: time.Now}
	m.Count(1<<30, 1<<30)
	is.True(!m.Full())
}
