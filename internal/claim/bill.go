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
	billPrefix = "bill/"
	markPrefix = "billed/"

	// defaultFlush is the time between batches of bills: 12 routers make 2.4 commits a second.
	defaultFlush = 5 * time.Second
	// defaultDetail is the number of waiting bills without key that are kept one by one before they are summed up.
	defaultDetail = 2000
	// defaultKeyed bounds the waiting keyed bills, about 200 bytes each.
	defaultKeyed = 200000
	// defaultGrace bounds the last flush at a planned stop.
	defaultGrace = 10 * time.Second
)

type (
	// Bill is the usage that one request is charged. Exactly one of Key and Number identifies the request.
	Bill struct {
		Key     string   `json:"key,omitempty"`    // Identity of a keyed request.
		Number  uint64   `json:"number,omitempty"` // Counter of a request without key at its instance, from 1.
		Account string   `json:"account"`
		Budgets []string `json:"budgets,omitempty"`
		Model   string   `json:"model,omitempty"`
		Input   int64    `json:"input"`  // Prompt tokens.
		Output  int64    `json:"output"` // Generated tokens.
		Attempt int      `json:"attempt,omitempty"`
	}

	// Sum is the usage of several requests without key of one account, budgets and model.
	Sum struct {
		Account string   `json:"account"`
		Budgets []string `json:"budgets,omitempty"`
		Model   string   `json:"model,omitempty"`
		Count   int64    `json:"count"`
		Input   int64    `json:"input"`
		Output  int64    `json:"output"`
	}

	// Biller writes the bills of one router instance in batches. Set the exported fields before the first use.
	Biller struct {
		Table    table.Table
		Instance string
		Interval time.Duration // Time between batches; zero means 5 s.
		Timeout  time.Duration // Limit of one table call; zero means 2 s.
		Grace    time.Duration // Limit of the flush at a planned stop; zero means 10 s.
		Detail   int           // Bills without key that wait one by one before they are summed up; zero means 2,000.
		Most     int           // Most keyed bills that wait before Full says so; zero means 200,000.
		Metrics  tally.Scope
		Logger   *zerolog.Logger

		mu      sync.Mutex
		keyed   map[string]Bill // Waiting keyed bills.
		order   []string        // Keys of keyed in the order of arrival.
		detail  []Bill          // Waiting bills without key.
		sums    map[string]*Sum // Waiting bills without key, summed up.
		numbers Numbers         // Numbers of the requests in sums.

		flush sync.Mutex // Held during a flush; guards the fields below.
		next  uint64     // Sequence number of the next row.
		open  *parcel    // Parcel whose outcome is not known yet.
	}
)

// Add takes the bill of a completed request. A keyed request that is already waiting is not added again.
func (b *Biller) Add(bill Bill) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bill.Key != "" {
		b.addKeyed(bill)
		return
	}
	b.detail = append(b.detail, bill)
	if len(b.detail) > positive(b.Detail, defaultDetail) {
		b.coalesce()
	}
}

// Full reports whether keyed requests are to be refused until the table takes bills again. Bills without key are
// summed up instead and never make a router full.
func (b *Biller) Full() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.order) >= positive(b.Most, defaultKeyed)
}

// Waiting returns the number of bills that are not written: keyed ones, and requests without key.
func (b *Biller) Waiting() (keyed, other int) {
	b.flush.Lock()
	defer b.flush.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	keyed = len(b.order)
	other = len(b.detail)
	for _, sum := range b.sums {
		other += int(sum.Count)
	}
	if b.open != nil {
		keyed += b.open.keyed()
		other += b.open.other()
	}
	return keyed, other
}

// Run writes a batch each interval until the context ends, then writes what is left within the grace time.
func (b *Biller) Run(ctx context.Context) error {
	delay.Repeat(ctx, positive(b.Interval, defaultFlush), func() {
		if err := b.Flush(ctx); err != nil {
			b.delayed(err)
		}
	})
	return b.stop(ctx)
}

// stop is the flush at a planned stop. It repeats until all is written or the grace time is over.
func (b *Biller) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), positive(b.Grace, defaultGrace))
	defer cancel()
	ticker := time.NewTicker(positive(b.Interval, defaultFlush) / 20)
	defer ticker.Stop()
	for {
		err := b.Flush(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			keyed, other := b.Waiting()
			event.BillsStopped.Log(b.Logger).Err(err).Int("keyed", keyed).Int("other", other).Send()
			return err
		case <-ticker.C:
		}
	}
}

func (b *Biller) delayed(err error) {
	keyed, other := b.Waiting()
	event.BillsDelayed.Log(b.Logger).Err(err).Int("keyed", keyed).Int("other", other).Send()
	if b.Full() {
		event.BillsFull.Log(b.Logger).Int("keyed", keyed).Send()
	}
	if b.Metrics != nil {
		b.Metrics.Gauge("waiting").Update(float64(keyed + other))
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
	b.order = append(b.order, bill.Key)
}

// coalesce sums the waiting bills without key up, so that memory grows with accounts and models, not with requests.
func (b *Biller) coalesce() {
	if b.sums == nil {
		b.sums = make(map[string]*Sum)
	}
	for _, bill := range b.detail {
		b.numbers.Add(bill.Number)
		key := bill.Account + "\x00" + bill.Model + "\x00" + strings.Join(bill.Budgets, "\x00")
		sum := b.sums[key]
		if sum == nil {
			sum = &Sum{Account: bill.Account, Budgets: bill.Budgets, Model: bill.Model}
			b.sums[key] = sum
		}
		sum.Count++
		sum.Input += bill.Input
		sum.Output += bill.Output
	}
	b.detail = b.detail[:0]
}
