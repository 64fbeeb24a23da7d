package inventory

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"hash/maphash"
	"strings"

	"github.com/gravitational/trace"
)

const (
	digestSize = sha256.Size // Bytes of an API key digest.
	keyPrefix  = "sha256:"
)

type (
	// Index looks up the elements of an inventory in O(1) time. It retains the inventory, which must not be modified.
	Index struct {
		Inventory *Inventory

		places   map[string]*Place
		hosts    map[string]*Host
		services map[string]*Service
		models   map[string]*Model
		backends map[string]*BackendServer
		accounts map[string]*ClientAccount

		// budgets holds the index of each budget in Inventory.Budgets by the hash of its BudgetID, which takes a third
		// of the memory of a map by BudgetID. Budgets whose hash is already taken are in hashCollisions.
		budgets        map[uint64]int32
		hashCollisions map[BudgetID]int32
		seed           maphash.Seed // Seed of the hashes.

		accountBudgets  map[string][]*Budget
		serviceBackends map[string][]*BackendServer
		modelBackends   map[string][]*BackendServer
		keys            map[uint64][]accountKey // By keyBucket.
		rules           map[string][]int        // Sorted rule indexes by account; rules for all accounts are under "".
	}

	// accountKey is the digest of an API key with its account.
	accountKey struct {
		digest  [digestSize]byte
		account *ClientAccount
	}
)

// NewIndex returns an index of an inventory. Of duplicate names, which Check reports, the first counts.
func NewIndex(inventory *Inventory) *Index {
	x := &Index{Inventory: inventory}
	x.places = byName(inventory.Places, func(p *Place) string { return p.Name })
	x.hosts = byName(inventory.Hosts, func(h *Host) string { return h.Name })
	x.services = byName(inventory.Services, func(s *Service) string { return s.Name })
	x.models = byName(inventory.Models, func(m *Model) string { return m.Name })
	x.backends = byName(inventory.Backends, func(b *BackendServer) string { return b.Name })
	x.accounts = byName(inventory.Accounts, func(a *ClientAccount) string { return a.Name })
	x.indexBackends()
	x.indexBudgets()
	x.indexKeys()
	x.rules = make(map[string][]int)
	for i, rule := range inventory.Rules {
		x.rules[rule.Account] = append(x.rules[rule.Account], i)
	}
	return x
}

// Place returns the place with the name, or nil.
func (x *Index) Place(name string) *Place { return x.places[name] }

// Host returns the host with the name, or nil.
func (x *Index) Host(name string) *Host { return x.hosts[name] }

// Service returns the service with the name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Model returns the model with the name, or nil.
func (x *Index) Model(name string) *Model { return x.models[name] }

// Backend returns the backend server with the name, or nil.
func (x *Index) Backend(name string) *BackendServer { return x.backends[name] }

// Account returns the client account with the name, or nil.
func (x *Index) Account(name string) *ClientAccount { return x.accounts[name] }

// Budget returns the budget of an account by name, or nil.
func (x *Index) Budget(account, budget string) *Budget {
	id := BudgetID{Account: account, Budget: budget}
	index, ok := x.budgets[maphash.Comparable(x.seed, id)]
	if !ok {
		return nil
	}
	if b := &x.Inventory.Budgets[index]; b.Account == account && b.Name == budget {
		return b
	}
	if index, ok = x.hashCollisions[id]; ok {
		return &x.Inventory.Budgets[index]
	}
	return nil
}

// Budgets returns the budgets of an account in the order of the inventory. The result must not be modified.
func (x *Index) Budgets(account string) []*Budget { return x.accountBudgets[account] }

// ServiceBackends returns the backend servers of a service. The result must not be modified.
func (x *Index) ServiceBackends(service string) []*BackendServer { return x.serviceBackends[service] }

// ModelBackends returns the backend servers that are to load a model. The result must not be modified.
func (x *Index) ModelBackends(model string) []*BackendServer { return x.modelBackends[model] }

// Authenticate returns the account that has the API key, or nil. It compares digests, in constant time.
func (x *Index) Authenticate(secret string) *ClientAccount {
	return x.AccountByDigest(sha256.Sum256([]byte(secret)))
}

// AccountByDigest returns the account that has the key digest, or nil. The comparison takes constant time.
func (x *Index) AccountByDigest(digest [digestSize]byte) *ClientAccount {
	var result *ClientAccount
	for _, holder := range x.keys[keyBucket(digest)] {
		if subtle.ConstantTimeCompare(holder.digest[:], digest[:]) == 1 {
			result = holder.account
		}
	}
	return result
}

// ParseKeyDigest parses an entry of ClientAccount.Keys and returns the digest. The error is a BadParameter.
func ParseKeyDigest(key string) ([digestSize]byte, error) {
	var digest [digestSize]byte
	digits, ok := strings.CutPrefix(key, keyPrefix)
	if !ok || len(digits) != hex.EncodedLen(digestSize) {
		return digest, trace.BadParameter("a key is %s", apiKeyFormat)
	}
	_, err := hex.Decode(digest[:], []byte(digits))
	if err != nil {
		return digest, trace.BadParameter("a key is %s", apiKeyFormat)
	}
	return digest, nil
}

// DigestKey returns the digest of an API key in the format of ClientAccount.Keys.
func DigestKey(secret string) string {
	digest := sha256.Sum256([]byte(secret))
	return keyPrefix + hex.EncodeToString(digest[:])
}

// Total returns the tokens of a budget including its top-ups.
func (b *Budget) Total() Tokens {
	total := b.Tokens
	for _, topup := range b.TopUps {
		total += topup.Tokens
	}
	return total
}

// Repeatable returns whether a call of a plain service may be repeated. The path is the one that the caller sends,
// including the service's prefix. A path that is declared as non-repeatable also covers the paths below it.
func (s *Service) Repeatable(method, path string) bool {
	for _, nonRepeatable := range s.NonRepeatable {
		declaredMethod, declaredPath, _ := strings.Cut(nonRepeatable, " ")
		if declaredMethod == method && (path == declaredPath || strings.HasPrefix(path, declaredPath+"/")) {
			return false
		}
	}
	return true
}

func (x *Index) indexBackends() {
	x.serviceBackends = make(map[string][]*BackendServer)
	x.modelBackends = make(map[string][]*BackendServer)
	for i := range x.Inventory.Backends {
		b := &x.Inventory.Backends[i]
		x.serviceBackends[b.Service] = append(x.serviceBackends[b.Service], b)
		for _, model := range b.Models {
			x.modelBackends[model] = append(x.modelBackends[model], b)
		}
	}
}

func (x *Index) indexBudgets() {
	x.seed = maphash.MakeSeed()
	x.budgets = make(map[uint64]int32, len(x.Inventory.Budgets))
	x.hashCollisions = make(map[BudgetID]int32)
	x.accountBudgets = make(map[string][]*Budget, len(x.Inventory.Accounts))
	for i := range x.Inventory.Budgets {
		b := &x.Inventory.Budgets[i]
		if x.Budget(b.Account, b.Name) != nil {
			continue
		}
		x.accountBudgets[b.Account] = append(x.accountBudgets[b.Account], b)
		id := BudgetID{Account: b.Account, Budget: b.Name}
		hash := maphash.Comparable(x.seed, id)
		if _, taken := x.budgets[hash]; taken {
			x.hashCollisions[id] = int32(i)
			continue
		}
		x.budgets[hash] = int32(i)
	}
}

func (x *Index) indexKeys() {
	x.keys = make(map[uint64][]accountKey)
	for i := range x.Inventory.Accounts {
		account := &x.Inventory.Accounts[i]
		for _, key := range account.Keys {
			digest, err := ParseKeyDigest(key)
			if err == nil {
				x.keys[keyBucket(digest)] = append(x.keys[keyBucket(digest)], accountKey{digest: digest, account: account})
			}
		}
	}
}

// keyBucket returns the part of a digest by which keys are looked up. This lookup does not take constant time, but its
// timing reveals at most digests that a caller computed itself, and a digest does not reveal the secret.
func keyBucket(digest [digestSize]byte) uint64 {
	return binary.BigEndian.Uint64(digest[:8])
}

// byName returns a map from the name to the item. Of duplicate names the first counts.
func byName[T any](items []T, name func(*T) string) map[string]*T {
	result := make(map[string]*T, len(items))
	for i := range items {
		key := name(&items[i])
		if result[key] == nil {
			result[key] = &items[i]
		}
	}
	return result
}
