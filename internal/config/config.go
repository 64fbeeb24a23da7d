// Package config commits, activates and distributes configuration versions.
//
// A version is an immutable record and an inventory in the object store. One table row, the head, names the current
// version. Each router reads the head, fetches a higher version from a peer or from the object store, replicates it to
// its neighbours and then activates it: callers are served by the active version.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

const (
	// HeadKey is the key of the table row that names the current version.
	HeadKey = "config/head"
	// MaxInventoryBytes is the maximum size of an inventory.
	MaxInventoryBytes = 128 << 20

	// recordKeyPrefix and inventoryKeyPrefix are followed by a digest in the keys of the object store.
	recordKeyPrefix    = "config/"
	inventoryKeyPrefix = "inventory/"
)

var (
	// ErrConflict is returned when another version has been committed since the edited one. A *ConflictError wraps it.
	ErrConflict = errors.New("config: conflict")
	// ErrUnavailable is returned when a store did not answer and nothing was committed.
	ErrUnavailable = errors.New("config: store unavailable, nothing was committed")
	// ErrOutcomeUnknown is returned when the commit may or may not have taken effect. Repeating it with the same change
	// identity settles which.
	ErrOutcomeUnknown = errors.New("config: outcome unknown, repeat with the same change identity")
	// ErrInvalid is returned when the inventory or the change is rejected.
	ErrInvalid = errors.New("config: invalid")
	// ErrDigestMismatch is returned when data does not match its digest or cannot be decoded.
	ErrDigestMismatch = errors.New("config: digest mismatch")
	// ErrNoVersion is returned when no version has been committed yet.
	ErrNoVersion = errors.New("config: no version committed yet")
	// ErrFetchFailed is returned when a version could not be fetched from a peer or from the object store.
	ErrFetchFailed = errors.New("config: version not fetched")
)

type (
	// Version is one configuration version. It is immutable.
	Version struct {
		wire.ConfigRecord
		Digest    string // SHA-256 of the stored record, in hex.
		Inventory *inventory.Inventory

		rawRecord    []byte // Encoded record as stored.
		rawInventory []byte // Inventory as committed.
	}

	// ConflictError is the error of a commit that edited a version which is no longer the current one.
	ConflictError struct {
		Edited  int    // Number of the version that was edited.
		Current int    // Number of the current version.
		Author  string // Author of the current version.
	}
)

// Error names both versions and the author of the current one.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("config: version %d was edited, but version %d by %q is in force", c.Edited, c.Current, c.Author)
}

// Unwrap returns ErrConflict.
func (c *ConflictError) Unwrap() error { return ErrConflict }

// InventoryBytes returns the inventory as it was committed. Callers must not modify it.
func (v *Version) InventoryBytes() []byte { return v.rawInventory }

// number returns the version's number, or zero if there is none.
func (v *Version) number() int {
	if v == nil {
		return 0
	}
	return v.Number
}

// sha256Hex returns the SHA-256 hash of the data in hex.
func sha256Hex(data []byte) string {
	hash := sha256.Sum256(data)
	return hex.EncodeToString(hash[:])
}

// parseRecord decodes a stored record. It returns ErrDigestMismatch if the record is malformed or its number or size is
// out of range.
func parseRecord(data []byte) (*Version, error) {
	v := &Version{rawRecord: data, Digest: sha256Hex(data)}
	if err := json.Unmarshal(data, &v.ConfigRecord); err != nil {
		return nil, trace.Wrap(ErrDigestMismatch, "record: %v", err)
	}
	if v.Number < 1 || v.Size < 0 || v.Size > MaxInventoryBytes {
		return nil, trace.Wrap(ErrDigestMismatch, "record of number %d and %d bytes", v.Number, v.Size)
	}
	return v, nil
}

// setInventory sets the inventory, or returns ErrDigestMismatch if its size or hash differs from the record.
func (v *Version) setInventory(raw []byte) error {
	if len(raw) != v.Size || sha256Hex(raw) != v.ConfigRecord.Inventory {
		return trace.Wrap(ErrDigestMismatch, "inventory of version %d", v.Number)
	}
	v.rawInventory = raw
	return nil
}
