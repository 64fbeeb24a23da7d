package peer

import (
	"context"
	"errors"

	"citronslip/internal/event"
	"citronslip/internal/wire"
)

// syncWith exchanges changes with one peer until neither has more to send. It stops after Interval, after maxSyncRounds
// messages or at the first failure.
func (m *Membership) syncWith(ctx context.Context, address string) {
	timeoutCtx, cancel := context.WithTimeout(ctx, m.interval())
	defer cancel()
	for range maxSyncRounds {
		more, err := m.syncRound(timeoutCtx, address)
		if err != nil {
			m.recordFailure(ctx, address, err)
			return
		}
		if !more {
			return
		}
	}
}

// syncRound sends one ping and reports whether either side has more changes to send.
func (m *Membership) syncRound(ctx context.Context, address string) (bool, error) {
	if err := m.ensureHello(ctx, address); err != nil {
		return false, err
	}
	m.mu.Lock()
	state := m.syncStateFor(address)
	ping, more := m.newPing(address, state)
	m.mu.Unlock()
	answer, err := m.Client.Ping(ctx, address, ping)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		return false, err
	}
	defer m.publish()
	m.applyPing(answer)
	state.ackedSequence = max(state.ackedSequence, uint64(ping.Sequence))
	state.receivedSequence = max(state.receivedSequence, uint64(answer.Sequence))
	state.failures = 0
	state.pings++
	return more || len(answer.Members) == maxChangesPerMessage, nil
}

// ensureHello sends a hello if the exchange with the peer is not established or the tables have to be compared.
func (m *Membership) ensureHello(ctx context.Context, address string) error {
	m.mu.Lock()
	state := m.syncStateFor(address)
	needed := !state.established || state.pings >= pingsPerHello
	hello := m.newHello(address)
	m.mu.Unlock()
	if !needed {
		return nil
	}
	answer, err := m.Client.Hello(ctx, address, hello)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.publish()
	m.applyMember(answer.Sender, address)
	hello.Digest = m.digest()
	m.compareTables(address, hello, answer)
	return nil
}

// recordFailure counts a failed exchange and marks the member as suspected after failuresToSuspect consecutive ones. A
// peer that answered with an error is reachable: it gets a new hello instead.
func (m *Membership) recordFailure(ctx context.Context, address string, err error) {
	if ctx.Err() != nil {
		return
	}
	m.scope().Counter("failed").Inc(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.syncStateFor(address)
	var refused *RPCError
	if errors.As(err, &refused) {
		state.established = false
		return
	}
	state.failures++
	record, ok := m.table.records[address]
	if !ok || record.member.State != wire.MemberStateLive || state.failures < failuresToSuspect || m.now().Before(state.nextSuspicion) {
		return
	}
	state.nextSuspicion = m.now().Add(suspectCooldown)
	state.failures = 0
	suspect := record.member
	suspect.State = wire.MemberStateSuspected
	event.MemberSuspected.Log(m.Logger).Str("member", address).Str("instance", suspect.Instance).Err(err).Send()
	m.table.merge(suspect, "", m.now())
	m.dirty = true
	m.publish()
}

// compareTables establishes the exchange and decides from both hellos which changes are sent. Different tables are sent
// in full if one side has no established exchange, or if neither table has changed for minSettledSeconds; otherwise the
// difference is a change that is still spreading. Both sides reach the same decision.
func (m *Membership) compareTables(address string, own, remote wire.Hello) {
	m.storeAnnouncedVersion(address, remote.Version)
	state := m.syncStateFor(address)
	isNew := own.Fresh || remote.Fresh
	equal := own.Digest == remote.Digest
	settled := min(own.Age, remote.Age) >= minSettledSeconds
	state.established = true
	state.pings = 0
	switch {
	case equal && isNew:
		state.ackedSequence, state.receivedSequence = m.table.sequence, 0
	case isNew || !equal && settled:
		state.ackedSequence, state.receivedSequence = 0, 0
		m.table.clearSource(address)
	}
}

// newPing returns the next ping for a peer and whether more changes are pending after it.
func (m *Membership) newPing(address string, state *syncState) (wire.Ping, bool) {
	members, upTo := m.table.changesAfter(state.ackedSequence, address)
	return wire.Ping{
		Sender:   m.Self.Address,
		Version:  m.configVersion(),
		Sequence: int(upTo),
		Seen:     int(state.receivedSequence),
		Members:  members,
	}, upTo < m.table.sequence
}

func (m *Membership) newHello(address string) wire.Hello {
	return wire.Hello{
		Sender:  m.Self,
		Digest:  m.digest(),
		Version: m.configVersion(),
		Fresh:   !m.syncStateFor(address).established,
		Age:     m.secondsSinceChange(),
	}
}

func (m *Membership) syncStateFor(address string) *syncState {
	state, ok := m.syncStates[address]
	if !ok {
		state = &syncState{}
		m.syncStates[address] = state
	}
	return state
}

// pruneSyncStates drops the sync states of peers that are no longer in the table.
func (m *Membership) pruneSyncStates() {
	for address := range m.syncStates {
		if _, ok := m.table.records[address]; !ok {
			delete(m.syncStates, address)
		}
	}
}
