// Package entry runs a router on an entry host, a host that accepts the requests of callers. The host's platform
// provides the store, the settings and the list of backend servers.
package entry

import (
	"time"

	"citronslip/internal/coldstart"
)

type (
	// Settings are the settings that the platform gives to a router.
	Settings struct {
		Node    string   // Name of the router; unique in the fleet.
		Place   string   // Data centre.
		Caller  string   // Listen address for callers.
		Ready   string   // Listen address for readiness checks.
		Peer    string   // Listen address for other routers.
		Metrics string   // Listen address for metrics; none if empty.
		Proxy   string   // Listen address for requests of other routers to backend servers; none if empty.
		Seeds   []string // Peer addresses of other routers, possibly outdated.
		Store   string   // Address of the store.
		Memory  int64    // Bytes that the process may use; zero if unlimited.
		// Descriptors is the number of file descriptors that the process may open; zero if unlimited.
		Descriptors int
		Bandwidth   float64       // Bytes per second of the host's network link; zero if unknown.
		Grace       time.Duration // Time from the stop signal to the kill.
		// Drain is the limit from the announcement that a server is leaving to its last request; zero if unlimited.
		Drain time.Duration
		// ConfigApply is the limit from the store's confirmation of a configuration until it is in effect; zero if there is none.
		ConfigApply time.Duration
		RetryRatio  float64       // Retries per request, for all routers together.
		RetrySlack  float64       // Retries beyond the ratio in a window, for all routers together.
		RetrySpan   time.Duration // Window of the ratio and the slack.
		// Hedge is the largest share of the requests that may be hedged; no request is if it is zero.
		Hedge float64
		// ColdBound bounds the requests to a cold server in any second, for all routers together; zero if unlimited.
		ColdBound coldstart.Bound
		// Evacuations is whether the operator may evacuate data centres, Regions the region of each data centre; nil if home
		// regions do not apply.
		Evacuations bool
		Regions     map[string]string
		// Transfers limits the transfers of cached prefixes between backend servers, as a share of the requests that could use one;
		// none if zero.
		Transfers float64
	}
)
