package budget

import (
	"context"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"citronslip/internal/event"
	"citronslip/internal/table"
	"citronslip/pkg/inventory"
)

// register records this instance under its address and creates its alive row. An in-flight registration of an earlier
// instance cannot take effect behind it, because both are conditional on the version that they read.
func (g *Grants) register(ctx context.Context) error {
	if g.registered {
		return nil
	}
	var row InstanceRow
	version, err := g.get(ctx, instanceKey(g.Address), &row)
	if err != nil {
		return err
	}
	if row.Instance != g.Instance {
		_, err = g.commit(ctx, []table.Op{
			put(instanceKey(g.Address), version, InstanceRow{Instance: g.Instance}),
			put(aliveKey(g.Instance), 0, AliveRow{Address: g.Address}),
		})
		if err != nil {
			return trace.Wrap(ErrTable, "register: %v", err)
		}
	}
	g.registered = true
	g.alive.check = true
	return nil
}

// recover reads back the rows whose last write has an unknown outcome.
func (g *Grants) recover(ctx context.Context) error {
	if g.alive.check {
		if err := g.readAlive(ctx); err != nil {
			return err
		}
	}
	for key, s := range g.grants {
		if !s.check {
			continue
		}
		if err := g.readBack(ctx, key, s); err != nil {
			return err
		}
	}
	return nil
}

// readBack compares a grant's row with the writes that may have taken effect. A write that did not take effect yet may
// still do so later; the limits stay at the lowest possible values until another write settles it.
func (g *Grants) readBack(ctx context.Context, key Key, s *grant) error {
	var row GrantRow
	version, err := g.get(ctx, GrantRowKey(key, g.Instance), &row)
	if err != nil {
		return err
	}
	s.check = false
	s.force = len(s.pending) > 0
	if version == s.version {
		return nil
	}
	if version == 0 {
		g.ended(key, s)
		return nil
	}
	for _, a := range s.pending {
		if !a.close && a.row.Sequence == row.Sequence {
			g.adopt(s, row, version)
			g.log(event.GrantRecovered, func(e *zerolog.Event) { e.Str("account", key.Account).Str("budget", key.Budget) })
			return nil
		}
	}
	return nil
}

// ended handles a grant whose row is gone: closed by a pending write of its own, or by another router.
func (g *Grants) ended(key Key, s *grant) {
	for _, a := range s.pending {
		if a.close {
			g.closed(s, a.row.Spent)
			return
		}
	}
	g.log(event.GrantLost, func(e *zerolog.Event) { e.Str("account", key.Account).Str("budget", key.Budget) })
	g.closed(s, s.entry.lower(0, 0).spent)
}

// adopt takes a row over as the one in force.
func (g *Grants) adopt(s *grant, row GrantRow, version uint64) {
	s.row = row
	s.version = version
	s.pending = nil
	s.force = false
	s.wrote = g.now()
	s.entry.limit(min(row.Opened, row.Amount), row.Amount)
}

// closed records that the grant has ended with a charge.
func (g *Grants) closed(s *grant, charge inventory.Tokens) {
	s.entry.restart(charge)
	s.base += charge
	if charge > 0 {
		g.bases[s.entry.key] = s.base
	}
	s.row = GrantRow{}
	s.version = 0
	s.pending = nil
	s.force = false
}
