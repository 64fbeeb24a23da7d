package config

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/gravitational/trace"
)

const (
	// maxDiffBases is the number of preceding versions that a router can compute a diff from.
	maxDiffBases = 16
)

type (
	// overlap holds the lengths of the common prefix and suffix of two successive inventories. Over several versions
	// the common parts are the shortest prefix and the shortest suffix, so older inventories need not be kept.
	overlap struct {
		baseDigest  string // SHA-256 of the older inventory, in hex.
		baseSize    int    // Size of the older inventory in bytes.
		prefixBytes int
		suffixBytes int
	}
)

// commonEnds returns the lengths in bytes of the common prefix and the common suffix of two inventories. In
// neither inventory do they share a byte.
func commonEnds(base, next []byte) (prefixBytes, suffixBytes int) {
	limit := min(len(base), len(next))
	for prefixBytes < limit && base[prefixBytes] == next[prefixBytes] {
		prefixBytes++
	}
	for suffixBytes < limit-prefixBytes && base[len(base)-1-suffixBytes] == next[len(next)-1-suffixBytes] {
		suffixBytes++
	}
	return prefixBytes, suffixBytes
}

// appendOverlap returns the overlaps with that of two successive versions appended, limited to the last maxDiffBases.
func appendOverlap(overlaps []overlap, from, to *Version) []overlap {
	prefixBytes, suffixBytes := commonEnds(from.rawInventory, to.rawInventory)
	updated := append([]overlap(nil), overlaps...)
	updated = append(updated, overlap{baseDigest: from.ConfigRecord.Inventory, baseSize: len(from.rawInventory), prefixBytes: prefixBytes, suffixBytes: suffixBytes})
	return updated[max(0, len(updated)-maxDiffBases):]
}

// overlapWith returns the lengths of the prefix and suffix that the current inventory, of size bytes, shares with the
// inventory of the given digest. Both are zero if that inventory is none of the preceding ones.
func overlapWith(overlaps []overlap, baseDigest string, size int) (prefixBytes, suffixBytes int) {
	for i := len(overlaps) - 1; i >= 0; i-- {
		o := overlaps[i]
		if i == len(overlaps)-1 {
			prefixBytes, suffixBytes = o.prefixBytes, o.suffixBytes
		}
		prefixBytes, suffixBytes = min(prefixBytes, o.prefixBytes), min(suffixBytes, o.suffixBytes)
		if o.baseDigest == baseDigest {
			return prefixBytes, max(0, min(suffixBytes, o.baseSize-prefixBytes, size-prefixBytes))
		}
	}
	return 0, 0
}

// compress deflates the part of an inventory between the common prefix and the common suffix.
func compress(middle []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil
	}
	_, _ = w.Write(middle) // Writing to a bytes.Buffer does not fail.
	_ = w.Close()
	return out.Bytes()
}

// applyDiff rebuilds an inventory of size bytes from the base and the compressed middle part. The decompressed
// data is limited by that size. It returns ErrDigestMismatch if the parts do not add up to it.
func applyDiff(base []byte, prefixBytes, suffixBytes, size int, compressed []byte) ([]byte, error) {
	middleSize := size - prefixBytes - suffixBytes
	if prefixBytes < 0 || suffixBytes < 0 || middleSize < 0 || prefixBytes > len(base) || suffixBytes > len(base) {
		return nil, trace.Wrap(ErrDigestMismatch, "common prefix and suffix do not fit the inventory sizes")
	}
	result := make([]byte, 0, size)
	result = append(result, base[:prefixBytes]...)
	middle, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), int64(middleSize)+1))
	if err != nil || len(middle) != middleSize {
		return nil, trace.Wrap(ErrDigestMismatch, "compressed part is malformed or of the wrong size")
	}
	result = append(result, middle...)
	return append(result, base[len(base)-suffixBytes:]...), nil
}
