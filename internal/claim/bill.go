package claim

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/delay"
	"citronslip/internal/event"
	"citronslip/internal/table"
)

const (
	billPrefix   = "bill/"
	markerPrefix = "billed/"

	// defaultFlushInterval is the time between flushes: 12 routers make 2.4 commits a second.
	defaultFlushInterval = 5 * time.Second
	// defaultMaxUnkeyed bounds the buffered bills without key; beyond it they are aggregated into sums.
	defaultMaxUnkeyed = 2000
	// defaultMaxKeyed bounds the buffered keyed bills, about 200 bytes each.
	defaultMaxKeyed = 200000
	// defaultStopTimeout bounds the final flush at a graceful shutdown.
	defaultStopTimeout = 10 * time.Second
)

type (
	// Bill is the token usage that one request is charged for. Exactly one of Key and Number identifies the request.
	Bill struct {
		Key     string   `json:"key,omitempty"`    // Identity of a request with an idempotency key.
		Number  uint64   `json:"number,omitempty"` // Number of a request without key at its instance, from 1.
		Account string   `json:"account"`
		Budgets []string `json:"budgets,omitempty"`
		Model   string   `json:"model,omitempty"`
		Input   int64    `json:"input"`             // Prompt tokens.
		Output  int64    `json:"output"`            // Generated tokens.
		Attempt int      `json:"attempt,omitempty"` // Attempts of the request, including the billed one.
	}

	// UsageSum is the total usage of several requests without key that share the account, the budgets and the model.
	UsageSum struct {
		Account string   `json:"account"`
		Budgets []string `json:"budgets,omitempty"`
		Model   string   `json:"model,omitempty"`
		Count   int64    `json:"count"`  // Requests.
		Input   int64    `json:"input"`  // Prompt tokens.
		Output  int64    `json:"output"` // Generated tokens.
	}

	// Biller buffers the bills of one router instance and writes them to the table in batches. Set the exported fields
	// before the first use.
	Biller struct {
		Table    table.Table
		Instance string
		Interval time.Duration // Time between flushes; zero means 5 s.
		Timeout  time.Duration // Timeout of one table call; zero means 2 s.
		Grace    time.Duration // Timeout of the final flush at a graceful shutdown; zero means 10 s.
		Detail   int           // Bills without key buffered before they are aggregated; zero means 2,000.
		Most     int           // Number of buffered keyed bills at which Full returns true; zero means 200,000.
		Metrics  tally.Scope
		Logger   *zerolog.Logger

		mu            sync.Mutex
		keyed         map[string]Bill      // Buffered keyed bills, by key.
		keyedOrder    []string             // Keys of the buffered keyed bills, oldest first.
		unkeyed       []Bill               // Buffered bills without key, not aggregated yet.
		sums          map[string]*UsageSum // Aggregated bills without key, by account, model and budgets.
		summedNumbers NumberSet            // Numbers of the requests in sums.

		flushMu      sync.Mutex   // Held during a flush; guards the fields below.
		nextSequence uint64       // Sequence number of the next bill row.
		unconfirmed  *transaction // Transaction that is not known to be committed yet.
	}
)

// Add buffers the bill of a completed request. A keyed bill is ignored if a bill with its key is already buffered.
func (b *Biller) Add(bill Bill) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bill.Key != "" {
		b.addKeyed(bill)
		return
	}
	b.unkeyed = append(b.unkeyed, bill)
	if len(b.unkeyed) > positiveOr(b.Detail, defaultMaxUnkeyed) {
		b.aggregate()
	}
}

// Full reports whether keyed requests are to be refused until buffered bills have been written to the table. Bills
// without key are aggregated instead and never fill the buffer.
func (b *Biller) Full() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.keyedOrder) >= positiveOr(b.Most, defaultMaxKeyed)
}

// UnwrittenBills returns the number of bills that are not known to be written, of requests with and without key.
func (b *Biller) UnwrittenBills() (keyed, unkeyed int) {
	b.flushMu.Lock()
	defer b.flushMu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	keyed = len(b.keyedOrder)
	unkeyed = len(b.unkeyed)
	for _, sum := range b.sums {
		unkeyed += int(sum.Count)
	}
	if b.unconfirmed != nil {
		keyed += b.unconfirmed.keyedCount()
		unkeyed += b.unconfirmed.unkeyedCount()
	}
	return keyed, unkeyed
}

// Run flushes at each interval until the context ends, then writes the remaining bills. It returns the last error if
// these cannot be written within Grace.
func (b *Biller) Run(ctx context.Context) error {
	delay.Repeat(ctx, positiveOr(b.Interval, defaultFlushInterval), func() {
		if err := b.Flush(ctx); err != nil {
			b.logDelay(err)
		}
	})
	return b.flushRemaining(ctx)
}

// flushRemaining is the final flush at a graceful shutdown. It retries until all bills are written or Grace is over.
func (b *Biller) flushRemaining(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), positiveOr(b.Grace, defaultStopTimeout))
	defer cancel()
	ticker := time.NewTicker(positiveOr(b.Interval, defaultFlushInterval) / 20)
	defer ticker.Stop()
	for {
		err := b.Flush(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			keyed, unkeyed := b.UnwrittenBills()
			event.BillsUnwritten.Log(b.Logger).Err(err).Int("keyed", keyed).Int("other", unkeyed).Send()
			return err
		case <-ticker.C:
		}
	}
}

func (b *Biller) logDelay(err error) {
	keyed, unkeyed := b.UnwrittenBills()
	event.BillsDelayed.Log(b.Logger).Err(err).Int("keyed", keyed).Int("other", unkeyed).Send()
	if b.Full() {
		event.BillQueueFull.Log(b.Logger).Int("keyed", keyed).Send()
	}
	if b.Metrics != nil {
		b.Metrics.Gauge("waiting").Update(float64(keyed + unkeyed))
	}
}

func (b *Biller) addKeyed(bill Bill) {
	if b.keyed == nil {
		b.keyed = make(map[string]Bill)
	}
	if _, ok := b.keyed[bill.Key]; ok {
		return
	}
	b.keyed[bill.Key] = bill
	b.keyedOrder = append(b.keyedOrder, bill.Key)
}

// aggregate adds the buffered bills without key to the sums, so that memory grows with the number of accounts and
// models, not with the number of requests.
func (b *Biller) aggregate() {
	if b.sums == nil {
		b.sums = make(map[string]*UsageSum)
	}
	for _, bill := range b.unkeyed {
		b.summedNumbers.Add(bill.Number)
		key := bill.Account + "\x00" + bill.Model + "\x00" + strings.Join(bill.Budgets, "\x00")
		sum := b.sums[key]
		if sum == nil {
			sum = &UsageSum{Account: bill.Account, Budgets: bill.Budgets, Model: bill.Model}
			b.sums[key] = sum
		}
		sum.Count++
		sum.Input += bill.Input
		sum.Output += bill.Output
	}
	b.unkeyed = b.unkeyed[:0]
}
