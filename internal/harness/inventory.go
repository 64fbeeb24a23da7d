package harness

import (
	"fmt"

	"citronslip/pkg/inventory"
)

// NewInventory returns an inventory with the given number of engines, two booking servers, all on ports that the system
// chooses, and one client account with the API key and a prepaid budget of the given tokens.
func NewInventory(key string, engines int, tokens inventory.Tokens) *inventory.Inventory {
	inv := &inventory.Inventory{
		Places: []inventory.Place{{Name: "catania", Region: "sicily"}},
		Services: []inventory.Service{
			{Name: "planning", Kind: inventory.KindModel},
			{Name: "booking", Kind: inventory.KindPlain, Prefix: "/booking", NonRepeatable: []string{"POST /booking"}},
		},
		Models:   []inventory.Model{{Name: "planner", Service: "planning", Version: "1", TemplateOverhead: 64, MaxOutputTokens: 4096}},
		Accounts: []inventory.ClientAccount{{Name: "gardens", Keys: []string{inventory.DigestKey(key)}}},
		Budgets:  []inventory.Budget{{Name: "prepaid", Account: "gardens", Tokens: tokens}},
	}
	for n := range engines {
		inv.Backends = append(inv.Backends, inventory.BackendServer{
			Name: fmt.Sprintf("planner%d", n+1), Service: "planning", Place: "catania",
			Address: "http://127.0.0.1:0", Class: "fast", Models: []string{"planner"},
		})
	}
	for n := range 2 {
		inv.Backends = append(inv.Backends, inventory.BackendServer{
			Name: fmt.Sprintf("booking%d", n+1), Service: "booking", Place: "catania", Address: "http://127.0.0.1:0",
		})
	}
	return inv
}
