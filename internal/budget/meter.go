package budget

import (
	"math"
	"time"

	"citronslip/pkg/inventory"
)

const (
	// demandWindow is the time constant of the moving average.
	demandWindow = 10 * time.Minute
	// minDemandWindow is the shortest time over which demand is averaged, so that a first request does not look like a
	// burst.
	minDemandWindow = time.Minute
)

type (
	// demandMeter is an exponentially weighted moving average of demand.
	demandMeter struct {
		start       time.Time        // First observation.
		updated     time.Time        // Last observation.
		lastDemand  inventory.Tokens // Cumulative demand at the last observation.
		weightedSum float64          // Weighted sum of the demand in tokens.
	}
)

// observe adds the increase of the cumulative demand since the last call.
func (m *demandMeter) observe(now time.Time, demand inventory.Tokens) {
	if m.start.IsZero() {
		m.start, m.updated = now, now
	}
	m.weightedSum *= math.Exp(-max(0, now.Sub(m.updated).Seconds()) / demandWindow.Seconds())
	m.weightedSum += float64(max(0, demand-m.lastDemand))
	m.lastDemand = demand
	m.updated = now
}

// rate returns the demand in tokens per second. The divisor corrects for the missing weights before the first
// observation.
func (m *demandMeter) rate() float64 {
	window := demandWindow.Seconds()
	elapsed := m.updated.Sub(m.start).Seconds()
	weight := window * (1 - math.Exp(-elapsed/window))
	return m.weightedSum / max(minDemandWindow.Seconds(), weight)
}
