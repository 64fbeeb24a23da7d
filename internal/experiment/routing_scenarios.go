package experiment

import "time"

type (
	// RoutingScenario is a scenario: properties of the servers and the load, and an event after a sixth of the measured
	// time. The zero value has servers of equal speed, the default load and no event.
	RoutingScenario struct {
		Name   string
		Spread float64       // Speed of the fastest server relative to the slowest; equal speeds if zero.
		Late   time.Duration // Delay of the load reports.
		Dead   float64       // Fraction of the servers that die at the event.
		Leave  float64       // Fraction of the servers that leave at the event.
		Slow   float64       // Factor by which the speed of one server is multiplied at the event; no change if zero.
		// Burst is the additional load of one account for 10 s from the event, relative to the fleet's capacity.
		Burst  float64
		Urgent float64 // Fraction of the requests with priority 1.
		Load   float64 // Load relative to the remaining capacity after the event; 0.8 if zero.
	}
)

// RoutingScenarios returns the default scenarios.
func RoutingScenarios() []RoutingScenario {
	return []RoutingScenario{
		{Name: "even"},
		{Name: "spread 1 to 4", Spread: 4},
		{Name: "reports 5 s late", Late: 5 * time.Second},
		{Name: "third lost", Dead: 1.0 / 3},
		{Name: "sixth leaving", Leave: 1.0 / 6},
		{Name: "one slow", Slow: 0.2},
		{Name: "burst 3x", Burst: 3, Load: 0.5},
		{Name: "priorities", Urgent: 0.2},
	}
}

// load returns Load, or its default.
func (r *RoutingScenario) load() float64 {
	if r.Load == 0 {
		return 0.8
	}
	return r.Load
}

// enough reports whether the capacity suffices for all requests: a burst exceeds it.
func (r *RoutingScenario) enough() bool {
	return r.Burst == 0
}
