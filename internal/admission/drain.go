package admission

import "time"

const (
	// riseTimeConstant and fallTimeConstant are the time constants of the drain rate's moving average. The rate falls
	// slowly, so that a brief loss of capacity queues requests instead of refusing them.
	riseTimeConstant = time.Second
	fallTimeConstant = 5 * time.Second
	// newBacklogWindow is the age of a backlog up to which the drain rate is derived from the concurrency limit: the
	// rate measured before the backlog was that of the demand, not of the capacity.
	newBacklogWindow = 2 * time.Second
)

type (
	// drainMeter measures the drain rate of the queue, which is the cost granted per second.
	drainMeter struct {
		rate         float64   // Moving average, in cost per second.
		grantedCost  float64   // Cost granted since the last step.
		lastStep     time.Time // End of the last measuring interval.
		lastGrant    time.Time // Time of the last grant.
		backlogSince time.Time // Time since which the queue has not been empty; zero if it is empty.
		holdPerCost  float64   // Mean time for which a slot is held, in seconds per unit of cost.
	}
)

// step ends a measuring interval. Without a backlog the rate is not lowered, as it may be that of the demand.
func (d *drainMeter) step(now time.Time) {
	interval := now.Sub(d.lastStep)
	if interval <= 0 {
		return
	}
	if d.lastStep.IsZero() {
		d.lastStep = now
		d.grantedCost = 0
		return
	}
	rate := d.grantedCost / interval.Seconds()
	switch {
	case rate > d.rate:
		d.rate += (rate - d.rate) * averageWeight(interval, riseTimeConstant)
	case !d.backlogSince.IsZero():
		d.rate += (rate - d.rate) * averageWeight(interval, fallTimeConstant)
	}
	d.grantedCost = 0
	d.lastStep = now
}

// recordHold records how long a slot was held.
func (d *drainMeter) recordHold(cost float64, duration time.Duration) {
	holdTime := duration.Seconds() / cost
	if d.holdPerCost == 0 {
		d.holdPerCost = holdTime
	}
	d.holdPerCost += (holdTime - d.holdPerCost) * 0.05
}

// estimate returns the drain rate. Without a backlog and at the start of one, it is at least what the limit allows by
// Little's law.
func (d *drainMeter) estimate(now time.Time, slots float64) float64 {
	if d.holdPerCost > 0 && (d.backlogSince.IsZero() || now.Sub(d.backlogSince) < newBacklogWindow) {
		return max(d.rate, slots/d.holdPerCost)
	}
	return d.rate
}

// stall returns for how long no slot was granted although requests wait. A stall is expected to last as long again as
// it has lasted, so that requests are given up after half of their time instead of at their deadlines.
func (d *drainMeter) stall(now time.Time) time.Duration {
	if d.backlogSince.IsZero() {
		return 0
	}
	if d.lastGrant.After(d.backlogSince) {
		return now.Sub(d.lastGrant)
	}
	return now.Sub(d.backlogSince)
}

// averageWeight returns the weight of an interval in a moving average with the given time constant.
func averageWeight(interval, timeConstant time.Duration) float64 {
	return float64(interval) / float64(interval+timeConstant)
}
