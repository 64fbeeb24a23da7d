package placement

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"citronslip/internal/event"
	"citronslip/internal/table"
)

const (
	leasePrefix = "lease/"
)

type (
	// leaseRow is the value of a lease row.
	leaseRow struct {
		Holder string `json:"holder,omitempty"` // Empty once the holder has given the lease up.
		Fence  uint64 `json:"fence"`
		Nonce  string `json:"nonce"` // Tells one write from another when its answer is lost.
	}

	// lease is what a router knows of the service's lease. All times are on its own monotonic clock.
	lease struct {
		version uint64
		row     leaseRow
		since   time.Time // When this version was first seen.
		until   time.Time // End of this router's own lease; zero if it holds none.
		quiet   time.Time // Until then a command of the former holder may take effect.
	}
)

// upkeep renews or takes the lease when it is time to.
func (r *Reconciler) upkeep(ctx context.Context) error {
	term := positive(r.Term, defaultTerm)
	now := r.now()
	if r.holds() {
		if now.Before(r.lease.until.Add(-term * 2 / 3)) {
			return nil
		}
		return r.write(ctx, leaseRow{Holder: r.Instance, Fence: r.lease.row.Fence})
	}
	r.lose()
	found, err := r.look(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	foreign := r.lease.row.Holder != "" && r.lease.row.Holder != r.Instance
	if found && foreign && now.Sub(r.lease.since) <= term+term/10 {
		return nil
	}
	// An engine may have seen a higher number if the row was removed.
	return r.write(ctx, leaseRow{Holder: r.Instance, Fence: max(r.lease.row.Fence, r.highest) + 1})
}

// holds reports whether this router may send commands now. The tenth that is left out allows for clocks of different
// rates.
func (r *Reconciler) holds() bool {
	return r.now().Before(r.lease.until.Add(-positive(r.Term, defaultTerm) / 10))
}

func (r *Reconciler) lose() {
	if r.lease.until.IsZero() {
		return
	}
	event.LeaseLost.Log(r.Logger).Str("service", r.Service).Uint64("fence", r.lease.row.Fence).Send()
	r.lease.until = time.Time{}
	r.sent = nil
	r.reached = false
}

// look reads the lease row and notes when its version was first seen.
func (r *Reconciler) look(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, positive(r.Timeout, defaultTimeout))
	defer cancel()
	found, err := r.Table.Get(ctx, leasePrefix+r.Service)
	if errors.Is(err, table.ErrNotFound) {
		r.lease.version = 0
		return false, nil
	}
	if err != nil {
		return false, trace.Wrap(err)
	}
	if found.Version == r.lease.version {
		return true, nil
	}
	var row leaseRow
	if err := json.Unmarshal(found.Value, &row); err != nil {
		return false, trace.Wrap(err, "lease row %s", found.Key)
	}
	r.lease.version, r.lease.row, r.lease.since = found.Version, row, r.now()
	return true, nil
}

// write puts the lease row over the version last seen. The lease counts from before the first attempt, so that it
// never lasts longer here than others wait.
func (r *Reconciler) write(ctx context.Context, row leaseRow) error {
	row.Nonce = uuid.NewString()
	value, err := json.Marshal(row)
	if err != nil {
		return trace.Wrap(err)
	}
	began := r.now()
	op := table.Op{Key: leasePrefix + r.Service, Value: value, Cond: table.CondAbsent}
	if r.lease.version > 0 {
		op.Cond, op.Version = table.CondVersion, r.lease.version
	}
	for range attempts {
		rows, err := r.commit(ctx, op)
		if err == nil {
			r.lease.version = rows[0].Version
			r.won(row, began)
			return nil
		}
		if errors.Is(err, table.ErrUnavailable) {
			return trace.Wrap(err)
		}
		if _, err = r.look(ctx); err != nil {
			return trace.Wrap(err)
		}
		if r.lease.row.Nonce == row.Nonce {
			r.won(row, began)
			return nil
		}
		if r.lease.row.Holder != r.Instance && r.lease.version != op.Version {
			r.lose()
			return nil
		}
		op.Version = r.lease.version // An earlier write of this router whose answer was lost.
	}
	return table.ErrUnknown
}

// won notes a lease row that this router has written. After a change of the holder it keeps quiet until the last
// command that the former holder can have sent has taken effect.
func (r *Reconciler) won(row leaseRow, began time.Time) {
	taken := r.lease.until.IsZero()
	r.lease.row, r.lease.since = row, r.now()
	if row.Holder == "" {
		r.lease.until = time.Time{}
		return
	}
	r.lease.until = began.Add(positive(r.Term, defaultTerm))
	if !taken {
		return
	}
	r.lease.quiet = r.now().Add(positive(r.Delay, defaultDelay))
	r.free = r.lease.quiet
	r.taken = true
	event.LeaseTaken.Log(r.Logger).Str("service", r.Service).Uint64("fence", row.Fence).Send()
}

// Resign gives the lease up, so that another router takes over without waiting for its end.
func (r *Reconciler) Resign(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.holds() {
		return nil
	}
	r.reached = false
	r.sent = nil
	r.lease.until = time.Time{}
	return r.write(ctx, leaseRow{Fence: r.lease.row.Fence})
}

func (r *Reconciler) commit(ctx context.Context, op table.Op) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, positive(r.Timeout, defaultTimeout))
	defer cancel()
	return r.Table.Commit(ctx, []table.Op{op})
}
