package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"citronslip/internal/budget"
	"citronslip/internal/delay"
	"citronslip/internal/event"
	"citronslip/internal/routing"
	"citronslip/pkg/inventory"
)

const (
	// grantTimeout bounds the wait for a grant of the grants controller.
	grantTimeout = time.Second
	// settleBackoff is the first wait for requests in progress to be settled. It doubles with each retry, to 3.15 s in
	// all.
	settleBackoff    = 50 * time.Millisecond
	maxSettleRetries = 6

	tokenCountTimeout = time.Second
)

type (
	// reservation is a reservation of tokens: localReservation or remoteReservation.
	reservation interface{ isReservation() }

	// localReservation is a reservation at this router.
	localReservation struct {
		reservation budget.Reservation
	}

	// remoteReservation is a reservation at another router.
	remoteReservation struct {
		reservation budget.RemoteReservation
		bound       inventory.Tokens
	}

	// boundReducer returns a smaller upper bound of the tokens that a request may use, or the given one.
	boundReducer func(ctx context.Context, bound inventory.Tokens) inventory.Tokens
)

// reserveTokens reserves bound tokens in all budgets of the call: at this router, or at another one that has tokens. If
// the bound does not fit at this router, reduce may lower it once.
func (c *call) reserveTokens(
	ctx context.Context, attempt string, bound inventory.Tokens, reduce boundReducer,
) (reservation, *Refusal) {
	if len(c.budgetKeys) == 0 || bound == 0 {
		return localReservation{}, nil
	}
	reservation, err := c.reserveLocally(ctx, bound)
	if err != nil && reduce != nil {
		bound = min(bound, reduce(ctx, bound))
		reservation, err = c.reserveLocally(ctx, bound)
	}
	for retry := 0; err != nil; retry++ {
		// Each retry has an attempt name of its own, since the reservation of an earlier one may have been cancelled at
		// another router.
		name := fmt.Sprintf("%s.%d", attempt, retry)
		remote, remoteErr := c.front.Remote.Reserve(ctx, name, c.budgetKeys, bound)
		if remoteErr == nil {
			event.ReservedRemotely.Log(c.front.Logger).Str("attempt", name).Str("home", remote.Address).
				Int64("bound", int64(bound)).Send()
			return remoteReservation{reservation: remote, bound: bound}, nil
		}
		// Requests in progress reserve more than they use, so tokens become free at this or another router when they
		// are settled.
		mayRetry := mayFitLater(err) || mayFitLater(remoteErr)
		if !mayRetry || retry >= maxSettleRetries || !delay.Sleep(ctx, settleBackoff<<retry) {
			return nil, exhaustedRefusal(err)
		}
		if c.mayFitLocally(bound) {
			// Every refused reservation counts as demand, so none is made that cannot succeed soon. One that fits with the
			// tokens of the table makes the controller fetch them.
			reservation, err = c.front.Ledger.Reserve(c.budgetKeys, bound)
		}
	}
	return localReservation{reservation: reservation}, nil
}

// reserveLocally reserves at this router. It waits up to grantTimeout for tokens that the table may still grant, since
// the first request of a budget finds none at this router.
func (c *call) reserveLocally(ctx context.Context, bound inventory.Tokens) (budget.Reservation, error) {
	reservation, err := c.front.Ledger.Reserve(c.budgetKeys, bound)
	if err == nil {
		return reservation, nil
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	return c.front.Ledger.ReserveWait(ctx, c.budgetKeys, bound)
}

// reservedBound returns the number of reserved tokens.
func reservedBound(reserved reservation) inventory.Tokens {
	switch reserved := reserved.(type) {
	case localReservation:
		return reserved.reservation.Bound()
	case remoteReservation:
		return reserved.bound
	default:
		return 0
	}
}

// settleReservation ends a reservation with the token usage of its attempt.
func (f *Frontend) settleReservation(reserved reservation, used inventory.Tokens) {
	switch reserved := reserved.(type) {
	case localReservation:
		f.Ledger.Settle(reserved.reservation, used)
	case remoteReservation:
		f.Remote.Settle(reserved.reservation, used)
	}
}

// reduceBound asks an inference engine to count the prompt's tokens, which are usually far fewer than its bytes.
func (c *chatCall) reduceBound(ctx context.Context, bound inventory.Tokens) inventory.Tokens {
	choice, err := c.front.Picker.Pick(&c.routingRequest)
	if err != nil {
		return bound
	}
	defer choice.Done(routing.Cancelled{})
	ctx, cancel := context.WithTimeout(ctx, tokenCountTimeout)
	defer cancel()
	count, err := c.front.Engines.CountTokens(ctx, choice.Server.Address, c.engineBody)
	if err != nil || count < 1 {
		return bound
	}
	prompt := inventory.Tokens(count) * inventory.Tokens(c.chat.Choices)
	c.tokenBound = min(bound, prompt+c.chat.OutputBound(c.outputLimit))
	return c.tokenBound
}

func (c *call) mayFitLocally(bound inventory.Tokens) bool {
	for _, key := range c.budgetKeys {
		if !c.front.Ledger.MayFit(key, bound) {
			return false
		}
	}
	return true
}

func (localReservation) isReservation()  {}
func (remoteReservation) isReservation() {}

// mayFitLater reports whether a refused reservation may succeed soon.
func mayFitLater(err error) bool {
	var exhaustedErr *budget.ExhaustedError
	return errors.As(err, &exhaustedErr) && exhaustedErr.Retry > 0
}

// exhaustedRefusal returns the refusal for an error of the ledger.
func exhaustedRefusal(err error) *Refusal {
	var exhaustedErr *budget.ExhaustedError
	if !errors.As(err, &exhaustedErr) {
		return newRetryableRefusal(http.StatusServiceUnavailable, CodeBudget, "the budget is not known to this router yet", time.Second)
	}
	message := fmt.Sprintf("budget %s has %d tokens left here, fewer than the request may need", exhaustedErr.Key.Budget, exhaustedErr.Left)
	if exhaustedErr.Retry == 0 {
		return newRefusal(http.StatusPaymentRequired, CodeBudget, message)
	}
	return newRetryableRefusal(http.StatusTooManyRequests, CodeBudget, message, exhaustedErr.Retry)
}
