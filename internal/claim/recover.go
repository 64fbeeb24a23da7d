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

// Recover writes the bills of an instance that is proven dead, from the engines' usage reports, as far as the instance
// had not written them. Several routers may recover the same instance. The rows continue the dead instance's sequence,
// so that a last write of its that is still on the way fails on its condition. Reports of keyed requests are to be
// recovered within the retention, as the markers of written bills go after it.
func (b *Biller) Recover(ctx context.Context, instance string, bills []Bill) error {
	for chunk := range slices.Chunk(bills, keyedMost) {
		if err := b.recoverSome(ctx, instance, slices.Clone(chunk)); err != nil {
			return trace.Wrap(err)
		}
	}
	event.BillsRecovered.Log(b.Logger).Str("instance", instance).Int("reported", len(bills)).Send()
	return nil
}

func (b *Biller) recoverSome(ctx context.Context, instance string, bills []Bill) error {
	for range attempts {
		next, covered, err := b.written(ctx, instance)
		if err != nil {
			return trace.Wrap(err)
		}
		missing, err := b.missing(ctx, bills, covered)
		if err != nil || len(missing) == 0 {
			return trace.Wrap(err)
		}
		p := parcel{batches: []Batch{{Nonce: uuid.NewString(), Bills: missing}}}
		err = b.commit(ctx, p.ops(instance, next))
		if err == nil || errors.Is(err, table.ErrUnavailable) {
			return trace.Wrap(err)
		}
	}
	return table.ErrUnknown
}

// missing returns the bills that are neither covered by the instance's rows nor marked.
func (b *Biller) missing(ctx context.Context, bills []Bill, covered Numbers) ([]Bill, error) {
	var result []Bill
	for _, bill := range bills {
		billed := bill.Key == "" && covered.Has(bill.Number)
		if bill.Key != "" {
			marked, err := b.marked(ctx, bill.Key)
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

// written returns the next sequence number of an instance and the numbers that its rows bill.
func (b *Biller) written(ctx context.Context, instance string) (uint64, Numbers, error) {
	var next uint64
	var covered Numbers
	prefix := billPrefix + instance + "/"
	after := ""
	for {
		rows, err := b.scan(ctx, prefix, after)
		if err != nil {
			return 0, nil, err
		}
		for _, found := range rows {
			var batch Batch
			if err := json.Unmarshal(found.Value, &batch); err != nil {
				return 0, nil, trace.Wrap(err, "bill row %s", found.Key)
			}
			batch.cover(&covered)
			last, err := sequence(found.Key)
			if err != nil {
				return 0, nil, trace.Wrap(err)
			}
			next = last + 1
			after = found.Key
		}
		if len(rows) < defaultPage {
			return next, covered, nil
		}
	}
}

func (b *Biller) scan(ctx context.Context, prefix, after string) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, positive(b.Timeout, defaultTimeout))
	defer cancel()
	return b.Table.Scan(ctx, prefix, after, defaultPage)
}
