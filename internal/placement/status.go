package placement

import (
	"slices"
	"strings"

	"citronslip/internal/event"
)

type (
	// Status is what status shows of one service's placement.
	Status struct {
		Service     string       `json:"service"`
		Leader      bool         `json:"leader"`           // Whether this router holds the lease.
		Fence       uint64       `json:"fence"`            // Fencing number of the lease.
		Reason      string       `json:"reason,omitempty"` // Why nothing is compared.
		Differences []Difference `json:"differences,omitempty"`
	}

	// Difference is one server that does not run what is declared.
	Difference struct {
		Server   string `json:"server"`
		Declared Layout `json:"declared"`
		Running  Layout `json:"running"`
		Reason   string `json:"reason"`
	}
)

// publish stores the status of a step.
func (r *Reconciler) publish(servers []observed, reason string) {
	status := Status{Service: r.Service, Leader: r.holds(), Fence: r.lease.row.Fence, Reason: reason}
	for _, s := range servers {
		if s.differs || s.reason == "loading" {
			status.Differences = append(status.Differences, s.difference())
		}
	}
	slices.SortFunc(status.Differences, func(a, b Difference) int { return strings.Compare(a.Server, b.Server) })
	reached := status.Leader && reason == "" && len(status.Differences) == 0
	if reached && !r.reached {
		event.PlacementReached.Log(r.Logger).Str("service", r.Service).Send()
	}
	r.reached = reached
	if r.Metrics != nil {
		r.Metrics.Gauge("differences").Update(float64(len(status.Differences)))
	}
	if r.Status != nil {
		r.Status.Store(&status)
	}
}

func (s *observed) difference() Difference {
	return Difference{
		Server:   s.server.Name,
		Declared: s.server.Layout,
		Running:  s.state.Layout,
		Reason:   s.reason,
	}
}
