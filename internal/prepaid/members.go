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
	// memberInterval is the least time between two readings of the view, memberSpacing the time for each router in it. Both
	// the view and its readers grow with the fleet; the spacing keeps the bytes that one router reads the same.
	memberInterval = 2 * time.Second
	memberSpacing  = 30 * time.Millisecond
	// memberLife is the number of readings in which a row has not changed after which its router no longer counts.
	memberLife = 4
	// viewLife is the number of readings without a new view after which another router becomes the keeper.
	viewLife = 3
	// firstInterval is the time between two readings until there is a view. The random half of it keeps routers that start
	// together from claiming the view together.
	firstInterval = 500 * time.Millisecond
)

type (
	// members are the routers that run, as the view tells.
	members struct {
		addresses  map[string]string // By host.
		whole      bool
		generation int // Grows with each change of the set of routers.
		view       view
	}

	// view is the row in which one router, the keeper, tells the others who runs, so that not each of them has to read the
	// rows of all. The keeper writes it anew with each of its readings, which shows it alive.
	view struct {
		keeper  string // Instance.
		version int64
		changed time.Time            // When a new version was last read or written.
		seen    map[string]heartbeat // By host; only the keeper has it.
	}

	// heartbeat is a router's row as the keeper saw it.
	heartbeat struct {
		version int64
		changed time.Time // Zero for a row that did not change since this router became the keeper.
	}
)

// count returns the number of routers, at least one.
func (m *members) count() int { return max(len(m.addresses), 1) }

// interval returns the time between two readings of the view.
func (m *members) interval() time.Duration {
	return max(memberInterval, time.Duration(m.count())*memberSpacing)
}

// adopt takes over the set of routers.
func (m *members) adopt(addresses map[string]string) {
	if !maps.Equal(addresses, m.addresses) {
		m.generation++
	}
	m.addresses = addresses
	m.whole = true
}

// silent reports whether the keeper has not written the view for too long.
func (m *members) silent(now time.Time) bool {
	return m.view.version != 0 && now.Sub(m.view.changed) > viewLife*m.interval()
}

// followMembers reads the view again and again, and writes it while this router is its keeper.
func (l *Ledger) followMembers(ctx context.Context) error {
	for ctx.Err() == nil {
		l.mu.Lock()
		interval := l.members.interval()
		if !l.members.whole {
			interval = firstInterval/2 + rand.N(firstInterval)
		}
		l.mu.Unlock()
		delay.For(ctx, interval)
		if l.readView(ctx) != nil {
			continue // The heartbeat logs a store that is away.
		}
		if l.claims() && l.writeView(ctx, nil) != nil {
			continue
		}
		if l.Keeper() {
			l.tell(ctx)
		}
	}
	return nil
}

// readView reads the view.
func (l *Ledger) readView(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	sent := l.Now()
	result, err := l.Store.Row(ctx, viewKey)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		return err
	}
	now := l.Now()
	l.contact.answered(sent, now, result.Clock, l.Started)
	if len(result.Rows) == 0 || result.Rows[0].Version == l.members.view.version {
		return nil
	}
	var told wire.PrepaidView
	if err := store.Unpack(result.Rows[0].Value, &told); err != nil {
		// Another keeper writes it anew once this version is old.
		event.PrepaidRow.Log(l.Logger).Str("table", viewTable).Err(err).Send()
	} else {
		l.takeView(told)
	}
	l.members.view.version, l.members.view.changed = result.Rows[0].Version, now
	return nil
}

// takeView takes over what a keeper tells. The caller holds the lock.
func (l *Ledger) takeView(told wire.PrepaidView) {
	if told.Keeper != l.members.view.keeper {
		l.members.view.seen = nil
	}
	l.members.view.keeper = told.Keeper
	addresses := make(map[string]string, len(told.Routers))
	for _, r := range told.Routers {
		addresses[r.Node] = r.Address
	}
	l.noteMembers(addresses)
}

// noteMembers takes over the set of routers and logs a change of their number. The caller holds the lock.
func (l *Ledger) noteMembers(addresses map[string]string) {
	if len(addresses) != len(l.members.addresses) {
		event.MembersRead.Log(l.Logger).Int("before", len(l.members.addresses)).Int("routers", len(addresses)).
			Str("keeper", l.members.view.keeper).Send()
	}
	l.members.adopt(addresses)
}

// claims reports whether this router is to become the keeper: there is none, it has fallen silent, or it was the process
// before this one.
func (l *Ledger) claims() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := &l.members.view
	before := l.contact.before.Holder
	return v.version == 0 || l.members.silent(l.Now()) || before != "" && v.keeper == before
}

// Keeper reports whether this router tells the others who runs.
func (l *Ledger) Keeper() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.members.view.keeper == l.Instance && !l.members.silent(l.Now())
}

// tell reads the rows of all routers and writes the view.
func (l *Ledger) tell(ctx context.Context) {
	listing, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	result, err := l.Store.List(listing, aliveTable, "")
	if err != nil {
		return // The heartbeat logs a store that is away.
	}
	l.mu.Lock()
	addresses := l.judge(result.Rows)
	l.mu.Unlock()
	_ = l.writeView(ctx, addresses) // The next reading shows whether this router is still the keeper.
}

// judge returns the routers whose rows were seen to change lately. The caller holds the lock.
func (l *Ledger) judge(rows []store.Row) map[string]string {
	now := l.Now()
	seen := make(map[string]heartbeat, len(rows))
	addresses := make(map[string]string, len(rows))
	for _, row := range rows {
		var alive wire.PrepaidAlive
		if err := decode(row, &alive); err != nil {
			event.PrepaidRow.Log(l.Logger).Err(err).Send()
			continue
		}
		h, known := l.members.view.seen[row.Name]
		_, told := l.members.addresses[row.Name]
		switch {
		case known && h.version == row.Version:
		case !known && l.members.view.seen == nil && l.members.whole && !told:
			// The keeper before took this row's router for gone.
			h = heartbeat{version: row.Version}
		default:
			h = heartbeat{version: row.Version, changed: now}
		}
		seen[row.Name] = h
		if alive.Address != "" && now.Sub(h.changed) < memberLife*l.members.interval() {
			addresses[row.Name] = alive.Address
		}
	}
	l.members.view.seen = seen
	return addresses
}

// writeView writes the view on condition that no other router has. Without addresses it holds those that are known, to claim
// it.
func (l *Ledger) writeView(ctx context.Context, addresses map[string]string) error {
	l.mu.Lock()
	next := wire.PrepaidView{Keeper: l.Instance, Routers: []wire.PrepaidRouter{}}
	told := addresses
	if told == nil {
		told = l.members.addresses
	}
	for _, node := range slices.Sorted(maps.Keys(told)) {
		next.Routers = append(next.Routers, wire.PrepaidRouter{Node: node, Address: told[node]})
	}
	expect := []store.Expect{{Key: viewKey, Version: l.members.view.version}}
	l.mu.Unlock()
	value, err := store.Pack(next)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	sent := l.Now()
	result, err := l.Store.Write(ctx, store.Write{Expect: expect, Puts: []store.Put{{Key: viewKey, Value: value}}})
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contact.answered(sent, l.Now(), result.Clock, l.Started)
	v := &l.members.view
	if v.keeper != l.Instance {
		event.KeeperTaken.Log(l.Logger).Str("before", v.keeper).Int64("version", result.Version).Send()
		v.keeper, v.seen = l.Instance, nil
	}
	v.version, v.changed = result.Version, l.Now()
	if addresses != nil {
		l.noteMembers(addresses)
	}
	return nil
}

// Routers returns the number of routers that the store shows alive.
func (l *Ledger) Routers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.members.count()
}

// Addresses returns the addresses of the other routers.
func (l *Ledger) Addresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addresses()
}

func (l *Ledger) addresses() []string {
	if !l.members.whole {
		return slices.Clone(l.Seeds)
	}
	var result []string
	for node, address := range l.members.addresses {
		if node != l.Node {
			result = append(result, address)
		}
	}
	return result
}
