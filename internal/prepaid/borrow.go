package prepaid

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"citronslip/internal/dispatch"
	"citronslip/internal/event"
	"citronslip/pkg/inventory"
)

const (
	// borrowTime bounds one question to another router, borrowAll all questions for one request.
	borrowTime = 200 * time.Millisecond
	borrowAll  = 400 * time.Millisecond
	// settleTime bounds the report of what a request consumed, with repeats.
	settleTime = 5 * time.Second
	// remoteLife is how long tokens stay reserved for another router. Those of a router that does not report in time are
	// counted as consumed.
	remoteLife = 60 * time.Second
	// endedLife is how long a report is remembered that came before its reservation was made.
	endedLife = 10 * time.Second
	// exactLife is how long a router knows that nothing is free.
	exactLife = 300 * time.Millisecond
	// mostRemote bounds the reservations of other routers.
	mostRemote = 4096
)

var (
	// ErrNoAnswer says that a router got a question and did not answer it in time.
	ErrNoAnswer = errors.New("prepaid: the other router did not answer in time")
)

type (
	// Peers asks other routers for tokens.
	Peers interface {
		// Reserve returns whether the router reserved the tokens under the name. Its error wraps ErrNoAnswer if the router
		// was reached and did not answer.
		Reserve(ctx context.Context, address, name, account string, tokens int64) (bool, error)
		// Settle replaces the reservation by what was used.
		Settle(ctx context.Context, address, name, account string, used int64) error
	}

	// loan is a reservation at another router.
	loan struct {
		ledger  *Ledger
		address string
		name    string
		account string
	}

	// remoteHolds are the reservations that this router made for others.
	remoteHolds struct {
		holds  map[string]*remoteHold
		count  int
		ended  map[string]time.Time // Reports that came before their reservation was made, by name.
		failed map[string]time.Time // Routers that did not answer a question, by address.
	}

	remoteHold struct {
		hold *hold
		made time.Time
	}
)

// borrow reserves at another router. Without a loan it reports whether a router that was asked did not answer in time: it
// waits for the store itself then, and must not have to compete for the account's row with those who ask it.
func (l *Ledger) borrow(ctx context.Context, c dispatch.Claim) (found *loan, busy bool) {
	if l.Peers == nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, borrowAll)
	defer cancel()
	l.mu.Lock()
	addresses := l.lenders(l.account(c.Account))
	l.remote.count++
	name := fmt.Sprintf("%s/%d", l.Instance, l.remote.count)
	l.mu.Unlock()
	for _, address := range addresses[:min(len(addresses), peerTries)] {
		h := &loan{l, address, name, c.Account}
		attempt, end := context.WithTimeout(ctx, borrowTime)
		ok, err := l.Peers.Reserve(attempt, address, name, c.Account, int64(c.Tokens))
		end()
		l.asked(ctx, address, err)
		if ok {
			event.PrepaidBorrowed.Log(l.Logger).Str("request", c.Request).Str("account", c.Account).Str("peer", address).
				Int64("tokens", int64(c.Tokens)).Send()
			return h, false
		}
		if err != nil {
			busy = busy || errors.Is(err, ErrNoAnswer)
			event.PrepaidUnlent.Log(l.Logger).Str("request", c.Request).Str("account", c.Account).Str("peer", address).Err(err).Send()
			h.Settle(0) // The tokens may be reserved there.
		}
		if ctx.Err() != nil {
			return nil, busy
		}
	}
	return nil, busy
}

// asked notes whether a router answered a question, unless the caller has ended it.
func (l *Ledger) asked(ctx context.Context, address string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() == nil {
		l.remote.answered(address, l.Now(), err)
	}
}

// Settle reports what was used. A report that does not arrive leaves the reservation counted as consumed.
func (h *loan) Settle(used inventory.Tokens) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		defer cancel()
		if err := h.ledger.Peers.Settle(ctx, h.address, h.name, h.account, int64(used)); err != nil {
			event.PrepaidUnsettled.Log(h.ledger.Logger).Str("account", h.account).Str("peer", h.address).
				Int64("used", int64(used)).Err(err).Send()
		}
	}()
}

// Lend reserves tokens for another router, out of the own grant or the store.
func (l *Ledger) Lend(ctx context.Context, name, account string, tokens int64) bool {
	d := l.Directory()
	if d == nil {
		return false
	}
	total, ok := d.Budget(account)
	if !ok {
		return false
	}
	l.mu.Lock()
	a := l.account(account)
	short := a.used()+tokens > int64(a.own.Amount)
	holds := l.holds(a)
	busy := l.remote.holds[name] != nil || len(l.remote.holds) >= mostRemote
	known := short && l.Now().Sub(a.exact) < exactLife
	l.mu.Unlock()
	if busy || short && !holds {
		return false
	}
	if known {
		l.recall(a)
		return false
	}
	h, _ := l.reserve(ctx, dispatch.Claim{Request: name, Account: account, Total: total, Tokens: inventory.Tokens(tokens)})
	if h == nil {
		l.recall(a)
		return false
	}
	if !l.remember(name, h) {
		h.Settle(0)
		return false
	}
	return true
}

// remember keeps a reservation for another router, unless that has given it up already.
func (l *Ledger) remember(name string, h *hold) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ended := l.remote.ended[name]; ended {
		delete(l.remote.ended, name)
		return false
	}
	if l.remote.holds == nil {
		l.remote.holds = make(map[string]*remoteHold)
	}
	l.remote.holds[name] = &remoteHold{hold: h, made: l.Now()}
	return true
}

// recall gives back to the store what is reserved of an account beyond its use, because another router is short of it.
func (l *Ledger) recall(a *account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.contact.age(l.Now()) > awayAge {
		return // The store is away: what is reserved is for now.
	}
	a.scarce = l.Now()
	l.kick(a)
}

// Repay ends a reservation of another router. A name that is not known is no error: the report is repeated, or the router did
// not wait until the reservation was made.
func (l *Ledger) Repay(name string, used int64) {
	l.mu.Lock()
	r := l.remote.holds[name]
	delete(l.remote.holds, name)
	if r == nil && len(l.remote.ended) < mostRemote {
		if l.remote.ended == nil {
			l.remote.ended = make(map[string]time.Time)
		}
		l.remote.ended[name] = l.Now()
	}
	l.mu.Unlock()
	if r != nil {
		r.hold.Settle(inventory.Tokens(min(max(used, 0), r.hold.tokens)))
	}
}

// expire counts the reservations of routers that have not reported in time as consumed.
func (l *Ledger) expire() {
	l.mu.Lock()
	maps.DeleteFunc(l.remote.ended, func(_ string, when time.Time) bool { return l.Now().Sub(when) > endedLife })
	var late []*remoteHold
	for name, r := range l.remote.holds {
		if l.Now().Sub(r.made) > remoteLife {
			late = append(late, r)
			delete(l.remote.holds, name)
			event.RemoteCharged.Log(l.Logger).Str("name", name).Int64("tokens", r.hold.tokens).Send()
		}
	}
	l.mu.Unlock()
	for _, r := range late {
		r.hold.Settle(inventory.Tokens(r.hold.tokens))
	}
}
