package entry

import (
	"context"
	"errors"
	"syscall"
	"time"

	"citronslip/internal/crash"
	"citronslip/internal/dial"
	"citronslip/internal/store"
)

const (
	// crashUpdateInterval is the time between two updates of the recorded crashes.
	crashUpdateInterval = 200 * time.Millisecond
)

// buildCrashes builds the tracker of content that crashes backend servers, and the follower of its table.
func (r *Router) buildCrashes() {
	r.crashes = &crash.Tracker{
		Store:   r.Store,
		Now:     time.Now,
		Clock:   func() time.Duration { return r.ledger.StoreClock() },
		Refuses: refusesConnections,
		Members: func() []string { return r.ledger.PeerAddresses() },
		Address: r.Settings.Peer,
		Logger:  r.Logger,
		Metrics: r.scope.SubScope("crash"),
	}
	r.crashFollower = &store.Follower{
		Store: r.Store, Table: crash.Table, Apply: r.crashes.Apply, Pause: crashUpdateInterval, Logger: r.Logger,
	}
}

// refusesConnections reports whether no process listens at an address. A host that does not answer is no proof.
func refusesConnections(ctx context.Context, address string) bool {
	conn, err := dial.TCP(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
