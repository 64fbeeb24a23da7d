package prepaid

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"citronslip/internal/delay"
	"citronslip/internal/event"
	"citronslip/internal/store"
	"citronslip/internal/wire"
)

const (
	// minViewInterval is the minimum time between two reads of the view. In a larger fleet it is viewIntervalPerRouter
	// for each router: the size of the view grows with the fleet, and the longer interval keeps the bytes a second that
	// one router reads constant.
	minViewInterval       = 2 * time.Second
	viewIntervalPerRouter = 30 * time.Millisecond
	// memberTTLIntervals is the number of read intervals without a new heartbeat after which a router no longer counts
	// as running.
	memberTTLIntervals = 4
	// leaderTTLIntervals is the number of read intervals without a new view after which another router becomes the
	// leader.
	leaderTTLIntervals = 3
	// initialViewInterval is the mean time between two reads until there is a view. The actual time is random, from a
	// half to one and a half of it, so that routers that start together do not try to become the leader at the same
	// moment.
	initialViewInterval = 500 * time.Millisecond
)

type (
	// membership is the set of running routers according to the view.
	membership struct {
		addresses  map[string]string // By host.
		known      bool              // Whether a view was read or written.
		generation int               // Incremented with each change of the set of routers.
		lost       int               // Number of routers that do not run and may have left grants.
		view       view
	}

	// view is the state of the membership view: a row in which one router, the leader, lists the running routers, so
	// that the others need not read all heartbeat rows. The leader rewrites it in each read interval, which also shows
	// that the leader runs. The stored row and the log call the leader "keeper".
	view struct {
		leader    string                       // Instance of the leader.
		version   int64                        // Row version; 0 if there is no row.
		changedAt time.Time                    // When a new version was last read or written.
		restored  bool                         // Whether the store came back from an older copy since the row was read.
		observed  map[string]observedHeartbeat // Heartbeat rows by host; only the leader has them.
	}

	// observedHeartbeat is the version of a router's heartbeat row as the leader last read it.
	observedHeartbeat struct {
		version   int64
		changedAt time.Time // When the version changed; zero if it has not since this router became the leader.
	}
)

// count returns the number of routers, at least one.
func (m *membership) count() int { return max(len(m.addresses), 1) }

// interval returns the time between two reads of the view.
func (m *membership) interval() time.Duration {
	return max(minViewInterval, time.Duration(m.count())*viewIntervalPerRouter)
}

// setAddresses replaces the set of routers.
func (m *membership) setAddresses(addresses map[string]string) {
	if !maps.Equal(addresses, m.addresses) {
		m.generation++
	}
	m.addresses = addresses
	m.known = true
}

// leaderExpired reports whether the leader has not written the view for leaderTTLIntervals.
func (m *membership) leaderExpired(now time.Time) bool {
	return m.view.version != 0 && now.Sub(m.view.changedAt) > leaderTTLIntervals*m.interval()
}

// runMembership reads the view periodically until the context ends, and writes it while this router is the leader.
func (l *Ledger) runMembership(ctx context.Context) error {
	for ctx.Err() == nil {
		l.mu.Lock()
		interval := l.membership.interval()
		if !l.membership.known {
			interval = initialViewInterval/2 + rand.N(initialViewInterval)
		}
		l.mu.Unlock()
		delay.Sleep(ctx, interval)
		if l.readView(ctx) != nil {
			continue // The heartbeat logs an unreachable store.
		}
		if l.shouldBecomeLeader() && l.writeView(ctx, nil) != nil {
			continue
		}
		if l.IsMembershipLeader() {
			l.publishView(ctx)
		}
	}
	return nil
}

// readView reads the view row and applies it if it has changed.
func (l *Ledger) readView(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	sent := l.Now()
	result, err := l.Store.Row(ctx, viewKey)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		return err
	}
	now := l.Now()
	l.recordDirectAnswer(sent, result)
	if l.membership.view.restored {
		l.keepView(result, now)
		return nil
	}
	if len(result.Rows) == 0 || result.Rows[0].Version == l.membership.view.version {
		return nil
	}
	var stored wire.PrepaidView
	if err := store.Unpack(result.Rows[0].Value, &stored); err != nil {
		// The view is kept as it is; the leader, or the next one after leaderTTLIntervals, overwrites the row.
		event.PrepaidRowInvalid.Log(l.Logger).Str("table", membershipTable).Err(err).Send()
	} else {
		l.applyView(stored)
		if stored.Era != 0 && int64(stored.Era) < result.Era {
			l.storeStatus.restoredAt = now // No leader has written the view since.
		}
	}
	l.membership.view.version, l.membership.view.changedAt = result.Rows[0].Version, now
	return nil
}

// keepView takes over the version of a view from an older copy of the store, but not its content, which is older than what
// this router knows. The caller holds the lock.
func (l *Ledger) keepView(result store.Result, now time.Time) {
	v := &l.membership.view
	v.restored, v.version, v.changedAt = false, 0, now
	if len(result.Rows) > 0 {
		v.version = result.Rows[0].Version
	}
}

// applyView replaces the leader and the set of routers with those of a stored view. The caller holds the lock.
func (l *Ledger) applyView(stored wire.PrepaidView) {
	if stored.Keeper != l.membership.view.leader {
		l.membership.view.observed = nil
	}
	l.membership.view.leader = stored.Keeper
	if stored.Lost != nil {
		l.membership.lost = *stored.Lost
	}
	if len(stored.Routers) == 0 {
		return // A leader that knows no routers yet claims the view first and lists them with its next write.
	}
	addresses := make(map[string]string, len(stored.Routers))
	for _, r := range stored.Routers {
		addresses[r.Node] = r.Address
	}
	l.setMembers(addresses)
}

// setMembers replaces the set of routers and logs a change of their number. The caller holds the lock.
func (l *Ledger) setMembers(addresses map[string]string) {
	if len(addresses) != len(l.membership.addresses) {
		event.MemberCountChanged.Log(l.Logger).Int("before", len(l.membership.addresses)).Int("routers", len(addresses)).
			Str("keeper", l.membership.view.leader).Send()
	}
	l.membership.setAddresses(addresses)
}

// shouldBecomeLeader reports whether this router is to become the leader: there is none, it has expired, or it was the
// previous process of this router.
func (l *Ledger) shouldBecomeLeader() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := &l.membership.view
	predecessor := l.storeStatus.predecessor.Holder
	return v.version == 0 || l.membership.leaderExpired(l.Now()) || predecessor != "" && v.leader == predecessor
}

// IsMembershipLeader reports whether this router is the leader that writes the membership view.
func (l *Ledger) IsMembershipLeader() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.membership.view.leader == l.Instance && !l.membership.leaderExpired(l.Now())
}

// publishView reads the heartbeat rows of all routers and writes the view.
func (l *Ledger) publishView(ctx context.Context) {
	listCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	result, err := l.Store.List(listCtx, heartbeatTable, "")
	if err != nil {
		return // The heartbeat logs an unreachable store.
	}
	l.mu.Lock()
	addresses, lost := l.liveRouters(result.Rows)
	l.membership.lost = lost
	l.mu.Unlock()
	_ = l.writeView(ctx, addresses) // The next read shows whether this router is still the leader.
}

// liveRouters returns the addresses, by host, of the routers whose heartbeat rows have changed within memberTTLIntervals, and the
// number of the others that held grants. The caller holds the lock.
func (l *Ledger) liveRouters(rows []store.Row) (addresses map[string]string, lost int) {
	now := l.Now()
	observed := make(map[string]observedHeartbeat, len(rows))
	addresses = make(map[string]string, len(rows))
	for _, row := range rows {
		var value wire.PrepaidAlive
		if err := decode(row, &value); err != nil {
			event.PrepaidRowInvalid.Log(l.Logger).Err(err).Send()
			continue
		}
		observation, seenBefore := l.membership.view.observed[row.Name]
		_, listed := l.membership.addresses[row.Name]
		switch {
		case seenBefore && observation.version == row.Version:
		case !seenBefore && l.membership.view.observed == nil && l.membership.known && !listed:
			// The previous leader no longer counted this row's router as running.
			observation = observedHeartbeat{version: row.Version}
		default:
			observation = observedHeartbeat{version: row.Version, changedAt: now}
		}
		observed[row.Name] = observation
		switch {
		case now.Sub(observation.changedAt) >= memberTTLIntervals*l.membership.interval():
			if len(value.Accounts) > 0 {
				lost++
			}
		case value.Address != "":
			addresses[row.Name] = value.Address
		}
	}
	l.membership.view.observed = observed
	return addresses, lost
}

// writeView writes the view, provided that no other router has written it since it was read. If addresses is nil, it
// writes the known ones, which makes this router the leader.
func (l *Ledger) writeView(ctx context.Context, addresses map[string]string) error {
	l.mu.Lock()
	lost := l.membership.lost
	next := wire.PrepaidView{Keeper: l.Instance, Routers: []wire.PrepaidRouter{}, Lost: &lost, Era: int(l.storeStatus.era)}
	published := addresses
	if published == nil {
		published = l.membership.addresses
	}
	for _, node := range slices.Sorted(maps.Keys(published)) {
		next.Routers = append(next.Routers, wire.PrepaidRouter{Node: node, Address: published[node]})
	}
	expect := []store.Condition{{Key: viewKey, Version: l.membership.view.version}}
	l.mu.Unlock()
	value, err := store.Pack(next)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	sent := l.Now()
	result, err := l.Store.Write(ctx, store.Write{Expect: expect, Puts: []store.Put{{Key: viewKey, Value: value}}})
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordDirectAnswer(sent, result)
	v := &l.membership.view
	if v.leader != l.Instance {
		event.MemberListPublished.Log(l.Logger).Str("before", v.leader).Int64("version", result.Version).Send()
		v.leader, v.observed = l.Instance, nil
	}
	v.version, v.changedAt = result.Version, l.Now()
	if addresses != nil {
		l.setMembers(addresses)
	}
	return nil
}

// mayHaveLostRouters reports whether routers that do not run have left grants, or one in the membership view did not answer its last
// call: a router that is gone stays in the view of a large fleet for a while, and is then asked only after the others.
func (l *Ledger) mayHaveLostRouters() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.membership.lost > 0 || slices.ContainsFunc(l.addresses(), func(address string) bool {
		_, failed := l.peerState.failedAt[address]
		return failed
	})
}

// RouterCount returns the number of running routers by the membership view, at least one.
func (l *Ledger) RouterCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.membership.count()
}

// PeerAddresses returns the addresses of the other running routers by the membership view, or Seeds before that was
// read.
func (l *Ledger) PeerAddresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addresses()
}

// View returns the addresses that PeerAddresses returns, and whether the membership view was read and lists this router.
func (l *Ledger) View() (others []string, listed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, listed = l.membership.addresses[l.Node]
	return l.addresses(), listed
}

// KnowsMembers reports whether the membership view was read, so that PeerAddresses does not return Seeds.
func (l *Ledger) KnowsMembers() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.membership.known
}

// addresses returns the addresses of the other running routers, or Seeds. The caller holds the lock.
func (l *Ledger) addresses() []string {
	if !l.membership.known {
		return slices.Clone(l.Seeds)
	}
	var result []string
	for node, address := range l.membership.addresses {
		if node != l.Node {
			result = append(result, address)
		}
	}
	return result
}
