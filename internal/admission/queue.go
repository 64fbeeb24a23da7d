package admission

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"citronslip/internal/delay"
	"citronslip/internal/event"
)

const (
	defaultFirst   = 700 * time.Millisecond
	defaultGap     = 65 * time.Millisecond
	defaultLeast   = 4
	defaultMost    = 4096
	defaultInitial = 64
	defaultLength  = 8192
	defaultMaxWait = 30 * time.Second
	defaultLead    = 16
	tickInterval   = 100 * time.Millisecond
	// maxWaitShare is the share of the time to its deadline that a new request may be expected to wait. The rest covers
	// changes of the drain rate, so that a queued request is rarely refused later.
	maxWaitShare = 0.7
	// minRetry is the shortest retry time in a refusal; an earlier retry would find the queue unchanged.
	minRetry = 100 * time.Millisecond
)

type (
	// Queue admits requests up to an adaptive concurrency limit. Set the fields before first use; the zero value of
	// each setting selects its default. Run does the periodic work.
	Queue struct {
		First   time.Duration    // Target time to the first token, by which the limit is adjusted; 700 ms if zero.
		Gap     time.Duration    // Target time between tokens, by which the limit is adjusted; 65 ms if zero.
		Least   int              // Minimum concurrency limit; 4 if zero.
		Most    int              // Maximum concurrency limit; 4096 if zero.
		Initial int              // Initial concurrency limit; 64 if zero.
		Length  int              // Maximum number of queued requests; 8192 if zero.
		MaxWait time.Duration    // Time to the deadline of requests without one; 30 s if zero.
		Lead    float64          // Head start per priority level, in mean request costs; 16 if zero.
		Now     func() time.Time // time.Now if nil.
		Metrics tally.Scope      // Optional.
		Logger  *zerolog.Logger  // Optional.

		mu             sync.Mutex
		initialized    bool
		metrics        metrics
		fair           fairQueue
		limit          concurrencyLimit
		drain          drainMeter
		running        int     // Slots in use.
		sequence       uint64  // Number of the last submitted request.
		meanFirstToken float64 // Mean time from dispatch to the first token, in seconds.
	}

	// Slot is the permission to run one request. It must be released in the end.
	Slot struct {
		queue     *Queue
		pending   *Pending
		grantedAt time.Time
		released  bool // Whether the slot was given back.
	}

	// Pending is a request that was submitted to the queue.
	Pending struct {
		queue    *Queue
		request  Request
		cost     float64 // request.Cost.
		sequence uint64  // Order of arrival.
		done     func(*Slot, error)
		queued   bool
	}

	// outcome is a call of a request's done function that is still to be made, after the lock is released.
	outcome struct {
		pending *Pending
		slot    *Slot
		err     error
	}

	// metrics are the metrics of the queue.
	metrics struct {
		admitted tally.Counter
		refused  tally.Counter
		shed     tally.Counter
		limit    tally.Gauge
		queued   tally.Gauge
		running  tally.Gauge
	}
)

// Run calls Tick ten times a second until the context ends.
func (q *Queue) Run(ctx context.Context) error {
	delay.Repeat(ctx, tickInterval, q.Tick)
	return nil
}

// Acquire waits for a slot. It returns a Refusal as soon as the request cannot meet its deadline or is dropped from a
// full queue, and ErrCancelled if the context ends first.
func (q *Queue) Acquire(ctx context.Context, request Request) (*Slot, error) {
	outcomes := make(chan outcome, 1)
	pending := q.Submit(request, func(slot *Slot, err error) {
		outcomes <- outcome{slot: slot, err: err}
	})
	select {
	case o := <-outcomes:
		return o.slot, o.err
	case <-ctx.Done():
	}
	if !pending.Cancel() {
		if o := <-outcomes; o.slot != nil {
			o.slot.Release(Result{})
		}
	}
	return nil, trace.Wrap(ErrCancelled)
}

// Submit queues a request without waiting for its slot. It calls done once with the slot or a Refusal, possibly before
// Submit returns, unless the request is cancelled first.
func (q *Queue) Submit(request Request, done func(*Slot, error)) *Pending {
	q.mu.Lock()
	q.initialize()
	now := q.now()
	request.Weight = max(request.Weight, 1)
	request.Cost = max(request.Cost, 1)
	if request.Deadline.IsZero() {
		request.Deadline = now.Add(cmp.Or(q.MaxWait, defaultMaxWait))
	}
	q.sequence++
	p := &Pending{queue: q, request: request, cost: float64(request.Cost), sequence: q.sequence, done: done}
	outcomes := q.admit(p, now)
	q.mu.Unlock()
	deliver(outcomes)
	return p
}

// Cancel removes the request from the queue and reports whether it was still queued.
func (p *Pending) Cancel() bool {
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if !p.queued {
		return false
	}
	q.remove(p)
	return true
}

// Release releases the slot. Calls after the first have no effect.
func (s *Slot) Release(r Result) {
	q := s.queue
	q.mu.Lock()
	if s.released {
		q.mu.Unlock()
		return
	}
	s.released = true
	now := q.now()
	q.running--
	q.drain.recordHold(s.pending.cost, now.Sub(s.grantedAt))
	if r.Cost > 0 {
		q.fair.correctCost(s.pending.request.Account, s.pending.cost, float64(r.Cost))
	}
	outcomes := q.dispatch(now)
	q.mu.Unlock()
	deliver(outcomes)
}

// Observe records a latency sample. Samples should be taken at the first token and about once a second while a stream
// runs, because samples at the end of long streams come too late to protect the servers.
func (q *Queue) Observe(s Sample) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.initialize()
	q.limit.observe(s, cmp.Or(q.First, defaultFirst), cmp.Or(q.Gap, defaultGap))
	if s.First > 0 {
		q.meanFirstToken += (s.First.Seconds() - q.meanFirstToken) * 0.05
	}
}

// Tick adjusts the limit, refuses queued requests that can no longer meet their deadlines, and grants free slots. Run
// calls it ten times a second.
func (q *Queue) Tick() {
	q.mu.Lock()
	q.initialize()
	now := q.now()
	q.drain.step(now)
	minLimit := float64(cmp.Or(q.Least, defaultLeast))
	maxLimit := float64(cmp.Or(q.Most, defaultMost))
	lowered := q.limit.adapt(now, q.running, q.fair.queued > 0, minLimit, maxLimit)
	outcomes := q.shed(now)
	shed := len(outcomes)
	outcomes = append(outcomes, q.dispatch(now)...)
	q.fair.evictIdle()
	q.updateMetrics()
	limit := int(q.limit.value)
	q.mu.Unlock()
	deliver(outcomes)
	if lowered {
		event.LimitLowered.Log(q.Logger).Int("limit", limit).Send()
	}
	if shed > 0 {
		event.QueuedRequestsRefused.Log(q.Logger).Int("count", shed).Send()
	}
}

// Stats returns the state of the queue.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.initialize()
	result := Stats{
		Limit:           int(q.limit.value),
		Running:         q.running,
		Queued:          q.fair.queued,
		DrainRate:       q.drain.estimate(q.now(), q.limit.value),
		QueuedByAccount: make(map[string]int),
	}
	for _, fl := range q.fair.waiting {
		result.QueuedByAccount[fl.account] = len(fl.requests)
	}
	return result
}

// admit queues the request, or refuses it if it is not expected to meet its deadline.
func (q *Queue) admit(p *Pending, now time.Time) []outcome {
	slack := p.request.Deadline.Sub(now) - q.firstTokenTime()
	if slack <= 0 {
		q.metrics.refused.Inc(1)
		return []outcome{{pending: p, err: trace.Wrap(&Refusal{Reason: ReasonDeadline})}}
	}
	if q.fair.queued > 0 || q.running >= int(q.limit.value) {
		wait := q.estimateWait(p, now)
		if float64(wait) > maxWaitShare*float64(slack) {
			q.metrics.refused.Inc(1)
			retry := max(wait-time.Duration(maxWaitShare*float64(slack)), minRetry)
			return []outcome{{pending: p, err: trace.Wrap(&Refusal{Reason: ReasonDeadline, Retry: retry})}}
		}
	}
	outcomes := q.enqueue(p, now)
	return append(outcomes, q.dispatch(now)...)
}

// enqueue adds the request to the queue. If that exceeds the queue's length, the last request of the account with the
// most queued requests relative to its weight is refused.
func (q *Queue) enqueue(p *Pending, now time.Time) []outcome {
	p.queued = true
	q.fair.enqueue(p)
	if q.drain.backlogSince.IsZero() {
		q.drain.backlogSince = now
	}
	if q.fair.queued <= cmp.Or(q.Length, defaultLength) {
		return nil
	}
	longest := q.fair.longestQueue()
	last := longest.requests[len(longest.requests)-1]
	q.remove(last)
	q.metrics.refused.Inc(1)
	retry := max(drainTime(last.cost, q.drainRate(now)), minRetry)
	return []outcome{{pending: last, err: trace.Wrap(&Refusal{Reason: ReasonQueueFull, Retry: retry})}}
}

// dispatch grants free slots to queued requests.
func (q *Queue) dispatch(now time.Time) []outcome {
	var outcomes []outcome
	for q.running < int(q.limit.value) {
		p := q.fair.next(cmp.Or(q.Lead, defaultLead))
		if p == nil {
			break
		}
		p.queued = false
		q.fair.grant(p)
		q.running++
		q.drain.grantedCost += p.cost
		q.drain.lastGrant = now
		q.metrics.admitted.Inc(1)
		outcomes = append(outcomes, outcome{pending: p, slot: &Slot{queue: q, pending: p, grantedAt: now}})
	}
	q.limit.peakRunning = max(q.limit.peakRunning, q.running)
	q.endBacklogIfEmpty()
	return outcomes
}

// shed refuses the queued requests that can no longer meet their deadlines, instead of waiting until these have passed.
func (q *Queue) shed(now time.Time) []outcome {
	var outcomes []outcome
	for _, p := range q.fair.lateRequests(now, q.drainRate(now), q.drain.stall(now)+q.firstTokenTime()) {
		wait := q.estimateWait(p, now)
		retry := max(wait-p.request.Deadline.Sub(now), minRetry)
		outcomes = append(outcomes, outcome{pending: p, err: trace.Wrap(&Refusal{Reason: ReasonDeadline, Retry: retry})})
	}
	for _, o := range outcomes {
		q.remove(o.pending)
		q.metrics.shed.Inc(1)
	}
	return outcomes
}

// remove removes a queued request.
func (q *Queue) remove(p *Pending) {
	p.queued = false
	q.fair.remove(p)
	q.endBacklogIfEmpty()
}

// endBacklogIfEmpty ends the backlog if the queue is empty.
func (q *Queue) endBacklogIfEmpty() {
	if q.fair.queued == 0 {
		q.drain.backlogSince = time.Time{}
	}
}

// estimateWait estimates the time until the request is granted a slot.
func (q *Queue) estimateWait(p *Pending, now time.Time) time.Duration {
	cost := q.fair.costBefore(p) + p.cost
	wait := drainTime(q.fair.costAhead(p.request.Account, float64(p.request.Weight), cost), q.drainRate(now))
	return wait + q.drain.stall(now)
}

// drainRate returns the estimated drain rate, in cost per second.
func (q *Queue) drainRate(now time.Time) float64 {
	return q.drain.estimate(now, q.limit.value)
}

// firstTokenTime returns the mean time from a grant to the first token.
func (q *Queue) firstTokenTime() time.Duration {
	return time.Duration(q.meanFirstToken * float64(time.Second))
}

func (q *Queue) updateMetrics() {
	q.metrics.limit.Update(q.limit.value)
	q.metrics.queued.Update(float64(q.fair.queued))
	q.metrics.running.Update(float64(q.running))
}

// initialize prepares the queue at its first use.
func (q *Queue) initialize() {
	if q.initialized {
		return
	}
	q.initialized = true
	q.limit.value = float64(cmp.Or(q.Initial, defaultInitial))
	q.limit.lastAdjusted = q.now()
	scope := q.Metrics
	if scope == nil {
		scope = tally.NoopScope
	}
	q.metrics = metrics{
		admitted: scope.Counter("admitted"),
		refused:  scope.Counter("refused"),
		shed:     scope.Counter("shed"),
		limit:    scope.Gauge("limit"),
		queued:   scope.Gauge("queued"),
		running:  scope.Gauge("running"),
	}
}

func (q *Queue) now() time.Time {
	if q.Now == nil {
		return time.Now()
	}
	return q.Now()
}

// deliver calls the done functions. The caller must not hold the lock.
func deliver(outcomes []outcome) {
	for _, o := range outcomes {
		o.pending.done(o.slot, o.err)
	}
}
