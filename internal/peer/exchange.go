package peer

import (
	"context"
	"errors"

	"citronslip/internal/event"
	"citronslip/internal/wire"
)

// converse exchanges changes with one address until neither has more to tell.
func (m *Membership) converse(ctx context.Context, address string) {
	bounded, cancel := context.WithTimeout(ctx, m.interval())
	defer cancel()
	for range maxRounds {
		more, err := m.round(bounded, address)
		if err != nil {
			m.failed(ctx, address, err)
			return
		}
		if !more {
			return
		}
	}
}

// round makes one exchange and tells whether there is more.
func (m *Membership) round(ctx context.Context, address string) (bool, error) {
	if err := m.open(ctx, address); err != nil {
		return false, err
	}
	m.mu.Lock()
	x := m.exchange(address)
	ping, more := m.ping(address, x)
	m.mu.Unlock()
	answer, err := m.Client.Ping(ctx, address, ping)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		return false, err
	}
	defer m.publish()
	m.take(answer)
	x.acked = max(x.acked, uint64(ping.Sequence))
	x.seen = max(x.seen, uint64(answer.Sequence))
	x.failures = 0
	x.count++
	return more || len(answer.Members) == maxChanges, nil
}

// open says hello if the exchange is not open or is due for a comparison.
func (m *Membership) open(ctx context.Context, address string) error {
	m.mu.Lock()
	x := m.exchange(address)
	due := !x.open || x.count >= compareEvery
	hello := m.hello(address)
	m.mu.Unlock()
	if !due {
		return nil
	}
	answer, err := m.Client.Hello(ctx, address, hello)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.publish()
	m.learn(answer.Sender, address)
	hello.Digest = m.digest()
	m.compare(address, hello, answer)
	return nil
}

// failed counts a failed exchange and suspects the member after a few in a row.
func (m *Membership) failed(ctx context.Context, address string, err error) {
	if ctx.Err() != nil {
		return
	}
	m.scope().Counter("failed").Inc(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.exchange(address)
	var refused *Refusal
	if errors.As(err, &refused) {
		x.open = false
		return
	}
	x.failures++
	known, ok := m.table.records[address]
	if !ok || known.member.State != wire.MemberStateLive || x.failures < failuresToSuspect || m.now().Before(x.quiet) {
		return
	}
	x.quiet = m.now().Add(suspectPause)
	x.failures = 0
	suspect := known.member
	suspect.State = wire.MemberStateSuspected
	event.MemberSuspected.Log(m.Logger).Str("member", address).Str("instance", suspect.Instance).Err(err).Send()
	m.table.put(suspect, "", m.now())
	m.dirty = true
	m.publish()
}

// compare opens the exchange. Different tables are told in full only if one side knows nothing of the exchange, or if
// neither table has changed for a while: otherwise the difference is news under way. Both sides come to the same result.
func (m *Membership) compare(address string, own, other wire.Hello) {
	m.heard(address, other.Version)
	x := m.exchange(address)
	fresh := own.Fresh || other.Fresh
	equal := own.Digest == other.Digest
	settled := min(own.Age, other.Age) >= settledSeconds
	x.open = true
	x.count = 0
	switch {
	case equal && fresh:
		x.acked, x.seen = m.table.sequence, 0
	case fresh || !equal && settled:
		x.acked, x.seen = 0, 0
		m.table.reopen(address)
	}
}

// ping returns the message for a peer and whether more changes wait.
func (m *Membership) ping(address string, x *exchange) (wire.Ping, bool) {
	members, until := m.table.changes(x.acked, address)
	return wire.Ping{
		Sender:   m.Self.Address,
		Version:  m.version(),
		Sequence: int(until),
		Seen:     int(x.seen),
		Members:  members,
	}, until < m.table.sequence
}

func (m *Membership) hello(address string) wire.Hello {
	return wire.Hello{
		Sender:  m.Self,
		Digest:  m.digest(),
		Version: m.version(),
		Fresh:   !m.exchange(address).open,
		Age:     m.age(),
	}
}

func (m *Membership) exchange(address string) *exchange {
	x, ok := m.exchanges[address]
	if !ok {
		x = &exchange{}
		m.exchanges[address] = x
	}
	return x
}

// prune drops the exchanges with forgotten members.
func (m *Membership) prune() {
	for address := range m.exchanges {
		if _, ok := m.table.records[address]; !ok {
			delete(m.exchanges, address)
		}
	}
}
