// Package prepaid keeps prepaid token budgets over many routers. Each router holds a grant of each account that it
// serves. Grants are rows of the store, so that a budget is never exceeded whatever fails.
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
	// sumTable holds a row for each account, grantTable a row for each router that holds a grant of it. Rows of one
	// account share a part, so that one transaction writes both.
	sumTable   = "budget"
	grantTable = "grant"
	aliveTable = "alive"
	viewTable  = "members"
	sumName    = "sum"
)

var (
	viewKey = store.Key{Table: viewTable, Name: "view"}

	errRow = errors.New("prepaid: unreadable row")
)

type (
	// grantState is a grant as its row has it.
	grantState struct {
		wire.PrepaidGrant
		version int64 // Zero if there is no row.
	}

	// sumState is an account's row.
	sumState struct {
		wire.PrepaidSum
		version int64
	}
)

// free returns what can still be granted.
func (s *sumState) free() int64 { return max(0, int64(s.Total-s.Closed-s.Granted)) }

// declare takes over the total of a configuration unless a later one set it.
func (s *sumState) declare(version int64, total inventory.Tokens) {
	if int(version) >= s.Version {
		s.Version = int(version)
		s.Total = int(total)
	}
}

func sumKey(account string) store.Key {
	return store.Key{Table: sumTable, Part: account, Name: sumName}
}

func grantKey(account, node string) store.Key {
	return store.Key{Table: grantTable, Part: account, Name: node}
}

func aliveKey(node string) store.Key { return store.Key{Table: aliveTable, Name: node} }

// encode returns the value of a row. The types of rows hold numbers and strings only and always encode.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

func decode(row store.Row, value any) error {
	if err := json.Unmarshal(row.Value, value); err != nil {
		return fmt.Errorf("%w %v: %v", errRow, row.Key, err)
	}
	return nil
}
