package budget_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"citronslip/internal/budget"
	"citronslip/internal/table"
	"citronslip/pkg/inventory"
)

// Guards against a request that is refused although the controller can fetch tokens for it, and against a planned stop
// that leaves a grant open or waits forever for a request that does not settle.
func TestRunAndClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		key := budget.Key{Account: "a", Budget: "main"}
		var rows table.Memory
		ledger := &budget.Ledger{Declared: declaredCell(100_000, key)}
		controller := &budget.GrantController{Table: &rows, Ledger: ledger, Declared: ledger.Declared, Instance: "i1",
			Address: "h:1"}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- controller.Run(ctx) }()
		wait, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		_, err := ledger.ReserveWait(wait, []budget.Key{key}, 500)
		is.NoErr(err)
		cancel()
		is.NoErr(<-ended)
		grace, done := context.WithTimeout(t.Context(), time.Minute)
		defer done()
		is.NoErr(controller.Close(grace)) // The request never settles and is charged at its bound.
		is.Equal(readBudgetRow(t, &rows, key).Closed, inventory.Tokens(500))
		is.Equal(readBudgetRow(t, &rows, key).Granted, inventory.Tokens(0))
	})
}

// Guards against a top-up that is counted twice, a router with an older configuration that undoes a top-up, and a
// lowered declaration that sets the total below what is granted.
func TestDeclaredTotals(t *testing.T) {
	is := is.New(t)
	key := budget.Key{Account: "a", Budget: "main"}
	inv := &inventory.Inventory{Budgets: []inventory.Budget{{Account: "a", Name: "main", Tokens: 600,
		TopUps: []inventory.TopUp{{Name: "may", Tokens: 100}, {Name: "may", Tokens: 100}}}}}
	is.Equal(budget.DeclarationsFrom(1, inv).Budgets[key].Total, inventory.Tokens(700))
	var rows table.Memory
	open := func(instance string, version int, total inventory.Tokens) {
		ledger := &budget.Ledger{Declared: declaredCell(total, key)}
		declared := *ledger.Declared.Load()
		declared.Version = version
		ledger.Declared.Store(&declared)
		_, _ = ledger.Reserve([]budget.Key{key}, 300)
		controller := &budget.GrantController{Table: &rows, Ledger: ledger, Declared: ledger.Declared,
			Instance: instance, Address: instance, Policy: budget.FixedSize{Tokens: 300}}
		is.NoErr(controller.Step(t.Context()))
	}
	open("i1", 2, 700)
	open("i2", 1, 600) // An older configuration.
	is.Equal(readBudgetRow(t, &rows, key).Total, inventory.Tokens(700))
	is.Equal(readBudgetRow(t, &rows, key).Granted, inventory.Tokens(600))
	open("i3", 3, 200) // The declaration is lowered: nothing more is granted.
	open("i4", 4, 700)
	is.Equal(readBudgetRow(t, &rows, key).Total, inventory.Tokens(700))
	is.Equal(readBudgetRow(t, &rows, key).Granted, inventory.Tokens(700))
}

// readBudgetRow returns the row of a budget.
func readBudgetRow(t *testing.T, rows *table.Memory, key budget.Key) budget.Row {
	t.Helper()
	row, err := rows.Get(t.Context(), budget.RowKey(key))
	if err != nil {
		t.Fatal(err)
	}
	var budgetRow budget.Row
	if err := json.Unmarshal(row.Value, &budgetRow); err != nil {
		t.Fatal(err)
	}
	return budgetRow
}

// Guards against a planned stop that runs until its time limit because the answer to its last delete was lost.
func TestCloseAfterLostAnswer(t *testing.T) {
	is := is.New(t)
	key := budget.Key{Account: "a", Budget: "main"}
	losing := false
	rows := table.Memory{Inject: func(string) table.Fault {
		if losing {
			return table.FaultLose
		}
		return table.FaultNone
	}}
	ledger := &budget.Ledger{Declared: declaredCell(100_000, key)}
	controller := &budget.GrantController{Table: &rows, Ledger: ledger, Declared: ledger.Declared, Instance: "i1",
		Address: "h:1"}
	is.NoErr(controller.Step(t.Context()))
	losing = true
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	is.NoErr(controller.Close(ctx))
	is.NoErr(ctx.Err())
}

// Guards against small requests that are refused although the table has tokens for them, after a larger refused request
// made their router return its rest: the ledger must know of the returned tokens, and a small refused request must fetch
// them, also while larger ones are refused.
func TestReturnedTokensAreFetchedAgain(t *testing.T) {
	is := is.New(t)
	key := budget.Key{Account: "a", Budget: "main"}
	keys := []budget.Key{key}
	var rows table.Memory
	ledger := &budget.Ledger{Declared: declaredCell(1000, key)}
	controller := &budget.GrantController{Table: &rows, Ledger: ledger, Declared: ledger.Declared, Instance: "i1", Address: "h:1"}
	reserve := func(bound inventory.Tokens) error {
		_, err := ledger.Reserve(keys, bound)
		return err
	}
	is.True(reserve(930) != nil)
	is.NoErr(controller.Step(t.Context()))
	is.NoErr(reserve(930))
	is.True(reserve(191) != nil)
	is.NoErr(controller.Step(t.Context()))
	is.Equal(ledger.Available(key), inventory.Tokens(0))
	is.True(ledger.MayFit(key, 70))
	is.True(!ledger.MayFit(key, 71))
	is.True(reserve(191) != nil)
	is.True(reserve(35) != nil)
	is.NoErr(controller.Step(t.Context()))
	is.NoErr(reserve(35))
	is.True(ledger.MayFit(key, 35))
}
