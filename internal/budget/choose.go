package budget

import "citronslip/internal/rendezvous"

// HomeOf returns the home router of a budget among the addresses by rendezvous hashing, or "" if there are none.
func HomeOf(live []string, key Key) string {
	return rendezvous.First(live, key.weight)
}

// HomesOf returns up to count addresses in the order in which they are home of the budget.
func HomesOf(live []string, key Key, count int) []string {
	result := rendezvous.Order(live, key.weight)
	return result[:min(count, len(result))]
}

// weight returns the hash of the budget with an address.
func (k Key) weight(address string) uint64 { return rendezvous.Hash(address, k.Account, k.Budget) }
