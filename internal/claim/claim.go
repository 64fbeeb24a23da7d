// Package claim makes keyed requests run at most once, records their answers and bills every request once.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/event"
	"citronslip/internal/object"
	"citronslip/internal/table"
)

const (
	// defaultTimeout bounds one call to the table, so that a stalled call becomes an unknown outcome.
	defaultTimeout = 2 * time.Second
	// defaultRetention is how long claims and answers are kept.
	defaultRetention = 24 * time.Hour
	// defaultInline is the largest body kept in a table row; larger ones go to the object store.
	defaultInline = 16 << 10
	// defaultMost bounds the claims whose row is still to be written or removed.
	defaultMost = 10000
	// defaultHeld bounds the bytes of answers waiting for the table or the object store.
	defaultHeld = 64 << 20
	// defaultInterval is the time between rounds of Run.
	defaultInterval = 10 * time.Second
	// defaultPage is the number of rows that the fleet's cleaner looks at in one interval: at most 50 reads and 50
	// writes each second.
	defaultPage = 500
	// attempts bounds how often one call is repeated to resolve a lost answer.
	attempts = 4
)

var (
	// ErrUnavailable says that this submission is certainly not claimed and must not run under the claim. It says
	// nothing about earlier submissions of the same key.
	ErrUnavailable = errors.New("claim: table unavailable, not claimed")
	// ErrPending says that the row is not written yet; Run repeats the write.
	ErrPending = errors.New("claim: not written yet")
	// ErrSuperseded says that another router has taken over the claim, so that this answer is not the recorded one.
	ErrSuperseded = errors.New("claim: taken over by another instance")
	// ErrReleased tells a follower that the leader certainly did not run the request; it may begin again.
	ErrReleased = errors.New("claim: released, the request was not run")
	// ErrLost tells a follower that the outcome of the leader's run is unknown.
	ErrLost = errors.New("claim: outcome unknown")
)

type (
	// Result is what Begin found: Claimed, Recorded, Running, Joined, Lost or Mismatch.
	Result interface{ result() }

	// Claimed says that the caller holds the claim and is to run the request.
	Claimed struct{ Claim *Claim }

	// Recorded holds the recorded answer of an earlier run.
	Recorded struct{ Answer Answer }

	// Running says that another instance runs the request. Its Claims.Report knows the state.
	Running struct{ Instance, Nonce string }

	// Joined says that this router already runs the request.
	Joined struct{ run *run }

	// Lost says that the outcome is unknown. Claims.Takeover continues it if the request may run twice.
	Lost struct {
		Instance, Nonce string
		ticket          ticket
	}

	// Mismatch says that the key was used with another body.
	Mismatch struct{}

	// Answer is the whole answer to a request.
	Answer struct {
		Status int         `json:"status"`
		Header http.Header `json:"header,omitempty"`
		Body   []byte      `json:"body,omitempty"`
	}

	// Claim is the right to run one request. It ends with one call of Finish, Release or Lose.
	Claim struct {
		Account, Key, Nonce string
		Identity            string // Identity of the request for its bill.
		run                 *run
		ticket              ticket
	}

	// Claims keeps the claims of one router instance. Set the exported fields before the first use.
	Claims struct {
		Table     table.Table
		Objects   object.Store
		Instance  string
		Retention time.Duration // Zero means 24 hours.
		Timeout   time.Duration // Limit of one table call; zero means 2 s.
		Interval  time.Duration // Time between rounds of Run; zero means 10 s.
		Inline    int           // Largest body kept in a row; zero means 16 KiB.
		Most      int           // Most claims waiting for the table; zero means 10,000.
		Page      int           // Rows that the fleet's cleaner looks at in one interval; zero means 500.
		// Dead reports whether an instance is proven to have ended. Nil means that none is.
		Dead func(ctx context.Context, instance string) (bool, error)
		// Owed, when set, takes bills of dead instances that are found in claim rows.
		Owed    func(Bill)
		Metrics tally.Scope
		Logger  *zerolog.Logger

		mu      sync.Mutex
		runs    map[string]*run    // By row key.
		pending map[string]pending // By nonce: rows to write or remove.
		held    int                // Bytes of the bodies in pending.
		dropped recent             // Nonces of this instance that certainly never run.
		cursors map[string]uint64  // Versions of the cleaner's cursor rows at the last look, by prefix.
	}

	// ticket names a row and what to write there.
	ticket struct {
		key     string
		version uint64
		row     row
	}
)

func (Claimed) result()  {}
func (Recorded) result() {}
func (Running) result()  {}
func (Joined) result()   {}
func (Lost) result()     {}
func (Mismatch) result() {}

// Body returns the hash of a request body for Begin.
func Body(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Begin claims a request or says what became of it. An error means that this submission holds no claim.
func (c *Claims) Begin(ctx context.Context, account, key, body string) (Result, error) {
	claim := c.newClaim(account, key, body)
	if joined := c.lead(claim); joined != nil {
		return joined, nil
	}
	result, err := c.acquire(ctx, claim, insertOp)
	return c.settle(claim, result, err)
}

// Takeover claims a request whose outcome is lost. Only requests that may run more than once are to be taken over.
func (c *Claims) Takeover(ctx context.Context, lost Lost, account, key, body string) (Result, error) {
	claim := c.newClaim(account, key, body)
	if joined := c.lead(claim); joined != nil {
		return joined, nil
	}
	claim.ticket.version = lost.ticket.version
	result, err := c.acquire(ctx, claim, replaceOp)
	return c.settle(claim, result, err)
}

// Unclaimed starts an idempotent request without a row, for when the table is unavailable. Requests with the same key
// in this router join it.
func (c *Claims) Unclaimed(account, key, body string) Result {
	claim := c.newClaim(account, key, body)
	if joined := c.lead(claim); joined != nil {
		return joined
	}
	claim.ticket.key = ""
	return Claimed{Claim: claim}
}

// Finish records the answer and hands it to the followers. The answer may be delivered whatever the error says. The
// bill is kept with the answer, so that it survives the death of this instance.
func (c *Claims) Finish(ctx context.Context, claim *Claim, answer Answer, bill Bill) error {
	bill.Key, bill.Number = claim.Identity, 0
	c.end(claim, answer, nil)
	if claim.ticket.key == "" {
		c.forget(claim)
		return nil
	}
	return c.write(ctx, claim, pending{claim: claim, state: stateDone, answer: answer, bill: &bill})
}

// Release gives up a claim whose request certainly was not run. Other instances may run it once the row is gone; until
// then this instance reports it as released.
func (c *Claims) Release(ctx context.Context, claim *Claim) error {
	c.drop(claim.Nonce)
	c.end(claim, Answer{}, ErrReleased)
	c.forget(claim)
	if claim.ticket.key == "" {
		return nil
	}
	return c.write(ctx, claim, pending{claim: claim, state: stateReleased})
}

// Lose records that the outcome of a run is unknown.
func (c *Claims) Lose(ctx context.Context, claim *Claim) error {
	c.end(claim, Answer{}, ErrLost)
	c.forget(claim)
	if claim.ticket.key == "" {
		return nil
	}
	event.ClaimLost.Log(c.Logger).Str("account", claim.Account).Str("nonce", claim.Nonce).Send()
	return c.write(ctx, claim, pending{claim: claim, state: stateLost})
}

func (c *Claims) newClaim(account, key, body string) *Claim {
	nonce := uuid.NewString()
	return &Claim{
		Account:  account,
		Key:      key,
		Nonce:    nonce,
		Identity: Identity(account, key, body),
		run:      &run{body: body, nonce: nonce, done: make(chan struct{})},
		ticket: ticket{
			key: rowKey(account, key),
			row: row{Nonce: nonce, Instance: c.Instance, Body: body, State: stateClaimed},
		},
	}
}

// settle ends the local run of a submission that did not get the claim.
func (c *Claims) settle(claim *Claim, result Result, err error) (Result, error) {
	if _, ok := result.(Claimed); ok && err == nil {
		c.count("claimed")
		return result, nil
	}
	c.end(claim, Answer{}, ErrReleased)
	c.forget(claim)
	if err != nil {
		c.count("unavailable")
		return nil, trace.Wrap(err)
	}
	return result, nil
}

func (c *Claims) count(name string) {
	if c.Metrics != nil {
		c.Metrics.Counter(name).Inc(1)
	}
}

func positive[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
