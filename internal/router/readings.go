package router

import (
	"context"
	"encoding/json"
	"math"
	"sync"
	"time"

	"citronslip/internal/budget"
	"citronslip/internal/burn"
	"citronslip/internal/delay"
	"citronslip/pkg/inventory"
)

const (
	readingsInterval = 5 * time.Second
	// readingsEach is the most budget rows read in one interval. With it 400 routers read 160 rows/s.
	readingsEach    = 2
	readingsTimeout = 2 * time.Second
	readingsKept    = 200
)

type (
	// reading is the state of a budget's row at one time.
	reading struct {
		burn.Reading
		granted inventory.Tokens
	}

	// readings are the latest readings of the budgets in use at this router.
	readings struct {
		mu   sync.Mutex
		rows map[budget.Key]reading
		next int
	}
)

// watchBudgets reads the rows of the budgets in use in turn, for the burn report and status.
func (r *Router) watchBudgets(ctx context.Context) error {
	delay.Every(ctx, readingsInterval, func() {
		keys := r.ledger.Active()
		for range min(readingsEach, len(keys)) {
			r.readBudget(ctx, keys[r.readings.turn(len(keys))])
		}
		r.burn.Read(r.readings.forBurn())
	})
	return nil
}

func (r *Router) readBudget(ctx context.Context, key budget.Key) {
	limited, cancel := context.WithTimeout(ctx, readingsTimeout)
	defer cancel()
	row, err := r.table.Get(limited, budget.TotalRowKey(key))
	if err != nil {
		return
	}
	var total budget.TotalRow
	if json.Unmarshal(row.Value, &total) != nil {
		return
	}
	r.readings.put(key, reading{
		Reading: burn.Reading{
			BudgetID: inventory.BudgetID{Account: key.Account, Budget: key.Budget},
			Total:    total.Total,
			Spent:    total.Closed + total.Spent,
		},
		granted: total.Granted,
	})
}

// turn returns the position of the next key to read.
func (r *readings) turn(count int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next = (r.next + 1) % count
	return r.next
}

func (r *readings) put(key budget.Key, latest reading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rows == nil {
		r.rows = make(map[budget.Key]reading)
	}
	r.rows[key] = latest
	if len(r.rows) > readingsKept {
		r.dropFullest()
	}
}

// dropFullest forgets the budget with the largest part left, which needs attention least.
func (r *readings) dropFullest() {
	var fullest budget.Key
	most := math.Inf(-1)
	for key, row := range r.rows {
		left := 1 - float64(row.Spent)/float64(max(row.Total, 1))
		if left > most {
			fullest, most = key, left
		}
	}
	delete(r.rows, fullest)
}

func (r *readings) latest() []reading {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]reading, 0, len(r.rows))
	for _, row := range r.rows {
		list = append(list, row)
	}
	return list
}

func (r *readings) forBurn() []burn.Reading {
	var list []burn.Reading
	for _, row := range r.latest() {
		list = append(list, row.Reading)
	}
	return list
}
