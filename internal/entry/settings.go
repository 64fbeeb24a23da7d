// Package entry runs a router on an entry host whose platform gives it a store, settings and a list of backend servers.
package entry

import "time"

type (
	// Settings are what the platform tells a router.
	Settings struct {
		Node       string
		Place      string
		Caller     string // Address for callers.
		Ready      string // Address of the readiness check.
		Peer       string // Address for other routers.
		Metrics    string // Address of the metrics; none if empty.
		Seeds      []string
		Store      string
		Memory     int64         // Bytes that the process may use.
		Bandwidth  float64       // Bytes a second of the host's link; zero if unknown.
		Grace      time.Duration // From the stop signal to the kill.
		Drain      time.Duration // From the news that a server leaves to the last request that may reach it; zero if unlimited.
		RetryRatio float64
		RetrySlack float64
		RetrySpan  time.Duration
	}
)
