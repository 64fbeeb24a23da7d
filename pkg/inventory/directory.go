package inventory

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strings"
	"time"
)

const (
	// KeyPrefix marks an API key that is given by its digest.
	KeyPrefix = "sha256:"

	// RunIdempotent calls may run more than once.
	RunIdempotent Repeat = "idempotent"
	// RunOnce calls run at most once.
	RunOnce Repeat = "once"
	// RunResumable calls are streams that another backend server may continue.
	RunResumable Repeat = "resumable"
)

type (
	// Repeat says whether a call may be repeated.
	Repeat string

	// Directory is one version of what entry hosts serve: routes, services and client accounts. It does not change
	// after Prepare.
	Directory struct {
		Version  int64
		Routes   []Route
		Services []EntryService
		Accounts []ClientAccount
		Budgets  []Budget
		Limits   Limits

		hosts    map[string][]*Route // Longest prefix first.
		services map[string]*EntryService
		keys     map[string]*ClientAccount // By digest.
		budgets  map[string]Tokens         // By account.
	}

	// Route maps calls of one host name and path prefix to services.
	Route struct {
		Name     string
		Host     string
		Prefix   string // Begins and ends with a slash.
		Repeat   Repeat
		Stream   bool          // Whether answers are streams of events.
		Model    bool          // Whether calls carry a prompt and consume tokens.
		Timeout  time.Duration // Longest time to the end of an answer.
		Goal     time.Duration // Time to the first byte within which an answer is on time.
		Gap      time.Duration // Longest pause between events that is on time.
		Priority int           // Rank; 0 is the most urgent.
		Attempts int           // Most backend servers that get one call.
		Public   bool          // Whether calls need no API key.
		Shares   []Share
	}

	// Share is the weight of a service on a route.
	Share struct {
		Service string
		Weight  int
	}

	// EntryService is a service as entry hosts use it.
	EntryService struct {
		Name   string
		Engine *Engine
	}

	// Engine is what is known of a service's model engines.
	Engine struct {
		Stride int // Most tokens in one event of a stream.
	}

	// Limits bound what callers send.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}
)

// Prepare builds the indexes. It is called once before the first use.
func (d *Directory) Prepare() {
	d.hosts = make(map[string][]*Route)
	d.services = make(map[string]*EntryService)
	d.keys = make(map[string]*ClientAccount)
	d.budgets = make(map[string]Tokens)
	for i := range d.Routes {
		r := &d.Routes[i]
		d.hosts[r.Host] = append(d.hosts[r.Host], r)
	}
	for _, routes := range d.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range d.Services {
		d.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Accounts {
		for _, key := range d.Accounts[i].Keys {
			d.keys[key] = &d.Accounts[i]
		}
	}
	for _, b := range d.Budgets {
		d.budgets[b.Account] = b.Tokens
	}
}

// Route returns the route of a call: the one of its host with the longest prefix that begins the path.
func (d *Directory) Route(host, path string) *Route {
	for _, r := range d.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service, or nil.
func (d *Directory) Service(name string) *EntryService { return d.services[name] }

// Account returns the client account that holds an API key, or nil.
func (d *Directory) Account(key string) *ClientAccount { return d.keys[Digest(key)] }

// Budget returns the prepaid tokens of an account, and whether it has a budget at all.
func (d *Directory) Budget(account string) (Tokens, bool) {
	tokens, ok := d.budgets[account]
	return tokens, ok
}

// Choose returns the service of a call by weight. The number is evenly distributed in [0,1).
func (r *Route) Choose(random float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := random * float64(total)
	for _, s := range r.Shares {
		at -= float64(s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Digest returns an API key in the form in which an inventory holds it.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return KeyPrefix + hex.EncodeToString(sum[:])
}
