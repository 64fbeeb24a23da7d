package store

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"unicode/utf8"

	"citronslip/internal/wire"
)

const (
	// snapshotTable is the table that holds the snapshots, each in a part with the name of the snapshot's table.
	snapshotTable = "snapshot"
	// maxChunkBytes bounds a chunk's data. The store accepts values of at most 64 KiB.
	maxChunkBytes = 48 << 10
	// maxChunks bounds the number of chunks of a snapshot. One transaction writes all of them.
	maxChunks = 20
	// chunkHeaderBytes is the length of a chunk's header: a byte for its index and a byte for the number of chunks.
	chunkHeaderBytes = 2
)

type (
	// Snapshot is a packed copy of all rows of a table, kept in the store for routers that start. It takes a tenth of
	// the bytes of a listing. A reader continues with the feed after its version. Set the fields before the first call.
	Snapshot struct {
		Store Store
		Table string
	}
)

// Save writes the rows of the table as of a version in an era of the store. Later changes may be included. The error wraps ErrPacked if the
// snapshot is too large; otherwise it is the store's.
func (s *Snapshot) Save(ctx context.Context, rows []Row, version, era int64) error {
	packed, err := Pack(encodeSnapshot(rows, version, era))
	if err != nil {
		return err
	}
	count := (len(packed) + maxChunkBytes - 1) / maxChunkBytes
	if count > maxChunks {
		return fmt.Errorf("%w: snapshot of %s takes %d bytes", ErrPacked, s.Table, len(packed))
	}
	var w Write
	for i := range count {
		data := packed[i*maxChunkBytes : min((i+1)*maxChunkBytes, len(packed))]
		w.Puts = append(w.Puts, Put{Key: s.chunkKey(i), Value: append([]byte{byte(i), byte(count)}, data...)})
	}
	_, err = s.Store.Write(ctx, w)
	return err
}

// Load returns the rows and their version, or no rows if there is no snapshot of the store's era: one of another era may
// have been written by a router that did not know the new one. Chunks left over from an earlier, larger
// snapshot are ignored. The error wraps ErrPacked if the snapshot cannot be read; otherwise it is the store's.
func (s *Snapshot) Load(ctx context.Context) (Result, error) {
	list, err := s.Store.List(ctx, snapshotTable, s.Table)
	if err != nil || len(list.Rows) == 0 {
		return Result{}, err
	}
	var packed bytes.Buffer
	for i, row := range list.Rows {
		if len(row.Value) < chunkHeaderBytes || int(row.Value[0]) != i {
			return Result{}, fmt.Errorf("%w: chunk %d of %s", ErrPacked, i, s.Table)
		}
		packed.Write(row.Value[chunkHeaderBytes:])
		if i+1 == int(row.Value[1]) {
			break
		}
	}
	var snapshot wire.Snapshot
	if err := Unpack(packed.Bytes(), &snapshot); err != nil {
		return Result{}, err
	}
	if int64(snapshot.Era) != list.Era {
		return Result{}, nil
	}
	result, err := s.toResult(snapshot)
	result.Era = list.Era
	return result, err
}

// PackRows returns rows of a table in the packed form of a snapshot.
func PackRows(rows []Row) ([]byte, error) { return Pack(encodeSnapshot(rows, 0, 0)) }

// UnpackRows returns the rows of a table that PackRows packed. Its errors wrap ErrPacked.
func UnpackRows(data []byte, table string) ([]Row, error) {
	var snapshot wire.Snapshot
	if err := Unpack(data, &snapshot); err != nil {
		return nil, err
	}
	result, err := (&Snapshot{Table: table}).toResult(snapshot)
	return result.Rows, err
}

// chunkKey returns the key of a chunk. The names have two digits, so that a listing sorts the chunks by index.
func (s *Snapshot) chunkKey(i int) Key {
	return Key{Table: snapshotTable, Part: s.Table, Name: fmt.Sprintf("%02d", i)}
}

// toResult returns the rows and the version of a decoded snapshot.
func (s *Snapshot) toResult(snapshot wire.Snapshot) (Result, error) {
	result := Result{Version: int64(snapshot.Version)}
	for _, r := range snapshot.Rows {
		row := Row{Key: Key{Table: s.Table, Name: r.Name}, Version: int64(r.Version)}
		switch {
		case r.Text != nil:
			row.Value = []byte(*r.Text)
		case r.Data != nil:
			data, err := base64.StdEncoding.DecodeString(*r.Data)
			if err != nil {
				return Result{}, fmt.Errorf("%w: row %s: %v", ErrPacked, r.Name, err)
			}
			row.Value = data
		}
		result.Rows = append(result.Rows, row)
	}
	return result, nil
}

// encodeSnapshot returns the form of the rows that is stored. Values that are not valid UTF-8 are encoded in base64.
func encodeSnapshot(rows []Row, version, era int64) wire.Snapshot {
	snapshot := wire.Snapshot{Version: int(version), Era: int(era), Rows: make([]wire.SnapshotRow, 0, len(rows))}
	for _, row := range rows {
		r := wire.SnapshotRow{Name: row.Name, Version: int(row.Version)}
		text := string(row.Value)
		if !utf8.ValidString(text) {
			data := base64.StdEncoding.EncodeToString(row.Value)
			r.Data = &data
		} else {
			r.Text = &text
		}
		snapshot.Rows = append(snapshot.Rows, r)
	}
	return snapshot
}
