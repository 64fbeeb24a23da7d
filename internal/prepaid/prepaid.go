// Package prepaid enforces prepaid token budgets across a fleet of routers. A router holds a grant for each account
// that it serves: tokens of the budget that it may spend without a store write for each request. Grants are rows of the
// store, so a budget is never exceeded, whatever fails.
//
// A grant has an amount and an opened part. While the store answers, the holder spends only the opened part, and a
// holder that crashes is charged that part. The longer the store does not answer, the more of the rest the holder
// may spend autonomously; see Spendable.
package prepaid

import (
	"encoding/json"
	"errors"
	"fmt"

	"citronslip/internal/store"
	"citronslip/internal/wire"
	"citronslip/pkg/inventory"
)

const (
	// budgetTable holds one row for each account, grantTable one row for each router that holds a grant of the account.
	// Rows of one account share a part of the store, so that one transaction can write both.
	budgetTable = "budget"
	grantTable  = "grant"
	// heartbeatTable holds the heartbeat row of each router.
	heartbeatTable = "alive"
	// membershipTable holds the membership view, a single row.
	membershipTable = "members"
	// budgetRowName is the name of an account's row in budgetTable.
	budgetRowName = "sum"
)

var (
	viewKey = store.Key{Table: membershipTable, Name: "view"}

	// errUnreadableRow is returned when the value of a row cannot be decoded.
	errUnreadableRow = errors.New("prepaid: unreadable row")
)

type (
	// grantState is the content and version of a grant row.
	grantState struct {
		wire.PrepaidGrant
		version int64 // Row version; 0 if there is no row.
	}

	// budgetState is the content and version of an account's budget row.
	budgetState struct {
		wire.PrepaidSum
		version int64 // Row version; 0 if there is no row.
	}
)

// available returns the number of tokens that are neither granted nor spent in grants that have ended.
func (s *budgetState) available() int64 { return max(0, int64(s.Total-s.Closed-s.Granted)) }

// applyTotal sets the total to that of a configuration version, unless a later version has set it.
func (s *budgetState) applyTotal(version int64, total inventory.Tokens) {
	if int(version) >= s.Version {
		s.Version = int(version)
		s.Total = int(total)
	}
}

func budgetKey(account string) store.Key {
	return store.Key{Table: budgetTable, Part: account, Name: budgetRowName}
}

func grantKey(account, node string) store.Key {
	return store.Key{Table: grantTable, Part: account, Name: node}
}

func heartbeatKey(node string) store.Key { return store.Key{Table: heartbeatTable, Name: node} }

// encode returns the JSON value of a row. It panics on an error: row types hold only numbers and strings, which always
// encode.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// decode parses the JSON value of a row. Its error wraps errUnreadableRow.
func decode(row store.Row, value any) error {
	if err := json.Unmarshal(row.Value, value); err != nil {
		return fmt.Errorf("%w %v: %v", errUnreadableRow, row.Key, err)
	}
	return nil
}
