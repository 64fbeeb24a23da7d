package hedge_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/hedge"
)

const ms = time.Millisecond

// newPolicy returns a policy and its clock.
func newPolicy(share float64) (*hedge.Policy, *time.Time) {
	now := time.Unix(1000, 0)
	return &hedge.Policy{Share: share, Now: func() time.Time { return now }}, &now
}

// Guards against hedges before anything is known of a route, a delay from old times, and hedges of requests that are late no more
// than expected.
func TestDelayIsLearnedFromRecentTimes(t *testing.T) {
	is := is.New(t)
	p, now := newPolicy(0.05)
	for i := range 19 {
		p.RecordTime("r", time.Duration(i+1)*ms)
	}
	_, ok := p.Delay("r", 0)
	is.True(!ok)
	for i := range 81 {
		p.RecordTime("r", time.Duration(i+20)*ms)
	}
	delay, ok := p.Delay("r", 0)
	is.True(ok)
	is.Equal(delay, 95*ms)
	delay, _ = p.Delay("r", 80*ms)
	is.Equal(delay, 160*ms)
	for range 100 {
		p.RecordTime("fast", ms)
	}
	delay, _ = p.Delay("fast", 0)
	is.Equal(delay, 20*ms)
	_, ok = p.Delay("other", 0)
	is.True(!ok)
	*now = now.Add(3 * time.Minute)
	_, ok = p.Delay("r", 0)
	is.True(!ok)
}

// Guards against a delay that falls because the slow attempts are given up for their hedges.
func TestCutAttemptsKeepDelay(t *testing.T) {
	is := is.New(t)
	p, _ := newPolicy(0.1)
	for i := range 200 {
		if i%20 == 19 {
			p.RecordCut("r", 60*ms)
			p.RecordCut("r", 5*ms) // Its caller left before it was late.
			continue
		}
		p.RecordTime("r", time.Duration(20+i%20)*ms)
	}
	delay, _ := p.Delay("r", 0)
	is.True(delay >= 36*ms && delay <= 60*ms)
}

// Guards against a limit that does not hold over a window, or that lets unused hedges add up over windows.
func TestShareHoldsOverWindow(t *testing.T) {
	is := is.New(t)
	p, now := newPolicy(0.05)
	sent := 0
	for range 10 * 60 {
		*now = now.Add(100 * ms)
		p.CountRequest()
		if p.Take() {
			sent++
		}
	}
	is.True(sent >= 28 && sent <= 30)
	*now = now.Add(5 * time.Minute)
	for range 19 {
		p.CountRequest()
	}
	is.Equal(p.Check(hedge.Attempt{}), hedge.Share)
	is.True(!p.Take())
	p.CountRequest()
	is.True(p.Take())
	is.True(!p.Take())
}

// Guards against hedges to a full or unknown server, to one that is slower than the rest of the first attempt, and after rejections.
func TestHedgeNeedsRoomAndGain(t *testing.T) {
	is := is.New(t)
	p, now := newPolicy(0.1)
	for range 100 {
		p.CountRequest()
	}
	for i := range 100 {
		p.RecordTime("r", time.Duration(i+1)*ms)
	}
	a := hedge.Attempt{Route: "r", Service: "s", Age: 90 * ms, Left: time.Second}
	c := hedge.Candidate{LoadAge: ms, Free: 1, Expected: 5 * ms}
	is.Equal(p.Check(a), hedge.Reason(""))
	is.Equal(p.Compare(a, c), hedge.Reason(""))
	c.Expected = 6 * ms // The times beyond 90 ms are on average 5.5 ms longer.
	is.Equal(p.Compare(a, c), hedge.Slower)
	a.Age = 200 * ms // Nothing of the kind is known, so that it may take as long again.
	c.Expected = 190 * ms
	is.Equal(p.Compare(a, c), hedge.Reason(""))
	a.Left = 300 * ms
	is.Equal(p.Compare(a, c), hedge.Deadline)
	c.Free = 0
	is.Equal(p.Compare(a, c), hedge.NoServer)
	c.Free, c.LoadAge = 1, 3*time.Second
	is.Equal(p.Compare(a, c), hedge.NoServer)
	p.RecordRejection("other")
	is.Equal(p.Check(a), hedge.Reason(""))
	p.RecordRejection("s")
	is.Equal(p.Check(a), hedge.Rejections)
	*now = now.Add(time.Second)
	is.Equal(p.Check(a), hedge.Reason(""))
}
