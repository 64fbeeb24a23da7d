package budget

import (
	"encoding/json"
	"net/url"
	"strings"
	"time"

	"citronslip/internal/table"
	"citronslip/pkg/inventory"
)

type (
	// Row is the table row of one budget. Closed plus Granted never exceeds Total. A lowered declaration
	// therefore lowers Total only to their sum, and further as grants shrink.
	Row struct {
		Total    inventory.Tokens `json:"total"`    // Tokens in force, spent ones included.
		Granted  inventory.Tokens `json:"granted"`  // Sum of the amounts of the open grants.
		Closed   inventory.Tokens `json:"closed"`   // Consumption charged for closed grants.
		Declared inventory.Tokens `json:"declared"` // Tokens that the configuration declares.
		Version  int              `json:"version"`  // Configuration version that Declared is from.
		Holders  int              `json:"holders"`  // Number of open grants.
		Rate     inventory.Tokens `json:"rate"`     // Demand of all holders in tokens per hour; only for sizing grants.
		Spent    inventory.Tokens `json:"spent"`    // Reported consumption of open grants; only for sizing grants.
	}

	// GrantRow is the table row of one grant. Only its holder changes it; the holder or a router that reclaims it
	// deletes it.
	GrantRow struct {
		Sequence      int64            `json:"sequence"`  // Write number, by which the holder recognises its own write.
		Amount        inventory.Tokens `json:"amount"`    // Granted tokens, spent ones included.
		NormalLimit   inventory.Tokens `json:"opened"`    // Tokens that may be spent while the table confirms writes.
		Spent         inventory.Tokens `json:"spent"`     // Consumption from the start of the grant.
		ChargedBefore inventory.Tokens `json:"base"`      // Tokens charged for earlier grants of the instance.
		Confirmed     time.Time        `json:"confirmed"` // Commit time of the holder's previous confirmed write.
		Rate          inventory.Tokens `json:"rate"`      // Share of this grant in the Rate of the budget row.
		Reported      inventory.Tokens `json:"reported"`  // Share of this grant in the Spent of the budget row.
	}

	// AliveRow is the table row of one registered instance. Its confirmation counts for all grants of the instance, so
	// that idle grants need no writes. Commits in flight that open a grant fail once the row is fenced.
	AliveRow struct {
		Address   string    `json:"address"`
		Confirmed time.Time `json:"confirmed"`        // Commit time of the last confirmed write before this one.
		Fenced    bool      `json:"fenced,omitempty"` // The instance was declared dead and may not spend any more.
	}

	// InstanceRow is the table row of an address; it names the instance that registered there last.
	InstanceRow struct {
		Instance string `json:"instance"`
	}
)

// RowKey returns the key of the row of a budget.
func RowKey(key Key) string {
	return "budget/" + url.PathEscape(key.Account) + "/" + url.PathEscape(key.Budget)
}

// GrantRowKey returns the key of the GrantRow of a budget and its holder.
func GrantRowKey(key Key, instance string) string {
	return "grant/" + url.PathEscape(key.Account) + "/" + url.PathEscape(key.Budget) + "/" + url.PathEscape(instance)
}

// Free returns the tokens that can still be granted.
func (b Row) Free() inventory.Tokens { return max(0, b.Total-b.Closed-b.Granted) }

// setDeclared sets the declared total, unless the row has one from a later configuration version.
func (b *Row) setDeclared(version int, total inventory.Tokens) {
	if version >= b.Version {
		b.Version = version
		b.Declared = total
	}
	b.updateTotal()
}

// updateTotal derives Total, which is never less than Closed plus Granted.
func (b *Row) updateTotal() { b.Total = max(b.Declared, b.Closed+b.Granted) }

// replaceGrant updates the sums for a grant row that replaces another one. A zero row means that there is none.
func (b *Row) replaceGrant(old, next GrantRow) {
	b.Granted += next.Amount - old.Amount
	b.Rate += next.Rate - old.Rate
	b.Spent += next.Reported - old.Reported
	if old.Sequence == 0 {
		b.Holders++
	}
	if next.Sequence == 0 {
		b.Holders--
	}
	b.updateTotal()
}

// holdingKey returns the key of the index row by which the grants of an instance are found.
func holdingKey(instance string, key Key) string {
	return holdingPrefix(instance) + url.PathEscape(key.Account) + "/" + url.PathEscape(key.Budget)
}

// holdingPrefix returns the prefix of the keys of an instance's index rows.
func holdingPrefix(instance string) string { return "holding/" + url.PathEscape(instance) + "/" }

// holdingBudget returns the budget in the key of an index row, and false if the key is malformed.
func holdingBudget(instance, rowKey string) (Key, bool) {
	account, budget, ok := strings.Cut(strings.TrimPrefix(rowKey, holdingPrefix(instance)), "/")
	if !ok {
		return Key{}, false
	}
	account, err := url.PathUnescape(account)
	if err != nil {
		return Key{}, false
	}
	budget, err = url.PathUnescape(budget)
	return Key{Account: account, Budget: budget}, err == nil
}

// aliveKey returns the key of the AliveRow of an instance.
func aliveKey(instance string) string { return "alive/" + url.PathEscape(instance) }

// aliveInstance returns the instance in the key of an alive row, "" if the key is malformed.
func aliveInstance(rowKey string) string {
	instance, err := url.PathUnescape(strings.TrimPrefix(rowKey, "alive/"))
	if err != nil {
		return ""
	}
	return instance
}

// absentKey returns the key of the row that records that an instance's host is gone.
func absentKey(instance string) string { return "absent/" + url.PathEscape(instance) }

// instanceKey returns the key of the InstanceRow of an address.
func instanceKey(address string) string { return "instance/" + url.PathEscape(address) }

// putOp returns an op that replaces the row if it has the version, or creates it if the version is 0.
func putOp(key string, version uint64, value any) table.Op {
	op := table.Op{Key: key, Value: encode(value), Cond: table.CondVersion, Version: version}
	if version == 0 {
		op.Cond = table.CondAbsent
	}
	return op
}

// deleteOp returns an op that deletes the row if it has the version.
func deleteOp(key string, version uint64) table.Op {
	return table.Op{Key: key, Delete: true, Cond: table.CondVersion, Version: version}
}

// encode returns a row as JSON. The row types contain only values that JSON can represent.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		return nil
	}
	return data
}
