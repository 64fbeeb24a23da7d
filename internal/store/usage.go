package store

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/delay"
	"citronslip/internal/event"
)

const (
	// usageLogInterval is the time between two log lines of a table and operation.
	usageLogInterval = 10 * time.Second
)

const (
	// CallWrite is a write transaction.
	CallWrite Operation = "write"
	// CallList lists a part.
	CallList Operation = "list"
	// CallRow reads one row.
	CallRow Operation = "row"
	// CallFeed waits for changes of a table.
	CallFeed Operation = "feed"
)

type (
	// Operation is a kind of call to the store.
	Operation string

	// Usage counts the calls to the store and the bytes of their bodies by table and operation. Set the fields before
	// the first call of Add. The zero value counts without metrics and logs.
	Usage struct {
		Metrics tally.Scope     // Optional.
		Logger  *zerolog.Logger // Optional.

		mu     sync.Mutex
		totals map[usageKey]*Traffic
	}

	// Traffic is a number of calls, and the bytes of their bodies.
	Traffic struct {
		Calls    int64
		Sent     int64
		Received int64
	}

	usageKey struct {
		table     string
		operation Operation
	}
)

// Add counts one call, whether it was answered or not.
func (u *Usage) Add(table string, operation Operation, sent, received int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := usageKey{table, operation}
	t := u.totals[key]
	if t == nil {
		if u.totals == nil {
			u.totals = make(map[usageKey]*Traffic)
		}
		t = &Traffic{}
		u.totals[key] = t
	}
	t.Calls++
	t.Sent += int64(sent)
	t.Received += int64(received)
	if u.Metrics == nil {
		return
	}
	scope := u.Metrics.Tagged(map[string]string{"table": table, "operation": string(operation)})
	scope.Counter("calls").Inc(1)
	scope.Counter("sent_bytes").Inc(int64(sent))
	scope.Counter("received_bytes").Inc(int64(received))
}

// Total returns the traffic of one operation on one table so far.
func (u *Usage) Total(table string, operation Operation) Traffic {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t := u.totals[usageKey{table, operation}]; t != nil {
		return *t
	}
	return Traffic{}
}

// Run logs the totals until the context ends.
func (u *Usage) Run(ctx context.Context) error {
	for delay.Sleep(ctx, usageLogInterval) {
		u.logTotals()
	}
	return nil
}

// logTotals logs the totals of each table and operation.
func (u *Usage) logTotals() {
	u.mu.Lock()
	defer u.mu.Unlock()
	keys := slices.SortedFunc(maps.Keys(u.totals), func(a, b usageKey) int {
		return cmp.Or(strings.Compare(a.table, b.table), strings.Compare(string(a.operation), string(b.operation)))
	})
	for _, key := range keys {
		t := u.totals[key]
		event.StoreUsage.Log(u.Logger).Str("table", key.table).Str("operation", string(key.operation)).Int64("calls", t.Calls).
			Int64("sent", t.Sent).Int64("received", t.Received).Send()
	}
}
