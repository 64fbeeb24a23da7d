package entry

import (
	"context"
	"errors"
	"time"

	"citronslip/internal/coldstart"
	"citronslip/internal/dispatch"
	"citronslip/internal/peer"
	"citronslip/internal/wire"
)

type (
	// peerColdPermits makes the calls for permits of cold servers to other routers.
	peerColdPermits struct {
		client *peer.Client
	}
)

// buildCold builds the limiter of the requests to cold backend servers.
func (r *Router) buildCold() {
	r.cold = &coldstart.Limiter{
		Address:   r.Settings.Peer,
		Peers:     &peerColdPermits{r.peers},
		View:      r.ledger.View,
		NewsAge:   r.ledger.StoreAge,
		Terms:     r.coldTerms,
		SlowStart: r.pool.Picker.SlowStartFrom,
		Now:       time.Now,
		Logger:    r.Logger,
		Metrics:   r.scope.SubScope("coldstart"),
	}
}

// coldTerms returns the cold start of a service.
func (r *Router) coldTerms(service string) coldstart.Terms {
	directory := r.directory.Load()
	if directory == nil {
		return coldstart.Terms{}
	}
	s := directory.Service(service)
	if s == nil {
		return coldstart.Terms{}
	}
	return coldstart.Terms{Duration: s.ColdStart, Rate: s.ColdRate}.Limit(r.activeSettings.Load().ColdBound)
}

// observeCold tells the limiter of cold servers of a new set of servers.
func (r *Router) observeCold(servers []dispatch.Server) {
	list := make([]coldstart.Server, 0, len(servers))
	for i := range servers {
		s := &servers[i]
		list = append(list, coldstart.Server{
			Name: s.Name, Service: s.Service, Place: s.Place, Born: s.Born, Remaining: s.Cold, Row: s.Row,
		})
	}
	r.cold.Observe(list)
}

// Take asks another router for a permit. The refusal of one that has too many calls is an answer: it runs, so that no
// other router must stand in for it.
func (p *peerColdPermits) Take(ctx context.Context, address string, ask wire.ColdstartTake) (wire.ColdstartAnswer, error) {
	answer, err := p.client.TakeColdPermit(ctx, address, ask)
	if errors.Is(err, peer.ErrUnsupported) {
		return answer, coldstart.ErrUnsupported
	}
	var refused *peer.RPCError
	if errors.As(err, &refused) && refused.Code == peer.CodeBusy {
		return wire.ColdstartAnswer{Issuer: true, Wait: int(peerBusyWait.Microseconds())}, nil
	}
	return answer, err
}
