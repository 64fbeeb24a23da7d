package entry

import (
	"context"
	"errors"
	"time"

	"citronslip/internal/peer"
	"citronslip/internal/ratelimit"
	"citronslip/internal/store"
	"citronslip/internal/wire"
)

const (
	// peerBusyWait is the time until the next call after another router refused one because it has too many.
	peerBusyWait = 50 * time.Millisecond
)

type (
	// peerLimits makes the limiter's calls to other routers.
	peerLimits struct {
		client *peer.Client
	}
)

// buildLimiter builds the limiter of the requests to backend servers with rate limits, and the follower of its table.
func (r *Router) buildLimiter() {
	r.limitFollower = &store.Follower{Store: r.Store, Table: ratelimit.Table, Wait: ratelimit.FeedWait, Logger: r.Logger}
	r.limiter = &ratelimit.Limiter{
		Instance: r.ledger.Instance,
		Address:  r.Settings.Peer,
		Store:    r.Store,
		Peers:    &peerLimits{r.peers},
		Members:  r.ledger.PeerAddresses,
		Running:  func(p ratelimit.Process) bool { return !r.serverRegistry.Synced() || r.pool.Runs(p) },
		Service:  r.pool.ServiceOf,
		NewsAge:  r.limitFollower.Age,
		Now:      time.Now,
		Logger:   r.Logger,
		Metrics:  r.scope.SubScope("ratelimit"),
	}
	r.limitFollower.Apply = r.limiter.Apply
}

// Take asks another router for a permit.
func (p *peerLimits) Take(ctx context.Context, address string, ask wire.RatelimitTake) (wire.RatelimitAnswer, error) {
	return answerIfBusy(p.client.TakePermit(ctx, address, ask))
}

// Report tells another router what a server's response said about its limit.
func (p *peerLimits) Report(ctx context.Context, address string, report wire.RatelimitReport) (wire.RatelimitAnswer, error) {
	return answerIfBusy(p.client.ReportRateLimit(ctx, address, report))
}

// answerIfBusy turns the refusal of a router that has too many calls into its answer that no permit is free. The router
// runs, so that it must not be replaced as the issuer.
func answerIfBusy(answer wire.RatelimitAnswer, err error) (wire.RatelimitAnswer, error) {
	var refused *peer.RPCError
	if errors.As(err, &refused) && refused.Code == peer.CodeBusy {
		return wire.RatelimitAnswer{Wait: int(peerBusyWait.Microseconds())}, nil
	}
	return answer, err
}
