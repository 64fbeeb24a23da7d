package claim

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"citronslip/internal/event"
	"citronslip/internal/table"
)

// Recover writes those bills of an instance that is proven dead which the instance had not written itself. The bills
// come from the usage reports of the engines. Several routers may recover the same instance. The new rows continue the
// sequence of the dead instance, so that a write of that instance that is still in transit fails on its condition.
// Bills of keyed requests must be recovered within the retention time, because the markers that show which ones are
// written are deleted after it.
func (b *Biller) Recover(ctx context.Context, instance string, bills []Bill) error {
	for chunk := range slices.Chunk(bills, maxKeyedPerCommit) {
		if err := b.recoverChunk(ctx, instance, slices.Clone(chunk)); err != nil {
			return trace.Wrap(err)
		}
	}
	event.BillsRecovered.Log(b.Logger).Str("instance", instance).Int("reported", len(bills)).Send()
	return nil
}

func (b *Biller) recoverChunk(ctx context.Context, instance string, bills []Bill) error {
	for range maxAttempts {
		next, billed, err := b.billedByInstance(ctx, instance)
		if err != nil {
			return trace.Wrap(err)
		}
		missing, err := b.unbilled(ctx, bills, billed)
		if err != nil || len(missing) == 0 {
			return trace.Wrap(err)
		}
		t := transaction{batches: []Batch{{Nonce: uuid.NewString(), Bills: missing}}}
		err = b.commit(ctx, t.ops(instance, next))
		if err == nil || errors.Is(err, table.ErrUnavailable) {
			return trace.Wrap(err)
		}
	}
	return table.ErrUnknown
}

// unbilled returns the bills that have neither their number in the rows of the instance nor a marker.
func (b *Biller) unbilled(ctx context.Context, bills []Bill, billedNumbers NumberSet) ([]Bill, error) {
	var result []Bill
	for _, bill := range bills {
		billed := bill.Key == "" && billedNumbers.Contains(bill.Number)
		if bill.Key != "" {
			marked, err := b.hasMarker(ctx, bill.Key)
			if err != nil {
				return nil, err
			}
			billed = marked
		}
		if !billed {
			result = append(result, bill)
		}
	}
	return result, nil
}

// billedByInstance returns the next sequence number of an instance and the numbers of the requests that its rows bill.
func (b *Biller) billedByInstance(ctx context.Context, instance string) (uint64, NumberSet, error) {
	var next uint64
	var billed NumberSet
	prefix := billPrefix + instance + "/"
	after := ""
	for {
		rows, err := b.scanPage(ctx, prefix, after)
		if err != nil {
			return 0, nil, err
		}
		for _, found := range rows {
			var batch Batch
			if err := json.Unmarshal(found.Value, &batch); err != nil {
				return 0, nil, trace.Wrap(err, "bill row %s", found.Key)
			}
			batch.addNumbersTo(&billed)
			last, err := parseSequence(found.Key)
			if err != nil {
				return 0, nil, trace.Wrap(err)
			}
			next = last + 1
			after = found.Key
		}
		if len(rows) < defaultPageRows {
			return next, billed, nil
		}
	}
}

func (b *Biller) scanPage(ctx context.Context, prefix, after string) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, positiveOr(b.Timeout, defaultTableTimeout))
	defer cancel()
	return b.Table.Scan(ctx, prefix, after, defaultPageRows)
}
