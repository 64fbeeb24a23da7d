package budget

import "citronslip/internal/rendezvous"

// HomeOf returns the address of a budget's home router, which reserves tokens for routers without a grant. It is chosen
// from the addresses by rendezvous hashing; without addresses it is "".
func HomeOf(live []string, key Key) string {
	return rendezvous.Highest(live, key.weight)
}

// HomesOf returns up to count addresses: the home router of a budget, then those that replace it if it is gone, in
// this order.
func HomesOf(live []string, key Key, count int) []string {
	result := rendezvous.Rank(live, key.weight)
	return result[:min(count, len(result))]
}

// weight returns the rendezvous weight of an address for the budget.
func (k Key) weight(address string) uint64 { return rendezvous.Hash(address, k.Account, k.Budget) }
