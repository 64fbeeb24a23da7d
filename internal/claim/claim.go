// Package claim makes requests with an idempotency key run at most once, records their answers, and bills every request
// exactly once.
//
// A router claims a keyed request by writing a row for its key to the table before it runs the request. The row later
// holds the answer, so that a repeated submission of the key gets the recorded answer at any router. Each claim has a
// nonce, by which a router recognizes its own row after a write whose outcome it does not know.
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
	// defaultTableTimeout bounds one table call. A stalled call ends with an unknown outcome.
	defaultTableTimeout = 2 * time.Second
	// defaultRetention is how long claims and answers are kept.
	defaultRetention = 24 * time.Hour
	// defaultMaxInlineBytes is the largest answer body kept in a table row; larger ones go to the object store.
	defaultMaxInlineBytes = 16 << 10
	// defaultMaxPending bounds the claims whose row is still to be updated or deleted.
	defaultMaxPending = 10000
	// maxPendingBytes bounds the answer bodies that wait to be written to the table or the object store.
	maxPendingBytes = 64 << 20
	// defaultCleanInterval is the time between two deletions of expired rows.
	defaultCleanInterval = 10 * time.Second
	// defaultPageRows is the number of rows checked for expiry per interval in the whole fleet: at most 50 reads and 50
	// writes each second.
	defaultPageRows = 500
	// maxAttempts bounds the attempts of one table write whose outcome is unknown or that conflicts with another write.
	maxAttempts = 4
)

var (
	// ErrUnavailable is returned when the table does not confirm the claim, or a recorded answer cannot be read. The
	// submission is certainly not claimed and must not run under the claim. Earlier submissions of the same key may
	// have run.
	ErrUnavailable = errors.New("claim: table unavailable, request not claimed")
	// ErrPending is returned when the claim row could not be updated yet; Claims.Run retries the write.
	ErrPending = errors.New("claim: update of the claim row not confirmed yet")
	// ErrSuperseded is returned when another router has taken over the claim, so that this answer is not recorded.
	ErrSuperseded = errors.New("claim: taken over by another router instance")
	// ErrReleased is returned to a follower when the leader certainly did not run the request. The follower may call
	// Begin again.
	ErrReleased = errors.New("claim: released, the request was not run")
	// ErrOutcomeUnknown is returned to a follower when it is unknown whether the leader ran the request.
	ErrOutcomeUnknown = errors.New("claim: outcome of the request unknown")
)

type (
	// Result is the result of Begin: Claimed, Recorded, Running, Joined, OutcomeUnknown or BodyMismatch.
	Result interface{ result() }

	// Claimed is returned when the caller holds the claim and is to run the request.
	Claimed struct{ Claim *Claim }

	// Recorded is returned when an earlier run of the request has a recorded answer.
	Recorded struct{ Answer Answer }

	// Running is returned when another instance runs the request. Claims.Report at that instance returns the state.
	Running struct{ Instance, Nonce string }

	// Joined is returned to a follower: the same request, called the leader, already runs in this router.
	Joined struct{ run *run }

	// OutcomeUnknown is returned when it is unknown whether the request was run. Claims.Takeover claims it again, which
	// is allowed only for requests that may run more than once.
	OutcomeUnknown struct {
		Instance, Nonce string
		target          rowTarget
	}

	// BodyMismatch is returned when the key was used before with another request body.
	BodyMismatch struct{}

	// Answer is the complete HTTP response to a request.
	Answer struct {
		Status int         `json:"status"`
		Header http.Header `json:"header,omitempty"`
		Body   []byte      `json:"body,omitempty"`
	}

	// Claim is the right to run one request. Its holder must end it once: finish it, release it or record that the
	// outcome is unknown.
	Claim struct {
		Account, Key, Nonce string
		Identity            string // Identifies the request on its bill; see the function Identity.
		run                 *run
		target              rowTarget
	}

	// Claims keeps the claims of one router instance. Set the exported fields before the first use.
	Claims struct {
		Table     table.Table
		Objects   object.Store
		Instance  string
		Retention time.Duration // How long claims and answers are kept; zero means 24 hours.
		Timeout   time.Duration // Timeout of one table call; zero means 2 s.
		Interval  time.Duration // Time between two deletions of expired rows; zero means 10 s.
		Inline    int           // Largest answer body kept in a table row, in bytes; zero means 16 KiB.
		Most      int           // Maximum number of unconfirmed updates of claim rows; zero means 10,000.
		Page      int           // Rows checked for expiry per interval in the whole fleet; zero means 500.
		// Dead reports whether an instance is proven to have ended. If nil, no instance is.
		Dead func(ctx context.Context, instance string) (bool, error)
		// Owed, if set, is called with the unwritten bills that are found in claim rows of dead instances and in
		// expired claim rows.
		Owed    func(Bill)
		Metrics tally.Scope
		Logger  *zerolog.Logger

		mu             sync.Mutex
		runs           map[string]*run         // Requests in progress in this router, by row key.
		pending        map[string]pendingWrite // Unconfirmed updates and deletions of claim rows, by nonce.
		pendingBytes   int                     // Size of the answer bodies in pending.
		neverRun       boundedSet              // Nonces of this instance under which no request was or will be run.
		cursorVersions map[string]uint64       // Versions of the cursor rows of Cleanup when last read, by prefix.
	}

	// rowTarget holds the key, the last known version and the new value of a claim row. The key is empty for a request
	// that runs without a claim.
	rowTarget struct {
		key     string
		version uint64
		row     row
	}
)

func (Claimed) result()        {}
func (Recorded) result()       {}
func (Running) result()        {}
func (Joined) result()         {}
func (OutcomeUnknown) result() {}
func (BodyMismatch) result()   {}

// Hash returns the hex-encoded SHA-256 hash of a request body, as Begin takes it.
func Hash(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Begin claims a request, or returns the state of an earlier submission of the same key. If it returns an error, this
// submission holds no claim.
func (c *Claims) Begin(ctx context.Context, account, key, bodyHash string) (Result, error) {
	claim := c.newClaim(account, key, bodyHash)
	if joined := c.joinOrRegister(claim); joined != nil {
		return joined, nil
	}
	result, err := c.acquire(ctx, claim, insertOp)
	return c.releaseUnlessClaimed(claim, result, err)
}

// Takeover claims a request again whose outcome is unknown. It must be used only for requests that may run more than
// once.
func (c *Claims) Takeover(ctx context.Context, unknown OutcomeUnknown, account, key, bodyHash string) (Result, error) {
	claim := c.newClaim(account, key, bodyHash)
	if joined := c.joinOrRegister(claim); joined != nil {
		return joined, nil
	}
	claim.target.version = unknown.target.version
	result, err := c.acquire(ctx, claim, replaceOp)
	return c.releaseUnlessClaimed(claim, result, err)
}

// BeginUnclaimed starts an idempotent request without writing a row, for use while the table is unavailable. Later
// requests with the same key in this router join it.
func (c *Claims) BeginUnclaimed(account, key, bodyHash string) Result {
	claim := c.newClaim(account, key, bodyHash)
	if joined := c.joinOrRegister(claim); joined != nil {
		return joined
	}
	claim.target.key = ""
	return Claimed{Claim: claim}
}

// Finish records the answer and passes it to the followers. The caller may deliver the answer even if Finish returns an
// error. The bill is stored in the row with the answer, so that it can be recovered if this instance dies before it has
// written the bill.
func (c *Claims) Finish(ctx context.Context, claim *Claim, answer Answer, bill Bill) error {
	bill.Key, bill.Number = claim.Identity, 0
	c.completeRun(claim, answer, nil)
	if claim.target.key == "" {
		c.removeRun(claim)
		return nil
	}
	return c.writeOrQueue(ctx, claim, pendingWrite{claim: claim, state: stateDone, answer: answer, bill: &bill})
}

// Release gives up a claim whose request certainly was not run. Other instances may run the request once the row is
// deleted; until then this instance reports the claim as released.
func (c *Claims) Release(ctx context.Context, claim *Claim) error {
	c.addNeverRun(claim.Nonce)
	c.completeRun(claim, Answer{}, ErrReleased)
	c.removeRun(claim)
	if claim.target.key == "" {
		return nil
	}
	return c.writeOrQueue(ctx, claim, pendingWrite{claim: claim, state: stateReleased})
}

// RecordOutcomeUnknown records that it is unknown whether the request was run.
func (c *Claims) RecordOutcomeUnknown(ctx context.Context, claim *Claim) error {
	c.completeRun(claim, Answer{}, ErrOutcomeUnknown)
	c.removeRun(claim)
	if claim.target.key == "" {
		return nil
	}
	event.ClaimLost.Log(c.Logger).Str("account", claim.Account).Str("nonce", claim.Nonce).Send()
	return c.writeOrQueue(ctx, claim, pendingWrite{claim: claim, state: stateOutcomeUnknown})
}

func (c *Claims) newClaim(account, key, bodyHash string) *Claim {
	nonce := uuid.NewString()
	return &Claim{
		Account:  account,
		Key:      key,
		Nonce:    nonce,
		Identity: Identity(account, key, bodyHash),
		run:      &run{bodyHash: bodyHash, nonce: nonce, done: make(chan struct{})},
		target: rowTarget{
			key: rowKey(account, key),
			row: row{Nonce: nonce, Instance: c.Instance, Body: bodyHash, State: stateClaimed},
		},
	}
}

// releaseUnlessClaimed ends the local run of a submission that did not get the claim, so that its followers begin
// again.
func (c *Claims) releaseUnlessClaimed(claim *Claim, result Result, err error) (Result, error) {
	if _, ok := result.(Claimed); ok && err == nil {
		c.incrementCounter("claimed")
		return result, nil
	}
	c.completeRun(claim, Answer{}, ErrReleased)
	c.removeRun(claim)
	if err != nil {
		c.incrementCounter("unavailable")
		return nil, trace.Wrap(err)
	}
	return result, nil
}

func (c *Claims) incrementCounter(name string) {
	if c.Metrics != nil {
		c.Metrics.Counter(name).Inc(1)
	}
}

func positiveOr[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
