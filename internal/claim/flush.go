package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"citronslip/internal/table"
)

const (
	// maxKeyedPerCommit bounds the keyed bills in one commit, each of which writes one marker row.
	maxKeyedPerCommit = 100
	// maxCommitsPerFlush bounds the commits of one flush, so that a backlog drains at a bounded rate.
	maxCommitsPerFlush = 10
	// maxRangesPerRow and maxSumsPerRow bound the size of one row to about 100 KB.
	maxRangesPerRow = 2000
	maxSumsPerRow   = 500
)

var (
	// errRecoveredByPeer is returned when another router, which recovers the bills of this instance, has already
	// written the row.
	errRecoveredByPeer = errors.New("claim: bill row written by another instance")
)

type (
	// Batch is the value of one bill row.
	Batch struct {
		Nonce   string     `json:"nonce"` // The same for all rows of one commit and its retries.
		Bills   []Bill     `json:"bills,omitempty"`
		Sums    []UsageSum `json:"sums,omitempty"`
		Numbers NumberSet  `json:"numbers,omitempty"` // Numbers of the requests in the sums of this commit.
	}

	// transaction holds what one commit writes: the batches, and a marker row for each keyed bill.
	transaction struct {
		batches []Batch
	}
)

// Flush writes the buffered bills. A transaction whose outcome is unknown is resolved before the next one is written.
// Bills that could not be written stay buffered for the next call.
func (b *Biller) Flush(ctx context.Context) error {
	b.flushMu.Lock()
	defer b.flushMu.Unlock()
	for range maxCommitsPerFlush {
		if b.unconfirmed == nil {
			b.unconfirmed = b.nextTransaction()
		}
		if b.unconfirmed == nil {
			return nil
		}
		if err := b.commitUnconfirmed(ctx); err != nil {
			return trace.Wrap(err)
		}
		b.unconfirmed = nil
	}
	return nil
}

// nextTransaction removes all bills without key and the oldest keyed ones from the buffer and returns a transaction of
// them, or nil if there are none.
func (b *Biller) nextTransaction() *transaction {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.sums) > 0 {
		b.aggregate()
	}
	first := Batch{Bills: slices.Clone(b.unkeyed)}
	b.unkeyed = b.unkeyed[:0]
	keys := b.keyedOrder[:min(maxKeyedPerCommit, len(b.keyedOrder))]
	for _, key := range keys {
		first.Bills = append(first.Bills, b.keyed[key])
		delete(b.keyed, key)
	}
	b.keyedOrder = b.keyedOrder[len(keys):]
	for _, sum := range b.sums {
		first.Sums = append(first.Sums, *sum)
	}
	first.Numbers = b.summedNumbers
	b.sums, b.summedNumbers = nil, nil
	if len(first.Bills)+len(first.Sums) == 0 {
		return nil
	}
	return &transaction{batches: first.splitRows(uuid.NewString())}
}

// splitRows distributes sums and number ranges over several rows of bounded size.
func (b Batch) splitRows(nonce string) []Batch {
	result := []Batch{{Nonce: nonce, Bills: b.Bills}}
	for chunk := range slices.Chunk(b.Sums, maxSumsPerRow) {
		result = append(result, Batch{Nonce: nonce, Sums: chunk})
	}
	for chunk := range slices.Chunk(b.Numbers, maxRangesPerRow) {
		result = append(result, Batch{Nonce: nonce, Numbers: chunk})
	}
	if len(b.Bills) == 0 {
		return result[1:]
	}
	return result
}

// commitUnconfirmed writes the unconfirmed transaction. If the commit fails with an unknown outcome or a conflict, it
// reads the rows to find out whether the transaction was written.
func (b *Biller) commitUnconfirmed(ctx context.Context) error {
	for range maxAttempts {
		err := b.commit(ctx, b.unconfirmed.ops(b.Instance, b.nextSequence))
		if err == nil {
			b.nextSequence += uint64(len(b.unconfirmed.batches))
			return nil
		}
		if errors.Is(err, table.ErrUnavailable) {
			return trace.Wrap(err)
		}
		written, readErr := b.readBatch(ctx, billKey(b.Instance, b.nextSequence))
		if readErr != nil {
			return trace.Wrap(readErr)
		}
		if written != nil {
			if err = b.resolveExisting(*written); err == nil {
				return nil
			}
			continue
		}
		if errors.Is(err, table.ErrConflict) {
			if err = b.removeMarked(ctx); err != nil {
				return trace.Wrap(err)
			}
		}
		if b.unconfirmed.isEmpty() {
			return nil
		}
	}
	return table.ErrUnknown
}

// resolveExisting handles a row that already exists under the key of the unconfirmed transaction's first row. It is
// either the transaction itself, or a batch that another router recovered for this instance. In the latter case it
// returns errRecoveredByPeer, and the requests of that batch are removed from the transaction so as not to be billed
// again.
func (b *Biller) resolveExisting(written Batch) error {
	if written.Nonce == b.unconfirmed.batches[0].Nonce {
		b.nextSequence += uint64(len(b.unconfirmed.batches))
		return nil
	}
	b.nextSequence++
	var billed NumberSet
	written.addNumbersTo(&billed)
	b.unconfirmed.filter(func(bill Bill) bool { return bill.Key != "" || !billed.Contains(bill.Number) })
	return errRecoveredByPeer
}

// removeMarked removes the keyed bills that another router has written from the unconfirmed transaction.
func (b *Biller) removeMarked(ctx context.Context) error {
	var firstErr error
	b.unconfirmed.filter(func(bill Bill) bool {
		if bill.Key == "" || firstErr != nil {
			return true
		}
		marked, err := b.hasMarker(ctx, bill.Key)
		firstErr = err
		return !marked
	})
	return firstErr
}

func (b *Biller) hasMarker(ctx context.Context, key string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, positiveOr(b.Timeout, defaultTableTimeout))
	defer cancel()
	_, err := b.Table.Get(ctx, markerPrefix+key)
	if errors.Is(err, table.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}

// readBatch returns the bill row with the given key, or nil if there is none.
func (b *Biller) readBatch(ctx context.Context, key string) (*Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, positiveOr(b.Timeout, defaultTableTimeout))
	defer cancel()
	found, err := b.Table.Get(ctx, key)
	if errors.Is(err, table.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var batch Batch
	if err := json.Unmarshal(found.Value, &batch); err != nil {
		return nil, trace.Wrap(err, "bill row %s", key)
	}
	return &batch, nil
}

func (b *Biller) commit(ctx context.Context, ops []table.Op) error {
	ctx, cancel := context.WithTimeout(ctx, positiveOr(b.Timeout, defaultTableTimeout))
	defer cancel()
	_, err := b.Table.Commit(ctx, ops)
	return err
}

func billKey(instance string, sequence uint64) string {
	return fmt.Sprintf("%s%s/%012d", billPrefix, instance, sequence)
}

// ops returns the writes of the bill rows and marker rows, all on the condition that the rows do not exist.
func (t *transaction) ops(instance string, firstSequence uint64) []table.Op {
	var ops []table.Op
	for i, batch := range t.batches {
		value, err := json.Marshal(batch)
		if err != nil {
			panic(err) // A batch holds only strings and numbers, which can always be encoded.
		}
		key := billKey(instance, firstSequence+uint64(i))
		ops = append(ops, table.Op{Key: key, Value: value, Cond: table.CondAbsent})
		for _, bill := range batch.Bills {
			if bill.Key != "" {
				marker := markerPrefix + bill.Key
				ops = append(ops, table.Op{Key: marker, Value: []byte(key), Cond: table.CondAbsent})
			}
		}
	}
	return ops
}

// filter removes the bills for which keep returns false.
func (t *transaction) filter(keep func(Bill) bool) {
	for i := range t.batches {
		t.batches[i].Bills = slices.DeleteFunc(t.batches[i].Bills, func(bill Bill) bool { return !keep(bill) })
	}
}

func (t *transaction) isEmpty() bool {
	for _, batch := range t.batches {
		if len(batch.Bills)+len(batch.Sums)+len(batch.Numbers) > 0 {
			return false
		}
	}
	return true
}

func (t *transaction) keyedCount() int {
	count := 0
	for _, batch := range t.batches {
		for _, bill := range batch.Bills {
			if bill.Key != "" {
				count++
			}
		}
	}
	return count
}

func (t *transaction) unkeyedCount() int {
	count := -t.keyedCount()
	for _, batch := range t.batches {
		count += len(batch.Bills)
		for _, sum := range batch.Sums {
			count += int(sum.Count)
		}
	}
	return count
}

// addNumbersTo adds the numbers of the requests that the batch bills.
func (b Batch) addNumbersTo(numbers *NumberSet) {
	for _, bill := range b.Bills {
		if bill.Key == "" {
			numbers.Add(bill.Number)
		}
	}
	for _, r := range b.Numbers {
		numbers.AddRange(r)
	}
}

// parseSequence returns the sequence number in the key of a bill row.
func parseSequence(key string) (uint64, error) {
	var result uint64
	_, err := fmt.Sscanf(key[strings.LastIndex(key, "/")+1:], "%d", &result)
	return result, trace.Wrap(err)
}
