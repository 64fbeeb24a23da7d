package budget

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"citronslip/internal/board"
	"citronslip/internal/delay"
	"citronslip/pkg/inventory"
)

const (
	// DefaultMaxPeers is the largest number of routers that are asked for a reservation.
	DefaultMaxPeers = 5
	// resendInterval is the interval between two deliveries of a message that was not acknowledged.
	resendInterval = time.Second
)

type (
	// Remote reserves tokens at other routers for requests of this one. It is safe for concurrent use. Set the fields
	// before first use.
	Remote struct {
		Live     *board.Cell[[]string] // Addresses of the reachable routers.
		Address  string                // Address of this router.
		Instance string                // Instance of this router.
		Peers    int                   // Largest number of routers asked, DefaultMaxPeers if 0.
		// Call calls a method of the router at an address. After an error the outcome is unknown.
		Call func(ctx context.Context, address, method string, params, reply any) error

		mu             sync.Mutex
		unacknowledged []endMessage // Messages without an acknowledgement, oldest first.
	}

	// RemoteReservation identifies a reservation at another router.
	RemoteReservation struct {
		Address string
		Attempt string
	}

	// endMessage is a Settle or Cancel to be delivered to another router.
	endMessage struct {
		address string
		method  string
		params  any
	}
)

// ReplyOf converts the error of Home.Reserve to a reply. It returns false if the error is not an *ExhaustedError.
func ReplyOf(err error) (ReserveReply, bool) {
	var exhausted *ExhaustedError
	switch {
	case err == nil:
		return ReserveReply{OK: true}, true
	case errors.As(err, &exhausted):
		return ReserveReply{Key: exhausted.Key, Left: exhausted.Left, Smaller: exhausted.Smaller,
			Retry: exhausted.Retry.Seconds()}, true
	default:
		return ReserveReply{}, false
	}
}

// Reserve asks other routers one by one, the home router of the first budget first, until one reserves the bound in all
// budgets. A reservation whose reply is lost is cancelled, and the next router is asked. The error is the refusal of
// the router with the most tokens left, and of equal ones the one with the longest retry delay, so that one where a
// retry can succeed is preferred; or ErrNoPeerAnswered if no router answered.
func (r *Remote) Reserve(ctx context.Context, attempt string, keys []Key, bound inventory.Tokens) (RemoteReservation, error) {
	var bestRefusal *ExhaustedError
	for _, address := range r.candidates(keys) {
		params := ReserveParams{Instance: r.Instance, Attempt: attempt, Keys: keys, Bound: bound}
		var reply ReserveReply
		if err := r.Call(ctx, address, MethodReserve, params, &reply); err != nil {
			r.enqueue(endMessage{address: address, method: MethodCancel, params: CancelParams{Attempt: attempt}})
			continue
		}
		if reply.OK {
			return RemoteReservation{Address: address, Attempt: attempt}, nil
		}
		retry := time.Duration(reply.Retry * float64(time.Second))
		if bestRefusal == nil || reply.Left > bestRefusal.Left || reply.Left == bestRefusal.Left && retry > bestRefusal.Retry {
			bestRefusal = &ExhaustedError{Key: reply.Key, Left: reply.Left, Smaller: reply.Smaller, Retry: retry}
		}
	}
	if bestRefusal == nil {
		return RemoteReservation{}, trace.Wrap(ErrNoPeerAnswered)
	}
	return RemoteReservation{}, bestRefusal
}

// Settle ends a reservation at another router with its usage. Run delivers the message.
func (r *Remote) Settle(reservation RemoteReservation, used inventory.Tokens) {
	r.enqueue(endMessage{address: reservation.Address, method: MethodSettle,
		params: SettleParams{Attempt: reservation.Attempt, Used: used}})
}

// Run delivers Settle and Cancel messages until the context ends. A message is sent again until it is acknowledged or
// its router is gone.
func (r *Remote) Run(ctx context.Context) error {
	for delay.Sleep(ctx, resendInterval) {
		r.Deliver(ctx)
	}
	return nil
}

// Deliver tries once to deliver each message that was not acknowledged.
func (r *Remote) Deliver(ctx context.Context) {
	r.mu.Lock()
	messages := r.unacknowledged
	r.unacknowledged = nil
	r.mu.Unlock()
	var failed []endMessage
	for _, m := range messages {
		var reply struct{}
		if err := r.Call(ctx, m.address, m.method, m.params, &reply); err != nil {
			failed = append(failed, m)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unacknowledged = append(failed, r.unacknowledged...)
}

// DropMessages drops the messages for a router that is gone; the reclaim of its grants charges their usage.
func (r *Remote) DropMessages(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unacknowledged = slices.DeleteFunc(r.unacknowledged, func(m endMessage) bool { return m.address == address })
}

// Unacknowledged returns the number of messages that were not acknowledged.
func (r *Remote) Unacknowledged() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.unacknowledged)
}

// enqueue adds a message for the next delivery.
func (r *Remote) enqueue(m endMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unacknowledged = append(r.unacknowledged, m)
}

// candidates returns the addresses of the routers to ask, in order.
func (r *Remote) candidates(keys []Key) []string {
	live := r.Live.Load()
	if live == nil || len(keys) == 0 {
		return nil
	}
	others := slices.DeleteFunc(slices.Clone(*live), func(address string) bool { return address == r.Address })
	return HomesOf(others, keys[0], defaultTo(r.Peers, DefaultMaxPeers))
}
