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
	leaseKeyPrefix = "lease/"
)

type (
	// leaseRow is the value of a service's lease row in the table service.
	leaseRow struct {
		Holder string `json:"holder,omitempty"` // Instance of the holder; empty once it has released the lease.
		Fence  uint64 `json:"fence"`            // Fencing number; rises with each change of the holder.
		Nonce  string `json:"nonce"`            // Unique for each write; identifies an own write whose answer was lost.
	}

	// lease is this router's knowledge of the service's lease. All times are on its own monotonic clock.
	lease struct {
		rowVersion uint64 // Version of the row when last read or written; zero if there is no row.
		row        leaseRow
		seenAt     time.Time // When this version of the row was first seen.
		expires    time.Time // End of this router's own lease; zero if it holds none.
		waitUntil  time.Time // Time until which a command of the former holder may still take effect.
	}
)

// maintainLease renews the lease after a third of its validity, or takes it if it is free or has expired. Another
// holder's lease counts as expired once its row has not changed for 1.1 times the validity.
func (r *Reconciler) maintainLease(ctx context.Context) error {
	ttl := positiveOr(r.Term, defaultLeaseTTL)
	now := r.now()
	if r.holdsLease() {
		if now.Before(r.lease.expires.Add(-ttl * 2 / 3)) {
			return nil
		}
		return r.writeLease(ctx, leaseRow{Holder: r.Instance, Fence: r.lease.row.Fence})
	}
	r.dropLease()
	exists, err := r.readLease(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	heldByOther := r.lease.row.Holder != "" && r.lease.row.Holder != r.Instance
	if exists && heldByOther && now.Sub(r.lease.seenAt) <= ttl+ttl/10 {
		return nil
	}
	// If the row was deleted, its fencing number is lost and the engines may have seen a higher one.
	return r.writeLease(ctx, leaseRow{Holder: r.Instance, Fence: max(r.lease.row.Fence, r.highestFence) + 1})
}

// holdsLease reports whether this router may send commands now. The last tenth of the lease is not used, since the
// clocks of routers run at slightly different rates.
func (r *Reconciler) holdsLease() bool {
	return r.now().Before(r.lease.expires.Add(-positiveOr(r.Term, defaultLeaseTTL) / 10))
}

// dropLease forgets the lease and the pending commands after the lease has expired or was lost to another router.
func (r *Reconciler) dropLease() {
	if r.lease.expires.IsZero() {
		return
	}
	event.LeaseLost.Log(r.Logger).Str("service", r.Service).Uint64("fence", r.lease.row.Fence).Send()
	r.lease.expires = time.Time{}
	r.pending = nil
	r.converged = false
}

// readLease reads the lease row, and records the time if its version is new. It reports whether the row exists. The
// error is that of the table, or of a row that cannot be decoded.
func (r *Reconciler) readLease(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, positiveOr(r.Timeout, defaultCallTimeout))
	defer cancel()
	stored, err := r.Table.Get(ctx, leaseKeyPrefix+r.Service)
	if errors.Is(err, table.ErrNotFound) {
		r.lease.rowVersion = 0
		return false, nil
	}
	if err != nil {
		return false, trace.Wrap(err)
	}
	if stored.Version == r.lease.rowVersion {
		return true, nil
	}
	var row leaseRow
	if err := json.Unmarshal(stored.Value, &row); err != nil {
		return false, trace.Wrap(err, "cannot decode lease row %s", stored.Key)
	}
	r.lease.rowVersion, r.lease.row, r.lease.seenAt = stored.Version, row, r.now()
	return true, nil
}

// writeLease replaces the version of the lease row that was last seen. The lease is valid from before the first
// attempt, so that it never lasts longer here than other routers wait for it to expire. If another router has written
// the row, writeLease gives up without an error. It returns table.ErrUnknown if the outcome of the last attempt is
// unknown.
func (r *Reconciler) writeLease(ctx context.Context, row leaseRow) error {
	row.Nonce = uuid.NewString()
	value, err := json.Marshal(row)
	if err != nil {
		return trace.Wrap(err)
	}
	start := r.now()
	op := table.Op{Key: leaseKeyPrefix + r.Service, Value: value, Cond: table.CondAbsent}
	if r.lease.rowVersion > 0 {
		op.Cond, op.Version = table.CondVersion, r.lease.rowVersion
	}
	for range maxWriteAttempts {
		rows, err := r.commitOp(ctx, op)
		if err == nil {
			r.lease.rowVersion = rows[0].Version
			r.recordLease(row, start)
			return nil
		}
		if errors.Is(err, table.ErrUnavailable) {
			return trace.Wrap(err)
		}
		if _, err = r.readLease(ctx); err != nil {
			return trace.Wrap(err)
		}
		if r.lease.row.Nonce == row.Nonce {
			r.recordLease(row, start)
			return nil
		}
		if r.lease.row.Holder != r.Instance && r.lease.rowVersion != op.Version {
			r.dropLease()
			return nil
		}
		op.Version = r.lease.rowVersion // The row is from an earlier write of this router whose answer was lost.
	}
	return table.ErrUnknown
}

// recordLease records a lease row that this router has written. A new holder sends no commands until the last command
// that the former holder may have sent can no longer take effect.
func (r *Reconciler) recordLease(row leaseRow, start time.Time) {
	newHolder := r.lease.expires.IsZero()
	r.lease.row, r.lease.seenAt = row, r.now()
	if row.Holder == "" {
		r.lease.expires = time.Time{}
		return
	}
	r.lease.expires = start.Add(positiveOr(r.Term, defaultLeaseTTL))
	if !newHolder {
		return
	}
	r.lease.waitUntil = r.now().Add(positiveOr(r.Delay, defaultCommandDelay))
	r.nextFetch = r.lease.waitUntil
	r.newHolder = true
	event.LeaseAcquired.Log(r.Logger).Str("service", r.Service).Uint64("fence", row.Fence).Send()
}

// Resign releases the lease, so that another router can take it without waiting until it expires.
func (r *Reconciler) Resign(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.holdsLease() {
		return nil
	}
	r.converged = false
	r.pending = nil
	r.lease.expires = time.Time{}
	return r.writeLease(ctx, leaseRow{Fence: r.lease.row.Fence})
}

func (r *Reconciler) commitOp(ctx context.Context, op table.Op) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, positiveOr(r.Timeout, defaultCallTimeout))
	defer cancel()
	return r.Table.Commit(ctx, []table.Op{op})
}
