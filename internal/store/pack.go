package store

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const (
	// maxUnpackedBytes bounds the size of an unpacked value.
	maxUnpackedBytes = 16 << 20
)

var (
	// ErrPacked is returned when a packed value cannot be read or exceeds its size limit.
	ErrPacked = errors.New("store: unreadable packed value")
)

// Pack encodes a value as compressed JSON. Lists of many similar entries shrink to a tenth of their size.
func Pack(value any) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// Unpack decodes data that Pack returned into the value. Its errors wrap ErrPacked.
func Unpack(data []byte, value any) error {
	unpacked, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxUnpackedBytes+1))
	if err != nil {
		return fmt.Errorf("%w: %v", ErrPacked, err)
	}
	if len(unpacked) > maxUnpackedBytes {
		return fmt.Errorf("%w: longer than %d bytes", ErrPacked, maxUnpackedBytes)
	}
	if err := json.Unmarshal(unpacked, value); err != nil {
		return fmt.Errorf("%w: %v", ErrPacked, err)
	}
	return nil
}
