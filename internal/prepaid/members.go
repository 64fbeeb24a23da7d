package prepaid

import (
	"context"
	"maps"
	"slices"
	"time"

	"citronslip/internal/delay"
	"citronslip/internal/event"
	"citronslip/internal/wire"
)

const (
	// memberInterval is the least time between two readings of the other routers' rows, memberSpacing the time for each row.
	// Both the rows and their readers grow with the fleet; the spacing keeps the bytes that one router reads the same.
	memberInterval = 2 * time.Second
	memberSpacing  = 30 * time.Millisecond
	// memberLife is the number of readings in which a row has not changed after which its router no longer counts.
	memberLife = 4
)

type (
	// members are the routers that the store shows alive.
	members struct {
		rows       map[string]member
		whole      bool
		generation int // Grows with each change of the set of routers.
	}

	member struct {
		wire.PrepaidAlive
		version int64
		changed time.Time
	}
)

// count returns the number of routers, at least one.
func (m *members) count() int { return max(len(m.rows), 1) }

// interval returns the time between two readings of the rows.
func (m *members) interval() time.Duration {
	return max(memberInterval, time.Duration(m.count())*memberSpacing)
}

// followMembers reads the rows of all routers again and again.
func (l *Ledger) followMembers(ctx context.Context) error {
	for ctx.Err() == nil {
		l.readMembers(ctx)
		l.mu.Lock()
		interval := l.members.interval()
		l.mu.Unlock()
		delay.For(ctx, interval)
	}
	return nil
}

// readMembers reads the rows of all routers.
func (l *Ledger) readMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	sent := l.Now()
	result, err := l.Store.List(ctx, aliveTable, "")
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		return // The heartbeat logs a store that is away.
	}
	now := l.Now()
	l.contact.answered(sent, now, result.Clock, l.Started)
	rows := make(map[string]member)
	for _, row := range result.Rows {
		m := member{version: row.Version, changed: now}
		if err := decode(row, &m.PrepaidAlive); err != nil {
			event.PrepaidRow.Log(l.Logger).Err(err).Send()
			continue
		}
		if old, ok := l.members.rows[row.Name]; ok && old.version == row.Version {
			m.changed = old.changed
		}
		if m.Address != "" && now.Sub(m.changed) < memberLife*l.members.interval() {
			rows[row.Name] = m
		}
	}
	if len(rows) != len(l.members.rows) {
		event.MembersRead.Log(l.Logger).Int("before", len(l.members.rows)).Int("routers", len(rows)).Send()
	}
	if !maps.EqualFunc(rows, l.members.rows, func(x, y member) bool { return x.Address == y.Address }) {
		l.members.generation++
	}
	l.members.rows = rows
	l.members.whole = true
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
	var result []string
	for node, m := range l.members.rows {
		if node != l.Node {
			result = append(result, m.Address)
		}
	}
	if !l.members.whole {
		return slices.Clone(l.Seeds)
	}
	return result
}
