package placement

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"citronslip/internal/delay"
	"citronslip/internal/event"
)

type (
	// observed is what is known of one declared server in one step.
	observed struct {
		server  Server
		state   State
		known   bool // Whether the engine answered.
		unsure  bool // Whether a command is on its way.
		stuck   bool // Whether it has not been ready for long.
		reason  string
		differs bool
	}
)

// Run steps until the context ends, then gives the lease up.
func (r *Reconciler) Run(ctx context.Context) error {
	delay.Every(ctx, positive(r.Interval, defaultInterval), func() {
		if err := r.Step(ctx); err != nil && r.Metrics != nil {
			r.Metrics.Counter("stepfail").Inc(1)
		}
	})
	return r.Resign(context.WithoutCancel(ctx))
}

// Step keeps the lease and, while holding it, compares and sends the commands that are safe now.
func (r *Reconciler) Step(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.upkeep(ctx); err != nil {
		r.publish(nil, "table does not answer")
		return trace.Wrap(err)
	}
	if !r.holds() {
		r.publish(nil, "another router holds the lease")
		return nil
	}
	if r.now().Before(r.lease.quiet) {
		r.publish(nil, "waiting for the last command of the former holder")
		return nil
	}
	declared := r.Declared()
	servers := r.observe(ctx, declared)
	r.inherit(ctx, servers)
	r.raise(ctx, servers)
	for i := range servers {
		if servers[i].differs && servers[i].reason == "" {
			r.change(ctx, declared, servers, i)
		}
	}
	r.publish(servers, "")
	return nil
}

// observe reads all engines and settles the commands whose effect shows or can no longer come.
func (r *Reconciler) observe(ctx context.Context, declared Declared) []observed {
	servers := make([]observed, len(declared.Servers))
	var group errgroup.Group
	group.SetLimit(reads)
	for i, server := range declared.Servers {
		servers[i].server = server
		group.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, positive(r.Timeout, defaultTimeout))
			defer cancel()
			state, err := r.Engines.State(callCtx, server.Name)
			state.Layout = state.sorted()
			servers[i].state, servers[i].known = state, err == nil
			return nil
		})
	}
	_ = group.Wait() // An engine that does not answer is marked in its entry.
	now := r.now()
	for i := range servers {
		r.judge(&servers[i], now)
	}
	return servers
}

// judge compares one server and gives the reason if it cannot be commanded in this step. A command whose answer was
// lost counts as on its way until the engine can no longer act on it, even if the state already looks like its effect.
func (r *Reconciler) judge(s *observed, now time.Time) {
	flight, flying := r.sent[s.server.Name]
	shows := flight.taken && s.known && s.state.Ready && s.state.Layout.equal(flight.layout)
	if flying && (shows || now.After(flight.until)) {
		delete(r.sent, s.server.Name)
		flying = false
	}
	s.unsure = flying
	s.differs = !s.known || !s.state.Layout.equal(s.server.Layout)
	s.stuck = r.stuckFor(s, now) > positive(r.Stuck, defaultStuck)
	r.highest = max(r.highest, s.state.Fence)
	switch {
	case !s.known:
		s.reason = "engine does not answer"
	case flying:
		s.reason = "command sent"
	case !s.state.Ready && !s.differs:
		s.reason = "loading"
	}
}

// stuckFor returns how long a server has not been ready.
func (r *Reconciler) stuckFor(s *observed, now time.Time) time.Duration {
	if !s.known || s.state.Ready {
		delete(r.idle, s.server.Name)
		return 0
	}
	since, ok := r.idle[s.server.Name]
	if !ok {
		if r.idle == nil {
			r.idle = make(map[string]time.Time)
		}
		r.idle[s.server.Name] = now
		return 0
	}
	return now.Sub(since)
}

// raise tells engines that check fencing numbers the present one, by a command to hold what they hold. After it no
// delayed command of a former holder takes effect there.
func (r *Reconciler) raise(ctx context.Context, servers []observed) {
	for i := range servers {
		s := &servers[i]
		if !s.known || s.unsure || !s.server.Fences || s.state.Fence >= r.lease.row.Fence {
			continue
		}
		r.send(ctx, s, s.state.Layout)
	}
}

// change sends the declared layout to one server, unless that would take a model below its minimum or the weight
// store's share is used up.
func (r *Reconciler) change(ctx context.Context, declared Declared, servers []observed, i int) {
	s := &servers[i]
	if model := lacking(declared, servers, i); model != "" {
		s.reason = "minimum of ready servers for " + model
		return
	}
	missing := s.missing()
	if len(missing) > 0 && r.now().Before(r.free) {
		s.reason = "weight store's rate limit"
		return
	}
	load, err := r.fetch(ctx, missing)
	if err != nil {
		s.reason = "weight store does not answer"
		return
	}
	if r.send(ctx, s, s.server.Layout) {
		r.free = r.now().Add(load)
	}
}

// lacking returns a model that would have too few ready servers while a server changes. Only servers whose state is
// certain count as ready. A server that is still loading may become ready before the command arrives, so it is treated
// as a ready one unless it seems to be stuck.
func lacking(declared Declared, servers []observed, i int) string {
	if servers[i].stuck {
		return ""
	}
	for _, held := range servers[i].state.Models {
		if count(servers, i, held.Name) < declared.Ready[held.Name] {
			return held.Name
		}
	}
	return ""
}

func count(servers []observed, except int, model string) int {
	result := 0
	for i, s := range servers {
		if i != except && s.known && !s.unsure && s.state.Ready && s.state.has(model) {
			result++
		}
	}
	return result
}

// fetch returns how long weights take to fetch at the service's rate.
func (r *Reconciler) fetch(ctx context.Context, missing []Held) (time.Duration, error) {
	if r.Rate <= 0 || r.Weights == nil {
		return 0, nil
	}
	var total int64
	for _, held := range missing {
		size, err := r.size(ctx, held)
		if err != nil {
			return 0, err
		}
		total += size
	}
	return time.Duration(float64(total) / float64(r.Rate) * float64(time.Second)), nil
}

// size returns the size of a version. Versions do not change, so each is looked up once.
func (r *Reconciler) size(ctx context.Context, held Held) (int64, error) {
	if size, ok := r.sizes[held]; ok {
		return size, nil
	}
	ctx, cancel := context.WithTimeout(ctx, positive(r.Timeout, defaultTimeout))
	defer cancel()
	found, err := r.Weights.Lookup(ctx, held.Name, held.Version)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if r.sizes == nil {
		r.sizes = make(map[Held]int64)
	}
	r.sizes[held] = found.SizeBytes
	return found.SizeBytes, nil
}

// inherit reserves the weight store's share for what engines load when this router takes the lease, as the former
// holder's schedule is not known.
func (r *Reconciler) inherit(ctx context.Context, servers []observed) {
	if !r.taken {
		return
	}
	r.taken = false
	for i := range servers {
		if !servers[i].known || servers[i].state.Ready {
			continue
		}
		if load, err := r.fetch(ctx, servers[i].state.Models); err == nil {
			r.free = r.free.Add(load)
		}
	}
}

// missing returns the weights that are declared for a server and not held by it.
func (s *observed) missing() []Held {
	holds := make(map[Held]bool)
	for _, held := range s.state.Models {
		holds[held] = true
	}
	for _, adapter := range s.state.Adapters {
		holds[Held{Name: adapter}] = true
	}
	wanted := append([]Held(nil), s.server.Layout.Models...)
	for _, adapter := range s.server.Layout.Adapters {
		wanted = append(wanted, Held{Name: adapter})
	}
	var result []Held
	for _, held := range wanted {
		if !holds[held] {
			result = append(result, held)
		}
	}
	return result
}

// send commands one server. The lease is checked right before. A server is not commanded again until the effect shows
// or can no longer come, so that delayed commands of one holder cannot overtake each other.
func (r *Reconciler) send(ctx context.Context, s *observed, layout Layout) bool {
	if !r.holds() {
		s.reason = "lease has ended"
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, positive(r.Timeout, defaultTimeout))
	defer cancel()
	err := r.Engines.Command(callCtx, s.server.Name, Command{Fence: r.lease.row.Fence, Layout: layout})
	switch {
	case errors.Is(err, ErrFenced):
		event.CommandRefused.Log(r.Logger).Str("server", s.server.Name).Uint64("fence", r.lease.row.Fence).Send()
		s.reason = "engine has seen a higher fencing number"
		r.lose()
		return false
	case errors.Is(err, ErrRefused):
		s.reason = "engine refused the command"
		return false
	case err != nil:
		event.CommandFailed.Log(r.Logger).Str("server", s.server.Name).Err(err).Send()
	default:
		event.CommandSent.Log(r.Logger).Str("server", s.server.Name).Uint64("fence", r.lease.row.Fence).Send()
	}
	if r.sent == nil {
		r.sent = make(map[string]flight)
	}
	r.sent[s.server.Name] = flight{layout: layout, taken: err == nil, until: r.now().Add(positive(r.Delay, defaultDelay))}
	s.unsure, s.reason = true, "command sent"
	return true
}
