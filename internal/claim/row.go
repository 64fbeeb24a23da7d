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
	stateClaimed        claimState = "claimed"
	stateDone           claimState = "done"
	stateOutcomeUnknown claimState = "lost"     // It is unknown whether the request was run.
	stateReleased       claimState = "released" // Never stored: the row is deleted.

	claimPrefix  = "claim/"
	answerPrefix = "answer/"
)

type (
	// claimState is the state of a claim in its row.
	claimState string

	// row is the value of a claim row in the table.
	row struct {
		Nonce    string      `json:"nonce"`    // Identifies the claim.
		Instance string      `json:"instance"` // Router instance that holds the claim.
		Body     string      `json:"body"`     // Hash of the request body.
		State    claimState  `json:"state"`
		Status   int         `json:"status,omitempty"`  // HTTP status of the answer.
		Header   http.Header `json:"header,omitempty"`  // Header of the answer.
		Content  []byte      `json:"content,omitempty"` // Body of the answer, unless Object is set.
		Object   string      `json:"object,omitempty"`  // Key of the answer's body in the object store.
		Bill     *Bill       `json:"bill,omitempty"`
	}

	// pendingWrite is an update of a claim row, or its deletion, that is not known to have taken effect.
	pendingWrite struct {
		claim  *Claim
		state  claimState
		answer Answer
		bill   *Bill
	}
)

// Identity returns the identity of a keyed request: the account, the hash of the key and the hash of the hex-encoded
// body hash. The body is included because one key may run with two bodies during a table outage, and each of these
// requests is billed.
func Identity(account, key, bodyHash string) string {
	return strings.TrimPrefix(rowKey(account, key), claimPrefix) + "/" + Hash([]byte(bodyHash))
}

func rowKey(account, key string) string {
	return claimPrefix + account + "/" + Hash([]byte(key))
}

// claimKey returns the key of the claim row that belongs to the identity of a request.
func claimKey(identity string) string {
	return claimPrefix + identity[:max(0, strings.LastIndex(identity, "/"))]
}

// insertOp returns the operation that writes a claim row if none exists.
func insertOp(t rowTarget) table.Op {
	return table.Op{Key: t.key, Value: t.row.encode(), Cond: table.CondAbsent}
}

// replaceOp returns the operation that replaces the version of a claim row that the target names.
func replaceOp(t rowTarget) table.Op {
	return table.Op{Key: t.key, Value: t.row.encode(), Cond: table.CondVersion, Version: t.version}
}

// acquire retries a conditional write until it knows whether the row carries the claim's nonce. A claim whose write may
// still take effect although it is not acquired is abandoned.
func (c *Claims) acquire(ctx context.Context, claim *Claim, op func(rowTarget) table.Op) (Result, error) {
	uncertain := false
	for range maxAttempts {
		rows, err := c.commit(ctx, op(claim.target))
		if err == nil {
			claim.target.version = rows[0].Version
			return Claimed{Claim: claim}, nil
		}
		if errors.Is(err, table.ErrUnavailable) {
			break
		}
		uncertain = uncertain || !errors.Is(err, table.ErrConflict)
		found, err := c.get(ctx, claim.target.key)
		if errors.Is(err, table.ErrNotFound) {
			op = insertOp
			continue
		}
		if err != nil {
			continue
		}
		result, err := c.resultForRow(ctx, claim, found)
		if result == nil && err == nil {
			claim.target.version = found.Version
			op = replaceOp
			continue
		}
		if _, ok := result.(Claimed); !ok && uncertain {
			c.abandon(claim)
		}
		return result, err
	}
	if uncertain {
		c.abandon(claim)
	}
	return nil, ErrUnavailable
}

// abandon marks the claim's nonce as never run and has the row deleted, which may still appear in the table.
func (c *Claims) abandon(claim *Claim) {
	event.ClaimUnresolved.Log(c.Logger).Str("account", claim.Account).Str("nonce", claim.Nonce).Send()
	c.addNeverRun(claim.Nonce)
	c.addPending(pendingWrite{claim: claim, state: stateReleased})
}

// resultForRow returns the result of Begin for an existing row. It returns nil without an error if the row belongs to a
// claim of this instance that is never run, so that it may be replaced.
func (c *Claims) resultForRow(ctx context.Context, claim *Claim, found table.Row) (Result, error) {
	r, err := decodeRow(found)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	unknown := OutcomeUnknown{Instance: r.Instance, Nonce: r.Nonce, target: rowTarget{version: found.Version}}
	switch {
	case r.Nonce == claim.Nonce:
		claim.target.version = found.Version
		return Claimed{Claim: claim}, nil
	case r.State == stateClaimed && c.isNeverRun(r.Nonce):
		return nil, nil
	case r.Body != claim.run.bodyHash:
		return BodyMismatch{}, nil
	case r.State == stateDone:
		return c.recordedResult(ctx, r, unknown)
	case r.State == stateOutcomeUnknown || r.Instance == c.Instance:
		return unknown, nil
	}
	dead, err := c.isDead(ctx, r.Instance)
	if err == nil && dead {
		return unknown, nil
	}
	return Running{Instance: r.Instance, Nonce: r.Nonce}, nil
}

func (c *Claims) isNeverRun(nonce string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.neverRun.contains(nonce)
}

// recordedResult returns the recorded answer, or the given unknown outcome if the body of the answer no longer exists
// in the object store.
func (c *Claims) recordedResult(ctx context.Context, r row, unknown OutcomeUnknown) (Result, error) {
	answer := Answer{Status: r.Status, Header: r.Header, Body: r.Content}
	if r.Object == "" {
		return Recorded{Answer: answer}, nil
	}
	body, err := c.Objects.Get(ctx, r.Object)
	if errors.Is(err, object.ErrNotFound) {
		return unknown, nil
	}
	if err != nil {
		return nil, ErrUnavailable
	}
	answer.Body = body
	return Recorded{Answer: answer}, nil
}

// writeOrQueue updates the row of a held claim. If that cannot be confirmed, it queues the update, which Run retries,
// and returns ErrPending.
func (c *Claims) writeOrQueue(ctx context.Context, claim *Claim, update pendingWrite) error {
	err := c.applyPending(ctx, update)
	if errors.Is(err, ErrPending) {
		event.ClaimPending.Log(c.Logger).Str("account", claim.Account).Str("state", string(update.state)).Send()
		c.addPending(update)
		return trace.Wrap(err)
	}
	c.removeRun(claim)
	return trace.Wrap(err)
}

// applyPending writes one pending update. The condition on the version makes retries harmless.
func (c *Claims) applyPending(ctx context.Context, p pendingWrite) error {
	op, err := c.pendingOp(ctx, p)
	if err != nil {
		return ErrPending
	}
	for range maxAttempts {
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
		done, err := p.checkStored(found, err)
		if done {
			return err
		}
		op.Version = found.Version
	}
	return ErrPending
}

// checkStored checks a row that was read back after a write without a confirmed outcome. It reports whether no further
// write is needed, and then returns the result of the update.
func (p pendingWrite) checkStored(found table.Row, err error) (bool, error) {
	if err != nil {
		return true, p.errIfSuperseded()
	}
	r, err := decodeRow(found)
	if err != nil || r.Nonce != p.claim.Nonce {
		return true, p.errIfSuperseded()
	}
	return r.State == p.state, nil
}

// errIfSuperseded returns the result of an update whose row no longer carries the claim's nonce.
func (p pendingWrite) errIfSuperseded() error {
	if p.state == stateDone {
		return ErrSuperseded
	}
	return nil
}

// pendingOp returns the operation for a pending update. An answer body larger than Inline is put into the object store
// first.
func (c *Claims) pendingOp(ctx context.Context, p pendingWrite) (table.Op, error) {
	t := p.claim.target
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
	if len(r.Content) > positiveOr(c.Inline, defaultMaxInlineBytes) {
		r.Content = nil
		r.Object = answerPrefix + p.claim.Identity + "/" + p.claim.Nonce
		if err := c.Objects.Put(ctx, r.Object, p.answer.Body); err != nil {
			return op, trace.Wrap(err)
		}
	}
	op.Value = r.encode()
	return op, nil
}

func (c *Claims) isDead(ctx context.Context, instance string) (bool, error) {
	if c.Dead == nil {
		return false, nil
	}
	return c.Dead(ctx, instance)
}

func (c *Claims) commit(ctx context.Context, ops ...table.Op) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, positiveOr(c.Timeout, defaultTableTimeout))
	defer cancel()
	return c.Table.Commit(ctx, ops)
}

func (c *Claims) get(ctx context.Context, key string) (table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, positiveOr(c.Timeout, defaultTableTimeout))
	defer cancel()
	return c.Table.Get(ctx, key)
}

func (r row) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // A row holds only strings, numbers and bytes, which can always be encoded.
	}
	return value
}

func decodeRow(found table.Row) (row, error) {
	var r row
	err := json.Unmarshal(found.Value, &r)
	return r, trace.Wrap(err, "claim row %s", found.Key)
}
