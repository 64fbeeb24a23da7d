package harness

import (
	"fmt"

	"citronslip/pkg/inventory"
)

// Declared returns an inventory of engines and booking servers, on ports that the system chooses, and of one client account
// with an API key and a prepaid budget.
func Declared(key string, engines int, tokens inventory.Tokens) *inventory.Inventory {
	i := &inventory.Inventory{
		Places: []inventory.Place{{Name: "catania", Region: "sicily"}},
		Services: []inventory.Service{
			{Name: "planning", Kind: inventory.KindModel},
			{Name: "booking", Kind: inventory.KindPlain, Prefix: "/booking", Once: []string{"POST /booking"}},
		},
		Models:   []inventory.Model{{Name: "planner", Service: "planning", Version: "1", Overhead: 64, Limit: 4096}},
		Accounts: []inventory.ClientAccount{{Name: "gardens", Keys: []string{inventory.DigestKey(key)}}},
		Budgets:  []inventory.Budget{{Name: "prepaid", Account: "gardens", Tokens: tokens}},
	}
	for n := range engines {
		i.Backends = append(i.Backends, inventory.BackendServer{
			Name: fmt.Sprintf("planner%d", n+1), Service: "planning", Place: "catania",
			Address: "http://127.0.0.1:0", Class: "fast", Models: []string{"planner"},
		})
	}
	for n := range 2 {
		i.Backends = append(i.Backends, inventory.BackendServer{
			Name: fmt.Sprintf("booking%d", n+1), Service: "booking", Place: "catania", Address: "http://127.0.0.1:0",
		})
	}
	return i
}
