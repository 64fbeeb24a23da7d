package claim

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"github.com/gravitational/trace"

	"citronslip/internal/event"
	"citronslip/internal/object"
	"citronslip/internal/table"
)

const (
	stateClaimed  rowState = "claimed"
	stateDone     rowState = "done"
	stateLost     rowState = "lost"
	stateReleased rowState = "released" // Never stored: the row is removed.

	claimPrefix  = "claim/"
	answerPrefix = "answer/"
)

type (
	rowState string

	// row is the value of a claim row.
	row struct {
		Nonce    string      `json:"nonce"`
		Instance string      `json:"instance"`
		Body     string      `json:"body"` // Hash of the request body.
		State    rowState    `json:"state"`
		Status   int         `json:"status,omitempty"`
		Header   http.Header `json:"header,omitempty"`
		Content  []byte      `json:"content,omitempty"`
		Object   string      `json:"object,omitempty"` // Key of the body in the object store.
		Bill     *Bill       `json:"bill,omitempty"`
	}

	// pending is a change of a claim row that has not been confirmed yet.
	pending struct {
		claim  *Claim
		state  rowState
		answer Answer
		bill   *Bill
	}
)

// Identity returns the identity of a keyed request: the account, the hash of the key and the hash of the body. The body
// is part of it: during a table outage one key may be run with two bodies, and these are two requests to bill.
func Identity(account, key, body string) string {
	return strings.TrimPrefix(rowKey(account, key), claimPrefix) + "/" + Body([]byte(body))
}

func rowKey(account, key string) string {
	return claimPrefix + account + "/" + Body([]byte(key))
}

// claimKey returns the key of the claim row that belongs to the identity of a request.
func claimKey(identity string) string {
	return claimPrefix + identity[:max(0, strings.LastIndex(identity, "/"))]
}

// insertOp writes a claim row if none exists.
func insertOp(t ticket) table.Op {
	return table.Op{Key: t.key, Value: t.row.encode(), Cond: table.CondAbsent}
}

// replaceOp writes a claim row over the version in the ticket.
func replaceOp(t ticket) table.Op {
	return table.Op{Key: t.key, Value: t.row.encode(), Cond: table.CondVersion, Version: t.version}
}

// acquire repeats a conditional write until it knows whether the row carries the claim's nonce. A nonce whose write
// may still take effect is disowned.
func (c *Claims) acquire(ctx context.Context, claim *Claim, op func(ticket) table.Op) (Result, error) {
	doubtful := false
	for range attempts {
		rows, err := c.commit(ctx, op(claim.ticket))
		if err == nil {
			claim.ticket.version = rows[0].Version
			return Claimed{Claim: claim}, nil
		}
		if errors.Is(err, table.ErrUnavailable) {
			break
		}
		doubtful = doubtful || !errors.Is(err, table.ErrConflict)
		found, err := c.get(ctx, claim.ticket.key)
		if errors.Is(err, table.ErrNotFound) {
			op = insertOp
			continue
		}
		if err != nil {
			continue
		}
		result, err := c.judge(ctx, claim, found)
		if result == nil && err == nil {
			claim.ticket.version = found.Version
			op = replaceOp
			continue
		}
		if _, ok := result.(Claimed); !ok && doubtful {
			c.disown(claim)
		}
		return result, err
	}
	if doubtful {
		c.disown(claim)
	}
	return nil, ErrUnavailable
}

// disown remembers that a nonce never runs, although its row may appear, and has the row removed.
func (c *Claims) disown(claim *Claim) {
	event.ClaimUnresolved.Log(c.Logger).Str("account", claim.Account).Str("nonce", claim.Nonce).Send()
	c.drop(claim.Nonce)
	c.remember(pending{claim: claim, state: stateReleased})
}

// judge turns a row into the result of Begin. It returns nothing for a row that stands for no run and may be replaced.
func (c *Claims) judge(ctx context.Context, claim *Claim, found table.Row) (Result, error) {
	r, err := decode(found)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	lost := Lost{Instance: r.Instance, Nonce: r.Nonce, ticket: ticket{version: found.Version}}
	switch {
	case r.Nonce == claim.Nonce:
		claim.ticket.version = found.Version
		return Claimed{Claim: claim}, nil
	case r.State == stateClaimed && c.neverRuns(r.Nonce):
		return nil, nil
	case r.Body != claim.run.body:
		return Mismatch{}, nil
	case r.State == stateDone:
		return c.recorded(ctx, r, lost)
	case r.State == stateLost || r.Instance == c.Instance:
		return lost, nil
	}
	dead, err := c.dead(ctx, r.Instance)
	if err == nil && dead {
		return lost, nil
	}
	return Running{Instance: r.Instance, Nonce: r.Nonce}, nil
}

func (c *Claims) neverRuns(nonce string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped.has(nonce)
}

// recorded returns the recorded answer. An answer whose body is gone from the object store is lost.
func (c *Claims) recorded(ctx context.Context, r row, lost Lost) (Result, error) {
	answer := Answer{Status: r.Status, Header: r.Header, Body: r.Content}
	if r.Object == "" {
		return Recorded{Answer: answer}, nil
	}
	body, err := c.Objects.Get(ctx, r.Object)
	if errors.Is(err, object.ErrNotFound) {
		return lost, nil
	}
	if err != nil {
		return nil, ErrUnavailable
	}
	answer.Body = body
	return Recorded{Answer: answer}, nil
}

// write changes the row of a held claim once; if that stays unconfirmed, Run repeats it.
func (c *Claims) write(ctx context.Context, claim *Claim, p pending) error {
	err := c.apply(ctx, p)
	if errors.Is(err, ErrPending) {
		event.ClaimPending.Log(c.Logger).Str("account", claim.Account).Str("state", string(p.state)).Send()
		c.remember(p)
		return trace.Wrap(err)
	}
	c.forget(claim)
	return trace.Wrap(err)
}

// apply writes one pending change. The condition on the version makes repeats harmless.
func (c *Claims) apply(ctx context.Context, p pending) error {
	op, err := c.op(ctx, p)
	if err != nil {
		return ErrPending
	}
	for range attempts {
		_, err = c.commit(ctx, op)
		if err == nil {
			return nil
		}
		if errors.Is(err, table.ErrUnavailable) {
			return ErrPending
		}
		found, err := c.get(ctx, op.Key)
		if err != nil && !errors.Is(err, table.ErrNotFound) {
			continue
		}
		done, err := p.confirm(found, err)
		if done {
			return err
		}
		op.Version = found.Version
	}
	return ErrPending
}

// confirm reports whether a row that was read back needs no further write.
func (p pending) confirm(found table.Row, err error) (bool, error) {
	if err != nil {
		return true, p.gone()
	}
	r, err := decode(found)
	if err != nil || r.Nonce != p.claim.Nonce {
		return true, p.gone()
	}
	return r.State == p.state, nil
}

// gone is the outcome when the row no longer carries the claim's nonce.
func (p pending) gone() error {
	if p.state == stateDone {
		return ErrSuperseded
	}
	return nil
}

func (c *Claims) op(ctx context.Context, p pending) (table.Op, error) {
	t := p.claim.ticket
	op := table.Op{Key: t.key, Cond: table.CondVersion, Version: t.version}
	if p.state == stateReleased {
		op.Delete = true
		return op, nil
	}
	r := t.row
	r.State = p.state
	r.Bill = p.bill
	r.Status = p.answer.Status
	r.Header = p.answer.Header
	r.Content = p.answer.Body
	if len(r.Content) > positive(c.Inline, defaultInline) {
		r.Content = nil
		r.Object = answerPrefix + p.claim.Identity + "/" + p.claim.Nonce
		if err := c.Objects.Put(ctx, r.Object, p.answer.Body); err != nil {
			return op, trace.Wrap(err)
		}
	}
	op.Value = r.encode()
	return op, nil
}

func (c *Claims) dead(ctx context.Context, instance string) (bool, error) {
	if c.Dead == nil {
		return false, nil
	}
	return c.Dead(ctx, instance)
}

func (c *Claims) commit(ctx context.Context, ops ...table.Op) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, positive(c.Timeout, defaultTimeout))
	defer cancel()
	return c.Table.Commit(ctx, ops)
}

func (c *Claims) get(ctx context.Context, key string) (table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, positive(c.Timeout, defaultTimeout))
	defer cancel()
	return c.Table.Get(ctx, key)
}

func (r row) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // A row holds only strings, numbers and bytes, which always encode.
	}
	return value
}

func decode(found table.Row) (row, error) {
	var r row
	err := json.Unmarshal(found.Value, &r)
	return r, trace.Wrap(err, "claim row %s", found.Key)
}
