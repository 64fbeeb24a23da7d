package budget_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/budget"
	"citronslip/internal/table"
	"citronslip/pkg/inventory"
)

// Guards against a budget that is exceeded after the table service came back from a copy without its latest grants.
// Routers that are fenced end, and new processes start at their addresses.
func TestBudgetHoldsAfterTableIsRestored(t *testing.T) {
	is := is.New(t)
	key := budget.Key{Account: "a", Budget: "main"}
	const total = 100_000
	now := time.Now()
	clock := func() time.Time { return now }
	rows := table.Memory{Now: clock}
	ledgers, controllers := make([]*budget.Ledger, 3), make([]*budget.GrantController, 3)
	starts := 0
	start := func(i int) {
		starts++
		ledgers[i] = &budget.Ledger{Declared: declaredCell(total, key)}
		controllers[i] = &budget.GrantController{
			Table: &rows, Ledger: ledgers[i], Declared: ledgers[i].Declared, Instance: fmt.Sprint("i", starts), Address: fmt.Sprint("h:", i),
			Now: clock,
		}
	}
	for i := range controllers {
		start(i)
	}
	spent := inventory.Tokens(0)
	spend := func(requests int) {
		for range requests {
			now = now.Add(time.Second)
			for i := range controllers {
				if reservation, err := ledgers[i].Reserve([]budget.Key{key}, 500); err == nil {
					ledgers[i].Settle(reservation, 500)
					spent += 500
				}
				if errors.Is(controllers[i].Step(t.Context()), budget.ErrFenced) {
					start(i)
				}
			}
		}
	}
	saved := rows.Copy()
	spend(30)
	rows.Restore(saved)
	spend(400)
	t.Logf("%d of %d spent, %d processes", spent, total, starts)
	is.True(spent <= total)
	is.True(spent*100 >= total*95)
}
