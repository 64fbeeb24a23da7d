package budget

import (
	"net/url"
	"strings"

	"github.com/gravitational/trace"
)

const (
	// RowPrefix is the prefix of the keys of budget rows.
	RowPrefix = "budget/"
)

// Autonomous reports whether the table has confirmed nothing for the autonomy delay, so that whole grants may be spent.
func (l *Ledger) Autonomous() bool {
	l.once.Do(l.init)
	return l.autonomous()
}

// ActiveBudgets returns the budgets that have an entry in the ledger, because this router has seen requests for them.
func (l *Ledger) ActiveBudgets() []Key {
	l.once.Do(l.init)
	var keys []Key
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.RLock()
		for key := range s.entries {
			keys = append(keys, key)
		}
		s.mu.RUnlock()
	}
	return keys
}

// ParseRowKey returns the budget whose row has the key, or an error if the key is not that of a budget row.
func ParseRowKey(key string) (Key, error) {
	parts := strings.Split(strings.TrimPrefix(key, RowPrefix), "/")
	if len(parts) != 2 {
		return Key{}, trace.BadParameter("%q is not the key of a budget row", key)
	}
	account, err := url.PathUnescape(parts[0])
	if err != nil {
		return Key{}, trace.Wrap(err)
	}
	name, err := url.PathUnescape(parts[1])
	return Key{Account: account, Budget: name}, trace.Wrap(err)
}

// InstanceRowKey returns the key of the InstanceRow of an address.
func InstanceRowKey(address string) string {
	return instanceKey(address)
}
