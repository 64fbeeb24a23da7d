package config

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"citronslip/internal/delay"
	"citronslip/internal/object"
	"citronslip/internal/table"
	"citronslip/internal/wire"
)

const (
	// maxResolveDepth is the number of versions searched for a change whose commit response was lost.
	maxResolveDepth = 64
	// maxCommitAttempts is the number of attempts to write the head, and to read it after a conflict.
	maxCommitAttempts = 5
	// commitRetryInterval is the wait between two of these attempts.
	commitRetryInterval = 100 * time.Millisecond
)

type (
	// Store reads and commits versions in the table and the object store.
	Store struct {
		Table   table.Table
		Objects object.Store
		// Check validates an inventory before anything is written. It may be nil.
		Check func(inventory []byte) error
		// Now returns the commit time that is recorded in a version. The default is time.Now.
		Now func() time.Time
	}

	// Change is an edit that an operator commits.
	Change struct {
		Edited    int    // Number of the version that was edited; zero if there is none yet.
		Inventory []byte // Complete new inventory.
		Identity  string // Idempotency key chosen by the operator's command; a repeated command uses the same.
		Author    string
	}

	// head is the decoded table row that names the current version.
	head struct {
		wire.ConfigHead
		rowVersion uint64 // Version of the table row, for conditional writes.
		exists     bool
	}
)

// Commit commits the inventory as the successor of the edited version. Of two commits that edited the same version, one
// returns a *ConflictError. If the response is lost, the change identity shows whether the commit took effect;
// repeating the write is safe because its condition holds only once. Other errors are ErrInvalid, ErrUnavailable and
// ErrOutcomeUnknown.
func (s *Store) Commit(ctx context.Context, change Change) (*Version, error) {
	if err := s.validate(change); err != nil {
		return nil, err
	}
	h, err := s.readHead(ctx)
	if err != nil {
		return nil, trace.Wrap(ErrUnavailable, "reading the head: %v", err)
	}
	if h.Number != change.Edited {
		return s.resolveOutcome(ctx, h, change)
	}
	v, err := s.putObjects(ctx, h, change)
	if err != nil {
		return nil, err
	}
	return s.advanceHead(ctx, h, v, change)
}

// Head returns the current version without its inventory, or ErrNoVersion.
func (s *Store) Head(ctx context.Context) (*Version, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return nil, trace.Wrap(ErrFetchFailed, "%v", err)
	}
	if !h.exists {
		return nil, trace.Wrap(ErrNoVersion)
	}
	return s.readRecord(ctx, h.Digest)
}

// Load returns the version whose record has the given digest, with its inventory unparsed. It returns ErrFetchFailed if
// an object cannot be read, and ErrDigestMismatch if one does not match its digest.
func (s *Store) Load(ctx context.Context, digest string) (*Version, error) {
	v, err := s.readRecord(ctx, digest)
	if err != nil {
		return nil, err
	}
	raw, err := s.Objects.Get(ctx, inventoryKeyPrefix+v.ConfigRecord.Inventory)
	if err != nil {
		return nil, trace.Wrap(ErrFetchFailed, "inventory of version %d: %v", v.Number, err)
	}
	return v, v.setInventory(raw)
}

// History returns up to limit versions without their inventories, the newest first.
func (s *Store) History(ctx context.Context, limit int) ([]*Version, error) {
	v, err := s.Head(ctx)
	if errors.Is(err, ErrNoVersion) {
		return nil, nil
	}
	var result []*Version
	for err == nil && len(result) < limit {
		result = append(result, v)
		if v.Previous == "" {
			return result, nil
		}
		v, err = s.readRecord(ctx, v.Previous)
	}
	return result, err
}

// validate returns ErrInvalid if the change must not be committed.
func (s *Store) validate(change Change) error {
	if change.Identity == "" || change.Edited < 0 {
		return trace.Wrap(ErrInvalid, "a change needs an identity and the number of the edited version")
	}
	if len(change.Inventory) > MaxInventoryBytes {
		return trace.Wrap(ErrInvalid, "the inventory has %d bytes, at most %d are accepted", len(change.Inventory), MaxInventoryBytes)
	}
	if s.Check == nil {
		return nil
	}
	if err := s.Check(change.Inventory); err != nil {
		return trace.Wrap(ErrInvalid, "%v", err)
	}
	return nil
}

// putObjects writes the inventory and the record of a version. They have no effect until the head names the record.
func (s *Store) putObjects(ctx context.Context, h head, change Change) (*Version, error) {
	record := wire.ConfigRecord{
		Number:    change.Edited + 1,
		Inventory: sha256Hex(change.Inventory),
		Size:      len(change.Inventory),
		Previous:  h.Digest,
		Author:    change.Author,
		Time:      s.now().UTC(),
		Change:    change.Identity,
	}
	raw, err := json.Marshal(record)
	if err != nil {
		return nil, trace.Wrap(ErrInvalid, "%v", err)
	}
	v := &Version{ConfigRecord: record, Digest: sha256Hex(raw), rawRecord: raw, rawInventory: change.Inventory}
	if err := s.Objects.Put(ctx, inventoryKeyPrefix+record.Inventory, change.Inventory); err != nil {
		return nil, trace.Wrap(ErrUnavailable, "%v", err)
	}
	if err := s.Objects.Put(ctx, recordKeyPrefix+v.Digest, raw); err != nil {
		return nil, trace.Wrap(ErrUnavailable, "%v", err)
	}
	return v, nil
}

// advanceHead makes the head name the new version. It repeats the write while the outcome is unknown and the head is
// unchanged.
func (s *Store) advanceHead(ctx context.Context, h head, v *Version, change Change) (*Version, error) {
	value, err := json.Marshal(wire.ConfigHead{Number: v.Number, Digest: v.Digest, Change: change.Identity})
	if err != nil {
		return nil, trace.Wrap(ErrInvalid, "%v", err)
	}
	op := table.Op{Key: HeadKey, Value: value, Cond: table.CondAbsent}
	if h.exists {
		op.Cond, op.Version = table.CondVersion, h.rowVersion
	}
	outcomeUnknown := false
	for range maxCommitAttempts {
		_, err := s.Table.Commit(ctx, []table.Op{op})
		switch {
		case err == nil:
			return v, nil
		case errors.Is(err, table.ErrUnavailable) && !outcomeUnknown:
			return nil, trace.Wrap(ErrUnavailable, "%v", err)
		case errors.Is(err, table.ErrConflict):
			return s.resolveConflict(ctx, change)
		}
		outcomeUnknown = true
		if current, err := s.readHead(ctx); err == nil && (current.exists != h.exists || current.rowVersion != h.rowVersion) {
			return s.resolveOutcome(ctx, current, change)
		}
		if !delay.Sleep(ctx, commitRetryInterval) {
			break
		}
	}
	return nil, trace.Wrap(ErrOutcomeUnknown)
}

// resolveConflict reads the head again after the condition of the write failed. An earlier run of the same command may
// have advanced the head.
func (s *Store) resolveConflict(ctx context.Context, change Change) (*Version, error) {
	for range maxCommitAttempts {
		current, err := s.readHead(ctx)
		if err == nil {
			return s.resolveOutcome(ctx, current, change)
		}
		if !delay.Sleep(ctx, commitRetryInterval) {
			break
		}
	}
	return nil, trace.Wrap(ErrOutcomeUnknown)
}

// resolveOutcome returns the successor of the edited version if it was committed by this change, and a *ConflictError
// if it was committed by another one or lies more than maxResolveDepth versions back.
func (s *Store) resolveOutcome(ctx context.Context, h head, change Change) (*Version, error) {
	if h.Number < change.Edited {
		return nil, trace.Wrap(ErrInvalid, "version %d does not exist, the highest is %d", change.Edited, h.Number)
	}
	current, err := s.readRecord(ctx, h.Digest)
	if err != nil {
		return nil, trace.Wrap(ErrOutcomeUnknown, "%v", err)
	}
	v := current
	for depth := 0; v.Number > change.Edited+1; depth++ {
		if depth == maxResolveDepth {
			return nil, trace.Wrap(&ConflictError{Edited: change.Edited, Current: h.Number, Author: current.Author})
		}
		v, err = s.readRecord(ctx, v.Previous)
		if err != nil {
			return nil, trace.Wrap(ErrOutcomeUnknown, "%v", err)
		}
	}
	if v.Change == change.Identity {
		return v, nil
	}
	return nil, trace.Wrap(&ConflictError{Edited: change.Edited, Current: h.Number, Author: current.Author})
}

// readHead reads and decodes the head row. A missing row is not an error.
func (s *Store) readHead(ctx context.Context) (head, error) {
	row, err := s.Table.Get(ctx, HeadKey)
	if errors.Is(err, table.ErrNotFound) {
		return head{}, nil
	}
	if err != nil {
		return head{}, err
	}
	h := head{rowVersion: row.Version, exists: true}
	if err := json.Unmarshal(row.Value, &h.ConfigHead); err != nil {
		return head{}, trace.Wrap(ErrDigestMismatch, "row %s: %v", HeadKey, err)
	}
	return h, nil
}

// readRecord reads the record of the given digest and verifies it.
func (s *Store) readRecord(ctx context.Context, wantedDigest string) (*Version, error) {
	data, err := s.Objects.Get(ctx, recordKeyPrefix+wantedDigest)
	if err != nil {
		return nil, trace.Wrap(ErrFetchFailed, "record %s: %v", wantedDigest, err)
	}
	v, err := parseRecord(data)
	if err != nil {
		return nil, err
	}
	if v.Digest != wantedDigest {
		return nil, trace.Wrap(ErrDigestMismatch, "record %s", wantedDigest)
	}
	return v, nil
}

func (s *Store) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}
