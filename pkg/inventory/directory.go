package inventory

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sort"
	"strings"
	"time"
)

const (
	// KeyPrefix is the prefix of an API key digest.
	KeyPrefix = "sha256:"

	bitsPerByte = 8

	// Idempotent means that a call may run more than once.
	Idempotent RetryPolicy = "idempotent"
	// AtMostOnce means that a call must run at most once.
	AtMostOnce RetryPolicy = "once"
	// Resumable means that a call is a stream that another backend server may continue.
	Resumable RetryPolicy = "resumable"
)

type (
	// RetryPolicy states whether and how a call may be retried.
	RetryPolicy string

	// Directory is one version of the configuration that entry hosts serve: routes, services, client accounts, budgets
	// and limits. It is immutable after Prepare.
	Directory struct {
		Version  int64
		Routes   []Route
		Services []EntryService
		Accounts []ClientAccount
		Budgets  []Budget
		Limits   Limits

		routesByHost    map[string][]*Route // Routes of each host name, longest path prefix first.
		serviceByName   map[string]*EntryService
		accountByDigest map[string]*ClientAccount // By key digest, see Digest.
		tokensByAccount map[string]Tokens         // Budget by account.
	}

	// Route maps calls of one host name and path prefix to weighted services.
	Route struct {
		Name     string
		Host     string // Host name that calls are addressed to.
		Prefix   string // Path prefix, with a slash at both ends.
		Repeat   RetryPolicy
		Stream   bool          // Whether responses are event streams.
		Model    bool          // Whether calls carry a prompt and consume tokens.
		Timeout  time.Duration // Maximum time to the end of the response.
		Goal     time.Duration // Latency objective for the first byte of the response.
		Gap      time.Duration // Latency objective for the time between two events.
		Priority int           // 0 is the most urgent.
		Attempts int           // Maximum number of backend servers that one call is sent to.
		Public   bool          // Whether calls need no API key.
		Shares   []WeightedService
		Homes    HomeRegions // Regions to which calls may be sent.
	}

	// HomeRegions lists the regions to whose data centres calls may be sent. The empty list allows all.
	HomeRegions []string

	// WeightedService is the weight of a service on a route.
	WeightedService struct {
		Service string
		Weight  int
	}

	// EntryService is the part of a service's configuration that entry hosts use.
	EntryService struct {
		Name   string
		Engine *Engine // Nil if the service has no model engines.
		// ColdStart is how long a server is cold after its start, ColdRate the requests per second that a cold server takes
		// from all routers together. If one of them is zero, no server is cold.
		ColdStart time.Duration
		ColdRate  float64
		// HealthPath is the path that answers requests for the health of a server; empty if there is none.
		HealthPath string
	}

	// Engine describes the model engines of a service.
	Engine struct {
		Stride int // Maximum number of tokens in one stream event.
		// Moves is whether a server can fetch what another one has cached of a prompt, TokenBytes the size of one cached token,
		// LinkMbps the speed of a server's link for such transfers, in megabits per second.
		Moves      bool
		TokenBytes int64
		LinkMbps   float64
	}

	// Limits bounds the requests and connections of callers.
	Limits struct {
		HeaderBytes   int           // Maximum size of the request header, in bytes.
		BodyBytes     int64         // Maximum size of the request body, in bytes.
		HeaderTimeout time.Duration // Timeout for reading the request header.
		IdleTimeout   time.Duration // Timeout of an idle keep-alive connection.
	}
)

// Prepare builds the lookup maps. It must be called once, before any other method.
func (d *Directory) Prepare() {
	d.routesByHost = make(map[string][]*Route)
	d.serviceByName = make(map[string]*EntryService)
	d.accountByDigest = make(map[string]*ClientAccount)
	d.tokensByAccount = make(map[string]Tokens)
	for i := range d.Routes {
		r := &d.Routes[i]
		d.routesByHost[r.Host] = append(d.routesByHost[r.Host], r)
	}
	for _, routes := range d.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range d.Services {
		d.serviceByName[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Accounts {
		for _, key := range d.Accounts[i].Keys {
			d.accountByDigest[key] = &d.Accounts[i]
		}
	}
	for _, b := range d.Budgets {
		d.tokensByAccount[b.Account] = b.Tokens
	}
}

// Route returns the route of the host name with the longest prefix of the path, or nil if none matches.
func (d *Directory) Route(host, path string) *Route {
	for _, r := range d.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the name, or nil.
func (d *Directory) Service(name string) *EntryService { return d.serviceByName[name] }

// Account returns the client account that has the API key, or nil.
func (d *Directory) Account(key string) *ClientAccount { return d.accountByDigest[Digest(key)] }

// Budget returns the prepaid tokens of an account, and whether it has a budget.
func (d *Directory) Budget(account string) (Tokens, bool) {
	tokens, ok := d.tokensByAccount[account]
	return tokens, ok
}

// ChooseService returns a service of the route, chosen by weight, or the empty string if the route has none. The
// argument must be a random number, uniformly distributed in [0,1).
func (r *Route) ChooseService(random float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := random * float64(total)
	for _, s := range r.Shares {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// HomePlaces returns the data centres that are in home regions of each of the lists, in order, by the region of each data
// centre. It returns nil if no list has a region, and an empty list if no data centre is allowed.
func HomePlaces(regions map[string]string, lists ...HomeRegions) []string {
	if !slices.ContainsFunc(lists, func(homes HomeRegions) bool { return len(homes) > 0 }) {
		return nil
	}
	places := []string{}
	for place, region := range regions {
		excluded := slices.ContainsFunc(lists, func(homes HomeRegions) bool { return len(homes) > 0 && !slices.Contains(homes, region) })
		if !excluded {
			places = append(places, place)
		}
	}
	slices.Sort(places)
	return places
}

// Digest returns the digest of an API key in the format of ClientAccount.Keys.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return KeyPrefix + hex.EncodeToString(sum[:])
}

// TransferTime returns the time that a transfer of one cached token between two servers takes, at least a nanosecond. It is zero
// if the engine cannot transfer any, or if it is not known how long that takes.
func (e *Engine) TransferTime() time.Duration {
	if e == nil || !e.Moves || e.TokenBytes <= 0 || !(e.LinkMbps > 0) {
		return 0
	}
	microseconds := float64(e.TokenBytes) * bitsPerByte / e.LinkMbps
	return time.Duration(min(max(microseconds*float64(time.Microsecond), 1), float64(time.Second)))
}
