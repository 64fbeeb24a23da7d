package budget

import (
	"sync"

	"citronslip/pkg/inventory"
)

type (
	// entry is the state of one budget in the ledger. It exists for every budget that this router has seen requests
	// for. Token counts start with the current grant, except for demand, which covers all grants.
	entry struct {
		key       Key
		lockOrder uint64 // Entries are locked in ascending order of it, so that reservations cannot deadlock.

		mu              sync.Mutex
		removed         bool             // The ledger has dropped this entry; it must be looked up again.
		exhausted       bool             // The table had too few tokens left for the largest refused bound.
		tableFree       inventory.Tokens // Tokens that the budget row had left to grant when last read.
		normalLimit     inventory.Tokens // Limit while the table confirms writes.
		granted         inventory.Tokens // Size of the grant; the limit after the autonomy delay without a confirmation.
		spent           inventory.Tokens // Settled usage.
		reserved        inventory.Tokens // Sum of the bounds of reservations that are not settled.
		demand          inventory.Tokens // Sum of settled usage and refused bounds over all grants; it only grows.
		largestRefused  inventory.Tokens // Largest bound refused since the controller last read the budget row.
		smallestRefused inventory.Tokens // Smallest bound refused since then; 0 if none was.
		largestBound    inventory.Tokens // Largest bound requested so far.
	}

	// counters is a snapshot of the token counts of an entry.
	counters struct {
		normalLimit, granted, spent, reserved, demand, largestRefused, smallestRefused, largestBound, tableFree inventory.Tokens
	}
)

// used returns the settled and reserved tokens; both count against the limits.
func (u counters) used() inventory.Tokens { return u.spent + u.reserved }

// remaining returns the tokens that can be reserved under the limit. The caller must hold the lock.
func (e *entry) remaining(limit inventory.Tokens) inventory.Tokens {
	return max(0, limit-e.spent-e.reserved)
}

// settle replaces a reserved bound by the actual usage.
func (e *entry) settle(bound, used inventory.Tokens) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reserved -= bound
	e.spent += used
	e.demand += used
}

// snapshot returns the counters. It takes the lock.
func (e *entry) snapshot() counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters()
}

// counters returns the counters. The caller must hold the lock.
func (e *entry) counters() counters {
	return counters{normalLimit: e.normalLimit, granted: e.granted, spent: e.spent, reserved: e.reserved,
		demand: e.demand, largestRefused: e.largestRefused, smallestRefused: e.smallestRefused,
		largestBound: e.largestBound, tableFree: e.tableFree}
}

// setLimits sets both limits.
func (e *entry) setLimits(normalLimit, granted inventory.Tokens) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.normalLimit = normalLimit
	e.granted = granted
}

// lowerLimits lowers each limit that is higher than the given one, but not below the tokens in use, and returns the
// counters.
func (e *entry) lowerLimits(normalLimit, granted inventory.Tokens) counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	used := e.spent + e.reserved
	e.normalLimit = min(e.normalLimit, max(normalLimit, used))
	e.granted = min(e.granted, max(granted, used))
	return e.counters()
}

// recordTableState records what the table had left to grant and whether that was too little for the largest refused
// bound, which it clears.
func (e *entry) recordTableState(exhausted bool, tableFree inventory.Tokens) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.largestRefused, e.smallestRefused = 0, 0
	e.exhausted = exhausted
	e.tableFree = tableFree
}

// recordReturned records that tokens of the grant return to the table.
func (e *entry) recordReturned(tokens inventory.Tokens) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tableFree += tokens
}

// endGrant sets the limits to 0 and takes off the usage that the closed grant was charged. Usage beyond the charge
// counts against the next grant.
func (e *entry) endGrant(charged inventory.Tokens) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.spent -= charged
	e.normalLimit = 0
	e.granted = 0
}
