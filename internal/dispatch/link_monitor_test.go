package dispatch_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"citronslip/internal/dispatch"
)

// newLinkMonitor returns a monitor whose link is full or not, with the time since the store's last answer and the
// duration of a heartbeat.
func newLinkMonitor(full bool, age, trip time.Duration) *dispatch.LinkMonitor {
	logger := zerolog.Nop()
	return &dispatch.LinkMonitor{
		Drain:  func() time.Duration { return 3 * time.Second },
		Full:   func() bool { return full },
		Choked: func() bool { return full },
		Age:    func() time.Duration { return age },
		Trip:   func() time.Duration { return trip },
		News:   func() time.Duration { return age },
		Now:    time.Now,
		Logger: &logger,
	}
}

// Guards against time limits that are exceeded by half a second because they are counted from when a request is read,
// although it waited on a full link before, and against answers that are cut before their time limit because the store was
// slow rather than the link.
func TestArrivalDelayOnFullLink(t *testing.T) {
	is := is.New(t)
	for _, trip := range []time.Duration{600 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
		delay := newLinkMonitor(true, 0, trip).ArrivalDelay()
		is.True(delay > trip-500*time.Millisecond)
		is.True(delay < trip)
	}
	is.Equal(newLinkMonitor(true, 0, 250*time.Millisecond).ArrivalDelay(), time.Duration(0))
	is.Equal(newLinkMonitor(false, 0, 400*time.Millisecond).ArrivalDelay(), time.Duration(0))
}

// Guards against reading a large body that would time out, and against refusing small ones.
func TestLargeBodiesAreRejectedOnFullLink(t *testing.T) {
	is := is.New(t)
	full, free := newLinkMonitor(true, 0, 0), newLinkMonitor(false, 0, 0)
	is.True(full.RejectsBody(5<<10) && full.RejectsBody(-1))
	is.True(!full.RejectsBody(4<<10) && !full.RejectsBody(0))
	is.True(!free.RejectsBody(5<<10) && !free.RejectsBody(-1))
}

// Guards against a request that reaches a leaving server too late because the announcement and the request queued on a
// full link, and against such refusals while only the store is unavailable.
func TestSendsAreHeldBackWhileServerUpdatesAreLate(t *testing.T) {
	is := is.New(t)
	serve := func(monitor *dispatch.LinkMonitor) (*callerResponse, int) {
		b := newTestDispatcher(func(context.Context, int, dispatch.Attempt) dispatch.Outcome { return completeAnswer("booked") })
		b.Behind = monitor.ShouldHoldSends
		return b.serve("/once/1"), len(b.sends)
	}
	a, sends := serve(newLinkMonitor(true, 1200*time.Millisecond, 700*time.Millisecond))
	is.Equal(sends, 0)
	is.Equal(a.refusal.Reason, dispatch.LinkFull)
	is.True(a.refusal.Reason.NotExecuted())
	is.Equal(a.refusal.After, dispatch.OtherHostRetryAfter)
	_, sends = serve(newLinkMonitor(true, 500*time.Millisecond, 200*time.Millisecond))
	is.Equal(sends, 1)
	_, sends = serve(newLinkMonitor(false, 5*time.Second, 700*time.Millisecond))
	is.Equal(sends, 1)
}

// Guards against sends that resume as soon as a heartbeat is answered, although the store has not answered about
// the servers since the delay.
func TestSendsResumeAfterServerUpdate(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	age, news := 2*time.Second, 3*time.Second
	monitor := newLinkMonitor(true, 0, 100*time.Millisecond)
	monitor.Age = func() time.Duration { return age }
	monitor.News = func() time.Duration { return news }
	monitor.Now = func() time.Time { return now }
	is.True(monitor.ShouldHoldSends())
	now = now.Add(500 * time.Millisecond)
	age, news = 100*time.Millisecond, 3500*time.Millisecond
	is.True(monitor.ShouldHoldSends())
	now = now.Add(300 * time.Millisecond)
	news = 50 * time.Millisecond
	is.True(!monitor.ShouldHoldSends())
}
