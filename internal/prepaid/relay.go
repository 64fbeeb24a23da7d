package prepaid

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"citronslip/internal/event"
	"citronslip/internal/store"
	"citronslip/internal/wire"
)

const (
	// relayTimeout is the timeout of one write through another router, relaySearchTimeout that of the search for a router
	// that sends writes.
	relayTimeout       = 300 * time.Millisecond
	relaySearchTimeout = 600 * time.Millisecond
	// maxRelaysAsked is the maximum number of routers that are asked in one search, and maxRelaysAskedLater that from the
	// search after relayEagerSearches on, as then the store is probably away from all routers.
	maxRelaysAsked      = 6
	maxRelaysAskedLater = 1
	relayEagerSearches  = 5
	// relayProbeInterval is the time between two tries to reach the store itself while another router sends the writes.
	relayProbeInterval = 2 * time.Second
	// unsupportedTTL is how long a router of an earlier release is not asked again. Its process may be replaced meanwhile.
	unsupportedTTL = 5 * time.Second
	// maxRelayedWrites is the maximum number of writes a second that one router sends for others: those of about 25 routers.
	maxRelayedWrites = 100

	relayWritten     = "written"
	relayConflict    = "conflict"
	relayUnavailable = "unavailable"
	relayUnknown     = "unknown"
)

type (
	// relayState is the state of writes through other routers.
	relayState struct {
		address     string    // Router that sends this router's writes to the store; empty while the store is reached without one.
		latest      string    // Router that last did, or was named as one that does.
		failures    int       // Searches in succession that found none.
		windowStart time.Time // Start of the second in which sent is counted.
		sent        int       // Writes that this router has sent for others in that second.
		// unsupported holds when routers last answered that they do not know the call, as they are of an earlier release, by
		// address.
		unsupported map[string]time.Time
	}
)

// write sends a write to the store, through another router if this one does not reach the store. It records the time of an
// answer, but not its content.
func (l *Ledger) write(ctx context.Context, w store.Write) (store.Result, error) {
	l.mu.Lock()
	address := l.relay.address
	l.mu.Unlock()
	if address != "" {
		return l.writeThrough(ctx, address, w)
	}
	sent := l.Now()
	result, err := l.Store.Write(ctx, w)
	if isAnswer(err) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.recordDirectAnswer(sent, result)
	}
	return result, err
}

// writeThrough sends a write to the store through the router at the address. The answer has the content of one of the store,
// read from it after the write was sent.
func (l *Ledger) writeThrough(ctx context.Context, address string, w store.Write) (store.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	sent := l.Now()
	l.count("relayed")
	answer, err := l.Peers.Write(ctx, address, encodeWrite(w))
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case errors.Is(err, ErrPeerUnsupported):
		l.relay.markUnsupported(address, l.Now())
		return store.Result{}, fmt.Errorf("%w: through %s: %v", store.ErrUnavailable, address, err)
	case errors.Is(err, store.ErrUnavailable):
		return store.Result{}, fmt.Errorf("%w: through %s", err, address)
	case err != nil:
		return store.Result{}, fmt.Errorf("%w: through %s: %v", store.ErrUnknown, address, err)
	}
	result := decodeResult(answer)
	switch answer.State {
	case relayWritten:
		l.recordAnswer(sent, result)
		return result, nil
	case relayConflict:
		l.recordAnswer(sent, result)
		return result, store.ErrConflict
	case relayUnavailable:
		if answer.Relay != "" && answer.Relay != l.Address {
			l.relay.latest = answer.Relay
		}
		return store.Result{}, fmt.Errorf("%w: refused by %s", store.ErrUnavailable, address)
	default:
		return store.Result{}, fmt.Errorf("%w: through %s", store.ErrUnknown, address)
	}
}

// searchRelay sends a write that may be repeated through other routers, one after the other until one reaches the store.
// That router sends the writes from then on. A router without budgets needs none.
func (l *Ledger) searchRelay(ctx context.Context, w store.Write) error {
	ctx, cancel := context.WithTimeout(ctx, relaySearchTimeout)
	defer cancel()
	l.mu.Lock()
	l.setRelay("")
	limit := maxRelaysAsked
	if l.relay.failures >= relayEagerSearches {
		limit = maxRelaysAskedLater
	}
	addresses := l.addresses()
	if l.Peers == nil || len(l.accounts) == 0 {
		addresses = nil
	}
	addresses = l.relay.withoutUnsupported(addresses, l.Now())
	l.mu.Unlock()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	asked := make(map[string]bool)
	for i := 0; i < len(addresses) && len(asked) < limit && ctx.Err() == nil; i++ {
		address := addresses[i]
		l.mu.Lock()
		if named := l.relay.latest; named != "" && !asked[named] && slices.Contains(addresses, named) {
			address = named
			i--
		}
		l.mu.Unlock()
		if asked[address] {
			continue
		}
		asked[address] = true
		if _, err := l.writeThrough(ctx, address, w); isAnswer(err) {
			l.mu.Lock()
			l.setRelay(address)
			l.mu.Unlock()
			return nil
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.relay.failures++
	return store.ErrUnknown
}

// setRelay sets the router that sends this router's writes, or none. The caller holds the lock.
func (l *Ledger) setRelay(address string) {
	if address != "" {
		l.relay.latest, l.relay.failures = address, 0
	}
	if address == l.relay.address {
		return
	}
	event.PrepaidRelayChanged.Log(l.Logger).Str("before", l.relay.address).Str("peer", address).Send()
	l.relay.address = address
}

// recordDirectAnswer records an answer of the store that came without another router. The caller holds the lock.
func (l *Ledger) recordDirectAnswer(sent time.Time, result store.Result) {
	l.recordAnswer(sent, result)
	l.storeStatus.directAt = l.Now()
	l.relay.failures = 0
	l.setRelay("")
}

// probeStore tries to reach the store while another router sends the writes.
func (l *Ledger) probeStore(ctx context.Context) {
	l.mu.Lock()
	isRelayed := l.relay.address != ""
	l.mu.Unlock()
	if !isRelayed {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	sent := l.Now()
	result, err := l.Store.Row(ctx, heartbeatKey(l.Node))
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordDirectAnswer(sent, result)
}

// WriteForPeer sends a write of another router to the store, which that router cannot reach. It refuses what it must not send,
// and what exceeds maxRelayedWrites.
func (l *Ledger) WriteForPeer(ctx context.Context, request wire.PrepaidWrite) wire.PrepaidWritten {
	w, ok := decodeWrite(request)
	l.mu.Lock()
	admitted := ok && l.relay.address == "" && l.storeStatus.directAge(l.Now()) <= storeUnreachableAge && l.relay.admit(l.Now())
	refusal := wire.PrepaidWritten{State: relayUnavailable, Rows: []wire.PrepaidRow{}, Relay: l.relay.address}
	l.mu.Unlock()
	if !admitted {
		l.count("relay_refused")
		return refusal
	}
	l.count("relay_sent")
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	result, err := l.Store.Write(ctx, w)
	return encodeResult(result, err)
}

// markUnsupported records that a router does not know the call.
func (r *relayState) markUnsupported(address string, now time.Time) {
	if r.unsupported == nil {
		r.unsupported = make(map[string]time.Time)
	}
	r.unsupported[address] = now
}

// withoutUnsupported returns the addresses without those of routers that do not know the call.
func (r *relayState) withoutUnsupported(addresses []string, now time.Time) []string {
	maps.DeleteFunc(r.unsupported, func(_ string, at time.Time) bool { return now.Sub(at) >= unsupportedTTL })
	return slices.DeleteFunc(slices.Clone(addresses), func(address string) bool {
		_, found := r.unsupported[address]
		return found
	})
}

// admit counts a write for another router and reports whether it is within maxRelayedWrites.
func (r *relayState) admit(now time.Time) bool {
	if now.Sub(r.windowStart) >= time.Second {
		r.windowStart, r.sent = now, 0
	}
	r.sent++
	return r.sent <= maxRelayedWrites
}
