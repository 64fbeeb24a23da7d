package entry

import (
	"time"

	"citronslip/internal/memory"
	"citronslip/internal/proxy"
)

const (
	// maxInternalConns limits the connections of readiness checks, and those of readers of the metrics.
	maxInternalConns = 16
	// readinessBytes is the memory for readiness checks, which the requests of callers cannot use up.
	readinessBytes = 2 << 20

	// Limits of the listeners for readiness checks and metrics.
	internalHeaderTimeout = 3 * time.Second
	internalIdleTimeout   = time.Minute
	internalWriteTimeout  = 10 * time.Second
	internalHeaderBytes   = 16 << 10
)

type (
	// guards admit the connections of the listeners.
	guards struct {
		callers, carrier, readiness, metrics *memory.Guard
	}
)

// buildGuards creates the memory budget and the guards of the listeners, which share it. Readiness checks have a budget of their
// own, so that a crowd does not keep callers away from the router.
func (r *Router) buildGuards() {
	r.memory = &memory.Budget{Limit: memory.BudgetOf(r.Settings.Memory)}
	newGuard := func(name string, maxConns int) *memory.Guard {
		return &memory.Guard{Name: name, Budget: r.memory, MaxConns: maxConns, Logger: r.Logger, Metrics: r.scope.SubScope("memory")}
	}
	r.guards = guards{
		callers:   newGuard("callers", memory.CallerConns(r.Settings.Descriptors)),
		carrier:   newGuard("proxy", memory.CarriedConns(r.Settings.Descriptors)),
		readiness: newGuard("ready", maxInternalConns),
		metrics:   newGuard("metrics", maxInternalConns),
	}
	r.guards.readiness.Budget = &memory.Budget{Limit: readinessBytes}
	r.guards.carrier.Refusal = proxy.UnsentResponse
	r.guards.carrier.TooLarge = proxy.UnsentResponse
}
