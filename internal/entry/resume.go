package entry

import (
	"context"
	"time"

	"citronslip/internal/peer"
	"citronslip/internal/resume"
	"citronslip/internal/store"
	"citronslip/internal/wire"
)

const (
	// maxCurrentAge is the age of the store's last answer from which on it is not asked for news of servers. Heartbeats are
	// answered twice a second.
	maxCurrentAge = 700 * time.Millisecond
	// refreshTimeout bounds the question to the store for news of servers.
	refreshTimeout = 300 * time.Millisecond
	// refreshSpacingPerRouter bounds these questions to a thousand a second for the whole fleet.
	refreshSpacingPerRouter = time.Millisecond
)

type (
	// peerStreams makes the calls to other routers about streams.
	peerStreams struct {
		client *peer.Client
	}
)

// buildStreams builds the tracker of the software versions of streams.
func (r *Router) buildStreams() {
	servers := &store.Refresher{
		Store: r.Store, Follower: r.serverFollower, Named: r.versions, Timeout: refreshTimeout,
		Spacing: func() time.Duration { return time.Duration(r.ledger.RouterCount()) * refreshSpacingPerRouter },
	}
	r.streams = &resume.Tracker{
		Members: r.ledger.PeerAddresses,
		Joined:  r.ledger.KnowsMembers,
		Peers:   &peerStreams{r.peers},
		Store:   r.Store,
		Current: func(ctx context.Context) bool {
			return r.ledger.StoreAge() < maxCurrentAge && servers.Refresh(ctx)
		},
		Leads:      r.ledger.IsMembershipLeader,
		StoreClock: r.ledger.StoreClock,
		Now:        time.Now,
		Logger:     r.Logger,
		Metrics:    r.scope.SubScope("resume"),
	}
}

// keepForPeer keeps records of streams for another router.
func (r *Router) keepForPeer(_ context.Context, records wire.ResumeRecords) (wire.ResumeAck, error) {
	return r.streams.Keep(records), nil
}

// findForPeer answers the question of another router about a stream.
func (r *Router) findForPeer(ctx context.Context, query wire.ResumeQuery) (wire.ResumeAnswer, error) {
	return r.streams.Answer(ctx, query), nil
}

// Keep hands records of streams to another router.
func (p *peerStreams) Keep(ctx context.Context, address string, records wire.ResumeRecords) (wire.ResumeAck, error) {
	return p.client.KeepRecords(ctx, address, records)
}

// Find asks another router which software version began a stream.
func (p *peerStreams) Find(ctx context.Context, address string, query wire.ResumeQuery) (wire.ResumeAnswer, error) {
	return p.client.FindStream(ctx, address, query)
}
