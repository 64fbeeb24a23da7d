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
	// budgetReadInterval is the time between two rounds of reads.
	budgetReadInterval = 5 * time.Second
	// maxBudgetReads bounds the budget rows that are read in one round. With 2 rows, 400 routers read 160 rows/s.
	maxBudgetReads = 2
	// budgetReadTimeout bounds one read.
	budgetReadTimeout = 2 * time.Second
	// maxBudgetReadings bounds the budgets whose latest reading is kept.
	maxBudgetReadings = 200
)

type (
	// budgetReading is what the table's row of a budget held when it was read.
	budgetReading struct {
		burn.Reading
		granted inventory.Tokens // Tokens that routers of the fleet hold as grants.
	}

	// budgetReadings holds the latest readings of the budgets in use at this router. The zero value is ready for use.
	budgetReadings struct {
		mu       sync.Mutex
		rows     map[budget.Key]budgetReading
		position int // Index of the key that was read last.
	}
)

// pollBudgets reads the rows of the budgets in use by turns, for the burn report and the status.
func (r *Router) pollBudgets(ctx context.Context) error {
	delay.RepeatNow(ctx, budgetReadInterval, func() {
		keys := r.ledger.ActiveBudgets()
		for range min(maxBudgetReads, len(keys)) {
			r.readBudget(ctx, keys[r.budgetReadings.nextIndex(len(keys))])
		}
		r.burn.RecordReadings(r.budgetReadings.burnReadings())
	})
	return nil
}

// readBudget reads the row of a budget. After a failed read the last reading stays.
func (r *Router) readBudget(ctx context.Context, key budget.Key) {
	readCtx, cancel := context.WithTimeout(ctx, budgetReadTimeout)
	defer cancel()
	row, err := r.table.Get(readCtx, budget.RowKey(key))
	if err != nil {
		return
	}
	var total budget.Row
	if json.Unmarshal(row.Value, &total) != nil {
		return
	}
	r.budgetReadings.put(key, budgetReading{
		Reading: burn.Reading{
			BudgetID: inventory.BudgetID{Account: key.Account, Budget: key.Budget},
			Total:    total.Total,
			Spent:    total.Closed + total.Spent,
		},
		granted: total.Granted,
	})
}

// nextIndex returns the index, below count, of the next key to read.
func (r *budgetReadings) nextIndex(count int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.position = (r.position + 1) % count
	return r.position
}

// put stores the latest reading of a budget. If too many are kept, it evicts one.
func (r *budgetReadings) put(key budget.Key, latest budgetReading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rows == nil {
		r.rows = make(map[budget.Key]budgetReading)
	}
	r.rows[key] = latest
	if len(r.rows) > maxBudgetReadings {
		r.evictFullest()
	}
}

// evictFullest removes the reading of the budget with the largest share left, which an operator needs to see least.
func (r *budgetReadings) evictFullest() {
	var fullest budget.Key
	maxLeft := math.Inf(-1)
	for key, row := range r.rows {
		left := 1 - float64(row.Spent)/float64(max(row.Total, 1))
		if left > maxLeft {
			fullest, maxLeft = key, left
		}
	}
	delete(r.rows, fullest)
}

func (r *budgetReadings) list() []budgetReading {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]budgetReading, 0, len(r.rows))
	for _, row := range r.rows {
		list = append(list, row)
	}
	return list
}

func (r *budgetReadings) burnReadings() []burn.Reading {
	var list []burn.Reading
	for _, row := range r.list() {
		list = append(list, row.Reading)
	}
	return list
}
