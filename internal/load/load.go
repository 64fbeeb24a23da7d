// Package load is an HTTP load generator: it sends a mix of requests at a given mean rate and reports outcome counts
// and latency percentiles. The load is open-loop with exponentially distributed intervals: a slow response does not
// delay the next request, and latency is measured from the intended start of a request, so that a stall of the target
// shows in the percentiles (no coordinated omission).
package load

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	// MaxRequests is the maximum number of requests in one run. The hash of every response's request ID is kept in
	// memory to detect duplicates, at about 50 bytes each.
	MaxRequests = 10_000_000
	// DefaultMaxInFlight is the default limit on requests in flight.
	DefaultMaxInFlight = 10_000
	// DefaultTimeout is the default timeout of one request.
	DefaultTimeout = time.Minute
)

var (
	// ErrInvalidSettings is returned by Generator.Run when a field of the Generator is invalid.
	ErrInvalidSettings = errors.New("load: invalid settings")
)

type (
	// RequestKind is one kind of request in the mix: a chat completion if Model is set, otherwise a plain HTTP request.
	// Exactly one of Model and Path must be set.
	RequestKind struct {
		// Unique name in the mix, under which results are reported.
		Name string `toml:"name" json:"name"`
		// Relative weight in the mix; 0 means 1.
		Weight int `toml:"share" json:"share"`
		// Model of a chat completion.
		Model string `toml:"model" json:"model"`
		// Whether the completion is streamed.
		Stream bool `toml:"stream" json:"stream"`
		// Approximate prompt size in bytes; 200 if zero.
		PromptBytes int `toml:"prompt" json:"prompt"`
		// Maximum number of output tokens; 64 if zero.
		MaxTokens int `toml:"limit" json:"limit"`
		// Method of a plain request; POST if empty.
		Method string `toml:"method" json:"method"`
		// Path of a plain request, appended to the target's base URL.
		Path string `toml:"path" json:"path"`
		// Body of a plain request.
		Body string `toml:"body" json:"body"`
		// Whether each request carries a unique Idempotency-Key header.
		WithIdempotencyKey bool `toml:"keyed" json:"keyed"`
		// Value of the Citronslip-Budget header; no header if empty.
		Budget string `toml:"budget" json:"budget"`
	}

	// Generator sends the requests of one run. Set the exported fields before Run.
	Generator struct {
		Target  string        // Base URL, http or https.
		Rate    float64       // Mean requests per second, at most 1,000,000.
		Mix     []RequestKind // Kinds of requests, drawn at random by their weights.
		Keys    []string      // API keys, one of which is drawn at random for each request; none is sent if empty.
		Count   int           // Maximum number of requests, at most MaxRequests.
		Time    time.Duration // Period during which requests are started, at most 24 h.
		Timeout time.Duration // Timeout of one request, from its intended start; DefaultTimeout if zero.
		Open    int           // Maximum number of requests in flight; DefaultMaxInFlight if zero.
		Seed    uint64        // Seed of the start times, request kinds and API keys.
		Remote  bool          // Whether targets other than loopback addresses are allowed.

		// Transport, if set, replaces the default transport, which keeps up to Open idle connections.
		Transport http.RoundTripper
		// Progress, if set, is called about once a second with the number of requests sent and completed so far.
		Progress func(sent, done int)

		client      *http.Client
		totalWeight int // Sum of the weights in the mix.
	}

	// arrival is one scheduled request.
	arrival struct {
		number         int       // Sequence number in the run, from 0.
		start          time.Time // Intended start.
		kind           *RequestKind
		key            string // API key; empty to send none.
		idempotencyKey string // Empty to send none.
	}
)

// Run sends the requests, waits until all have completed and returns the result. It returns ErrInvalidSettings if the
// settings are invalid. When ctx is cancelled it ends early, and requests in flight then count as interrupted.
func (g *Generator) Run(ctx context.Context) (*Result, error) {
	if err := g.prepare(); err != nil {
		return nil, trace.Wrap(err)
	}
	c := newCollector(g)
	var inFlight sync.WaitGroup
	slots := make(chan struct{}, g.Open)
	rng := rand.New(rand.NewPCG(g.Seed, 1))
	runStart := time.Now()
	nextStart, nextProgress := runStart, runStart.Add(time.Second)
	for number := 0; number < g.Count; number++ {
		nextStart = nextStart.Add(time.Duration(rng.ExpFloat64() / g.Rate * float64(time.Second)))
		if nextStart.Sub(runStart) > g.Time || !waitForStart(ctx, nextStart, slots) {
			break
		}
		a := arrival{number: number, start: nextStart, kind: g.drawKind(rng), key: g.drawKey(rng)}
		if a.kind.WithIdempotencyKey {
			a.idempotencyKey = newIdempotencyKey(g.Seed, runStart, number)
		}
		c.recordSent(a)
		inFlight.Go(func() {
			defer func() { <-slots }()
			g.send(ctx, a, c)
		})
		if g.Progress != nil && nextStart.After(nextProgress) {
			nextProgress = nextStart.Add(time.Second)
			g.Progress(c.progress())
		}
	}
	inFlight.Wait()
	g.client.CloseIdleConnections()
	return c.result(runStart, time.Since(runStart)), nil
}

// prepare validates the settings and fills in the defaults.
func (g *Generator) prepare() error {
	target, err := url.Parse(g.Target)
	switch {
	case err != nil || target.Host == "" || (target.Scheme != "http" && target.Scheme != "https"):
		return trace.Wrap(ErrInvalidSettings, "target %q is not an http or https URL", g.Target)
	case !g.Remote && !isLoopback(target.Hostname()):
		return trace.Wrap(ErrInvalidSettings, "target %q is not a loopback address, and remote targets are not allowed", g.Target)
	case !(g.Rate > 0 && g.Rate <= 1e6):
		return trace.Wrap(ErrInvalidSettings, "rate of %v requests/s is out of range: must be above 0 and at most 1,000,000", g.Rate)
	case g.Count <= 0 || g.Count > MaxRequests:
		return trace.Wrap(ErrInvalidSettings, "request count %d is out of range: must be 1 to %d", g.Count, MaxRequests)
	case g.Time <= 0 || g.Time > 24*time.Hour:
		return trace.Wrap(ErrInvalidSettings, "duration %v is out of range: must be above 0 and at most 24h", g.Time)
	case len(g.Mix) == 0:
		return trace.Wrap(ErrInvalidSettings, "the request mix is empty")
	}
	if g.Open <= 0 {
		g.Open = DefaultMaxInFlight
	}
	if g.Timeout <= 0 {
		g.Timeout = DefaultTimeout
	}
	g.client = &http.Client{Transport: g.Transport, CheckRedirect: rejectRedirect}
	if g.Transport == nil {
		g.client.Transport = &http.Transport{MaxIdleConnsPerHost: g.Open, MaxIdleConns: g.Open, DisableCompression: true}
	}
	return g.prepareMix()
}

// prepareMix validates the mix and replaces it by a copy whose weights are at least 1.
func (g *Generator) prepareMix() error {
	mix := make([]RequestKind, len(g.Mix))
	names := make(map[string]bool)
	g.totalWeight = 0
	for i, kind := range g.Mix {
		if kind.Name == "" || names[kind.Name] || kind.Weight < 0 || (kind.Model == "") == (kind.Path == "") {
			return trace.Wrap(ErrInvalidSettings,
				"entry %d of the request mix needs a unique name, a weight of at least 0, and either a model or a path", i+1)
		}
		names[kind.Name] = true
		kind.Weight = max(kind.Weight, 1)
		g.totalWeight += kind.Weight
		mix[i] = kind
	}
	g.Mix = mix
	return nil
}

// drawKind returns a random entry of the mix, chosen by weight.
func (g *Generator) drawKind(rng *rand.Rand) *RequestKind {
	point := rng.IntN(g.totalWeight)
	for i := range g.Mix {
		point -= g.Mix[i].Weight
		if point < 0 {
			return &g.Mix[i]
		}
	}
	return &g.Mix[0]
}

// drawKey returns a random API key, or an empty string if there are none.
func (g *Generator) drawKey(rng *rand.Rand) string {
	if len(g.Keys) == 0 {
		return ""
	}
	return g.Keys[rng.IntN(len(g.Keys))]
}

// waitForStart blocks until the intended start of a request and until it has acquired a slot. It returns false when ctx
// is cancelled first.
func waitForStart(ctx context.Context, start time.Time, slots chan struct{}) bool {
	if remaining := time.Until(start); remaining > 0 {
		timer := time.NewTimer(remaining)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	select {
	case slots <- struct{}{}:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// rejectRedirect stops the client from following redirects, which could lead to a target that is not allowed.
func rejectRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || (ip != nil && ip.IsLoopback())
}
