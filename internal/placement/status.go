package placement

import (
	"slices"
	"strings"

	"citronslip/internal/event"
)

type (
	// Status is the placement status of one service as one router sees it.
	Status struct {
		Service     string       `json:"service"`
		Leader      bool         `json:"leader"`           // Whether this router holds the lease.
		Fence       uint64       `json:"fence"`            // Fencing number of the lease.
		Reason      string       `json:"reason,omitempty"` // Why the last step compared no servers; empty if it did.
		Differences []Difference `json:"differences,omitempty"`
	}

	// Difference is one server that does not run its declared layout, or is still loading it.
	Difference struct {
		Server   string `json:"server"`
		Declared Layout `json:"declared"`
		Running  Layout `json:"running"`
		Reason   string `json:"reason"`
	}
)

// publishStatus stores the status of a step, and logs when all servers have reached their declared layouts.
func (r *Reconciler) publishStatus(observations []observation, reason string) {
	status := Status{Service: r.Service, Leader: r.holdsLease(), Fence: r.lease.row.Fence, Reason: reason}
	for _, s := range observations {
		if s.differs || s.reason == "loading" {
			status.Differences = append(status.Differences, s.difference())
		}
	}
	slices.SortFunc(status.Differences, func(a, b Difference) int { return strings.Compare(a.Server, b.Server) })
	converged := status.Leader && reason == "" && len(status.Differences) == 0
	if converged && !r.converged {
		event.PlacementReached.Log(r.Logger).Str("service", r.Service).Send()
	}
	r.converged = converged
	if r.Metrics != nil {
		r.Metrics.Gauge("differences").Update(float64(len(status.Differences)))
	}
	if r.Status != nil {
		r.Status.Store(&status)
	}
}

func (o *observation) difference() Difference {
	return Difference{
		Server:   o.server.Name,
		Declared: o.server.Layout,
		Running:  o.state.Layout,
		Reason:   o.reason,
	}
}
