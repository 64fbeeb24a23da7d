package budget_test

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"testing"

	"github.com/matryer/is"

	"citronslip/internal/board"
	"citronslip/internal/budget"
	"citronslip/internal/table"
	"citronslip/pkg/inventory"
)

// declaredCell returns a cell with budgets that all have the same total.
func declaredCell(total inventory.Tokens, keys ...budget.Key) *board.Cell[budget.Declarations] {
	declared := &budget.Declarations{Version: 1, Budgets: make(map[budget.Key]budget.Declaration)}
	for _, key := range keys {
		declared.Budgets[key] = budget.Declaration{Total: total}
	}
	var cell board.Cell[budget.Declarations]
	cell.Store(declared)
	return &cell
}

// ledgerWithGrants returns a ledger that holds all tokens of each budget.
func ledgerWithGrants(tb testing.TB, total inventory.Tokens, keys ...budget.Key) *budget.Ledger {
	tb.Helper()
	ledger := &budget.Ledger{Declared: declaredCell(total, keys...)}
	grantAll(tb, ledger, total, keys...)
	return ledger
}

// grantAll opens a grant with all tokens of each budget. The refused reservations make the controller open them.
func grantAll(tb interface{ Fatal(...any) }, ledger *budget.Ledger, total inventory.Tokens, keys ...budget.Key) {
	for _, key := range keys {
		_, _ = ledger.Reserve([]budget.Key{key}, total)
	}
	controller := &budget.GrantController{Table: &table.Memory{}, Ledger: ledger, Declared: ledger.Declared,
		Instance: "i1", Address: "127.0.0.1:1", Policy: budget.FixedSplit{Holders: 1}}
	if err := controller.Step(context.Background()); err != nil {
		tb.Fatal(err)
	}
}

func ExampleLedger_Reserve() {
	ledger := &budget.Ledger{Declared: declaredCell(100, budget.Key{Account: "a", Budget: "main"})}
	_, err := ledger.Reserve([]budget.Key{{Account: "a", Budget: "main"}}, 10)
	var exhausted *budget.ExhaustedError
	fmt.Println(errors.As(err, &exhausted), exhausted.Left, exhausted.Retry)
	// Output: true 0 1s
}

// Guards against a reservation that keeps tokens of one budget although another budget refused it, and against a budget
// that is debited twice because it is named twice.
func TestReserveIsAllOrNone(t *testing.T) {
	is := is.New(t)
	a, b := budget.Key{Account: "a", Budget: "x"}, budget.Key{Account: "a", Budget: "y"}
	ledger := ledgerWithGrants(t, 100, a, b)
	r, err := ledger.Reserve([]budget.Key{a, a}, 60)
	is.NoErr(err)
	_, err = ledger.Reserve([]budget.Key{b, a}, 50)
	var exhausted *budget.ExhaustedError
	is.True(errors.As(err, &exhausted))
	is.Equal(exhausted.Key, a)
	is.Equal(exhausted.Left, inventory.Tokens(40))
	is.True(exhausted.Smaller)
	is.Equal(ledger.Available(b), inventory.Tokens(100))
	ledger.Settle(r, 70) // Usage above the bound is counted in full.
	ledger.Settle(r, 70) // Only the first Settle of a reservation counts.
	ledger.Settle(r, 0)
	is.Equal(ledger.Available(a), inventory.Tokens(30))
}

// Guards against lost updates and deadlocks when reservations name the same budgets in different orders.
func TestConcurrentReservations(t *testing.T) {
	is := is.New(t)
	a, b := budget.Key{Account: "a", Budget: "x"}, budget.Key{Account: "a", Budget: "y"}
	ledger := ledgerWithGrants(t, 100_000, a, b)
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			keys := []budget.Key{a, b}
			if i%2 == 0 {
				keys = []budget.Key{b, a}
			}
			for range 1000 {
				r, err := ledger.Reserve(keys, 10)
				if err == nil {
					ledger.Settle(r, 3)
				}
			}
		})
	}
	group.Wait()
	is.Equal(ledger.Available(a), inventory.Tokens(100_000-8*1000*3))
	is.Equal(ledger.Available(b), ledger.Available(a))
}

// Guards against a ledger that takes more than 64 MiB of a router's memory with 320,000 declared budgets, 5,000 of them
// active.
func TestLedgerMemory(t *testing.T) {
	is := is.New(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	cell := new(board.Cell[budget.Declarations])
	budgets := make(map[budget.Key]budget.Declaration)
	for i := range 320_000 {
		key := budget.Key{Account: fmt.Sprintf("account-%04d", i%1700), Budget: fmt.Sprintf("budget-%06d", i)}
		budgets[key] = budget.Declaration{Total: 1_000_000}
	}
	cell.Store(&budget.Declarations{Version: 1, Budgets: budgets})
	ledger := &budget.Ledger{Declared: cell}
	controller := &budget.GrantController{Table: &table.Memory{}, Ledger: ledger, Declared: cell, Instance: "i1",
		Address: "127.0.0.1:1", Policy: budget.FixedSize{Tokens: 10_000}}
	for i := range 5000 {
		key := budget.Key{Account: fmt.Sprintf("account-%04d", i%1700), Budget: fmt.Sprintf("budget-%06d", i)}
		_, _ = ledger.Reserve([]budget.Key{key}, 1)
	}
	is.NoErr(controller.Step(t.Context()))
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("%.1f MB", float64(after.HeapAlloc-before.HeapAlloc)/1e6)
	is.True(after.HeapAlloc-before.HeapAlloc < 64<<20)
	runtime.KeepAlive(controller)
}

// BenchmarkReserveSettle measures one Reserve and Settle on a single budget and on 1000 budgets. Run it with -cpu 1,10.
func BenchmarkReserveSettle(b *testing.B) {
	for _, count := range []int{1, 1000} {
		b.Run(fmt.Sprintf("budgets=%d", count), func(b *testing.B) {
			keys := make([]budget.Key, count)
			for i := range keys {
				keys[i] = budget.Key{Account: "account", Budget: fmt.Sprintf("budget-%d", i)}
			}
			ledger := ledgerWithGrants(b, 1<<50, keys...)
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				i := 0
				named := make([]budget.Key, 1)
				for pb.Next() {
					i++
					named[0] = keys[i%count]
					r, err := ledger.Reserve(named, 100)
					if err != nil {
						b.Error(err)
						return
					}
					ledger.Settle(r, 60)
				}
			})
		})
	}
}

// Guards against more than one allocation per Reserve and Settle, which the benchmark only reports.
func TestReserveSettleAllocations(t *testing.T) {
	is := is.New(t)
	key := budget.Key{Account: "a", Budget: "x"}
	ledger := ledgerWithGrants(t, 1<<50, key)
	keys := []budget.Key{key}
	allocations := testing.AllocsPerRun(1000, func() {
		r, _ := ledger.Reserve(keys, 100)
		ledger.Settle(r, 60)
	})
	is.True(allocations <= 1)
}
