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
	// snapshotTable holds the snapshots, each in the part that its table names.
	snapshotTable = "snapshot"
	// chunkBytes is the longest value of a chunk's row. The store takes 64 KiB at most.
	chunkBytes = 48 << 10
	// mostChunks bounds the chunks of a snapshot. One transaction writes all of them.
	mostChunks = 20
	// chunkHead is the number of bytes before a chunk's data: its index and the number of chunks.
	chunkHead = 2
)

type (
	// Snapshot is a packed copy of all rows of a table, kept in the store for those that start. It takes a tenth of the
	// bytes of a listing. Its reader goes on with the feed behind its version. Set the fields before the first call.
	Snapshot struct {
		Store Store
		Table string
	}
)

// Save writes the rows of the table as of a version. Changes behind the version may be included.
func (s *Snapshot) Save(ctx context.Context, rows []Row, version int64) error {
	packed, err := Pack(snapshotOf(rows, version))
	if err != nil {
		return err
	}
	count := (len(packed) + chunkBytes - 1) / chunkBytes
	if count > mostChunks {
		return fmt.Errorf("%w: snapshot of %s takes %d bytes", ErrPacked, s.Table, len(packed))
	}
	var w Write
	for i := range count {
		data := packed[i*chunkBytes : min((i+1)*chunkBytes, len(packed))]
		w.Puts = append(w.Puts, Put{Key: s.chunk(i), Value: append([]byte{byte(i), byte(count)}, data...)})
	}
	_, err = s.Store.Write(ctx, w)
	return err
}

// Load returns the rows and their version, or no rows if there is no snapshot. Chunks that a larger one left are passed over.
func (s *Snapshot) Load(ctx context.Context) (Result, error) {
	list, err := s.Store.List(ctx, snapshotTable, s.Table)
	if err != nil || len(list.Rows) == 0 {
		return Result{}, err
	}
	var packed bytes.Buffer
	for i, row := range list.Rows {
		if len(row.Value) < chunkHead || int(row.Value[0]) != i {
			return Result{}, fmt.Errorf("%w: chunk %d of %s", ErrPacked, i, s.Table)
		}
		packed.Write(row.Value[chunkHead:])
		if i+1 == int(row.Value[1]) {
			break
		}
	}
	var form wire.Snapshot
	if err := Unpack(packed.Bytes(), &form); err != nil {
		return Result{}, err
	}
	return s.result(form)
}

func (s *Snapshot) chunk(i int) Key {
	return Key{Table: snapshotTable, Part: s.Table, Name: fmt.Sprintf("%02d", i)}
}

func (s *Snapshot) result(form wire.Snapshot) (Result, error) {
	result := Result{Version: int64(form.Version)}
	for _, r := range form.Rows {
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

func snapshotOf(rows []Row, version int64) wire.Snapshot {
	form := wire.Snapshot{Version: int(version), Rows: make([]wire.SnapshotRow, 0, len(rows))}
	for _, row := range rows {
		r := wire.SnapshotRow{Name: row.Name, Version: int(row.Version)}
		text := string(row.Value)
		if !utf8.ValidString(text) {
			data := base64.StdEncoding.EncodeToString(row.Value)
			r.Data = &data
		} else {
			r.Text = &text
		}
		form.Rows = append(form.Rows, r)
	}
	return form
}
