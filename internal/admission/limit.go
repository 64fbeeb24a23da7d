package admission

import "time"

const (
	// adjustInterval is the time between two adjustments of the limit. It covers several iterations of an engine.
	adjustInterval = 500 * time.Millisecond
	// minSamples is the least number of samples that are evaluated together. Fewer would lower the limit by chance.
	minSamples = 10
	// congestedShare is the share of samples above the target beyond which the limit is lowered. It is well above the
	// share that one slow server causes, because the choice of servers avoids a slow one; the limit protects the fleet.
	congestedShare = 0.5
	// decreaseFactor and increaseFactor are the factors of one adjustment. All routers see the same congestion, so
	// equal factors keep the ratio of their limits, and routers of different sizes need no setting.
	decreaseFactor = 0.9
	increaseFactor = 1.05
	// minUtilization is the share of the limit that must be in use for it to be raised without a backlog.
	minUtilization = 0.9
)

type (
	// concurrencyLimit is a concurrency limit that adapts to the latency of the admitted requests.
	concurrencyLimit struct {
		value        float64       // Current limit, in slots.
		peakRunning  int           // Most slots in use since the last adjustment.
		firstToken   sampleCounter // Times to the first token, and refusals by busy servers.
		tokenGap     sampleCounter // Times between tokens.
		lastAdjusted time.Time     // Start of the current adjustment interval.
	}

	// sampleCounter counts the samples of one kind of latency. The kinds are counted apart so that many samples of one
	// kind do not hide a few of the other.
	sampleCounter struct {
		samples     int
		aboveTarget int
	}
)

// observe counts a latency sample against the targets.
func (l *concurrencyLimit) observe(s Sample, firstTarget, gapTarget time.Duration) {
	if s.Busy || s.First > 0 {
		l.firstToken.add(s.Busy || s.First > firstTarget)
	}
	if s.Gap > 0 {
		l.tokenGap.add(s.Gap > gapTarget)
	}
}

// adapt adjusts the limit once per adjustInterval and reports whether it was lowered. While more slots are in use than
// the limit allows, an earlier decrease has not taken full effect yet, and another one would overshoot.
func (l *concurrencyLimit) adapt(now time.Time, running int, backlog bool, minLimit, maxLimit float64) bool {
	if now.Sub(l.lastAdjusted) < adjustInterval {
		return false
	}
	l.lastAdjusted = now
	firstCongested, gapCongested := l.firstToken.congested(), l.tokenGap.congested()
	lowered := false
	switch {
	case float64(running) > l.value:
	case firstCongested || gapCongested:
		l.value = min(l.value, float64(l.peakRunning)) * decreaseFactor
		lowered = true
	case backlog || float64(l.peakRunning) >= minUtilization*l.value:
		l.value = max(l.value*increaseFactor, l.value+1)
	}
	l.value = min(max(l.value, minLimit), maxLimit)
	l.peakRunning = running
	return lowered
}

func (c *sampleCounter) add(aboveTarget bool) {
	c.samples++
	if aboveTarget {
		c.aboveTarget++
	}
}

// congested reports whether too many samples were above the target, and resets the counter. With fewer than minSamples
// samples it returns false and keeps them.
func (c *sampleCounter) congested() bool {
	if c.samples < minSamples {
		return false
	}
	result := float64(c.aboveTarget) > congestedShare*float64(c.samples)
	*c = sampleCounter{}
	return result
}
