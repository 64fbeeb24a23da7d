package evacuation

import (
	"context"
	"sync"
	"time"

	"citronslip/internal/delay"
)

const (
	// minStandstill is the time without processor time from which on requests wait for the next answer about evacuations. The
	// store holds a call for at most 4 s, so that its answer has arrived meanwhile if the store is reached.
	minStandstill = 4 * time.Second
	// maxAnswerWait is the longest wait for that answer, answerPollInterval the time between two checks.
	maxAnswerWait      = time.Second
	answerPollInterval = 5 * time.Millisecond
)

type (
	// Standstill makes requests wait after the process, or its host, has stood still, until it has heard of the evacuations
	// again: what it knows may be older than the time in which an evacuation takes effect. Set the exported fields before the
	// first use. The nil Standstill never waits.
	Standstill struct {
		Age func() time.Duration // Time since the last answer of the store or another router about evacuations.
		Now func() time.Time

		mu        sync.Mutex
		seenAt    time.Time // When the process last ran; zero before the first observation.
		resumedAt time.Time // End of the last standstill; zero if there was none.
	}
)

// Run observes that the process runs until the context ends. It always returns nil.
func (s *Standstill) Run(ctx context.Context) error {
	for delay.Sleep(ctx, expireInterval) {
		s.observe()
	}
	return nil
}

// observe records that the process runs, and returns the end of the last standstill.
func (s *Standstill) observe() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	if !s.seenAt.IsZero() && now.Sub(s.seenAt) >= minStandstill {
		s.resumedAt = now
	}
	s.seenAt = now
	return s.resumedAt
}

// Wait returns once the store or another router has answered since the last standstill, maxAnswerWait after it, or when the
// context ends.
func (s *Standstill) Wait(ctx context.Context) {
	if s == nil {
		return
	}
	resumed := s.observe()
	for s.awaits(resumed) && delay.Sleep(ctx, answerPollInterval) {
	}
}

// Waiting reports whether Wait would wait now.
func (s *Standstill) Waiting() bool { return s != nil && s.awaits(s.observe()) }

// awaits reports whether an answer about evacuations is awaited since the end of a standstill; zero if there was none.
func (s *Standstill) awaits(resumed time.Time) bool {
	if resumed.IsZero() {
		return false
	}
	since := s.Now().Sub(resumed)
	return since < maxAnswerWait && s.Age() >= since
}
