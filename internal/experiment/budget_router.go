package experiment

import (
	"context"
	"fmt"
	"time"

	"citronslip/internal/budget"
	"citronslip/internal/hosts"
	"citronslip/internal/table"
	"citronslip/pkg/inventory"
)

// startInstance starts a new instance at the address.
func (r *budgetRouter) startInstance() {
	r.sim.instanceCount++
	r.instance = fmt.Sprintf("r%d", r.sim.instanceCount)
	r.up = true
	r.declared.Store(r.sim.declared)
	r.ledger = &budget.Ledger{Declared: &r.declared, Now: r.sim.clock}
	r.home = &budget.Home{Ledger: r.ledger, Now: r.sim.clock, Wait: time.Nanosecond, Report: r.sim.attemptUsage}
	r.remote = &budget.Remote{Live: &r.live, Address: r.address, Instance: r.instance, Call: r.call}
	r.grants = &budget.GrantController{Table: r, Hosts: r, Ledger: r.ledger, Declared: &r.declared, Live: &r.live, Home: r.home,
		Usage: r.sim.usageOf, Instance: r.instance, Address: r.address, Now: r.sim.clock,
		Policy: newPolicy(r.sim.config.policy, r.sim.config.fleet, r.sim.totals[0])}
}

// crash ends the instance. The host starts another one after restartDelay.
func (r *budgetRouter) crash() {
	r.up = false
	r.restartAt = r.sim.now.Add(restartDelay)
	r.sim.updateLiveRouters()
}

// dispatch reserves tokens for a request as caller.Frontend does: by the loose bound, and if that does not fit, by
// the tight one. It reports whether the request runs.
func (r *budgetRouter) dispatch(ctx context.Context, req budgetRequest) bool {
	if r.reserve(ctx, req, req.looseBound) {
		return true
	}
	return r.reserve(ctx, req, req.tightBound)
}

// reserve reserves the bound in the router's own grant, if necessary after a controller step, or else at
// another router. It starts the request and returns true if it succeeds. Baselines reserve only in their own grants.
func (r *budgetRouter) reserve(ctx context.Context, req budgetRequest, bound inventory.Tokens) bool {
	keys := []budget.Key{r.sim.trace.keys[req.keyIndex]}
	reservation, err := r.ledger.Reserve(keys, bound)
	if err != nil && r.canOpenGrant(keys[0]) {
		_ = r.grants.Step(ctx) // A refusal triggers a controller step.
		reservation, err = r.ledger.Reserve(keys, bound)
	}
	if err == nil {
		ledger := r.ledger
		r.sim.execute(r, req, func() { ledger.Settle(reservation, req.actualTokens) })
		return true
	}
	if r.sim.config.policy != "product" {
		return false
	}
	r.sim.attemptCount++
	remoteReservation, err := r.remote.Reserve(ctx, fmt.Sprintf("%s.%d", r.instance, r.sim.attemptCount), keys, bound)
	if err != nil {
		return false
	}
	remote := r.remote
	r.sim.execute(r.sim.routerAt(remoteReservation.Address), req, func() {
		r.sim.attemptTokens[remoteReservation.Attempt] = req.actualTokens
		remote.Settle(remoteReservation, req.actualTokens)
	})
	return true
}

// canOpenGrant reports whether an immediate controller step can open a grant. In a large fleet only the budget's home
// router opens one without observing the demand first.
func (r *budgetRouter) canOpenGrant(key budget.Key) bool {
	live := *r.live.Load()
	return len(live) <= budget.DefaultMaxDirectRouters || budget.HomeOf(live, key) == r.address
}

// call delivers a message to another router. It returns context.DeadlineExceeded if that cannot be reached.
func (r *budgetRouter) call(ctx context.Context, address, _ string, params, reply any) error {
	peer := r.sim.routerAt(address)
	if !r.up || !peer.up || peer.partitioned != r.partitioned {
		return context.DeadlineExceeded
	}
	switch p := params.(type) {
	case budget.ReserveParams:
		err := peer.home.Reserve(ctx, p)
		if err != nil {
			_ = peer.grants.Step(ctx)
			err = peer.home.Reserve(ctx, p)
		}
		if out, ok := reply.(*budget.ReserveReply); ok {
			*out, _ = budget.ReplyOf(err)
		}
	case budget.SettleParams:
		peer.home.Settle(p)
	case budget.CancelParams:
		peer.home.Cancel(p)
	}
	return nil
}

// Hosts returns all routers: one that restarts stays in the list.
func (r *budgetRouter) Hosts(context.Context) ([]hosts.Host, error) {
	var result []hosts.Host
	for _, other := range r.sim.routers {
		result = append(result, hosts.Host{Address: other.address, State: hosts.StateLive})
	}
	return result, nil
}

// Commit forwards to the table, or returns table.ErrUnavailable if the router cannot reach it.
func (r *budgetRouter) Commit(ctx context.Context, ops []table.Op) ([]table.Row, error) {
	if r.sim.tableDown || r.partitioned {
		return nil, table.ErrUnavailable
	}
	return r.sim.table.Commit(ctx, ops)
}

// Get forwards to the table, or returns table.ErrUnavailable if the router cannot reach it.
func (r *budgetRouter) Get(ctx context.Context, key string) (table.Row, error) {
	if r.sim.tableDown || r.partitioned {
		return table.Row{}, table.ErrUnavailable
	}
	return r.sim.table.Get(ctx, key)
}

// Scan forwards to the table, or returns table.ErrUnavailable if the router cannot reach it.
func (r *budgetRouter) Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if r.sim.tableDown || r.partitioned {
		return nil, table.ErrUnavailable
	}
	return r.sim.table.Scan(ctx, prefix, after, limit)
}

// routerAt returns the router at an address.
func (s *budgetSim) routerAt(address string) *budgetRouter {
	return s.routers[s.routerIndex[address]]
}

// execute runs a request on an engine and debits it to the grant of a router; settle is called at its end. The engine
// finishes the request even if the router crashes.
func (s *budgetSim) execute(debitedRouter *budgetRouter, req budgetRequest, settle func()) {
	s.consumed[req.keyIndex] += req.actualTokens
	key := usageKey{instance: debitedRouter.instance, key: s.trace.keys[req.keyIndex]}
	usage := s.engineUsage[key]
	if usage == nil {
		usage = &instanceUsage{}
		s.engineUsage[key] = usage
	}
	usage.used += req.actualTokens
	usage.running++
	second := int64((req.arrival+req.duration)/time.Second) + 1
	s.completions[second] = append(s.completions[second], func() {
		usage.running--
		settle()
	})
}

// attemptUsage returns the tokens that the engines report for an attempt whose reservation is at another router. It
// returns false if the attempt has not ended.
func (s *budgetSim) attemptUsage(attempt string) (inventory.Tokens, bool) {
	used, ok := s.attemptTokens[attempt]
	return used, ok
}

// usageOf returns the tokens of a budget that the engines report for the attempts debited to an instance, and whether
// all of them have ended.
func (s *budgetSim) usageOf(_ context.Context, instance string, key budget.Key) (inventory.Tokens, bool) {
	usage := s.engineUsage[usageKey{instance: instance, key: key}]
	if usage == nil {
		return 0, true
	}
	return usage.used, usage.running == 0
}
