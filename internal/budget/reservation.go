package budget

import (
	"sync/atomic"

	"citronslip/pkg/inventory"
)

const (
	// inlineEntries is the number of budgets that a reservation can name without a second allocation.
	inlineEntries = 3
)

type (
	// Reservation is one bound reserved in one or more budgets. The zero value reserves nothing.
	Reservation struct {
		state *reservation
	}

	// reservation holds the entries of the named budgets in the order of locking.
	reservation struct {
		settled  atomic.Bool
		bound    inventory.Tokens
		count    int                   // Number of entries.
		inline   [inlineEntries]*entry // The first entries.
		overflow []*entry              // The other entries.
	}
)

// Bound returns the reserved bound in tokens, 0 for the zero value.
func (r Reservation) Bound() inventory.Tokens {
	if r.state == nil {
		return 0
	}
	return r.state.bound
}

// entry returns the entry at an index in the order of locking.
func (r *reservation) entry(i int) *entry {
	if i < inlineEntries {
		return r.inline[i]
	}
	return r.overflow[i-inlineEntries]
}

// set stores the entry at an index, which is at most the current count.
func (r *reservation) set(i int, e *entry) {
	switch {
	case i < inlineEntries:
		r.inline[i] = e
	case i-inlineEntries < len(r.overflow):
		r.overflow[i-inlineEntries] = e
	default:
		r.overflow = append(r.overflow, e)
	}
}

// insert adds an entry in the order of locking. A budget that is named twice is added once.
func (r *reservation) insert(e *entry) {
	index := r.count
	for index > 0 && r.entry(index-1).lockOrder >= e.lockOrder {
		index--
	}
	if index < r.count && r.entry(index) == e {
		return
	}
	for i := r.count; i > index; i-- {
		r.set(i, r.entry(i-1))
	}
	r.set(index, e)
	r.count++
}

// lock locks all entries. If one was removed from the ledger in the meantime, it unlocks them and returns false.
func (r *reservation) lock() bool {
	for i := range r.count {
		e := r.entry(i)
		e.mu.Lock()
		if e.removed {
			for j := range i + 1 {
				r.entry(j).mu.Unlock()
			}
			return false
		}
	}
	return true
}

func (r *reservation) unlock() {
	for i := range r.count {
		r.entry(i).mu.Unlock()
	}
}
