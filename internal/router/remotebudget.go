package router

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"citronslip/internal/budget"
	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

const (
	// budgetCallTimeout bounds a call to a budget method of another router.
	budgetCallTimeout = time.Second
)

// handleReserve answers another router that reserves tokens of this router's grants for an attempt. Every error becomes
// a part of the answer.
func (r *Router) handleReserve(ctx context.Context, call wire.BudgetReserve) (wire.BudgetAnswer, error) {
	err := r.budgetHome.Reserve(ctx, budget.ReserveParams{
		Instance: call.Instance,
		Attempt:  call.Attempt,
		Keys:     fromWireKeys(call.Keys),
		Bound:    inventory.Tokens(call.Bound),
	})
	var exhausted *budget.ExhaustedError
	switch {
	case err == nil:
		return wire.BudgetAnswer{Done: true}, nil
	case errors.As(err, &exhausted):
		key := wire.BudgetKey{Account: exhausted.Key.Account, Budget: exhausted.Key.Budget}
		left := int(exhausted.Left)
		retry := exhausted.Retry.Seconds()
		return wire.BudgetAnswer{Short: &key, Left: &left, Retry: &retry}, nil
	default:
		reason := err.Error()
		return wire.BudgetAnswer{Reason: &reason}, nil
	}
}

// handleSettle releases the reservation of another router's attempt and charges the tokens that it used.
func (r *Router) handleSettle(_ context.Context, call wire.BudgetSettle) (wire.BudgetAnswer, error) {
	r.budgetHome.Settle(budget.SettleParams{Attempt: call.Attempt, Used: inventory.Tokens(call.Used)})
	return wire.BudgetAnswer{Done: true}, nil
}

// handleCancel releases the reservation of another router's attempt that was not dispatched, without a charge.
func (r *Router) handleCancel(_ context.Context, call wire.BudgetCancel) (wire.BudgetAnswer, error) {
	r.budgetHome.Cancel(budget.CancelParams{Attempt: call.Attempt})
	return wire.BudgetAnswer{Done: true}, nil
}

// callBudgetMethod calls the budget method of another router that fits the type of params. It fills reply, a
// *budget.ReserveReply, for a reservation.
func (r *Router) callBudgetMethod(ctx context.Context, address, method string, params, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, budgetCallTimeout)
	defer cancel()
	switch params := params.(type) {
	case budget.ReserveParams:
		answer, err := r.peerClient.ReserveBudget(ctx, address, wire.BudgetReserve{
			Attempt:  params.Attempt,
			Instance: params.Instance,
			Keys:     toWireKeys(params.Keys),
			Bound:    int(params.Bound),
		})
		if result, ok := reply.(*budget.ReserveReply); ok && err == nil {
			*result = reserveReply(answer)
		}
		return trace.Wrap(err)
	case budget.SettleParams:
		_, err := r.peerClient.SettleBudget(ctx, address, wire.BudgetSettle{
			Attempt:  params.Attempt,
			Instance: r.instance,
			Keys:     []wire.BudgetKey{},
			Used:     int(params.Used),
		})
		return trace.Wrap(err)
	case budget.CancelParams:
		_, err := r.peerClient.CancelBudget(ctx, address, wire.BudgetCancel{
			Attempt:  params.Attempt,
			Instance: r.instance,
			Keys:     []wire.BudgetKey{},
		})
		return trace.Wrap(err)
	default:
		return trace.BadParameter("%s is not a budget method", method)
	}
}

func reserveReply(answer wire.BudgetAnswer) budget.ReserveReply {
	reply := budget.ReserveReply{OK: answer.Done}
	if answer.Short != nil {
		reply.Key = budget.Key{Account: answer.Short.Account, Budget: answer.Short.Budget}
	}
	if answer.Left != nil {
		reply.Left = inventory.Tokens(*answer.Left)
	}
	if answer.Retry != nil {
		reply.Retry = *answer.Retry
	}
	return reply
}

func toWireKeys(keys []budget.Key) []wire.BudgetKey {
	list := make([]wire.BudgetKey, 0, len(keys))
	for _, key := range keys {
		list = append(list, wire.BudgetKey{Account: key.Account, Budget: key.Budget})
	}
	return list
}

func fromWireKeys(keys []wire.BudgetKey) []budget.Key {
	list := make([]budget.Key, 0, len(keys))
	for _, key := range keys {
		list = append(list, budget.Key{Account: key.Account, Budget: key.Budget})
	}
	return list
}
