// Package budget enforces prepaid token budgets across the routers of a fleet.
//
// The table holds one row for each budget with the tokens that are still to be granted. A router fetches a grant, which
// is a number of tokens for its own use, so that requests are admitted without a call of the table. On the request
// path, the Ledger reserves the bound of a request, which is the largest usage expected of it, and later settles the
// reservation with the actual usage. The GrantController opens, resizes and closes the grants in the table, Home
// reserves tokens for requests of other routers, and Remote asks other routers for reservations.
//
// A grant has two limits: the normal limit, which counts while the table confirms writes, and the whole granted amount,
// which counts when the table has confirmed nothing for the autonomy delay. If a router dies, its grants are charged at
// most what it can have spent by the time at which the table recorded that it may not spend any more, and the rest
// returns to the budget.
package budget

import (
	"errors"
	"fmt"
	"time"

	"citronslip/pkg/inventory"
)

var (
	// ErrInvalidReservation is returned when a bound is negative or no budget is named.
	ErrInvalidReservation = errors.New("budget: invalid reservation")
	// ErrTableFailed is returned when a table call fails, its answer is lost or a row cannot be decoded.
	ErrTableFailed = errors.New("budget: table unavailable")
	// ErrFenced is returned when this instance may not spend any more: its alive row is fenced or gone, because
	// another instance registered under the address, its host was reported gone, or its grants were closed for a
	// planned stop.
	ErrFenced = errors.New("budget: this instance is fenced or closed")
	// ErrAttemptEnded is returned when the attempt has already been settled or cancelled.
	ErrAttemptEnded = errors.New("budget: attempt has ended")
	// ErrNoPeerAnswered is returned when no other router answered a reservation.
	ErrNoPeerAnswered = errors.New("budget: no other router answered")
	// ErrGrantsOpen is returned when a planned stop reaches its time limit with grants open.
	ErrGrantsOpen = errors.New("budget: grants still open")
)

type (
	// Key identifies a budget by its account and its name.
	Key struct {
		Account string `json:"account"`
		Budget  string `json:"budget"`
	}

	// Declarations holds the budgets that the configuration in force declares.
	Declarations struct {
		Version int // Configuration version.
		Budgets map[Key]Declaration
	}

	// Declaration is one declared budget.
	Declaration struct {
		Total inventory.Tokens       // Declared tokens including top-ups.
		Weigh inventory.WorseOutcome // Which error the account weighs more: false refusals or overspend.
	}

	// ExhaustedError is returned when a budget has fewer tokens left at this router than the bound.
	ExhaustedError struct {
		Key     Key
		Left    inventory.Tokens // Tokens that can still be reserved at this router.
		Smaller bool             // Whether a smaller bound may fit, here or with tokens of the table.
		Retry   time.Duration    // Delay after which a retry can succeed, 0 if only a top-up can help.
	}

	// UnknownError is returned when the budget is not declared.
	UnknownError struct {
		Key Key
	}
)

// DeclarationsFrom derives the declarations from an inventory. Top-ups with the same name count once.
func DeclarationsFrom(version int, inv *inventory.Inventory) *Declarations {
	worseOutcomes := make(map[string]inventory.WorseOutcome, len(inv.Accounts))
	for _, account := range inv.Accounts {
		worseOutcomes[account.Name] = account.WorseOutcome
	}
	result := &Declarations{Version: version, Budgets: make(map[Key]Declaration, len(inv.Budgets))}
	for _, b := range inv.Budgets {
		key := Key{Account: b.Account, Budget: b.Name}
		result.Budgets[key] = Declaration{Total: declaredTotal(b), Weigh: worseOutcomes[b.Account]}
	}
	return result
}

func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("budget %s/%s has %d tokens left at this router", e.Key.Account, e.Key.Budget, e.Left)
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("budget %s/%s is not declared", e.Key.Account, e.Key.Budget)
}

// declaredTotal returns the tokens of a budget including its top-ups.
func declaredTotal(b inventory.Budget) inventory.Tokens {
	total := b.Tokens
	for i, topup := range b.TopUps {
		repeated := false
		for _, earlier := range b.TopUps[:i] {
			repeated = repeated || earlier.Name == topup.Name
		}
		if !repeated {
			total += topup.Tokens
		}
	}
	return total
}
