package router

import (
	"citronslip/internal/memory"
	"citronslip/internal/proxy"
)

const (
	bytesPerMB = 1 << 20
	// maxOperatorConns limits the connections of operators and of readers of the metrics.
	maxOperatorConns = 64
)

// buildGuards creates the memory budget and the guards of the listeners for callers and for requests of other routers,
// which share it.
func (r *Router) buildGuards() {
	r.memory = &memory.Budget{Limit: memory.BudgetOf(int64(r.Settings.Memory) * bytesPerMB)}
	r.callerGuard = &memory.Guard{
		Name:     "callers",
		Budget:   r.memory,
		MaxConns: memory.CallerConns(r.Settings.Descriptors),
		Opaque:   r.Settings.Certificate != "",
		Logger:   r.Logger,
		Metrics:  r.scope.SubScope("memory"),
	}
	r.carrierGuard = &memory.Guard{
		Name:     "proxy",
		Budget:   r.memory,
		MaxConns: memory.CarriedConns(r.Settings.Descriptors),
		Opaque:   r.Settings.Authority != "",
		Refusal:  proxy.UnsentResponse,
		TooLarge: proxy.UnsentResponse,
		Logger:   r.Logger,
		Metrics:  r.scope.SubScope("memory"),
	}
	r.operatorGuard = &memory.Guard{
		Name: "admin", Budget: r.memory, MaxConns: maxOperatorConns, Logger: r.Logger, Metrics: r.scope.SubScope("memory"),
	}
}
