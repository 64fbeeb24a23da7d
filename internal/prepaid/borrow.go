package prepaid

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"citronslip/internal/dispatch"
	"citronslip/internal/event"
	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

const (
	// borrowTimeout is the timeout of one call to another router, totalBorrowTimeout that of all such calls for one
	// request.
	borrowTimeout      = 200 * time.Millisecond
	totalBorrowTimeout = 400 * time.Millisecond
	// settleTimeout is the timeout of reporting what a request consumed, including retries.
	settleTimeout = 5 * time.Second
	// lentTTL is how long tokens stay reserved for another router. If it does not settle in time, they count as
	// consumed.
	lentTTL = 60 * time.Second
	// earlySettlementTTL is how long a settlement that arrived before its reservation was made is remembered.
	earlySettlementTTL = 10 * time.Second
	// exhaustedTTL is how long the store's confirmation that no tokens are available is relied on.
	exhaustedTTL = 300 * time.Millisecond
	// minGrantRowsTTL is how long the sum of the grant rows of an account is relied on, so that requests of an exhausted account
	// do not each read them. In a larger fleet it is grantRowsTTLPerRouter for each router, which bounds the calls of all.
	minGrantRowsTTL       = time.Second
	grantRowsTTLPerRouter = 20 * time.Millisecond
	// maxLentReservations is the maximum number of reservations for other routers, and also that of remembered early
	// settlements.
	maxLentReservations = 4096
)

var (
	// ErrPeerTimeout is returned when another router received a call and did not answer in time. It may have reserved
	// the tokens.
	ErrPeerTimeout = errors.New("prepaid: other router received the call but did not answer in time")
	// ErrPeerUnsupported is returned when another router does not know a call, as it is of an earlier release. Nothing was
	// written.
	ErrPeerUnsupported = errors.New("prepaid: other router does not know the call")
)

type (
	// PeerClient is a client to reserve tokens in the grants of other routers and to tell them of budget rows.
	PeerClient interface {
		// Reserve returns whether the router at the address reserved the tokens under the name. Its error wraps
		// ErrPeerTimeout if the router was reached and did not answer.
		Reserve(ctx context.Context, address, name, account string, tokens int64) (bool, error)
		// Settle ends the reservation with that name and reports the used tokens.
		Settle(ctx context.Context, address, name, account string, used int64) error
		// Tell tells the router at the address of a budget row. Its error is nil only if that router took the changes over.
		Tell(ctx context.Context, address string, known wire.PrepaidKnown) error
		// Write sends a write to the store through the router at the address. After an error it may take effect, unless the
		// error wraps ErrPeerUnsupported or store.ErrUnavailable.
		Write(ctx context.Context, address string, write wire.PrepaidWrite) (wire.PrepaidWritten, error)
	}

	// borrowedReservation is a reservation at another router.
	borrowedReservation struct {
		ledger  *Ledger
		address string // Of the other router.
		name    string // Of the reservation.
		account string
	}

	// peerState is the state of reservations between this router and others.
	peerState struct {
		lent         map[string]*lentReservation // Reservations that this router made for others, by name.
		borrowCount  int                         // Number of reservations tried at others, for unique names.
		settledEarly map[string]time.Time        // When settlements arrived before their reservation was made, by name.
		failedAt     map[string]time.Time        // When the last call to a router failed, by address.
	}

	// borrowOutcome tells why no router that was asked lent.
	borrowOutcome struct {
		timedOut bool // Whether one received the call and did not answer in time.
		failed   bool // Whether one did not answer, for any reason.
	}

	// lentReservation is a reservation in this router's grant for another router.
	lentReservation struct {
		reservation *localReservation
		createdAt   time.Time
	}
)

// borrow reserves tokens at another router. If the reservation is nil, it reports why. A router that did not answer in time
// waits for the store itself, and the routers that ask it must not compete with it for the budget row.
func (l *Ledger) borrow(ctx context.Context, request dispatch.ReservationRequest) (borrowed *borrowedReservation, outcome borrowOutcome) {
	if l.Peers == nil {
		return nil, outcome
	}
	ctx, cancel := context.WithTimeout(ctx, totalBorrowTimeout)
	defer cancel()
	l.mu.Lock()
	addresses := l.lenderAddresses(l.accountByName(request.Account))
	l.peerState.borrowCount++
	name := fmt.Sprintf("%s/%d", l.Instance, l.peerState.borrowCount)
	l.mu.Unlock()
	for _, address := range addresses[:min(len(addresses), maxPeersAsked)] {
		reservation := &borrowedReservation{l, address, name, request.Account}
		attemptCtx, cancelAttempt := context.WithTimeout(ctx, borrowTimeout)
		reserved, err := l.Peers.Reserve(attemptCtx, address, name, request.Account, int64(request.Tokens))
		cancelAttempt()
		l.recordPeerResult(ctx, address, err)
		if reserved {
			event.PrepaidReservedRemotely.Log(l.Logger).Str("request", event.ClipID(request.Request)).Str("account", request.Account).Str("peer", address).
				Int64("tokens", int64(request.Tokens)).Send()
			return reservation, borrowOutcome{}
		}
		if err != nil {
			outcome.failed = true
			outcome.timedOut = outcome.timedOut || errors.Is(err, ErrPeerTimeout)
			event.PrepaidRemoteFailed.Log(l.Logger).Str("request", event.ClipID(request.Request)).Str("account", request.Account).Str("peer", address).Err(err).Send()
			reservation.Settle(0) // Releases the tokens in case that router reserved them.
		}
		if ctx.Err() != nil {
			return nil, outcome
		}
	}
	return nil, outcome
}

// grantRowsTTL returns how long the sum of the grant rows of an account is relied on.
func (m *membership) grantRowsTTL() time.Duration {
	return max(minGrantRowsTTL, time.Duration(m.count())*grantRowsTTLPerRouter)
}

// isCoveredElsewhere reports whether the budget covers the request, although the store has no tokens left to grant and some
// routers did not answer or are gone: by the grant rows the others hold tokens that they have not opened, and so have not spent
// while the store answered them.
func (l *Ledger) isCoveredElsewhere(ctx context.Context, request dispatch.ReservationRequest) bool {
	l.mu.Lock()
	a := l.accountByName(request.Account)
	isRecent := !a.elsewhereAt.IsZero() && l.Now().Sub(a.elsewhereAt) < l.membership.grantRowsTTL()
	unopened := a.unopened
	l.mu.Unlock()
	if isRecent {
		return unopened >= int64(request.Tokens)
	}
	ctx, cancel := context.WithTimeout(ctx, storeWaitTimeout)
	defer cancel()
	result, err := l.Store.List(ctx, grantTable, request.Account)
	if err != nil {
		return true // It is not known that the budget is exhausted.
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	budget := a.budget
	budget.applyTotal(a.totalVersion, a.total)
	unopened = int64(budget.Total - budget.Closed)
	for _, row := range result.Rows {
		var grant wire.PrepaidGrant
		if err := decode(row, &grant); err == nil {
			unopened -= int64(grant.Opened)
		}
	}
	a.elsewhereAt, a.unopened = l.Now(), unopened
	return unopened >= int64(request.Tokens)
}

// recordPeerResult records whether a call to a router failed, unless the context of all calls for the request has
// ended.
func (l *Ledger) recordPeerResult(ctx context.Context, address string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() == nil {
		l.peerState.recordResult(address, l.Now(), err)
	}
}

// Settle reports the used tokens to the other router in the background. If the report does not arrive, the whole
// reservation counts as consumed.
func (r *borrowedReservation) Settle(used inventory.Tokens) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := r.ledger.Peers.Settle(ctx, r.address, r.name, r.account, int64(used)); err != nil {
			event.PrepaidUnsettled.Log(r.ledger.Logger).Str("account", r.account).Str("peer", r.address).
				Int64("used", int64(used)).Err(err).Send()
		}
	}()
}

// ReserveForPeer reserves tokens for another router under a name of its choice, in this router's grant, which may first
// be enlarged at the store. It reports whether the tokens were reserved.
func (l *Ledger) ReserveForPeer(ctx context.Context, name, account string, tokens int64) bool {
	directory := l.Directory()
	if directory == nil {
		return false
	}
	total, ok := directory.Budget(account)
	if !ok {
		return false
	}
	l.mu.Lock()
	a := l.accountByName(account)
	exceedsGrant := a.used()+tokens > int64(a.grant.Amount)
	isHolder := l.isHolder(a)
	rejected := l.peerState.lent[name] != nil || len(l.peerState.lent) >= maxLentReservations
	knownExhausted := exceedsGrant && l.Now().Sub(a.exhaustedAt) < exhaustedTTL
	l.mu.Unlock()
	if rejected || exceedsGrant && !isHolder {
		return false
	}
	if knownExhausted {
		l.returnUnusedTokens(a)
		return false
	}
	reservation, _ := l.reserveLocally(ctx,
		dispatch.ReservationRequest{Request: name, Account: account, Total: total, Tokens: inventory.Tokens(tokens)})
	if reservation == nil {
		l.returnUnusedTokens(a)
		return false
	}
	if !l.addLentReservation(name, reservation) {
		reservation.Settle(0)
		return false
	}
	return true
}

// addLentReservation stores a reservation for another router. It returns false if that router has already settled it.
func (l *Ledger) addLentReservation(name string, reservation *localReservation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, settled := l.peerState.settledEarly[name]; settled {
		delete(l.peerState.settledEarly, name)
		return false
	}
	if l.peerState.lent == nil {
		l.peerState.lent = make(map[string]*lentReservation)
	}
	l.peerState.lent[name] = &lentReservation{reservation: reservation, createdAt: l.Now()}
	return true
}

// returnUnusedTokens starts to return the unused tokens of a grant to the store, because another router lacks them.
func (l *Ledger) returnUnusedTokens(a *account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.storeStatus.age(l.Now()) > storeUnreachableAge {
		return // The store is unreachable, and the grant's reserve is meant for that time.
	}
	a.shortAt = l.Now()
	l.startWriter(a)
}

// SettleForPeer ends a reservation for another router and counts the used tokens as spent. An unknown name is not an
// error: the report was repeated, or the other router gave up before the reservation was made.
func (l *Ledger) SettleForPeer(name string, used int64) {
	l.mu.Lock()
	lent := l.peerState.lent[name]
	delete(l.peerState.lent, name)
	if lent == nil && len(l.peerState.settledEarly) < maxLentReservations {
		if l.peerState.settledEarly == nil {
			l.peerState.settledEarly = make(map[string]time.Time)
		}
		l.peerState.settledEarly[name] = l.Now()
	}
	l.mu.Unlock()
	if lent != nil {
		lent.reservation.Settle(inventory.Tokens(min(max(used, 0), lent.reservation.tokens)))
	}
}

// expireLentReservations counts reservations that other routers did not settle within lentTTL as consumed. It also
// forgets early settlements after earlySettlementTTL.
func (l *Ledger) expireLentReservations() {
	l.mu.Lock()
	maps.DeleteFunc(l.peerState.settledEarly,
		func(_ string, settledAt time.Time) bool { return l.Now().Sub(settledAt) > earlySettlementTTL })
	var expired []*lentReservation
	for name, r := range l.peerState.lent {
		if l.Now().Sub(r.createdAt) > lentTTL {
			expired = append(expired, r)
			delete(l.peerState.lent, name)
			event.RemoteReservationsCharged.Log(l.Logger).Str("name", name).Int64("tokens", r.reservation.tokens).Send()
		}
	}
	l.mu.Unlock()
	for _, r := range expired {
		r.reservation.Settle(inventory.Tokens(r.reservation.tokens))
	}
}
