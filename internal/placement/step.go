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
	// observation is what one step knows about one declared server.
	observation struct {
		server         Server
		state          EngineState
		answered       bool   // Whether the engine answered.
		commandPending bool   // Whether the engine may still act on an earlier command.
		stuck          bool   // Whether it has been not ready for longer than Reconciler.Stuck.
		reason         string // Why the server is not at its declared layout or gets no command; shown in the status.
		differs        bool   // Whether the server runs another layout than declared, or did not answer.
	}
)

// Run calls Step at each interval until the context ends, then releases the lease and returns the error of that.
func (r *Reconciler) Run(ctx context.Context) error {
	delay.RepeatNow(ctx, positiveOr(r.Interval, defaultStepInterval), func() {
		if err := r.Step(ctx); err != nil && r.Metrics != nil {
			r.Metrics.Counter("stepfail").Inc(1)
		}
	})
	return r.Resign(context.WithoutCancel(ctx))
}

// Step renews or takes the lease. While this router holds it, Step compares the engines with the declared layouts and
// sends the commands that are safe now. It returns an error if the lease cannot be read or written.
func (r *Reconciler) Step(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.maintainLease(ctx); err != nil {
		r.publishStatus(nil, "table does not answer")
		return trace.Wrap(err)
	}
	if !r.holdsLease() {
		r.publishStatus(nil, "another router holds the lease")
		return nil
	}
	if r.now().Before(r.lease.waitUntil) {
		r.publishStatus(nil, "waiting for the last command of the former holder")
		return nil
	}
	declared := r.Declared()
	observations := r.observeServers(ctx, declared)
	r.reserveLoadingFetches(ctx, observations)
	r.raiseFences(ctx, observations)
	for i := range observations {
		if observations[i].differs && observations[i].reason == "" {
			r.changeLayout(ctx, declared, observations, i)
		}
	}
	r.publishStatus(observations, "")
	return nil
}

// observeServers reads the state of all engines, and removes the pending commands that have taken effect or can no
// longer take effect.
func (r *Reconciler) observeServers(ctx context.Context, declared DeclaredState) []observation {
	observations := make([]observation, len(declared.Servers))
	var reads errgroup.Group
	reads.SetLimit(maxConcurrentReads)
	for i, server := range declared.Servers {
		observations[i].server = server
		reads.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, positiveOr(r.Timeout, defaultCallTimeout))
			defer cancel()
			state, err := r.Engines.State(callCtx, server.Name)
			state.Layout = state.normalized()
			observations[i].state, observations[i].answered = state, err == nil
			return nil
		})
	}
	_ = reads.Wait() // No call returns an error; an engine that fails to answer is marked in its observation.
	now := r.now()
	for i := range observations {
		r.assess(&observations[i], now)
	}
	return observations
}

// assess compares one server with its declared layout, and sets the reason if no command can be sent to it in this
// step. A command whose answer was lost stays pending until the engine can no longer act on it, even if the engine
// already reports the layout of the command.
func (r *Reconciler) assess(observed *observation, now time.Time) {
	command, pending := r.pending[observed.server.Name]
	effective := command.confirmed && observed.answered && observed.state.Ready && observed.state.Layout.equal(command.layout)
	if pending && (effective || now.After(command.deadline)) {
		delete(r.pending, observed.server.Name)
		pending = false
	}
	observed.commandPending = pending
	observed.differs = !observed.answered || !observed.state.Layout.equal(observed.server.Layout)
	observed.stuck = r.notReadyFor(observed, now) > positiveOr(r.Stuck, defaultStuckTimeout)
	r.highestFence = max(r.highestFence, observed.state.Fence)
	switch {
	case !observed.answered:
		observed.reason = "engine does not answer"
	case pending:
		observed.reason = "command sent"
	case !observed.state.Ready && !observed.differs:
		observed.reason = "loading"
	}
}

// notReadyFor returns how long a server has not been ready; zero if it is ready or does not answer.
func (r *Reconciler) notReadyFor(observed *observation, now time.Time) time.Duration {
	if !observed.answered || observed.state.Ready {
		delete(r.notReadySince, observed.server.Name)
		return 0
	}
	since, ok := r.notReadySince[observed.server.Name]
	if !ok {
		if r.notReadySince == nil {
			r.notReadySince = make(map[string]time.Time)
		}
		r.notReadySince[observed.server.Name] = now
		return 0
	}
	return now.Sub(since)
}

// raiseFences tells the current fencing number to engines that check it, by a command with the layout that they already
// have. After that they refuse delayed commands of former holders.
func (r *Reconciler) raiseFences(ctx context.Context, observations []observation) {
	for i := range observations {
		observed := &observations[i]
		if !observed.answered || observed.commandPending || !observed.server.Fences || observed.state.Fence >= r.lease.row.Fence {
			continue
		}
		r.sendCommand(ctx, observed, observed.state.Layout)
	}
}

// changeLayout sends the declared layout to one server, unless that would leave a model with fewer ready servers than
// its minimum, or the service has used up its fetch rate at the weight store.
func (r *Reconciler) changeLayout(ctx context.Context, declared DeclaredState, observations []observation, index int) {
	observed := &observations[index]
	if model := modelBelowMinimum(declared, observations, index); model != "" {
		observed.reason = "minimum of ready servers for " + model
		return
	}
	missing := observed.missingWeights()
	if len(missing) > 0 && r.now().Before(r.nextFetch) {
		observed.reason = "weight store's rate limit"
		return
	}
	duration, err := r.fetchTime(ctx, missing)
	if err != nil {
		observed.reason = "weight store does not answer"
		return
	}
	if r.sendCommand(ctx, observed, observed.server.Layout) {
		r.nextFetch = r.now().Add(duration)
	}
}

// modelBelowMinimum returns a model that would have fewer ready servers than its minimum while one server changes, or
// "". Only servers that answered and have no pending command count as ready. A server that is still loading may become
// ready before the command arrives, so changing it counts as the loss of a ready server, unless it is stuck.
func modelBelowMinimum(declared DeclaredState, observations []observation, changing int) string {
	if observations[changing].stuck {
		return ""
	}
	for _, model := range observations[changing].state.Models {
		if countReady(observations, changing, model.Name) < declared.Ready[model.Name] {
			return model.Name
		}
	}
	return ""
}

// countReady returns the number of ready servers of a model, apart from one server.
func countReady(observations []observation, except int, model string) int {
	ready := 0
	for i, observed := range observations {
		if i != except && observed.answered && !observed.commandPending && observed.state.Ready && observed.state.hasModel(model) {
			ready++
		}
	}
	return ready
}

// fetchTime returns how long it takes to fetch weights at the fetch rate of the service; zero without a rate limit. The
// error is that of the weight store.
func (r *Reconciler) fetchTime(ctx context.Context, weights []ModelVersion) (time.Duration, error) {
	if r.Rate <= 0 || r.Weights == nil {
		return 0, nil
	}
	var total int64
	for _, version := range weights {
		size, err := r.weightSize(ctx, version)
		if err != nil {
			return 0, err
		}
		total += size
	}
	return time.Duration(float64(total) / float64(r.Rate) * float64(time.Second)), nil
}

// weightSize returns the size of a version in bytes. Versions are immutable, so each is looked up only once.
func (r *Reconciler) weightSize(ctx context.Context, version ModelVersion) (int64, error) {
	if size, ok := r.weightSizes[version]; ok {
		return size, nil
	}
	ctx, cancel := context.WithTimeout(ctx, positiveOr(r.Timeout, defaultCallTimeout))
	defer cancel()
	weights, err := r.Weights.Lookup(ctx, version.Name, version.Version)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if r.weightSizes == nil {
		r.weightSizes = make(map[ModelVersion]int64)
	}
	r.weightSizes[version] = weights.SizeBytes
	return weights.SizeBytes, nil
}

// reserveLoadingFetches delays the next fetch by the time that the engines now loading need for theirs. It does so in
// the first step of a new holder, which does not know the fetches that the former holder has started.
func (r *Reconciler) reserveLoadingFetches(ctx context.Context, observations []observation) {
	if !r.newHolder {
		return
	}
	r.newHolder = false
	for i := range observations {
		if !observations[i].answered || observations[i].state.Ready {
			continue
		}
		if duration, err := r.fetchTime(ctx, observations[i].state.Models); err == nil {
			r.nextFetch = r.nextFetch.Add(duration)
		}
	}
}

// missingWeights returns the models and adapters that are declared for a server and not loaded by it.
func (o *observation) missingWeights() []ModelVersion {
	loaded := make(map[ModelVersion]bool)
	for _, version := range o.state.Models {
		loaded[version] = true
	}
	for _, adapter := range o.state.Adapters {
		loaded[ModelVersion{Name: adapter}] = true
	}
	declared := append([]ModelVersion(nil), o.server.Layout.Models...)
	for _, adapter := range o.server.Layout.Adapters {
		declared = append(declared, ModelVersion{Name: adapter})
	}
	var missing []ModelVersion
	for _, version := range declared {
		if !loaded[version] {
			missing = append(missing, version)
		}
	}
	return missing
}

// sendCommand sends a layout to one server, and reports whether the engine may act on it. The lease is checked right
// before the call. A server gets no other command until this one has taken effect or can no longer do so, so that
// commands of one holder cannot overtake each other.
func (r *Reconciler) sendCommand(ctx context.Context, observed *observation, layout Layout) bool {
	if !r.holdsLease() {
		observed.reason = "lease has ended"
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, positiveOr(r.Timeout, defaultCallTimeout))
	defer cancel()
	err := r.Engines.Command(callCtx, observed.server.Name, Command{Fence: r.lease.row.Fence, Layout: layout})
	switch {
	case errors.Is(err, ErrFenced):
		event.CommandRefused.Log(r.Logger).Str("server", observed.server.Name).Uint64("fence", r.lease.row.Fence).Send()
		observed.reason = "engine has seen a higher fencing number"
		r.dropLease()
		return false
	case errors.Is(err, ErrRefused):
		observed.reason = "engine refused the command"
		return false
	case err != nil:
		event.CommandFailed.Log(r.Logger).Str("server", observed.server.Name).Err(err).Send()
	default:
		event.CommandSent.Log(r.Logger).Str("server", observed.server.Name).Uint64("fence", r.lease.row.Fence).Send()
	}
	if r.pending == nil {
		r.pending = make(map[string]pendingCommand)
	}
	r.pending[observed.server.Name] = pendingCommand{layout: layout, confirmed: err == nil, deadline: r.now().Add(positiveOr(r.Delay, defaultCommandDelay))}
	observed.commandPending, observed.reason = true, "command sent"
	return true
}
